//! Who sends to endpoints that take only so many requests a second from all together.

use std::time::Duration;

/// Daemons that do not know how many they are send nothing to such endpoints: their share of as many
/// as there may be at all.
const UNKNOWN: u64 = 1_000_000;

/// One scheduler for all daemons, or one of many daemons that choose by themselves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Senders {
    /// The scheduler of all daemons.
    Scheduler,
    /// One of so many daemons.
    Daemons(u64),
}

/// Which part of what an endpoint takes they send.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Parts {
    /// The scheduler.
    pub(crate) scheduler: f64,
    /// All daemons that choose by themselves together.
    pub(crate) daemons: f64,
}

impl Senders {
    /// One of so many daemons; zero while their number is not known.
    pub fn daemons(count: u64) -> Senders {
        Senders::Daemons(if count == 0 { UNKNOWN } else { count })
    }

    /// Time between two requests of one of them to an endpoint that takes one in each `interval`.
    pub(crate) fn interval(self, interval: Duration, parts: Parts) -> Duration {
        match self {
            Senders::Scheduler => interval.mul_f64(1.0 / parts.scheduler),
            Senders::Daemons(count) => interval.mul_f64(count as f64 / parts.daemons),
        }
    }

    /// Whether others send as well.
    pub(crate) fn are_many(self) -> bool {
        self != Senders::Scheduler
    }
}
