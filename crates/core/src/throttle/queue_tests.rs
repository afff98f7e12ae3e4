//! Permits for requests to rate limited endpoints.

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;

use super::{Permit, PermitQueue, PermitRequest, RateLimit, RateLimitReport, Throttle};
use crate::{placement::SenderRole, testing::fixed_seed, units::Instant};

const SECOND: Duration = Duration::from_secs(1);
/// Time at which the tests begin.
const START: Instant = Instant(1_000_000);

fn after_ms(millis: u64) -> Instant {
    START.after(Duration::from_millis(millis))
}

/// Endpoints that all reported the same limit at the start.
fn limited(endpoints: &[&str], per_second: f64) -> Throttle {
    let mut throttle = Throttle::new(SenderRole::Scheduler, 0);
    for endpoint in endpoints {
        set_limit(&mut throttle, endpoint, per_second, START);
    }
    throttle
}

fn set_limit(throttle: &mut Throttle, endpoint: &str, per_second: f64, now: Instant) {
    let limit = Some(RateLimit::new(per_second).unwrap());
    let (endpoint, sent_at) = (endpoint.into(), Instant(now.0 - 1));
    throttle.on_report(
        RateLimitReport { endpoint, started_at: 1, limit, sent_at, received_at: now },
        now,
    );
}

fn permit_request(requester: u32, endpoints: &[&str], max_wait: Duration) -> PermitRequest<u32> {
    let endpoints = endpoints.iter().map(|name| (*name).into()).collect();
    PermitRequest { requester, service: "s".into(), endpoints, max_wait }
}

fn granted(endpoint: &str) -> Permit {
    Permit::Granted(endpoint.into())
}

#[gtest]
fn requests_that_cannot_wait_are_decided_at_once() {
    let (mut queue, mut throttle) = (PermitQueue::default(), limited(&["e"], 1.0));

    let early =
        queue.request(permit_request(1, &["e"], Duration::ZERO), &mut throttle, after_ms(500));
    let due =
        queue.request(permit_request(2, &["e"], Duration::ZERO), &mut throttle, after_ms(1_100));
    let next =
        queue.request(permit_request(3, &["e"], Duration::ZERO), &mut throttle, after_ms(1_200));

    // The scheduler's share is 0.95, so the interval is 1/0.95 s.
    let retry_after = Duration::from_micros(552_631);
    expect_that!(early, some(eq(&Permit::Denied { retry_after })));
    expect_that!(due, some(eq(&granted("e"))));
    expect_that!(next, some(matches_pattern!(Permit::Denied { .. })));
}

#[gtest]
fn queued_requests_are_served_in_order() {
    let (mut queue, mut throttle) = (PermitQueue::default(), limited(&["e"], 1.0));
    expect_that!(
        queue.request(permit_request(1, &["e"], SECOND * 3), &mut throttle, after_ms(100)),
        none()
    );
    expect_that!(
        queue.request(permit_request(2, &["e"], SECOND * 3), &mut throttle, after_ms(200)),
        none()
    );
    let later =
        queue.request(permit_request(3, &["e"], Duration::ZERO), &mut throttle, after_ms(1_060));

    let first = queue.decide(&mut throttle, after_ms(1_060));
    let second = queue.decide(&mut throttle, after_ms(2_110));

    expect_that!(later, some(matches_pattern!(Permit::Denied { .. })));
    expect_that!(first, elements_are![eq(&(1, granted("e")))]);
    expect_that!(second, elements_are![eq(&(2, granted("e")))]);
}

#[gtest]
fn requests_whose_wait_is_too_long_are_denied_at_once() {
    let (mut queue, mut throttle) = (PermitQueue::default(), limited(&["e"], 1.0));
    let mut request = |requester| {
        queue.request(permit_request(requester, &["e"], SECOND * 3), &mut throttle, after_ms(0))
    };

    let decisions: Vec<_> = (0..5).map(&mut request).collect();

    expect_that!(decisions[..2], elements_are![none(), none()]);
    expect_that!(decisions[2..], each(some(matches_pattern!(Permit::Denied { .. }))));
}

