//! Verdicts on requests by the crashes of their contents.

use googletest::prelude::*;

use super::{
    ClearRequest, ContentDigest, CrashCounts, CrashReport, CrashedRun, DigestKey, PromptPart,
    SuspectTable, Verdict, verdict::CrashHistory,
};
use crate::units::UnixMillis;

/// The parts of prompts.
const POPULAR: u128 = 1;
const RARE: u128 = 2;
const CRASHING: u128 = 666;

fn part(number: u128) -> ContentDigest {
    DigestKey::new(b"key").part_digest(PromptPart(number))
}

/// The contents of request `number`, whose prompt has these parts.
fn contents(number: u8, parts: &[u128]) -> Vec<ContentDigest> {
    let request = ContentDigest::from_slice(&[number; 16]).unwrap();
    std::iter::once(request).chain(parts.iter().map(|number| part(*number))).collect()
}

/// Counts a crash of endpoint `endpoint` that interrupted a trial of `trial_of`.
fn crash(records: &mut SuspectTable, endpoint: u8, contents: &[ContentDigest], trial_of: u128) {
    let run = CrashedRun { endpoint: format!("e{endpoint}"), started_at: 0, detected_ms: 0 };
    let report = CrashReport {
        run,
        request: contents[0].to_bytes(),
        in_trial: true,
        parts: contents[1..].iter().map(ContentDigest::to_bytes).collect(),
        trial_of: part(trial_of).to_bytes(),
    };
    records.record_crash(&report, UnixMillis(0));
}

/// Records of requests that each crashed an endpoint, tried for these of their parts.
fn records_of(parts: &[u128], trials: &[u128]) -> SuspectTable {
    let mut records = SuspectTable::default();
    for (number, trial_of) in (1..).zip(trials) {
        crash(&mut records, number, &contents(number, parts), *trial_of);
    }
    records
}

fn is_quarantined(records: &SuspectTable, parts: &[u128]) -> bool {
    let verdict = Verdict::of(&contents(99, parts), records);
    matches!(verdict, Verdict::Quarantined { .. })
}

#[gtest]
fn requests_with_a_part_of_three_crashes_are_quarantined() {
    let mut records = records_of(&[POPULAR, CRASHING], &[CRASHING; 3]);
    let before = is_quarantined(&records, &[CRASHING]);
    records.clear(&ClearRequest::new(&[part(POPULAR)]));

    expect_that!(before, eq(false), "its companion may be the cause");
    expect_that!(is_quarantined(&records, &[CRASHING]), eq(true));
    expect_that!(is_quarantined(&records, &[POPULAR, CRASHING, RARE]), eq(true));
}

#[gtest]
fn part_that_only_accompanies_the_cause_is_tried_and_not_quarantined() {
    let records = records_of(&[RARE, CRASHING], &[CRASHING, CRASHING, RARE, RARE]);

    let verdict = Verdict::of(&contents(99, &[RARE]), &records);

    let crashes = records.crash_counts(&part(RARE));
    expect_that!(crashes.is_quarantined(), eq(true));
    expect_that!(verdict, eq(Verdict::Trial { content: part(RARE), crashes }));
    expect_that!(is_quarantined(&records, &[RARE, CRASHING]), eq(true));
}

#[gtest]
fn part_that_crashes_without_its_companion_is_quarantined() {
    let mut records = records_of(&[RARE, CRASHING], &[CRASHING, CRASHING, RARE, RARE]);

    crash(&mut records, 8, &contents(8, &[CRASHING]), CRASHING);
    crash(&mut records, 9, &contents(9, &[CRASHING]), CRASHING);

    expect_that!(is_quarantined(&records, &[CRASHING]), eq(true));
    expect_that!(is_quarantined(&records, &[RARE]), eq(false));
}

#[gtest]
fn the_most_suspect_part_is_tried_and_of_equal_ones_the_last() {
    let mut records = records_of(&[POPULAR, CRASHING], &[CRASHING]);
    let once = records.crash_counts(&part(CRASHING));

    let equal = Verdict::of(&contents(98, &[POPULAR, CRASHING]), &records);
    crash(&mut records, 8, &contents(8, &[POPULAR]), POPULAR);
    let most = Verdict::of(&contents(97, &[POPULAR, CRASHING]), &records);

    expect_that!(equal, eq(Verdict::Trial { content: part(CRASHING), crashes: once }));
    let crashes = records.crash_counts(&part(POPULAR));
    expect_that!(most, eq(Verdict::Trial { content: part(POPULAR), crashes }));
}

