//! The work that will have started by each time in the next seconds.

use std::time::Duration;

use super::release_forecast::{STEP, STEPS};

/// Fraction of the service rate that is assumed to be left at any time, so that estimates stay finite
/// while more urgent requests take everything.
const MIN_RATE_FRACTION: f64 = 0.05;
/// Longest estimate; engines and demand change much within this time.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Cumulative service of one rank.
#[derive(Debug)]
pub(super) struct ServiceCurve {
    /// Tokens that start by the end of each step.
    by_step: [f64; STEPS],
    /// Tokens per second after the last step.
    rate: f64,
}

impl ServiceCurve {
    /// Combines the total rate and the rates that more urgent requests take now and usually, in tokens
    /// per second, with
    /// forecast changes of the tokens released in each step.
    pub(super) fn new(
        total: f64,
        more_urgent: f64,
        more_urgent_usually: f64,
        changes: impl Iterator<Item = f64>,
    ) -> ServiceCurve {
        let min_rate = total * MIN_RATE_FRACTION;
        let left = total - more_urgent;
        let seconds = STEP.as_secs_f64();
        let mut by_step = [0.0; STEPS];
        let mut sum = 0.0;
        for (tokens, change) in by_step.iter_mut().zip(changes) {
            sum += (left * seconds + change).max(min_rate * seconds);
            *tokens = sum;
        }
        ServiceCurve { by_step, rate: (total - more_urgent_usually).max(min_rate) }
    }

    /// Tokens per second after the steps.
    pub(super) fn rate(&self) -> f64 {
        self.rate
    }

    /// Time until this many tokens have started.
    pub(super) fn time_for(&self, work: f64) -> Duration {
        if work <= 0.0 {
            return Duration::ZERO;
        }
        let step = self.by_step.partition_point(|tokens| *tokens < work);
        let before = step.checked_sub(1).map_or(0.0, |at| self.by_step[at]);
        let rate = match self.by_step.get(step) {
            Some(tokens) => (tokens - before) / STEP.as_secs_f64(),
            None => self.rate,
        };
        let rest = Duration::try_from_secs_f64((work - before) / rate).unwrap_or(MAX_WAIT);
        (STEP * step as u32 + rest.min(MAX_WAIT)).min(MAX_WAIT)
    }
}
