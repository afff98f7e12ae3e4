//! The requests under which endpoints have ended, as the control VMs agree on them.
//!
//! The table is a part of the replicated state: it outlives the leader, lost disks and the loss of all
//! VMs at once. Every change has a number; daemons are told what has changed after the number that
//! they know.

use std::collections::BTreeMap;

use bytes::Bytes;

use super::{
    CrashCounts, RequestDigest,
    suspect_record::{CrashedRun, Entry, SuspectRecord},
};
use crate::{
    units::UnixMillis,
    wire::{SuspectChange, SuspectNews},
};

/// Requests that are kept: 4,096 of at most 0.5 kB. All that ran in a data hall of the two-year size, which
/// is lost at once, is 3,300.
const MAX_RECORDS: usize = 4_096;
/// Requests of which it is kept that they are no suspects any more.
const MAX_GONE: usize = MAX_RECORDS;
/// Changes that one message tells: 6 kB.
const TOLD_AT_ONCE: usize = 256;

/// An endpoint has ended, and these requests ran there.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CrashReport {
    /// The endpoint's run.
    #[prost(message, required, tag = "1")]
    pub run: CrashedRun,
    /// Digest of the request.
    #[prost(bytes = "bytes", tag = "2")]
    pub request: Bytes,
    /// Whether it ran as a trial.
    #[prost(bool, tag = "3")]
    pub in_trial: bool,
}

/// A request is no suspect any more: it has brought its whole answer, or an operator says so.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ClearRequest {
    /// Digest of the request.
    #[prost(bytes = "bytes", tag = "1")]
    pub request: Bytes,
}

/// A request under which endpoints have ended, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// The request.
    pub request: RequestDigest,
    /// How it stands.
    pub crashes: CrashCounts,
    /// The last endpoints that ended under it, the newest last.
    pub runs: Vec<CrashedRun>,
    /// When the last of them ended.
    pub updated_at: UnixMillis,
}

/// How much of the records a daemon has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SuspectCacheState {
    /// Number of the last change that it knows.
    pub(crate) revision: u64,
    /// Whether it began without any and has not been told all yet.
    pub(crate) initializing: bool,
}

/// What a command has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectUpdate {
    /// Number of the last change so far.
    pub revision: u64,
    /// The request that it is about, as it stands now, if it has changed.
    pub changed: Option<Suspect>,
}

/// The requests under which endpoints have ended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SuspectTable {
    by_request: BTreeMap<RequestDigest, SuspectRecord>,
    /// The last change of each request that is kept, and of those lately gone.
    changes: BTreeMap<u64, RequestDigest>,
    /// The requests that are lately gone, and the numbers of these changes.
    gone: BTreeMap<RequestDigest, u64>,
    revision: u64,
    /// What was gone by this number is forgotten.
    forgotten: u64,
}

/// One record in a snapshot.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct EncodedSuspect {
    #[prost(bytes = "bytes", tag = "1")]
    request: Bytes,
    #[prost(uint32, tag = "2")]
    ended: u32,
    #[prost(uint32, tag = "3")]
    in_trials: u32,
    #[prost(message, repeated, tag = "4")]
    runs: Vec<CrashedRun>,
    #[prost(uint64, tag = "5")]
    last_ms: u64,
    #[prost(uint64, tag = "6")]
    revision: u64,
}

/// [`SuspectTable`] in a snapshot. What is gone is not kept: daemons that know older changes are told all.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct EncodedSuspectTable {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(message, repeated, tag = "2")]
    records: Vec<EncodedSuspect>,
}

impl SuspectTable {
    /// How a request stands.
    pub fn crash_counts(&self, request: &RequestDigest) -> CrashCounts {
        self.by_request.get(request).map_or(CrashCounts::default(), |record| record.crashes)
    }

    /// All of them, those that are kept from endpoints first.
    pub fn all(&self) -> Vec<Suspect> {
        let mut all: Vec<Suspect> = self.by_request.iter().map(suspect).collect();
        all.sort_by_key(|suspect| (!suspect.crashes.is_quarantined(), suspect.request));
        all
    }

    /// Counts an end under a request.
    pub(crate) fn record_crash(&mut self, ended: &CrashReport, now: UnixMillis) -> SuspectUpdate {
        let Some(request) = RequestDigest::from_slice(&ended.request) else {
            return self.unchanged();
        };
        let record = self.by_request.entry(request).or_insert_with(SuspectRecord::new);
        if !record.end(&ended.run, ended.in_trial, now) {
            return self.unchanged();
        }
        self.changed(request);
        self.make_room(request);
        self.now_stands(request)
    }

    /// Forgets a request.
    pub(crate) fn clear(&mut self, clear: &ClearRequest) -> SuspectUpdate {
        let request = RequestDigest::from_slice(&clear.request);
        match request.filter(|request| self.by_request.contains_key(request)) {
            Some(request) => {
                self.remove(request);
                self.now_stands(request)
            }
            None => self.unchanged(),
        }
    }

    /// When [`SuspectTable::age`] next changes anything.
    pub(crate) fn next_expiry(&self) -> Option<UnixMillis> {
        self.by_request.values().map(SuspectRecord::due).min()
    }

