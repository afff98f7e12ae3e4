//! Spreads the retries of callers that are refused together.

use std::time::Duration;

use crate::units::Instant;

/// Window in which refusals are counted together.
const REFUSAL_WINDOW: Duration = Duration::from_secs(1);
/// Retries per second that one endpoint is expected to accept.
const RETRIES_PER_ENDPOINT: f64 = 2.0;
/// Longest delay added to a retry.
const MAX_SPREAD: Duration = Duration::from_secs(4);

/// Counts recent refusals to delay each retry more than the one before.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetrySpreader {
    count: u32,
    since: Instant,
}

impl RetrySpreader {
    /// Counts a refusal and returns the additional delay of its retry, given the number of
    /// endpoints.
    pub fn next_delay(&mut self, endpoints: usize, now: Instant) -> Duration {
        let retries_per_second = RETRIES_PER_ENDPOINT * endpoints.max(1) as f64;
        if REFUSAL_WINDOW <= now.since(self.since) {
            *self = RetrySpreader { count: 0, since: now };
        }
        let refused_before = f64::from(self.count);
        self.count += 1;
        let delay =
            Duration::try_from_secs_f64(refused_before / retries_per_second).unwrap_or(MAX_SPREAD);
        delay.min(MAX_SPREAD)
    }

    /// Whether the window has passed, so that the next refusal starts a new one.
    pub fn is_expired(&self, now: Instant) -> bool {
        REFUSAL_WINDOW <= now.since(self.since)
    }
}
