//! Finds the endpoints whose heartbeats have stopped.

use std::sync::Arc;

use super::{Registry, known::Known};
use crate::{units::Instant, wire::EndpointRecord};

/// Heartbeats that may be missed before an endpoint counts as silent.
const MISSED_HEARTBEATS: u32 = 4;
/// The same for one that is only remembered from before this daemon's start: it may have left
/// meanwhile, and its heartbeat comes within one interval if it has not.
const MISSED_IF_RECALLED: u32 = 2;
/// The shorter time holds while no more of them are missing than this, or one in so many of those that
/// are heard. After a failure of all control VMs thousands of heartbeats come late, and word of 3,000
/// silent endpoints to 300 daemons (108 MB) would hold up the leader that has just been elected.
const FEW_RECALLED: usize = 32;
const SMALL_PART_RECALLED: usize = 4;

impl Registry {
    /// Finds the endpoints whose heartbeats have stopped since the last call. Only control
    /// VMs hear every heartbeat.
    pub fn detect_silent(&mut self, now: Instant) -> Vec<EndpointRecord> {
        let limit = self.heartbeat * MISSED_HEARTBEATS;
        let is_heard = |known: &Known| !known.recalled && now.since(known.heard) < limit;
        let heard = self.known.values().filter(|known| is_heard(known)).count();
        let overdue = self.overdue(MISSED_IF_RECALLED, now).filter(|known| known.recalled).count();
        // After a start many heartbeats may be late, as all are sent elsewhere first.
        let waits = FEW_RECALLED < overdue && heard < overdue * SMALL_PART_RECALLED;
        let missed = if waits { MISSED_HEARTBEATS } else { MISSED_IF_RECALLED };
        let recalled = self.overdue(missed, now).filter(|known| known.recalled);
        let others = self.overdue(MISSED_HEARTBEATS, now).filter(|known| !known.recalled);
        let silent: Vec<Arc<str>> =
            recalled.chain(others).map(|known| known.record.id.as_str().into()).collect();
        // Where most are not heard the fault is more likely here than at every endpoint.
        if heard < silent.len() {
            return Vec::new();
        }
        silent.into_iter().filter_map(|id| self.fall_silent(&id, now)).collect()
    }

    /// Those that are not known to be silent and have missed so many heartbeats.
    fn overdue(&self, missed: u32, now: Instant) -> impl Iterator<Item = &Known> {
        let limit = self.heartbeat * missed;
        self.known
            .values()
            .filter(move |known| !known.record.silent && limit <= now.since(known.heard))
    }

    fn fall_silent(&mut self, id: &str, now: Instant) -> Option<EndpointRecord> {
        let known = self.known.get_mut(id)?;
        known.record.silent = true;
        known.note_state(now);
        self.revision += 1;
        Some(known.record.clone())
    }
}
