//! State of one model or service: its queue, its endpoints and the rate at which requests start.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::{
    PrefixHash, Request, admission_control::AdmissionControl, queue::Queue,
    reserved_work::ReservedWork,
};
use crate::{
    software_version::{SoftwareVersion, VersionConstraint},
    units::Instant,
};

/// Maximum number of endpoints that one decision examines.
const MAX_SAMPLE: usize = 32;
/// Bound on remembered prefixes; the map is cleared when it is reached.
const MAX_PREFIXES: usize = 50_000;

/// Returns all items if there are at most `MAX_SAMPLE`, else every n-th item from an offset derived
/// from `number`.
pub(super) fn even_sample<T>(items: &[T], number: usize) -> impl Iterator<Item = &T> {
    let step = items.len().div_ceil(MAX_SAMPLE).max(1);
    items.iter().skip(number % step).step_by(step)
}

/// Queue and endpoints of one model or service.
#[derive(Debug, Default)]
pub(super) struct TargetState {
    pub(super) queue: Queue,
    pub(super) admission: AdmissionControl,
    /// Names, in order.
    pub(super) endpoints: Vec<Arc<str>>,
    /// The same by software version, without endpoints whose version is unknown.
    by_version: HashMap<SoftwareVersion, Vec<Arc<str>>>,
    /// Endpoint that last received a request with this prefix.
    prefix_endpoints: HashMap<PrefixHash, Arc<str>>,
    /// Moving average of the time between starts, in seconds; zero if unknown.
    start_interval: f64,
    last_queued_start: Option<Instant>,
}

impl TargetState {
    /// Adds an endpoint.
    pub(super) fn add_endpoint(&mut self, name: &Arc<str>, version: Option<&SoftwareVersion>) {
        insert_sorted(&mut self.endpoints, name);
        if let Some(version) = version {
            insert_sorted(self.by_version.entry(version.clone()).or_default(), name);
        }
    }

    /// Removes an endpoint.
    pub(super) fn remove_endpoint(&mut self, name: &str, version: Option<&SoftwareVersion>) {
        remove_sorted(&mut self.endpoints, name);
        let Some(version) = version else { return };
        if let Some(same) = self.by_version.get_mut(version) {
            remove_sorted(same, name);
            if same.is_empty() {
                self.by_version.remove(version);
            }
        }
    }

    /// Removes all endpoints.
    pub(super) fn clear_endpoints(&mut self) {
        self.endpoints.clear();
        self.by_version.clear();
    }

    /// Names of the endpoints that run one of these software versions, in order.
    pub(super) fn endpoints_of(&self, versions: &VersionConstraint) -> &[Arc<str>] {
        match versions {
            VersionConstraint::Any => &self.endpoints,
            VersionConstraint::Only(version) => {
                self.by_version.get(version).map_or(&[], Vec::as_slice)
            }
            VersionConstraint::Unknown => &[],
        }
    }

    /// Returns candidate endpoints: a bounded sample plus the endpoint that last received this
    /// prefix, so that the cost of a decision does not grow with the number of endpoints.
    pub(super) fn sample(
        &self,
        number: usize,
        prefix: PrefixHash,
        versions: &VersionConstraint,
    ) -> impl Iterator<Item = &Arc<str>> {
        let endpoints = self.endpoints_of(versions);
        let is_whole = endpoints.len() <= MAX_SAMPLE;
        let with_prefix = self.prefix_endpoints.get(&prefix).filter(|_| !is_whole);
        even_sample(endpoints, number).chain(with_prefix)
    }

    /// Records the endpoint that will cache this prefix.
    pub(super) fn record_prefix(&mut self, prefix: PrefixHash, endpoint: &Arc<str>) {
        if MAX_PREFIXES <= self.prefix_endpoints.len() {
            self.prefix_endpoints.clear();
        }
        self.prefix_endpoints.insert(prefix, endpoint.clone());
    }

    /// Updates the average start interval. Only intervals in which requests were queued count.
    pub(super) fn record_start(&mut self, now: Instant) {
        const EWMA_WEIGHT: f64 = 0.05;
        if let Some(last) = self.last_queued_start {
            let interval = now.since(last).as_secs_f64();
            self.start_interval += EWMA_WEIGHT * (interval - self.start_interval);
        }
        self.last_queued_start = (0 < self.queue.len()).then_some(now);
    }

    /// Expected queueing time of a new request like this one, from measured rates.
    pub(super) fn calibrated_wait(
        &self,
        req: &Request,
        reserved: &dyn ReservedWork,
        now: Instant,
    ) -> Option<Duration> {
        self.admission.expected_wait(&self.queue, req, reserved, now)
    }

    /// The same before it is corrected by observed waits.
    pub(super) fn forecast_wait(
        &self,
        req: &Request,
        reserved: &dyn ReservedWork,
        now: Instant,
    ) -> Option<Duration> {
        self.admission.forecast_wait(&self.queue, req, reserved, now)
    }

    /// Requests started per second while some were queued; zero if unknown.
    pub(super) fn start_rate(&self) -> f64 {
        if 0.0 < self.start_interval { 1.0 / self.start_interval } else { 0.0 }
    }

    /// Rough estimate of the queueing time of a new request of this rank.
    pub(super) fn expected_wait(&self, rank: u64) -> Duration {
        Duration::from_secs_f64(self.start_interval * self.queue.ahead_of(rank) as f64)
    }
}

fn insert_sorted(names: &mut Vec<Arc<str>>, name: &Arc<str>) {
    if let Err(at) = names.binary_search(name) {
        names.insert(at, name.clone());
    }
}

fn remove_sorted(names: &mut Vec<Arc<str>>, name: &str) {
    if let Ok(at) = names.binary_search_by(|known| (**known).cmp(name)) {
        names.remove(at);
    }
}
