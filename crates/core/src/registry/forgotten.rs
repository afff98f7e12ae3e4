//! Runs of endpoints that have left, kept against heartbeats that come very late.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

/// Names that are kept; of more the oldest go.
const MAX_FORGOTTEN: usize = 4_096;

/// The last run under each name that is known to have left, the oldest names first.
#[derive(Debug, Default)]
pub(super) struct Forgotten {
    order: VecDeque<Arc<str>>,
    /// When the run was started; zero where that is not known.
    born: HashMap<Arc<str>, u64>,
}

impl Forgotten {
    /// Whether a run that was started then has left. One under a name whose run is not known by its
    /// start may have.
    pub(super) fn contains(&self, id: &str, born: u64) -> bool {
        self.born.get(id).is_some_and(|left| *left == 0 || born <= *left)
    }

    /// Adds a run; returns whether nothing was known of its leaving.
    pub(super) fn insert(&mut self, id: &Arc<str>, born: u64) -> bool {
        if let Some(left) = self.born.get_mut(id) {
            let is_new = *left < born;
            *left = born.max(*left);
            return is_new;
        }
        self.born.insert(id.clone(), born);
        self.order.push_back(id.clone());
        if MAX_FORGOTTEN < self.order.len()
            && let Some(oldest) = self.order.pop_front()
        {
            self.born.remove(&oldest);
        }
        true
    }

    /// Names that are kept.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.order.len()
    }
}
