//! Chooses the forwarder of a request.

use std::{cell::Cell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use trayswitch_clock::Instant;
use trayswitch_core::node::{Forwarders, VmName};

/// How long a forwarder that did not take a request is avoided.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);
/// Extra cost of a forwarder in another data hall, in requests in flight.
const REMOTE_HALL_COST: f64 = 0.4;
/// Extra cost of a forwarder in this data hall once another one there could not send the request: a whole
/// hall may be cut off.
const SAME_HALL_COST: f64 = 10.0;
/// Cost of a forwarder that is avoided, in requests in flight.
const FAILURE_COST: f64 = 1_000.0;

#[derive(Debug, Default)]
struct ForwarderStats {
    in_flight: Rc<Cell<u32>>,
    avoided_until: Option<Instant>,
}

/// What this daemon knows of each forwarder from its own requests.
#[derive(Debug, Default)]
pub(in crate::relay) struct ForwarderPool {
    stats_by_vm: HashMap<VmName, ForwarderStats>,
    /// Until when forwarders back off from endpoints.
    backoffs: HashMap<(VmName, Arc<str>), Instant>,
}

/// Counts a request as in flight at a forwarder until dropped.
#[derive(Debug)]
pub(super) struct InFlightGuard(Rc<Cell<u32>>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl ForwarderPool {
    /// The forwarder with the fewest requests of this daemon in flight that is not in `tried` and does not
    /// back off from the endpoint, if that matters.
    pub(super) fn select(
        &self,
        forwarders: &Forwarders,
        tried: &[VmName],
        endpoint: Option<&Arc<str>>,
    ) -> Option<VmName> {
        let is_near_tried = forwarders.near.iter().any(|vm| tried.contains(vm));
        let near_cost = if is_near_tried { SAME_HALL_COST } else { 0.0 };
        let near = forwarders.near.iter().map(|vm| (vm, near_cost));
        let far = forwarders.far.iter().map(|vm| (vm, REMOTE_HALL_COST));
        let is_open = |vm: &VmName| endpoint.is_none_or(|id| self.backoff_end(vm, id).is_none());
        let untried = near.chain(far).filter(|(vm, _)| !tried.contains(vm) && is_open(vm));
        let costs = untried.map(|(vm, distance)| (self.cost(vm) + distance, vm));
        let (_, cheapest) = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some(cheapest.clone())
    }

    fn cost(&self, vm: &VmName) -> f64 {
        let Some(stats) = self.stats_by_vm.get(vm) else { return 0.1 * fastrand::f64() };
        let avoided = stats.avoided_until.is_some_and(|until| Instant::now() < until);
        let penalty = if avoided { FAILURE_COST } else { 0.0 };
        penalty + f64::from(stats.in_flight.get()) + 0.1 * fastrand::f64()
    }

    /// Counts a request as in flight at a forwarder.
    pub(super) fn start(&mut self, vm: &VmName) -> InFlightGuard {
        /// Idle forwarders are evicted at this number.
        const MAX_TRACKED_FORWARDERS: usize = 256;
        if MAX_TRACKED_FORWARDERS <= self.stats_by_vm.len() {
            self.stats_by_vm.retain(|_, stats| 0 < stats.in_flight.get());
        }
        let in_flight = &self.stats_by_vm.entry(vm.clone()).or_default().in_flight;
        in_flight.set(in_flight.get() + 1);
        InFlightGuard(in_flight.clone())
    }

    /// Remembers that a forwarder backs off from an endpoint.
    pub(super) fn on_backoff(&mut self, vm: &VmName, endpoint: &Arc<str>, left: Duration) {
        /// Those that have ended are evicted at this number.
        const MAX_TRACKED_BACKOFFS: usize = 4_096;
        let now = Instant::now();
        if MAX_TRACKED_BACKOFFS <= self.backoffs.len() {
            self.backoffs.retain(|_, until| now < *until);
        }
        if self.backoffs.len() < MAX_TRACKED_BACKOFFS {
            self.backoffs.insert((vm.clone(), endpoint.clone()), now + left);
        }
    }

    /// For how long all of these forwarders back off from an endpoint, if they do.
    pub(super) fn common_backoff(
        &self,
        forwarders: &Forwarders,
        endpoint: &Arc<str>,
    ) -> Option<Duration> {
        let vms = forwarders.near.iter().chain(&forwarders.far);
        let ends: Option<Vec<Instant>> = vms.map(|vm| self.backoff_end(vm, endpoint)).collect();
        let first = ends?.into_iter().min()?;
        Some(first.saturating_duration_since(Instant::now()))
    }

    fn backoff_end(&self, vm: &VmName, endpoint: &Arc<str>) -> Option<Instant> {
        let end = *self.backoffs.get(&(vm.clone(), endpoint.clone()))?;
        (Instant::now() < end).then_some(end)
    }

    /// Avoids a forwarder that did not take a request.
    pub(super) fn on_failure(&mut self, vm: &VmName) {
        if let Some(stats) = self.stats_by_vm.get_mut(vm) {
            stats.avoided_until = Some(Instant::now() + FAILURE_PAUSE);
        }
    }
}
