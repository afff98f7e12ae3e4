//! Counts over the last seconds.

use crate::units::Instant;

/// Length of the window in seconds: long enough to read rates of a few requests a second, short
/// enough to show an overload that lasts for seconds.
pub const WINDOW_SECONDS: u64 = 10;

const SLOTS: usize = WINDOW_SECONDS as usize;
const COUNTS: usize = 6;

/// What is counted of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Count {
    Asked,
    Started,
    Rejected,
    Returned,
    InTime,
    Late,
}

/// Counts of each of the last seconds.
#[derive(Debug, Default)]
pub(super) struct Window {
    slots: [[u32; COUNTS]; SLOTS],
    /// The second of the newest count.
    newest: u64,
}

impl Window {
    pub(super) fn add(&mut self, count: Count, now: Instant) {
        let second = second_of(now);
        for passed in (self.newest + 1..=second).take(SLOTS) {
            // After a longer pause all slots are cleared, whichever seconds they belong to.
            self.slots[passed as usize % SLOTS] = [0; COUNTS];
        }
        self.newest = self.newest.max(second);
        let slot = &mut self.slots[self.newest as usize % SLOTS];
        slot[count as usize] = slot[count as usize].saturating_add(1);
    }

    /// The counts of the last [`WINDOW_SECONDS`], indexed by [`Count`].
    pub(super) fn totals(&self, now: Instant) -> [u64; COUNTS] {
        let mut totals = [0; COUNTS];
        let oldest = (second_of(now) + 1).saturating_sub(WINDOW_SECONDS);
        let first_kept = (self.newest + 1).saturating_sub(WINDOW_SECONDS);
        for second in oldest.max(first_kept)..=self.newest {
            for (total, count) in totals.iter_mut().zip(self.slots[second as usize % SLOTS]) {
                *total += u64::from(count);
            }
        }
        totals
    }
}

fn second_of(now: Instant) -> u64 {
    now.0 / 1_000_000
}
