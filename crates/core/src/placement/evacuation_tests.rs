//! Evacuation of endpoints that are leaving.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use googletest::prelude::*;
use proptest::prelude::*;

use super::{
    Action, Relocation, Scheduler, Ticket,
    fixture::{ms, request, scheduler, set_version},
};
use crate::testing::fixed_seed;

/// A scheduler with one generation per prompt length running on `e0`.
fn with_generations(halls: &[&str], prompts: &[u64]) -> Scheduler {
    let mut scheduler = scheduler(halls, 34_000);
    for (number, prompt) in prompts.iter().enumerate() {
        scheduler.adopt(request(number as u64, *prompt, 2_000), "e0", 8, ms(1));
    }
    scheduler
}

#[gtest]
fn no_moves_without_leaving_endpoints() {
    let mut scheduler = with_generations(&["a", "a"], &[3_000, 2_000]);

    expect_that!(scheduler.plan_relocations(ms(2)), len(eq(0)));
}

#[gtest]
fn one_move_at_a_time_smallest_copy_first() {
    let mut scheduler = with_generations(&["a", "a", "a"], &[3_000, 5_000, 1_000]);
    scheduler.endpoint_leaving("e0", true);

    let first = scheduler.plan_relocations(ms(2));
    let meanwhile = scheduler.plan_relocations(ms(3));
    scheduler.on_relocated(first[0].ticket, &first[0].to, true, ms(200));
    let second = scheduler.plan_relocations(ms(200));

    expect_that!(first.len(), eq(1));
    expect_that!(first[0].ticket.number, eq(2));
    expect_that!(meanwhile, len(eq(0)));
    expect_that!(second[0].ticket.number, eq(0));
}

#[gtest]
fn longer_response_moves_first_among_equal_copies() {
    let mut scheduler = scheduler(&["a", "a"], 34_000);
    scheduler.adopt(request(1, 2_900, 2_000), "e0", 100, ms(1));
    scheduler.adopt(request(2, 2_200, 2_000), "e0", 800, ms(1));
    scheduler.endpoint_leaving("e0", true);

    let first = scheduler.plan_relocations(ms(2));

    expect_that!(first[0].ticket.number, eq(2));
}

#[gtest]
fn generation_likely_to_end_in_time_moves_last() {
    let mut scheduler = scheduler(&["a", "a"], 34_000);
    for number in 10..60 {
        scheduler.adopt(request(number, 100, 2_000), "e1", 8, ms(1));
        scheduler.finish(Ticket { entry: 1, number }, 400, true, ms(1));
    }
    scheduler.adopt(request(1, 1_000, 2_000), "e0", 390, ms(1));
    scheduler.adopt(request(2, 3_000, 2_000), "e0", 50, ms(1));
    scheduler.endpoint_leaving("e0", true);

    let first = scheduler.plan_relocations(ms(2));

    expect_that!(first[0].ticket.number, eq(2));
}

#[gtest]
fn evacuation_never_joins_two_software_versions() {
    let mut scheduler = with_generations(&["a", "a", "b"], &[3_000]);
    set_version(&mut scheduler, "e1", "v2");
    scheduler.endpoint_leaving("e0", true);

    let to_same_version = scheduler.plan_relocations(ms(2));
    scheduler.on_relocated(to_same_version[0].ticket, "e0", false, ms(100));
    scheduler.endpoint_leaving("e2", true);
    let to_none = scheduler.plan_relocations(ms(300));

    expect_that!(&*to_same_version[0].to, eq("e2"));
    expect_that!(to_none, len(eq(0)));
}

/// The first report allows the next move while the generation restarts; a later failure must still
/// be handled.
#[gtest]
fn move_reported_failed_after_success_is_retried() {
    let mut scheduler = with_generations(&["a", "a"], &[3_000]);
    scheduler.endpoint_leaving("e0", true);
    let first = scheduler.plan_relocations(ms(2));
    scheduler.on_relocated(first[0].ticket, &first[0].to, true, ms(200));

    scheduler.on_relocated(first[0].ticket, "e0", false, ms(220));
    let later = scheduler.plan_relocations(ms(500));

    expect_that!(later.len(), eq(1));
    expect_that!(later[0].ticket, eq(first[0].ticket));
}

#[gtest]
fn failed_move_is_retried_after_a_delay() {
    let mut scheduler = with_generations(&["a", "a"], &[3_000]);
    scheduler.endpoint_leaving("e0", true);

    let first = scheduler.plan_relocations(ms(2));
    scheduler.on_relocated(first[0].ticket, "e0", false, ms(5));
    let at_once = scheduler.plan_relocations(ms(6));
    let later = scheduler.plan_relocations(ms(500));

    expect_that!(at_once, len(eq(0)));
    expect_that!(later.len(), eq(1));
}

