//! How fast endpoints make tokens, measured by the progress of what runs there.

use std::time::Duration;

use super::endpoint::EndpointState;
use crate::units::Instant;

/// Progress is told in steps of half a second; a shorter span would measure the telling.
const SHORTEST_SPAN: Duration = Duration::from_millis(500);
/// A span counts for no more than this many times the pace so far: a daemon that was suspended
/// or cut off tells of spans that say nothing of the endpoint.
const MOST_SLOWER: f64 = 5.0;
/// Weight of the newest span in an endpoint's pace: two or three spans tell a slow one.
const SMOOTHING: f64 = 0.4;
/// A pace that was not measured for this long is forgotten, so that an endpoint that was
/// avoided is tried again. Outlier ejection in load balancers starts from the same 30 s.
const MEMORY: Duration = Duration::from_secs(30);

/// Seconds that a token takes while nobody's pace is known: the usual speed of the users' engines.
pub(crate) const USUAL: f64 = 0.008;

/// Seconds for a token at the fastest of these endpoints, if any was measured lately.
pub(crate) fn fastest(endpoints: &[&EndpointState], now: Instant) -> Option<f64> {
    let paces = endpoints.iter().filter_map(|endpoint| endpoint.pace.per_token(now));
    paces.min_by(f64::total_cmp)
}

/// The time that an endpoint takes for a token of one stream, smoothed.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct Pace {
    /// In seconds; `None` until a span was measured.
    per_token: Option<f64>,
    /// When the last span ended that was counted.
    measured: Instant,
}

impl Pace {
    /// Seconds for a token, if any was measured lately.
    pub(crate) fn per_token(self, now: Instant) -> Option<f64> {
        self.per_token.filter(|_| now.since(self.measured) < MEMORY)
    }

    /// How much longer than the fastest endpoint this one takes, as a part of the fastest's
    /// time; nothing while either is unknown.
    pub(crate) fn slowdown(self, fastest: Option<f64>, now: Instant) -> f64 {
        match (self.per_token(now), fastest) {
            (Some(own), Some(fastest)) if 0.0 < fastest => own / fastest - 1.0,
            _ => 0.0,
        }
    }

    /// Counts a span in which a token took `per_token` seconds.
    fn note(&mut self, per_token: f64, now: Instant) {
        let before = self.per_token(now).unwrap_or(per_token);
        let per_token = per_token.min(before * MOST_SLOWER);
        self.per_token = Some(before + SMOOTHING * (per_token - before));
        self.measured = now;
    }
}

/// Measures one stream at one endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PaceMeter {
    /// Start of the span that is being measured.
    since: Option<Mark>,
}

/// How far a stream was at a time.
#[derive(Debug, Clone, Copy)]
struct Mark {
    at: Instant,
    tokens: u64,
}

impl PaceMeter {
    /// Takes the number of tokens so far; a span that is long enough counts for `pace`.
    pub(crate) fn measure(&mut self, tokens: u64, now: Instant, pace: &mut Pace) {
        let Some(since) = self.since else {
            self.since = Some(Mark { at: now, tokens });
            return;
        };
        let span = now.since(since.at);
        if span < SHORTEST_SPAN || tokens <= since.tokens {
            return;
        }
        // A longer span has nothing left to be compared with.
        if span < MEMORY {
            pace.note(span.as_secs_f64() / (tokens - since.tokens) as f64, now);
        }
        self.since = Some(Mark { at: now, tokens });
    }
}
