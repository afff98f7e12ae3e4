//! Fixtures shared by the property tests.

use proptest::test_runner::{Config, RngSeed};

/// Seed of every property test, so that CI gives the same verdict on every run.
const SEED: u64 = 0x7261_7973;

/// `cases` cases from the fixed seed, without a file of past failures.
pub(crate) fn fixed_seed(cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() }
}
