//! Properties of delivery under lost, repeated, crossed and reordered frames.

use googletest::prelude::*;
use proptest::prelude::*;

use super::*;

const LIMITS: Limits = Limits { max_starts: 3, max_resumes: 2 };

fn generation(n: u32) -> GenerationId {
    GenerationId(format!("g{n}"))
}

fn token(g: u32, position: u64) -> Frame {
    Frame::Token { generation: generation(g), position, text: format!("g{g}-{position}") }
}

fn finished(g: u32, count: u64) -> Frame {
    Frame::Finished { generation: generation(g), count, reason: "stop".into() }
}

#[gtest]
fn a_finish_with_a_missing_token_is_no_clean_end() {
    let mut delivery = Delivery::new(LIMITS);
    let attempt = delivery.start();
    delivery.on_frame(attempt, token(1, 1));

    let verdict = delivery.on_frame(attempt, finished(1, 2));

    expect_that!(verdict, eq(&Verdict::Broken));
    expect_that!(delivery.ended(), eq(false));
}

#[gtest]
fn after_a_token_only_the_same_generation_goes_on() {
    let mut delivery = Delivery::new(LIMITS);
    let attempt = delivery.start();
    delivery.on_frame(attempt, token(1, 1));

    expect_that!(
        delivery.on_lost(true),
        eq(&NextStep::Resume { generation: generation(1), after: 1 })
    );
    expect_that!(delivery.on_lost(false), eq(&NextStep::GiveUp(ErrorKind::GenerationLost)));
}

#[gtest]
fn before_the_first_token_a_lost_generation_runs_afresh_a_bounded_number_of_times() {
    let mut delivery = Delivery::new(LIMITS);
    for _ in 0..LIMITS.max_starts - 1 {
        delivery.start();
        assert_that!(delivery.on_lost(false), eq(&NextStep::RunAfresh));
    }
    delivery.start();

    expect_that!(delivery.on_lost(false), eq(&NextStep::GiveUp(ErrorKind::OutcomeUnknown)));
}

#[derive(Debug, Clone)]
enum Event {
    Frame { attempt: u32, frame: Frame },
    Lost { generation_lives: bool },
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let frame = prop_oneof![
        8 => (0..2u32, 1..6u64).prop_map(|(g, p)| token(g, p)),
        1 => (0..2u32, 0..6u64).prop_map(|(g, n)| finished(g, n)),
    ];
    let event = prop_oneof![
        8 => (0..5u32, frame).prop_map(|(attempt, frame)| Event::Frame { attempt, frame }),
        1 => any::<bool>().prop_map(|generation_lives| Event::Lost { generation_lives }),
    ];
    proptest::collection::vec(event, 0..60)
}

proptest! {
    #![proptest_config(crate::testing::fixed_seed(2000))]

    #[test]
    fn tokens_come_once_in_order_from_one_generation(events in events()) {
        let mut delivery = Delivery::new(LIMITS);
        let mut shown: Vec<String> = Vec::new();
        delivery.start();
        for event in events {
            match event {
                Event::Frame { attempt, frame } => {
                    let count = match &frame {
                        Frame::Finished { count, .. } => Some(*count),
                        Frame::Token { .. } => None,
                    };
                    match delivery.on_frame(AttemptId(attempt), frame) {
                        Verdict::Deliver(text) => shown.push(text),
                        Verdict::Finish { .. } => prop_assert_eq!(count, Some(shown.len() as u64)),
                        Verdict::Drop(_) | Verdict::Broken => {}
                    }
                }
                Event::Lost { generation_lives } => match delivery.on_lost(generation_lives) {
                    NextStep::RunAfresh => {
                        prop_assert!(shown.is_empty());
                        delivery.start();
                    }
                    NextStep::Resume { after, .. } => {
                        prop_assert_eq!(after, shown.len() as u64);
                        delivery.resume();
                    }
                    NextStep::GiveUp(_) => break,
                },
            }
        }
        let mut prefixes = shown.iter().map(|t| t.split_once('-').unwrap().0);
        let first = prefixes.next();
        prop_assert!(prefixes.all(|p| Some(p) == first));
        for (i, text) in shown.iter().enumerate() {
            let position = format!("-{}", i + 1);
            prop_assert!(text.ends_with(&position));
        }
    }
}
