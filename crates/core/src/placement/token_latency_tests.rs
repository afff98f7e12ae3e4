//! Measurement of token latency and its effect on placement.

use googletest::prelude::*;

use super::{
    Action, Request, Scheduler, fixture,
    fixture::{ms, scheduler},
    token_latency::{TokenLatency, TokenLatencyMeter},
};
use crate::units::Instant;

/// Token latency after a stream reported these `(time in ms, token count)` pairs.
fn latency_after(progress: &[(u64, u64)]) -> TokenLatency {
    let (mut latency, mut meter) = (TokenLatency::default(), TokenLatencyMeter::default());
    for (at, tokens) in progress {
        meter.observe(*tokens, ms(*at), &mut latency);
    }
    latency
}

fn request(number: u64) -> Request {
    fixture::request(number, 1_000, 2_000)
}

/// Two engines with one stream each: `e0` takes 40 ms per token, `e1` 10 ms.
fn slow_and_fast() -> Scheduler {
    let mut scheduler = scheduler(&["h", "h"], 34_000);
    report_slow_and_fast(&mut scheduler);
    scheduler
}

fn report_slow_and_fast(scheduler: &mut Scheduler) {
    scheduler.adopt(request(1), "e0", 1, ms(1_000));
    scheduler.adopt(request(2), "e1", 1, ms(1_000));
    for step in 1..=4 {
        let at = ms(1_000 + 1_000 * step);
        scheduler.progress(request(1).ticket, 1 + 25 * step, at);
        scheduler.progress(request(2).ticket, 1 + 100 * step, at);
    }
}

/// Enqueues a request and returns the endpoint on which it starts.
fn placed(scheduler: &mut Scheduler, number: u64, now: Instant) -> String {
    scheduler.enqueue(request(number), now).unwrap();
    match &scheduler.decide(now)[..] {
        [Action::Start { endpoint, .. }] => endpoint.to_string(),
        other => panic!("one start was expected: {other:?}"),
    }
}

#[gtest]
fn requests_avoid_slow_engines() {
    let mut scheduler = slow_and_fast();

    let at: Vec<String> = (10..15).map(|n| placed(&mut scheduler, n, ms(5_100 + n))).collect();

    expect_that!(at, each(eq("e1")));
}

#[gtest]
fn engines_are_not_slow_because_an_entry_is_late() {
    let mut scheduler = scheduler(&["h", "h"], 34_000);
    scheduler.set_late(request(1).ticket.entry, true);
    report_slow_and_fast(&mut scheduler);

    let at: Vec<String> = (10..15).map(|n| placed(&mut scheduler, n, ms(5_100 + n))).collect();

    expect_that!(at, contains(eq("e0")));
}

#[gtest]
fn avoided_engine_is_retried_after_expiry() {
    let mut scheduler = slow_and_fast();
    scheduler.finish(request(1).ticket, 101, false, ms(5_100));

    let soon = placed(&mut scheduler, 10, ms(6_000));
    let later = placed(&mut scheduler, 11, ms(60_000));

    expect_that!(soon, eq("e1"));
    expect_that!(later, eq("e0"));
}

#[gtest]
fn latency_is_time_per_token() {
    let latency = latency_after(&[(0, 0), (1_000, 100), (2_000, 200)]);

    expect_that!(latency.seconds_per_token(ms(2_000)), some(approx_eq(0.010)));
}

#[gtest]
fn frequent_reports_form_one_span() {
    let latency = latency_after(&[(0, 0), (10, 32), (20, 64), (1_000, 100)]);

    expect_that!(latency.seconds_per_token(ms(1_000)), some(approx_eq(0.010)));
}

#[gtest]
fn suspended_daemon_has_limited_effect() {
    let suspended = latency_after(&[(0, 0), (1_000, 100), (21_000, 200)]);
    let after = latency_after(&[(0, 0), (1_000, 100), (21_000, 200), (22_000, 300), (23_000, 400)]);

    // The span of 20 s is limited to five times the average.
    expect_that!(suspended.seconds_per_token(ms(21_000)), some(le(0.03)));
    expect_that!(after.seconds_per_token(ms(23_000)), some(le(0.02)));
}

#[gtest]
fn spans_beyond_max_age_are_ignored() {
    let suspended = latency_after(&[(0, 0), (1_000, 100), (61_000, 200)]);

    expect_that!(suspended.seconds_per_token(ms(61_000)), none());
}

#[gtest]
fn unknown_latency_is_not_slow() {
    let known = latency_after(&[(0, 0), (1_000, 100)]);

    expect_that!(TokenLatency::default().slowdown(Some(0.01), ms(1_000)), eq(0.0));
    expect_that!(known.slowdown(None, ms(1_000)), eq(0.0));
    expect_that!(known.slowdown(Some(0.005), ms(1_000)), approx_eq(1.0));
}
