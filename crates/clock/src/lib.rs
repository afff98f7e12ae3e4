//! The clock by which daemons keep promises.
//!
//! A VM may be suspended for seconds. `std::time::Instant` stands still meanwhile, and whatever holds for
//! so long by it (a confirmed configuration, a request's deadline, a cold start) holds too long by as much.
//! [`Instant`] goes on. What measures the silence of others stays on the standard clock: the time in which
//! this VM could hear nothing is not theirs.

use std::{
    cell::Cell,
    ops::{Add, Sub},
    time::Duration,
};

use nix::time::{ClockId, clock_gettime};

thread_local! {
    /// For how long a test has suspended its VM.
    static SUSPENDED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

/// A point in time on the clock that also counts the time in which the VM was suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(Duration);

impl Instant {
    /// The time now.
    pub fn now() -> Instant {
        // Linux has this clock since 2.6.39, and it can be read by everybody.
        let now = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the clock can be read");
        Instant(Duration::from(now) + SUSPENDED.get())
    }

    /// Time passed since then.
    pub fn elapsed(self) -> Duration {
        Instant::now().saturating_duration_since(self)
    }

    /// Time from `earlier` to this, zero if `earlier` lies ahead.
    pub fn saturating_duration_since(self, earlier: Instant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Time from `earlier` to this, unless `earlier` lies ahead.
    pub fn checked_duration_since(self, earlier: Instant) -> Option<Duration> {
        self.0.checked_sub(earlier.0)
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, time: Duration) -> Instant {
        Instant(self.0 + time)
    }
}

impl Sub<Instant> for Instant {
    type Output = Duration;

    fn sub(self, earlier: Instant) -> Duration {
        self.saturating_duration_since(earlier)
    }
}

/// Suspends the VM that a test plays on this thread: the time passes at once, and no other clock tells
/// of it.
#[cfg(feature = "suspend")]
pub fn simulate_suspend(time: Duration) {
    SUSPENDED.set(SUSPENDED.get() + time);
}

#[cfg(all(test, feature = "suspend"))]
mod tests;
