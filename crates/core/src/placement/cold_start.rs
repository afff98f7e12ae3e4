//! How fast an endpoint is given requests while it is cold.
//!
//! An endpoint that has just started, or whose data hall was given back, bears only so many requests a
//! second from all daemons together. Answers the load of a hall that returns in a burst, when its
//! endpoints are the emptiest ones for everybody. A scheduler spaces out what it sends to each of them.
//! Daemons that choose by themselves each keep to a share that may be far less than one request a
//! second: the first one is due after a random part of the time between two, so that hundreds of
//! daemons together send the whole, neither nothing nor hundreds of times as much.

use std::time::Duration;

use super::{RateSplit, SenderRole};
use crate::{config::ColdStart, units::Instant};

/// Who sends which part of what a cold endpoint bears. Some daemons may choose by themselves while others
/// reach the scheduler; both parts together are 1.3 times what an endpoint bears, and one falls over well above
/// that. The random times of 300 daemons spread by a fifth (20 requests a second, one deviation).
const RATE_SPLIT: RateSplit = RateSplit { scheduler: 0.8, daemons: 0.5 };

/// Time between two requests of one sender to the same cold endpoint.
pub fn cold_interval(role: SenderRole, cold_start: ColdStart) -> Duration {
    role.interval(cold_start.interval, RATE_SPLIT)
}

/// An endpoint that is cold, as one sender knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdPacer {
    until: Instant,
    /// When it may be sent the next request.
    next: Instant,
}

impl ColdPacer {
    /// One that is cold until then. Its first request is due after this part of `interval`.
    pub fn new(until: Instant, interval: Duration, phase: f64, now: Instant) -> ColdPacer {
        ColdPacer { until, next: now.after(interval.mul_f64(phase)) }
    }

    /// Notes that it is cold for longer.
    pub fn extend(&mut self, until: Instant) {
        self.until = self.until.max(until);
    }

    /// Whether it is cold no more.
    pub fn is_over(&self, now: Instant) -> bool {
        self.until <= now
    }

    /// Whether it may be sent a request now.
    pub fn may_send(&self, now: Instant) -> bool {
        self.is_over(now) || self.next <= now
    }

    /// When it may be sent a request, if that is not so already.
    pub fn next_send_at(&self) -> Instant {
        self.next.min(self.until)
    }

    /// Notes that it was sent a request.
    pub fn on_sent(&mut self, interval: Duration, now: Instant) {
        self.next = self.next.max(now).after(interval);
    }
}
