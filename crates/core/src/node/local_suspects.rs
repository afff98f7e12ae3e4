//! Crashes that a daemon has observed, or that other daemons told it of, and that its copy of the
//! leader's records may lack.

use std::time::Duration;

use crate::{
    quarantine::{
        ClearRequest, ContentDigest, CrashCounts, CrashHistory, CrashReport, CrashedRun,
        SuspectCache, SuspectTable,
    },
    units::{Instant, UnixMillis},
    wire::SuspectChange,
};

/// Time without a crash after which a record is dropped. Reports to leaders are repeated as long.
pub(super) const LOCAL_TTL: Duration = Duration::from_secs(120);

/// Records of the crashes, aged by the daemon's monotonic clock.
#[derive(Debug, Default)]
pub(super) struct LocalSuspects {
    table: SuspectTable,
}

impl LocalSuspects {
    pub(super) fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Counts a crash, unless it is known; returns whether it was not.
    pub(super) fn record(&mut self, report: &CrashReport, now: Instant) -> bool {
        !self.table.record_crash(report, millis(now)).changed.is_empty()
    }

    pub(super) fn remove(&mut self, contents: &[ContentDigest]) {
        self.table.clear(&ClearRequest::new(contents));
    }

    /// Drops a record that the leader's records include.
    pub(super) fn on_change(&mut self, change: &SuspectChange) {
        let Some(content) = ContentDigest::from_slice(&change.request) else { return };
        let is_cleared = change.ended == 0;
        if is_cleared || self.table.crash_counts(&content).total <= change.ended {
            self.remove(&[content]);
        }
    }

    /// Drops old records; returns whether there were any.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let count = self.table.contents().count();
        let ttl = LOCAL_TTL.as_millis() as u64;
        self.table.remove_before(UnixMillis((millis(now).0 + 1).saturating_sub(ttl)));
        self.table.contents().count() < count
    }

    pub(super) fn next_expiry(&self) -> Option<Instant> {
        self.table.oldest().map(|at| Instant(at.0 * 1_000).after(LOCAL_TTL))
    }

    /// Number of suspects that a copy of the leader's records lacks.
    pub(super) fn count_unknown_to(&self, known: &SuspectCache) -> usize {
        self.table.contents().filter(|content| !known.crash_counts(content).is_suspect()).count()
    }
}

fn millis(now: Instant) -> UnixMillis {
    UnixMillis(now.0 / 1_000)
}

/// What a daemon knows from the leader and by itself.
pub(super) struct MergedHistory<'a> {
    pub(super) known: &'a SuspectCache,
    pub(super) local: &'a LocalSuspects,
}

impl CrashHistory for MergedHistory<'_> {
    /// A crash may be in both, so the counts are not added.
    fn crash_counts(&self, content: &ContentDigest) -> CrashCounts {
        self.known.crash_counts(content).max(self.local.table.crash_counts(content))
    }

    fn crashed_runs(&self, content: &ContentDigest) -> Vec<CrashedRun> {
        let mut runs = self.known.crashed_runs(content);
        runs.extend(self.local.table.crashed_runs(content));
        runs
    }

    fn suspects(&self) -> Vec<ContentDigest> {
        let mut all = self.known.suspects();
        all.extend(self.local.table.suspects());
        all.sort_unstable();
        all.dedup();
        all
    }
}
