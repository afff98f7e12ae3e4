//! Permits for requests to endpoints that name limits, counted in one place.

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;

use super::{Permit, PermitQueue, PermitRequest, RateLimit, RateLimitReport, Throttle};
use crate::{placement::SenderRole, testing::fixed_seed, units::Instant};

const SECOND: Duration = Duration::from_secs(1);
/// Time before any limit is named in these tests.
const START: Instant = Instant(1_000_000);

fn after_ms(millis: u64) -> Instant {
    START.after(Duration::from_millis(millis))
}

/// Endpoints that have all named a limit of so many requests a second at the start.
fn limited(endpoints: &[&str], per_second: f64) -> Throttle {
    let mut throttle = Throttle::new(SenderRole::Scheduler, 0);
    for endpoint in endpoints {
        name(&mut throttle, endpoint, per_second, START);
    }
    throttle
}

fn name(throttle: &mut Throttle, endpoint: &str, per_second: f64, now: Instant) {
    let limit = Some(RateLimit::new(per_second).unwrap());
    let (endpoint, asked) = (endpoint.into(), Instant(now.0 - 1));
    throttle.on_report(
        RateLimitReport { endpoint, started_at: 1, limit, sent_at: asked, received_at: now },
        now,
    );
}

fn ask(asker: u32, endpoints: &[&str], max_wait: Duration) -> PermitRequest<u32> {
    let endpoints = endpoints.iter().map(|name| (*name).into()).collect();
    PermitRequest { requester: asker, service: "s".into(), endpoints, max_wait }
}

fn granted(endpoint: &str) -> Permit {
    Permit::Granted(endpoint.into())
}

#[gtest]
fn one_that_cannot_wait_is_told_at_once() {
    let (mut queue, mut throttle) = (PermitQueue::default(), limited(&["e"], 1.0));

    let early = queue.request(ask(1, &["e"], Duration::ZERO), &mut throttle, after_ms(500));
    let due = queue.request(ask(2, &["e"], Duration::ZERO), &mut throttle, after_ms(1_100));
    let next = queue.request(ask(3, &["e"], Duration::ZERO), &mut throttle, after_ms(1_200));

    // The interval is 1/0.95 s.
    let retry_after = Duration::from_micros(552_631);
    expect_that!(early, some(eq(&Permit::Denied { retry_after })));
    expect_that!(due, some(eq(&granted("e"))));
    expect_that!(next, some(matches_pattern!(Permit::Denied { .. })));
}

#[gtest]
fn one_that_waits_goes_before_one_that_came_later() {
    let (mut queue, mut throttle) = (PermitQueue::default(), limited(&["e"], 1.0));
    expect_that!(queue.request(ask(1, &["e"], SECOND * 3), &mut throttle, after_ms(100)), none());
    expect_that!(queue.request(ask(2, &["e"], SECOND * 3), &mut throttle, after_ms(200)), none());
    let later = queue.request(ask(3, &["e"], Duration::ZERO), &mut throttle, after_ms(1_060));

    let first = queue.decide(&mut throttle, after_ms(1_060));
    let second = queue.decide(&mut throttle, after_ms(2_110));

    expect_that!(later, some(matches_pattern!(Permit::Denied { .. })));
    expect_that!(first, elements_are![eq(&(1, granted("e")))]);
    expect_that!(second, elements_are![eq(&(2, granted("e")))]);
}

#[gtest]
fn one_whose_turn_would_come_too_late_is_refused_at_once() {
    let (mut queue, mut throttle) = (PermitQueue::default(), limited(&["e"], 1.0));
    let mut ask = |asker| queue.request(ask(asker, &["e"], SECOND * 3), &mut throttle, after_ms(0));

    let told: Vec<_> = (0..5).map(&mut ask).collect();

    expect_that!(told[..2], elements_are![none(), none()]);
    expect_that!(told[2..], each(some(matches_pattern!(Permit::Denied { .. }))));
}

#[gtest]
fn those_who_are_refused_together_are_told_to_come_back_one_after_the_other() {
    let (mut queue, mut throttle) = (PermitQueue::default(), limited(&["e"], 10.0));
    let mut ask = |asker| queue.request(ask(asker, &["e"], Duration::ZERO), &mut throttle, START);

    let told: Vec<Duration> = (0..10)
        .filter_map(|asker| match ask(asker)? {
            Permit::Denied { retry_after } => Some(retry_after),
            Permit::Granted(_) => None,
        })
        .collect();

    expect_that!(told.len(), eq(10));
    expect_true!(told.is_sorted());
    expect_that!(told[9] - told[0], ge(Duration::from_millis(900)));
}

