//! Endpoints that register themselves by heartbeats, as one daemon knows them.
//!
//! Every control VM takes heartbeats and passes on what is new to all daemons that it is
//! linked to, so no leader is needed. Records of one run of an endpoint are ordered by the
//! number of the heartbeat; leaving is never taken back.

#[cfg(test)]
mod address_tests;
#[cfg(test)]
mod cold_tests;
mod digest;
mod forgotten;
mod known;
#[cfg(test)]
mod run_tests;
mod silence;
#[cfg(test)]
mod tests;

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    config::{Config, EndpointSpec, EndpointTarget, Endpoints},
    state::HallsOut,
    units::Instant,
    wire::EndpointRecord,
};

pub(crate) use self::digest::RegistryDigest;
use self::{
    digest::{BUCKETS, bucket_of},
    forgotten::Forgotten,
    known::{Known, KnownEndpoints},
};

/// An endpoint that said it is leaving is forgotten after this long: it serves on for its
/// notice and, at times, many seconds more, and its generations are moved by its name.
const KEEP_LEAVING: Duration = Duration::from_secs(60);
/// A silent endpoint is forgotten after this long.
const KEEP_SILENT: Duration = Duration::from_secs(60);
/// A run of an endpoint has the address of another once that one was not heard for this part of a
/// heartbeat longer. A heartbeat that a cut has held up may arrive after its sender has crashed and
/// a new run has registered at the address; that one is heard every heartbeat, and keeps it.
const HEARD_LONGER: f64 = 1.5;

/// An endpoint that registered itself, as requests see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegisteredEndpoint {
    /// Name of its run.
    pub id: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: Arc<str>,
    /// Whether it may get new work.
    pub available: bool,
    /// Whether its data hall is out of service: nothing at all is sent there.
    pub hall_out: bool,
    /// Until when it is cold, as far as known.
    pub cold_until: Option<Instant>,
    /// When this run was started; see [`EndpointRecord::born`].
    pub started_at: u64,
    /// Number of the heartbeat that told what is new.
    pub sequence: u64,
}

/// What is known of one run of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunState {
    /// It runs, as far as is known.
    Running,
    /// It has said that it leaves, and may have ended since.
    Departed,
    /// It has ended without a word: its heartbeats have stopped, or another run has come in its place.
    Crashed,
}

/// The endpoints that one daemon knows.
#[derive(Debug)]
pub struct Registry {
    heartbeat: Duration,
    known: KnownEndpoints,
    forgotten: Forgotten,
    /// Counts the changes, so that readers see when to look again.
    revision: u64,
    /// What others are told, as of a revision.
    shown: Option<Shown>,
}

/// What others are told of the endpoints, made once for all of them.
#[derive(Debug)]
struct Shown {
    revision: u64,
    digest: RegistryDigest,
    /// The endpoints of each part, and when each was last heard.
    parts: Vec<Vec<(EndpointRecord, Instant)>>,
}

impl Registry {
    /// A registry of endpoints that send a heartbeat about this often.
    pub fn new(heartbeat: Duration) -> Registry {
        Registry {
            heartbeat,
            known: KnownEndpoints::default(),
            forgotten: Forgotten::default(),
            revision: 0,
            shown: None,
        }
    }

    /// About how often an endpoint sends a heartbeat.
    pub(crate) fn heartbeat(&self) -> Duration {
        self.heartbeat
    }

    /// Counts the changes so far.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes a heartbeat that was heard now, or news of it. Returns the record to pass on if it
    /// says anything new.
    pub fn apply(&mut self, record: EndpointRecord, now: Instant) -> Option<EndpointRecord> {
        self.apply_heard_at(record, now, now)
    }

    /// The same of a heartbeat that was heard earlier.
    pub fn apply_heard_at(
        &mut self,
        record: EndpointRecord,
        heard: Instant,
        now: Instant,
    ) -> Option<EndpointRecord> {
        if record.address.is_empty() {
            return self.mark_leaving(&record.id, record.born, now);
        }
        let id: Arc<str> = record.id.as_str().into();
        let address: SocketAddr = record.address.parse().ok()?;
        if self.forgotten.contains(&id, record.born) {
            return None;
        }
        let born = self.known.get(&id).map(|known| known.record.born);
        if born.is_some_and(|born| record.born < born) {
            // A cut has held it up past the start of a later run.
            return None;
        }
        if born != Some(record.born) {
            return self.begin(id, record, address, heard, now);
        }
        if self.known.get(&id).is_some_and(|known| known.record.service != record.service) {
            // No run changes its service: this was written by somebody else.
            return None;
        }
        let (known, is_new) = self.known.merge(&id, record, address, heard)?;
        if !is_new {
            return None;
        }
        known.note_state(now);
        self.revision += 1;
        Some(known.record.clone())
    }

