//! When the KV cache of running requests is expected to become free.

use std::time::Duration;

use super::service_rate::{DecayingSum, slow_sum};
use crate::units::Instant;

/// Resolution of the forecast, short against the smallest target latencies.
pub(super) const STEP: Duration = Duration::from_millis(100);
/// Number of steps that are forecast. Four seconds cover the usual time in the queue.
pub(super) const STEPS: usize = 40;
/// Age up to which a forecast is used; it is renewed with every check of the queue.
const MAX_AGE_STEPS: u64 = 5;

/// Work of running requests by the time at which it is expected to end.
///
/// After a burst begins, engines are full, but what ends is still what started under the lighter load
/// before; after a response time it is what started in the burst.
#[derive(Debug)]
pub(super) struct ReleaseForecast {
    /// Tokens by step; the first element is `first`.
    due: [f64; STEPS],
    first: u64,
    /// Tokens that have ended.
    released: DecayingSum,
}

impl Default for ReleaseForecast {
    fn default() -> ReleaseForecast {
        ReleaseForecast { due: [0.0; STEPS], first: 0, released: slow_sum() }
    }
}

impl ReleaseForecast {
    /// Whether the forecast applies to requests that run for this long. The end of shorter ones
    /// follows from arrivals that are still to come.
    pub(super) fn covers(hold: Duration) -> bool {
        STEP * STEPS as u32 <= hold
    }

    /// Records the end of a request that the forecast applies to.
    pub(super) fn on_released(&mut self, work: f64, now: Instant) {
        self.released.add(work, now);
    }

    /// Replaces the forecast by this work and the time for which it is expected to run.
    pub(super) fn renew(&mut self, running: impl Iterator<Item = (f64, Duration)>, now: Instant) {
        (self.due, self.first) = ([0.0; STEPS], step(now));
        for (work, left) in running {
            let ahead = step(now.after(left)) - self.first;
            if let Some(due) = self.due.get_mut(ahead as usize) {
                *due += work;
            }
        }
    }

    /// Tokens that end in each of the next steps more (or, if negative, less) than in an average one
    /// of the recent past. Zero without a recent forecast.
    pub(super) fn changes(&self, now: Instant) -> impl Iterator<Item = f64> {
        let age = step(now).saturating_sub(self.first);
        let average = self.released.per_second(now) * STEP.as_secs_f64();
        (0..STEPS).map(move |ahead| {
            let due = self.due.get(ahead + age as usize).filter(|_| age <= MAX_AGE_STEPS);
            due.map_or(0.0, |due| due - average)
        })
    }
}

/// Number of the step that contains this time.
fn step(at: Instant) -> u64 {
    at.0 / STEP.as_micros() as u64
}
