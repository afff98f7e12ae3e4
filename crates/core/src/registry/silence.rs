//! Detects endpoints whose heartbeats have stopped.

use std::sync::Arc;

use super::{Registry, endpoint_table::EndpointState};
use crate::{units::Instant, wire::EndpointRecord};

/// Missed heartbeats after which an endpoint is silent.
const MISSED_HEARTBEATS: u32 = 4;
/// Missed heartbeats after which a restored endpoint is silent: it may have left during the
/// restart, and would otherwise send a heartbeat within one interval.
const MISSED_HEARTBEATS_RESTORED: u32 = 2;
/// The shorter limit for restored endpoints applies up to this number of overdue ones, or if they
/// are a small fraction of those heard. After a failure of all control VMs thousands of heartbeats
/// are late, and announcing so many silent endpoints would overload the new leader.
const MAX_OVERDUE_RESTORED: usize = 32;
const MIN_HEARD_PER_OVERDUE: usize = 4;

impl Registry {
    /// Marks endpoints whose heartbeats stopped since the last call as silent, and returns their
    /// records. Only control VMs hear all heartbeats.
    pub fn detect_silent(&mut self, now: Instant) -> Vec<EndpointRecord> {
        let limit = self.heartbeat * MISSED_HEARTBEATS;
        let is_heard = |known: &EndpointState| !known.restored && now.since(known.heard) < limit;
        let heard = self.known.values().filter(|known| is_heard(known)).count();
        let overdue =
            self.overdue(MISSED_HEARTBEATS_RESTORED, now).filter(|known| known.restored).count();
        // After a restart many heartbeats may be late, since endpoints first try other control VMs.
        let is_backlogged =
            MAX_OVERDUE_RESTORED < overdue && heard < overdue * MIN_HEARD_PER_OVERDUE;
        let missed = if is_backlogged { MISSED_HEARTBEATS } else { MISSED_HEARTBEATS_RESTORED };
        let restored = self.overdue(missed, now).filter(|known| known.restored);
        let others = self.overdue(MISSED_HEARTBEATS, now).filter(|known| !known.restored);
        let silent: Vec<Arc<str>> =
            restored.chain(others).map(|known| known.record.id.as_str().into()).collect();
        // If most endpoints are not heard, the fault is more likely on this side.
        if heard < silent.len() {
            return Vec::new();
        }
        silent.into_iter().filter_map(|id| self.mark_silent(&id, now)).collect()
    }

    /// Endpoints that missed this many heartbeats and are not yet marked as silent.
    fn overdue(&self, missed: u32, now: Instant) -> impl Iterator<Item = &EndpointState> {
        let limit = self.heartbeat * missed;
        self.known
            .values()
            .filter(move |known| !known.record.silent && limit <= now.since(known.heard))
    }

    fn mark_silent(&mut self, id: &Arc<str>, now: Instant) -> Option<EndpointRecord> {
        let record = self.update(id, |known| {
            known.record.silent = true;
            known.update_timers(now);
            known.record.clone()
        });
        self.mark_changed(id);
        record
    }
}
