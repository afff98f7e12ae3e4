//! A daemon's copy of the suspect table.

use std::collections::BTreeMap;

use super::{ContentDigest, CrashCounts, CrashHistory, CrashedRun, SuspectCacheState};
use crate::wire::{SuspectChange, SuspectNews};

/// A suspect as received from the leader.
#[derive(Debug)]
struct CachedSuspect {
    crashes: CrashCounts,
    /// The most recently crashed runs.
    runs: Vec<CrashedRun>,
}

/// Crash counts of suspects, as received from the leader.
#[derive(Debug)]
pub(crate) struct SuspectCache {
    state: SuspectCacheState,
    suspects: BTreeMap<ContentDigest, CachedSuspect>,
}

impl Default for SuspectCache {
    fn default() -> SuspectCache {
        SuspectCache {
            state: SuspectCacheState { revision: 0, initializing: true },
            suspects: BTreeMap::new(),
        }
    }
}

impl SuspectCache {
    /// State of the cache, which determines the changes to request.
    pub(crate) fn state(&self) -> SuspectCacheState {
        self.state
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Number of suspects.
    pub(crate) fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Applies changes; returns whether the cache changed. Changes that do not follow on the known
    /// revision are skipped, since the next poll reply contains them.
    pub(crate) fn apply(&mut self, news: &SuspectNews) -> bool {
        let SuspectCacheState { revision: known, initializing } = self.state;
        if news.reset {
            self.suspects.clear();
        } else if known < news.after || news.up_to < known {
            return false;
        }
        let is_new = news.reset || known < news.up_to;
        let initializing = (news.reset || initializing) && news.more;
        self.state = SuspectCacheState { revision: news.up_to, initializing };
        for change in &news.changes {
            self.apply_change(change);
        }
        is_new
    }

    /// Removes a request that the leader has cleared.
    pub(crate) fn remove(&mut self, request: &ContentDigest) {
        self.suspects.remove(request);
    }

    fn apply_change(&mut self, change: &SuspectChange) {
        let Some(request) = ContentDigest::from_slice(&change.request) else { return };
        let crashes = CrashCounts { total: change.ended, in_trials: change.in_trials };
        if crashes.is_suspect() {
            let runs = change.runs.clone();
            self.suspects.insert(request, CachedSuspect { crashes, runs });
        } else {
            self.suspects.remove(&request);
        }
    }
}

impl CrashHistory for SuspectCache {
    fn crash_counts(&self, content: &ContentDigest) -> CrashCounts {
        self.suspects.get(content).map_or(CrashCounts::default(), |suspect| suspect.crashes)
    }

    fn crashed_runs(&self, content: &ContentDigest) -> Vec<CrashedRun> {
        self.suspects.get(content).map(|suspect| suspect.runs.clone()).unwrap_or_default()
    }

    fn suspects(&self) -> Vec<ContentDigest> {
        self.suspects.keys().copied().collect()
    }
}
