//! The known endpoints, indexed by name and address, with a digest that is kept up to date.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use super::digest::{self, RegistryDigest};
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
    /// Position in the index.
    at: usize,
}

/// What scans over all endpoints need, close together in memory.
#[derive(Debug)]
pub(super) struct IndexEntry {
    pub(super) id: Arc<str>,
    /// Hash of the name.
    pub(super) id_hash: u64,
    /// Hash of the record in the digest.
    pub(super) record_hash: u64,
    /// Number of the service.
    pub(super) service: usize,
    pub(super) leaving: bool,
}

impl EndpointState {
    pub(super) fn new(
        record: EndpointRecord,
        address: SocketAddr,
        heard: Instant,
        now: Instant,
    ) -> EndpointState {
        EndpointState {
            address,
            heard,
            restored: false,
            leaving_since: record.leaving.then_some(now),
            silent_since: record.silent.then_some(now),
            cold_until: cold_until(&record, heard),
            at: 0,
            record,
        }
    }

    /// Whether it sends heartbeats and has not announced that it leaves.
    pub(super) fn is_heard(&self) -> bool {
        !self.record.leaving && !self.record.silent
    }

    /// Extends the cold start to `until`; returns whether that is a new cold start.
    pub(super) fn extend_cold(&mut self, until: Instant) -> bool {
        let is_new = self.cold_until.is_none_or(|known| known.after(MIN_COLD_EXTENSION) < until);
        self.cold_until = self.cold_until.max(Some(until));
        is_new
    }

    /// Merges a record of the same run; returns whether it contains anything new.
    pub(super) fn merge(
        &mut self,
        record: EndpointRecord,
        address: SocketAddr,
        heard: Instant,
    ) -> bool {
        let newer = self.record.sequence < record.sequence;
        if newer && !record.silent {
            self.heard = self.heard.max(heard);
            self.restored = false;
        }
        let cold = cold_until(&record, heard).filter(|_| newer);
        let is_new_cold_start = cold.is_some_and(|until| self.extend_cold(until));
        let known = &self.record;
        let mut merged = if newer { record.clone() } else { known.clone() };
        if merged.software_version.is_empty() {
            merged.software_version.clone_from(&known.software_version);
        }
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
    by_address: HashMap<SocketAddr, Vec<Arc<str>>>,
    index: Vec<IndexEntry>,
    /// Services by number; numbers are never reused.
    services: Vec<String>,
    /// Endpoints of each service that are heard.
    heard: HashMap<String, usize>,
    digest: RegistryDigest,
}

impl EndpointTable {
    pub(super) fn contains(&self, id: &str) -> bool {
        self.by_id.contains_key(id)
    }

    pub(super) fn get(&self, id: &str) -> Option<&EndpointState> {
        self.by_id.get(id)
    }

    /// An endpoint with its shared name.
    pub(super) fn get_entry(&self, id: &str) -> Option<(&Arc<str>, &EndpointState)> {
        self.by_id.get_key_value(id)
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

    /// Names of the endpoints at an address.
    pub(super) fn ids_at(&self, address: SocketAddr) -> Vec<Arc<str>> {
        self.by_address.get(&address).cloned().unwrap_or_default()
    }

    /// Digest of all records.
    pub(super) fn digest(&self) -> &RegistryDigest {
        &self.digest
    }

    /// Whether any endpoint of a service is heard.
    pub(super) fn is_any_heard(&self, service: &str) -> bool {
        self.heard.contains_key(service)
    }

    /// Number of endpoints of each service that are heard.
    pub(super) fn count_heard(&self) -> impl Iterator<Item = (&str, usize)> {
        self.heard.iter().map(|(service, count)| (service.as_str(), *count))
    }

    /// The index.
    pub(super) fn index(&self) -> &[IndexEntry] {
        &self.index
    }

    /// Services by number.
    pub(super) fn services(&self) -> &[String] {
        &self.services
    }

    pub(super) fn insert(&mut self, id: Arc<str>, mut known: EndpointState) {
        self.remove(&id);
        let ids = self.by_address.entry(known.address).or_insert_with(|| Vec::with_capacity(1));
        ids.push(id.clone());
        let entry = IndexEntry {
            id: id.clone(),
            id_hash: digest::hash_of_id(&id),
            record_hash: digest::hash_of(&known.record),
            service: self.number_of_service(&known.record.service),
            leaving: known.record.leaving,
        };
        self.digest.add(entry.id_hash, entry.record_hash);
        known.at = self.index.len();
        self.index.push(entry);
        if known.is_heard() {
            self.adjust_heard(&known.record.service, 1);
        }
        self.by_id.insert(id, known);
    }

    pub(super) fn remove(&mut self, id: &str) -> Option<EndpointState> {
        let (id, known) = self.by_id.remove_entry(id)?;
        self.remove_from_address(&id, known.address);
        let entry = self.index.swap_remove(known.at);
        self.digest.remove(entry.id_hash, entry.record_hash);
        let moved = self.index.get(known.at).map(|moved| moved.id.clone());
        if let Some(moved) = moved.and_then(|id| self.by_id.get_mut(&id)) {
            moved.at = known.at;
        }
        if known.is_heard() {
            self.adjust_heard(&known.record.service, -1);
        }
        Some(known)
    }

    fn number_of_service(&mut self, service: &str) -> usize {
        let number = self.services.iter().position(|known| known == service);
        number.unwrap_or_else(|| {
            self.services.push(service.to_owned());
            self.services.len() - 1
        })
    }

    /// Changes an endpoint and updates the indexes.
    pub(super) fn update<T>(
        &mut self,
        id: &str,
        change: impl FnOnce(&mut EndpointState) -> T,
    ) -> Option<T> {
        let known = self.by_id.get_mut(id)?;
        let (address, was_heard) = (known.address, known.is_heard());
        let result = change(known);
        let entry = &mut self.index[known.at];
        let record_hash = digest::hash_of(&known.record);
        if entry.record_hash != record_hash {
            self.digest.remove(entry.id_hash, entry.record_hash);
            self.digest.add(entry.id_hash, record_hash);
            entry.record_hash = record_hash;
            entry.leaving = known.record.leaving;
        }
        let (now_at, is_heard) = (known.address, known.is_heard());
        if was_heard != is_heard {
            let service = known.record.service.clone();
            self.adjust_heard(&service, if is_heard { 1 } else { -1 });
        }
        if address != now_at {
            self.remove_from_address(id, address);
            self.by_address.entry(now_at).or_default().push(id.into());
        }
        Some(result)
    }

    fn adjust_heard(&mut self, service: &str, change: isize) {
        let count = self.heard.get(service).copied().unwrap_or_default();
        match count.saturating_add_signed(change) {
            0 => drop(self.heard.remove(service)),
            count => drop(self.heard.insert(service.to_owned(), count)),
        }
    }

    fn remove_from_address(&mut self, id: &str, address: SocketAddr) {
        if let Some(ids) = self.by_address.get_mut(&address) {
            ids.retain(|other| **other != *id);
            if ids.is_empty() {
                self.by_address.remove(&address);
            }
        }
    }
}
