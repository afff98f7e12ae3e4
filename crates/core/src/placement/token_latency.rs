//! Time per output token of endpoints, measured from the progress of their streams.

use std::time::Duration;

use super::endpoint::EndpointState;
use crate::units::Instant;

/// Minimum length of a measured span; progress is reported every half second.
const MIN_SPAN: Duration = Duration::from_millis(500);
/// Spans count for at most this many times the current average. Limits the effect of suspended or
/// disconnected daemons.
const MAX_SPAN_RATIO: f64 = 5.0;
/// Weight of the latest span in the moving average. Two or three spans reveal a slow endpoint.
const EWMA_WEIGHT: f64 = 0.4;
/// Age at which a measurement expires, so that avoided endpoints are tried again.
const MAX_AGE: Duration = Duration::from_secs(30);

/// Seconds per token assumed while no endpoint has measurements. The usual speed of the users'
/// engines.
pub(crate) const DEFAULT_TOKEN_SECONDS: f64 = 0.008;

/// Lowest current time per token of these endpoints, in seconds.
pub(crate) fn lowest(endpoints: &[&EndpointState], now: Instant) -> Option<f64> {
    let latencies =
        endpoints.iter().filter_map(|endpoint| endpoint.token_latency.seconds_per_token(now));
    latencies.min_by(f64::total_cmp)
}

/// Moving average of an endpoint's time per output token.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct TokenLatency {
    /// Seconds per token; `None` until measured.
    seconds_per_token: Option<f64>,
    /// End of the latest measured span.
    measured_at: Instant,
}

impl TokenLatency {
    /// Seconds per token, unless the measurement has expired.
    pub(crate) fn seconds_per_token(self, now: Instant) -> Option<f64> {
        self.seconds_per_token.filter(|_| now.since(self.measured_at) < MAX_AGE)
    }

    /// Excess over the lowest time per token as a fraction of it; zero if either is unknown.
    pub(crate) fn slowdown(self, lowest: Option<f64>, now: Instant) -> f64 {
        match (self.seconds_per_token(now), lowest) {
            (Some(own), Some(lowest)) if 0.0 < lowest => own / lowest - 1.0,
            _ => 0.0,
        }
    }

    /// Adds a span with this time per token.
    fn record(&mut self, seconds_per_token: f64, now: Instant) {
        let before = self.seconds_per_token(now).unwrap_or(seconds_per_token);
        let seconds_per_token = seconds_per_token.min(before * MAX_SPAN_RATIO);
        self.seconds_per_token = Some(before + EWMA_WEIGHT * (seconds_per_token - before));
        self.measured_at = now;
    }
}

/// Measures one stream on one endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TokenLatencyMeter {
    /// Start of the current span.
    span_start: Option<ProgressPoint>,
}

/// Token count of a stream at a point in time.
#[derive(Debug, Clone, Copy)]
struct ProgressPoint {
    at: Instant,
    tokens: u64,
}

impl TokenLatencyMeter {
    /// Processes the current token count and adds the span to `latency` if it is long enough.
    pub(crate) fn observe(&mut self, tokens: u64, now: Instant, latency: &mut TokenLatency) {
        let Some(start) = self.span_start else {
            self.span_start = Some(ProgressPoint { at: now, tokens });
            return;
        };
        let span = now.since(start.at);
        if span < MIN_SPAN || tokens <= start.tokens {
            return;
        }
        // Longer spans exceed the age of the average they would be compared with.
        if span < MAX_AGE {
            latency.record(span.as_secs_f64() / (tokens - start.tokens) as f64, now);
        }
        self.span_start = Some(ProgressPoint { at: now, tokens });
    }
}
