//! What cold endpoints are sent, by a scheduler and by hundreds of daemons without one.

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

/// What an endpoint bears while it is cold, for a second.
const BEARS: u64 = 20;
/// What it is sent in a second before it falls over: 1.5 times that, and five.
const FALLS_OVER: usize = 35;

fn cold_start() -> ColdStart {
    ColdStart { lasts: Duration::from_secs(1), interval: Duration::from_millis(1_000 / BEARS) }
}

/// Engines of great memory that are cold after a start.
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

/// A request that waits for longer than an endpoint is cold.
fn patient(number: u64) -> Request {
    let long = Duration::from_secs(30);
    Request { max_wait: long, ttft_target: long, ..request(number, 100, 100) }
}

/// The endpoints that requests are sent to now.
fn sent(scheduler: &mut Scheduler, now: Instant) -> Vec<Arc<str>> {
    let start = |action| match action {
        Action::Start { endpoint, .. } => Some(endpoint),
        Action::GiveUp { .. } => None,
    };
    scheduler.decide(now).into_iter().filter_map(start).collect()
}

/// The most that came within a second.
fn most_in_a_second(times: &[Instant]) -> usize {
    let mut window = VecDeque::new();
    let mut most = 0;
    for at in times {
        window.push_back(*at);
        while window.front().is_some_and(|first| first.after(Duration::from_secs(1)) <= *at) {
            window.pop_front();
        }
        most = most.max(window.len());
    }
    most
}

#[gtest]
fn a_scheduler_spaces_out_what_it_sends_to_a_cold_endpoint() {
    let mut scheduler = cold_scheduler(&["a"], ms(1_000));
    for number in 0..200 {
        scheduler.enqueue(patient(number), ms(0)).unwrap();
    }

    let cold: usize = (0..1_000).map(|at| sent(&mut scheduler, ms(at)).len()).sum();
    let warm = sent(&mut scheduler, ms(1_000)).len();

    expect_that!(cold, all![ge(14), le(BEARS as usize)]);
    expect_that!(warm, eq(200 - cold));
}

#[gtest]
fn while_others_are_warm_requests_go_there() {
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
fn a_waiting_request_is_looked_at_again_when_a_cold_endpoint_takes_the_next() {
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
fn moves_and_requests_together_keep_to_what_it_bears() {
    let mut scheduler = cold_scheduler(&["a", "a"], ms(0));
    for number in 0..200 {
        scheduler.adopt(request(number, 100, 5_000), "e0", 8, ms(0));
    }
    scheduler.endpoint_cold("e1", ms(1_000), ms(0));
    scheduler.endpoint_leaving("e0", true);

    let mut came = 0;
    for at in 0..1_000 {
        let _ = scheduler.enqueue(request(1_000 + at, 100, 100), ms(at));
        came += sent(&mut scheduler, ms(at)).len();
        for relocation in scheduler.plan_relocations(ms(at)) {
            came += 1;
            scheduler.on_relocated(relocation.ticket, &relocation.to, true, ms(at));
        }
    }

    expect_that!(came, all![ge(14), le(BEARS as usize)]);
}

#[gtest]
fn an_endpoint_that_failed_is_taken_for_cold_when_it_is_tried_again() {
    let mut scheduler = cold_scheduler(&["a"], ms(0));
    scheduler.endpoint_failed("e0", ms(100));
    for number in 0..50 {
        scheduler.enqueue(patient(number), ms(700)).unwrap();
    }

    let at_once = sent(&mut scheduler, ms(700)).len();

    expect_that!(at_once, eq(1));
}

#[gtest]
fn endpoints_of_services_that_are_never_cold_are_sent_all_at_once() {
    let mut scheduler = scheduler(&["a"], 1_000_000);
    scheduler.endpoint_cold("e0", ms(1_000), ms(0));
    for number in 0..20 {
        scheduler.enqueue(request(number, 100, 100), ms(0)).unwrap();
    }

    expect_that!(sent(&mut scheduler, ms(0)).len(), eq(20));
}

/// What daemons without a scheduler send to one cold endpoint, each of which has all that it may
/// send.
fn sent_by_daemons(daemons: u64, endpoints: usize, seed: u64) -> Vec<Instant> {
    let halls = vec!["a"; endpoints];
    let mut alone: Vec<Scheduler> = (0..daemons)
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
        for scheduler in &mut alone {
            let _ = scheduler.enqueue(request(at, 100, 100), now);
            let to_first = sent(scheduler, now).into_iter().filter(|name| &**name == "e0");
            times.extend(to_first.map(|_| now));
        }
    }
    times
}

#[gtest]
fn a_share_for_each_daemon_is_neither_nothing_nor_too_much_whatever_their_number() {
    for daemons in [1, 7, 64, 300] {
        for seed in 0..10 {
            let times = sent_by_daemons(daemons, 1, seed);

            expect_that!(most_in_a_second(&times), le(FALLS_OVER), "{daemons} daemons, {seed}");
            expect_that!(times.len(), ge(15), "{daemons} daemons, {seed}: used in 3 s");
        }
    }
}

proptest! {
    #![proptest_config(fixed_seed(40))]

    /// Whatever comes and goes, a cold endpoint is never sent more than it bears by one scheduler.
    #[test]
    fn no_cold_endpoint_is_sent_more_than_it_bears(
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
            prop_assert!(most_in_a_second(&times) <= BEARS as usize);
        }
    }
}
