//! The retry budget.

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;
use trayswitch_core::{mechanism::Disabled, units::Instant};

use crate::{
    relay::{RelayOptions, retry_budget::RetryBudget},
    runtime::PeerPort,
    testing::fixed_seed,
};

fn options() -> RelayOptions {
    RelayOptions {
        max_config_age: Duration::from_secs(4),
        retry_ratio: 0.2,
        retry_slack: 54.0,
        retry_window: Duration::from_secs(10),
        forward_port: PeerPort(0),
        connect_timeout: Duration::from_secs(1),
        copy_timeout: Duration::from_secs(1),
        late_response_timeout: Duration::ZERO,
        config_recovery_timeout: Duration::from_secs(1),
        max_buffered: 0,
        disabled: Disabled::default(),
    }
}

proptest! {
    #![proptest_config(fixed_seed(200))]

    /// For any request pattern, the retries of all daemons together stay within the budget in every
    /// window.
    #[test]
    fn budget_holds_across_daemons(
        daemons in 1usize..9,
        steps in proptest::collection::vec((0usize..9, any::<bool>(), 1u64..400), 1..600),
    ) {
        let options = options();
        let mut budgets: Vec<RetryBudget> = (0..daemons).map(|_| RetryBudget::default()).collect();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let mut now = 0;
        for (daemon, is_retry, ms) in steps {
            now += ms * 1_000;
            let at = Instant(now);
            let retry_budget = &mut budgets[daemon % daemons];
            if is_retry {
                if retry_budget.try_acquire(&options, daemons as u64, at) {
                    retries.push(now);
                }
            } else {
                retry_budget.record_request(&options, at);
                requests.push(now);
            }
        }
        let window = options.retry_window.as_micros() as u64;
        for end in &retries {
            let inside = |at: &&u64| **at <= *end && *end < **at + window;
            let allowed = options.retry_slack
                + options.retry_ratio * requests.iter().filter(inside).count() as f64;
            prop_assert!(retries.iter().filter(inside).count() as f64 <= allowed);
        }
    }
}

#[gtest]
fn retries_are_available_after_window() {
    let options = options();
    let mut retry_budget = RetryBudget::default();
    while retry_budget.try_acquire(&options, 9, Instant(0)) {}

    let later = Instant(options.retry_window.as_micros() as u64);

    expect_that!(retry_budget.try_acquire(&options, 9, later), eq(true));
}