#[gtest]
fn refused_generation_goes_to_another_endpoint() {
    let mut scheduler = with_generations(&["a", "a", "a"], &[3_000]);
    scheduler.endpoint_leaving("e0", true);

    let first = scheduler.plan_relocations(ms(2));
    scheduler.on_relocated(first[0].ticket, "e0", false, ms(5));
    let second = scheduler.plan_relocations(ms(500));
    scheduler.on_relocated(second[0].ticket, "e0", false, ms(505));
    let third = scheduler.plan_relocations(ms(1_000));

    expect_that!(second[0].to, not(eq(&first[0].to)));
    expect_that!(third.len(), eq(1));
}

#[gtest]
fn unanswered_move_times_out() {
    let mut scheduler = with_generations(&["a", "a"], &[3_000, 2_000]);
    scheduler.endpoint_leaving("e0", true);
    scheduler.plan_relocations(ms(2));

    let later = scheduler.plan_relocations(ms(5_000));

    expect_that!(later.len(), eq(1));
}

#[gtest]
fn nearly_complete_generation_stays() {
    let mut scheduler = scheduler(&["a", "a"], 34_000);
    scheduler.adopt(request(1, 3_000, 100), "e0", 90, ms(1));
    scheduler.endpoint_leaving("e0", true);

    expect_that!(scheduler.plan_relocations(ms(2)), len(eq(0)));
}

#[gtest]
fn destination_in_the_same_hall_is_preferred() {
    let mut scheduler = with_generations(&["a", "b", "a"], &[3_000]);
    scheduler.endpoint_leaving("e0", true);

    let moves = scheduler.plan_relocations(ms(2));

    expect_that!(&*moves[0].to, eq("e2"));
}

#[gtest]
fn no_move_to_a_leaving_endpoint() {
    let mut scheduler = with_generations(&["a", "a"], &[3_000]);
    scheduler.endpoint_leaving("e0", true);
    scheduler.endpoint_leaving("e1", true);

    expect_that!(scheduler.plan_relocations(ms(2)), len(eq(0)));
}

proptest! {
    #![proptest_config(fixed_seed(300))]

    /// Under random input, each endpoint takes part in one move at a time, no move targets a leaving
    /// endpoint, and each request is accounted for once.
    #[test]
    fn concurrent_moves_stay_within_limits(
        steps in proptest::collection::vec((0u8..6, 0u64..8, any::<bool>()), 1..120),
    ) {
        let mut scheduler = scheduler(&["a", "a", "b", "b"], 34_000);
        let mut at: BTreeMap<Ticket, Arc<str>> = BTreeMap::new();
        let mut moving: BTreeMap<Ticket, Relocation> = BTreeMap::new();
        let mut leaving: BTreeSet<String> = BTreeSet::new();
        let (mut now, mut number) = (1_000, 0);
        for (step, pick, flag) in steps {
            now += 10;
            match step {
                0 | 1 => {
                    number += 1;
                    let req = request(number, 500 + pick * 700, 1_000);
                    let _ = scheduler.enqueue(req, ms(now));
                }
                2 => {
                    let name = format!("e{}", pick % 4);
                    scheduler.endpoint_leaving(&name, flag);
                    if flag { leaving.insert(name); } else { leaving.remove(&name); }
                }
                3 => {
                    let ticket = at.keys().nth(pick as usize % at.len().max(1)).copied();
                    if let Some(ticket) = ticket {
                        scheduler.finish(ticket, 500, flag, ms(now));
                        at.remove(&ticket);
                        moving.remove(&ticket);
                    }
                }
                _ => {
                    if let Some((ticket, relocation)) = moving.pop_first() {
                        let end = if flag { &relocation.to } else { &relocation.from };
                        scheduler.on_relocated(ticket, end, flag, ms(now));
                        at.insert(ticket, end.clone());
                    }
                }
            }
            for action in scheduler.decide(ms(now)) {
                if let Action::Start { ticket, endpoint, .. } = action {
                    prop_assert!(!leaving.contains(&*endpoint));
                    at.insert(ticket, endpoint);
                }
            }
            for relocation in scheduler.plan_relocations(ms(now)) {
                prop_assert!(leaving.contains(&*relocation.from));
                prop_assert!(!leaving.contains(&*relocation.to));
                prop_assert_eq!(at.get(&relocation.ticket), Some(&relocation.from));
                let used: Vec<&Arc<str>> =
                    moving.values().flat_map(|m| [&m.from, &m.to]).collect();
                prop_assert!(!used.contains(&&relocation.from));
                prop_assert!(!used.contains(&&relocation.to));
                moving.insert(relocation.ticket, relocation);
            }
            prop_assert_eq!(scheduler.running(), at.len());
            let granted: u64 = scheduler.endpoints().values().map(|e| e.running()).sum();
            prop_assert_eq!(granted, at.len() as u64);
        }
    }
}
