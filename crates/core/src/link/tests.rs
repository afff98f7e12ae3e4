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

/// Two connections to the first peer and one to the second, each late by this much.
fn connect_late(link: &mut LinkLoad, late: u64, now: u64) {
    for (peer, least) in [("p1", 3), ("p1", 3), ("p2", 5)] {
        connect(link, peer, least + late, now);
    }
}

#[gtest]
fn connections_that_are_late_to_several_peers_show_a_delay() {
    let mut link = known_link();
    connect_late(&mut link, 80, 1_000);

    let (delay, later) = (link.report(at(1_020)).delay, link.report(at(3_000)).delay);

    expect_that!(delay, all!(ge(ms(79)), le(ms(80))));
    expect_that!(later, eq(ms(0)));
}

#[gtest]
fn one_peer_in_time_rules_a_delay_out() {
    let mut link = known_link();
    connect_late(&mut link, 80, 1_000);
    connect(&mut link, "p2", 6, 1_010);

    expect_that!(link.report(at(1_020)).delay, eq(ms(0)));
}

#[gtest]
fn late_connections_to_one_peer_tell_nothing_of_the_link() {
    let mut link = known_link();
    for _ in 0..5 {
        connect(&mut link, "p1", 103, 1_000);
    }

    expect_that!(link.report(at(1_020)).delay, eq(ms(0)));
    expect_that!(link.is_late(at(1_020)), eq(false));
}

#[gtest]
fn link_is_late_if_connections_come_up_late_or_if_none_comes_up_while_it_is_busy() {
    let give_up = |link: &mut LinkLoad| {
        for peer in ["p1", "p2", "p1"] {
            link.on_connect(&Arc::from(peer), ms(150), false, at(1_000));
        }
    };
    let (mut late, mut cut_off, mut full) = (known_link(), known_link(), known_link());
    connect_late(&mut late, 50, 1_000);
    give_up(&mut cut_off);
    for millis in 400..1_000 {
        full.on_transfer(Direction::Received, 934, at(millis));
    }
    give_up(&mut full);

    let is_late = [late, cut_off, full].map(|mut link| link.is_late(at(1_010)));

    expect_that!(is_late, eq([true, false, true]));
}

/// Requests of 100 that are accepted while the link carries this many packets of 1,000 bytes a second.
fn accepted(link: &mut LinkLoad, packets: u64) -> usize {
    for n in 0..packets {
        link.on_transfer(Direction::Received, 934, Instant(n * 1_000_000 / packets));
    }
    (0..100).filter(|_| link.accept_request(at(1_000))).count()
}

#[gtest]
fn requests_are_shed_before_the_link_is_full_but_never_all() {
    let accepted = [500, 900, 1_100].map(|packets| accepted(&mut known_link(), packets));

    expect_that!(accepted, elements_are![eq(100), all!(ge(40), le(60)), all!(ge(4), le(6))]);
}

#[gtest]
fn room_is_kept_for_streams_that_have_brought_no_event() {
    let mut link = known_link();
    // At first a stream is taken to need 8,000 bytes a second.
    (0..60).for_each(|_| link.on_stream_accepted());

    let before = accepted(&mut link, 500);
    (0..60).for_each(|_| link.on_stream_ended(false));
    let after = (0..100).filter(|_| link.accept_request(at(1_000))).count();

    expect_that!(before, le(10));
    expect_that!(after, ge(99));
}

#[gtest]
fn link_of_unknown_capacity_sheds_while_it_is_late_at_its_highest_rate() {
    let mut link = LinkLoad::new(None);
    connect(&mut link, "p1", 3, 0);
    connect(&mut link, "p2", 5, 0);

    let in_time = accepted(&mut link, 900);
    connect_late(&mut link, 50, 1_000);
    let late = accepted(&mut link, 900);

    expect_that!(in_time, eq(100));
    expect_that!(late, le(6));
}
