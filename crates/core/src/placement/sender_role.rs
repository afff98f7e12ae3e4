//! Who sends to endpoints that take only so many requests a second from all together.

use std::time::Duration;

/// Daemons that do not know how many they are send nothing to such endpoints: their share of as many
/// as there may be at all.
const UNKNOWN_DAEMON_COUNT: u64 = 1_000_000;

/// One scheduler for all daemons, or one of many daemons that choose by themselves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SenderRole {
    /// The scheduler of all daemons.
    Scheduler,
    /// One of so many daemons.
    Daemons(u64),
}

/// Which part of what an endpoint takes they send.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RateSplit {
    /// The scheduler.
    pub(crate) scheduler: f64,
    /// All daemons that choose by themselves together.
    pub(crate) daemons: f64,
}

impl SenderRole {
    /// One of so many daemons; zero while their number is not known.
    pub fn one_of(count: u64) -> SenderRole {
        SenderRole::Daemons(if count == 0 { UNKNOWN_DAEMON_COUNT } else { count })
    }

    /// Time between two requests of one of them to an endpoint that takes one in each `interval`.
    pub(crate) fn interval(self, interval: Duration, split: RateSplit) -> Duration {
        match self {
            SenderRole::Scheduler => interval.mul_f64(1.0 / split.scheduler),
            SenderRole::Daemons(count) => interval.mul_f64(count as f64 / split.daemons),
        }
    }

    /// Whether others send as well.
    pub(crate) fn has_peers(self) -> bool {
        self != SenderRole::Scheduler
    }
}
