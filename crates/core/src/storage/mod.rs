//! The synced files of a control replica.
//!
//! The data folder holds one generation of two files: a snapshot and the log
//! after it. The file `current` names the generation. The file `synced` notes
//! how much of the log was synced; it is not synced itself, but where it has
//! survived it tells a flipped byte in synced records from a torn tail. The file
//! `endpoints` holds the endpoints that were known, a hint for the next start.

mod folder;
mod record;
#[cfg(test)]
mod tests;

use std::{fmt, io};

use prost::Message;

pub use self::folder::{DiskFolder, Folder};
use self::record::{LogBatch, LogRecord, Scan, encode_record, log_record, scan};
use crate::{
    agreement::{Entry, Persist, ReplicaId, Restored, Snapshot},
    wire::{EndpointNews, EndpointRecord},
};

const CURRENT: &str = "current";
const CURRENT_NEW: &str = "current.new";
const SYNCED: &str = "synced";
const ENDPOINTS: &str = "endpoints";

/// Why the data folder cannot be used. Each but a full disk is fatal to the daemon.
#[derive(Debug)]
pub enum StorageError {
    /// The disk is full. Nothing was written that counts; the write may be tried again after
    /// [`Storage::rewind`].
    Full,
    /// Reading, writing or syncing failed; a failed sync is never tried again.
    Io(&'static str, io::Error),
    /// Synced data has changed or is gone.
    Corrupt(String),
}

impl fmt::Display for StorageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StorageError::Full => f.write_str("the disk of the data folder is full"),
            StorageError::Io(what, e) => write!(f, "cannot {what} in the data folder: {e}"),
            StorageError::Corrupt(problem) => write!(
                f,
                "the data folder is corrupt: {problem}; move it away and start the daemon with an \
                 empty one, so that it joins as a new replica"
            ),
        }
    }
}

impl std::error::Error for StorageError {}

/// What `current` holds.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
struct Current {
    #[prost(uint64, tag = "1")]
    replica: ReplicaId,
    #[prost(uint64, tag = "2")]
    generation: u64,
}

/// What `synced` holds.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
struct SyncedMark {
    #[prost(uint64, tag = "1")]
    generation: u64,
    #[prost(uint64, tag = "2")]
    length: u64,
}

/// The open data folder.
pub struct Storage {
    folder: Box<dyn Folder>,
    current: Current,
    log_length: u64,
}

impl Storage {
    /// Opens a folder. An empty one becomes that of the new replica `new_id`.
    pub fn open(
        mut folder: Box<dyn Folder>,
        new_id: ReplicaId,
    ) -> Result<(Storage, Restored), StorageError> {
        let Some(bytes) = folder.read(CURRENT).map_err(io_error("read"))? else {
            return Storage::create(folder, new_id);
        };
        let current: Current = decode_one(&bytes, CURRENT)?;
        let snapshot_bytes =
            folder.read(&snapshot_name(current.generation)).map_err(io_error("read"))?;
        let snapshot = match snapshot_bytes {
            Some(bytes) => Some(decode_one::<Snapshot>(&bytes, "the snapshot")?),
            None if current.generation == 0 => None,
            None => return Err(StorageError::Corrupt("the snapshot is missing".into())),
        };
        let log = log_name(current.generation);
        let bytes = folder
            .read(&log)
            .map_err(io_error("read"))?
            .ok_or_else(|| StorageError::Corrupt(format!("{log} is missing")))?;
        let scanned = scan(&bytes).map_err(StorageError::Corrupt)?;
        let mark = read_mark(&*folder)?;
        if mark.generation == current.generation && scanned.length < mark.length {
            return Err(StorageError::Corrupt(format!(
                "{log} is sound for {} bytes, but {} were synced",
                scanned.length, mark.length
            )));
        }
        if scanned.length < bytes.len() as u64 {
            // A write that was cut short and never answered for.
            folder.truncate(&log, scanned.length).map_err(io_error("truncate the log"))?;
        }
        if mark.generation != current.generation || mark.length != scanned.length {
            // A process that was killed before its sync has left what a loss of power takes away.
            folder.sync(&log).map_err(io_error("sync the log"))?;
            folder.sync_names().map_err(io_error("sync the names"))?;
        }
        let storage = Storage { folder, current, log_length: scanned.length };
        Ok((storage, restore(snapshot, scanned)))
    }

    /// The replica that this folder belongs to.
    pub fn replica(&self) -> ReplicaId {
        self.current.replica
    }

    /// Bytes of the log file.
    pub fn log_length(&self) -> u64 {
        self.log_length
    }

    /// Writes and syncs. After an error the process must end.
    pub fn write(&mut self, persist: &Persist) -> Result<(), StorageError> {
        if let Some(snapshot) = &persist.snapshot {
            return self.write_generation(snapshot, persist);
        }
        let bytes = encode_batch(persist);
        if bytes.is_empty() {
            return Ok(());
        }
        let log = log_name(self.current.generation);
        self.folder.append(&log, &bytes).map_err(write_error("append to the log"))?;
        self.folder.sync(&log).map_err(io_error("sync the log"))?;
        self.log_length += bytes.len() as u64;
        self.mark_synced()
    }

    /// Keeps the endpoints that are known, in place of those before. This is only a hint for the
    /// next start: after an error the daemon may go on.
    pub fn remember(&mut self, endpoints: Vec<EndpointRecord>) -> Result<(), StorageError> {
        let bytes = encode_record(&EndpointNews::new(endpoints).encode_to_vec());
        self.folder.overwrite(ENDPOINTS, &bytes).map_err(write_error("write the endpoints"))?;
        self.folder.sync(ENDPOINTS).map_err(io_error("sync the endpoints"))
    }

