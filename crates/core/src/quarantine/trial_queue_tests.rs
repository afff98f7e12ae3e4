//! Tests of one try at a time.

use bytes::Bytes;
use googletest::prelude::*;

use super::{
    AttemptId, ClearRequest, CrashCounts, CrashReport, CrashedRun, RequestDigest, SuspectTable,
    TrialDecision, TrialQueue,
};
use crate::units::{Instant, UnixMillis};

/// After the time in which a new leader listens.
const LATER: Instant = Instant(1_000_000);
const SUSPECT: CrashCounts = CrashCounts { total: 1, in_trials: 0 };

fn request() -> RequestDigest {
    RequestDigest::from_slice(&[1; 16]).unwrap()
}

fn asker(vm: &str, number: u64) -> AttemptId {
    AttemptId { vm: vm.into(), number }
}

fn ends(records: &mut SuspectTable, endpoint: u64, in_trial: bool) {
    let run = CrashedRun { endpoint: format!("e{endpoint}"), started_at: 0, detected_ms: 0 };
    let request = Bytes::copy_from_slice(request().as_bytes());
    records.record_crash(&CrashReport { run, request, in_trial }, UnixMillis(0));
}

fn clear(records: &mut SuspectTable) {
    records.clear(&ClearRequest { request: Bytes::copy_from_slice(request().as_bytes()) });
}

/// Trials for which these tries have asked.
fn asked(askers: &[AttemptId]) -> TrialQueue {
    let mut trials = TrialQueue::new(Instant(0));
    for asker in askers {
        expect_that!(trials.request(request(), asker.clone(), SUSPECT), none());
    }
    trials
}

const GRANTED: TrialDecision = TrialDecision::Granted { isolated: false };

#[gtest]
fn one_try_runs_at_a_time_whichever_daemons_they_come_through() {
    let (a, b) = (asker("a", 1), asker("b", 1));
    let mut trials = asked(&[a.clone(), b.clone()]);
    let records = SuspectTable::default();

    let first = trials.decide(&records, LATER);
    let meanwhile = trials.decide(&records, LATER);
    trials.finish(&a);
    let then = trials.decide(&records, LATER);

    expect_that!(first, eq(&vec![(a, GRANTED)]));
    expect_that!(meanwhile, is_empty());
    expect_that!(then, eq(&vec![(b, GRANTED)]));
}

#[gtest]
fn all_that_wait_are_told_when_the_request_is_sent_to_none_any_more() {
    let (a, b) = (asker("a", 1), asker("b", 1));
    let mut trials = asked(&[a.clone(), b.clone()]);
    let mut records = SuspectTable::default();
    trials.decide(&records, LATER);
    (0..3).for_each(|endpoint| ends(&mut records, endpoint, true));

    let told = trials.decide(&records, LATER);

    expect_that!(told, eq(&vec![(b, TrialDecision::Quarantined)]));
}

#[gtest]
fn all_that_wait_are_told_when_it_is_no_suspect_any_more() {
    let (a, b, c) = (asker("a", 1), asker("b", 1), asker("b", 2));
    let mut trials = asked(&[a, b.clone(), c.clone()]);
    let mut records = SuspectTable::default();
    ends(&mut records, 1, false);
    trials.decide(&records, LATER);
    clear(&mut records);

    let told = trials.decide(&records, LATER);

    expect_that!(told, eq(&vec![(b, TrialDecision::Cleared), (c, TrialDecision::Cleared)]));
}

#[gtest]
fn a_try_whose_daemon_knows_of_an_end_that_is_not_on_record_yet_is_a_trial() {
    let mut trials = TrialQueue::new(Instant(0));
    let standing = CrashCounts { total: 2, in_trials: 0 };
    trials.request(request(), asker("a", 1), standing);

    let told = trials.decide(&SuspectTable::default(), LATER);

    expect_that!(told, eq(&vec![(asker("a", 1), TrialDecision::Granted { isolated: true })]));
}

#[gtest]
fn a_new_leader_first_listens_to_what_runs() {
    let mut trials = asked(&[asker("a", 1)]);

    let at_once = trials.decide(&SuspectTable::default(), Instant(1));
    let wakes = trials.next_decision(Instant(1));
    trials.adopt(request(), asker("b", 7));
    let later = trials.decide(&SuspectTable::default(), LATER);
    trials.finish(&asker("b", 7));
    let then = trials.decide(&SuspectTable::default(), LATER);

    expect_that!(at_once, is_empty());
    expect_that!(wakes, some(le(LATER)));
    expect_that!(later, is_empty());
    expect_that!(then, eq(&vec![(asker("a", 1), GRANTED)]));
}

#[gtest]
fn the_tries_of_a_daemon_that_is_gone_hold_up_nobody() {
    let mut trials = asked(&[asker("a", 1), asker("a", 2), asker("b", 1)]);
    trials.decide(&SuspectTable::default(), LATER);

    trials.remove_daemon("a");
    let told = trials.decide(&SuspectTable::default(), LATER);

    expect_that!(told, eq(&vec![(asker("b", 1), GRANTED)]));
}

#[gtest]
fn a_daemon_that_asks_again_is_not_taken_for_two() {
    let a = asker("a", 1);
    let mut trials = asked(&[a.clone(), a.clone()]);

    let told = trials.decide(&SuspectTable::default(), LATER);
    trials.finish(&a);
    let then = trials.decide(&SuspectTable::default(), LATER);

    expect_that!(told.len(), eq(1));
    expect_that!(then, is_empty());
}

#[gtest]
fn too_many_are_told_at_once_that_they_are() {
    let askers: Vec<AttemptId> = (0..64).map(|number| asker("a", number)).collect();
    let mut trials = asked(&askers);

    let refused = trials.request(request(), asker("b", 1), SUSPECT);

    expect_that!(refused, some(eq(TrialDecision::Busy)));
}
