//! The hedging delay.

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{relay::latency::LatencyEstimate, testing::fixed_seed};

#[gtest]
fn no_hedge_delay_before_min_samples() {
    let mut latency = LatencyEstimate::default();
    for _ in 0..15 {
        latency.record(Duration::from_millis(30));
    }

    let before = latency.hedge_delay();
    latency.record(Duration::from_millis(30));

    expect_that!(before, none());
    expect_that!(latency.hedge_delay(), some(anything()));
}

#[gtest]
fn hedge_delay_follows_slower_service() {
    let mut latency = LatencyEstimate::default();
    let mut feed = |ms| {
        for _ in 0..100 {
            latency.record(Duration::from_millis(ms));
        }
        latency.hedge_delay().unwrap()
    };

    let fast = feed(30);
    let slow = feed(300);

    expect_that!(fast, lt(Duration::from_millis(60)));
    expect_that!(slow, all![gt(Duration::from_millis(299)), lt(Duration::from_millis(600))]);
}

proptest! {
    #![proptest_config(fixed_seed(100))]

    /// For latencies within a factor of 1.5, at most a sixth exceed the hedging delay.
    #[test]
    fn few_calls_exceed_hedge_delay(times in proptest::collection::vec(20u64..30, 100..300)) {
        let mut latency = LatencyEstimate::default();
        let mut hedged = 0;
        for ms in &times {
            let took = Duration::from_millis(*ms);
            if latency.hedge_delay().is_some_and(|after| after < took) {
                hedged += 1;
            }
            latency.record(took);
        }

        prop_assert!(hedged * 6 <= times.len(), "{hedged} of {}", times.len());
    }
}
