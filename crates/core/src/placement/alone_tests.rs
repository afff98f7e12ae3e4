//! Tests of the choice without a scheduler.

use std::collections::BTreeMap;

use googletest::prelude::*;

use super::{
    Action, EngineLoad, Scheduler,
    fixture::{engines, ms, request},
    order,
};
use crate::mechanism::Disabled;

/// Entries and engines of the users' largest deployment.
const DAEMONS: u64 = 295;
const ENGINES: usize = 122;
/// Memory of one of its engines, in tokens.
const MEMORY: u64 = 33_640;

fn load(unread_tokens: u64, kv_used: u64) -> Option<EngineLoad> {
    Some(EngineLoad { running: 3, waiting: 0, unread_tokens, kv_used, kv_tokens: MEMORY })
}

/// The engines that daemons which know nothing of each other choose for one prompt each.
fn choices_of_all() -> BTreeMap<String, u64> {
    let halls = vec!["h"; ENGINES];
    let mut chosen = BTreeMap::new();
    for daemon in 0..DAEMONS {
        let mut scheduler = Scheduler::alone(Disabled::default(), daemon);
        scheduler.configure(&engines(&halls, MEMORY));
        scheduler.arrive(request(daemon, 3_000, 1_100), ms(1)).unwrap();
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
    let mut scheduler = Scheduler::alone(Disabled::default(), 7);
    scheduler.configure(&engines(&["h", "h"], MEMORY));
    let req = request(1, 3_000, 1_100);
    let ticket = req.ticket;
    scheduler.arrive(req, ms(1)).unwrap();
    let actions = scheduler.decide(ms(1));
    let [Action::Start { endpoint, .. }] = &actions[..] else { panic!("{actions:?}") };

    let other = scheduler.another_for(ticket, ms(1));

    expect_that!(other, some(not(eq(endpoint))));
}

#[gtest]
fn an_engine_with_less_to_read_and_more_memory_is_asked_first() {
    let by_reading = order(&[load(6_000, 10_000), load(0, 10_000)], 3_000);
    let by_memory = order(&[load(0, 25_000), load(0, 5_000)], 3_000);

    expect_that!(by_reading, eq(&vec![1, 0]));
    expect_that!(by_memory, eq(&vec![1, 0]));
}

#[gtest]
fn a_full_engine_is_asked_last_and_one_that_tells_nothing_before_it() {
    let full = load(0, MEMORY - 1_000);

    let order = order(&[full, None, load(9_000, 9_000)], 3_000);

    expect_that!(order, elements_are![eq(&2), eq(&1), eq(&0)]);
}