#[gtest]
fn digests_of_parts_and_requests_are_told_apart_in_messages_and_text() {
    for digest in [part(POPULAR), contents(1, &[])[0]] {
        expect_that!(ContentDigest::from_slice(&digest.to_bytes()), some(eq(digest)));
        expect_that!(ContentDigest::parse(&digest.to_string()), some(eq(digest)));
    }
    expect_that!(part(POPULAR).to_string(), starts_with("part:"));
}

/// Checks that a part that was quarantined at 0 is released after each of these waits, in ms, and that
/// one more crash in a trial then quarantines it again.
fn check_releases(records: &mut SuspectTable, part_number: u128, waits: &[u64]) {
    let mut now = 0;
    for wait in waits {
        records.expire(UnixMillis(now + wait - 1));
        expect_that!(is_quarantined(records, &[part_number]), eq(true), "before {wait} ms");
        now += wait;
        records.expire(UnixMillis(now));
        expect_that!(is_quarantined(records, &[part_number]), eq(false), "after {wait} ms");
        let run = CrashedRun { endpoint: format!("f{wait}"), started_at: 0, detected_ms: 0 };
        let content = part(part_number).to_bytes();
        let report =
            CrashReport { run, request: content, in_trial: true, ..CrashReport::default() };
        records.record_crash(&report, UnixMillis(now));
    }
}

#[gtest]
fn quarantined_part_that_was_cleared_before_is_tried_again_soon_and_then_ever_more_seldom() {
    let mut records = records_of(&[POPULAR], &[POPULAR]);
    records.clear(&ClearRequest::new(&[part(POPULAR)]));
    for endpoint in 11..14 {
        crash(&mut records, endpoint, &contents(endpoint, &[POPULAR]), POPULAR);
    }

    check_releases(&mut records, POPULAR, &[2_000, 16_000, 128_000]);
}

#[gtest]
fn shared_part_of_two_causes_at_once_is_not_quarantined() {
    let (other_cause, other_part) = (4, 5);
    let mut records = SuspectTable::default();
    for endpoint in 1..4 {
        crash(&mut records, endpoint, &contents(1, &[POPULAR, other_part]), POPULAR);
        let number = 10 + endpoint;
        crash(&mut records, endpoint + 3, &contents(number, &[POPULAR, other_cause]), POPULAR);
    }

    expect_that!(is_quarantined(&records, &[POPULAR, RARE]), eq(false));
    expect_that!(is_quarantined(&records, &[POPULAR, other_cause]), eq(true));
}

/// What a daemon has seen itself, beside what it was told.
struct MergedHistory(SuspectTable, SuspectTable);

impl CrashHistory for MergedHistory {
    fn crash_counts(&self, content: &ContentDigest) -> CrashCounts {
        self.0.crash_counts(content).max(self.1.crash_counts(content))
    }

    fn crashed_runs(&self, content: &ContentDigest) -> Vec<CrashedRun> {
        [self.0.crashed_runs(content), self.1.crashed_runs(content)].concat()
    }

    fn suspects(&self) -> Vec<ContentDigest> {
        [self.0.suspects(), self.1.suspects()].concat()
    }
}

#[gtest]
fn crashes_in_two_histories_are_judged_whatever_their_number() {
    let history = |endpoints: std::ops::Range<u8>| {
        let mut records = SuspectTable::default();
        for endpoint in endpoints {
            crash(&mut records, endpoint, &contents(endpoint, &[CRASHING]), CRASHING);
        }
        records
    };
    let merged = MergedHistory(history(1..33), history(33..65));

    let verdict = Verdict::of(&contents(99, &[CRASHING]), &merged);

    expect_that!(matches!(verdict, Verdict::Quarantined { .. }), eq(true), "{verdict:?}");
}

#[gtest]
fn quarantined_part_that_all_requests_share_is_tried_again_without_an_operator() {
    let mut records = records_of(&[POPULAR], &[POPULAR; 3]);

    check_releases(&mut records, POPULAR, &[60_000, 480_000, 3_600_000]);
}

#[gtest]
fn released_part_is_not_tried_without_a_leader() {
    let mut records = records_of(&[POPULAR], &[POPULAR; 3]);

    records.expire(UnixMillis(60_000));

    let crashes = records.crash_counts(&part(POPULAR));
    expect_that!(crashes.are_many(), eq(true), "{crashes:?}");
}
