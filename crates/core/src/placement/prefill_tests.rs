//! Placement by prefill load, and estimates of prefill speed.

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;

use super::{
    Action, Request, Scheduler, Ticket,
    fixture::{ms, request, scheduler},
    prefill::{PrefillQueue, prefill_time},
};
use crate::{testing::fixed_seed, units::Instant};

/// A long prompt with a short response.
fn short(number: u64) -> Request {
    let ttft_target = Duration::from_secs(60);
    Request { kind: "short".into(), ttft_target, ..request(number, 2_500, 12) }
}

/// Finishes a request at the expected end of its prefill.
fn finish_after_prefill(scheduler: &mut Scheduler, req: &Request, now: Instant) {
    scheduler.finish(req.ticket, 12, true, now.after(prefill_time(req.prompt_tokens)));
}

/// A scheduler with known output lengths and this many chats running on each engine.
fn running(chats: &[u64]) -> Scheduler {
    let mut scheduler = scheduler(&vec!["h"; chats.len()], 200_000);
    for number in 1_000..1_100 {
        scheduler.adopt(request(number, 10, 2_000), "e0", 1, ms(1));
        scheduler.finish(Ticket { entry: 1, number }, 900, true, ms(1));
    }
    let mut number = 0;
    for (engine, count) in chats.iter().enumerate() {
        for _ in 0..*count {
            number += 1;
            scheduler.adopt(request(number, 3_000, 2_000), &format!("e{engine}"), 8, ms(1));
        }
    }
    scheduler
}

/// Enqueues a request and returns the endpoint on which it starts.
fn placed(scheduler: &mut Scheduler, req: Request, now: Instant) -> String {
    scheduler.enqueue(req, now).unwrap();
    match &scheduler.decide(now)[..] {
        [Action::Start { endpoint, .. }] => endpoint.to_string(),
        other => panic!("one start was expected: {other:?}"),
    }
}

#[gtest]
fn short_response_goes_where_it_delays_fewest() {
    let mut scheduler = running(&[4, 1, 4]);

    expect_that!(placed(&mut scheduler, short(100), ms(10)), eq("e1"));
}

#[gtest]
fn short_responses_cluster_and_chats_avoid_them() {
    let mut scheduler = running(&[3, 3, 0]);

    let mut at = Vec::new();
    for n in 100..110 {
        at.push(placed(&mut scheduler, short(n), ms(n * 400)));
        if n < 109 {
            finish_after_prefill(&mut scheduler, &short(n), ms(n * 400));
        }
    }
    let chat = placed(&mut scheduler, request(200, 3_000, 2_000), ms(109 * 400 + 10));

    expect_that!(at.iter().filter(|at| *at == "e2").count(), ge(8));
    expect_that!(chat, not(eq("e2")));
}

#[gtest]
fn ttft_target_outweighs_delay_of_others() {
    let mut scheduler = running(&[4, 0]);
    for number in 100..104 {
        placed(&mut scheduler, short(number), ms(10));
    }
    let hurried = Request { ttft_target: Duration::from_millis(800), ..short(200) };

    expect_that!(placed(&mut scheduler, hurried, ms(11)), eq("e0"));
}

#[gtest]
fn overdue_prefill_keeps_new_prompts_away() {
    let mut scheduler = running(&[0, 3]);
    for number in 100..106 {
        scheduler.adopt(short(number), "e0", 0, ms(10));
    }

    // Six prompts with an estimated prefill time of 0.36 s each.
    let at = placed(&mut scheduler, short(200), ms(2_500));

    expect_that!(at, eq("e1"));
}

#[gtest]
fn prefill_speed_follows_first_token_intervals() {
    let mut prefill = PrefillQueue::default();
    let ticket = |number| Ticket { entry: 1, number };
    for number in 0..8 {
        prefill.push(ticket(number), 3_500, ms(0));
    }
    for number in 0..8 {
        prefill.on_first_token(ticket(number), ms((number + 1) * 1_000));
    }

    expect_that!(prefill.remaining_time(ms(8_000)), eq(Duration::ZERO));
    let seconds = prefill.time_for(7_000).as_secs_f64();
    expect_that!(seconds, near(2.0, 0.05));
}

#[gtest]
fn prefill_order_does_not_affect_speed() {
    let mut prefill = PrefillQueue::default();
    let ticket = |number| Ticket { entry: 1, number };
    prefill.push(ticket(1), 3_500, ms(0));
    prefill.push(ticket(2), 3_500, ms(0));

    prefill.on_first_token(ticket(2), ms(500));
    prefill.on_first_token(ticket(1), ms(1_000));

    let seconds = prefill.time_for(7_000).as_secs_f64();
    expect_that!(seconds, near(1.0, 0.05));
}

proptest! {
    #![proptest_config(fixed_seed(200))]

    /// Prefill utilization follows the rate of prompt tokens and decays without new prompts.
    #[test]
    fn utilization_follows_prompt_token_rate(
        tokens in 100u64..5_000,
        gap_ms in 50u64..1_000,
    ) {
        let mut prefill = PrefillQueue::default();
        let mut now = 0;
        for _ in 0..(20_000 / gap_ms).max(20) {
            now += gap_ms;
            prefill.push(Ticket { entry: 1, number: now }, tokens, ms(now));
        }

        let utilization = prefill.utilization(ms(now + gap_ms / 2));
        let expected = tokens as f64 / 14.0 / gap_ms as f64;

        prop_assert!((utilization / expected - 1.0).abs() < 0.3, "{utilization} for {expected}");
        prop_assert!(prefill.utilization(ms(now + 20_000)) < expected * 0.01);
        prop_assert!(prefill_time(tokens) <= prefill.remaining_time(ms(now)));
    }
}

#[gtest]
fn completion_probability_follows_recorded_lengths() {
    let mut scheduler = scheduler(&["h"], 200_000);
    for number in 0..200 {
        scheduler.adopt(request(number, 10, 2_000), "e0", 1, ms(1));
        scheduler.finish(Ticket { entry: 1, number }, 100 + number * 5, true, ms(1));
    }
    let probability = |seconds| {
        scheduler.completion_probability(
            &request(1_000, 700, 2_000),
            Duration::from_secs(seconds),
            ms(2),
        )
    };

    expect_that!(probability(1), lt(0.1));
    expect_that!(probability(5), all![gt(0.4), lt(0.7)]);
    expect_that!(probability(15), gt(0.9));
}
