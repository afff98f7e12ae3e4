//! Pacing of requests to cold endpoints, by the scheduler and by daemons without one.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use googletest::prelude::*;
use proptest::prelude::*;

use super::{
    Action, Request, Scheduler, SenderRole,
    fixture::{engines, ms, request, scheduler},
};
use crate::{
    config::{ColdStart, Endpoints},
    mechanism::Disabled,
    testing::fixed_seed,
    units::Instant,
};

/// Requests per second that a cold endpoint handles.
const COLD_RATE: u64 = 20;
/// Requests per second above which a cold endpoint fails.
const OVERLOAD_RATE: usize = 35;

fn cold_start() -> ColdStart {
    ColdStart {
        duration: Duration::from_secs(1),
        min_interval: Duration::from_millis(1_000 / COLD_RATE),
    }
}

/// Cold engines with large memory.
fn cold_engines(halls: &[&str]) -> Endpoints {
    let mut engines = engines(halls, 10_000_000);
    for engine in engines.values_mut() {
        engine.slots = 10_000;
        engine.cold_start = Some(cold_start());
    }
    engines
}

fn cold_scheduler(halls: &[&str], until: Instant) -> Scheduler {
    let mut scheduler = scheduler(halls, 10_000_000);
    scheduler.configure(&cold_engines(halls));
    for n in 0..halls.len() {
        scheduler.endpoint_cold(&format!("e{n}"), until, ms(0));
    }
    scheduler
}

/// A request that waits longer than the cold period.
fn patient(number: u64) -> Request {
    let long = Duration::from_secs(30);
    Request { max_wait: long, ttft_target: long, ..request(number, 100, 100) }
}

/// Decides and returns the endpoint of each started request.
fn sent(scheduler: &mut Scheduler, now: Instant) -> Vec<Arc<str>> {
    let start = |action| match action {
        Action::Start { endpoint, .. } => Some(endpoint),
        Action::GiveUp { .. } => None,
    };
    scheduler.decide(now).into_iter().filter_map(start).collect()
}

/// Maximum number of events within one second.
fn max_per_second(times: &[Instant]) -> usize {
    let mut window = VecDeque::new();
    let mut max = 0;
    for at in times {
        window.push_back(*at);
        while window.front().is_some_and(|first| first.after(Duration::from_secs(1)) <= *at) {
            window.pop_front();
        }
        max = max.max(window.len());
    }
    max
}

#[gtest]
fn scheduler_paces_requests_to_a_cold_endpoint() {
    let mut scheduler = cold_scheduler(&["a"], ms(1_000));
    for number in 0..200 {
        scheduler.enqueue(patient(number), ms(0)).unwrap();
    }

    let cold: usize = (0..1_000).map(|at| sent(&mut scheduler, ms(at)).len()).sum();
    let warm = sent(&mut scheduler, ms(1_000)).len();

    expect_that!(cold, all![ge(14), le(COLD_RATE as usize)]);
    expect_that!(warm, eq(200 - cold));
}

#[gtest]
fn warm_endpoints_are_preferred() {
    let mut scheduler = cold_scheduler(&["a"], ms(1_000));
    scheduler.configure(&cold_engines(&["a", "b"]));
    for number in 0..100 {
        scheduler.enqueue(patient(number), ms(0)).unwrap();
    }

    let sent = sent(&mut scheduler, ms(0));

    expect_that!(sent.len(), eq(100));
    expect_that!(sent.iter().filter(|endpoint| &***endpoint == "e0").count(), le(1));
}

#[gtest]
fn next_decision_includes_cold_endpoint_pacing() {
    let mut scheduler = cold_scheduler(&["a"], ms(1_000));
    for number in 0..3 {
        scheduler.enqueue(request(number, 100, 100), ms(0)).unwrap();
    }
    sent(&mut scheduler, ms(0));

    let next = scheduler.next_decision().unwrap();
    let sent = sent(&mut scheduler, next);

    expect_that!(next, all![gt(ms(0)), le(ms(100))]);
    expect_that!(sent.len(), eq(1));
}