    /// The endpoints that were last remembered; none if that write was torn.
    pub fn remembered(&self) -> Result<Vec<EndpointRecord>, StorageError> {
        let bytes = self.folder.read(ENDPOINTS).map_err(io_error("read"))?.unwrap_or_default();
        let payload = record::decode_only(&bytes).unwrap_or_default();
        Ok(EndpointNews::decode(payload).map(|news| news.records).unwrap_or_default())
    }

    /// Takes back what a write left behind that failed because the disk was full.
    pub fn rewind(&mut self) -> Result<(), StorageError> {
        let log = log_name(self.current.generation);
        self.folder.truncate(&log, self.log_length).map_err(write_error("truncate the log"))
    }

    fn create(folder: Box<dyn Folder>, id: ReplicaId) -> Result<(Storage, Restored), StorageError> {
        let current = Current { replica: id, generation: 0 };
        let mut storage = Storage { folder, current, log_length: 0 };
        storage.folder.write_synced(&log_name(0), &[]).map_err(io_error("create the log"))?;
        storage.switch_to(current)?;
        Ok((storage, Restored::default()))
    }

    fn write_generation(
        &mut self,
        snapshot: &Snapshot,
        persist: &Persist,
    ) -> Result<(), StorageError> {
        let old = self.current.generation;
        let new = Current { generation: old + 1, ..self.current };
        let bytes = encode_record(&snapshot.encode_to_vec());
        let name = snapshot_name(new.generation);
        self.folder.write_synced(&name, &bytes).map_err(write_error("write the snapshot"))?;
        let records = encode_batch(persist);
        let name = log_name(new.generation);
        self.folder.write_synced(&name, &records).map_err(write_error("write the log"))?;
        self.switch_to(new)?;
        self.log_length = records.len() as u64;
        self.mark_synced()?;
        // Files of the old generation are only a waste of space; leaving them does no harm.
        let _ = self.folder.remove(&snapshot_name(old));
        let _ = self.folder.remove(&log_name(old));
        Ok(())
    }

    fn switch_to(&mut self, current: Current) -> Result<(), StorageError> {
        let bytes = encode_record(&current.encode_to_vec());
        self.folder.write_synced(CURRENT_NEW, &bytes).map_err(write_error("write"))?;
        self.folder.rename_synced(CURRENT_NEW, CURRENT).map_err(io_error("rename"))?;
        self.current = current;
        Ok(())
    }

    fn mark_synced(&mut self) -> Result<(), StorageError> {
        let mark = SyncedMark { generation: self.current.generation, length: self.log_length };
        let bytes = encode_record(&mark.encode_to_vec());
        match self.folder.overwrite(SYNCED, &bytes) {
            // The mark is only a hint; what it tells of is synced already.
            Err(e) if e.kind() == io::ErrorKind::StorageFull => Ok(()),
            result => result.map_err(io_error("write")),
        }
    }
}

fn io_error(what: &'static str) -> impl Fn(io::Error) -> StorageError {
    move |e| StorageError::Io(what, e)
}

/// A write that a full disk refused may be tried again; a sync that failed may not.
fn write_error(what: &'static str) -> impl Fn(io::Error) -> StorageError {
    move |e| match e.kind() {
        io::ErrorKind::StorageFull => StorageError::Full,
        _ => StorageError::Io(what, e),
    }
}

fn snapshot_name(generation: u64) -> String {
    format!("snapshot-{generation}")
}

fn log_name(generation: u64) -> String {
    format!("log-{generation}")
}

fn encode_batch(persist: &Persist) -> Vec<u8> {
    if persist.hard_state.is_none() && persist.entries.is_empty() {
        return Vec::new();
    }
    let batch = LogBatch { hard_state: persist.hard_state, entries: persist.entries.clone() };
    let record = LogRecord { kind: Some(log_record::Kind::Batch(batch)) };
    encode_record(&record.encode_to_vec())
}

fn decode_one<T: Message + Default>(bytes: &[u8], name: &str) -> Result<T, StorageError> {
    let corrupt = || StorageError::Corrupt(format!("{name} cannot be read"));
    let payload = record::decode_only(bytes).ok_or_else(corrupt)?;
    T::decode(payload).map_err(|_| corrupt())
}

/// The mark is only a hint: a torn one counts as none.
fn read_mark(folder: &dyn Folder) -> Result<SyncedMark, StorageError> {
    let bytes = folder.read(SYNCED).map_err(io_error("read"))?.unwrap_or_default();
    let payload = record::decode_only(&bytes).unwrap_or_default();
    Ok(SyncedMark::decode(payload).unwrap_or_default())
}

fn restore(snapshot: Option<Snapshot>, scanned: Scan) -> Restored {
    let mut restored = Restored { snapshot, ..Restored::default() };
    for record in scanned.records {
        match record.kind {
            Some(log_record::Kind::HardState(hard_state)) => restored.hard_state = hard_state,
            Some(log_record::Kind::Entry(entry)) => restore_entry(&mut restored, entry),
            Some(log_record::Kind::Batch(batch)) => {
                restored.hard_state = batch.hard_state.unwrap_or(restored.hard_state);
                for entry in batch.entries {
                    restore_entry(&mut restored, entry);
                }
            }
            None => {}
        }
    }
    restored
}

fn restore_entry(restored: &mut Restored, entry: Entry) {
    let keep = restored.entries.partition_point(|e| e.index < entry.index);
    restored.entries.truncate(keep);
    restored.entries.push(entry);
}
