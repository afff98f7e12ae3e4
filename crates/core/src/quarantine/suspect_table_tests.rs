//! The suspect table and its copies on daemons.

use bytes::Bytes;
use googletest::prelude::*;
use proptest::prelude::*;

use super::{
    ClearRequest, ContentDigest, CrashCounts, CrashHistory, CrashReport, CrashedRun, SuspectCache,
    SuspectTable,
};
use crate::{testing::fixed_seed, units::UnixMillis};

const HOUR: u64 = 3_600_000;

fn request(number: u8) -> ContentDigest {
    ContentDigest::from_slice(&[number; 16]).unwrap()
}

fn bytes(number: u8) -> Bytes {
    request(number).to_bytes()
}

fn crash(number: u8, endpoint: u64, in_trial: bool) -> CrashReport {
    let run = CrashedRun { endpoint: format!("e{endpoint}"), started_at: 0, detected_ms: 0 };
    CrashReport { run, request: bytes(number), in_trial, ..CrashReport::default() }
}

/// A table with this many crashes of request 1, the last of them in trials.
fn after(ends: u64, in_trials: u64, at: u64) -> SuspectTable {
    let mut records = SuspectTable::default();
    for endpoint in 0..ends {
        records.record_crash(&crash(1, endpoint, ends - in_trials <= endpoint), UnixMillis(at));
    }
    records
}

fn is_quarantined(records: &SuspectTable) -> bool {
    records.crash_counts(&request(1)).is_quarantined()
}

#[gtest]
fn quarantine_needs_three_crashes_two_of_them_in_trials() {
    expect_that!(is_quarantined(&after(3, 2, 0)), eq(true));
    expect_that!(is_quarantined(&after(2, 2, 0)), eq(false));
    expect_that!(is_quarantined(&after(3, 1, 0)), eq(false));
}

#[gtest]
fn crashes_outside_trials_do_not_quarantine() {
    expect_that!(is_quarantined(&after(30, 0, 0)), eq(false));
}

#[gtest]
fn duplicate_crash_reports_count_once() {
    let mut records = after(1, 0, 0);

    let again = records.record_crash(&crash(1, 0, true), UnixMillis(5));

    expect_that!(again.changed, len(eq(0)));
    expect_that!(records.crash_counts(&request(1)), eq(CrashCounts { total: 1, in_trials: 0 }));
}

#[gtest]
fn crashes_of_different_runs_count_separately() {
    let mut records = after(1, 0, 0);
    let run = CrashedRun { endpoint: "e0".into(), started_at: 7, detected_ms: 0 };

    records.record_crash(&CrashReport { run, ..crash(1, 0, false) }, UnixMillis(0));

    expect_that!(records.crash_counts(&request(1)).total, eq(2));
}

#[gtest]
fn crashes_without_start_time_are_distinguished_by_detection_time() {
    let mut records = SuspectTable::default();
    let seen = |seen_ms| CrashReport {
        run: CrashedRun { endpoint: "e0".into(), started_at: 0, detected_ms: seen_ms },
        ..crash(1, 0, false)
    };

    for seen_ms in [10_000, 10_400, 10_000, 14_000] {
        records.record_crash(&seen(seen_ms), UnixMillis(0));
    }

    expect_that!(records.crash_counts(&request(1)).total, eq(2));
}

#[gtest]
fn clearing_removes_a_suspect() {
    let mut records = after(3, 2, 0);

    let cleared = records.clear(&ClearRequest::new(&[request(1)]));
    let again = records.clear(&ClearRequest::new(&[request(1)]));

    expect_that!(cleared.changed, len(eq(1)));
    expect_that!(again.changed, len(eq(0)));
    expect_that!(records.crash_counts(&request(1)).is_suspect(), eq(false));
}

#[gtest]
fn suspects_expire_and_quarantined_requests_get_one_more_trial() {
    let mut suspect = after(2, 1, 0);
    let mut quarantined = after(3, 2, 0);

    suspect.expire(UnixMillis(HOUR / 6));
    quarantined.expire(UnixMillis(HOUR - 1));
    let before = is_quarantined(&quarantined);
    quarantined.expire(UnixMillis(HOUR));
    let after_it = is_quarantined(&quarantined);
    quarantined.record_crash(&crash(1, 9, true), UnixMillis(HOUR + 1));

    expect_that!(suspect.crash_counts(&request(1)).is_suspect(), eq(false));
    expect_that!(before, eq(true));
    expect_that!(after_it, eq(false));
    expect_that!(is_quarantined(&quarantined), eq(true));
}

