//! Recent deltas, so that a daemon a few versions behind is not sent the whole document.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::{
    config::{Delta, Document},
    state::{ConfigChange, EncodedDelta, State},
};

const MAX_DELTAS: usize = 256;

/// The latest accepted deltas, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Updates {
    recent: VecDeque<ConfigChange>,
    /// The whole document, encoded once for all daemons that start anew.
    whole: Option<ConfigChange>,
}

impl Updates {
    /// Notes an accepted configuration.
    pub(crate) fn push(&mut self, change: ConfigChange) {
        if MAX_DELTAS <= self.recent.len() {
            self.recent.pop_front();
        }
        self.recent.push_back(change);
    }

    /// What a daemon at `base` lacks; the whole document when its base is not known.
    pub(crate) fn since(&mut self, base: u64, state: &State) -> ConfigChange {
        let known = self.recent.iter().position(|change| change.base == base);
        let Some(first) = known.filter(|_| 0 < base) else { return self.whole(state) };
        let mut merged = Delta::default();
        for change in self.recent.iter().skip(first) {
            // Each was decoded once when it was applied.
            merge(&mut merged, EncodedDelta::read(change.delta.clone()).unwrap_or_default());
        }
        change(base, &merged, state)
    }

    fn whole(&mut self, state: &State) -> ConfigChange {
        if let Some(whole) = self.whole.as_ref().filter(|w| w.version == state.version()) {
            return whole.clone();
        }
        let whole = change(0, &Document::default().delta_to(state.document()), state);
        self.whole = Some(whole.clone());
        whole
    }
}

fn change(base: u64, delta: &Delta, state: &State) -> ConfigChange {
    let hash = Bytes::copy_from_slice(&state.hash().0);
    let delta = EncodedDelta::write(delta);
    ConfigChange { version: state.version(), base, hash, delta }
}

fn merge(older: &mut Delta, newer: Delta) {
    for name in &newer.removed {
        older.changed.remove(name);
    }
    older.removed.retain(|name| !newer.changed.contains_key(name));
    older.removed.extend(newer.removed);
    older.changed.extend(newer.changed);
}
