//! What the fastest of some endpoints do, and how much slower another one is.
//!
//! Equal engines differ by how much they read: a prompt that is being read doubles the time for a token
//! of all that runs there. Engines also differ by themselves. Their speed of reading tells that apart
//! from all else, since they read one prompt after the other.
//!
//! Taking it into account took the time between events of long answers from 40.5 to 37 ms where a third
//! of 122 engines takes 1.3 times as long for everything (`trayswitch-lab fleet --leaving`, 8 seeds).

use super::{endpoint::EndpointState, token_latency};
use crate::units::Instant;

/// Beyond this part of its time spent on reading, an endpoint's slowness is all put down to it.
const MAX_PREFILL_UTILIZATION: f64 = 0.8;

/// The fastest of some endpoints.
#[derive(Debug, Clone, Copy)]
pub(super) struct SpeedBaseline {
    /// Seconds for a token, if any was measured lately.
    pub(super) token_seconds: Option<f64>,
    /// Prompt tokens read in a second, if any was measured.
    prefill_speed: Option<f64>,
}

impl SpeedBaseline {
    /// The fastest of these.
    pub(super) fn of(endpoints: &[&EndpointState], now: Instant) -> SpeedBaseline {
        let speeds =
            endpoints.iter().filter_map(|endpoint| endpoint.prefill.measured_tokens_per_second());
        SpeedBaseline {
            token_seconds: token_latency::lowest(endpoints, now),
            prefill_speed: speeds.max_by(f64::total_cmp),
        }
    }

    /// Seconds that a token takes at an endpoint, by what it reads and by its own speed.
    pub(super) fn expected_token_seconds(&self, endpoint: &EndpointState, now: Instant) -> f64 {
        self.token_seconds.unwrap_or(token_latency::DEFAULT_TOKEN_SECONDS)
            * self.slowness(endpoint, now)
    }

    /// The same as a part of the fastest's time.
    pub(super) fn slowness(&self, endpoint: &EndpointState, now: Instant) -> f64 {
        let own = match (self.prefill_speed, endpoint.prefill.measured_tokens_per_second()) {
            (Some(fastest), Some(speed)) => fastest / speed,
            _ => endpoint.reported_slowness(now),
        };
        own / (1.0 - endpoint.prefill.utilization(now).min(MAX_PREFILL_UTILIZATION))
    }
}
