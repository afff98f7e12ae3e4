//! A monotonic clock that also advances while the VM is suspended.
//!
//! `std::time::Instant` stops during a suspension, so that deadlines and expiry times measured with it come
//! too late. Use [`Instant`] for those. Use the standard clock to detect silent peers: time in which this VM
//! could receive nothing must not count against them.

use std::{
    cell::Cell,
    ops::{Add, Sub},
    time::Duration,
};

use nix::time::{ClockId, clock_gettime};

thread_local! {
    /// Total suspension that a test has simulated on this thread.
    static SIMULATED_SUSPENSION: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

/// A point in time on a monotonic clock that includes time spent suspended (`CLOCK_BOOTTIME`).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(Duration);

impl Instant {
    /// Returns the current time.
    pub fn now() -> Instant {
        // Available since Linux 2.6.39 without privileges.
        let now = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("CLOCK_BOOTTIME is readable");
        Instant(Duration::from(now) + SIMULATED_SUSPENSION.get())
    }

    /// Returns the time elapsed since this instant.
    pub fn elapsed(self) -> Duration {
        Instant::now().saturating_duration_since(self)
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later than this instant.
    pub fn saturating_duration_since(self, earlier: Instant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time since `earlier`, or `None` if `earlier` is later than this instant.
    pub fn checked_duration_since(self, earlier: Instant) -> Option<Duration> {
        self.0.checked_sub(earlier.0)
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, duration: Duration) -> Instant {
        Instant(self.0 + duration)
    }
}

impl Sub<Instant> for Instant {
    type Output = Duration;

    fn sub(self, earlier: Instant) -> Duration {
        self.saturating_duration_since(earlier)
    }
}

/// Simulates a suspension of the VM: advances this clock by `duration`, on the current thread only, and no
/// other clock.
#[cfg(feature = "suspend")]
pub fn simulate_suspend(duration: Duration) {
    SIMULATED_SUSPENSION.set(SIMULATED_SUSPENSION.get() + duration);
}

#[cfg(all(test, feature = "suspend"))]
mod tests;
