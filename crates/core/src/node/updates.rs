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
    pub(crate) fn since(&self, base: u64, state: &State) -> ConfigUpdate {
        let known = self.recent.iter().position(|update| update.base == base);
        let hash = Bytes::copy_from_slice(&state.hash().0);
        let Some(first) = known.filter(|_| 0 < base) else {
            let whole = Document::default().delta_to(state.document());
            let delta = EncodedDelta::from(&whole);
            return ConfigUpdate { base: 0, version: state.version(), hash, delta };
        };
        let mut merged = Delta::default();
        for update in self.recent.iter().skip(first) {
            merge(&mut merged, Delta::from(update.delta.clone()));
        }
        let delta = EncodedDelta::from(&merged);
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
