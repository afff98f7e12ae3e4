//! Pacing of one sender's requests to a rate limited endpoint.

use std::time::Duration;

use crate::units::Instant;

/// How long a send slot stays valid where several senders share a limit. Slots unused by hundreds
/// of daemons would otherwise accumulate and be used all at once.
pub(super) const SLOT_TTL: Duration = Duration::from_secs(1);

/// Evenly spaced send slots of one sender at one endpoint. Unused slots do not accumulate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Pacer {
    interval: Duration,
    next: Instant,
    /// Whether other senders share the limit.
    shared: bool,
}

impl Pacer {
    /// Creates a pacer whose first slot comes after the fraction `phase` of the interval.
    pub(super) fn new(interval: Duration, shared: bool, phase: f64, now: Instant) -> Pacer {
        Pacer { interval, next: now.after(interval.mul_f64(phase)), shared }
    }

    /// Whether a request may be sent now.
    pub(super) fn is_ready(&self, now: Instant) -> bool {
        self.next <= now && (!self.shared || self.since_last(now) < SLOT_TTL)
    }

    /// Earliest time at which a request may be sent.
    pub(super) fn next_send_at(&self, now: Instant) -> Instant {
        if self.is_ready(now) {
            return now;
        }
        if now < self.next { self.next } else { self.next_slot(now) }
    }

    /// Counts a request that is sent now.
    pub(super) fn on_sent(&mut self, now: Instant) {
        self.next = if self.shared && self.next <= now {
            self.next_slot(now)
        } else {
            // A sole sender may make up for one late slot.
            let earliest = Instant(now.0.saturating_sub(self.interval.as_micros() as u64));
            self.next.max(earliest).after(self.interval)
        };
    }

    /// Changes the interval and keeps the fraction of it that remains until the next slot. An
    /// expired shared slot stays expired, since all daemons learn of a new daemon count at once.
    pub(super) fn set_interval(&mut self, interval: Duration, shared: bool, now: Instant) {
        self.shared = shared;
        if self.interval == interval {
            return;
        }
        let next = if shared { self.next_send_at(now) } else { self.next };
        let remaining = next.since(now).as_secs_f64();
        let fraction = (remaining / self.interval.as_secs_f64().max(f64::MIN_POSITIVE)).min(1.0);
        self.interval = interval;
        self.next = now.after(interval.mul_f64(fraction));
    }

    /// Slots per second.
    pub(super) fn rate(&self) -> f64 {
        1.0 / self.interval.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Time since the latest slot that is not in the future.
    fn since_last(&self, now: Instant) -> Duration {
        let elapsed = now.since(self.next).as_micros() as u64;
        Duration::from_micros(elapsed % self.interval_us())
    }

    /// The first slot in the future.
    fn next_slot(&self, now: Instant) -> Instant {
        let elapsed = now.since(self.next).as_micros() as u64;
        Instant(self.next.0 + (elapsed / self.interval_us() + 1) * self.interval_us())
    }

    fn interval_us(&self) -> u64 {
        (self.interval.as_micros() as u64).max(1)
    }
}
