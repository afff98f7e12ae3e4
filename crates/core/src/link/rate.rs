//! Bytes a second over a sliding window.

use std::time::Duration;

use crate::units::Instant;

/// Resolution of the window.
const SLOT: Duration = Duration::from_millis(50);
/// Whole slots in the window; one more is being filled.
const SLOTS: usize = 10;

/// A rate of bytes over the last half second.
#[derive(Debug, Default)]
pub(super) struct RateMeter {
    /// Bytes by slot; slot `n` is at `n % slots.len()`.
    slots: [u64; SLOTS + 1],
    /// The slot that is being filled.
    current: u64,
}

impl RateMeter {
    pub(super) fn record(&mut self, bytes: u64, now: Instant) {
        self.advance(now);
        self.slots[index(self.current)] += bytes;
    }

    /// Bytes a second in the whole slots of the window.
    pub(super) fn per_second(&mut self, now: Instant) -> f64 {
        self.advance(now);
        let bytes = self.slots.iter().sum::<u64>() - self.slots[index(self.current)];
        bytes as f64 / (SLOT * SLOTS as u32).as_secs_f64()
    }

    fn advance(&mut self, now: Instant) {
        let slot = now.0 / SLOT.as_micros() as u64;
        let passed = slot.saturating_sub(self.current).min(self.slots.len() as u64);
        for n in 0..passed {
            self.slots[index(slot - n)] = 0;
        }
        self.current = self.current.max(slot);
    }
}

fn index(slot: u64) -> usize {
    (slot % (SLOTS as u64 + 1)) as usize
}
