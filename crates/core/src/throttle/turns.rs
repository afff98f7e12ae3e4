//! When one sender may send to an endpoint that names a limit.

use std::time::Duration;

use crate::units::Instant;

/// One of many senders whose turn has come uses it within this time, or waits for the next one. Else turns
/// that nobody has used would add up over hundreds of daemons, and all be used at the same moment.
pub(super) const TURN_LIFE: Duration = Duration::from_secs(1);

/// The turns of one sender at one endpoint, evenly spaced. None is saved up, whatever time has passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Turns {
    interval: Duration,
    next: Instant,
    /// Whether others send as well, each in turns of its own.
    shared: bool,
}

impl Turns {
    /// Turns of which the first comes after this part of the time between two.
    pub(super) fn new(interval: Duration, shared: bool, part: f64, now: Instant) -> Turns {
        Turns { interval, next: now.after(interval.mul_f64(part)), shared }
    }

    /// Whether it may send now.
    pub(super) fn has_come(&self, now: Instant) -> bool {
        self.next <= now && (!self.shared || self.since_last(now) < TURN_LIFE)
    }

    /// When it may send, at the earliest.
    pub(super) fn next(&self, now: Instant) -> Instant {
        if self.has_come(now) {
            return now;
        }
        if now < self.next { self.next } else { self.after_this(now) }
    }

    /// Notes that it has sent.
    pub(super) fn sent(&mut self, now: Instant) {
        self.next = if self.shared && self.next <= now {
            self.after_this(now)
        } else {
            // A sender that is alone makes up for one turn that came late.
            let earliest = Instant(now.0.saturating_sub(self.interval.as_micros() as u64));
            self.next.max(earliest).after(self.interval)
        };
    }

    /// Takes another time between two turns; as large a part of it is left as before. A shared turn that has
    /// lapsed stays so: all daemons learn of their number at the same moment.
    pub(super) fn space(&mut self, interval: Duration, shared: bool, now: Instant) {
        self.shared = shared;
        if self.interval == interval {
            return;
        }
        let next = if shared { self.next(now) } else { self.next };
        let left = next.since(now).as_secs_f64();
        let part = (left / self.interval.as_secs_f64().max(f64::MIN_POSITIVE)).min(1.0);
        self.interval = interval;
        self.next = now.after(interval.mul_f64(part));
    }

    /// Turns a second.
    pub(super) fn rate(&self) -> f64 {
        1.0 / self.interval.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Time since the last turn came that is not in the future.
    fn since_last(&self, now: Instant) -> Duration {
        let passed = now.since(self.next).as_micros() as u64;
        Duration::from_micros(passed % self.micros())
    }

    /// The first turn that is in the future.
    fn after_this(&self, now: Instant) -> Instant {
        let passed = now.since(self.next).as_micros() as u64;
        Instant(self.next.0 + (passed / self.micros() + 1) * self.micros())
    }

    fn micros(&self) -> u64 {
        (self.interval.as_micros() as u64).max(1)
    }
}
