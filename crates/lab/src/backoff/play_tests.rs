//! Tests of what daemons make of endpoints that reject requests.

use googletest::prelude::*;

use super::{
    play::{Trouble, play},
    ways::Way,
};

#[gtest]
fn a_request_that_alone_keeps_away_leaves_endpoints_with_what_they_asked_not_to_get() {
    expect_that!(play(Way::Request, 7, Trouble::HalfNearlyAll).most, gt(2));
}

#[gtest]
fn a_daemon_keeps_away_whatever_their_number() {
    for daemons in [1, 7, 64] {
        for way in [Way::Daemon, Way::All, Way::LastResort] {
            for trouble in [Trouble::HalfNearlyAll, Trouble::AllSome] {
                let most = play(way, daemons, trouble).most;
                expect_that!(most, eq(0), "{way:?}, {daemons} daemons, {trouble:?}");
            }
        }
    }
}

#[gtest]
fn the_last_resort_saves_rejections_and_leaves_nobody_without_an_endpoint() {
    let alone = play(Way::Daemon, 64, Trouble::HalfNearlyAll);
    let last_resort = play(Way::LastResort, 64, Trouble::HalfNearlyAll);
    let all = play(Way::All, 64, Trouble::AllSome);
    let of_some = play(Way::LastResort, 64, Trouble::AllSome);

    expect_that!(last_resort.rejected, le(alone.rejected / 4.0));
    expect_that!(of_some.served, ge(all.served * 2.0));
}
