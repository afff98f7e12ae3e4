//! Rate limit reports of endpoints.

use std::sync::Arc;

use super::RateLimit;
use crate::units::Instant;

/// The rate limit that one response of an endpoint reported. It held at some time between the
/// request and the response.
#[derive(Debug, Clone, PartialEq)]
pub struct RateLimitReport {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Start time of the endpoint's run by its own clock; 0 if unknown.
    pub started_at: u64,
    /// The limit, or `None` if the endpoint is not limited.
    pub limit: Option<RateLimit>,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the response was received.
    pub received_at: Instant,
}

impl RateLimitReport {
    /// Whether this report supersedes `known`. If the two responses overlapped, so that their order
    /// is unknown, the lower limit wins.
    pub(super) fn supersedes(&self, known: &RateLimitReport) -> bool {
        if self.started_at != known.started_at {
            return known.started_at < self.started_at;
        }
        if self.received_at <= known.sent_at {
            return false;
        }
        known.received_at <= self.sent_at || self.rate() <= known.rate()
    }

    /// Requests per second; infinite without a limit.
    fn rate(&self) -> f64 {
        self.limit.map_or(f64::INFINITY, RateLimit::per_second)
    }
}
