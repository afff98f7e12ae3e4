//! Recent deltas, so that a daemon a few versions behind is not sent the whole document.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::{
    config::{Delta, Document},
    state::{ConfigCommand, EncodedDelta, State},
    wire::ConfigUpdate,
};

const MAX_DELTAS: usize = 256;

/// The latest accepted deltas, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Updates {
    recent: VecDeque<ConfigUpdate>,
    /// The whole document, encoded once for all daemons that start anew.
    whole: Option<ConfigUpdate>,
}

impl Updates {
    /// Notes an accepted configuration.
    pub(crate) fn push(&mut self, command: ConfigCommand) -> ConfigUpdate {
        let ConfigCommand { version, base, hash, delta } = command;
        let update = ConfigUpdate { base, version, hash, delta };
        if MAX_DELTAS <= self.recent.len() {
            self.recent.pop_front();
        }
        self.recent.push_back(update.clone());
        update
    }

    /// What a daemon at `base` lacks; the whole document when its base is not known.
    pub(crate) fn since(&mut self, base: u64, state: &State) -> ConfigUpdate {
        let known = self.recent.iter().position(|update| update.base == base);
        let Some(first) = known.filter(|_| 0 < base) else { return self.whole(state) };
        let mut merged = Delta::default();
        for update in self.recent.iter().skip(first) {
            // Each was decoded once when it was applied.
            merge(&mut merged, EncodedDelta::read(update.delta.clone()).unwrap_or_default());
        }
        self.update(base, &merged, state)
    }

    fn whole(&mut self, state: &State) -> ConfigUpdate {
        if let Some(whole) = self.whole.as_ref().filter(|w| w.version == state.version()) {
            return whole.clone();
        }
        let whole = self.update(0, &Document::default().delta_to(state.document()), state);
        self.whole = Some(whole.clone());
        whole
    }

    fn update(&self, base: u64, delta: &Delta, state: &State) -> ConfigUpdate {
        let hash = Bytes::copy_from_slice(&state.hash().0);
        let delta = EncodedDelta::write(delta);
        ConfigUpdate { base, version: state.version(), hash, delta }
    }
}

fn merge(older: &mut Delta, newer: Delta) {
    for name in &newer.removed {
        older.changed.remove(name);
    }
    older.removed.retain(|name| !newer.changed.contains_key(name));
    older.removed.extend(newer.removed);
    older.changed.extend(newer.changed);
}