#[gtest]
fn moves_count_against_the_cold_rate() {
    let mut scheduler = cold_scheduler(&["a", "a"], ms(0));
    for number in 0..200 {
        scheduler.adopt(request(number, 100, 5_000), "e0", 8, ms(0));
    }
    scheduler.endpoint_cold("e1", ms(1_000), ms(0));
    scheduler.endpoint_leaving("e0", true);

    let mut received = 0;
    for at in 0..1_000 {
        let _ = scheduler.enqueue(request(1_000 + at, 100, 100), ms(at));
        received += sent(&mut scheduler, ms(at)).len();
        for relocation in scheduler.plan_relocations(ms(at)) {
            received += 1;
            scheduler.on_relocated(relocation.ticket, &relocation.to, true, ms(at));
        }
    }

    expect_that!(received, all![ge(14), le(COLD_RATE as usize)]);
}

#[gtest]
fn failed_endpoint_is_cold_on_retry() {
    let mut scheduler = cold_scheduler(&["a"], ms(0));
    scheduler.endpoint_failed("e0", ms(100));
    for number in 0..50 {
        scheduler.enqueue(patient(number), ms(700)).unwrap();
    }

    let at_once = sent(&mut scheduler, ms(700)).len();

    expect_that!(at_once, eq(1));
}

#[gtest]
fn endpoints_without_cold_start_are_not_paced() {
    let mut scheduler = scheduler(&["a"], 1_000_000);
    scheduler.endpoint_cold("e0", ms(1_000), ms(0));
    for number in 0..20 {
        scheduler.enqueue(request(number, 100, 100), ms(0)).unwrap();
    }

    expect_that!(sent(&mut scheduler, ms(0)).len(), eq(20));
}

/// Times at which daemons without a scheduler send to `e0` while each always has a request queued.
fn sent_by_daemons(daemons: u64, endpoints: usize, seed: u64) -> Vec<Instant> {
    let halls = vec!["a"; endpoints];
    let mut local_schedulers: Vec<Scheduler> = (0..daemons)
        .map(|daemon| {
            let mut scheduler = Scheduler::local(Disabled::default(), seed * 1_000 + daemon);
            scheduler.set_sender_role(SenderRole::one_of(daemons), ms(0));
            scheduler.configure(&cold_engines(&halls));
            for n in 0..endpoints {
                scheduler.endpoint_cold(&format!("e{n}"), ms(3_000), ms(0));
            }
            scheduler
        })
        .collect();
    let mut times = Vec::new();
    for at in 0..300 {
        let now = ms(at * 10);
        for scheduler in &mut local_schedulers {
            let _ = scheduler.enqueue(request(at, 100, 100), now);
            let to_e0 = sent(scheduler, now).into_iter().filter(|name| &**name == "e0");
            times.extend(to_e0.map(|_| now));
        }
    }
    times
}

#[gtest]
fn daemons_together_use_the_cold_rate_without_exceeding_it() {
    for daemons in [1, 7, 64, 300] {
        for seed in 0..10 {
            let times = sent_by_daemons(daemons, 1, seed);

            expect_that!(max_per_second(&times), le(OVERLOAD_RATE), "{daemons} daemons, {seed}");
            expect_that!(times.len(), ge(15), "{daemons} daemons, {seed}: used in 3 s");
        }
    }
}

proptest! {
    #![proptest_config(fixed_seed(40))]

    /// The scheduler never exceeds the cold rate under random requests, leaves, failures and restarts.
    #[test]
    fn cold_rate_is_never_exceeded(
        steps in proptest::collection::vec((0u8..6, 0usize..4, 1u64..2_000), 1..200),
    ) {
        let mut scheduler = cold_scheduler(&["a", "a", "b", "b"], ms(5_000));
        let mut times: Vec<Vec<Instant>> = vec![Vec::new(); 4];
        let at_of = |name: &str| name[1..].parse::<usize>().unwrap();
        for (at, (step, n, size)) in (0u64..).zip(steps) {
            let now = ms(at * 15);
            match step {
                0..=2 => drop(scheduler.enqueue(request(at, size, 2_000), now)),
                3 => scheduler.endpoint_leaving(&format!("e{n}"), size % 2 == 0),
                4 => scheduler.endpoint_failed(&format!("e{n}"), now),
                _ => scheduler.endpoint_cold(&format!("e{n}"), now.after(Duration::from_secs(1)), now),
            }
            for relocation in scheduler.plan_relocations(now) {
                times[at_of(&relocation.to)].push(now);
                scheduler.on_relocated(relocation.ticket, &relocation.to, true, now);
            }
            for endpoint in sent(&mut scheduler, now) {
                times[at_of(&endpoint)].push(now);
            }
        }
        for times in times {
            prop_assert!(max_per_second(&times) <= COLD_RATE as usize);
        }
    }
}
