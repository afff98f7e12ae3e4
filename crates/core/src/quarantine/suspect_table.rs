//! The replicated table of suspects.
//!
//! The table is part of the replicated state and survives leader changes, lost disks and the loss
//! of all VMs at once. Each change increments its revision; daemons receive the changes after the
//! revision that they know.

use std::collections::BTreeMap;

use bytes::Bytes;

use super::{
    ContentDigest, CrashCounts,
    suspect_record::{CrashedRun, Entry, SuspectRecord},
    verdict::CrashHistory,
};
use crate::{
    units::UnixMillis,
    wire::{SuspectChange, SuspectNews},
};

/// Maximum records, of 0.1 kB with one crash and 1.5 kB at most: more than the requests that a whole data hall runs at
/// once. A data hall of the two-year size runs 3,300.
const MAX_RECORDS: usize = 4_096;
/// Maximum removed requests that are remembered to announce their removal.
const MAX_REMOVED: usize = MAX_RECORDS;
/// Maximum changes per message, which makes 15 kB if each has one crash.
const CHANGES_PER_MESSAGE: usize = 256;

/// An endpoint crashed while this request was running on it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CrashReport {
    /// The run that crashed.
    #[prost(message, required, tag = "1")]
    pub run: CrashedRun,
    /// Digest of the request.
    #[prost(bytes = "bytes", tag = "2")]
    pub request: Bytes,
    /// Whether the request ran as a trial.
    #[prost(bool, tag = "3")]
    pub in_trial: bool,
    /// Digests of the parts of its prompt that may have caused the crash.
    #[prost(bytes = "bytes", repeated, tag = "4")]
    pub parts: Vec<Bytes>,
    /// Digest of the content whose trial it was; empty if that was the whole request.
    #[prost(bytes = "bytes", tag = "5")]
    pub trial_of: Bytes,
}

impl CrashReport {
    /// The contents that the crash counts against, and for each whether it was in a trial.
    pub(crate) fn contents(&self) -> Vec<(ContentDigest, bool)> {
        let is_in_trial =
            |bytes: &Bytes| self.in_trial && (*bytes == self.request || *bytes == self.trial_of);
        let all = std::iter::once(&self.request).chain(&self.parts);
        all.filter_map(|bytes| Some((ContentDigest::from_slice(bytes)?, is_in_trial(bytes))))
            .collect()
    }
}

/// Removes a suspect, after it was answered completely or on an operator's command.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ClearRequest {
    /// Digest of the request.
    #[prost(bytes = "bytes", tag = "1")]
    pub request: Bytes,
    /// Digests of further contents.
    #[prost(bytes = "bytes", repeated, tag = "2")]
    pub others: Vec<Bytes>,
}

impl ClearRequest {
    /// Clears several contents.
    pub(crate) fn new(contents: &[ContentDigest]) -> ClearRequest {
        let mut others: Vec<Bytes> = contents.iter().map(ContentDigest::to_bytes).collect();
        let request = if others.is_empty() { Bytes::new() } else { others.remove(0) };
        ClearRequest { request, others }
    }

    fn contents(&self) -> impl Iterator<Item = ContentDigest> {
        let all = std::iter::once(&self.request).chain(&self.others);
        all.filter_map(|bytes| ContentDigest::from_slice(bytes))
    }
}

/// A suspect, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// Digest of the request.
    pub request: ContentDigest,
    /// Crashes that interrupted the request.
    pub crashes: CrashCounts,
    /// The most recently crashed runs, newest last.
    pub runs: Vec<CrashedRun>,
    /// Time of the last crash or release.
    pub updated_at: UnixMillis,
}

/// State of a daemon's [`SuspectCache`](super::SuspectCache).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SuspectCacheState {
    /// Table revision up to which the cache is complete.
    pub(crate) revision: u64,
    /// Whether the cache started empty and is still receiving the table.
    pub(crate) initializing: bool,
}

/// Effect of a command on the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectUpdate {
    /// Revision of the table after the command.
    pub revision: u64,
    /// The affected contents after the command, if they changed.
    pub changed: Vec<Suspect>,
}

/// Suspects and their crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SuspectTable {
    by_content: BTreeMap<ContentDigest, SuspectRecord>,
    /// The latest change of each suspect and of recently removed requests, by revision.
    changes: BTreeMap<u64, ContentDigest>,
    /// Recently removed requests and the revisions of their removal.
    removed: BTreeMap<ContentDigest, u64>,
    revision: u64,
    /// Removals up to this revision are no longer remembered.
    forgotten_revision: u64,
}

/// A record in a snapshot.
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
    #[prost(uint32, tag = "7")]
    releases: u32,
    #[prost(bool, tag = "8")]
    was_cleared: bool,
}

/// A recently removed content in a snapshot.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct EncodedRemoval {
    #[prost(bytes = "bytes", tag = "1")]
    content: Bytes,
    #[prost(uint64, tag = "2")]
    revision: u64,
}

