//! The endpoints that a daemon knows, by name and by address.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use crate::{units::Instant, wire::EndpointRecord};

/// An endpoint that says it is cold for this much longer than was known is cold anew: between two
/// heartbeats the time that is left differs by the delays of both.
const COLD_ANEW: Duration = Duration::from_millis(200);

/// What is known of one endpoint.
#[derive(Debug, Clone)]
pub(super) struct Known {
    pub(super) record: EndpointRecord,
    pub(super) address: SocketAddr,
    /// When a heartbeat or news of it last came.
    pub(super) heard: Instant,
    /// It is known from before this daemon's start and was not heard since.
    pub(super) recalled: bool,
    /// When it began to leave, as known here.
    pub(super) leaving_since: Option<Instant>,
    /// When its heartbeats were found to have stopped.
    pub(super) silent_since: Option<Instant>,
    /// Until when it is cold, as far as known.
    pub(super) cold_until: Option<Instant>,
}

impl Known {
    pub(super) fn new(
        record: EndpointRecord,
        address: SocketAddr,
        heard: Instant,
        now: Instant,
    ) -> Known {
        let leaving_since = record.leaving.then_some(now);
        let silent_since = record.silent.then_some(now);
        let cold_until = cold_until(&record, heard);
        let recalled = false;
        Known { record, address, heard, recalled, leaving_since, silent_since, cold_until }
    }

    /// Notes that it is cold until then at least; tells whether that is new.
    pub(super) fn cool(&mut self, until: Instant) -> bool {
        let is_new = self.cold_until.is_none_or(|known| known.after(COLD_ANEW) < until);
        self.cold_until = self.cold_until.max(Some(until));
        is_new
    }

    /// Takes what a record says beyond what is known; tells whether that is anything.
    fn merge(&mut self, record: EndpointRecord, address: SocketAddr, heard: Instant) -> bool {
        let newer = self.record.sequence < record.sequence;
        if newer && !record.silent {
            self.heard = self.heard.max(heard);
            self.recalled = false;
        }
        let cold = cold_until(&record, heard).filter(|_| newer);
        let is_cold_anew = cold.is_some_and(|until| self.cool(until));
        let known = &self.record;
        let mut merged = if newer { record.clone() } else { known.clone() };
        // It may have begun to leave by a message without a number.
        merged.leaving = known.leaving || record.leaving;
        // Of two that know the same heartbeat, the one that misses the next is right. Every
        // field only ever goes one way, so that news dies out whatever order it comes in.
        if known.sequence == record.sequence {
            merged.silent = known.silent || record.silent;
        }
        let same =
            EndpointRecord { sequence: known.sequence, cold_ms: known.cold_ms, ..merged.clone() }
                == *known;
        self.record = merged;
        self.address = address;
        !same || is_cold_anew
    }

    pub(super) fn note_state(&mut self, now: Instant) {
        if self.record.leaving {
            self.leaving_since.get_or_insert(now);
        }
        match self.record.silent {
            true => drop(self.silent_since.get_or_insert(now)),
            false => self.silent_since = None,
        }
    }
}

/// Until when an endpoint is cold by a record that was heard then.
fn cold_until(record: &EndpointRecord, heard: Instant) -> Option<Instant> {
    (0 < record.cold_ms).then(|| heard.after(Duration::from_millis(record.cold_ms)))
}

/// All of them. Looked for by address they are found in the same time whatever their number: one after
/// the other they kept an entry of 0.12 cores busy for 0.4 s when it learned of 3,000.
#[derive(Debug, Default)]
pub(super) struct KnownEndpoints {
    by_id: BTreeMap<Arc<str>, Known>,
    by_address: HashMap<SocketAddr, BTreeSet<Arc<str>>>,
}

impl KnownEndpoints {
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(super) fn contains(&self, id: &str) -> bool {
        self.by_id.contains_key(id)
    }

    pub(super) fn get(&self, id: &str) -> Option<&Known> {
        self.by_id.get(id)
    }

    /// One whose address is not changed by this.
    pub(super) fn get_mut(&mut self, id: &str) -> Option<&mut Known> {
        self.by_id.get_mut(id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Known)> {
        self.by_id.iter()
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &Known> {
        self.by_id.values()
    }

    /// Those that are known at an address.
    pub(super) fn at(&self, address: SocketAddr) -> impl Iterator<Item = &Known> {
        let ids = self.by_address.get(&address).into_iter().flatten();
        ids.filter_map(|id| self.by_id.get(id))
    }

    pub(super) fn insert(&mut self, id: Arc<str>, known: Known) {
        self.by_address.entry(known.address).or_default().insert(id.clone());
        self.by_id.insert(id, known);
    }

    pub(super) fn remove(&mut self, id: &str) {
        if let Some((id, known)) = self.by_id.remove_entry(id) {
            self.leave_address(&id, known.address);
        }
    }

    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut Known> {
        self.by_id.values_mut()
    }

    /// Removes those that are known at an address.
    pub(super) fn remove_at(&mut self, address: SocketAddr) {
        for id in self.by_address.remove(&address).into_iter().flatten() {
            self.by_id.remove(&id);
        }
    }

    /// Takes what a record says of an endpoint that is known; returns the endpoint and whether that
    /// is anything new.
    pub(super) fn merge(
        &mut self,
        id: &Arc<str>,
        record: EndpointRecord,
        address: SocketAddr,
        heard: Instant,
    ) -> Option<(&mut Known, bool)> {
        let before = self.by_id.get(id)?.address;
        if before != address {
            self.leave_address(id, before);
            self.by_address.entry(address).or_default().insert(id.clone());
        }
        let known = self.by_id.get_mut(id)?;
        let is_new = known.merge(record, address, heard);
        Some((known, is_new))
    }

    fn leave_address(&mut self, id: &Arc<str>, address: SocketAddr) {
        if let Some(ids) = self.by_address.get_mut(&address) {
            ids.remove(id);
            if ids.is_empty() {
                self.by_address.remove(&address);
            }
        }
    }
}
