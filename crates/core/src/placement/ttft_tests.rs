//! Requests stay queued until an endpoint can meet their TTFT target.

use std::{collections::VecDeque, time::Duration};

use googletest::prelude::*;
use proptest::prelude::*;

use super::{
    Action, Request, Scheduler, Ticket,
    fixture::{ms, request, scheduler},
    prefill::prefill_time,
};
use crate::{testing::fixed_seed, units::Instant};

/// TTFT target of all requests.
const TTFT_TARGET: Duration = Duration::from_secs(1);

/// A request with a prefill time of `ms`.
fn prefill_request(number: u64, ms: u64) -> Request {
    let prompt_tokens = ms * 7;
    let max_wait = TTFT_TARGET.saturating_sub(prefill_time(prompt_tokens));
    Request { max_wait, ttft_target: TTFT_TARGET, ..request(number, prompt_tokens, 100) }
}

fn starts(scheduler: &mut Scheduler, now: Instant) -> Vec<(u64, String)> {
    let start = |action| match action {
        Action::Start { ticket, endpoint, .. } => Some((ticket.number, endpoint.to_string())),
        Action::GiveUp { .. } => None,
    };
    scheduler.decide(now).into_iter().filter_map(start).collect()
}

/// A scheduler with this many pending prompts of 300 ms on each engine.
fn with_pending_prefill(prompts: &[u64]) -> Scheduler {
    let mut scheduler = scheduler(&vec!["h"; prompts.len()], 1_000_000);
    let mut number = 1_000;
    for (engine, count) in prompts.iter().enumerate() {
        for _ in 0..*count {
            number += 1;
            scheduler.adopt(prefill_request(number, 300), &format!("e{engine}"), 0, ms(0));
        }
    }
    scheduler
}

#[gtest]
fn request_waits_until_ttft_target_can_be_met() {
    let mut scheduler = with_pending_prefill(&[3, 4]);
    scheduler.enqueue(prefill_request(1, 200), ms(0)).unwrap();

    let at_once = starts(&mut scheduler, ms(0));
    scheduler.progress(Ticket { entry: 1, number: 1_001 }, 1, ms(150));
    let later = starts(&mut scheduler, ms(150));

    expect_that!(at_once, is_empty());
    expect_that!(later, eq(&vec![(1, "e0".to_owned())]));
}

#[gtest]
fn queueing_time_counts_against_ttft_target() {
    let mut scheduler = with_pending_prefill(&[4]);
    scheduler.enqueue(prefill_request(1, 200), ms(0)).unwrap();
    starts(&mut scheduler, ms(0));

    scheduler.progress(Ticket { entry: 1, number: 1_001 }, 1, ms(300));
    scheduler.progress(Ticket { entry: 1, number: 1_002 }, 1, ms(600));
    let of_waiting = starts(&mut scheduler, ms(610));
    scheduler.enqueue(Request { rank: 0, ..prefill_request(2, 200) }, ms(610)).unwrap();
    let of_new = starts(&mut scheduler, ms(611));

    expect_that!(of_waiting, is_empty());
    expect_that!(of_new, eq(&vec![(2, "e0".to_owned())]));
}

#[gtest]
fn unattainable_ttft_target_does_not_delay_start() {
    let mut scheduler = with_pending_prefill(&[2]);
    let max_wait = Duration::from_millis(500);
    scheduler.enqueue(Request { max_wait, ..prefill_request(1, 1_500) }, ms(0)).unwrap();

    expect_that!(starts(&mut scheduler, ms(0)), len(eq(1)));
}

#[gtest]
fn burst_is_admitted_up_to_slots() {
    let mut scheduler = scheduler(&["h"], 10_000_000);
    for number in 0..100 {
        scheduler.enqueue(request(number, 100, 100), ms(0)).unwrap();
    }

    let sent = starts(&mut scheduler, ms(0)).len();

    // Prefill of 100 tokens takes 14 ms; an engine has 48 slots.
    expect_that!(sent, eq(48));
    expect_that!(scheduler.waiting(), eq(52));
}

/// Simulates endpoints with sequential prefill. Returns the maximum time to first token in ms and
/// the number of responses.
fn max_ttft(endpoints: usize, gaps: &[(u64, u64)]) -> (u64, usize) {
    let mut scheduler = scheduler(&vec!["h"; endpoints], 10_000_000);
    let mut arrivals: VecDeque<(u64, u64)> = VecDeque::new();
    let mut at = 0;
    for (gap, size) in gaps {
        at += gap;
        arrivals.push_back((at, *size));
    }
    let mut pending: Vec<VecDeque<(u64, u64)>> = vec![VecDeque::new(); endpoints];
    let mut arrived = std::collections::HashMap::new();
    let (mut max_ttft_ms, mut responses, mut number) = (0, 0, 0);
    for now in 0..at + 3_000 {
        while arrivals.front().is_some_and(|(at, _)| *at <= now) {
            let (_, size) = arrivals.pop_front().unwrap();
            number += 1;
            arrived.insert(number, (now, size));
            let _ = scheduler.enqueue(prefill_request(number, size), ms(now));
        }
        for prompts in &mut pending {
            let Some((number, remaining_ms)) = prompts.front_mut() else { continue };
            *remaining_ms -= 1;
            if *remaining_ms == 0 {
                let ticket = Ticket { entry: 1, number: *number };
                scheduler.progress(ticket, 1, ms(now));
                scheduler.finish(ticket, 1, true, ms(now));
                max_ttft_ms = max_ttft_ms.max(now - arrived[number].0);
                responses += 1;
                prompts.pop_front();
            }
        }
        for (number, endpoint) in starts(&mut scheduler, ms(now)) {
            let at: usize = endpoint[1..].parse().unwrap();
            pending[at].push_back((number, arrived[&number].1));
        }
    }
    (max_ttft_ms, responses)
}

proptest! {
    #![proptest_config(fixed_seed(40))]

    /// Every response meets its TTFT target, even under overload.
    #[test]
    fn responses_meet_ttft_target_under_any_load(
        gaps in proptest::collection::vec((0u64..120, 20u64..400), 20..200),
        endpoints in 1usize..4,
    ) {
        let (max_ttft_ms, responses) = max_ttft(endpoints, &gaps);

        prop_assert!(max_ttft_ms <= TTFT_TARGET.as_millis() as u64 + 20, "{max_ttft_ms} ms");
        prop_assert!(0 < responses);
    }
}
