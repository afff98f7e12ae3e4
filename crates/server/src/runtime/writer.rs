//! The thread that writes and syncs the data folder.

use std::{
    path::Path,
    process,
    sync::mpsc::{self, RecvTimeoutError},
    thread,
    time::{Duration, Instant},
};

use eyre::{Result, WrapErr};
use trayswitch_core::{
    agreement::{Persist, ReplicaId, Restored},
    storage::{DiskFolder, Storage, StorageError},
    wire::EndpointRecord,
};

use crate::telemetry::EventId;

/// Pause before a write is tried again that a full disk refused.
const FULL_PAUSE: Duration = Duration::from_millis(200);
/// After a hint the next one waits so many times as long as that one took.
const HINT_PAUSE_FACTOR: u32 = 9;

/// A write for the thread.
pub(super) struct Write {
    content: Content,
    since: Instant,
}

enum Content {
    /// What the log must hold before anything is answered for.
    Log(u64, Persist),
    /// The endpoints that are known, a hint for the next start.
    Endpoints(Vec<EndpointRecord>),
}

impl Write {
    /// A write of the log with this number.
    pub(super) fn log(number: u64, persist: Persist) -> Write {
        Write { content: Content::Log(number, persist), since: Instant::now() }
    }

    /// A write of the endpoints that are known.
    pub(super) fn endpoints(endpoints: Vec<EndpointRecord>) -> Write {
        Write { content: Content::Endpoints(endpoints), since: Instant::now() }
    }
}

/// A write that has been carried out.
pub(super) struct Done {
    /// Number of the write if it was one of the log, which is synced now.
    pub(super) number: Option<u64>,
    /// How long it waited for other writes.
    pub(super) waited: Duration,
    /// How long writing and syncing took.
    pub(super) took: Duration,
}

/// Writes for the thread.
pub(super) type Writes = mpsc::Sender<Write>;
/// Writes that have been carried out.
pub(super) type Written = tokio::sync::mpsc::UnboundedReceiver<Done>;

/// An opened data folder.
pub(super) struct Opened {
    pub(super) storage: Storage,
    pub(super) replica: ReplicaId,
    pub(super) restored: Restored,
    pub(super) endpoints: Vec<EndpointRecord>,
}

/// What the thread has yet to write: the log first, and of the hints only the newest.
struct Queue {
    rx: mpsc::Receiver<Write>,
    hint: Option<Write>,
    hint_due: Instant,
}

impl Queue {
    /// Waits for the next write; `None` once the daemon ends.
    fn next(&mut self) -> Option<Write> {
        loop {
            let received = match &self.hint {
                None => self.rx.recv().ok()?,
                Some(_) => {
                    let wait = self.hint_due.saturating_duration_since(Instant::now());
                    match self.rx.recv_timeout(wait) {
                        Ok(write) => write,
                        Err(RecvTimeoutError::Timeout) => return self.hint.take(),
                        Err(RecvTimeoutError::Disconnected) => return None,
                    }
                }
            };
            match received.content {
                Content::Log(..) => return Some(received),
                Content::Endpoints(_) => self.hint = Some(received),
            }
        }
    }
}

/// Opens the data folder; an empty one becomes that of replica `new_id`.
pub(super) fn open(path: &Path, new_id: ReplicaId) -> Result<Opened> {
    let context = || format!("cannot open the data folder {}", path.display());
    let folder = DiskFolder::open(path).wrap_err_with(context)?;
    #[cfg(feature = "faults")]
    let folder = super::faulty::FaultyFolder::open(folder, path).wrap_err_with(context)?;
    let (storage, restored) = Storage::open(Box::new(folder), new_id).wrap_err_with(context)?;
    let endpoints = storage.remembered().wrap_err_with(context)?;
    Ok(Opened { replica: storage.replica(), storage, restored, endpoints })
}

/// Writes and syncs, and waits while the disk is full: a replica that answers for nothing does
/// no harm, and its group goes on with the others.
fn write_patiently(storage: &mut Storage, persist: &Persist) -> Result<(), StorageError> {
    let mut waited = false;
    loop {
        match storage.write(persist) {
            Err(StorageError::Full) if !waited => {
                log::error!(event = EventId::StorageFull.number(); "the disk is full; waiting");
                waited = true;
            }
            Err(StorageError::Full) => {}
            Ok(()) if waited => {
                log::info!(event = EventId::StorageFull.number(); "the disk has room again");
                return Ok(());
            }
            result => return result,
        }
        thread::sleep(FULL_PAUSE);
        match storage.rewind() {
            Ok(()) | Err(StorageError::Full) => {}
            Err(e) => return Err(e),
        }
    }
}

/// Writes and syncs; ends the process if that fails.
fn write_or_end(storage: &mut Storage, persist: &Persist) {
    if let Err(e) = write_patiently(storage, persist) {
        // What is on disk is not known any more; going on could break a promise.
        log::error!(
            event = EventId::StorageFailed.number(), error = e.to_string().as_str();
            "the data folder cannot be written; the daemon ends"
        );
        process::exit(1);
    }
}

/// Keeps the endpoints; without them the next start only takes a heartbeat longer.
fn remember(storage: &mut Storage, endpoints: Vec<EndpointRecord>) {
    if let Err(e) = storage.remember(endpoints) {
        log::warn!(
            event = EventId::StorageFailed.number(), error = e.to_string().as_str();
            "the known endpoints were not written"
        );
    }
}

/// Starts the thread.
pub(super) fn spawn(mut storage: Storage) -> Result<(Writes, Written)> {
    let (tx, rx) = mpsc::channel::<Write>();
    let (done_tx, done_rx) = tokio::sync::mpsc::unbounded_channel();
    let write = move || {
        let mut queue = Queue { rx, hint: None, hint_due: Instant::now() };
        while let Some(Write { content, since }) = queue.next() {
            let (began, waited) = (Instant::now(), since.elapsed());
            let number = match content {
                Content::Log(number, persist) => {
                    write_or_end(&mut storage, &persist);
                    Some(number)
                }
                Content::Endpoints(endpoints) => {
                    remember(&mut storage, endpoints);
                    queue.hint_due = Instant::now() + began.elapsed() * HINT_PAUSE_FACTOR;
                    None
                }
            };
            if done_tx.send(Done { number, waited, took: began.elapsed() }).is_err() {
                return;
            }
        }
    };
    thread::Builder::new().name("storage".into()).spawn(write)?;
    Ok((tx, done_rx))
}
