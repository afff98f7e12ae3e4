//! What the fastest of some endpoints do, and how much slower another one is.
//!
//! Equal engines differ by how much they read: a prompt that is being read doubles the time for a token
//! of all that runs there. Engines also differ by themselves. Their speed of reading tells that apart
//! from all else, since they read one prompt after the other.
//!
//! Taking it into account took the time between events of long answers from 40.5 to 37 ms where a third
//! of 122 engines takes 1.3 times as long for everything (`trayswitch-lab fleet --leaving`, 8 seeds).

use super::{endpoint::EndpointState, pace};
use crate::units::Instant;

/// Beyond this part of its time spent on reading, an endpoint's slowness is all put down to it.
const MOST_READING: f64 = 0.8;

/// The fastest of some endpoints.
#[derive(Debug, Clone, Copy)]
pub(super) struct Fastest {
    /// Seconds for a token, if any was measured lately.
    pub(super) pace: Option<f64>,
    /// Prompt tokens read in a second, if any was measured.
    speed: Option<f64>,
}

impl Fastest {
    /// The fastest of these.
    pub(super) fn of(endpoints: &[&EndpointState], now: Instant) -> Fastest {
        let speeds =
            endpoints.iter().filter_map(|endpoint| endpoint.prefill.measured_tokens_per_second());
        Fastest { pace: pace::fastest(endpoints, now), speed: speeds.max_by(f64::total_cmp) }
    }

    /// Seconds that a token takes at an endpoint, by what it reads and by its own speed.
    pub(super) fn token_time_at(&self, endpoint: &EndpointState, now: Instant) -> f64 {
        self.pace.unwrap_or(pace::USUAL) * self.slowness_of(endpoint, now)
    }

    /// The same as a part of the fastest's time.
    pub(super) fn slowness_of(&self, endpoint: &EndpointState, now: Instant) -> f64 {
        let own = match (self.speed, endpoint.prefill.measured_tokens_per_second()) {
            (Some(fastest), Some(speed)) => fastest / speed,
            _ => endpoint.reported_slowness(now),
        };
        own / (1.0 - endpoint.prefill.utilization(now).min(MOST_READING))
    }
}
