//! How long the calls of a service take, and from when on one takes unusually long.

use std::time::Duration;

/// Weights of the newest call in the mean and in the deviation: those by which TCP finds its
/// time-out (RFC 6298, section 2).
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Deviations beyond the mean that are still usual. With TCP's four, two calls a day more were late
/// (48 paired days); with two, as many as with a second attempt at half of the target.
const HEDGE_DEVIATIONS: f64 = 2.0;
/// Calls after which the figures mean something.
const MIN_SAMPLES: u32 = 16;

/// The time that calls of one service took, smoothed.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LatencyEstimate {
    samples: u32,
    /// In seconds.
    mean: f64,
    /// Mean distance from the mean, in seconds.
    deviation: f64,
}

impl LatencyEstimate {
    /// Takes the time of a call that was answered.
    pub(super) fn record(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        if self.samples == 0 {
            (self.mean, self.deviation) = (took, took / 2.0);
        }
        self.samples = self.samples.saturating_add(1);
        self.deviation += DEVIATION_WEIGHT * ((took - self.mean).abs() - self.deviation);
        self.mean += MEAN_WEIGHT * (took - self.mean);
    }

    /// The time that a call takes, once any has been answered.
    pub(super) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// The time after which a call takes longer than the others explain, once that is known.
    pub(super) fn hedge_delay(&self) -> Option<Duration> {
        let threshold = self.mean + HEDGE_DEVIATIONS * self.deviation;
        (MIN_SAMPLES <= self.samples).then(|| Duration::from_secs_f64(threshold))
    }
}
