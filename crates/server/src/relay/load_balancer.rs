//! Load balancing of calls by this daemon's own observations: requests in flight, failure rate,
//! outlier ejection and cold start.

use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use trayswitch_clock::Instant;
use trayswitch_core::{
    config::ColdStart,
    mechanism::{Disabled, Mechanism},
    placement::{ColdPacer, SenderRole, cold_interval},
    registry::RegisteredEndpoint,
    units,
};

/// Ejection time after the first connection failure; doubles with each consecutive one.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(300);
/// Longest time for which an endpoint that did not answer is avoided.
const MAX_EJECTION_TIME: Duration = Duration::from_millis(2_400);
/// Weight of the newest request in the moving failure rate.
const FAILURE_RATE_SMOOTHING: f64 = 0.15;
/// Cost of an endpoint that always fails, in requests in flight.
const FAILURE_COST: f64 = 12.0;
/// Failure rate up to which failures are attributed to the requests.
const TOLERATED_FAILURE_RATE: f64 = 0.3;
/// Extra cost of an endpoint in another data hall, in requests in flight.
const REMOTE_HALL_COST: f64 = 0.4;

#[derive(Debug, Clone, Default)]
struct EndpointStats {
    /// Start time of the endpoint run that the statistics are about.
    born: u64,
    in_flight: u32,
    failure_rate: f64,
    consecutive_failures: u32,
    ejected_until: Option<Instant>,
    /// When the last ejection ends. The endpoint may have restarted, so it counts as cold for some
    /// time after this.
    retry_at: Option<Instant>,
    pacer: Option<ColdPacer>,
}

/// Cold-start rate limit of a service and this daemon's share of it.
#[derive(Debug, Clone, Copy)]
pub(super) struct ColdStartPolicy {
    pub(super) limits: ColdStart,
    pub(super) senders: SenderRole,
    pub(super) now: units::Instant,
}

impl ColdStartPolicy {
    fn interval(&self) -> Duration {
        cold_interval(self.senders, self.limits)
    }
}

impl EndpointStats {
    /// Resets the statistics of a previous run, except the requests in flight, which end on their
    /// own.
    fn reset_if_restarted(&mut self, endpoint: &RegisteredEndpoint) {
        if self.born != endpoint.started_at {
            *self = EndpointStats {
                born: endpoint.started_at,
                in_flight: self.in_flight,
                ..EndpointStats::default()
            };
        }
    }

    /// Whether an endpoint may be sent a request now; paces requests to a cold one.
    fn may_send(&mut self, endpoint: &RegisteredEndpoint, policy: &ColdStartPolicy) -> bool {
        let now = policy.now;
        let Some(until) = self.cold_until(endpoint, policy).filter(|until| now < *until) else {
            self.pacer = None;
            return true;
        };
        match &mut self.pacer {
            Some(pacer) => pacer.extend(until),
            pacer => *pacer = Some(ColdPacer::new(until, policy.interval(), fastrand::f64(), now)),
        }
        self.pacer.is_none_or(|pacer| pacer.may_send(now))
    }

    /// Until when the endpoint is cold: as it reported, or for the service's cold-start duration
    /// after an ejection.
    fn cold_until(
        &self,
        endpoint: &RegisteredEndpoint,
        policy: &ColdStartPolicy,
    ) -> Option<units::Instant> {
        let lasts = policy.limits.duration;
        let left = |retry_at: Instant| (retry_at + lasts).checked_duration_since(Instant::now());
        let restart_until = self.retry_at.and_then(left).map(|left| policy.now.after(left));
        endpoint.cold_until.max(restart_until)
    }
}

/// The outcome of a request, as a signal of the endpoint's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    Success,
    /// The endpoint returned an error.
    Error,
    /// Connecting failed, or the response did not arrive.
    Unreachable,
}

/// Statistics by endpoint id, shared with the in-flight guards.
#[derive(Debug, Default, Clone)]
pub(super) struct LoadBalancer {
    stats_by_id: Rc<RefCell<HashMap<Arc<str>, EndpointStats>>>,
    disabled: Disabled,
}

/// Counts a request as in flight until dropped.
pub(super) struct InFlightGuard {
    load_balancer: LoadBalancer,
    id: Arc<str>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if let Some(stats) = self.load_balancer.stats_by_id.borrow_mut().get_mut(&self.id) {
            stats.in_flight -= 1;
        }
    }
}

impl LoadBalancer {
    /// Creates a load balancer without the disabled mechanisms.
    pub(super) fn new(disabled: Disabled) -> LoadBalancer {
        LoadBalancer { stats_by_id: Rc::default(), disabled }
    }

    /// Drops cold endpoints that may not be sent a request now.
    pub(super) fn retain_sendable(
        &self,
        mut endpoints: Vec<RegisteredEndpoint>,
        policy: Option<&ColdStartPolicy>,
    ) -> Vec<RegisteredEndpoint> {
        let mut stats_by_id = self.stats_by_id.borrow_mut();
        endpoints.retain(|endpoint| {
            let stats = stats_mut(&mut stats_by_id, &endpoint.id);
            stats.reset_if_restarted(endpoint);
            policy.is_none_or(|policy| stats.may_send(endpoint, policy))
        });
        endpoints
    }

