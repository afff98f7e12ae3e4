//! Speeds of the fastest endpoints of a set, and the slowness of others relative to them.
//!
//! Equal engines differ in decode speed by their prefill load: prefill about doubles the time per
//! token of all streams. Prefill speed hardly depends on load, since prompts are prefilled
//! sequentially, and therefore shows the inherent speed of an engine.

use super::{endpoint::EndpointState, token_latency};
use crate::units::Instant;

/// Cap on the prefill utilization used in estimates.
const MAX_PREFILL_UTILIZATION: f64 = 0.8;

/// Best speeds among a set of endpoints.
#[derive(Debug, Clone, Copy)]
pub(super) struct SpeedBaseline {
    /// Lowest current time per token, in seconds.
    pub(super) token_seconds: Option<f64>,
    /// Highest measured prefill speed, in tokens per second.
    prefill_speed: Option<f64>,
}

impl SpeedBaseline {
    /// Computes the baseline of these endpoints.
    pub(super) fn of(endpoints: &[&EndpointState], now: Instant) -> SpeedBaseline {
        let speeds =
            endpoints.iter().filter_map(|endpoint| endpoint.prefill.measured_tokens_per_second());
        SpeedBaseline {
            token_seconds: token_latency::lowest(endpoints, now),
            prefill_speed: speeds.max_by(f64::total_cmp),
        }
    }

    /// Expected seconds per token on an endpoint, given its prefill load and inherent speed.
    pub(super) fn expected_token_seconds(&self, endpoint: &EndpointState, now: Instant) -> f64 {
        self.token_seconds.unwrap_or(token_latency::DEFAULT_TOKEN_SECONDS)
            * self.slowness(endpoint, now)
    }

    /// Expected time per token on an endpoint relative to the fastest.
    pub(super) fn slowness(&self, endpoint: &EndpointState, now: Instant) -> f64 {
        let own = match (self.prefill_speed, endpoint.prefill.measured_tokens_per_second()) {
            (Some(fastest), Some(speed)) => fastest / speed,
            _ => endpoint.reported_slowness(now),
        };
        own / (1.0 - endpoint.prefill.utilization(now).min(MAX_PREFILL_UTILIZATION))
    }
}
