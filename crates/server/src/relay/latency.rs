//! Latency estimates of calls, from which the hedging delay follows.

use std::time::Duration;

/// Smoothing factors of the round-trip time estimator in RFC 6298, section 2.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Calls that exceed the mean by more than this many mean deviations are hedged. With the four
/// deviations of TCP more calls were late; with two as many as with a second attempt at half of the
/// target.
const HEDGE_DEVIATIONS: f64 = 2.0;
/// Samples needed for an estimate.
const MIN_SAMPLES: u32 = 16;

/// Smoothed latency of a service's calls.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LatencyEstimate {
    samples: u32,
    /// In seconds.
    mean: f64,
    /// Mean absolute deviation in seconds.
    deviation: f64,
}

impl LatencyEstimate {
    /// Records the latency of an answered call.
    pub(super) fn record(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        if self.samples == 0 {
            (self.mean, self.deviation) = (took, took / 2.0);
        }
        self.samples = self.samples.saturating_add(1);
        self.deviation += DEVIATION_WEIGHT * ((took - self.mean).abs() - self.deviation);
        self.mean += MEAN_WEIGHT * (took - self.mean);
    }

    /// Zero before the first sample.
    pub(super) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// How long a call may run before it is hedged; `None` while there are too few samples.
    pub(super) fn hedge_delay(&self) -> Option<Duration> {
        let threshold = self.mean + HEDGE_DEVIATIONS * self.deviation;
        (MIN_SAMPLES <= self.samples).then(|| Duration::from_secs_f64(threshold))
    }
}
