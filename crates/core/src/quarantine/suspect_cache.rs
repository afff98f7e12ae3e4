//! A daemon's copy of the records.

use std::collections::BTreeMap;

use super::{CrashCounts, RequestDigest, SuspectCacheState};
use crate::wire::{SuspectChange, SuspectNews};

/// How the requests stand under which endpoints have ended, as a daemon was told.
#[derive(Debug)]
pub(crate) struct SuspectCache {
    state: SuspectCacheState,
    standings: BTreeMap<RequestDigest, CrashCounts>,
}

impl Default for SuspectCache {
    fn default() -> SuspectCache {
        SuspectCache {
            state: SuspectCacheState { revision: 0, initializing: true },
            standings: BTreeMap::new(),
        }
    }
}

impl SuspectCache {
    /// How much is known.
    pub(crate) fn state(&self) -> SuspectCacheState {
        self.state
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.standings.is_empty()
    }

    pub(crate) fn crash_counts(&self, request: &RequestDigest) -> CrashCounts {
        self.standings.get(request).copied().unwrap_or_default()
    }

    /// How many are known, and how many of them are kept from endpoints.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let quarantined = self.standings.values().filter(|standing| standing.is_quarantined());
        (self.standings.len(), quarantined.count())
    }

    /// Takes what has changed; tells whether that is anything. What does not follow on what is known
    /// is left for the next answer to a poll, which does.
    pub(crate) fn apply(&mut self, news: &SuspectNews) -> bool {
        let SuspectCacheState { revision: known, initializing: filling } = self.state;
        if news.reset {
            self.standings.clear();
        } else if known < news.after || news.up_to < known {
            return false;
        }
        let is_news = news.reset || known < news.up_to;
        let filling = (news.reset || filling) && news.more;
        self.state = SuspectCacheState { revision: news.up_to, initializing: filling };
        for change in &news.changes {
            self.apply_change(change);
        }
        is_news
    }

    /// Forgets a request that the leader has said is no suspect any more.
    pub(crate) fn remove(&mut self, request: &RequestDigest) {
        self.standings.remove(request);
    }

    fn apply_change(&mut self, change: &SuspectChange) {
        let Some(request) = RequestDigest::from_slice(&change.request) else { return };
        let standing = CrashCounts { total: change.ended, in_trials: change.in_trials };
        if standing.is_suspect() {
            self.standings.insert(request, standing);
        } else {
            self.standings.remove(&request);
        }
    }
}