    /// Forgets suspects that have been at no end for long, and lets those that were kept from
    /// endpoints have one trial more.
    pub(crate) fn expire(&mut self, now: UnixMillis) -> SuspectUpdate {
        let due: Vec<RequestDigest> =
            self.by_request.iter().filter(|(_, r)| r.due() <= now).map(|(d, _)| *d).collect();
        for request in due {
            match self.by_request.get_mut(&request) {
                Some(record) if record.crashes.is_quarantined() => {
                    record.release(now);
                    self.changed(request);
                }
                _ => self.remove(request),
            }
        }
        self.unchanged()
    }

    /// What a daemon lacks that knows the changes up to this number.
    pub(crate) fn changes_since(&self, copy: SuspectCacheState) -> SuspectNews {
        let SuspectCacheState { revision: known, initializing: filling } = copy;
        let lacks_what_is_gone = known < self.forgotten && !filling;
        let reset = lacks_what_is_gone || self.revision < known;
        let known = if reset { 0 } else { known };
        let mut left = self.changes.range(known + 1..);
        let told: Vec<(u64, RequestDigest)> =
            left.by_ref().take(TOLD_AT_ONCE).map(|(number, request)| (*number, *request)).collect();
        let more = left.next().is_some();
        let up_to = told.last().filter(|_| more).map_or(self.revision, |(number, _)| *number);
        let change = |(_, request): (u64, RequestDigest)| {
            let CrashCounts { total: ended, in_trials } = self.crash_counts(&request);
            SuspectChange { request: Bytes::copy_from_slice(request.as_bytes()), ended, in_trials }
        };
        let changes = told.into_iter().map(change).collect();
        SuspectNews { after: known, up_to, reset, more, changes }
    }

    pub(crate) fn encode(&self) -> EncodedSuspectTable {
        let record = |(request, record): (&RequestDigest, &SuspectRecord)| EncodedSuspect {
            request: Bytes::copy_from_slice(request.as_bytes()),
            ended: record.crashes.total,
            in_trials: record.crashes.in_trials,
            runs: record.runs.clone(),
            last_ms: record.updated_at.0,
            revision: record.revision,
        };
        let records = self.by_request.iter().map(record).collect();
        EncodedSuspectTable { revision: self.revision, records }
    }

    pub(crate) fn decode(encoded: EncodedSuspectTable) -> SuspectTable {
        let record = |record: EncodedSuspect| -> Option<Entry> {
            let request = RequestDigest::from_slice(&record.request)?;
            let EncodedSuspect { ended, in_trials, runs, last_ms, revision: number, .. } = record;
            let standing = CrashCounts { total: ended, in_trials };
            Some((
                request,
                SuspectRecord {
                    crashes: standing,
                    runs,
                    updated_at: UnixMillis(last_ms),
                    revision: number,
                },
            ))
        };
        let by_request: BTreeMap<RequestDigest, SuspectRecord> =
            encoded.records.into_iter().filter_map(record).collect();
        let changes = by_request.iter().map(|(request, r)| (r.revision, *request)).collect();
        let number = encoded.revision;
        SuspectTable {
            by_request,
            changes,
            gone: BTreeMap::new(),
            revision: number,
            forgotten: number,
        }
    }

    fn unchanged(&self) -> SuspectUpdate {
        SuspectUpdate { revision: self.revision, changed: None }
    }

    fn now_stands(&self, request: RequestDigest) -> SuspectUpdate {
        let gone = || SuspectRecord { revision: self.revision, ..SuspectRecord::new() };
        let record = self.by_request.get(&request).cloned().unwrap_or_else(gone);
        SuspectUpdate { revision: self.revision, changed: Some(suspect((&request, &record))) }
    }

    /// Numbers a change of a request that is kept.
    fn changed(&mut self, request: RequestDigest) {
        self.revision += 1;
        let Some(record) = self.by_request.get_mut(&request) else { return };
        let before = std::mem::replace(&mut record.revision, self.revision);
        self.changes.remove(&before);
        if let Some(gone) = self.gone.remove(&request) {
            self.changes.remove(&gone);
        }
        self.changes.insert(self.revision, request);
    }

    fn remove(&mut self, request: RequestDigest) {
        self.changed(request);
        self.by_request.remove(&request);
        self.gone.insert(request, self.revision);
        self.forget_gone();
    }

    /// Lets the least of the others give way if there are too many.
    fn make_room(&mut self, kept: RequestDigest) {
        if self.by_request.len() <= MAX_RECORDS {
            return;
        }
        let others = self.by_request.iter().filter(|(request, _)| **request != kept);
        let least = others.min_by_key(|(_, record)| record.worth()).map(|(request, _)| *request);
        if let Some(least) = least {
            self.remove(least);
        }
    }

    /// Bounds what is kept of requests that are gone.
    fn forget_gone(&mut self) {
        while MAX_GONE < self.gone.len() {
            let oldest = self.gone.iter().min_by_key(|(_, number)| **number);
            let Some((request, number)) = oldest.map(|(request, number)| (*request, *number))
            else {
                return;
            };
            self.gone.remove(&request);
            self.changes.remove(&number);
            self.forgotten = number;
        }
    }
}

fn suspect((request, record): (&RequestDigest, &SuspectRecord)) -> Suspect {
    let SuspectRecord { crashes: standing, runs, updated_at: last, .. } = record.clone();
    Suspect { request: *request, crashes: standing, runs, updated_at: last }
}
