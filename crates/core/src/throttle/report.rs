//! What an endpoint has said in one answer.

use std::sync::Arc;

use super::RateLimit;
use crate::units::Instant;

/// What an endpoint said of how much it takes: true at some time between the request and its answer.
#[derive(Debug, Clone, PartialEq)]
pub struct RateLimitReport {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// When its run was started, by its own word; zero where it has not said.
    pub started_at: u64,
    /// What it takes; nothing where it names no limit.
    pub limit: Option<RateLimit>,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the answer was read.
    pub received_at: Instant,
}

impl RateLimitReport {
    /// Whether this holds in place of what another answer of the same run has said. Of two that may have been
    /// given in either order the lower limit holds, until a later answer says otherwise.
    pub(super) fn replaces(&self, known: &RateLimitReport) -> bool {
        if self.started_at != known.started_at {
            return known.started_at < self.started_at;
        }
        if self.received_at <= known.sent_at {
            return false;
        }
        known.received_at <= self.sent_at || self.rate() <= known.rate()
    }

    /// Requests a second; without a limit more than any.
    fn rate(&self) -> f64 {
        self.limit.map_or(f64::INFINITY, RateLimit::per_second)
    }
}