    /// Takes the first record of a run. Nothing that was known of a former one under its name or at
    /// its address stays.
    fn begin(
        &mut self,
        id: Arc<str>,
        record: EndpointRecord,
        address: SocketAddr,
        heard: Instant,
        now: Instant,
    ) -> Option<EndpointRecord> {
        if self.is_taken(address, &record, heard) {
            return if record.leaving { self.mark_leaving(&id, record.born, now) } else { None };
        }
        self.known.remove(&id);
        self.known.remove_at(address);
        self.known.insert(id, Known::new(record.clone(), address, heard, now));
        self.revision += 1;
        Some(record)
    }

    /// Whether an endpoint is known by the name or at the address of this record.
    pub(crate) fn is_known_by_name_or_address(&self, record: &EndpointRecord) -> bool {
        let address = record.address.parse::<SocketAddr>();
        let is_at = |address| self.known.at(address).next().is_some();
        self.known.contains(&record.id) || address.is_ok_and(is_at)
    }

    /// Takes the endpoints that were known before this daemon's start. Without them no endpoint is
    /// known for up to a heartbeat after a failure of all control VMs (measured: 70 of 100 calls
    /// refused within 0.6 s).
    pub fn restore(&mut self, records: Vec<EndpointRecord>, now: Instant) {
        for record in records {
            let id: Arc<str> = record.id.as_str().into();
            if self.known.contains(&id) || self.apply(record, now).is_none() {
                continue;
            }
            if let Some(known) = self.known.get_mut(&id) {
                known.recalled = true;
            }
        }
    }

    /// What is known of the run of an endpoint that was started then.
    pub(crate) fn run_state(&self, id: &str, born: u64) -> RunState {
        match self.known.get(id) {
            Some(known) if known.record.born != born => RunState::Crashed,
            Some(known) if known.record.leaving => RunState::Departed,
            Some(known) if known.record.silent => RunState::Crashed,
            Some(_) => RunState::Running,
            None if self.forgotten.contains(id, born) => RunState::Departed,
            None => RunState::Crashed,
        }
    }

    /// Whether the run of an endpoint that was started then is the one that is known, if it answers or not.
    pub(crate) fn is_current_run(&self, id: &str, born: u64) -> bool {
        self.known.get(id).is_some_and(|known| known.record.born == born)
    }

    /// Notes that the run of an endpoint that was started then, or whatever run is known where that is
    /// zero, said that it will end. Returns the record to pass on if that is new; for an endpoint that
    /// is not known here it holds only the name and the run.
    pub fn mark_leaving(&mut self, id: &str, born: u64, now: Instant) -> Option<EndpointRecord> {
        let Some(known) = self.known.get_mut(id) else {
            let new = self.forgotten.insert(&id.into(), born);
            let record =
                EndpointRecord { id: id.into(), leaving: true, born, ..Default::default() };
            return new.then_some(record);
        };
        let is_former = 0 < born && born < known.record.born;
        if known.record.leaving || is_former {
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
        let those = |is_gone: &dyn Fn(&Known) -> bool| -> Vec<Arc<str>> {
            let gone = self.known.iter().filter(|(_, known)| is_gone(known));
            gone.map(|(id, _)| id.clone()).collect()
        };
        let left = those(&|known| over(known.leaving_since, KEEP_LEAVING));
        let silent = those(&|known| over(known.silent_since, KEEP_SILENT));
        for id in left {
            self.forget(&id);
        }
        let before = self.known.len();
        // One whose heartbeats come again later is welcome.
        silent.iter().for_each(|id| self.known.remove(id));
        if self.known.len() < before {
            self.revision += 1;
        }
    }

    /// A digest of all records.
    pub(crate) fn digest(&mut self) -> RegistryDigest {
        self.shown().digest.clone()
    }

    /// The records of a part, each with when it was last heard.
    pub(crate) fn bucket(&mut self, part: usize) -> &[(EndpointRecord, Instant)] {
        self.shown().parts.get(part).map_or(&[], Vec::as_slice)
    }

    fn shown(&mut self) -> &Shown {
        self.shown.take_if(|shown| shown.revision != self.revision);
        let known = &self.known;
        self.shown.get_or_insert_with(|| {
            let mut parts = vec![Vec::new(); BUCKETS];
            for known in known.values() {
                parts[bucket_of(&known.record.id)].push((known.record.clone(), known.heard));
            }
            let digest = RegistryDigest::of(known.values().map(|known| &known.record));
            Shown { revision: self.revision, digest, parts }
        })
    }

    /// All records.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.known.values().map(|known| &known.record)
    }

