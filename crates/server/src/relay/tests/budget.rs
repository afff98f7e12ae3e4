//! The bound on repeats.

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;
use trayswitch_core::{mechanism::Disabled, units::Instant};

use crate::relay::{RelayOptions, budget::RepeatBudget};
use crate::testing::fixed_seed;

fn options() -> RelayOptions {
    RelayOptions {
        max_config_age: Duration::from_secs(4),
        retry_ratio: 0.2,
        retry_slack: 54.0,
        retry_window: Duration::from_secs(10),
        connect_timeout: Duration::from_secs(1),
        copy_timeout: Duration::from_secs(1),
        config_recovery_timeout: Duration::from_secs(1),
        disabled: Disabled::default(),
    }
}

proptest! {
    #![proptest_config(fixed_seed(200))]

    /// Whatever the entries are asked for, all together stay within the operators' bound in
    /// every window.
    #[test]
    fn all_entries_together_keep_the_bound(
        entries in 1usize..9,
        steps in proptest::collection::vec((0usize..9, any::<bool>(), 1u64..400), 1..600),
    ) {
        let options = options();
        let mut budgets: Vec<RepeatBudget> = (0..entries).map(|_| RepeatBudget::default()).collect();
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        let mut now = 0;
        for (entry, repeat, ms) in steps {
            now += ms * 1_000;
            let at = Instant(now);
            let budget = &mut budgets[entry % entries];
            if repeat {
                if budget.take(&options, entries as u64, at) {
                    repeats.push(now);
                }
            } else {
                budget.note_request(&options, at);
                requests.push(now);
            }
        }
        let window = options.retry_window.as_micros() as u64;
        for end in &repeats {
            let inside = |at: &&u64| **at <= *end && *end < **at + window;
            let allowed = options.retry_slack
                + options.retry_ratio * requests.iter().filter(inside).count() as f64;
            prop_assert!(repeats.iter().filter(inside).count() as f64 <= allowed);
        }
    }
}

#[gtest]
fn repeats_come_back_when_the_window_has_passed() {
    let options = options();
    let mut budget = RepeatBudget::default();
    while budget.take(&options, 9, Instant(0)) {}

    let later = Instant(options.retry_window.as_micros() as u64);

    expect_that!(budget.take(&options, 9, later), eq(true));
}
