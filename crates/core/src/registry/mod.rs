//! Endpoints that register themselves by heartbeats, as one daemon knows them.
//!
//! Every control VM takes heartbeats and passes on what is new to all daemons that it is
//! linked to, so no leader is needed. Records of one run of an endpoint are ordered by the
//! number of the heartbeat; leaving is never taken back.

#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use crate::{
    config::{Config, EndpointSpec, EndpointTarget, Endpoints},
    state::HallsOut,
    units::Instant,
    wire::EndpointRecord,
};

/// An endpoint that said it is leaving is forgotten after this long: it serves on for its
/// notice and, at times, many seconds more, and its generations are moved by its name.
const KEEP_LEAVING: Duration = Duration::from_secs(60);
/// A silent endpoint is forgotten after this long.
const KEEP_SILENT: Duration = Duration::from_secs(60);
/// Names of endpoints that were forgotten, kept against heartbeats that come very late.
const MAX_FORGOTTEN: usize = 4_096;
/// Heartbeats that may be missed before an endpoint counts as silent.
const MISSED_HEARTBEATS: u32 = 4;
/// The same for one that is only remembered from before this daemon's start: it may have left
/// meanwhile, and its heartbeat comes within one interval if it has not.
const MISSED_IF_RECALLED: u32 = 2;
/// A run of an endpoint has the address of another once that one was not heard for this part of a
/// heartbeat longer. A heartbeat that a cut has held up may arrive after its sender has crashed and
/// a new run has registered at the address; that one is heard every heartbeat, and keeps it.
const HEARD_LONGER: f64 = 1.5;

#[derive(Debug, Clone)]
struct Known {
    record: EndpointRecord,
    address: SocketAddr,
    /// When a heartbeat or news of it last came.
    heard: Instant,
    /// It is known from before this daemon's start and was not heard since.
    recalled: bool,
    /// When it began to leave, as known here.
    leaving_since: Option<Instant>,
    /// When its heartbeats were found to have stopped.
    silent_since: Option<Instant>,
}

/// An endpoint that registered itself, as requests see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registered {
    /// Name of its run.
    pub id: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: Arc<str>,
    /// Whether it may get new work.
    pub open: bool,
    /// Whether its data hall is out of service: nothing at all is sent there.
    pub out: bool,
    /// Number of the heartbeat that told what is new.
    pub sequence: u64,
}

impl Known {
    fn new(record: EndpointRecord, address: SocketAddr, heard: Instant, now: Instant) -> Known {
        let leaving_since = record.leaving.then_some(now);
        let silent_since = record.silent.then_some(now);
        Known { record, address, heard, recalled: false, leaving_since, silent_since }
    }

    /// Takes what a record says beyond what is known; tells whether that is anything.
    fn merge(&mut self, record: EndpointRecord, address: SocketAddr, heard: Instant) -> bool {
        let known = &self.record;
        let newer = known.sequence < record.sequence;
        if newer && !record.silent {
            self.heard = self.heard.max(heard);
            self.recalled = false;
        }
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
        !same
    }

    fn note_state(&mut self, now: Instant) {
        if self.record.leaving {
            self.leaving_since.get_or_insert(now);
        }
        match self.record.silent {
            true => drop(self.silent_since.get_or_insert(now)),
            false => self.silent_since = None,
        }
    }
}

/// Names of endpoints that have left, the oldest first; of too many the oldest go.
#[derive(Debug, Default)]
struct Forgotten {
    order: VecDeque<Arc<str>>,
    names: BTreeSet<Arc<str>>,
}

impl Forgotten {
    fn contains(&self, id: &Arc<str>) -> bool {
        self.names.contains(id)
    }

    /// Adds a name; returns whether it is new.
    fn insert(&mut self, id: &Arc<str>) -> bool {
        if !self.names.insert(id.clone()) {
            return false;
        }
        self.order.push_back(id.clone());
        if MAX_FORGOTTEN < self.order.len()
            && let Some(oldest) = self.order.pop_front()
        {
            self.names.remove(&oldest);
        }
        true
    }
}

/// The endpoints that one daemon knows.
#[derive(Debug)]
pub struct Registry {
    heartbeat: Duration,
    known: BTreeMap<Arc<str>, Known>,
    forgotten: Forgotten,
    /// Counts the changes, so that readers see when to look again.
    revision: u64,
}

impl Registry {
    /// A registry of endpoints that send a heartbeat about this often.
    pub fn new(heartbeat: Duration) -> Registry {
        Registry { heartbeat, known: BTreeMap::new(), forgotten: Forgotten::default(), revision: 0 }
    }

    /// Counts the changes so far.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes a heartbeat that was heard now, or news of it. Returns the record to pass on if it
    /// says anything new.
    pub fn take(&mut self, record: EndpointRecord, now: Instant) -> Option<EndpointRecord> {
        self.take_heard(record, now, now)
    }

    /// The same of a heartbeat that was heard earlier.
    pub fn take_heard(
        &mut self,
        record: EndpointRecord,
        heard: Instant,
        now: Instant,
    ) -> Option<EndpointRecord> {
        if record.address.is_empty() {
            return self.leave(&record.id, now);
        }
        let id: Arc<str> = record.id.as_str().into();
        let address: SocketAddr = record.address.parse().ok()?;
        if self.forgotten.contains(&id) {
            return None;
        }
        let Some(known) = self.known.get_mut(&id) else {
            if self.is_taken(address, heard) {
                return if record.leaving { self.leave(&id, now) } else { None };
            }
            self.known.retain(|_, other| other.address != address);
            self.known.insert(id, Known::new(record.clone(), address, heard, now));
            self.revision += 1;
            return Some(record);
        };
        if !known.merge(record, address, heard) {
            return None;
        }
        known.note_state(now);
        self.revision += 1;
        Some(known.record.clone())
    }

