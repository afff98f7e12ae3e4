//! Runs that have left, remembered to ignore their delayed heartbeats.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

/// Maximum names; the oldest are dropped first.
const MAX_NAMES: usize = 4_096;

/// The latest departed run of each name, oldest names first.
#[derive(Debug, Default)]
pub(super) struct DepartedRuns {
    order: VecDeque<Arc<str>>,
    /// Start time of the run; 0 if unknown.
    started_at: HashMap<Arc<str>, u64>,
}

impl DepartedRuns {
    /// Whether the run with this start time has left. An unknown start time matches every run of
    /// the name.
    pub(super) fn contains(&self, id: &str, started_at: u64) -> bool {
        self.started_at.get(id).is_some_and(|left| *left == 0 || started_at <= *left)
    }

    /// Adds a run; returns whether its departure is new.
    pub(super) fn insert(&mut self, id: &Arc<str>, started_at: u64) -> bool {
        if let Some(left) = self.started_at.get_mut(id) {
            let is_new = *left < started_at;
            *left = started_at.max(*left);
            return is_new;
        }
        self.started_at.insert(id.clone(), started_at);
        self.order.push_back(id.clone());
        if MAX_NAMES < self.order.len()
            && let Some(oldest) = self.order.pop_front()
        {
            self.started_at.remove(&oldest);
        }
        true
    }

    /// Number of names.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.order.len()
    }
}
