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
mod sample;
#[cfg(test)]
mod sample_tests;
mod silence;
#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use crate::{
    config::{Config, EndpointSpec, EndpointTarget, Endpoints},
    software_version::SoftwareVersion,
    state::HallsOut,
    units::Instant,
    wire::{EndpointHeartbeat, EndpointRecord},
};

use self::{
    departed_runs::DepartedRuns,
    digest::bucket_of,
    endpoint_table::{EndpointState, EndpointTable, IndexEntry},
};
pub(crate) use self::{
    digest::{BUCKETS, RegistryDigest, hash_of_id},
    sample::EndpointSample,
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
    /// Version of its software, if known.
    pub software_version: Option<SoftwareVersion>,
}

/// Registered endpoints that have changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EndpointChanges {
    /// Endpoints that were added or changed.
    pub changed: Vec<RegisteredEndpoint>,
    /// Names of endpoints that were removed.
    pub removed: Vec<Arc<str>>,
}

/// A registered model engine.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct RegisteredEngine {
    pub(crate) spec: EndpointSpec,
    /// Whether it may receive new requests.
    pub(crate) available: bool,
    /// End of the cold start, if known.
    pub(crate) cold_until: Option<Instant>,
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
    /// Endpoints that were added, changed or removed since [`Registry::take_changes`].
    changed: BTreeSet<Arc<str>>,
}

impl Registry {
    /// Creates a registry for this nominal heartbeat interval.
    pub fn new(heartbeat: Duration) -> Registry {
        Registry {
            heartbeat,
            known: EndpointTable::default(),
            departed: DepartedRuns::default(),
            revision: 0,
            changed: BTreeSet::new(),
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
        if self.known.get(&id).is_some_and(|known| contradicts(&known.record, &record)) {
            return None;
        }
        let merged = self.update(&id, |known| {
            let is_new = known.merge(record, address, heard);
            known.update_timers(now);
            is_new.then(|| known.record.clone())
        })?;
        if merged.is_some() {
            self.mark_changed(&id);
        }
        merged
    }

    /// Applies a heartbeat that says nothing new to a daemon that knows the run. Returns the record to
    /// forward if the endpoint was silent.
    pub(crate) fn on_heartbeat(
        &mut self,
        heartbeat: &EndpointHeartbeat,
        now: Instant,
    ) -> Option<EndpointRecord> {
        let EndpointHeartbeat { id, sequence, started_at } = heartbeat;
        let known = &self.known.get(id)?.record;
        if known.born != *started_at || *sequence <= known.sequence {
            return None;
        }
        let record =
            EndpointRecord { sequence: *sequence, silent: false, cold_ms: 0, ..known.clone() };
        self.apply(record, now)
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
        for other in self.known.ids_at(address) {
            self.remove(&other);
        }
        self.remove(&id);
        let service = record.service.clone();
        let had_heard = self.known.is_any_heard(&service);
        let state = EndpointState::new(record.clone(), address, heard, now);
        self.known.insert(id.clone(), state);
        self.on_heard_change(&service, had_heard);
        self.mark_changed(&id);
        Some(record)
    }

    /// Removes an endpoint.
    fn remove(&mut self, id: &Arc<str>) {
        let service = self.known.get(id).map(|known| known.record.service.clone());
        let Some(service) = service else { return };
        let had_heard = self.known.is_any_heard(&service);
        self.known.remove(id);
        self.on_heard_change(&service, had_heard);
        self.mark_changed(id);
    }

    /// Changes an endpoint.
    fn update<T>(&mut self, id: &str, change: impl FnOnce(&mut EndpointState) -> T) -> Option<T> {
        let service = self.known.get(id)?.record.service.clone();
        let had_heard = self.known.is_any_heard(&service);
        let result = self.known.update(id, change);
        self.on_heard_change(&service, had_heard);
        result
    }

    /// Silent endpoints of a service are available while none of it is heard.
    fn on_heard_change(&mut self, service: &str, had_heard: bool) {
        if self.known.is_any_heard(service) == had_heard {
            return;
        }
        let silent = |known: &EndpointState| known.record.silent && known.record.service == service;
        let affected = self.known.iter().filter(|(_, known)| silent(known));
        self.changed.extend(affected.map(|(id, _)| id.clone()));
    }

    fn mark_changed(&mut self, id: &Arc<str>) {
        self.revision += 1;
        self.changed.insert(id.clone());
    }

    /// Names of the endpoints that were added, changed or removed since the last call.
    pub(crate) fn take_changes(&mut self) -> BTreeSet<Arc<str>> {
        std::mem::take(&mut self.changed)
    }

    /// Marks the endpoints of these data halls as changed.
    pub(crate) fn mark_halls_changed(&mut self, affected: impl Fn(&str) -> bool) {
        let ids = self.known.iter().filter(|(_, known)| affected(&known.record.hall));
        self.changed.extend(ids.map(|(id, _)| id.clone()));
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
            self.update(&id, |known| known.restored = true);
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
        let Some(known) = self.known.get(id) else {
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
        let record = self.update(id, |known| {
            known.record.leaving = true;
            known.update_timers(now);
            known.record.clone()
        });
        self.mark_changed(&id.into());
        record
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
        // Silent endpoints may register again later, unlike those that left.
        silent.iter().for_each(|id| self.remove(id));
    }

    /// Digest of the records in a sample, and their number.
    pub(crate) fn sample_digest(&self, sample: &EndpointSample) -> (RegistryDigest, usize) {
        if sample.is_whole() {
            return (self.known.digest().clone(), self.known.index().len());
        }
        let (mut digest, mut count) = (RegistryDigest::default(), 0);
        for entry in self.sampled(sample) {
            digest.add(entry.id_hash, entry.record_hash);
            count += 1;
        }
        (digest, count)
    }

    /// Records of some buckets in a sample, each with the time when it was last heard.
    pub(crate) fn buckets(
        &self,
        buckets: &[usize],
        sample: &EndpointSample,
    ) -> Vec<(EndpointRecord, Instant)> {
        let entries = self.sampled(sample);
        let entries = entries.filter(|entry| buckets.contains(&bucket_of(entry.id_hash)));
        let known = entries.filter_map(|entry| self.known.get(&entry.id));
        known.map(|known| (known.record.clone(), known.heard)).collect()
    }

    /// Records of a bucket, each with the time when it was last heard.
    #[cfg(test)]
    pub(crate) fn bucket(&self, bucket: usize) -> Vec<(EndpointRecord, Instant)> {
        self.buckets(&[bucket], &EndpointSample::whole(""))
    }

    fn sampled<'a>(&'a self, sample: &EndpointSample) -> impl Iterator<Item = &'a IndexEntry> {
        let is_in = sample.filter(self.known.services());
        self.known.index().iter().filter(move |entry| is_in.contains(entry.service, entry.id_hash))
    }

