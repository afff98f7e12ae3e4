//! Times in which a replica did not run, by the ticks that came late.

use std::time::Duration;

use crate::units::Instant;

/// Longest hold-up that others are expected to have as well; one that is longer is no matter of shared processors.
const LONGEST_HOLD_UP: Duration = Duration::from_secs(2);
/// How long a hold-up counts.
const HOLD_UP_MEMORY: Duration = Duration::from_secs(10);

/// Time in which a replica that was held up reads what has come meanwhile, from one peer after the other, before
/// it looks for a leader.
const SETTLING: Duration = Duration::from_millis(10);

/// A process that shares its processor waits for so many times as long as it runs.
const WAITS_FOR_RUN: u32 = 4;

/// When a replica runs, and for how long it was held up lately.
#[derive(Debug)]
pub(super) struct HoldUps {
    interval: Duration,
    /// When the replica is to be ticked at the latest; it was held up if that came later.
    due: Instant,
    /// The longest of the latest hold-ups, and when that ended.
    longest: Option<(Duration, Instant)>,
    /// Set from a hold-up on until what came meanwhile was read.
    settles_at: Option<Instant>,
}

impl HoldUps {
    /// Of a replica that is ticked after each `interval` at the latest unless it is held up.
    pub(super) fn new(interval: Duration, now: Instant) -> HoldUps {
        HoldUps { interval, due: now.after(interval), longest: None, settles_at: None }
    }

    /// Running time for which a follower waits longer for its leader: that may be held up as it was itself.
    pub(super) fn patience(&self, now: Instant) -> Duration {
        self.longest(now) / WAITS_FOR_RUN
    }

    /// When the next tick is due.
    pub(super) fn due(&self) -> Instant {
        self.settles_at.map_or(self.due, |at| at.min(self.due))
    }

    /// Whether what came during the last hold-up may still be unread.
    pub(super) fn is_settling(&self) -> bool {
        self.settles_at.is_some()
    }

    /// Returns whether what came during the last hold-up has been read from now on.
    pub(super) fn settle(&mut self, now: Instant) -> bool {
        self.settles_at.take_if(|at| *at <= now).is_some()
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
        if !held_up.is_zero() {
            // Not put off again: a process may run for less than that at a time.
            self.settles_at.get_or_insert(now.after(SETTLING));
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
