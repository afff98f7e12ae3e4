//! Three of five voters start at once, on disks that take long to sync.

use googletest::prelude::*;

use super::group::{Group, RECOVERY};
use crate::agreement::ReplicaId;

const SEEDS: u64 = 40;

/// When the last of the seeds had an established leader, in ms.
fn slowest_election(running: &[ReplicaId], sync: u64) -> Option<u64> {
    let elect = |seed| Group::start(running, sync, seed).run_until_led(RECOVERY);
    (0..SEEDS)
        .map(|seed| elect(seed).map(|(_, at)| at))
        .collect::<Option<Vec<_>>>()?
        .into_iter()
        .max()
}

#[gtest]
fn three_of_five_voters_elect_a_leader_within_3_s_at_syncs_of_150_ms() {
    expect_that!(slowest_election(&[1, 2, 3], 150), some(lt(3_000)));
}

// Guards against elections in which the syncs of candidates and voters follow each other.
#[gtest]
fn three_of_five_voters_elect_a_leader_in_recovery_time_at_syncs_of_4_s() {
    expect_that!(slowest_election(&[1, 2, 3], 4_000), some(lt(RECOVERY)));
}

#[gtest]
fn slow_syncs_do_not_keep_three_of_five_voters_from_electing_a_leader() {
    for sync in [300, 400, 600, 1_000] {
        expect_that!(slowest_election(&[1, 2, 3], sync), some(lt(RECOVERY)), "sync {sync} ms");
    }
}

#[gtest]
fn slow_syncs_do_not_keep_five_voters_from_electing_a_leader() {
    for sync in [300, 400, 600, 1_000] {
        let all = [1, 2, 3, 4, 5];
        expect_that!(slowest_election(&all, sync), some(lt(RECOVERY)), "sync {sync} ms");
    }
}

#[gtest]
fn leader_keeps_its_term_while_its_followers_sync_slowly() {
    for sync in [150, 400, 1_000] {
        for seed in 0..SEEDS {
            let mut group = Group::start(&[1, 2, 3], 5, seed);
            let (leader, _) = group.run_until_led(RECOVERY).unwrap();
            let term = group.term();
            group.sync = sync;
            for _ in 0..100 {
                group.propose(leader);
                (0..50).for_each(|_| group.step());
            }

            expect_that!(group.leader(), some(eq(leader)), "sync {sync} ms, seed {seed}");
            expect_that!(group.term(), eq(term), "sync {sync} ms, seed {seed}");
        }
    }
}