#[gtest]
fn full_table_evicts_the_least_suspect() {
    let mut records = after(3, 2, 0);
    let other = |number: u32| {
        let mut digest = [0; 16];
        digest[..4].copy_from_slice(&number.to_be_bytes());
        CrashReport { request: Bytes::copy_from_slice(&digest), ..crash(0, 100, false) }
    };

    for number in 0..5_000 {
        records.record_crash(&other(number), UnixMillis(1 + u64::from(number)));
    }

    expect_that!(records.all().len(), eq(4_096));
    expect_that!(is_quarantined(&records), eq(true));
}

/// Sends changes to a cache until it is complete.
fn update(records: &SuspectTable, known: &mut SuspectCache) {
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
    /// The cache is updated, perhaps after a restart of its daemon or of the leader from a
    /// snapshot.
    Update {
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
            .prop_map(|(restarted, snapshot)| Step::Update { restarted, snapshot }),
    ];
    proptest::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(fixed_seed(200))]

    /// An updated cache equals the table after any sequence of steps.
    #[test]
    fn updated_cache_equals_the_table(steps in steps()) {
        let (mut records, mut known, mut now) = (SuspectTable::default(), SuspectCache::default(), 0);
        for step in steps {
            match step {
                Step::Ended(number, endpoint, in_trial) => {
                    records.record_crash(&crash(number, endpoint, in_trial), UnixMillis(now));
                }
                Step::Clear(number) => {
                    records.clear(&ClearRequest::new(&[request(number)]));
                }
                Step::Age(by) => {
                    now += by;
                    records.expire(UnixMillis(now));
                }
                Step::Update { restarted, snapshot } => {
                    if restarted {
                        known = SuspectCache::default();
                    }
                    if snapshot {
                        records = SuspectTable::decode(records.encode());
                    }
                    update(&records, &mut known);
                    for number in 0..6 {
                        let request = request(number);
                        prop_assert_eq!(known.crash_counts(&request), records.crash_counts(&request));
                    }
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(fixed_seed(200))]

    /// Replicas that restart from a snapshot at different times hold the same table.
    #[test]
    fn table_restored_from_a_snapshot_equals_the_original(steps in steps()) {
        let (mut original, mut restored) = (SuspectTable::default(), SuspectTable::default());
        let mut now = 0;
        for step in steps {
            for table in [&mut original, &mut restored] {
                match step {
                    Step::Ended(number, endpoint, in_trial) => {
                        let report = crash(number, endpoint, in_trial);
                        table.record_crash(&report, UnixMillis(now));
                    }
                    Step::Clear(number) => {
                        table.clear(&ClearRequest::new(&[request(number)]));
                    }
                    Step::Age(by) => {
                        table.expire(UnixMillis(now + by));
                    }
                    Step::Update { .. } => {}
                }
            }
            match step {
                Step::Age(by) => now += by,
                Step::Update { .. } => restored = SuspectTable::decode(restored.encode()),
                Step::Ended(..) | Step::Clear(_) => {}
            }
            prop_assert_eq!(&restored, &original);
        }
    }
}

#[gtest]
fn changes_are_split_into_messages() {
    let mut records = SuspectTable::default();
    for number in 0..1_000u32 {
        let mut digest = [0; 16];
        digest[..4].copy_from_slice(&number.to_be_bytes());
        let ended = CrashReport { request: Bytes::copy_from_slice(&digest), ..crash(0, 0, false) };
        records.record_crash(&ended, UnixMillis(0));
    }
    let mut known = SuspectCache::default();

    let first = records.changes_since(known.state());
    update(&records, &mut known);

    expect_that!(first.changes.len(), eq(256));
    expect_that!(first.more, eq(true));
    expect_that!((known.len(), known.count_quarantined()), eq((1_000, 0)));
}
