//! Registry of endpoints that register by heartbeats, on one daemon.
//!
//! Each control VM accepts heartbeats and forwards new information to all daemons that it is linked
//! to, so no leader is needed. Records of one run are ordered by heartbeat number; a run that is
//! leaving never returns.

#[cfg(test)]
mod address_tests;
#[cfg(test)]
mod cold_tests;
mod departed_runs;
mod digest;
mod endpoint_table;
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
    departed_runs::DepartedRuns,
    digest::{BUCKETS, bucket_of},
    endpoint_table::{EndpointState, EndpointTable},
};

/// How long a leaving endpoint is kept: it may serve for some time after its notice, and its
/// generations are relocated by its name.
const LEAVING_TTL: Duration = Duration::from_secs(60);
/// How long a silent endpoint is kept.
const SILENT_TTL: Duration = Duration::from_secs(60);
/// Heartbeat intervals for which the run at an address keeps it from another run without a later
/// start. A delayed heartbeat of a crashed run must not take the address from the current run,
/// which is heard every interval.
const ADDRESS_HOLD_INTERVALS: f64 = 1.5;

/// A registered endpoint, as seen by requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegisteredEndpoint {
    /// Name of the run.
    pub id: Arc<str>,
    /// Service that the endpoint belongs to.
    pub service: Arc<str>,
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    /// Data hall of the endpoint.
    pub hall: Arc<str>,
    /// Whether the endpoint may receive new requests.
    pub available: bool,
    /// Whether the data hall is out of service, so that nothing may be sent there.
    pub hall_out: bool,
    /// End of the cold start, if known.
    pub cold_until: Option<Instant>,
    /// Start time of the run; see [`EndpointRecord::born`].
    pub started_at: u64,
    /// Number of the heartbeat with the latest change.
    pub sequence: u64,
}

/// State of one run of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunState {
    /// The run is up, as far as known.
    Running,
    /// The run announced that it leaves, and may have ended since.
    Departed,
    /// The run ended without notice: its heartbeats stopped or another run replaced it.
    Crashed,
}

/// The endpoints known to one daemon.
#[derive(Debug)]
pub struct Registry {
    heartbeat: Duration,
    known: EndpointTable,
    departed: DepartedRuns,
    /// Incremented by each change, so that readers notice changes.
    revision: u64,
    /// Cached digest and buckets of a revision.
    exchange: Option<ExchangeView>,
}

/// Digest and buckets for the exchange with other daemons, computed once per revision.
#[derive(Debug)]
struct ExchangeView {
    revision: u64,
    digest: RegistryDigest,
    /// Records of each bucket, with the time when each was last heard.
    buckets: Vec<Vec<(EndpointRecord, Instant)>>,
}

impl Registry {
    /// Creates a registry for this nominal heartbeat interval.
    pub fn new(heartbeat: Duration) -> Registry {
        Registry {
            heartbeat,
            known: EndpointTable::default(),
            departed: DepartedRuns::default(),
            revision: 0,
            exchange: None,
        }
    }

    /// Nominal heartbeat interval of endpoints.
    pub(crate) fn heartbeat(&self) -> Duration {
        self.heartbeat
    }

    /// Revision, incremented by each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a heartbeat or forwarded record heard now. Returns the record to forward if it
    /// contains anything new.
    pub fn apply(&mut self, record: EndpointRecord, now: Instant) -> Option<EndpointRecord> {
        self.apply_heard_at(record, now, now)
    }