    /// Whether an endpoint is known and in a sample.
    pub(crate) fn is_sampled(&self, id: &str, sample: &EndpointSample) -> bool {
        let known = self.known.get(id);
        known.is_some_and(|known| sample.contains(&known.record.service, hash_of_id(id)))
    }

    /// Whether a run is neither known nor known to have left or to be followed by another.
    pub(crate) fn lacks_run(&self, id: &str, started_at: u64) -> bool {
        match self.started_at(id) {
            Some(known) => known < started_at,
            None => !self.departed.contains(id, started_at),
        }
    }

    /// Number of endpoints of each service that are in a sample and not leaving.
    pub(crate) fn count_sampled(&self, sample: &EndpointSample) -> BTreeMap<String, usize> {
        let services = self.known.services();
        let mut counts = vec![0; services.len()];
        for entry in self.sampled(sample).filter(|entry| !entry.leaving) {
            counts[entry.service] += 1;
        }
        let counts = services.iter().cloned().zip(counts);
        counts.filter(|(_, count)| 0 < *count).collect()
    }

    /// Number of endpoints of each service that are heard.
    pub(crate) fn count_heard(&self) -> impl Iterator<Item = (&str, usize)> {
        self.known.count_heard()
    }

    /// Forgets the endpoints that are in no sample of this daemon and not in use.
    pub(crate) fn retain(&mut self, sample: &EndpointSample, is_used: impl Fn(&str) -> bool) {
        let is_in = sample.filter(self.known.services());
        let unneeded =
            self.known.index().iter().filter(|entry| {
                !is_in.contains(entry.service, entry.id_hash) && !is_used(&entry.id)
            });
        let unneeded: Vec<Arc<str>> = unneeded.map(|entry| entry.id.clone()).collect();
        unneeded.iter().for_each(|id| self.remove(id));
    }

    /// The record of an endpoint, or of its departure, if another daemon that knows the run
    /// `started_at` as available lacks it.
    pub(crate) fn news_for(&self, id: &str, started_at: u64) -> Option<EndpointRecord> {
        let departed = || EndpointRecord {
            id: id.into(),
            leaving: true,
            born: started_at,
            ..EndpointRecord::default()
        };
        match self.known.get(id).map(|known| &known.record) {
            Some(record) if record.born != started_at => Some(record.clone()),
            Some(record) => (record.leaving || record.silent).then(|| record.clone()),
            None => self.departed.contains(id, started_at).then(departed),
        }
    }

