//! Tests of how many endpoints end under one request.

use googletest::prelude::*;

use super::ways::{Way, play};

/// The mean of some plays.
fn ended(way: Way, daemons: usize) -> f64 {
    (0..40).map(|seed| play(way, daemons, 13.0, seed) as f64).sum::<f64>() / 40.0
}

#[gtest]
fn what_each_daemon_knows_alone_grows_with_their_number() {
    expect_that!(ended(Way::Alone, 64), gt(4.0 * ended(Way::Alone, 7)));
}

#[gtest]
fn what_all_are_told_does_not() {
    for way in [Way::Told, Way::OneAtATime] {
        expect_that!(ended(way, 300), le(ended(way, 7) + 2.0), "{way:?}");
    }
}

#[gtest]
fn to_be_sure_by_two_trials_costs_no_more_ends_than_three_at_once() {
    expect_that!(ended(Way::OneAtATime, 64), le(ended(Way::Told, 64) + 0.5));
}
