//! Tests of the engine model.

use googletest::prelude::*;
use proptest::{prelude::*, test_runner::RngSeed};

use super::*;

fn job(prompt: u64, length: u64, priority: u64) -> Job {
    Job { prompt, length, priority, prefix: prompt, prefix_tokens: 0 }
}

fn small(kv_tokens: u64) -> Engine {
    Engine::new(EngineSpec { slots: 4, kv_tokens, prefill_budget: 8, ..EngineSpec::default() })
}

#[gtest]
fn full_memory_pushes_the_lowest_priority_aside() {
    let mut engine = small(20);
    let kept = engine.submit(job(4, 10, 1));
    let yields = engine.submit(job(4, 10, 2));

    let mut preempted = Vec::new();
    for _ in 0..40 {
        preempted.extend(engine.step().preempted);
    }

    expect_that!(preempted, each(eq(&yields)));
    expect_that!(preempted, not(eq(&Vec::<StreamId>::new())));
    expect_that!(preempted, not(contains(eq(&kept))));
}

#[gtest]
fn a_cached_prefix_saves_its_prefill() {
    let mut engine = small(1000);
    let job = Job { prompt: 80, length: 1, priority: 1, prefix: 9, prefix_tokens: 72 };
    let steps = |engine: &mut Engine| {
        engine.submit(job);
        (1..).find(|_| !engine.step().tokens.is_empty()).unwrap()
    };

    let cold = steps(&mut engine);
    let warm = steps(&mut engine);

    expect_that!(cold, eq(10));
    expect_that!(warm, eq(1));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn every_stream_gives_each_position_once_and_memory_holds(
        jobs in proptest::collection::vec((1u64..12, 1u64..20, 1u64..4), 1..12),
        kv in 32u64..80,
    ) {
        let mut engine = small(kv);
        let ids: Vec<StreamId> =
            jobs.iter().map(|(prompt, length, p)| engine.submit(job(*prompt, *length, *p))).collect();
        let mut positions = vec![Vec::new(); jobs.len()];
        for _ in 0..5_000 {
            let step = engine.step();
            prop_assert!(engine.kv_used() <= kv);
            for token in step.tokens {
                let at = ids.iter().position(|id| *id == token.id).unwrap();
                positions[at].push(token.position);
            }
            if step.idle {
                break;
            }
        }
        for (i, (_, length, _)) in jobs.iter().enumerate() {
            prop_assert_eq!(&positions[i], &(1..=*length).collect::<Vec<_>>());
        }
        prop_assert_eq!(engine.kv_used(), 0);
    }
}