    /// All records.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.known.values().map(|known| &known.record)
    }

    /// The registered model engines, for the scheduler.
    pub fn engines(&self, config: &Config) -> Endpoints {
        let engines = self
            .known
            .iter()
            .filter_map(|(id, known)| Some((id.to_string(), engine_spec(known, config)?)));
        engines.collect()
    }

    /// A registered model engine, for the scheduler; `None` if it is unknown or no engine.
    pub(crate) fn engine(&self, id: &str, config: &Config) -> Option<RegisteredEngine> {
        let known = self.known.get(id)?;
        Some(RegisteredEngine {
            spec: engine_spec(known, config)?,
            available: self.is_available(known),
            cold_until: known.cold_until,
        })
    }

    /// Endpoints with a known cold start and when it ends.
    pub fn cold_endpoints(&self) -> impl Iterator<Item = (&Arc<str>, Instant)> {
        self.known.iter().filter_map(|(id, known)| Some((id, known.cold_until?)))
    }

    /// Marks the endpoints of a data hall that returned to service as cold: they may have
    /// restarted, and report that only with their next heartbeats.
    pub fn on_hall_restored(&mut self, hall: &str, config: &Config, now: Instant) {
        let in_hall = self.known.iter().filter(|(_, known)| known.record.hall == hall);
        let ids: Vec<Arc<str>> = in_hall.map(|(id, _)| id.clone()).collect();
        for id in ids {
            let is_cold = self.update(&id, |known| {
                let service = config.services.get(&known.record.service);
                let cold_start = service.and_then(|service| service.cold_start);
                cold_start.map(|cold_start| known.extend_cold(now.after(cold_start.duration)))
            });
            if is_cold.flatten().is_some() {
                self.mark_changed(&id);
            }
        }
    }

    /// Marks a run as cold until the given time.
    pub(crate) fn mark_cold(&mut self, id: &str, started_at: u64, until: Instant) {
        if self.started_at(id) != Some(started_at) {
            return;
        }
        if self.update(id, |known| known.extend_cold(until)) == Some(true) {
            self.mark_changed(&id.into());
        }
    }

    /// Names of endpoints that must not receive new requests.
    pub fn unavailable(&self) -> impl Iterator<Item = &Arc<str>> {
        self.known.iter().filter(|(_, known)| !self.is_available(known)).map(|(id, _)| id)
    }

    /// Whether an endpoint may receive new requests: it is not leaving, and it is not silent while
    /// another endpoint of its service is heard. If all are silent, lost heartbeats are more likely
    /// than a failure of all.
    fn is_available(&self, known: &EndpointState) -> bool {
        let EndpointRecord { leaving, silent, service, .. } = &known.record;
        let counts_as_lost = *silent && self.known.is_any_heard(service);
        !leaving && !counts_as_lost
    }

    /// All endpoints, given the data halls that are out of service.
    pub fn endpoints(&self, halls_out: &HallsOut) -> Vec<RegisteredEndpoint> {
        self.known.iter().map(|(id, known)| self.registered(id, known, halls_out)).collect()
    }

    /// An endpoint, given the data halls that are out of service.
    pub(crate) fn endpoint(&self, id: &str, halls_out: &HallsOut) -> Option<RegisteredEndpoint> {
        let (id, known) = self.known.get_entry(id)?;
        Some(self.registered(id, known, halls_out))
    }

    fn registered(
        &self,
        id: &Arc<str>,
        known: &EndpointState,
        halls_out: &HallsOut,
    ) -> RegisteredEndpoint {
        let hall_out = halls_out.contains(&known.record.hall);
        RegisteredEndpoint {
            id: id.clone(),
            service: known.record.service.as_str().into(),
            address: known.address,
            hall: known.record.hall.as_str().into(),
            available: !hall_out && self.is_available(known),
            hall_out,
            cold_until: known.cold_until,
            started_at: known.record.born,
            sequence: known.record.sequence,
            software_version: known.record.software_version(),
        }
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
        let started_at = self.started_at(id).unwrap_or_default();
        self.remove(id);
        self.departed.insert(id, started_at);
    }
}

/// Whether two records of one run have different origins: a run never changes its service or the
/// version of its software.
fn contradicts(known: &EndpointRecord, record: &EndpointRecord) -> bool {
    let (known_version, version) = (&known.software_version, &record.software_version);
    let both_tell = !known_version.is_empty() && !version.is_empty();
    known.service != record.service || (both_tell && known_version != version)
}

/// Specification of an engine; `None` if its service is not configured or runs no model.
fn engine_spec(known: &EndpointState, config: &Config) -> Option<EndpointSpec> {
    let service = config.services.get(&known.record.service)?;
    let engine = service.engine.as_ref()?;
    Some(EndpointSpec {
        is_registered: true,
        started_at: known.record.born,
        hall: known.record.hall.clone(),
        address: known.address,
        target: EndpointTarget::Model(known.record.service.clone()),
        slots: known.record.slots.min(engine.slots),
        kv_tokens: engine.kv_tokens,
        checks_fence: false,
        supports_relocation: engine.supports_relocation,
        cold_start: service.cold_start,
        software_version: known.record.software_version(),
    })
}
