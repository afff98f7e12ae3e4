//! What the link's load is taken to be.

use std::{sync::Arc, time::Duration};

use googletest::prelude::*;

use super::{Direction, LinkLoad};
use crate::units::Instant;

fn at(millis: u64) -> Instant {
    Instant(millis * 1_000)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn connect(link: &mut LinkLoad, peer: &str, took: u64, now: u64) {
    link.on_connect(&Arc::from(peer), ms(took), true, at(now));
}

/// A link over which connections to two peers have taken 3 and 5 ms.
fn known_link() -> LinkLoad {
    let mut link = LinkLoad::new(Some(1_000_000.0));
    connect(&mut link, "p1", 3, 0);
    connect(&mut link, "p2", 5, 0);
    link
}

#[gtest]
fn rate_covers_the_last_half_second_in_each_direction() {
    let mut link = LinkLoad::new(None);
    for millis in (0..2_000).step_by(10) {
        link.on_transfer(Direction::Sent, 934, at(millis));
    }

    let busy = link.report(at(2_000));
    let later = link.report(at(2_700));

    // 934 bytes and 66 of overhead in each packet; 66 bytes of each acknowledgement.
    expect_that!(busy.sent, approx_eq(100_000.0));
    expect_that!(busy.received, approx_eq(6_600.0));
    expect_that!(later.sent, approx_eq(0.0));
}

#[gtest]
fn connections_that_are_late_to_all_peers_show_a_delay() {
    let mut link = known_link();
    connect(&mut link, "p1", 103, 1_000);
    connect(&mut link, "p2", 85, 1_010);

    expect_that!(link.report(at(1_020)).delay, some(eq(ms(80))));
}

#[gtest]
fn one_peer_in_time_rules_a_delay_out() {
    let mut link = known_link();
    connect(&mut link, "p1", 103, 1_000);
    connect(&mut link, "p2", 5, 1_010);

    expect_that!(link.report(at(1_020)).delay, some(eq(ms(0))));
}

#[gtest]
fn connections_to_one_peer_tell_nothing_of_the_link() {
    let mut link = known_link();
    connect(&mut link, "p1", 103, 1_000);
    connect(&mut link, "p1", 103, 1_010);

    expect_that!(link.report(at(1_020)).delay, none());
}