/// The table in a snapshot.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct EncodedSuspectTable {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(message, repeated, tag = "2")]
    records: Vec<EncodedSuspect>,
    #[prost(message, repeated, tag = "3")]
    removed: Vec<EncodedRemoval>,
    /// Unknown in snapshots without removals.
    #[prost(uint64, optional, tag = "4")]
    forgotten_revision: Option<u64>,
}

impl SuspectTable {
    /// Crash counts of a request.
    pub fn crash_counts(&self, request: &ContentDigest) -> CrashCounts {
        self.by_content.get(request).map_or(CrashCounts::default(), |record| record.crashes)
    }

    /// All suspects, quarantined ones first.
    pub fn all(&self) -> Vec<Suspect> {
        let mut all: Vec<Suspect> = self.by_content.iter().map(suspect).collect();
        all.sort_by_key(|suspect| (!suspect.crashes.is_quarantined(), suspect.request));
        all
    }

    /// Records a crash that interrupted a request.
    pub(crate) fn record_crash(&mut self, report: &CrashReport, now: UnixMillis) -> SuspectUpdate {
        let mut changed = Vec::new();
        for (content, in_trial) in report.contents() {
            let was_cleared = self.removed.contains_key(&content);
            let new = || SuspectRecord { was_cleared, ..SuspectRecord::new() };
            let record = self.by_content.entry(content).or_insert_with(new);
            if record.add_crash(&report.run, in_trial, now) {
                self.mark_changed(content);
                self.evict(content);
                changed.push(content);
            }
        }
        self.updated(&changed)
    }

    /// Removes suspects.
    pub(crate) fn clear(&mut self, clear: &ClearRequest) -> SuspectUpdate {
        let known: Vec<ContentDigest> =
            clear.contents().filter(|content| self.by_content.contains_key(content)).collect();
        known.iter().for_each(|content| self.remove(*content));
        self.updated(&known)
    }

    /// Removes the suspects whose last crash was before `at`.
    pub(crate) fn remove_before(&mut self, at: UnixMillis) {
        let old = self.by_content.iter().filter(|(_, record)| record.updated_at < at);
        for content in old.map(|(content, _)| *content).collect::<Vec<_>>() {
            self.remove(content);
        }
    }

    /// When the least recent of the last crashes was.
    pub(crate) fn oldest(&self) -> Option<UnixMillis> {
        self.by_content.values().map(|record| record.updated_at).min()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_content.is_empty()
    }

    /// All suspects.
    pub(crate) fn contents(&self) -> impl Iterator<Item = &ContentDigest> {
        self.by_content.keys()
    }

    /// When [`SuspectTable::expire`] next has an effect.
    pub(crate) fn next_expiry(&self) -> Option<UnixMillis> {
        self.by_content.iter().map(|(content, record)| record.due_at(content.kind())).min()
    }

    /// Removes suspects without recent crashes, and releases requests from quarantine for one more
    /// trial.
    pub(crate) fn expire(&mut self, now: UnixMillis) -> SuspectUpdate {
        let due: Vec<ContentDigest> = self
            .by_content
            .iter()
            .filter(|(d, r)| r.due_at(d.kind()) <= now)
            .map(|(d, _)| *d)
            .collect();
        for request in due {
            match self.by_content.get_mut(&request) {
                Some(record) if record.crashes.is_quarantined() => {
                    record.release(now);
                    self.mark_changed(request);
                }
                _ => self.remove(request),
            }
        }
        self.unchanged()
    }

    /// The changes that a cache in this state lacks, at most [`CHANGES_PER_MESSAGE`].
    pub(crate) fn changes_since(&self, copy: SuspectCacheState) -> SuspectNews {
        let SuspectCacheState { revision: known, initializing } = copy;
        let lacks_removals = known < self.forgotten_revision && !initializing;
        let reset = lacks_removals || self.revision < known;
        let known = if reset { 0 } else { known };
        let mut remaining = self.changes.range(known + 1..);
        let sent: Vec<(u64, ContentDigest)> = remaining
            .by_ref()
            .take(CHANGES_PER_MESSAGE)
            .map(|(number, request)| (*number, *request))
            .collect();
        let more = remaining.next().is_some();
        let up_to = sent.last().filter(|_| more).map_or(self.revision, |(number, _)| *number);
        let change = |(_, request): (u64, ContentDigest)| {
            let CrashCounts { total: ended, in_trials } = self.crash_counts(&request);
            let runs = self.crashed_runs(&request);
            SuspectChange { request: request.to_bytes(), ended, in_trials, runs }
        };
        let changes = sent.into_iter().map(change).collect();
        SuspectNews { after: known, up_to, reset, more, changes }
    }

