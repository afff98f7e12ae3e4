//! Pacing of one sender's requests to one endpoint.

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;

use super::pacer::{Pacer, SLOT_TTL};
use crate::{testing::fixed_seed, units::Instant};

const INTERVAL: Duration = Duration::from_millis(400);
const LONG: Duration = Duration::from_secs(30);

fn ms(millis: u64) -> Instant {
    Instant(millis * 1_000)
}

#[gtest]
fn first_slot_follows_the_phase() {
    let pacer = Pacer::new(INTERVAL, false, 0.5, ms(1_000));

    expect_false!(pacer.is_ready(ms(1_199)));
    expect_true!(pacer.is_ready(ms(1_200)));
    expect_that!(pacer.next_send_at(ms(1_000)), eq(ms(1_200)));
}

#[gtest]
fn at_most_one_slot_accumulates() {
    let mut pacer = Pacer::new(INTERVAL, false, 1.0, ms(0));

    pacer.on_sent(ms(60_000));
    expect_true!(pacer.is_ready(ms(60_000)));
    pacer.on_sent(ms(60_000));

    expect_false!(pacer.is_ready(ms(60_399)));
    expect_true!(pacer.is_ready(ms(60_400)));
}

#[gtest]
fn shared_slots_expire() {
    let pacer = Pacer::new(LONG, true, 0.5, ms(0));

    expect_true!(pacer.is_ready(ms(15_000)));
    expect_true!(pacer.is_ready(ms(15_999)));
    expect_false!(pacer.is_ready(ms(16_000)));
    expect_that!(pacer.next_send_at(ms(16_000)), eq(ms(45_000)));
    expect_true!(pacer.is_ready(ms(45_000)));
}

#[gtest]
fn a_shared_slot_is_used_once() {
    let mut pacer = Pacer::new(LONG, true, 0.5, ms(0));

    pacer.on_sent(ms(15_500));

    expect_false!(pacer.is_ready(ms(15_600)));
    expect_that!(pacer.next_send_at(ms(15_600)), eq(ms(45_000)));
}

#[gtest]
fn a_new_interval_keeps_the_remaining_fraction() {
    let mut pacer = Pacer::new(Duration::from_secs(10), false, 1.0, ms(0));

    pacer.set_interval(Duration::from_secs(1), false, ms(5_000));

    expect_that!(pacer.next_send_at(ms(5_000)), eq(ms(5_500)));
}

#[gtest]
fn a_new_interval_does_not_revive_an_expired_slot() {
    let mut pacer = Pacer::new(LONG, true, 0.5, ms(0));

    pacer.set_interval(LONG * 2, true, ms(20_000));

    expect_false!(pacer.is_ready(ms(20_000)));
    // 25 s of the interval of 30 s remained.
    expect_that!(pacer.next_send_at(ms(20_000)), eq(ms(70_000)));
}

#[gtest]
fn requests_never_exceed_the_rate_by_more_than_one() {
    let arrivals = prop::collection::vec(0..3_000_000u64, 1..200);
    let every = (10_000u64..2_000_000, any::<bool>(), 0.0..1.0f64, arrivals);
    proptest!(fixed_seed(200), |((interval, shared, part, arrivals) in every)| {
        let mut pacer = Pacer::new(Duration::from_micros(interval), shared, part, Instant(0));
        let (mut now, mut sent) = (0, Vec::new());
        for pause in arrivals {
            now += pause;
            if pacer.is_ready(Instant(now)) {
                pacer.on_sent(Instant(now));
                sent.push(now);
            }
        }
        // Check every span between two requests.
        for (first, from) in sent.iter().enumerate() {
            for (last, to) in sent.iter().enumerate().skip(first) {
                let allowed = (to - from) / interval + 2;
                prop_assert!(last - first < allowed as usize + 1, "{from} to {to}");
            }
        }
    });
    // A shared slot expires long before the next one.
    expect_that!(SLOT_TTL, lt(LONG));
}
