//! How fast endpoints make tokens, measured by the progress of what runs there.

use std::time::Duration;

use super::endpoint::EndpointState;
use crate::units::Instant;

/// Progress is told in steps of half a second; a shorter span would measure the telling.
const MIN_SPAN: Duration = Duration::from_millis(500);
/// A span counts for no more than this many times the pace so far: a daemon that was suspended
/// or cut off tells of spans that say nothing of the endpoint.
const MAX_SPAN_RATIO: f64 = 5.0;
/// Weight of the newest span in an endpoint's pace: two or three spans tell a slow one.
const EWMA_WEIGHT: f64 = 0.4;
/// A pace that was not measured for this long is forgotten, so that an endpoint that was
/// avoided is tried again. Outlier ejection in load balancers starts from the same 30 s.
const MAX_AGE: Duration = Duration::from_secs(30);

/// Seconds that a token takes while nobody's pace is known: the usual speed of the users' engines.
pub(crate) const DEFAULT_TOKEN_SECONDS: f64 = 0.008;

/// Seconds for a token at the fastest of these endpoints, if any was measured lately.
pub(crate) fn lowest(endpoints: &[&EndpointState], now: Instant) -> Option<f64> {
    let latencies =
        endpoints.iter().filter_map(|endpoint| endpoint.token_latency.seconds_per_token(now));
    latencies.min_by(f64::total_cmp)
}

/// The time that an endpoint takes for a token of one stream, smoothed.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct TokenLatency {
    /// In seconds; `None` until a span was measured.
    seconds_per_token: Option<f64>,
    /// When the last span ended that was counted.
    measured_at: Instant,
}

impl TokenLatency {
    /// Seconds for a token, if any was measured lately.
    pub(crate) fn seconds_per_token(self, now: Instant) -> Option<f64> {
        self.seconds_per_token.filter(|_| now.since(self.measured_at) < MAX_AGE)
    }

    /// How much longer than the fastest endpoint this one takes, as a part of the fastest's
    /// time; nothing while either is unknown.
    pub(crate) fn slowdown(self, lowest: Option<f64>, now: Instant) -> f64 {
        match (self.seconds_per_token(now), lowest) {
            (Some(own), Some(lowest)) if 0.0 < lowest => own / lowest - 1.0,
            _ => 0.0,
        }
    }

    /// Counts a span in which a token took `per_token` seconds.
    fn record(&mut self, seconds_per_token: f64, now: Instant) {
        let before = self.seconds_per_token(now).unwrap_or(seconds_per_token);
        let seconds_per_token = seconds_per_token.min(before * MAX_SPAN_RATIO);
        self.seconds_per_token = Some(before + EWMA_WEIGHT * (seconds_per_token - before));
        self.measured_at = now;
    }
}

/// Measures one stream at one endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TokenLatencyMeter {
    /// Start of the span that is being measured.
    span_start: Option<ProgressPoint>,
}

/// How far a stream was at a time.
#[derive(Debug, Clone, Copy)]
struct ProgressPoint {
    at: Instant,
    tokens: u64,
}

impl TokenLatencyMeter {
    /// Takes the number of tokens so far; a span that is long enough counts for `pace`.
    pub(crate) fn observe(&mut self, tokens: u64, now: Instant, latency: &mut TokenLatency) {
        let Some(start) = self.span_start else {
            self.span_start = Some(ProgressPoint { at: now, tokens });
            return;
        };
        let span = now.since(start.at);
        if span < MIN_SPAN || tokens <= start.tokens {
            return;
        }
        // A longer span has nothing left to be compared with.
        if span < MAX_AGE {
            latency.record(span.as_secs_f64() / (tokens - start.tokens) as f64, now);
        }
        self.span_start = Some(ProgressPoint { at: now, tokens });
    }
}
