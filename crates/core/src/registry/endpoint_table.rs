//! The known endpoints, indexed by name and address.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use crate::{units::Instant, wire::EndpointRecord};

/// An endpoint has started cold again if its reported cold time exceeds the known one by more than
/// this. Smaller differences come from varying delays of heartbeats.
const MIN_COLD_EXTENSION: Duration = Duration::from_millis(200);

/// State of one endpoint.
#[derive(Debug, Clone)]
pub(super) struct EndpointState {
    pub(super) record: EndpointRecord,
    pub(super) address: SocketAddr,
    /// When a heartbeat or forwarded record of it was last heard.
    pub(super) heard: Instant,
    /// Restored from disk and not heard since.
    pub(super) restored: bool,
    /// When it was first known to be leaving.
    pub(super) leaving_since: Option<Instant>,
    /// When it was found to be silent.
    pub(super) silent_since: Option<Instant>,
    /// End of its cold start, if known.
    pub(super) cold_until: Option<Instant>,
}

impl EndpointState {
    pub(super) fn new(
        record: EndpointRecord,
        address: SocketAddr,
        heard: Instant,
        now: Instant,
    ) -> EndpointState {
        let leaving_since = record.leaving.then_some(now);
        let silent_since = record.silent.then_some(now);
        let cold_until = cold_until(&record, heard);
        let restored = false;
        EndpointState { record, address, heard, restored, leaving_since, silent_since, cold_until }
    }

    /// Extends the cold start to `until`; returns whether that is a new cold start.
    pub(super) fn extend_cold(&mut self, until: Instant) -> bool {
        let is_new = self.cold_until.is_none_or(|known| known.after(MIN_COLD_EXTENSION) < until);
        self.cold_until = self.cold_until.max(Some(until));
        is_new
    }

    /// Merges a record of the same run; returns whether it contains anything new.
    fn merge(&mut self, record: EndpointRecord, address: SocketAddr, heard: Instant) -> bool {
        let newer = self.record.sequence < record.sequence;
        if newer && !record.silent {
            self.heard = self.heard.max(heard);
            self.restored = false;
        }
        let cold = cold_until(&record, heard).filter(|_| newer);
        let is_new_cold_start = cold.is_some_and(|until| self.extend_cold(until));
        let known = &self.record;
        let mut merged = if newer { record.clone() } else { known.clone() };
        // A leaving notice may come without a heartbeat number.
        merged.leaving = known.leaving || record.leaving;
        // Of two daemons with the same heartbeat, the one that misses the next is right. Each field
        // changes in one direction only, so that forwarding terminates in any order of arrival.
        if known.sequence == record.sequence {
            merged.silent = known.silent || record.silent;
        }
        let unchanged =
            EndpointRecord { sequence: known.sequence, cold_ms: known.cold_ms, ..merged.clone() }
                == *known;
        self.record = merged;
        self.address = address;
        !unchanged || is_new_cold_start
    }

    pub(super) fn update_timers(&mut self, now: Instant) {
        if self.record.leaving {
            self.leaving_since.get_or_insert(now);
        }
        match self.record.silent {
            true => drop(self.silent_since.get_or_insert(now)),
            false => self.silent_since = None,
        }
    }
}

/// End of the cold start that a record heard at `heard` reports.
fn cold_until(record: &EndpointRecord, heard: Instant) -> Option<Instant> {
    (0 < record.cold_ms).then(|| heard.after(Duration::from_millis(record.cold_ms)))
}

/// The endpoints. The index by address avoids a scan of all endpoints for each new record.
#[derive(Debug, Default)]
pub(super) struct EndpointTable {
    by_id: BTreeMap<Arc<str>, EndpointState>,
    by_address: HashMap<SocketAddr, BTreeSet<Arc<str>>>,
}

impl EndpointTable {
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(super) fn contains(&self, id: &str) -> bool {
        self.by_id.contains_key(id)
    }

    pub(super) fn get(&self, id: &str) -> Option<&EndpointState> {
        self.by_id.get(id)
    }

    /// The caller must not change the address.
    pub(super) fn get_mut(&mut self, id: &str) -> Option<&mut EndpointState> {
        self.by_id.get_mut(id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &EndpointState)> {
        self.by_id.iter()
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &EndpointState> {
        self.by_id.values()
    }

    /// Endpoints at an address.
    pub(super) fn at(&self, address: SocketAddr) -> impl Iterator<Item = &EndpointState> {
        let ids = self.by_address.get(&address).into_iter().flatten();
        ids.filter_map(|id| self.by_id.get(id))
    }

    pub(super) fn insert(&mut self, id: Arc<str>, known: EndpointState) {
        self.by_address.entry(known.address).or_default().insert(id.clone());
        self.by_id.insert(id, known);
    }

    pub(super) fn remove(&mut self, id: &str) {
        if let Some((id, known)) = self.by_id.remove_entry(id) {
            self.remove_from_address(&id, known.address);
        }
    }

    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut EndpointState> {
        self.by_id.values_mut()
    }

    /// Removes the endpoints at an address.
    pub(super) fn remove_at(&mut self, address: SocketAddr) {
        for id in self.by_address.remove(&address).into_iter().flatten() {
            self.by_id.remove(&id);
        }
    }

    /// Merges a record into a known endpoint; returns its state and whether the record contains
    /// anything new.
    pub(super) fn merge(
        &mut self,
        id: &Arc<str>,
        record: EndpointRecord,
        address: SocketAddr,
        heard: Instant,
    ) -> Option<(&mut EndpointState, bool)> {
        let before = self.by_id.get(id)?.address;
        if before != address {
            self.remove_from_address(id, before);
            self.by_address.entry(address).or_default().insert(id.clone());
        }
        let known = self.by_id.get_mut(id)?;
        let is_new = known.merge(record, address, heard);
        Some((known, is_new))
    }

    fn remove_from_address(&mut self, id: &Arc<str>, address: SocketAddr) {
        if let Some(ids) = self.by_address.get_mut(&address) {
            ids.remove(id);
            if ids.is_empty() {
                self.by_address.remove(&address);
            }
        }
    }
}