    /// The endpoint with the lowest cost; those in `avoid` only if there is no other.
    pub(super) fn select(
        &self,
        endpoints: &[RegisteredEndpoint],
        avoid: &[Arc<str>],
        hall: &str,
    ) -> Option<RegisteredEndpoint> {
        let costs = endpoints.iter().map(|endpoint| (self.cost(endpoint, avoid, hall), endpoint));
        let (_, best) = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some(best.clone())
    }

    /// Sorts endpoints, cheapest first.
    pub(super) fn sort_by_cost(&self, endpoints: &mut Vec<RegisteredEndpoint>, hall: &str) {
        let costs = endpoints.drain(..).map(|endpoint| (self.cost(&endpoint, &[], hall), endpoint));
        let mut costs: Vec<(f64, RegisteredEndpoint)> = costs.collect();
        costs.sort_by(|a, b| a.0.total_cmp(&b.0));
        endpoints.extend(costs.into_iter().map(|(_, endpoint)| endpoint));
    }

    /// Cost of sending another request to an endpoint, in requests in flight.
    fn cost(&self, endpoint: &RegisteredEndpoint, avoid: &[Arc<str>], hall: &str) -> f64 {
        let stats = self.stats_by_id.borrow().get(&endpoint.id).cloned().unwrap_or_default();
        let ejected = self.disabled.allows(Mechanism::FailurePauses)
            && stats.ejected_until.is_some_and(|until| Instant::now() < until);
        let failure_excess = if self.disabled.allows(Mechanism::FailureWeights) {
            (stats.failure_rate - TOLERATED_FAILURE_RATE).max(0.0) / (1.0 - TOLERATED_FAILURE_RATE)
        } else {
            0.0
        };
        let same_hall = *endpoint.hall == *hall || !self.disabled.allows(Mechanism::NearCalls);
        let distance_cost = if same_hall { 0.0 } else { REMOTE_HALL_COST };
        let avoided = avoid.contains(&endpoint.id);
        let penalty =
            f64::from(u8::from(avoided)) * 2_000.0 + f64::from(u8::from(ejected)) * 1_000.0;
        penalty
            + f64::from(stats.in_flight)
            + FAILURE_COST * failure_excess
            + distance_cost
            + 0.1 * fastrand::f64()
    }

    /// Counts a request as in flight on an endpoint.
    pub(super) fn start_request(
        &self,
        id: &Arc<str>,
        policy: Option<&ColdStartPolicy>,
    ) -> InFlightGuard {
        let mut stats_by_id = self.stats_by_id.borrow_mut();
        let stats = stats_mut(&mut stats_by_id, id);
        stats.in_flight += 1;
        if let (Some(pacer), Some(policy)) = (&mut stats.pacer, policy) {
            pacer.on_sent(policy.interval(), policy.now);
        }
        InFlightGuard { load_balancer: self.clone(), id: id.clone() }
    }

    /// This daemon's requests in flight on an endpoint.
    pub(super) fn in_flight(&self, id: &str) -> u32 {
        self.stats_by_id.borrow().get(id).map_or(0, |stats| stats.in_flight)
    }

    /// Updates the failure rate and the ejection of an endpoint.
    pub(super) fn record_outcome(&self, id: &Arc<str>, outcome: Outcome) {
        let mut stats_by_id = self.stats_by_id.borrow_mut();
        let stats = stats_mut(&mut stats_by_id, id);
        let failed = if outcome == Outcome::Success { 0.0 } else { 1.0 };
        stats.failure_rate += FAILURE_RATE_SMOOTHING * (failed - stats.failure_rate);
        match outcome {
            Outcome::Success => {
                stats.consecutive_failures = 0;
                stats.ejected_until = None;
            }
            Outcome::Error => {}
            Outcome::Unreachable => {
                let ejection_time =
                    BASE_EJECTION_TIME * 2u32.pow(stats.consecutive_failures.min(4));
                stats.consecutive_failures += 1;
                stats.ejected_until = Some(Instant::now() + ejection_time.min(MAX_EJECTION_TIME));
                stats.retry_at = stats.ejected_until;
            }
        }
    }
}

/// The statistics of an endpoint, created if missing.
fn stats_mut<'a>(
    stats_by_id: &'a mut HashMap<Arc<str>, EndpointStats>,
    id: &Arc<str>,
) -> &'a mut EndpointStats {
    /// Idle endpoints are evicted at this number.
    const MAX_TRACKED_ENDPOINTS: usize = 4_096;
    if MAX_TRACKED_ENDPOINTS <= stats_by_id.len() {
        stats_by_id.retain(|_, stats| 0 < stats.in_flight);
    }
    stats_by_id.entry(id.clone()).or_default()
}