    /// Like [`Registry::apply`], for a record heard at an earlier time.
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
        if self.departed.contains(&id, record.born) {
            return None;
        }
        let started_at = self.known.get(&id).map(|known| known.record.born);
        if started_at.is_some_and(|started_at| record.born < started_at) {
            // Delayed heartbeat of an earlier run.
            return None;
        }
        if started_at != Some(record.born) {
            return self.add_run(id, record, address, heard, now);
        }
        if self.known.get(&id).is_some_and(|known| known.record.service != record.service) {
            // A run never changes its service, so the record has another origin.
            return None;
        }
        let (known, is_new) = self.known.merge(&id, record, address, heard)?;
        if !is_new {
            return None;
        }
        known.update_timers(now);
        self.revision += 1;
        Some(known.record.clone())
    }

    /// Applies the first record of a run, which replaces any known run of its name or at its
    /// address.
    fn add_run(
        &mut self,
        id: Arc<str>,
        record: EndpointRecord,
        address: SocketAddr,
        heard: Instant,
        now: Instant,
    ) -> Option<EndpointRecord> {
        if self.is_address_held(address, &record, heard) {
            return if record.leaving { self.mark_leaving(&id, record.born, now) } else { None };
        }
        self.known.remove(&id);
        self.known.remove_at(address);
        self.known.insert(id, EndpointState::new(record.clone(), address, heard, now));
        self.revision += 1;
        Some(record)
    }

    /// Whether an endpoint is known by the name or address of this record.
    pub(crate) fn is_known_by_name_or_address(&self, record: &EndpointRecord) -> bool {
        let address = record.address.parse::<SocketAddr>();
        let is_at = |address| self.known.at(address).next().is_some();
        self.known.contains(&record.id) || address.is_ok_and(is_at)
    }

    /// Restores the endpoints saved before a restart. Without them no endpoint would be known until
    /// the next heartbeats after a failure of all control VMs.
    pub fn restore(&mut self, records: Vec<EndpointRecord>, now: Instant) {
        for record in records {
            let id: Arc<str> = record.id.as_str().into();
            if self.known.contains(&id) || self.apply(record, now).is_none() {
                continue;
            }
            if let Some(known) = self.known.get_mut(&id) {
                known.restored = true;
            }
        }
    }

    /// State of the run of an endpoint with this start time.
    pub(crate) fn run_state(&self, id: &str, started_at: u64) -> RunState {
        match self.known.get(id) {
            Some(known) if known.record.born != started_at => RunState::Crashed,
            Some(known) if known.record.leaving => RunState::Departed,
            Some(known) if known.record.silent => RunState::Crashed,
            Some(_) => RunState::Running,
            None if self.departed.contains(id, started_at) => RunState::Departed,
            None => RunState::Crashed,
        }
    }

    /// Start time of the known run of an endpoint, alive or not.
    pub(crate) fn started_at(&self, id: &str) -> Option<u64> {
        self.known.get(id).map(|known| known.record.born)
    }

    /// Marks a run as leaving; `started_at` 0 stands for the known run. Returns the record to
    /// forward if that is new; for an unknown endpoint it contains only name and start time.
    pub fn mark_leaving(
        &mut self,
        id: &str,
        started_at: u64,
        now: Instant,
    ) -> Option<EndpointRecord> {
        let Some(known) = self.known.get_mut(id) else {
            let new = self.departed.insert(&id.into(), started_at);
            let record = EndpointRecord {
                id: id.into(),
                leaving: true,
                born: started_at,
                ..Default::default()
            };
            return new.then_some(record);
        };
        let is_former = 0 < started_at && started_at < known.record.born;
        if known.record.leaving || is_former {
            return None;
        }
        known.record.leaving = true;
        known.update_timers(now);
        self.revision += 1;
        Some(known.record.clone())
    }

    /// Removes endpoints that left or fell silent long ago.
    pub fn expire(&mut self, now: Instant) {
        let is_expired =
            |since: Option<Instant>, keep| since.is_some_and(|at| keep <= now.since(at));
        let matching = |is_gone: &dyn Fn(&EndpointState) -> bool| -> Vec<Arc<str>> {
            let gone = self.known.iter().filter(|(_, known)| is_gone(known));
            gone.map(|(id, _)| id.clone()).collect()
        };
        let left = matching(&|known| is_expired(known.leaving_since, LEAVING_TTL));
        let silent = matching(&|known| is_expired(known.silent_since, SILENT_TTL));
        for id in left {
            self.forget(&id);
        }
        let before = self.known.len();
        // Silent endpoints may register again later, unlike those that left.
        silent.iter().for_each(|id| self.known.remove(id));
        if self.known.len() < before {
            self.revision += 1;
        }
    }

    /// Digest of all records.
    pub(crate) fn digest(&mut self) -> RegistryDigest {
        self.exchange_view().digest.clone()
    }

    /// Records of a bucket, each with the time when it was last heard.
    pub(crate) fn bucket(&mut self, bucket: usize) -> &[(EndpointRecord, Instant)] {
        self.exchange_view().buckets.get(bucket).map_or(&[], Vec::as_slice)
    }

    fn exchange_view(&mut self) -> &ExchangeView {
        self.exchange.take_if(|view| view.revision != self.revision);
        let known = &self.known;
        self.exchange.get_or_insert_with(|| {
            let mut buckets = vec![Vec::new(); BUCKETS];
            for known in known.values() {
                buckets[bucket_of(&known.record.id)].push((known.record.clone(), known.heard));
            }
            let digest = RegistryDigest::of(known.values().map(|known| &known.record));
            ExchangeView { revision: self.revision, digest, buckets }
        })
    }

    /// All records.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.known.values().map(|known| &known.record)
    }

    /// The registered model engines, for the scheduler.
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

    /// Endpoints with a known cold start and when it ends.
    pub fn cold_endpoints(&self) -> impl Iterator<Item = (&Arc<str>, Instant)> {
        self.known.iter().filter_map(|(id, known)| Some((id, known.cold_until?)))
    }

    /// Marks the endpoints of a data hall that returned to service as cold: they may have
    /// restarted, and report that only with their next heartbeats.
    pub fn on_hall_restored(&mut self, hall: &str, config: &Config, now: Instant) {
        for known in self.known.values_mut().filter(|known| known.record.hall == hall) {
            let service = config.services.get(&known.record.service);
            if let Some(cold_start) = service.and_then(|service| service.cold_start) {
                known.extend_cold(now.after(cold_start.duration));
                self.revision += 1;
            }
        }
    }

    /// Marks a run as cold until the given time.
    pub(crate) fn mark_cold(&mut self, id: &str, started_at: u64, until: Instant) {
        let known = self.known.get_mut(id).filter(|known| known.record.born == started_at);
        if known.is_some_and(|known| known.extend_cold(until)) {
            self.revision += 1;
        }
    }

    /// Names of endpoints that must not receive new requests: those that are leaving, and those
    /// that are silent while another endpoint of their service is heard. If all are silent, lost
    /// heartbeats are more likely than a failure of all.
    pub fn unavailable(&self) -> impl Iterator<Item = &Arc<str>> {
        let heard: BTreeSet<&str> = self
            .known
            .values()
            .filter(|known| !known.record.leaving && !known.record.silent)
            .map(|known| known.record.service.as_str())
            .collect();
        let is_unavailable = move |record: &EndpointRecord| {
            record.leaving || record.silent && heard.contains(record.service.as_str())
        };
        self.known.iter().filter(move |(_, known)| is_unavailable(&known.record)).map(|(id, _)| id)
    }

    /// All endpoints, given the data halls that are out of service.
    pub fn endpoints(&self, halls_out: &HallsOut) -> Vec<RegisteredEndpoint> {
        let unavailable: BTreeSet<&Arc<str>> = self.unavailable().collect();
        let registered = |(id, known): (&Arc<str>, &EndpointState)| {
            let out = halls_out.contains(&known.record.hall);
            RegisteredEndpoint {
                id: id.clone(),
                service: known.record.service.as_str().into(),
                address: known.address,
                hall: known.record.hall.as_str().into(),
                available: !out && !unavailable.contains(id),
                hall_out: out,
                cold_until: known.cold_until,
                started_at: known.record.born,
                sequence: known.record.sequence,
            }
        };
        self.known.iter().map(registered).collect()
    }

    /// Whether the address belongs to another run that was heard too recently to be replaced by
    /// this one. A run with a later start always replaces it.
    fn is_address_held(
        &self,
        address: SocketAddr,
        record: &EndpointRecord,
        heard: Instant,
    ) -> bool {
        let hold = self.heartbeat.mul_f64(ADDRESS_HOLD_INTERVALS);
        let holds = |other: &EndpointState| {
            let is_heard = !other.restored && !other.record.silent;
            let is_older = 0 < other.record.born && other.record.born < record.born;
            let is_other = other.record.id != record.id;
            is_other && is_heard && !is_older && heard < other.heard.after(hold)
        };
        self.known.at(address).any(holds)
    }

    fn forget(&mut self, id: &Arc<str>) {
        let started_at = self.known.get(id).map_or(0, |known| known.record.born);
        self.known.remove(id);
        self.departed.insert(id, started_at);
        self.revision += 1;
    }
}
