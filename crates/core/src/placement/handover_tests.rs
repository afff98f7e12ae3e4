//! Hand-over of generations after prefill.

use std::{collections::BTreeSet, time::Duration};

use googletest::prelude::*;
use proptest::prelude::*;

use super::{
    Action, Relocation, Request, Scheduler, Ticket,
    fixture::{ms, request, scheduler, set_version},
};
use crate::testing::fixed_seed;

/// A chat with a long expected response and a relaxed TTFT target.
fn chat(number: u64) -> Request {
    let ttft_target = Duration::from_secs(60);
    Request { ttft_target, ..request(number, 3_000, 2_000) }
}

/// A scheduler in which `e0` has many prompts to prefill and runs chat 1; the other engines are idle.
fn prefill_heavy_first(halls: &[&str]) -> Scheduler {
    let mut scheduler = scheduler(halls, 200_000);
    for number in 10..200 {
        scheduler.adopt(chat(number), "e0", 1, ms(1));
        scheduler.finish(Ticket { entry: 1, number }, 900, true, ms(1));
    }
    for number in 1..halls.len() {
        let name = format!("e{number}");
        scheduler.endpoint_leaving(&name, true);
    }
    for number in 200..206 {
        let ttft_target = chat(number).ttft_target;
        let req = Request { kind: "short".into(), ttft_target, ..request(number, 2_500, 12) };
        scheduler.enqueue(req, ms(number * 2)).unwrap();
        scheduler.decide(ms(number * 2));
    }
    scheduler.enqueue(chat(1), ms(450)).unwrap();
    scheduler.decide(ms(450));
    for number in 1..halls.len() {
        let name = format!("e{number}");
        scheduler.endpoint_leaving(&name, false);
    }
    scheduler
}

const CHAT: Ticket = Ticket { entry: 1, number: 1 };

#[gtest]
fn handover_never_joins_two_software_versions() {
    let mut scheduler = prefill_heavy_first(&["h", "h"]);
    set_version(&mut scheduler, "e1", "v2");
    scheduler.progress(CHAT, 4, ms(1_000));

    expect_that!(scheduler.plan_relocations(ms(1_001)), len(eq(0)));
}

#[gtest]
fn chat_is_handed_over_after_first_token() {
    let mut scheduler = prefill_heavy_first(&["h", "h"]);
    let before = scheduler.plan_relocations(ms(900));
    scheduler.progress(CHAT, 4, ms(1_000));

    let after = scheduler.plan_relocations(ms(1_001));

    expect_that!(before, len(eq(0)));
    expect_that!(after.len(), eq(1));
    expect_that!((after[0].ticket, &*after[0].to), eq((CHAT, "e1")));
}

#[gtest]
fn short_response_is_not_handed_over() {
    let mut scheduler = prefill_heavy_first(&["h", "h"]);
    scheduler.progress(Ticket { entry: 1, number: 200 }, 4, ms(1_000));

    expect_that!(scheduler.plan_relocations(ms(1_001)), len(eq(0)));
}

#[gtest]
fn no_handover_to_another_hall() {
    let mut scheduler = prefill_heavy_first(&["h", "far"]);
    scheduler.progress(CHAT, 4, ms(1_000));

    expect_that!(scheduler.plan_relocations(ms(1_001)), len(eq(0)));
}

#[gtest]
fn adopted_chat_is_not_handed_over() {
    let mut scheduler = scheduler(&["h", "h"], 200_000);
    scheduler.adopt(chat(1), "e0", 100, ms(1));

    expect_that!(scheduler.plan_relocations(ms(2)), len(eq(0)));
}

#[gtest]
fn evacuation_precedes_handover() {
    let mut scheduler = prefill_heavy_first(&["h", "h", "h"]);
    scheduler.adopt(chat(2), "e2", 50, ms(900));
    scheduler.endpoint_leaving("e2", true);
    scheduler.progress(CHAT, 4, ms(1_000));

    let moves = scheduler.plan_relocations(ms(1_001));

    expect_that!(&*moves[0].from, eq("e2"));
    expect_that!(moves.iter().filter(|m| m.to == moves[0].to).count(), eq(1));
}

#[gtest]
fn handover_is_dropped_while_links_stay_busy() {
    let mut scheduler = prefill_heavy_first(&["h", "h", "h"]);
    scheduler.adopt(chat(2), "e2", 50, ms(900));
    scheduler.endpoint_leaving("e2", true);
    scheduler.plan_relocations(ms(999));
    scheduler.progress(CHAT, 4, ms(1_000));

    let meanwhile = scheduler.plan_relocations(ms(1_001));
    let given_up = scheduler.plan_relocations(ms(1_450));
    scheduler.on_relocated(Ticket { entry: 1, number: 2 }, "e1", true, ms(1_460));
    let later = scheduler.plan_relocations(ms(1_470));

    expect_that!(meanwhile, len(eq(0)));
    expect_that!(given_up, len(eq(0)));
    expect_that!(later, len(eq(0)));
}

proptest! {
    #![proptest_config(fixed_seed(200))]

    /// Under random input, each endpoint takes part in one move at a time, no move targets a leaving
    /// endpoint, and each request is accounted for once.
    #[test]
    fn handovers_stay_within_move_limits(
        steps in proptest::collection::vec((0u8..6, 0u64..8, any::<bool>()), 1..150),
    ) {
        let mut scheduler = scheduler(&["a", "a", "a", "b"], 34_000);
        let mut running: BTreeSet<Ticket> = BTreeSet::new();
        let mut moving: Vec<Relocation> = Vec::new();
        let mut leaving: BTreeSet<String> = BTreeSet::new();
        for (n, (step, pick, flag)) in steps.into_iter().enumerate() {
            let now = ms(1_000 + 30 * n as u64);
            match step {
                0 | 1 => {
                    let most = if flag { 12 } else { 2_000 };
                    let _ = scheduler.enqueue(request(n as u64, 1_000 + pick * 300, most), now);
                }
                2 => {
                    let name = format!("e{}", pick % 4);
                    scheduler.endpoint_leaving(&name, flag);
                    if flag { leaving.insert(name); } else { leaving.remove(&name); }
                }
                3 => {
                    if let Some(ticket) = running.iter().nth(pick as usize).copied() {
                        scheduler.finish(ticket, 500, flag, now);
                        running.remove(&ticket);
                        moving.retain(|m| m.ticket != ticket);
                    }
                }
                4 => {
                    if let Some(ticket) = running.iter().nth(pick as usize).copied() {
                        scheduler.progress(ticket, 4 + n as u64, now);
                    }
                }
                _ => {
                    if let Some(Relocation { ticket, from, to }) = moving.pop() {
                        scheduler.on_relocated(ticket, if flag { &to } else { &from }, flag, now);
                    }
                }
            }
            for action in scheduler.decide(now) {
                match action {
                    Action::Start { ticket, .. } => { running.insert(ticket); }
                    Action::GiveUp { .. } => {}
                }
            }
            for relocation in scheduler.plan_relocations(now) {
                prop_assert!(!leaving.contains(&*relocation.to));
                let used: Vec<_> = moving.iter().flat_map(|m| [&m.from, &m.to]).collect();
                prop_assert!(!used.contains(&&relocation.from));
                prop_assert!(!used.contains(&&relocation.to));
                prop_assert!(moving.iter().all(|m| m.ticket != relocation.ticket));
                moving.push(relocation);
            }
            prop_assert_eq!(scheduler.running(), running.len());
            let granted: u64 = scheduler.endpoints().values().map(|e| e.running()).sum();
            prop_assert_eq!(granted, running.len() as u64);
        }
    }
}
