//! What is known of limits, whatever the order in which answers come.

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

/// An answer to a request that was sent at one time and answered at another.
fn word(per_second: Option<f64>, asked: u64, read: u64) -> RateLimitReport {
    RateLimitReport {
        endpoint: "e".into(),
        started_at: 1,
        limit: per_second.map(limit),
        sent_at: ms(asked),
        received_at: ms(read),
    }
}

fn scheduler() -> Throttle {
    Throttle::new(SenderRole::Scheduler, 0)
}

/// One that has learnt these answers in turn.
fn that_has_heard(words: impl IntoIterator<Item = RateLimitReport>) -> Throttle {
    let mut throttle = scheduler();
    for word in words {
        let read = word.received_at;
        throttle.on_report(word, read);
    }
    throttle
}

#[gtest]
fn an_endpoint_without_a_limit_takes_all() {
    let mut throttle = scheduler();

    expect_that!(throttle.on_report(word(None, 0, 10), ms(10)), eq(LimitChange::None));

    expect_true!(throttle.is_empty());
    expect_true!(throttle.may_send("e", ms(10)));
}

#[gtest]
fn the_first_request_after_the_word_is_due_after_a_whole_interval() {
    let throttle = that_has_heard([word(Some(0.95), 0, 10)]);

    expect_false!(throttle.may_send("e", ms(500)));
    expect_true!(throttle.may_send("e", ms(1_200)));
}

#[gtest]
fn an_answer_without_a_limit_lifts_it() {
    let mut throttle = that_has_heard([word(Some(2.0), 0, 10)]);

    expect_that!(throttle.on_report(word(None, 10, 20), ms(20)), eq(LimitChange::Lifted));

    expect_that!(throttle.limit("e"), none());
    expect_true!(throttle.may_send("e", ms(20)));
}

#[gtest]
fn an_answer_to_a_request_sent_before_the_word_came_lifts_nothing() {
    let throttle = that_has_heard([word(Some(2.0), 0, 10), word(None, 5, 20)]);

    expect_that!(throttle.limit("e"), some(eq(limit(2.0))));
}

#[gtest]
fn of_two_answers_in_either_order_the_lower_limit_holds() {
    let either = [word(Some(2.0), 0, 10), word(Some(3.0), 5, 20)];
    let other = [word(Some(3.0), 5, 20), word(Some(2.0), 0, 21)];

    expect_that!(that_has_heard(either).limit("e"), some(eq(limit(2.0))));
    expect_that!(that_has_heard(other).limit("e"), some(eq(limit(2.0))));
}

#[gtest]
fn many_requests_at_once_do_not_keep_a_limit_from_rising() {
    // Each answer comes while the next request is under way.
    let answers = (0..20).map(|n| word(Some(if n < 5 { 2.0 } else { 4.0 }), n * 5, n * 5 + 12));

    expect_that!(that_has_heard(answers).limit("e"), some(eq(limit(4.0))));
}

#[gtest]
fn old_word_does_not_bring_back_a_limit_that_was_lifted() {
    let heard = [word(Some(2.0), 0, 10), word(None, 10, 20), word(Some(2.0), 0, 10)];

    expect_that!(that_has_heard(heard).limit("e"), none());
}

#[gtest]
fn a_later_run_says_what_holds_and_a_former_one_nothing() {
    let later = |per_second| RateLimitReport { started_at: 2, ..word(per_second, 0, 5) };

    let replaced = that_has_heard([word(Some(2.0), 0, 10), later(None)]);
    let kept = that_has_heard([later(Some(3.0)), word(None, 20, 30)]);

    expect_that!(replaced.limit("e"), none());
    expect_that!(kept.limit("e"), some(eq(limit(3.0))));
}

#[gtest]
fn limits_that_differ_a_little_are_no_news() {
    let mut throttle = that_has_heard([word(Some(10.0), 0, 10)]);
    let mut learn = |per_second, at| throttle.on_report(word(Some(per_second), at, at + 1), ms(at));

    expect_that!(learn(10.5, 20), eq(LimitChange::None));
    expect_that!(learn(9.6, 30), eq(LimitChange::None));
    expect_that!(learn(7.0, 40), eq(LimitChange::Updated));
    expect_that!(learn(7.3, 50), eq(LimitChange::None));
    expect_that!(throttle.limit("e"), some(eq(limit(7.3))));
}

#[gtest]
fn an_endpoint_that_takes_nothing_is_tried_now_and_then() {
    let throttle = that_has_heard([word(Some(0.0), 0, 10)]);

    expect_false!(throttle.may_send("e", ms(10_000)));
    expect_true!(throttle.may_send("e", ms(11_000)));
}

#[gtest]
fn a_limit_without_bound_holds_nothing_back() {
    let throttle = that_has_heard([word(Some(1e300), 0, 10)]);

    expect_true!(throttle.may_send("e", ms(10)));
}

#[gtest]
fn limits_of_endpoints_that_are_gone_are_forgotten_and_lifted_ones_after_a_while() {
    let mut gone = that_has_heard([word(Some(2.0), 0, 10)]);
    let mut lifted = that_has_heard([word(Some(2.0), 0, 10), word(None, 10, 20)]);

    gone.retain(|_| false, ms(20));
    lifted.retain(|_| true, ms(1_000));
    expect_false!(lifted.is_empty());
    lifted.retain(|_| true, ms(100_000));

    expect_true!(gone.is_empty());
    expect_true!(lifted.is_empty());
}

/// Most requests in any 4 s that daemons send by themselves, each as soon as it may, over a minute.
fn most_in_4_s(daemons: u64, per_second: f64) -> usize {
    const STEP_MS: u64 = 20;
    let mut all: Vec<Throttle> = (0..daemons)
        .map(|seed| {
            let mut throttle = Throttle::new(SenderRole::one_of(daemons), seed);
            throttle.on_report(word(Some(per_second), 0, 10), ms(10));
            throttle
        })
        .collect();
    let mut times = Vec::new();
    // All traffic comes at once, after a pause in which turns could add up.
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
fn daemons_that_send_by_themselves_keep_to_the_limit_together_whatever_their_number() {
    for daemons in [1, 7, 64, 300] {
        for per_second in [0.5, 3.0, 20.0] {
            let allowed = (per_second * 4.0 * 1.5 + 5.0) as usize;

            let most = most_in_4_s(daemons, per_second);

            expect_that!(most, le(allowed), "{daemons} daemons, {per_second} a second");
            expect_that!(most, gt(0), "{daemons} daemons, {per_second} a second");
        }
    }
}

#[gtest]
fn a_daemon_that_does_not_know_how_many_they_are_sends_nothing() {
    let mut throttle = Throttle::new(SenderRole::one_of(0), 1);
    throttle.on_report(word(Some(3.0), 0, 10), ms(10));

    expect_false!((0..60_000).step_by(100).any(|at| throttle.may_send("e", ms(at))));
}
