//! The thread that writes and syncs the data folder.

use std::{path::Path, process, sync::mpsc, thread};

use eyre::{Result, WrapErr};
use trayswitch_core::{
    agreement::{Persist, ReplicaId, Restored},
    node::Input,
    storage::{DiskFolder, Storage},
};

use super::{NodeHandle, actor::Writes};
use crate::telemetry::EventId;

/// An opened data folder.
pub(super) struct Opened {
    pub(super) storage: Storage,
    pub(super) replica: ReplicaId,
    pub(super) restored: Restored,
}

/// Opens the data folder; an empty one becomes that of replica `new_id`.
pub(super) fn open(path: &Path, new_id: ReplicaId) -> Result<Opened> {
    let context = || format!("cannot open the data folder {}", path.display());
    let folder = DiskFolder::open(path).wrap_err_with(context)?;
    let (storage, restored) = Storage::open(Box::new(folder), new_id).wrap_err_with(context)?;
    Ok(Opened { replica: storage.replica(), storage, restored })
}

/// Starts the thread.
pub(super) fn spawn(mut storage: Storage, node: NodeHandle) -> Result<Writes> {
    let (tx, rx) = mpsc::channel::<(u64, Persist)>();
    let write = move || {
        for (number, persist) in rx {
            if let Err(e) = storage.write(&persist) {
                // What is on disk is not known any more; going on could break a promise.
                log::error!("{} {e}", EventId::StorageFailed);
                process::exit(1);
            }
            node.input(Input::Persisted(number));
        }
    };
    thread::Builder::new().name("storage".into()).spawn(write)?;
    Ok(tx)
}
