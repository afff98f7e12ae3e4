//! Times in which a replica did not run, by the ticks that came late.

use std::time::Duration;

use crate::units::Instant;

/// Longest hold-up that others are expected to have as well; one that is longer is no matter of shared processors.
const LONGEST_HOLD_UP: Duration = Duration::from_secs(2);
/// How long a hold-up counts.
const HOLD_UP_MEMORY: Duration = Duration::from_secs(10);

/// When a replica runs, and for how long it was held up lately.
#[derive(Debug)]
pub(super) struct HoldUps {
    interval: Duration,
    /// When the replica is to be ticked at the latest; it was held up if that came later.
    due: Instant,
    /// The longest of the latest hold-ups, and when that ended.
    longest: Option<(Duration, Instant)>,
}

impl HoldUps {
    /// Of a replica that is ticked after each `interval` at the latest unless it is held up.
    pub(super) fn new(interval: Duration, now: Instant) -> HoldUps {
        HoldUps { interval, due: now.after(interval), longest: None }
    }

    /// When the next tick is due.
    pub(super) fn due(&self) -> Instant {
        self.due
    }

    /// Notes that the replica runs now; returns for how long it was held up since it last did.
    pub(super) fn note(&mut self, now: Instant) -> Duration {
        let held_up = now.since(self.due);
        self.due = now.after(self.interval);
        let is_longest = self
            .longest
            .is_none_or(|(longest, at)| longest <= held_up || HOLD_UP_MEMORY < now.since(at));
        if !held_up.is_zero() && is_longest {
            self.longest = Some((held_up, now));
        }
        held_up
    }

    /// The longest of the latest hold-ups. A replica that was held up a moment ago shares its processor, and those
    /// that it waits for may be held up for as long.
    pub(super) fn longest(&self, now: Instant) -> Duration {
        let longest = self.longest.filter(|(_, at)| now.since(*at) <= HOLD_UP_MEMORY);
        longest.map_or(Duration::ZERO, |(longest, _)| longest.min(LONGEST_HOLD_UP))
    }
}
