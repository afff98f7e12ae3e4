//! Tests of how fast endpoints are taken to be, and of what follows for new work.

use googletest::prelude::*;

use super::{
    Action, Request, Scheduler, fixture,
    fixture::{ms, scheduler},
    token_latency::{TokenLatency, TokenLatencyMeter},
};
use crate::units::Instant;

/// The pace of an endpoint after a stream had these many tokens at these times, in ms.
fn pace_after(progress: &[(u64, u64)]) -> TokenLatency {
    let (mut pace, mut meter) = (TokenLatency::default(), TokenLatencyMeter::default());
    for (at, tokens) in progress {
        meter.observe(*tokens, ms(*at), &mut pace);
    }
    pace
}

fn request(number: u64) -> Request {
    fixture::request(number, 1_000, 2_000)
}

/// Two engines with a stream each; `e0` takes 40 ms for a token and `e1` 10 ms.
fn slow_and_fast() -> Scheduler {
    let mut scheduler = scheduler(&["h", "h"], 34_000);
    scheduler.adopt(request(1), "e0", 1, ms(1_000));
    scheduler.adopt(request(2), "e1", 1, ms(1_000));
    for step in 1..=4 {
        let at = ms(1_000 + 1_000 * step);
        scheduler.progress(request(1).ticket, 1 + 25 * step, at);
        scheduler.progress(request(2).ticket, 1 + 100 * step, at);
    }
    scheduler
}

/// Where a new request is placed.
fn placed(scheduler: &mut Scheduler, number: u64, now: Instant) -> String {
    scheduler.enqueue(request(number), now).unwrap();
    match &scheduler.decide(now)[..] {
        [Action::Start { endpoint, .. }] => endpoint.to_string(),
        other => panic!("one start was expected: {other:?}"),
    }
}

#[gtest]
fn new_work_avoids_an_engine_that_has_become_slow() {
    let mut scheduler = slow_and_fast();

    let at: Vec<String> = (10..15).map(|n| placed(&mut scheduler, n, ms(5_100 + n))).collect();

    expect_that!(at, each(eq("e1")));
}

#[gtest]
fn an_engine_that_was_avoided_is_tried_again_after_a_while() {
    let mut scheduler = slow_and_fast();
    scheduler.finish(request(1).ticket, 101, false, ms(5_100));

    let soon = placed(&mut scheduler, 10, ms(6_000));
    let later = placed(&mut scheduler, 11, ms(60_000));

    expect_that!(soon, eq("e1"));
    expect_that!(later, eq("e0"));
}

#[gtest]
fn a_pace_is_the_time_for_a_token() {
    let pace = pace_after(&[(0, 0), (1_000, 100), (2_000, 200)]);

    expect_that!(pace.seconds_per_token(ms(2_000)), some(approx_eq(0.010)));
}

#[gtest]
fn what_was_told_in_quick_succession_counts_as_one_span() {
    let pace = pace_after(&[(0, 0), (10, 32), (20, 64), (1_000, 100)]);

    expect_that!(pace.seconds_per_token(ms(1_000)), some(approx_eq(0.010)));
}

#[gtest]
fn a_suspended_daemon_makes_no_endpoint_slow_for_long() {
    let suspended = pace_after(&[(0, 0), (1_000, 100), (21_000, 200)]);
    let after = pace_after(&[(0, 0), (1_000, 100), (21_000, 200), (22_000, 300), (23_000, 400)]);

    // The span of 20 s counts for no more than five times the pace.
    expect_that!(suspended.seconds_per_token(ms(21_000)), some(le(0.03)));
    expect_that!(after.seconds_per_token(ms(23_000)), some(le(0.02)));
}

#[gtest]
fn a_span_longer_than_what_is_remembered_counts_for_nothing() {
    let suspended = pace_after(&[(0, 0), (1_000, 100), (61_000, 200)]);

    expect_that!(suspended.seconds_per_token(ms(61_000)), none());
}

#[gtest]
fn what_is_not_known_is_not_slow() {
    let known = pace_after(&[(0, 0), (1_000, 100)]);

    expect_that!(TokenLatency::default().slowdown(Some(0.01), ms(1_000)), eq(0.0));
    expect_that!(known.slowdown(None, ms(1_000)), eq(0.0));
    expect_that!(known.slowdown(Some(0.005), ms(1_000)), approx_eq(1.0));
}
