//! Backoff of endpoints that have rejected requests of this daemon.

use std::sync::Arc;

use super::PlacementClient;
use crate::{
    backoff::{LOCAL_DAEMON, Rejection},
    node::{Outbox, Output, VmName, control_client::RemoteScheduler},
    units::Instant,
    wire::{Body, Overloaded, Rejected},
};

/// Maximum number of backoffs that one daemon sends to a new leader.
const MAX_BACKOFFS_SENT: usize = 64;

impl PlacementClient {
    /// Records a rejection and reports it to the leader's scheduler.
    pub(crate) fn on_rejection(
        &mut self,
        rejection: &Rejection,
        scheduler: Option<&RemoteScheduler>,
        now: Instant,
        out: &mut Outbox,
    ) {
        self.local.on_rejection(LOCAL_DAEMON, rejection, now);
        if let Some(scheduler) = scheduler {
            out.send(&scheduler.vm, Body::Rejected(Rejected::encode(rejection)));
        }
        let endpoint = &rejection.endpoint;
        if self.local.backoffs.backoff_until(endpoint, LOCAL_DAEMON, now).is_none() {
            return;
        }
        self.next_backoff_expiry = self.earliest_backoff_expiry(now);
        if self.backing_off.insert(endpoint.clone()) {
            self.publish_backoff(endpoint, now, out);
        }
    }

    /// Applies the leader's list of endpoints that reject requests of other daemons.
    pub(crate) fn on_overloaded(&mut self, news: &Overloaded, now: Instant) {
        for overloaded in &news.endpoints {
            let endpoint: Arc<str> = overloaded.endpoint.as_str().into();
            self.local.backoffs.on_report(&endpoint, overloaded.started_at, overloaded.left(), now);
        }
    }

    /// Sends a new leader the active backoffs of this daemon.
    pub(super) fn send_backoffs(&self, scheduler: &VmName, now: Instant, out: &mut Outbox) {
        for rejection in
            self.local.backoffs.active_backoffs(LOCAL_DAEMON, now).take(MAX_BACKOFFS_SENT)
        {
            out.send(scheduler, Body::Rejected(Rejected::encode(&rejection)));
        }
    }

    /// Applies the start times of the known runs of endpoints.
    pub(crate) fn update_runs(&mut self, started_at: impl Fn(&str) -> Option<u64>, now: Instant) {
        self.local.update_runs(started_at, now);
    }

    /// Publishes the backoffs that have expired.
    pub(super) fn expire_backoffs(&mut self, now: Instant, out: &mut Outbox) {
        if self.next_backoff_expiry.is_none_or(|end| now < end) {
            return;
        }
        let backoffs = &self.local.backoffs;
        let is_expired =
            |name: &Arc<str>| backoffs.backoff_until(name, LOCAL_DAEMON, now).is_none();
        let expired: Vec<Arc<str>> =
            self.backing_off.iter().filter(|name| is_expired(name)).cloned().collect();
        for endpoint in expired {
            self.backing_off.remove(&endpoint);
            self.publish_backoff(&endpoint, now, out);
        }
        self.next_backoff_expiry = self.earliest_backoff_expiry(now);
    }

    fn publish_backoff(&self, endpoint: &Arc<str>, now: Instant, out: &mut Outbox) {
        let backoffs = &self.local.backoffs;
        let until = backoffs.backoff_until(endpoint, LOCAL_DAEMON, now);
        out.push(Output::Backoff {
            endpoint: endpoint.clone(),
            left: until.map(|until| until.since(now)),
            backing_off: self.backing_off.len(),
        });
    }

    fn earliest_backoff_expiry(&self, now: Instant) -> Option<Instant> {
        let asked = self.local.backoffs.active_backoffs(LOCAL_DAEMON, now);
        asked.filter_map(|rejection| Some(now.after(rejection.retry_after?))).min()
    }
}
