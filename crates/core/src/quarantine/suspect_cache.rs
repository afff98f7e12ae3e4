//! A daemon's copy of the suspect table.

use std::collections::BTreeMap;

use super::{ContentDigest, CrashCounts, SuspectCacheState};
use crate::wire::{SuspectChange, SuspectNews};

/// Crash counts of suspects, as received from the leader.
#[derive(Debug)]
pub(crate) struct SuspectCache {
    state: SuspectCacheState,
    suspects: BTreeMap<ContentDigest, CrashCounts>,
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

    pub(crate) fn crash_counts(&self, request: &ContentDigest) -> CrashCounts {
        self.suspects.get(request).copied().unwrap_or_default()
    }

    /// Numbers of suspects and of quarantined requests.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let quarantined = self.suspects.values().filter(|crashes| crashes.is_quarantined());
        (self.suspects.len(), quarantined.count())
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
            self.suspects.insert(request, crashes);
        } else {
            self.suspects.remove(&request);
        }
    }
}
