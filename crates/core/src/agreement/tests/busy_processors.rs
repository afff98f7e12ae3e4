//! Three of five voters start at once, on processors that they share with many others.

use googletest::prelude::*;

use super::group::{Group, RECOVERY, Slices};
use crate::agreement::ReplicaId;

const SYNC: u64 = 5;
const SEEDS: u64 = 40;
/// Longest times, in ms, for which a process waits for the processor; an election begins after 400 to 800.
const WAITS: [u64; 4] = [100, 200, 400, 600];

fn group(waits: u64, seed: u64) -> Group {
    let mut group = Group::start(&[1, 2, 3], SYNC, seed);
    group.slices = Some(Slices { runs: 20, waits });
    group
}

// Guards against service that does not come back on a busy machine.
#[gtest]
fn replicas_that_wait_for_the_processor_elect_a_leader_in_recovery_time() {
    for waits in WAITS {
        for seed in 0..SEEDS {
            let elected = group(waits, seed).run_until_led(RECOVERY);

            expect_that!(elected, some(anything()), "waits of {waits} ms, seed {seed}");
        }
    }
}

// Guards against leaders that take time in which they did not run for the silence of their followers.
#[gtest]
fn leader_that_waits_for_the_processor_keeps_its_term() {
    for waits in WAITS {
        let mut led = 0;
        for seed in 0..SEEDS {
            let mut group = group(waits, seed);
            group.run_until_led(RECOVERY);
            for _ in 0..RECOVERY {
                group.step();
                led += u64::from(group.leader().is_some());
            }
        }

        expect_that!(led, ge(SEEDS * RECOVERY * 9 / 10), "waits of {waits} ms");
    }
}

// Guards against replicas that split the votes of one term after another, where all that are left must agree.
#[gtest]
fn replicas_that_wait_for_the_processor_elect_a_leader_within_3_s_at_waits_of_200_ms() {
    for seed in 0..SEEDS {
        let elected = group(200, seed).run_until_led(RECOVERY);

        expect_that!(elected, some((anything(), lt(3_000))), "seed {seed}");
    }
}

// Guards against a replica that holds the others up which could be elected.
#[gtest]
fn replica_that_reaches_all_others_is_elected_though_those_do_not_reach_each_other() {
    for seed in 0..SEEDS {
        for center in 1..=3 {
            let mut group = Group::start(&[1, 2, 3], SYNC, seed);
            group.center = Some(center);

            let elected = group.run_until_led(RECOVERY);

            expect_that!(elected, some((eq(center), anything())), "seed {seed}");
        }
    }
}

/// Processes that wait for up to `waits` ms and run for up to a quarter of that: a fifth of a processor each.
fn crowded(ids: &[ReplicaId], waits: u64, seed: u64) -> Group {
    let mut group = Group::start(ids, SYNC, seed);
    group.slices = Some(Slices { runs: waits / 4, waits });
    group
}

// Guards against elections that begin anew before the last voter has had its processor.
#[gtest]
fn voters_on_a_fifth_of_a_processor_elect_a_leader_in_time() {
    for (waits, bound) in [(1_000, 8_000), (2_000, RECOVERY)] {
        for ids in [&[1, 2, 3][..], &[1, 2, 3, 4, 5]] {
            let late =
                (0..100).filter(|seed| crowded(ids, waits, *seed).run_until_led(bound).is_none());

            expect_that!(late.count(), le(1), "waits of {waits} ms, {} voters", ids.len());
        }
    }
}

// Guards against leaders that give their term up as their followers wait for a processor.
#[gtest]
fn leader_on_a_fifth_of_a_processor_confirms_reads() {
    /// Time without a confirmed read after which daemons refuse requests, and that of an answer on its way.
    const FRESH: u64 = 5_000;
    for (waits, share) in [(1_000, 95), (2_000, 80)] {
        for ids in [&[1, 2, 3][..], &[1, 2, 3, 4, 5]] {
            let mut fresh = 0;
            for seed in 0..SEEDS {
                let mut group = crowded(ids, waits, seed);
                group.run_until_led(2 * RECOVERY);
                fresh += group.run_with_reads(RECOVERY, FRESH);
            }

            let least = SEEDS * RECOVERY * share / 100;
            expect_that!(fresh, ge(least), "waits of {waits} ms, {} voters", ids.len());
        }
    }
}

// Guards against a leader that keeps its term although it hears nobody.
#[gtest]
fn leader_that_hears_nobody_is_replaced_at_once_and_confirms_nothing() {
    for seed in 0..SEEDS {
        let mut group = Group::start(&[1, 2, 3, 4, 5], SYNC, seed);
        let (deaf, _) = group.run_until_led(RECOVERY).unwrap();
        group.deaf = Some(deaf);
        let cut_at = group.run_until(2_000, |group| group.leader().is_none()).unwrap();

        let elected = group.run_until_led(RECOVERY);

        expect_that!(elected, some((not(eq(deaf)), lt(cut_at + 1_500))), "seed {seed}");
    }
}

// Guards against elections while the leader is only held up, or is back and its word is not read yet.
#[gtest]
fn leader_on_a_fifth_of_a_processor_is_replaced_once_in_100_s_at_most() {
    const SEEDS: u64 = 400;
    let mut elections = 0;
    for seed in 0..SEEDS {
        let mut group = crowded(&[1, 2, 3, 4, 5], 2_000, seed);
        group.run_until_led(2 * RECOVERY);
        let term = group.term();
        (0..RECOVERY).for_each(|_| group.step());
        elections += group.term() - term;
    }

    expect_that!(elections, le(SEEDS * RECOVERY / 100_000));
}
