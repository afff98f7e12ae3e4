//! The ways to keep a limit among many daemons.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use serde::Serialize;
use trayswitch_core::{
    placement::SenderRole,
    throttle::{Permit, PermitQueue, PermitRequest, RateLimit, RateLimitReport, Throttle},
    units::Instant,
};

/// Requests a second that each endpoint takes.
pub(super) const LIMIT: f64 = 3.0;
/// Time between two leases, and the way to the leader and back.
const LEASE: Duration = Duration::from_millis(500);
const ROUND_TRIP: Duration = Duration::from_millis(5);

/// Who keeps the count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Way {
    /// Each daemon, for itself alone.
    Each,
    /// Each daemon, for an equal share of the whole.
    Shares,
    /// The leader, which lends each daemon a part by what it has asked for lately.
    Leases,
    /// The leader, which is asked for each request.
    Asked,
}

pub(super) const WAYS: [Way; 4] = [Way::Each, Way::Shares, Way::Leases, Way::Asked];

/// A request that comes to a daemon and can wait so long.
#[derive(Debug, Clone, Copy)]
pub(super) struct Arrival {
    pub(super) at: Instant,
    pub(super) daemon: usize,
}

/// A request that was sent to an endpoint.
#[derive(Debug, Clone)]
pub(super) struct Sent {
    pub(super) endpoint: Arc<str>,
    pub(super) at: Instant,
    pub(super) waited: Duration,
}

/// Keeps the limits of some endpoints.
pub(super) struct Deciders {
    way: Way,
    endpoints: Vec<Arc<str>>,
    /// One for each daemon, or one for all.
    queues: Vec<(PermitQueue<Arrival>, Throttle)>,
    /// Leases of the daemons: requests that each may still send, as parts of one.
    leases: Vec<f64>,
    /// What came to each daemon since the last leases.
    demand: Vec<f64>,
    next_lease: Instant,
    waiting: Vec<VecDeque<Arrival>>,
    turn: usize,
    /// Messages that the leader has got.
    pub(super) messages: usize,
}

impl PartialEq for Arrival {
    fn eq(&self, other: &Arrival) -> bool {
        (self.at, self.daemon) == (other.at, other.daemon)
    }
}

impl Deciders {
    pub(super) fn new(way: Way, daemons: usize, endpoints: usize) -> Deciders {
        let names: Vec<Arc<str>> = (0..endpoints).map(|n| format!("e{n}").into()).collect();
        let of_one = |seed: usize| {
            let senders = match way {
                Way::Shares => SenderRole::one_of(daemons as u64),
                Way::Each | Way::Leases | Way::Asked => SenderRole::Scheduler,
            };
            let mut throttle = Throttle::new(senders, seed as u64);
            for endpoint in &names {
                throttle.on_report(word(endpoint), Instant(1));
            }
            (PermitQueue::default(), throttle)
        };
        let queues = if way == Way::Asked { 1 } else { daemons };
        Deciders {
            way,
            queues: (0..queues).map(of_one).collect(),
            leases: vec![0.0; daemons],
            demand: vec![0.0; daemons],
            next_lease: Instant(0),
            waiting: vec![VecDeque::new(); daemons],
            turn: 0,
            endpoints: names,
            messages: 0,
        }
    }

    /// A request comes that can wait so long.
    pub(super) fn come(&mut self, arrival: Arrival, max_wait: Duration) -> Option<Sent> {
        self.demand[arrival.daemon] += 1.0;
        if self.way == Way::Leases {
            self.waiting[arrival.daemon].push_back(arrival);
            return None;
        }
        let is_asked = self.way == Way::Asked;
        self.messages += usize::from(is_asked);
        let at = if is_asked { 0 } else { arrival.daemon };
        let (queue, throttle) = &mut self.queues[at];
        let endpoints = self.endpoints.clone();
        let ask = PermitRequest { requester: arrival, service: "s".into(), endpoints, max_wait };
        match queue.request(ask, throttle, arrival.at) {
            Some(Permit::Granted(endpoint)) => Some(self.sent(endpoint, arrival, arrival.at)),
            Some(Permit::Denied { .. }) | None => None,
        }
    }

    /// What is sent now of what waits.
    pub(super) fn decide(&mut self, now: Instant, max_wait: Duration) -> Vec<Sent> {
        if self.way == Way::Leases {
            return self.use_leases(now, max_wait);
        }
        let mut told = Vec::new();
        for (queue, throttle) in &mut self.queues {
            if queue.next_decision().is_some_and(|due| due <= now) {
                told.extend(queue.decide(throttle, now));
            }
        }
        let sent = |(arrival, permit)| match permit {
            Permit::Granted(endpoint) => Some(self.sent(endpoint, arrival, now)),
            Permit::Denied { .. } => None,
        };
        told.into_iter().filter_map(sent).collect()
    }

    fn use_leases(&mut self, now: Instant, max_wait: Duration) -> Vec<Sent> {
        if self.next_lease <= now {
            self.next_lease = now.after(LEASE);
            self.messages += self.leases.len();
            let whole = LIMIT * self.endpoints.len() as f64 * LEASE.as_secs_f64();
            let all: f64 = self.demand.iter().sum();
            for (lease, demand) in self.leases.iter_mut().zip(&mut self.demand) {
                // What is left of a request is kept, up to one.
                *lease = lease.fract() + whole * *demand / all.max(1.0);
                *demand = 0.0;
            }
        }
        let mut sent = Vec::new();
        for daemon in 0..self.waiting.len() {
            let is_late = |arrival: &Arrival| max_wait < now.since(arrival.at);
            while self.waiting[daemon].front().is_some_and(is_late) {
                self.waiting[daemon].pop_front();
            }
            while 1.0 <= self.leases[daemon] {
                let Some(arrival) = self.waiting[daemon].pop_front() else { break };
                self.leases[daemon] -= 1.0;
                self.turn += 1;
                let endpoint = self.endpoints[self.turn % self.endpoints.len()].clone();
                sent.push(self.sent(endpoint, arrival, now));
            }
        }
        sent
    }

    fn sent(&self, endpoint: Arc<str>, arrival: Arrival, now: Instant) -> Sent {
        let way_there = if self.way == Way::Asked { ROUND_TRIP } else { Duration::ZERO };
        Sent { endpoint, at: now.after(way_there), waited: now.since(arrival.at) + way_there }
    }
}

fn word(endpoint: &Arc<str>) -> RateLimitReport {
    let limit = RateLimit::new(LIMIT).ok();
    RateLimitReport {
        endpoint: endpoint.clone(),
        started_at: 0,
        limit,
        sent_at: Instant(0),
        received_at: Instant(1),
    }
}
