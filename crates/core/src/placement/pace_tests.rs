//! Tests of how fast endpoints are taken to be, and of what follows for new work.

use std::time::Duration;

use googletest::prelude::*;

use super::{
    Action, ForecastPolicy, PrefixHash, Request, Scheduler, SchedulerLimits, Ticket,
    pace::{Pace, PaceMeter},
};
use crate::{
    config::{EndpointSpec, EndpointTarget},
    units::Instant,
};

fn ms(ms: u64) -> Instant {
    Instant(ms * 1_000)
}

/// The pace of an endpoint after a stream had these many tokens at these times, in ms.
fn pace_after(progress: &[(u64, u64)]) -> Pace {
    let (mut pace, mut meter) = (Pace::default(), PaceMeter::default());
    for (at, tokens) in progress {
        meter.measure(*tokens, ms(*at), &mut pace);
    }
    pace
}

fn request(number: u64) -> Request {
    Request {
        ticket: Ticket { entry: 1, number },
        workspace: "w".into(),
        rank: 1,
        share: 1,
        max_running: 1_000,
        max_waiting: 1_000,
        kind: "chat".into(),
        target: EndpointTarget::Model("m".into()),
        prompt_tokens: 1_000,
        prefix: PrefixHash(number),
        max_tokens: 2_000,
        max_wait: Duration::from_secs(1),
        avoid: None,
    }
}

/// Two engines with a stream each; `e0` takes 40 ms for a token and `e1` 10 ms.
fn slow_and_fast() -> Scheduler {
    let spec = |port: u16| EndpointSpec {
        hall: "h".to_owned(),
        address: format!("10.0.0.1:{port}").parse().unwrap(),
        target: EndpointTarget::Model("m".into()),
        slots: 48,
        kv_tokens: 34_000,
        checks_fence: false,
        moves: true,
    };
    let policy = Box::new(ForecastPolicy::default());
    let mut scheduler = Scheduler::new(SchedulerLimits::default(), policy);
    scheduler.configure(&[("e0".to_owned(), spec(1)), ("e1".to_owned(), spec(2))].into());
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
    scheduler.arrive(request(number), now).unwrap();
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

    expect_that!(pace.per_token(ms(2_000)), some(approx_eq(0.010)));
}

#[gtest]
fn what_was_told_in_quick_succession_counts_as_one_span() {
    let pace = pace_after(&[(0, 0), (10, 32), (20, 64), (1_000, 100)]);

    expect_that!(pace.per_token(ms(1_000)), some(approx_eq(0.010)));
}

#[gtest]
fn a_suspended_daemon_makes_no_endpoint_slow_for_long() {
    let suspended = pace_after(&[(0, 0), (1_000, 100), (21_000, 200)]);
    let after = pace_after(&[(0, 0), (1_000, 100), (21_000, 200), (22_000, 300), (23_000, 400)]);

    // The span of 20 s counts for no more than five times the pace.
    expect_that!(suspended.per_token(ms(21_000)), some(le(0.03)));
    expect_that!(after.per_token(ms(23_000)), some(le(0.02)));
}

#[gtest]
fn a_span_longer_than_what_is_remembered_counts_for_nothing() {
    let suspended = pace_after(&[(0, 0), (1_000, 100), (61_000, 200)]);

    expect_that!(suspended.per_token(ms(61_000)), none());
}

#[gtest]
fn what_is_not_known_is_not_slow() {
    let known = pace_after(&[(0, 0), (1_000, 100)]);

    expect_that!(Pace::default().slowdown(Some(0.01), ms(1_000)), eq(0.0));
    expect_that!(known.slowdown(None, ms(1_000)), eq(0.0));
    expect_that!(known.slowdown(Some(0.005), ms(1_000)), approx_eq(1.0));
}
