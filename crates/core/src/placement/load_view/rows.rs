//! Counts by service, kind and workspace, bounded in number.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::window::{Count, Window};
use crate::{placement::Request, units::Instant};

/// Most rows that are counted apart, about 400 bytes each; requests of further ones share one row.
pub(super) const MAX_ROWS: usize = 2_048;
/// Minimum interval between searches for idle rows, so that a full table costs little.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Name in place of those that are not counted or shown apart.
pub(super) const OTHER: &str = "(other)";

/// The requests that a row counts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowKey {
    /// Model or service.
    pub service: Arc<str>,
    /// Kind of request.
    pub kind: Arc<str>,
    /// Workspace.
    pub workspace: Arc<str>,
}

impl RowKey {
    fn of(req: &Request) -> RowKey {
        RowKey {
            service: req.target.name().into(),
            kind: req.kind.clone(),
            workspace: req.workspace.clone(),
        }
    }

    fn other() -> RowKey {
        RowKey { service: OTHER.into(), kind: OTHER.into(), workspace: OTHER.into() }
    }
}

/// Counts of one row.
#[derive(Debug, Default)]
pub(super) struct Row {
    pub(super) window: Window,
    pub(super) waiting: u64,
    /// Requests that may still be counted here; the row is kept until there are none.
    open: u64,
    /// When the request that was rejected last may come back.
    pub(super) next_return: Option<Instant>,
}

impl Row {
    fn is_idle(&self, now: Instant) -> bool {
        self.open == 0 && self.window.totals(now).iter().all(|count| *count == 0)
    }
}

/// All rows.
#[derive(Debug, Default)]
pub(super) struct Rows {
    rows: HashMap<Arc<RowKey>, Row>,
    next_sweep: Instant,
}

impl Rows {
    /// The row of a request that begins to wait; there is one for all further ones once there are
    /// [`MAX_ROWS`].
    pub(super) fn open(&mut self, req: &Request, now: Instant) -> Arc<RowKey> {
        let key = RowKey::of(req);
        let known = self.rows.get_key_value(&key).map(|(known, _)| known.clone());
        let key = known.unwrap_or_else(|| {
            if MAX_ROWS <= self.rows.len() {
                self.sweep(now);
            }
            Arc::new(if MAX_ROWS <= self.rows.len() { RowKey::other() } else { key })
        });
        let row = self.rows.entry(key.clone()).or_default();
        row.open += 1;
        row.waiting += 1;
        key
    }

    pub(super) fn count(&mut self, key: &RowKey, count: Count, now: Instant) {
        if let Some(row) = self.rows.get_mut(key) {
            row.window.add(count, now);
        }
    }

    pub(super) fn stop_waiting(&mut self, key: &RowKey) {
        if let Some(row) = self.rows.get_mut(key) {
            row.waiting -= 1;
        }
    }

    /// Ends the counting of a request that does not wait.
    pub(super) fn close(&mut self, key: &RowKey) {
        if let Some(row) = self.rows.get_mut(key) {
            row.open -= 1;
        }
    }

    pub(super) fn set_next_return(&mut self, key: &RowKey, at: Option<Instant>) {
        if let Some(row) = self.rows.get_mut(key) {
            row.next_return = at;
        }
    }

    /// All rows with any request in the window or waiting.
    pub(super) fn busy(&self, now: Instant) -> impl Iterator<Item = (&RowKey, &Row)> {
        let busy = self.rows.iter().filter(move |(_, row)| !row.is_idle(now));
        busy.map(|(key, row)| (&**key, row))
    }

    fn sweep(&mut self, now: Instant) {
        if self.next_sweep <= now {
            self.next_sweep = now.after(SWEEP_INTERVAL);
            self.rows.retain(|_, row| !row.is_idle(now));
        }
    }
}
