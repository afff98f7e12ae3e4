//! When callers may come back that were refused together.

use std::time::Duration;

use crate::units::Instant;

/// Those that were refused within this time are counted into when the next one may come back, so that they do not
/// all come at the same moment.
const TOGETHER: Duration = Duration::from_secs(1);
/// Requests a second that one endpoint is expected to take of those that come back.
const RETURNS_PER_ENDPOINT: f64 = 2.0;
/// Longest time over which their return is spread.
const LONGEST_SPREAD: Duration = Duration::from_secs(4);

/// Callers that were refused shortly one after the other.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetrySpreader {
    count: u32,
    since: Instant,
}

impl RetrySpreader {
    /// Counts one more; returns how much later than the first one it may come back to so many endpoints.
    pub fn next_delay(&mut self, endpoints: usize, now: Instant) -> Duration {
        let per_second = RETURNS_PER_ENDPOINT * endpoints.max(1) as f64;
        if TOGETHER <= now.since(self.since) {
            *self = RetrySpreader { count: 0, since: now };
        }
        let before = f64::from(self.count);
        self.count += 1;
        let later = Duration::try_from_secs_f64(before / per_second).unwrap_or(LONGEST_SPREAD);
        later.min(LONGEST_SPREAD)
    }

    /// Whether the next one is counted anew.
    pub fn is_expired(&self, now: Instant) -> bool {
        TOGETHER <= now.since(self.since)
    }
}