    /// Takes the endpoints that were known before this daemon's start. Without them no endpoint is
    /// known for up to a heartbeat after a failure of all control VMs (measured: 70 of 100 calls
    /// refused within 0.6 s).
    pub fn recall(&mut self, records: Vec<EndpointRecord>, now: Instant) {
        for record in records {
            let id: Arc<str> = record.id.as_str().into();
            if self.known.contains_key(&id) || self.take(record, now).is_none() {
                continue;
            }
            if let Some(known) = self.known.get_mut(&id) {
                known.recalled = true;
            }
        }
    }

    /// Notes that an endpoint said it will end. Returns the record to pass on if that is new;
    /// for an endpoint that is not known here it holds only the name.
    pub fn leave(&mut self, id: &str, now: Instant) -> Option<EndpointRecord> {
        let Some(known) = self.known.get_mut(id) else {
            let new = self.forgotten.insert(&id.into());
            let record = EndpointRecord { id: id.into(), leaving: true, ..Default::default() };
            return new.then_some(record);
        };
        if known.record.leaving {
            return None;
        }
        known.record.leaving = true;
        known.note_state(now);
        self.revision += 1;
        Some(known.record.clone())
    }

    /// Forgets endpoints that are long gone.
    pub fn expire(&mut self, now: Instant) {
        let over = |since: Option<Instant>, keep| since.is_some_and(|at| keep <= now.since(at));
        let left: Vec<Arc<str>> = self
            .known
            .iter()
            .filter(|(_, known)| over(known.leaving_since, KEEP_LEAVING))
            .map(|(id, _)| id.clone())
            .collect();
        for id in left {
            self.forget(&id);
        }
        let before = self.known.len();
        // One whose heartbeats come again later is welcome.
        self.known.retain(|_, known| !over(known.silent_since, KEEP_SILENT));
        if self.known.len() < before {
            self.revision += 1;
        }
    }

    /// Finds the endpoints whose heartbeats have stopped since the last call. Only control
    /// VMs hear every heartbeat.
    pub fn find_silent(&mut self, now: Instant) -> Vec<EndpointRecord> {
        let heartbeat = self.heartbeat;
        let limit = heartbeat * MISSED_HEARTBEATS;
        // While nobody is heard the fault is more likely here than at every endpoint.
        let anybody = self.known.values().any(|known| now.since(known.heard) < limit);
        let mut silent = Vec::new();
        for known in self.known.values_mut() {
            let missed = if known.recalled { MISSED_IF_RECALLED } else { MISSED_HEARTBEATS };
            if anybody && !known.record.silent && heartbeat * missed <= now.since(known.heard) {
                known.record.silent = true;
                known.note_state(now);
                self.revision += 1;
                silent.push(known.record.clone());
            }
        }
        silent
    }

    /// All records, each with when it was last heard.
    pub fn heard(&self) -> Vec<(EndpointRecord, Instant)> {
        self.known.values().map(|known| (known.record.clone(), known.heard)).collect()
    }

    /// All records.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.known.values().map(|known| &known.record)
    }

    /// The model engines as the scheduler sees them.
    pub fn engines(&self, config: &Config) -> Endpoints {
        let mut endpoints = Endpoints::new();
        for (id, known) in &self.known {
            let service = config.services.get(&known.record.service);
            let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
                continue;
            };
            let spec = EndpointSpec {
                hall: known.record.hall.clone(),
                address: known.address,
                target: EndpointTarget::Model(known.record.service.clone()),
                slots: known.record.slots.min(engine.slots),
                kv_tokens: engine.kv_tokens,
                checks_fence: false,
                moves: engine.moves,
            };
            endpoints.insert(id.to_string(), spec);
        }
        endpoints
    }

    /// Names of the endpoints that must get no new work: those that leave, and those that are
    /// silent while another of their service is heard. Where all are silent it is more likely
    /// that their heartbeats do not arrive than that all have failed at once.
    pub fn closed(&self) -> impl Iterator<Item = &Arc<str>> {
        let heard: BTreeSet<&str> = self
            .known
            .values()
            .filter(|known| !known.record.leaving && !known.record.silent)
            .map(|known| known.record.service.as_str())
            .collect();
        let closed = move |record: &EndpointRecord| {
            record.leaving || record.silent && heard.contains(record.service.as_str())
        };
        self.known.iter().filter(move |(_, known)| closed(&known.record)).map(|(id, _)| id)
    }

    /// All endpoints, and whether each may get new work while these halls are out of service.
    pub fn endpoints(&self, halls_out: &HallsOut) -> Vec<Registered> {
        let closed: BTreeSet<&Arc<str>> = self.closed().collect();
        let registered = |(id, known): (&Arc<str>, &Known)| {
            let out = halls_out.contains(&known.record.hall);
            Registered {
                id: id.clone(),
                service: known.record.service.as_str().into(),
                address: known.address,
                hall: known.record.hall.as_str().into(),
                open: !out && !closed.contains(id),
                out,
                sequence: known.record.sequence,
            }
        };
        self.known.iter().map(registered).collect()
    }

    /// Whether an address belongs to a run that was heard so late that another, heard then, does
    /// not have it yet.
    fn is_taken(&self, address: SocketAddr, heard: Instant) -> bool {
        let longer = self.heartbeat.mul_f64(HEARD_LONGER);
        let keeps = |other: &Known| {
            let is_heard = !other.recalled && !other.record.silent;
            is_heard && heard < other.heard.after(longer)
        };
        self.known.values().any(|other| other.address == address && keeps(other))
    }

    fn forget(&mut self, id: &Arc<str>) {
        self.known.remove(id);
        self.forgotten.insert(id);
        self.revision += 1;
    }
}