#[gtest]
fn retries_of_requests_denied_together_are_spread() {
    let (mut queue, mut throttle) = (PermitQueue::default(), limited(&["e"], 10.0));
    let mut request = |requester| {
        queue.request(permit_request(requester, &["e"], Duration::ZERO), &mut throttle, START)
    };

    let decisions: Vec<Duration> = (0..10)
        .filter_map(|requester| match request(requester)? {
            Permit::Denied { retry_after } => Some(retry_after),
            Permit::Granted(_) => None,
        })
        .collect();

    expect_that!(decisions.len(), eq(10));
    expect_true!(decisions.is_sorted());
    expect_that!(decisions[9] - decisions[0], ge(Duration::from_millis(900)));
}

#[gtest]
fn the_endpoint_that_accepts_first_is_granted() {
    let (mut queue, mut throttle) = (PermitQueue::default(), limited(&["slow"], 0.5));
    set_limit(&mut throttle, "fast", 5.0, START);
    queue.request(permit_request(1, &["slow", "fast"], SECOND), &mut throttle, after_ms(10));

    let due = queue.next_decision().unwrap();
    let decisions = queue.decide(&mut throttle, due);

    expect_that!(decisions, elements_are![eq(&(1, granted("fast")))]);
}

#[gtest]
fn cancelled_requests_get_no_permit() {
    let (mut queue, mut throttle) = (PermitQueue::default(), limited(&["e"], 1.0));
    queue.request(permit_request(1, &["e"], SECOND * 3), &mut throttle, START);
    queue.request(permit_request(2, &["e"], SECOND * 3), &mut throttle, START);

    queue.cancel(|requester| *requester == 1);
    let decisions = queue.decide(&mut throttle, after_ms(1_100));

    expect_that!(decisions, elements_are![eq(&(2, granted("e")))]);
}

/// A request that arrives `pause_us` after the previous one, at an endpoint whose limit may have
/// just changed.
#[derive(Debug, Clone)]
struct Arrival {
    pause_us: u64,
    max_wait_ms: u64,
    endpoint: usize,
    /// Factor by which the endpoint's limit changes now, if it does.
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

/// Runs the arrivals through a queue; returns the endpoint and time of each request sent.
fn run(arrivals: &[Arrival], per_second: f64) -> Vec<(String, Instant)> {
    const NAMES: [&str; 3] = ["e0", "e1", "e2"];
    let (mut queue, mut throttle) = (PermitQueue::default(), limited(&NAMES, per_second));
    let (mut now, mut sent) = (START, Vec::new());
    let mut record = |permit: Permit, now| {
        if let Permit::Granted(endpoint) = permit {
            sent.push((endpoint.to_string(), now));
        }
    };
    for (requester, arrival) in arrivals.iter().enumerate() {
        let until = now.after(Duration::from_micros(arrival.pause_us));
        while let Some(due) = queue.next_decision().filter(|due| *due <= until) {
            let decisions = queue.decide(&mut throttle, due.max(now));
            decisions.into_iter().for_each(|(_, permit)| record(permit, due.max(now)));
        }
        now = until;
        if let Some(factor) = arrival.factor {
            set_limit(&mut throttle, NAMES[arrival.endpoint], per_second * factor, now);
        }
        let max_wait = Duration::from_millis(arrival.max_wait_ms);
        // Every second request accepts any endpoint.
        let endpoints =
            if requester % 2 == 0 { &NAMES[..] } else { &NAMES[arrival.endpoint..][..1] };
        let permit = queue.request(
            permit_request(requester as u32, endpoints, max_wait),
            &mut throttle,
            now,
        );
        permit.into_iter().for_each(|permit| record(permit, now));
    }
    sent
}

#[gtest]
fn no_endpoint_exceeds_its_limit_in_any_time_span() {
    proptest!(fixed_seed(300), |(arrivals in arrivals(), per_second in 0.3..20.0f64)| {
        let sent = run(&arrivals, per_second);
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
fn limits_are_fully_used_under_overload() {
    let (mut queue, mut throttle) = (PermitQueue::default(), limited(&["e0", "e1"], 5.0));
    let mut sent = 0;
    for requester in 0..1_000 {
        let now = after_ms(10 * requester);
        sent += queue.decide(&mut throttle, now).len();
        let req = permit_request(requester as u32, &["e0", "e1"], SECOND / 4);
        sent +=
            usize::from(matches!(queue.request(req, &mut throttle, now), Some(Permit::Granted(_))));
    }

    // 10 per second for 10 s, of which the scheduler's share is 0.95, less the first interval.
    expect_that!(sent, ge(90));
    expect_that!(sent, le(100));
}
