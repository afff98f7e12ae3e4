//! Tests of what is on record about requests under which endpoints have ended.

use bytes::Bytes;
use googletest::prelude::*;
use proptest::prelude::*;

use super::{
    ClearRequest, CrashCounts, CrashReport, CrashedRun, RequestDigest, SuspectCache, SuspectTable,
};
use crate::{testing::fixed_seed, units::UnixMillis};

const HOUR: u64 = 3_600_000;

fn request(number: u8) -> RequestDigest {
    RequestDigest::from_slice(&[number; 16]).unwrap()
}

fn bytes(number: u8) -> Bytes {
    Bytes::copy_from_slice(request(number).as_bytes())
}

fn ended(number: u8, endpoint: u64, in_trial: bool) -> CrashReport {
    let run = CrashedRun { endpoint: format!("e{endpoint}"), started_at: 0, detected_ms: 0 };
    CrashReport { run, request: bytes(number), in_trial }
}

/// Records after so many ends under request 1, the last of them in trials.
fn after(ends: u64, in_trials: u64, at: u64) -> SuspectTable {
    let mut records = SuspectTable::default();
    for endpoint in 0..ends {
        records.record_crash(&ended(1, endpoint, ends - in_trials <= endpoint), UnixMillis(at));
    }
    records
}

fn is_quarantined(records: &SuspectTable) -> bool {
    records.crash_counts(&request(1)).is_quarantined()
}

#[gtest]
fn a_request_is_sent_to_none_after_three_ends_of_which_two_were_in_trials() {
    expect_that!(is_quarantined(&after(3, 2, 0)), eq(true));
    expect_that!(is_quarantined(&after(2, 2, 0)), eq(false));
    expect_that!(is_quarantined(&after(3, 1, 0)), eq(false));
}

#[gtest]
fn a_rack_that_ends_proves_nothing_against_a_popular_request() {
    expect_that!(is_quarantined(&after(30, 0, 0)), eq(false));
}

#[gtest]
fn one_end_counts_once_however_many_daemons_tell_of_it() {
    let mut records = after(1, 0, 0);

    let again = records.record_crash(&ended(1, 0, true), UnixMillis(5));

    expect_that!(again.changed, none());
    expect_that!(records.crash_counts(&request(1)), eq(CrashCounts { total: 1, in_trials: 0 }));
}

#[gtest]
fn another_run_of_the_same_endpoint_is_another_end() {
    let mut records = after(1, 0, 0);
    let run = CrashedRun { endpoint: "e0".into(), started_at: 7, detected_ms: 0 };

    records.record_crash(&CrashReport { run, ..ended(1, 0, false) }, UnixMillis(0));

    expect_that!(records.crash_counts(&request(1)).total, eq(2));
}

#[gtest]
fn an_endpoint_whose_runs_cannot_be_told_apart_ends_again_when_that_is_seen_later() {
    let mut records = SuspectTable::default();
    let seen = |seen_ms| CrashReport {
        run: CrashedRun { endpoint: "e0".into(), started_at: 0, detected_ms: seen_ms },
        ..ended(1, 0, false)
    };

    for seen_ms in [10_000, 10_400, 10_000, 14_000] {
        records.record_crash(&seen(seen_ms), UnixMillis(0));
    }

    expect_that!(records.crash_counts(&request(1)).total, eq(2));
}

#[gtest]
fn a_whole_answer_clears_a_request() {
    let mut records = after(3, 2, 0);

    let cleared = records.clear(&ClearRequest { request: bytes(1) });
    let again = records.clear(&ClearRequest { request: bytes(1) });

    expect_that!(cleared.changed, some(anything()));
    expect_that!(again.changed, none());
    expect_that!(records.crash_counts(&request(1)).is_suspect(), eq(false));
}

