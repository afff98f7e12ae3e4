//! Gives permits for single requests to endpoints that name limits, first come, first served.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use super::Throttle;
use crate::units::Instant;

/// Most that wait for a permit at the endpoints of one service.
const MAX_WAITING: usize = 1_024;
/// Those that were refused within this time are counted into when the next one may come back, so that they do not
/// all come at the same moment.
const REFUSED_TOGETHER: Duration = Duration::from_secs(1);
/// Nobody is told to come back sooner than this, which is some round trips.
const SHORTEST_RETRY: Duration = Duration::from_millis(50);
/// Nor later: by then the endpoints may say otherwise.
const LONGEST_RETRY: Duration = Duration::from_secs(4);

/// A request for a permit.
#[derive(Debug, Clone)]
pub struct PermitRequest<A> {
    /// Who asks.
    pub requester: A,
    /// The service that the endpoints are of.
    pub service: Arc<str>,
    /// The endpoints that it may go to, the one that it would choose first.
    pub endpoints: Vec<Arc<str>>,
    /// How long it can wait.
    pub max_wait: Duration,
}

/// What an asker is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Permit {
    /// It may send one request to this endpoint, at once.
    Granted(Arc<str>),
    /// None of the endpoints takes one in time.
    Denied {
        /// When one likely does.
        retry_after: Duration,
    },
}

#[derive(Debug)]
struct Waiting<A> {
    ask: PermitRequest<A>,
    deadline: Instant,
}

/// Those that wait for a permit at one service.
#[derive(Debug)]
struct ServiceQueue<A> {
    waiting: VecDeque<Waiting<A>>,
    refused: u32,
    /// Since when they are counted.
    refused_since: Instant,
}

impl<A> Default for ServiceQueue<A> {
    fn default() -> ServiceQueue<A> {
        ServiceQueue { waiting: VecDeque::new(), refused: 0, refused_since: Instant::default() }
    }
}

/// Gives permits; knows nothing but who waits.
#[derive(Debug)]
pub struct PermitQueue<A> {
    queues: BTreeMap<Arc<str>, ServiceQueue<A>>,
    /// When it must decide again.
    due: Option<Instant>,
}

impl<A> Default for PermitQueue<A> {
    fn default() -> PermitQueue<A> {
        PermitQueue { queues: BTreeMap::new(), due: None }
    }
}

impl<A: Clone + PartialEq> PermitQueue<A> {
    /// Takes a request for a permit; it waits if nothing is returned.
    pub fn request(
        &mut self,
        ask: PermitRequest<A>,
        throttle: &mut Throttle,
        now: Instant,
    ) -> Option<Permit> {
        let queue = self.queues.entry(ask.service.clone()).or_default();
        if queue.waiting.is_empty()
            && let Some(endpoint) = take_turn(&ask, throttle, now)
        {
            return Some(Permit::Granted(endpoint));
        }
        let wait = queue.expected_wait(&ask, throttle, now);
        if ask.max_wait < wait || MAX_WAITING <= queue.waiting.len() {
            return Some(queue.refuse(&ask, wait, throttle, now));
        }
        let deadline = now.after(ask.max_wait);
        queue.waiting.push_back(Waiting { ask, deadline });
        self.look_ahead(throttle, now);
        None
    }

    /// What those that wait are told now.
    pub fn decide(&mut self, throttle: &mut Throttle, now: Instant) -> Vec<(A, Permit)> {
        let mut told = Vec::new();
        for queue in self.queues.values_mut() {
            for Waiting { ask, deadline } in std::mem::take(&mut queue.waiting) {
                if let Some(endpoint) = take_turn(&ask, throttle, now) {
                    told.push((ask.requester, Permit::Granted(endpoint)));
                } else if deadline <= now {
                    let wait = queue.expected_wait(&ask, throttle, now);
                    let refused = queue.refuse(&ask, wait, throttle, now);
                    told.push((ask.requester, refused));
                } else {
                    queue.waiting.push_back(Waiting { ask, deadline });
                }
            }
        }
        let is_used = |queue: &ServiceQueue<A>| {
            !queue.waiting.is_empty() || now.since(queue.refused_since) < REFUSED_TOGETHER
        };
        self.queues.retain(|_, queue| is_used(queue));
        self.look_ahead(throttle, now);
        told
    }

    /// When [`PermitQueue::decide`] must be called even without other input.
    pub fn next_decision(&self) -> Option<Instant> {
        self.due
    }

    /// Forgets those who ask no more.
    pub fn cancel(&mut self, is_gone: impl Fn(&A) -> bool) {
        for queue in self.queues.values_mut() {
            queue.waiting.retain(|waiting| !is_gone(&waiting.ask.requester));
        }
    }

    /// Takes all that wait out.
    pub fn drain_waiting(&mut self) -> Vec<PermitRequest<A>> {
        let queues = std::mem::take(&mut self.queues);
        self.due = None;
        queues.into_values().flat_map(|queue| queue.waiting).map(|waiting| waiting.ask).collect()
    }

    fn look_ahead(&mut self, throttle: &Throttle, now: Instant) {
        let waiting = self.queues.values().flat_map(|queue| &queue.waiting);
        let due = waiting.map(|waiting| {
            let turns =
                waiting.ask.endpoints.iter().map(|endpoint| throttle.next_send_at(endpoint, now));
            turns.fold(waiting.deadline, Instant::min)
        });
        self.due = due.min();
    }
}

impl<A> ServiceQueue<A> {
    /// How long one more would wait.
    fn expected_wait(&self, ask: &PermitRequest<A>, throttle: &Throttle, now: Instant) -> Duration {
        let first = ask.endpoints.iter().map(|endpoint| throttle.next_send_at(endpoint, now)).min();
        let first = first.map_or(LONGEST_RETRY, |at| at.since(now));
        first + spread(self.waiting.len(), rate(ask, throttle))
    }

    fn refuse(
        &mut self,
        ask: &PermitRequest<A>,
        wait: Duration,
        throttle: &Throttle,
        now: Instant,
    ) -> Permit {
        if REFUSED_TOGETHER <= now.since(self.refused_since) {
            (self.refused, self.refused_since) = (0, now);
        }
        let retry_after = wait + spread(self.refused as usize, rate(ask, throttle));
        self.refused += 1;
        Permit::Denied { retry_after: retry_after.clamp(SHORTEST_RETRY, LONGEST_RETRY) }
    }
}

/// Uses the turn of the first endpoint whose turn has come.
fn take_turn<A>(ask: &PermitRequest<A>, throttle: &mut Throttle, now: Instant) -> Option<Arc<str>> {
    let endpoint = ask.endpoints.iter().find(|endpoint| throttle.may_send(endpoint, now))?;
    throttle.on_sent(endpoint, now);
    Some(endpoint.clone())
}

/// Requests a second that the endpoints take together.
fn rate<A>(ask: &PermitRequest<A>, throttle: &Throttle) -> f64 {
    ask.endpoints.iter().filter_map(|endpoint| throttle.rate(endpoint)).sum()
}

/// The time in which so many requests are sent at this rate.
fn spread(requests: usize, rate: f64) -> Duration {
    let time = Duration::try_from_secs_f64(requests as f64 / rate).unwrap_or(LONGEST_RETRY);
    time.min(LONGEST_RETRY)
}