    /// The model engines as the scheduler sees them.
    pub fn engines(&self, config: &Config) -> Endpoints {
        let mut endpoints = Endpoints::new();
        for (id, known) in self.known.iter() {
            let service = config.services.get(&known.record.service);
            let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
                continue;
            };
            let spec = EndpointSpec {
                started_at: known.record.born,
                hall: known.record.hall.clone(),
                address: known.address,
                target: EndpointTarget::Model(known.record.service.clone()),
                slots: known.record.slots.min(engine.slots),
                kv_tokens: engine.kv_tokens,
                checks_fence: false,
                supports_relocation: engine.supports_relocation,
                cold_start: service.and_then(|service| service.cold_start),
            };
            endpoints.insert(id.to_string(), spec);
        }
        endpoints
    }

    /// Until when endpoints are cold, by name; those of which that is not known are left out.
    pub fn cold_endpoints(&self) -> impl Iterator<Item = (&Arc<str>, Instant)> {
        self.known.iter().filter_map(|(id, known)| Some((id, known.cold_until?)))
    }

    /// Notes that a data hall was given back to service: its endpoints may have become cold shortly
    /// before, and say so only with their next heartbeats.
    pub fn on_hall_restored(&mut self, hall: &str, config: &Config, now: Instant) {
        for known in self.known.values_mut().filter(|known| known.record.hall == hall) {
            let service = config.services.get(&known.record.service);
            if let Some(cold_start) = service.and_then(|service| service.cold_start) {
                known.cool(now.after(cold_start.duration));
                self.revision += 1;
            }
        }
    }

    /// Notes that the run of an endpoint that was started then is cold until that time.
    pub(crate) fn mark_cold(&mut self, id: &str, born: u64, until: Instant) {
        let known = self.known.get_mut(id).filter(|known| known.record.born == born);
        if known.is_some_and(|known| known.cool(until)) {
            self.revision += 1;
        }
    }

    /// Names of the endpoints that must get no new work: those that leave, and those that are
    /// silent while another of their service is heard. Where all are silent it is more likely
    /// that their heartbeats do not arrive than that all have failed at once.
    pub fn unavailable(&self) -> impl Iterator<Item = &Arc<str>> {
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
    pub fn endpoints(&self, halls_out: &HallsOut) -> Vec<RegisteredEndpoint> {
        let closed: BTreeSet<&Arc<str>> = self.unavailable().collect();
        let registered = |(id, known): (&Arc<str>, &Known)| {
            let out = halls_out.contains(&known.record.hall);
            RegisteredEndpoint {
                id: id.clone(),
                service: known.record.service.as_str().into(),
                address: known.address,
                hall: known.record.hall.as_str().into(),
                available: !out && !closed.contains(id),
                hall_out: out,
                cold_until: known.cold_until,
                started_at: known.record.born,
                sequence: known.record.sequence,
            }
        };
        self.known.iter().map(registered).collect()
    }

    /// Whether an address belongs to another run that was heard so late that this one, heard then,
    /// does not have it yet. One that was started later has it at once.
    fn is_taken(&self, address: SocketAddr, record: &EndpointRecord, heard: Instant) -> bool {
        let longer = self.heartbeat.mul_f64(HEARD_LONGER);
        let keeps = |other: &Known| {
            let is_heard = !other.recalled && !other.record.silent;
            let is_older = 0 < other.record.born && other.record.born < record.born;
            let is_other = other.record.id != record.id;
            is_other && is_heard && !is_older && heard < other.heard.after(longer)
        };
        self.known.at(address).any(keeps)
    }

    fn forget(&mut self, id: &Arc<str>) {
        let born = self.known.get(id).map_or(0, |known| known.record.born);
        self.known.remove(id);
        self.forgotten.insert(id, born);
        self.revision += 1;
    }
}
