//! What is known of one request under which endpoints have ended.

use std::time::Duration;

use super::RequestDigest;
use crate::units::UnixMillis;

/// So many endpoints have ended under a request when it is sent to none any more, if enough of them ended
/// in trials. Two could be chance on a day on which engines fail in numbers; users bear three.
const ENDS_TO_QUARANTINE: u32 = 3;
/// So many of them must have ended in trials. Tries at the same time may all end with one rack, and a
/// popular request is at many ends of a bad minute; a trial is one run, after the suspicion. One trial
/// could still meet the end of an engine that fails by itself.
const TRIALS_TO_QUARANTINE: u32 = 2;
/// From so many ends on a trial runs apart from others: of those that were at one end, up to 48 at once on
/// the users' engines, all but one are innocent, and an engine for each would leave none for the others.
const ENDS_TO_RUN_APART: u32 = 2;
/// A suspect under which nothing has ended for this long is no longer one. Callers that repeat a
/// request do so within minutes.
pub(super) const SUSPECT_LIFE: Duration = Duration::from_secs(600);
/// A request is kept from endpoints for this long after the last end, and then gets one trial more:
/// time for operators to mend or replace what it ends, and at most one end more in an hour if they do not.
pub(super) const QUARANTINE_LIFE: Duration = Duration::from_secs(3_600);
/// Ends of which the endpoint's run is kept, to know the same end again when another daemon tells of it.
const RUNS_KEPT: usize = 8;

/// Runs of an endpoint that cannot be told apart are the same if their ends were seen within this time, in
/// ms: far over the differences between the clocks of daemons, and less than an endpoint takes to start
/// and end again.
const SAME_END: u64 = 1_000;

/// A run of an endpoint that has ended.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CrashedRun {
    /// Name of the endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// When the run was started, by its own word; zero where it has not said.
    #[prost(uint64, tag = "2")]
    pub started_at: u64,
    /// When its end was seen, in ms since the Unix epoch, where name and start do not tell one run of the
    /// endpoint from the next; else zero.
    #[prost(uint64, tag = "3")]
    pub detected_ms: u64,
}

impl CrashedRun {
    fn is_same(&self, other: &CrashedRun) -> bool {
        let is_at_once = self.detected_ms.abs_diff(other.detected_ms) < SAME_END;
        self.endpoint == other.endpoint && self.started_at == other.started_at && is_at_once
    }
}

/// How a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CrashCounts {
    /// Endpoints that have ended under it.
    pub total: u32,
    /// Those of them that ended in trials.
    pub in_trials: u32,
}

impl CrashCounts {
    /// Whether any endpoint has ended under it.
    pub fn is_suspect(self) -> bool {
        0 < self.total
    }

    /// Whether it is sent to no endpoint.
    pub fn is_quarantined(self) -> bool {
        ENDS_TO_QUARANTINE <= self.total && TRIALS_TO_QUARANTINE <= self.in_trials
    }

    /// Whether its trials run apart from other requests.
    pub fn needs_isolation(self) -> bool {
        ENDS_TO_RUN_APART <= self.total
    }

    /// The higher of two counts of each kind.
    pub(crate) fn max(self, other: CrashCounts) -> CrashCounts {
        CrashCounts {
            total: self.total.max(other.total),
            in_trials: self.in_trials.max(other.in_trials),
        }
    }

    /// With one end more.
    pub(crate) fn with_crash(self, in_trial: bool) -> CrashCounts {
        CrashCounts { total: self.total + 1, in_trials: self.in_trials + u32::from(in_trial) }
    }
}

/// What the control VMs keep of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SuspectRecord {
    pub(super) crashes: CrashCounts,
    /// The last runs that ended under it, the newest last.
    pub(super) runs: Vec<CrashedRun>,
    /// When the last of them ended, by the log's clock.
    pub(super) updated_at: UnixMillis,
    /// Number of the change that made it so.
    pub(super) revision: u64,
}

impl SuspectRecord {
    pub(super) fn new() -> SuspectRecord {
        SuspectRecord {
            crashes: CrashCounts::default(),
            runs: Vec::new(),
            updated_at: UnixMillis(0),
            revision: 0,
        }
    }

    /// Counts an end, unless it is known; tells whether it was not.
    pub(super) fn end(&mut self, run: &CrashedRun, in_trial: bool, now: UnixMillis) -> bool {
        if self.runs.iter().any(|known| known.is_same(run)) {
            return false;
        }
        if self.runs.len() == RUNS_KEPT {
            self.runs.remove(0);
        }
        self.runs.push(run.clone());
        self.crashes = self.crashes.with_crash(in_trial);
        self.updated_at = now;
        true
    }

    /// When it changes by itself.
    pub(super) fn due(&self) -> UnixMillis {
        let life = if self.crashes.is_quarantined() { QUARANTINE_LIFE } else { SUSPECT_LIFE };
        UnixMillis(self.updated_at.0.saturating_add(life.as_millis() as u64))
    }

    /// Lets one trial more run, after the time in quarantine.
    pub(super) fn release(&mut self, now: UnixMillis) {
        self.crashes.in_trials = TRIALS_TO_QUARANTINE - 1;
        self.updated_at = now;
    }

    /// The order in which records give way when there are too many: suspects first, those with the
    /// fewest ends of them, the oldest of these.
    pub(super) fn worth(&self) -> (bool, u32, UnixMillis) {
        (self.crashes.is_quarantined(), self.crashes.total, self.updated_at)
    }
}

/// A record with the request that it is about.
pub(super) type Entry = (RequestDigest, SuspectRecord);
