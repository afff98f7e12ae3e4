//! Properties of the planner that moves generations off endpoints that are leaving.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use googletest::prelude::*;
use proptest::prelude::*;

use super::{
    Action, Relocation, Scheduler, Ticket,
    fixture::{ms, request, scheduler},
};
use crate::testing::fixed_seed;

/// A scheduler with generations that run at the first endpoint, of these sizes.
fn with_runs(halls: &[&str], prompts: &[u64]) -> Scheduler {
    let mut scheduler = scheduler(halls, 34_000);
    for (number, prompt) in prompts.iter().enumerate() {
        scheduler.adopt(request(number as u64, *prompt, 2_000), "e0", 8, ms(1));
    }
    scheduler
}

#[gtest]
fn nothing_moves_while_nobody_leaves() {
    let mut scheduler = with_runs(&["a", "a"], &[3_000, 2_000]);

    expect_that!(scheduler.plan_relocations(ms(2)), len(eq(0)));
}

#[gtest]
fn one_moves_at_a_time_and_the_cheapest_copy_first() {
    let mut scheduler = with_runs(&["a", "a", "a"], &[3_000, 5_000, 1_000]);
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
fn of_equal_copies_the_longer_answer_moves_first() {
    let mut scheduler = scheduler(&["a", "a"], 34_000);
    scheduler.adopt(request(1, 2_900, 2_000), "e0", 100, ms(1));
    scheduler.adopt(request(2, 2_200, 2_000), "e0", 800, ms(1));
    scheduler.endpoint_leaving("e0", true);

    let first = scheduler.plan_relocations(ms(2));

    expect_that!(first[0].ticket.number, eq(2));
}

#[gtest]
fn one_that_likely_ends_before_its_endpoint_moves_last() {
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

/// While one generation starts again after its move, the next may use the links.
#[gtest]
fn a_move_that_ends_at_its_source_after_all_is_tried_again() {
    let mut scheduler = with_runs(&["a", "a"], &[3_000]);
    scheduler.endpoint_leaving("e0", true);
    let first = scheduler.plan_relocations(ms(2));
    scheduler.on_relocated(first[0].ticket, &first[0].to, true, ms(200));

    scheduler.on_relocated(first[0].ticket, "e0", false, ms(220));
    let later = scheduler.plan_relocations(ms(500));

    expect_that!(later.len(), eq(1));
    expect_that!(later[0].ticket, eq(first[0].ticket));
}

#[gtest]
fn a_move_that_failed_is_tried_again_after_a_pause() {
    let mut scheduler = with_runs(&["a", "a"], &[3_000]);
    scheduler.endpoint_leaving("e0", true);

    let first = scheduler.plan_relocations(ms(2));
    scheduler.on_relocated(first[0].ticket, "e0", false, ms(5));
    let at_once = scheduler.plan_relocations(ms(6));
    let later = scheduler.plan_relocations(ms(500));

    expect_that!(at_once, len(eq(0)));
    expect_that!(later.len(), eq(1));
}

#[gtest]
fn a_generation_that_one_endpoint_refused_goes_to_another() {
    let mut scheduler = with_runs(&["a", "a", "a"], &[3_000]);
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
fn a_move_that_is_never_answered_does_not_block_the_others() {
    let mut scheduler = with_runs(&["a", "a"], &[3_000, 2_000]);
    scheduler.endpoint_leaving("e0", true);
    scheduler.plan_relocations(ms(2));

    let later = scheduler.plan_relocations(ms(5_000));

    expect_that!(later.len(), eq(1));
}

#[gtest]
fn a_generation_that_is_nearly_done_stays() {
    let mut scheduler = scheduler(&["a", "a"], 34_000);
    scheduler.adopt(request(1, 3_000, 100), "e0", 90, ms(1));
    scheduler.endpoint_leaving("e0", true);

    expect_that!(scheduler.plan_relocations(ms(2)), len(eq(0)));
}

#[gtest]
fn a_place_nearby_is_taken_while_it_has_room() {
    let mut scheduler = with_runs(&["a", "b", "a"], &[3_000]);
    scheduler.endpoint_leaving("e0", true);

    let moves = scheduler.plan_relocations(ms(2));

    expect_that!(&*moves[0].to, eq("e2"));
}

#[gtest]
fn nothing_is_moved_to_an_endpoint_that_leaves_too() {
    let mut scheduler = with_runs(&["a", "a"], &[3_000]);
    scheduler.endpoint_leaving("e0", true);
    scheduler.endpoint_leaving("e1", true);

    expect_that!(scheduler.plan_relocations(ms(2)), len(eq(0)));
}

proptest! {
    #![proptest_config(fixed_seed(300))]

    /// Whatever happens, an endpoint sends one copy and receives one at a time, nothing goes
    /// to an endpoint that leaves, and all that is placed is accounted for once.
    #[test]
    fn moves_keep_their_bounds(
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
