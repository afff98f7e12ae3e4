//! Pacing of requests to cold endpoints.
//!
//! An endpoint that has just started, or whose data hall is back in service, can handle only a
//! limited request rate from all daemons together. The scheduler spaces out its requests to each
//! such endpoint. Daemons that place requests themselves each use an equal fraction of the rate, with
//! a random phase so that their first requests do not coincide.

use std::time::Duration;

use super::{RateSplit, SenderRole};
use crate::{config::ColdStart, units::Instant};

/// The fractions add up to more than 1, because some daemons may be cut off from the scheduler while
/// others are not. Together they are 1.3 times what an endpoint bears, which it tolerates.
const RATE_SPLIT: RateSplit = RateSplit { scheduler: 0.8, daemons: 0.5 };

/// Time between two requests of one sender to the same cold endpoint.
pub fn cold_interval(role: SenderRole, cold_start: ColdStart) -> Duration {
    role.interval(cold_start.min_interval, RATE_SPLIT)
}

/// Paces the requests of one sender to a cold endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdPacer {
    until: Instant,
    /// Earliest time of the next request.
    next: Instant,
}

impl ColdPacer {
    /// Creates a pacer for an endpoint that is cold until `until`. The first request is due after the
    /// fraction `phase` of `interval`.
    pub fn new(until: Instant, interval: Duration, phase: f64, now: Instant) -> ColdPacer {
        ColdPacer { until, next: now.after(interval.mul_f64(phase)) }
    }

    /// Extends the cold period; never shortens it.
    pub fn extend(&mut self, until: Instant) {
        self.until = self.until.max(until);
    }

    /// Whether the cold period has ended.
    pub fn is_over(&self, now: Instant) -> bool {
        self.until <= now
    }

    /// Whether a request may be sent now.
    pub fn may_send(&self, now: Instant) -> bool {
        self.is_over(now) || self.next <= now
    }

    /// Earliest time at which a request may be sent.
    pub fn next_send_at(&self) -> Instant {
        self.next.min(self.until)
    }

    /// Records that a request was sent.
    pub fn on_sent(&mut self, interval: Duration, now: Instant) {
        self.next = self.next.max(now).after(interval);
    }
}
