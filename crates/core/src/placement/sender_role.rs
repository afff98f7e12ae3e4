//! Division of an endpoint's rate limit between the scheduler and the daemons.

use std::time::Duration;

/// Daemon count that is assumed while it is unknown. Large enough that such a daemon sends nothing
/// to rate-limited endpoints.
const UNKNOWN_DAEMON_COUNT: u64 = 1_000_000;

/// Role of a sender to rate-limited endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SenderRole {
    /// The scheduler of all daemons.
    Scheduler,
    /// One of this many daemons, each of which places its own requests.
    Daemons(u64),
}

/// Fractions of an endpoint's rate that each role may use.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RateSplit {
    /// Fraction of the scheduler.
    pub(crate) scheduler: f64,
    /// Fraction of all daemons together.
    pub(crate) daemons: f64,
}

impl SenderRole {
    /// Returns the role of one of `count` daemons; zero means that the count is unknown.
    pub fn one_of(count: u64) -> SenderRole {
        SenderRole::Daemons(if count == 0 { UNKNOWN_DAEMON_COUNT } else { count })
    }

    /// Time between two requests of one sender to an endpoint that accepts one request per `interval`.
    pub(crate) fn interval(self, interval: Duration, split: RateSplit) -> Duration {
        match self {
            SenderRole::Scheduler => interval.mul_f64(1.0 / split.scheduler),
            SenderRole::Daemons(count) => interval.mul_f64(count as f64 / split.daemons),
        }
    }

    /// Whether other senders share the rate.
    pub(crate) fn has_peers(self) -> bool {
        self != SenderRole::Scheduler
    }
}
