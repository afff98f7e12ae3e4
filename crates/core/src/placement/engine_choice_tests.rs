//! Tests of the choice without a scheduler.

use std::collections::BTreeMap;

use googletest::prelude::*;

use super::{
    Action, Candidate, EngineLoad, SampledEndpoint, Scheduler,
    fixture::{engines, ms, request, scheduler},
    sort_by_cost,
};
use crate::mechanism::Disabled;

/// Entries and engines of the users' largest deployment.
const DAEMONS: u64 = 295;
const ENGINES: usize = 122;
/// Memory of one of its engines, in tokens.
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

/// The engines that daemons which know nothing of each other choose for one prompt each.
fn choices_of_all() -> BTreeMap<String, u64> {
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
fn hundreds_of_daemons_with_equal_knowledge_choose_apart() {
    let chosen = choices_of_all();

    // 2.4 prompts for each engine; of 295 thrown at 122 at random the fullest has 8 or 9.
    expect_that!(chosen.values().sum::<u64>(), eq(DAEMONS));
    expect_that!(chosen.values().max(), some(le(&9)));
    expect_that!(chosen.len(), ge(100));
}

#[gtest]
fn the_other_choice_is_another_engine() {
    let mut scheduler = Scheduler::local(Disabled::default(), 7);
    scheduler.configure(&engines(&["h", "h"], MEMORY));
    let req = request(1, 3_000, 1_100);
    let ticket = req.ticket;
    scheduler.enqueue(req, ms(1)).unwrap();
    scheduler.decide(ms(1));

    let drawn = scheduler.sampled_endpoints(ticket, ms(1));

    expect_that!(drawn.len(), eq(2));
    expect_that!(drawn[0].endpoint, not(eq(&drawn[1].endpoint)));
}

#[gtest]
fn a_slow_engine_is_drawn_less_often() {
    let mut scheduler = Scheduler::local(Disabled::default(), 7);
    scheduler.configure(&engines(&["h", "h", "h"], MEMORY));
    scheduler.endpoint_slow("e0", 3.0, ms(1));
    let mut drawn_slow = 0;
    for number in 0..300 {
        let req = request(number, 3_000, 1_100);
        let ticket = req.ticket;
        scheduler.enqueue(req, ms(1)).unwrap();
        scheduler.decide(ms(1));
        let drawn = scheduler.sampled_endpoints(ticket, ms(1));
        drawn_slow += drawn.iter().filter(|drawn| &*drawn.endpoint == "e0").count();
        scheduler.cancel(ticket, ms(1));
    }

    // Each of equal ones would be among the two 200 times.
    expect_that!(drawn_slow, lt(150));
}

/// Positions of engines with these loads and slownesses in the order in which they are asked.
fn order(engines: &[(Option<EngineLoad>, f64)]) -> Vec<usize> {
    let candidate = |(at, (load, slowness)): (usize, &(Option<EngineLoad>, f64))| {
        let endpoint = at.to_string().into();
        (SampledEndpoint { endpoint, slowness: *slowness }, *load)
    };
    let mut candidates: Vec<Candidate> = engines.iter().enumerate().map(candidate).collect();
    sort_by_cost(&mut candidates, 3_000);
    candidates.iter().map(|(drawn, _)| drawn.endpoint.parse().unwrap()).collect()
}

#[gtest]
fn an_engine_with_less_to_read_and_more_memory_is_asked_first() {
    let by_reading = order(&[(load(6_000, 10_000), 1.0), (load(0, 10_000), 1.0)]);
    let by_memory = order(&[(load(0, 25_000), 1.0), (load(0, 5_000), 1.0)]);
    let by_speed = order(&[(load(3_000, 9_000), 1.5), (load(3_500, 9_000), 1.0)]);

    expect_that!(by_reading, eq(&vec![1, 0]));
    expect_that!(by_memory, eq(&vec![1, 0]));
    expect_that!(by_speed, eq(&vec![1, 0]));
}

#[gtest]
fn a_full_engine_is_asked_last_and_one_that_tells_nothing_before_it() {
    let full = (load(0, MEMORY - 1_000), 1.0);

    let order = order(&[full, (None, 1.0), (load(9_000, 9_000), 1.0)]);

    expect_that!(order, elements_are![eq(&2), eq(&1), eq(&0)]);
}

#[gtest]
fn a_place_is_asked_for_where_memory_may_be_short() {
    let needs_reservation = |used| load(0, used).unwrap().needs_reservation(3_000);

    expect_that!((needs_reservation(10_000), needs_reservation(25_000)), eq((false, true)));
}

#[gtest]
fn the_leader_knows_which_engines_are_slow() {
    let mut scheduler = scheduler(&["h", "h", "h"], MEMORY);
    for round in 0..6 {
        for (engine, read_ms) in [400, 400, 600].into_iter().enumerate() {
            let (number, begun) = (round * 10 + engine as u64, round * 1_000);
            let req = request(number, 3_000, 1_100);
            scheduler.place(req.clone(), &format!("e{engine}").into(), ms(begun));
            scheduler.finish(req.ticket, 8, true, ms(begun + read_ms));
        }
    }

    let slow = scheduler.slow_endpoints();

    let [(name, slowness)] = &slow[..] else { panic!("{slow:?}") };
    expect_that!(&**name, eq("e2"));
    expect_that!(*slowness, near(1.5, 0.05));
}