    pub(crate) fn encode(&self) -> EncodedSuspectTable {
        let record = |(request, record): (&ContentDigest, &SuspectRecord)| EncodedSuspect {
            request: request.to_bytes(),
            ended: record.crashes.total,
            in_trials: record.crashes.in_trials,
            runs: record.runs.clone(),
            last_ms: record.updated_at.0,
            revision: record.revision,
            releases: record.releases,
            was_cleared: record.was_cleared,
        };
        let removal = |(content, revision): (&ContentDigest, &u64)| EncodedRemoval {
            content: content.to_bytes(),
            revision: *revision,
        };
        EncodedSuspectTable {
            revision: self.revision,
            records: self.by_content.iter().map(record).collect(),
            removed: self.removed.iter().map(removal).collect(),
            forgotten_revision: Some(self.forgotten_revision),
        }
    }

    pub(crate) fn decode(encoded: EncodedSuspectTable) -> SuspectTable {
        let record = |record: EncodedSuspect| -> Option<Entry> {
            let request = ContentDigest::from_slice(&record.request)?;
            let EncodedSuspect {
                ended,
                in_trials,
                runs,
                last_ms,
                revision,
                releases,
                was_cleared,
                ..
            } = record;
            let crashes = CrashCounts { total: ended, in_trials };
            Some((
                request,
                SuspectRecord {
                    crashes,
                    runs,
                    updated_at: UnixMillis(last_ms),
                    revision,
                    releases,
                    was_cleared,
                },
            ))
        };
        let by_content: BTreeMap<ContentDigest, SuspectRecord> =
            encoded.records.into_iter().filter_map(record).collect();
        let removal = |removal: EncodedRemoval| {
            Some((ContentDigest::from_slice(&removal.content)?, removal.revision))
        };
        let removed: BTreeMap<ContentDigest, u64> =
            encoded.removed.into_iter().filter_map(removal).collect();
        let changed = by_content.iter().map(|(content, record)| (record.revision, *content));
        let gone = removed.iter().map(|(content, revision)| (*revision, *content));
        let changes = changed.chain(gone).collect();
        SuspectTable {
            by_content,
            changes,
            removed,
            revision: encoded.revision,
            forgotten_revision: encoded.forgotten_revision.unwrap_or(encoded.revision),
        }
    }

    fn unchanged(&self) -> SuspectUpdate {
        SuspectUpdate { revision: self.revision, changed: Vec::new() }
    }

    fn updated(&self, contents: &[ContentDigest]) -> SuspectUpdate {
        let removed = || SuspectRecord { revision: self.revision, ..SuspectRecord::new() };
        let current = |content: &ContentDigest| {
            let record = self.by_content.get(content).cloned().unwrap_or_else(removed);
            suspect((content, &record))
        };
        SuspectUpdate { revision: self.revision, changed: contents.iter().map(current).collect() }
    }

    /// Assigns the next revision to a change of `request`.
    fn mark_changed(&mut self, request: ContentDigest) {
        self.revision += 1;
        let Some(record) = self.by_content.get_mut(&request) else { return };
        let previous = std::mem::replace(&mut record.revision, self.revision);
        self.changes.remove(&previous);
        if let Some(removed) = self.removed.remove(&request) {
            self.changes.remove(&removed);
        }
        self.changes.insert(self.revision, request);
    }

    fn remove(&mut self, request: ContentDigest) {
        self.mark_changed(request);
        self.by_content.remove(&request);
        self.removed.insert(request, self.revision);
        self.trim_removed();
    }

    /// Evicts one record other than `kept` if the table is full.
    fn evict(&mut self, kept: ContentDigest) {
        if self.by_content.len() <= MAX_RECORDS {
            return;
        }
        let others = self.by_content.iter().filter(|(request, _)| **request != kept);
        let victim =
            others.min_by_key(|(_, record)| record.eviction_rank()).map(|(request, _)| *request);
        if let Some(victim) = victim {
            self.remove(victim);
        }
    }

    /// Bounds the number of remembered removals.
    fn trim_removed(&mut self) {
        while MAX_REMOVED < self.removed.len() {
            let oldest = self.removed.iter().min_by_key(|(_, number)| **number);
            let Some((request, number)) = oldest.map(|(request, number)| (*request, *number))
            else {
                return;
            };
            self.removed.remove(&request);
            self.changes.remove(&number);
            self.forgotten_revision = number;
        }
    }
}

impl CrashHistory for SuspectTable {
    fn crash_counts(&self, content: &ContentDigest) -> CrashCounts {
        SuspectTable::crash_counts(self, content)
    }

    fn crashed_runs(&self, content: &ContentDigest) -> Vec<CrashedRun> {
        self.by_content.get(content).map(|record| record.runs.clone()).unwrap_or_default()
    }

    fn suspects(&self) -> Vec<ContentDigest> {
        self.by_content.keys().copied().collect()
    }
}

fn suspect((request, record): (&ContentDigest, &SuspectRecord)) -> Suspect {
    let SuspectRecord { crashes, runs, updated_at: last, .. } = record.clone();
    Suspect { request: *request, crashes, runs, updated_at: last }
}
