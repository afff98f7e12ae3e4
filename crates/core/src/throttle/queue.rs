//! Grants permits for single requests to rate limited endpoints, first come, first served.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use super::Throttle;
use crate::units::Instant;

/// Maximum requests that wait for a permit to the endpoints of one service.
const MAX_WAITING: usize = 1_024;
/// Window in which denied requests are counted to spread their retries.
const DENIAL_WINDOW: Duration = Duration::from_secs(1);
/// Shortest `retry_after`: a few round trips.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Longest `retry_after`: the limits may have changed by then.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);

/// A request for a permit, identified by its requester.
#[derive(Debug, Clone)]
pub struct PermitRequest<A> {
    /// Identifies the requester in the decision.
    pub requester: A,
    /// Service that the endpoints belong to.
    pub service: Arc<str>,
    /// Acceptable endpoints, in order of preference.
    pub endpoints: Vec<Arc<str>>,
    /// Longest time to wait for the permit.
    pub max_wait: Duration,
}

/// Outcome of a [`PermitRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Permit {
    /// One request may be sent to this endpoint now.
    Granted(Arc<str>),
    /// No endpoint accepts a request within `max_wait`.
    Denied {
        /// When an endpoint is expected to accept a request.
        retry_after: Duration,
    },
}

#[derive(Debug)]
struct Waiting<A> {
    req: PermitRequest<A>,
    deadline: Instant,
}

/// Requests that wait for endpoints of one service.
#[derive(Debug)]
struct ServiceQueue<A> {
    waiting: VecDeque<Waiting<A>>,
    denied: u32,
    /// Start of the window in which `denied` is counted.
    denied_since: Instant,
}

impl<A> Default for ServiceQueue<A> {
    fn default() -> ServiceQueue<A> {
        ServiceQueue { waiting: VecDeque::new(), denied: 0, denied_since: Instant::default() }
    }
}

/// Queues permit requests per service. The limits themselves are in [`Throttle`].
#[derive(Debug)]
pub struct PermitQueue<A> {
    queues: BTreeMap<Arc<str>, ServiceQueue<A>>,
    /// When [`PermitQueue::decide`] is due.
    due: Option<Instant>,
}

impl<A> Default for PermitQueue<A> {
    fn default() -> PermitQueue<A> {
        PermitQueue { queues: BTreeMap::new(), due: None }
    }
}

impl<A: Clone + PartialEq> PermitQueue<A> {
    /// Returns the decision, or `None` if the request was queued.
    pub fn request(
        &mut self,
        req: PermitRequest<A>,
        throttle: &mut Throttle,
        now: Instant,
    ) -> Option<Permit> {
        let queue = self.queues.entry(req.service.clone()).or_default();
        if queue.waiting.is_empty()
            && let Some(endpoint) = acquire(&req, throttle, now)
        {
            return Some(Permit::Granted(endpoint));
        }
        let wait = queue.expected_wait(&req, throttle, now);
        if req.max_wait < wait || MAX_WAITING <= queue.waiting.len() {
            return Some(queue.deny(&req, wait, throttle, now));
        }
        let deadline = now.after(req.max_wait);
        queue.waiting.push_back(Waiting { req, deadline });
        self.update_due(throttle, now);
        None
    }

    /// Grants permits that are due and denies requests whose deadline has passed.
    pub fn decide(&mut self, throttle: &mut Throttle, now: Instant) -> Vec<(A, Permit)> {
        let mut decisions = Vec::new();
        for queue in self.queues.values_mut() {
            for Waiting { req, deadline } in std::mem::take(&mut queue.waiting) {
                if let Some(endpoint) = acquire(&req, throttle, now) {
                    decisions.push((req.requester, Permit::Granted(endpoint)));
                } else if deadline <= now {
                    let wait = queue.expected_wait(&req, throttle, now);
                    let denied = queue.deny(&req, wait, throttle, now);
                    decisions.push((req.requester, denied));
                } else {
                    queue.waiting.push_back(Waiting { req, deadline });
                }
            }
        }
        let is_used = |queue: &ServiceQueue<A>| {
            !queue.waiting.is_empty() || now.since(queue.denied_since) < DENIAL_WINDOW
        };
        self.queues.retain(|_, queue| is_used(queue));
        self.update_due(throttle, now);
        decisions
    }

    /// When [`PermitQueue::decide`] must next be called.
    pub fn next_decision(&self) -> Option<Instant> {
        self.due
    }

    /// Drops queued requests whose requester is gone.
    pub fn cancel(&mut self, is_gone: impl Fn(&A) -> bool) {
        for queue in self.queues.values_mut() {
            queue.waiting.retain(|waiting| !is_gone(&waiting.req.requester));
        }
    }

    /// Removes and returns all queued requests.
    pub fn drain_waiting(&mut self) -> Vec<PermitRequest<A>> {
        let queues = std::mem::take(&mut self.queues);
        self.due = None;
        queues.into_values().flat_map(|queue| queue.waiting).map(|waiting| waiting.req).collect()
    }

    fn update_due(&mut self, throttle: &Throttle, now: Instant) {
        let waiting = self.queues.values().flat_map(|queue| &queue.waiting);
        let due = waiting.map(|waiting| {
            let send_times =
                waiting.req.endpoints.iter().map(|endpoint| throttle.next_send_at(endpoint, now));
            send_times.fold(waiting.deadline, Instant::min)
        });
        self.due = due.min();
    }
}

impl<A> ServiceQueue<A> {
    /// Expected wait of one more request.
    fn expected_wait(&self, req: &PermitRequest<A>, throttle: &Throttle, now: Instant) -> Duration {
        let first = req.endpoints.iter().map(|endpoint| throttle.next_send_at(endpoint, now)).min();
        let first = first.map_or(MAX_RETRY_AFTER, |at| at.since(now));
        first + time_to_send(self.waiting.len(), combined_rate(req, throttle))
    }

    fn deny(
        &mut self,
        req: &PermitRequest<A>,
        wait: Duration,
        throttle: &Throttle,
        now: Instant,
    ) -> Permit {
        if DENIAL_WINDOW <= now.since(self.denied_since) {
            (self.denied, self.denied_since) = (0, now);
        }
        let retry_after = wait + time_to_send(self.denied as usize, combined_rate(req, throttle));
        self.denied += 1;
        Permit::Denied { retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER) }
    }
}

/// Counts a request to the first endpoint that accepts one now, and returns it.
fn acquire<A>(req: &PermitRequest<A>, throttle: &mut Throttle, now: Instant) -> Option<Arc<str>> {
    let endpoint = req.endpoints.iter().find(|endpoint| throttle.may_send(endpoint, now))?;
    throttle.on_sent(endpoint, now);
    Some(endpoint.clone())
}

/// Combined send rate of the endpoints, in requests per second.
fn combined_rate<A>(req: &PermitRequest<A>, throttle: &Throttle) -> f64 {
    req.endpoints.iter().filter_map(|endpoint| throttle.rate(endpoint)).sum()
}

/// Time to send this number of requests at this rate, at most [`MAX_RETRY_AFTER`].
fn time_to_send(requests: usize, rate: f64) -> Duration {
    let time = Duration::try_from_secs_f64(requests as f64 / rate).unwrap_or(MAX_RETRY_AFTER);
    time.min(MAX_RETRY_AFTER)
}
