//! Fixtures shared by the property tests.

use proptest::test_runner::{Config, RngSeed};

use crate::agreement::{Persist, Restored};

/// Seed of every property test, so that CI gives the same verdict on every run.
const SEED: u64 = 0x7261_7973;

/// `cases` cases from the fixed seed, without a file of past failures.
pub(crate) fn fixed_seed(cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() }
}

/// What a disk holds once synced.
#[derive(Debug, Clone, Default)]
pub(crate) struct Disk {
    pub(crate) restored: Restored,
}

impl Disk {
    /// Writes and syncs.
    pub(crate) fn write(&mut self, persist: Persist) {
        if let Some(snapshot) = persist.snapshot {
            self.restored.entries.clear();
            self.restored.snapshot = Some(snapshot);
        }
        if let Some(hard_state) = persist.hard_state {
            self.restored.hard_state = hard_state;
        }
        for entry in persist.entries {
            self.restored.entries.retain(|other| other.index < entry.index);
            self.restored.entries.push(entry);
        }
    }
}

/// The random choices of a schedule, by xorshift from its seed.
pub(crate) struct Choices(u64);

impl Choices {
    /// Choices from a seed.
    pub(crate) fn new(seed: u64) -> Choices {
        Choices(seed | 1)
    }

    /// A number below `below`.
    pub(crate) fn below(&mut self, below: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % below
    }

    /// A seed for something else, from where the choices stand.
    pub(crate) fn seed(&self) -> u64 {
        self.0
    }
}
