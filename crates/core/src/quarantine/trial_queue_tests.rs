//! Serialized trials of suspects.

use googletest::prelude::*;

use super::{
    AttemptId, ClearRequest, ContentDigest, CrashCounts, CrashReport, CrashedRun, SuspectTable,
    Trial, TrialDecision, TrialQueue,
};
use crate::units::{Instant, UnixMillis};

/// After the startup delay of a new leader.
const LATER: Instant = Instant(1_000_000);
const SUSPECT: CrashCounts = CrashCounts { total: 1, in_trials: 0 };

fn request() -> ContentDigest {
    ContentDigest::from_slice(&[1; 16]).unwrap()
}

fn attempt(vm: &str, number: u64) -> AttemptId {
    AttemptId { vm: vm.into(), number }
}

fn crash(records: &mut SuspectTable, endpoint: u64, in_trial: bool) {
    let run = CrashedRun { endpoint: format!("e{endpoint}"), started_at: 0, detected_ms: 0 };
    let request = request().to_bytes();
    records.record_crash(
        &CrashReport { run, request, in_trial, ..CrashReport::default() },
        UnixMillis(0),
    );
}

fn clear(records: &mut SuspectTable) {
    records.clear(&ClearRequest::new(&[request()]));
}

fn trial(attempt: AttemptId, crashes: CrashCounts) -> Trial {
    Trial { attempt, contents: vec![request()], crashes }
}

/// A queue in which these attempts wait.
fn queue_of(attempts: &[AttemptId]) -> TrialQueue {
    let mut trials = TrialQueue::new(Instant(0));
    for attempt in attempts {
        expect_that!(trials.request(request(), trial(attempt.clone(), SUSPECT)), none());
    }
    trials
}

const GRANTED: TrialDecision = TrialDecision::Granted { isolated: false };

#[gtest]
fn one_attempt_runs_at_a_time_across_daemons() {
    let (a, b) = (attempt("a", 1), attempt("b", 1));
    let mut trials = queue_of(&[a.clone(), b.clone()]);
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
fn quarantine_decides_all_waiting_attempts() {
    let (a, b) = (attempt("a", 1), attempt("b", 1));
    let mut trials = queue_of(&[a.clone(), b.clone()]);
    let mut records = SuspectTable::default();
    trials.decide(&records, LATER);
    (0..3).for_each(|endpoint| crash(&mut records, endpoint, true));

    let decisions = trials.decide(&records, LATER);

    expect_that!(decisions, eq(&vec![(b, TrialDecision::Quarantined)]));
}

#[gtest]
fn clearing_decides_all_waiting_attempts() {
    let (a, b, c) = (attempt("a", 1), attempt("b", 1), attempt("b", 2));
    let mut trials = queue_of(&[a, b.clone(), c.clone()]);
    let mut records = SuspectTable::default();
    crash(&mut records, 1, false);
    trials.decide(&records, LATER);
    clear(&mut records);

    let decisions = trials.decide(&records, LATER);

    expect_that!(decisions, eq(&vec![(b, TrialDecision::Cleared), (c, TrialDecision::Cleared)]));
}

#[gtest]
fn crashes_not_yet_in_the_table_count_for_isolation() {
    let mut trials = TrialQueue::new(Instant(0));
    let crashes = CrashCounts { total: 2, in_trials: 0 };
    trials.request(request(), trial(attempt("a", 1), crashes));

    let decisions = trials.decide(&SuspectTable::default(), LATER);

    expect_that!(
        decisions,
        eq(&vec![(attempt("a", 1), TrialDecision::Granted { isolated: true })])
    );
}

#[gtest]
fn new_leader_first_collects_running_attempts() {
    let mut trials = queue_of(&[attempt("a", 1)]);

    let at_once = trials.decide(&SuspectTable::default(), Instant(1));
    let wakes = trials.next_decision(Instant(1));
    trials.adopt(request(), attempt("b", 7));
    let later = trials.decide(&SuspectTable::default(), LATER);
    trials.finish(&attempt("b", 7));
    let then = trials.decide(&SuspectTable::default(), LATER);

    expect_that!(at_once, is_empty());
    expect_that!(wakes, some(le(LATER)));
    expect_that!(later, is_empty());
    expect_that!(then, eq(&vec![(attempt("a", 1), GRANTED)]));
}

#[gtest]
fn attempts_of_a_removed_daemon_are_dropped() {
    let mut trials = queue_of(&[attempt("a", 1), attempt("a", 2), attempt("b", 1)]);
    trials.decide(&SuspectTable::default(), LATER);

    trials.remove_daemon("a");
    let decisions = trials.decide(&SuspectTable::default(), LATER);

    expect_that!(decisions, eq(&vec![(attempt("b", 1), GRANTED)]));
}

#[gtest]
fn repeated_requests_are_deduplicated() {
    let a = attempt("a", 1);
    let mut trials = queue_of(&[a.clone(), a.clone()]);

    let decisions = trials.decide(&SuspectTable::default(), LATER);
    trials.finish(&a);
    let then = trials.decide(&SuspectTable::default(), LATER);

    expect_that!(decisions.len(), eq(1));
    expect_that!(then, is_empty());
}

#[gtest]
fn attempts_beyond_the_limit_are_rejected() {
    let attempts: Vec<AttemptId> = (0..64).map(|number| attempt("a", number)).collect();
    let mut trials = queue_of(&attempts);

    let refused = trials.request(request(), trial(attempt("b", 1), SUSPECT));

    expect_that!(refused, some(eq(TrialDecision::Busy)));
}