#[gtest]
fn leave_is_given_where_a_turn_comes_first() {
    let (mut queue, mut throttle) = (PermitQueue::default(), limited(&["slow"], 0.5));
    name(&mut throttle, "fast", 5.0, START);
    queue.request(ask(1, &["slow", "fast"], SECOND), &mut throttle, after_ms(10));

    let due = queue.next_decision().unwrap();
    let told = queue.decide(&mut throttle, due);

    expect_that!(told, elements_are![eq(&(1, granted("fast")))]);
}

#[gtest]
fn who_has_left_is_given_nothing() {
    let (mut queue, mut throttle) = (PermitQueue::default(), limited(&["e"], 1.0));
    queue.request(ask(1, &["e"], SECOND * 3), &mut throttle, START);
    queue.request(ask(2, &["e"], SECOND * 3), &mut throttle, START);

    queue.cancel(|asker| *asker == 1);
    let told = queue.decide(&mut throttle, after_ms(1_100));

    expect_that!(told, elements_are![eq(&(2, granted("e")))]);
}

/// A request that comes some time after the one before, at an endpoint that has lately named another limit.
#[derive(Debug, Clone)]
struct Arrival {
    pause_us: u64,
    max_wait_ms: u64,
    endpoint: usize,
    /// Times the usual limit, if it names another one just now.
    factor: Option<f64>,
}

fn arrivals() -> impl Strategy<Value = Vec<Arrival>> {
    let factor = prop::option::weighted(0.05, 0.5..2.0f64);
    let arrival = (0..400_000u64, 0..2_000u64, 0..3usize, factor);
    let arrival = arrival.prop_map(|(pause_us, max_wait_ms, endpoint, factor)| Arrival {
        pause_us,
        max_wait_ms,
        endpoint,
        factor,
    });
    prop::collection::vec(arrival, 1..300)
}

/// Sends what arrives as the queue says; returns the endpoint and the time of each request.
fn play(arrivals: &[Arrival], per_second: f64) -> Vec<(String, Instant)> {
    const NAMES: [&str; 3] = ["e0", "e1", "e2"];
    let (mut queue, mut throttle) = (PermitQueue::default(), limited(&NAMES, per_second));
    let (mut now, mut sent) = (START, Vec::new());
    let mut note = |permit: Permit, now| {
        if let Permit::Granted(endpoint) = permit {
            sent.push((endpoint.to_string(), now));
        }
    };
    for (asker, arrival) in arrivals.iter().enumerate() {
        let until = now.after(Duration::from_micros(arrival.pause_us));
        while let Some(due) = queue.next_decision().filter(|due| *due <= until) {
            let told = queue.decide(&mut throttle, due.max(now));
            told.into_iter().for_each(|(_, permit)| note(permit, due.max(now)));
        }
        now = until;
        if let Some(factor) = arrival.factor {
            name(&mut throttle, NAMES[arrival.endpoint], per_second * factor, now);
        }
        let max_wait = Duration::from_millis(arrival.max_wait_ms);
        // Every second caller may go to any of them.
        let endpoints = if asker % 2 == 0 { &NAMES[..] } else { &NAMES[arrival.endpoint..][..1] };
        let permit = queue.request(ask(asker as u32, endpoints, max_wait), &mut throttle, now);
        permit.into_iter().for_each(|permit| note(permit, now));
    }
    sent
}

#[gtest]
fn whatever_comes_no_endpoint_gets_more_than_it_takes_in_any_span_of_time() {
    proptest!(fixed_seed(300), |(arrivals in arrivals(), per_second in 0.3..20.0f64)| {
        let sent = play(&arrivals, per_second);
        let highest = arrivals.iter().filter_map(|arrival| arrival.factor).fold(1.0, f64::max);
        for endpoint in ["e0", "e1", "e2"] {
            let times: Vec<Instant> =
                sent.iter().filter(|(at, _)| at == endpoint).map(|(_, time)| *time).collect();
            for (first, from) in times.iter().enumerate() {
                for (last, to) in times.iter().enumerate().skip(first) {
                    let seconds = to.since(*from).as_secs_f64();
                    let allowed = (seconds * per_second * highest) as usize + 2;
                    prop_assert!(last - first < allowed + 1, "{endpoint}: {from:?} to {to:?}");
                }
            }
        }
    });
}

#[gtest]
fn what_endpoints_take_is_used_while_more_is_asked_for() {
    let (mut queue, mut throttle) = (PermitQueue::default(), limited(&["e0", "e1"], 5.0));
    let mut sent = 0;
    for asker in 0..1_000 {
        let now = after_ms(10 * asker);
        sent += queue.decide(&mut throttle, now).len();
        let ask = ask(asker as u32, &["e0", "e1"], SECOND / 4);
        sent +=
            usize::from(matches!(queue.request(ask, &mut throttle, now), Some(Permit::Granted(_))));
    }

    // 10 a second for 10 s, of which 0.95 are sent; and the first interval.
    expect_that!(sent, ge(90));
    expect_that!(sent, le(100));
}
