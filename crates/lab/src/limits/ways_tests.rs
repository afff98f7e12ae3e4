//! Tests of the ways to keep a limit.

use googletest::prelude::*;

use super::{
    play::{Traffic, play},
    ways::Way,
};

/// Half more than an endpoint takes in 4 s, and five: 23 of 12.
const ALLOWED: f64 = 23.0 / 12.0;

#[gtest]
fn a_limit_that_each_daemon_keeps_for_itself_is_exceeded_by_their_number() {
    expect_that!(play(Way::Each, 7, Traffic::Even, 3.0).most, gt(2.0));
}

#[gtest]
fn the_leader_and_shares_keep_it_whatever_their_number() {
    for daemons in [1, 7, 64] {
        for way in [Way::Shares, Way::Asked] {
            let kept = play(way, daemons, Traffic::Uneven, 3.0);
            expect_that!(kept.most, le(ALLOWED), "{way:?}, {daemons} daemons");
        }
    }
}

#[gtest]
fn the_leader_lets_what_endpoints_take_be_used_however_traffic_is_spread() {
    for traffic in [Traffic::Even, Traffic::Uneven] {
        expect_that!(play(Way::Asked, 64, traffic, 3.0).used, ge(0.9), "{traffic:?}");
    }
}
