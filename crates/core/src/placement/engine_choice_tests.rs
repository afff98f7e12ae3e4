//! Engine selection by daemons without a scheduler.

use std::collections::BTreeMap;

use googletest::prelude::*;

use super::{
    Action, Candidate, EngineLoad, SampledEndpoint, Scheduler,
    fixture::{engines, ms, request, scheduler},
    sort_by_cost,
};
use crate::mechanism::Disabled;

/// Size of a large deployment: daemons, engines and tokens of KV cache per engine.
const DAEMONS: u64 = 295;
const ENGINES: usize = 122;
const MEMORY: u64 = 33_640;

fn load(unread_tokens: u64, kv_used: u64) -> Option<EngineLoad> {
    Some(EngineLoad {
        running: 3,
        waiting: 0,
        unread_tokens,
        kv_used,
        kv_tokens: MEMORY,
        started_at: 0,
    })
}

/// Counts how often each engine is chosen when all daemons place one request independently.
fn engines_chosen_by_all_daemons() -> BTreeMap<String, u64> {
    let halls = vec!["h"; ENGINES];
    let mut chosen = BTreeMap::new();
    for daemon in 0..DAEMONS {
        let mut scheduler = Scheduler::local(Disabled::default(), daemon);
        scheduler.configure(&engines(&halls, MEMORY));
        scheduler.enqueue(request(daemon, 3_000, 1_100), ms(1)).unwrap();
        let actions = scheduler.decide(ms(1));
        let [Action::Start { endpoint, .. }] = &actions[..] else { panic!("{actions:?}") };
        *chosen.entry(endpoint.to_string()).or_default() += 1;
    }
    chosen
}

#[gtest]
fn concurrent_daemons_spread_over_engines() {
    let chosen = engines_chosen_by_all_daemons();

    // 2.4 requests per engine on average; uniform random placement peaks at 8 or 9.
    expect_that!(chosen.values().sum::<u64>(), eq(DAEMONS));
    expect_that!(chosen.values().max(), some(le(&9)));
    expect_that!(chosen.len(), ge(100));
}

#[gtest]
fn sampled_engines_are_distinct() {
    let mut scheduler = Scheduler::local(Disabled::default(), 7);
    scheduler.configure(&engines(&["h", "h"], MEMORY));
    let req = request(1, 3_000, 1_100);
    let ticket = req.ticket;
    scheduler.enqueue(req, ms(1)).unwrap();
    scheduler.decide(ms(1));

    let sampled = scheduler.sampled_endpoints(ticket, ms(1));

    expect_that!(sampled.len(), eq(2));
    expect_that!(sampled[0].endpoint, not(eq(&sampled[1].endpoint)));
}

#[gtest]
fn slow_engine_is_sampled_less_often() {
    let mut scheduler = Scheduler::local(Disabled::default(), 7);
    scheduler.configure(&engines(&["h", "h", "h"], MEMORY));
    scheduler.endpoint_slow("e0", 3.0, ms(1));
    let mut times_sampled = 0;
    for number in 0..300 {
        let req = request(number, 3_000, 1_100);
        let ticket = req.ticket;
        scheduler.enqueue(req, ms(1)).unwrap();
        scheduler.decide(ms(1));
        let sampled = scheduler.sampled_endpoints(ticket, ms(1));
        times_sampled += sampled.iter().filter(|sampled| &*sampled.endpoint == "e0").count();
        scheduler.cancel(ticket, ms(1));
    }

    // An equally fast engine would be sampled 200 times.
    expect_that!(times_sampled, lt(150));
}

/// Returns the indices of engines with these loads and slownesses in sorted order.
fn order(engines: &[(Option<EngineLoad>, f64)]) -> Vec<usize> {
    let candidate = |(at, (load, slowness)): (usize, &(Option<EngineLoad>, f64))| {
        let endpoint = at.to_string().into();
        (SampledEndpoint { endpoint, slowness: *slowness }, *load)
    };
    let mut candidates: Vec<Candidate> = engines.iter().enumerate().map(candidate).collect();
    sort_by_cost(&mut candidates, 3_000);
    candidates.iter().map(|(sampled, _)| sampled.endpoint.parse().unwrap()).collect()
}

#[gtest]
fn sort_prefers_less_prefill_more_memory_and_higher_speed() {
    let by_prefill = order(&[(load(6_000, 10_000), 1.0), (load(0, 10_000), 1.0)]);
    let by_memory = order(&[(load(0, 25_000), 1.0), (load(0, 5_000), 1.0)]);
    let by_speed = order(&[(load(3_000, 9_000), 1.5), (load(3_500, 9_000), 1.0)]);

    expect_that!(by_prefill, eq(&vec![1, 0]));
    expect_that!(by_memory, eq(&vec![1, 0]));
    expect_that!(by_speed, eq(&vec![1, 0]));
}

#[gtest]
fn sort_puts_unknown_load_before_full_engines() {
    let full = (load(0, MEMORY - 1_000), 1.0);

    let order = order(&[full, (None, 1.0), (load(9_000, 9_000), 1.0)]);

    expect_that!(order, elements_are![eq(&2), eq(&1), eq(&0)]);
}

#[gtest]
fn reservation_needed_when_memory_is_short() {
    let needs_reservation = |used| load(0, used).unwrap().needs_reservation(3_000);

    expect_that!((needs_reservation(10_000), needs_reservation(25_000)), eq((false, true)));
}

#[gtest]
fn scheduler_reports_slow_engines() {
    let mut scheduler = scheduler(&["h", "h", "h"], MEMORY);
    for round in 0..6 {
        for (engine, prefill_ms) in [400, 400, 600].into_iter().enumerate() {
            let (number, start_ms) = (round * 10 + engine as u64, round * 1_000);
            let req = request(number, 3_000, 1_100);
            scheduler.place(req.clone(), &format!("e{engine}").into(), ms(start_ms));
            scheduler.finish(req.ticket, 8, true, ms(start_ms + prefill_ms));
        }
    }

    let slow = scheduler.slow_endpoints();

    let [(name, slowness)] = &slow[..] else { panic!("{slow:?}") };
    expect_that!(&**name, eq("e2"));
    expect_that!(*slowness, near(1.5, 0.05));
}