#[gtest]
fn a_suspect_is_forgotten_after_ten_minutes_and_one_in_quarantine_gets_one_trial_after_an_hour() {
    let mut suspect = after(2, 1, 0);
    let mut quarantined = after(3, 2, 0);

    suspect.expire(UnixMillis(HOUR / 6));
    quarantined.expire(UnixMillis(HOUR - 1));
    let before = is_quarantined(&quarantined);
    quarantined.expire(UnixMillis(HOUR));
    let after_it = is_quarantined(&quarantined);
    quarantined.record_crash(&ended(1, 9, true), UnixMillis(HOUR + 1));

    expect_that!(suspect.crash_counts(&request(1)).is_suspect(), eq(false));
    expect_that!(before, eq(true));
    expect_that!(after_it, eq(false));
    expect_that!(is_quarantined(&quarantined), eq(true));
}

#[gtest]
fn of_too_many_the_least_suspect_gives_way() {
    let mut records = after(3, 2, 0);
    let other = |number: u32| {
        let mut digest = [0; 16];
        digest[..4].copy_from_slice(&number.to_be_bytes());
        CrashReport { request: Bytes::copy_from_slice(&digest), ..ended(0, 100, false) }
    };

    for number in 0..5_000 {
        records.record_crash(&other(number), UnixMillis(1 + u64::from(number)));
    }

    expect_that!(records.all().len(), eq(4_096));
    expect_that!(is_quarantined(&records), eq(true));
}

/// Tells a daemon what it lacks until it lacks nothing.
fn tell(records: &SuspectTable, known: &mut SuspectCache) {
    loop {
        let news = records.changes_since(known.state());
        known.apply(&news);
        if !news.more {
            return;
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Ended(u8, u64, bool),
    Clear(u8),
    Age(u64),
    /// The daemon is told, perhaps after a restart of its own or of the leader from a snapshot.
    Tell {
        restarted: bool,
        snapshot: bool,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0u8..6, 0u64..6, any::<bool>()).prop_map(|(r, e, t)| Step::Ended(r, e, t)),
        1 => (0u8..6).prop_map(Step::Clear),
        1 => (0u64..2 * HOUR).prop_map(Step::Age),
        2 => (any::<bool>(), any::<bool>())
            .prop_map(|(restarted, snapshot)| Step::Tell { restarted, snapshot }),
    ];
    proptest::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(fixed_seed(200))]

    /// Whatever happens in whatever order, a daemon that was told last knows how each request stands.
    #[test]
    fn a_daemon_knows_what_is_on_record(steps in steps()) {
        let (mut records, mut known, mut now) = (SuspectTable::default(), SuspectCache::default(), 0);
        for step in steps {
            match step {
                Step::Ended(number, endpoint, in_trial) => {
                    records.record_crash(&ended(number, endpoint, in_trial), UnixMillis(now));
                }
                Step::Clear(number) => {
                    records.clear(&ClearRequest { request: bytes(number) });
                }
                Step::Age(by) => {
                    now += by;
                    records.expire(UnixMillis(now));
                }
                Step::Tell { restarted, snapshot } => {
                    if restarted {
                        known = SuspectCache::default();
                    }
                    if snapshot {
                        records = SuspectTable::decode(records.encode());
                    }
                    tell(&records, &mut known);
                    for number in 0..6 {
                        let request = request(number);
                        prop_assert_eq!(known.crash_counts(&request), records.crash_counts(&request));
                    }
                }
            }
        }
    }
}

#[gtest]
fn many_changes_are_told_in_several_messages() {
    let mut records = SuspectTable::default();
    for number in 0..1_000u32 {
        let mut digest = [0; 16];
        digest[..4].copy_from_slice(&number.to_be_bytes());
        let ended = CrashReport { request: Bytes::copy_from_slice(&digest), ..ended(0, 0, false) };
        records.record_crash(&ended, UnixMillis(0));
    }
    let mut known = SuspectCache::default();

    let first = records.changes_since(known.state());
    tell(&records, &mut known);

    expect_that!(first.changes.len(), eq(256));
    expect_that!(first.more, eq(true));
    expect_that!(known.counts(), eq((1_000, 0)));
}
