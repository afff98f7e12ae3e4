//! Crash history of one suspect.

use std::time::Duration;

use super::{ContentDigest, ContentKind};
use crate::units::UnixMillis;

/// Crashes after which a request is quarantined, if enough of them were in trials. Fewer could be
/// coincidence while many engines fail.
const QUARANTINE_CRASHES: u32 = 3;
/// Crashes in trials that quarantine requires. Concurrent attempts may all be interrupted by one
/// failing rack, and a popular request is interrupted by many unrelated crashes. A single trial may
/// still meet an unrelated crash.
const QUARANTINE_TRIAL_CRASHES: u32 = 2;
/// Crashes from which one crash in a trial suffices: as many were under way before the first trial.
const MANY_CRASHES: u32 = 5;
/// Crashes from which trials are isolated. After a single crash most of the requests that were
/// interrupted are innocent, and isolating each would take too many engines. Up to 48 requests run
/// on one engine at once, and all but one are innocent.
const ISOLATION_CRASHES: u32 = 2;
/// Time without a crash after which a request is no longer a suspect. Callers that repeat a request
/// do so within minutes.
pub(super) const SUSPECT_TTL: Duration = Duration::from_secs(600);
/// Time in quarantine, after which one more trial is allowed: operators can intervene, and what still
/// crashes endpoints does so once per period.
const QUARANTINE_DURATION: Duration = Duration::from_secs(3_600);
/// Time in quarantine of a part of prompts until its first further trial. All requests may share a part
/// that was only beside the cause, and then nothing else can clear it.
const PART_QUARANTINE_DURATION: Duration = Duration::from_secs(60);
/// The same for a part that was cleared before.
const CLEARED_PART_QUARANTINE_DURATION: Duration = Duration::from_secs(2);
/// Factor by which that time grows with each further trial that crashes.
const PART_QUARANTINE_GROWTH: u32 = 8;
/// Crashes remembered per content, to recognize duplicate reports and to tell the cause from what was
/// beside it.
const MAX_RUNS: usize = 32;

/// Reports on runs without a known start are about the same crash if detected within this time, in
/// ms: more than the clock skew between daemons, and less than an endpoint needs to restart and
/// crash again.
const DUPLICATE_WINDOW_MS: u64 = 1_000;

/// A run of an endpoint that crashed.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CrashedRun {
    /// Name of the endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Start time of the run by its own clock; 0 if unknown.
    #[prost(uint64, tag = "2")]
    pub started_at: u64,
    /// When the crash was detected, in ms since the Unix epoch, if name and start do not identify
    /// the run; else 0.
    #[prost(uint64, tag = "3")]
    pub detected_ms: u64,
}

impl CrashedRun {
    pub(super) fn is_same(&self, other: &CrashedRun) -> bool {
        let is_close = self.detected_ms.abs_diff(other.detected_ms) < DUPLICATE_WINDOW_MS;
        self.endpoint == other.endpoint && self.started_at == other.started_at && is_close
    }
}

/// Crashes that interrupted requests with a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CrashCounts {
    /// All crashes.
    pub total: u32,
    /// Crashes that interrupted a trial.
    pub in_trials: u32,
}

impl CrashCounts {
    /// Whether any crash interrupted the request.
    pub fn is_suspect(self) -> bool {
        0 < self.total
    }

    /// Whether the request is quarantined.
    pub fn is_quarantined(self) -> bool {
        let needed = if self.are_many() { 1 } else { QUARANTINE_TRIAL_CRASHES };
        QUARANTINE_CRASHES <= self.total && needed <= self.in_trials
    }

    /// Whether there are so many that a single trial decides.
    pub(crate) fn are_many(self) -> bool {
        MANY_CRASHES <= self.total
    }

    /// Whether trials of the request must be isolated from other requests.
    pub fn needs_isolation(self) -> bool {
        ISOLATION_CRASHES <= self.total
    }

    /// The maximum of each count.
    pub(crate) fn max(self, other: CrashCounts) -> CrashCounts {
        CrashCounts {
            total: self.total.max(other.total),
            in_trials: self.in_trials.max(other.in_trials),
        }
    }

    /// Adds one crash.
    pub(crate) fn with_crash(self, in_trial: bool) -> CrashCounts {
        CrashCounts { total: self.total + 1, in_trials: self.in_trials + u32::from(in_trial) }
    }
}

/// The replicated record of one suspect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SuspectRecord {
    pub(super) crashes: CrashCounts,
    /// The most recently crashed runs, newest last.
    pub(super) runs: Vec<CrashedRun>,
    /// Time of the last crash or release, by the replicated log's clock.
    pub(super) updated_at: UnixMillis,
    /// Revision of the table at the last change of this record.
    pub(super) revision: u64,
    /// Releases from quarantine so far.
    pub(super) releases: u32,
    /// Whether it was a suspect before, and cleared.
    pub(super) was_cleared: bool,
}

impl SuspectRecord {
    pub(super) fn new() -> SuspectRecord {
        SuspectRecord {
            crashes: CrashCounts::default(),
            runs: Vec::new(),
            updated_at: UnixMillis(0),
            revision: 0,
            releases: 0,
            was_cleared: false,
        }
    }

    /// Adds a crash; returns `false` if it is already known.
    pub(super) fn add_crash(&mut self, run: &CrashedRun, in_trial: bool, now: UnixMillis) -> bool {
        if self.runs.iter().any(|known| known.is_same(run)) {
            return false;
        }
        if self.runs.len() == MAX_RUNS {
            self.runs.remove(0);
        }
        self.runs.push(run.clone());
        self.crashes = self.crashes.with_crash(in_trial);
        self.updated_at = now;
        true
    }

    /// When the record expires or is released from quarantine.
    pub(super) fn due_at(&self, kind: ContentKind) -> UnixMillis {
        let ttl = match (self.crashes.is_quarantined(), kind) {
            (false, _) => SUSPECT_TTL,
            (true, ContentKind::PromptPart) => {
                let first = match self.was_cleared {
                    true => CLEARED_PART_QUARANTINE_DURATION,
                    false => PART_QUARANTINE_DURATION,
                };
                let growth = PART_QUARANTINE_GROWTH.saturating_pow(self.releases);
                first.saturating_mul(growth).min(QUARANTINE_DURATION)
            }
            (true, ContentKind::Request) => QUARANTINE_DURATION,
        };
        UnixMillis(self.updated_at.0.saturating_add(ttl.as_millis() as u64))
    }

    /// Releases the content from quarantine for one more trial, which the leader alone grants.
    pub(super) fn release(&mut self, now: UnixMillis) {
        let total = self.crashes.total.max(MANY_CRASHES);
        self.crashes = CrashCounts { total, in_trials: 0 };
        self.releases += 1;
        self.updated_at = now;
    }

    /// Eviction order when the table is full: suspects before quarantined requests, then fewest
    /// crashes, then oldest.
    pub(super) fn eviction_rank(&self) -> (bool, u32, UnixMillis) {
        (self.crashes.is_quarantined(), self.crashes.total, self.updated_at)
    }
}

/// A record with the request that it is about.
pub(super) type Entry = (ContentDigest, SuspectRecord);
