//! Turns of one sender at one endpoint.

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;

use super::turns::{TURN_LIFE, Turns};
use crate::{testing::fixed_seed, units::Instant};

const INTERVAL: Duration = Duration::from_millis(400);
const LONG: Duration = Duration::from_secs(30);

fn ms(millis: u64) -> Instant {
    Instant(millis * 1_000)
}

#[gtest]
fn the_first_turn_comes_after_its_part_of_the_interval() {
    let turns = Turns::new(INTERVAL, false, 0.5, ms(1_000));

    expect_false!(turns.has_come(ms(1_199)));
    expect_true!(turns.has_come(ms(1_200)));
    expect_that!(turns.next(ms(1_000)), eq(ms(1_200)));
}

#[gtest]
fn a_long_pause_saves_up_one_turn_and_no_more() {
    let mut turns = Turns::new(INTERVAL, false, 1.0, ms(0));

    turns.sent(ms(60_000));
    expect_true!(turns.has_come(ms(60_000)));
    turns.sent(ms(60_000));

    expect_false!(turns.has_come(ms(60_399)));
    expect_true!(turns.has_come(ms(60_400)));
}

#[gtest]
fn a_turn_that_is_shared_with_others_lapses() {
    let turns = Turns::new(LONG, true, 0.5, ms(0));

    expect_true!(turns.has_come(ms(15_000)));
    expect_true!(turns.has_come(ms(15_999)));
    expect_false!(turns.has_come(ms(16_000)));
    expect_that!(turns.next(ms(16_000)), eq(ms(45_000)));
    expect_true!(turns.has_come(ms(45_000)));
}

#[gtest]
fn one_of_many_sends_once_in_a_turn() {
    let mut turns = Turns::new(LONG, true, 0.5, ms(0));

    turns.sent(ms(15_500));

    expect_false!(turns.has_come(ms(15_600)));
    expect_that!(turns.next(ms(15_600)), eq(ms(45_000)));
}

#[gtest]
fn another_interval_leaves_the_same_part_of_it() {
    let mut turns = Turns::new(Duration::from_secs(10), false, 1.0, ms(0));

    turns.space(Duration::from_secs(1), false, ms(5_000));

    expect_that!(turns.next(ms(5_000)), eq(ms(5_500)));
}

#[gtest]
fn another_interval_does_not_bring_back_a_shared_turn_that_has_lapsed() {
    let mut turns = Turns::new(LONG, true, 0.5, ms(0));

    turns.space(LONG * 2, true, ms(20_000));

    expect_false!(turns.has_come(ms(20_000)));
    // 25 s of 30 were left.
    expect_that!(turns.next(ms(20_000)), eq(ms(70_000)));
}

#[gtest]
fn any_arrivals_get_no_more_turns_than_there_are_and_one() {
    let arrivals = prop::collection::vec(0..3_000_000u64, 1..200);
    let every = (10_000u64..2_000_000, any::<bool>(), 0.0..1.0f64, arrivals);
    proptest!(fixed_seed(200), |((interval, shared, part, arrivals) in every)| {
        let mut turns = Turns::new(Duration::from_micros(interval), shared, part, Instant(0));
        let (mut now, mut sent) = (0, Vec::new());
        for pause in arrivals {
            now += pause;
            if turns.has_come(Instant(now)) {
                turns.sent(Instant(now));
                sent.push(now);
            }
        }
        // Any span of time, from each request on.
        for (first, from) in sent.iter().enumerate() {
            for (last, to) in sent.iter().enumerate().skip(first) {
                let allowed = (to - from) / interval + 2;
                prop_assert!(last - first < allowed as usize + 1, "{from} to {to}");
            }
        }
    });
    // A turn of one of many is long gone before the next one comes, or is the next one.
    expect_that!(TURN_LIFE, lt(LONG));
}
