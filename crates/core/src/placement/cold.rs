//! How fast an endpoint is given requests while it is cold.
//!
//! An endpoint that has just started, or whose data hall was given back, bears only so many requests a
//! second from all daemons together. Answers the load of a hall that returns in a burst, when its
//! endpoints are the emptiest ones for everybody. A scheduler spaces out what it sends to each of them.
//! Daemons that choose by themselves each keep to a share that may be far less than one request a
//! second: the first one is due after a random part of the time between two, so that hundreds of
//! daemons together send the whole, neither nothing nor hundreds of times as much.

use std::time::Duration;

use crate::{config::ColdStart, units::Instant};

/// Part of what a cold endpoint bears that a scheduler sends.
const SCHEDULERS_PART: f64 = 0.8;
/// The same for all daemons that choose by themselves together. Some may do so while others reach the
/// scheduler; both parts are 1.3 times what an endpoint bears, and one falls over well above that. The
/// random times of 300 daemons spread by a fifth (20 requests a second, one deviation).
const DAEMONS_PART: f64 = 0.5;
/// Daemons that do not know how many they are send nothing to cold endpoints: their share of as many
/// as there may be at all.
const UNKNOWN: u64 = 1_000_000;

/// Who sends to cold endpoints: one scheduler, or one of many daemons that choose by themselves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdSenders {
    part: f64,
    count: u64,
}

impl ColdSenders {
    /// The scheduler of all daemons.
    pub fn scheduler() -> ColdSenders {
        ColdSenders { part: SCHEDULERS_PART, count: 1 }
    }

    /// One of so many daemons; zero while their number is not known.
    pub fn daemons(count: u64) -> ColdSenders {
        let count = if count == 0 { UNKNOWN } else { count };
        ColdSenders { part: DAEMONS_PART, count }
    }

    /// Time between two requests of one of them to the same endpoint.
    pub fn interval(self, bears: ColdStart) -> Duration {
        bears.interval.mul_f64(self.count as f64 / self.part)
    }
}

/// An endpoint that is cold, as one sender knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cold {
    until: Instant,
    /// When it may be sent the next request.
    next: Instant,
}

impl Cold {
    /// One that is cold until then. Its first request is due after this part of `interval`.
    pub fn new(until: Instant, interval: Duration, part: f64, now: Instant) -> Cold {
        Cold { until, next: now.after(interval.mul_f64(part)) }
    }

    /// Notes that it is cold for longer.
    pub fn last(&mut self, until: Instant) {
        self.until = self.until.max(until);
    }

    /// Whether it is cold no more.
    pub fn is_over(&self, now: Instant) -> bool {
        self.until <= now
    }

    /// Whether it may be sent a request now.
    pub fn takes_work(&self, now: Instant) -> bool {
        self.is_over(now) || self.next <= now
    }

    /// When it may be sent a request, if that is not so already.
    pub fn next(&self) -> Instant {
        self.next.min(self.until)
    }

    /// Notes that it was sent a request.
    pub fn sent(&mut self, interval: Duration, now: Instant) {
        self.next = self.next.max(now).after(interval);
    }
}
