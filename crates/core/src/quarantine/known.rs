//! A daemon's copy of the records.

use std::collections::BTreeMap;

use super::{CopyState, RequestDigest, Standing};
use crate::wire::{SuspectChange, SuspectNews};

/// How the requests stand under which endpoints have ended, as a daemon was told.
#[derive(Debug)]
pub(crate) struct Known {
    state: CopyState,
    standings: BTreeMap<RequestDigest, Standing>,
}

impl Default for Known {
    fn default() -> Known {
        Known { state: CopyState { known: 0, filling: true }, standings: BTreeMap::new() }
    }
}

impl Known {
    /// How much is known.
    pub(crate) fn state(&self) -> CopyState {
        self.state
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.standings.is_empty()
    }

    pub(crate) fn standing(&self, request: &RequestDigest) -> Standing {
        self.standings.get(request).copied().unwrap_or_default()
    }

    /// How many are known, and how many of them are kept from endpoints.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let quarantined = self.standings.values().filter(|standing| standing.is_quarantined());
        (self.standings.len(), quarantined.count())
    }

    /// Takes what has changed; tells whether that is anything. What does not follow on what is known
    /// is left for the next answer to a poll, which does.
    pub(crate) fn take(&mut self, news: &SuspectNews) -> bool {
        let CopyState { known, filling } = self.state;
        if news.reset {
            self.standings.clear();
        } else if known < news.after || news.up_to < known {
            return false;
        }
        let is_news = news.reset || known < news.up_to;
        let filling = (news.reset || filling) && news.more;
        self.state = CopyState { known: news.up_to, filling };
        for change in &news.changes {
            self.apply(change);
        }
        is_news
    }

    /// Forgets a request that the leader has said is no suspect any more.
    pub(crate) fn forget(&mut self, request: &RequestDigest) {
        self.standings.remove(request);
    }

    fn apply(&mut self, change: &SuspectChange) {
        let Some(request) = RequestDigest::from_slice(&change.request) else { return };
        let standing = Standing { ended: change.ended, in_trials: change.in_trials };
        if standing.is_suspect() {
            self.standings.insert(request, standing);
        } else {
            self.standings.remove(&request);
        }
    }
}
