//! Limits reported by responses in any order, and pacing by them.

use std::time::Duration;

use googletest::prelude::*;

use super::{LimitChange, RateLimit, RateLimitReport, Throttle};
use crate::{placement::SenderRole, units::Instant};

fn ms(millis: u64) -> Instant {
    Instant(millis * 1_000)
}

fn limit(per_second: f64) -> RateLimit {
    RateLimit::new(per_second).unwrap()
}

/// The report of a response that was sent and received at these times.
fn report(per_second: Option<f64>, sent_ms: u64, received_ms: u64) -> RateLimitReport {
    RateLimitReport {
        endpoint: "e".into(),
        started_at: 1,
        limit: per_second.map(limit),
        sent_at: ms(sent_ms),
        received_at: ms(received_ms),
    }
}

fn scheduler() -> Throttle {
    Throttle::new(SenderRole::Scheduler, 0)
}

/// A scheduler's throttle that received these reports in order.
fn throttle_with(reports: impl IntoIterator<Item = RateLimitReport>) -> Throttle {
    let mut throttle = scheduler();
    for report in reports {
        let received_at = report.received_at;
        throttle.on_report(report, received_at);
    }
    throttle
}

#[gtest]
fn endpoints_without_a_limit_are_not_paced() {
    let mut throttle = scheduler();

    expect_that!(throttle.on_report(report(None, 0, 10), ms(10)), eq(LimitChange::None));

    expect_true!(throttle.is_empty());
    expect_true!(throttle.may_send("e", ms(10)));
}

#[gtest]
fn first_request_waits_a_whole_interval() {
    let throttle = throttle_with([report(Some(0.95), 0, 10)]);

    expect_false!(throttle.may_send("e", ms(500)));
    expect_true!(throttle.may_send("e", ms(1_200)));
}

#[gtest]
fn response_without_a_limit_lifts_it() {
    let mut throttle = throttle_with([report(Some(2.0), 0, 10)]);

    expect_that!(throttle.on_report(report(None, 10, 20), ms(20)), eq(LimitChange::Lifted));

    expect_that!(throttle.limit("e"), none());
    expect_true!(throttle.may_send("e", ms(20)));
}

#[gtest]
fn overlapping_response_does_not_lift_a_limit() {
    let throttle = throttle_with([report(Some(2.0), 0, 10), report(None, 5, 20)]);

    expect_that!(throttle.limit("e"), some(eq(limit(2.0))));
}

#[gtest]
fn lower_limit_wins_between_overlapping_responses() {
    let either = [report(Some(2.0), 0, 10), report(Some(3.0), 5, 20)];
    let other = [report(Some(3.0), 5, 20), report(Some(2.0), 0, 21)];

    expect_that!(throttle_with(either).limit("e"), some(eq(limit(2.0))));
    expect_that!(throttle_with(other).limit("e"), some(eq(limit(2.0))));
}

#[gtest]
fn a_limit_rises_despite_concurrent_requests() {
    // Each response arrives while the next request is in flight.
    let reports = (0..20).map(|n| report(Some(if n < 5 { 2.0 } else { 4.0 }), n * 5, n * 5 + 12));

    expect_that!(throttle_with(reports).limit("e"), some(eq(limit(4.0))));
}

#[gtest]
fn stale_report_does_not_restore_a_lifted_limit() {
    let reports = [report(Some(2.0), 0, 10), report(None, 10, 20), report(Some(2.0), 0, 10)];

    expect_that!(throttle_with(reports).limit("e"), none());
}

#[gtest]
fn reports_of_earlier_runs_are_ignored() {
    let later = |per_second| RateLimitReport { started_at: 2, ..report(per_second, 0, 5) };

    let replaced = throttle_with([report(Some(2.0), 0, 10), later(None)]);
    let kept = throttle_with([later(Some(3.0)), report(None, 20, 30)]);

    expect_that!(replaced.limit("e"), none());
    expect_that!(kept.limit("e"), some(eq(limit(3.0))));
}

#[gtest]
fn small_changes_are_not_announced() {
    let mut throttle = throttle_with([report(Some(10.0), 0, 10)]);
    let mut apply =
        |per_second, at| throttle.on_report(report(Some(per_second), at, at + 1), ms(at));

    expect_that!(apply(10.5, 20), eq(LimitChange::None));
    expect_that!(apply(9.6, 30), eq(LimitChange::None));
    expect_that!(apply(7.0, 40), eq(LimitChange::Updated));
    expect_that!(apply(7.3, 50), eq(LimitChange::None));
    expect_that!(throttle.limit("e"), some(eq(limit(7.3))));
}

#[gtest]
fn endpoint_with_limit_zero_is_probed() {
    let throttle = throttle_with([report(Some(0.0), 0, 10)]);

    expect_false!(throttle.may_send("e", ms(10_000)));
    expect_true!(throttle.may_send("e", ms(11_000)));
}

#[gtest]
fn huge_limit_does_not_delay_requests() {
    let throttle = throttle_with([report(Some(1e300), 0, 10)]);

    expect_true!(throttle.may_send("e", ms(10)));
}

#[gtest]
fn removed_endpoints_and_old_lifted_limits_are_dropped() {
    let mut gone = throttle_with([report(Some(2.0), 0, 10)]);
    let mut lifted = throttle_with([report(Some(2.0), 0, 10), report(None, 10, 20)]);

    gone.retain(|_| false, ms(20));
    lifted.retain(|_| true, ms(1_000));
    expect_false!(lifted.is_empty());
    lifted.retain(|_| true, ms(100_000));

    expect_true!(gone.is_empty());
    expect_true!(lifted.is_empty());
}

/// Maximum requests in any 4 s over a minute, from daemons without a scheduler that send as soon as
/// they may.
fn max_in_4_s(daemons: u64, per_second: f64) -> usize {
    const STEP_MS: u64 = 20;
    let mut all: Vec<Throttle> = (0..daemons)
        .map(|seed| {
            let mut throttle = Throttle::new(SenderRole::one_of(daemons), seed);
            throttle.on_report(report(Some(per_second), 0, 10), ms(10));
            throttle
        })
        .collect();
    let mut times = Vec::new();
    // All traffic starts at once, after a pause in which slots could accumulate.
    for now in (60_000..120_000).step_by(STEP_MS as usize).map(ms) {
        for throttle in all.iter_mut().filter(|throttle| throttle.may_send("e", now)) {
            throttle.on_sent("e", now);
            times.push(now);
        }
    }
    let in_4_s = |from: &Instant| {
        times.iter().filter(|at| from <= *at && at.since(*from) < Duration::from_secs(4)).count()
    };
    times.iter().map(in_4_s).max().unwrap_or(0)
}

#[gtest]
fn daemons_without_a_scheduler_share_the_limit() {
    for daemons in [1, 7, 64, 300] {
        for per_second in [0.5, 3.0, 20.0] {
            let allowed = (per_second * 4.0 * 1.5 + 5.0) as usize;

            let most = max_in_4_s(daemons, per_second);

            expect_that!(most, le(allowed), "{daemons} daemons, {per_second} a second");
            expect_that!(most, gt(0), "{daemons} daemons, {per_second} a second");
        }
    }
}

#[gtest]
fn daemon_with_unknown_peer_count_sends_nothing() {
    let mut throttle = Throttle::new(SenderRole::one_of(0), 1);
    throttle.on_report(report(Some(3.0), 0, 10), ms(10));

    expect_false!((0..60_000).step_by(100).any(|at| throttle.may_send("e", ms(at))));
}
