use std::{
    io,
    sync::{Arc, Mutex, mpsc},
};

use googletest::prelude::*;
use trayswitch_core::{
    agreement::{Entry, HardState, Persist},
    storage::{Folder, Storage},
    wire::EndpointRecord,
};

use super::writer::{Write, spawn};

/// A folder that notes which files are synced; the first sync after `open` waits for `go_on`.
struct GatedFolder {
    synced: Arc<Mutex<Vec<String>>>,
    go_on: Option<mpsc::Receiver<()>>,
}

impl Folder for GatedFolder {
    fn read(&self, _: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(None)
    }

    fn write_synced(&mut self, _: &str, _: &[u8]) -> io::Result<()> {
        Ok(())
    }

    fn rename_synced(&mut self, _: &str, _: &str) -> io::Result<()> {
        Ok(())
    }

    fn append(&mut self, _: &str, _: &[u8]) -> io::Result<()> {
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.synced.lock().unwrap().push(name.to_owned());
        if let Some(go_on) = self.go_on.take() {
            go_on.recv().map_err(io::Error::other)?;
        }
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn overwrite(&mut self, _: &str, _: &[u8]) -> io::Result<()> {
        Ok(())
    }

    fn truncate(&mut self, _: &str, _: u64) -> io::Result<()> {
        Ok(())
    }

    fn remove(&mut self, _: &str) -> io::Result<()> {
        Ok(())
    }
}

fn vote(term: u64) -> Persist {
    let hard_state = Some(HardState { term, voted_for: Some(1) });
    Persist { hard_state, entries: vec![Entry::default()], ..Persist::default() }
}

#[gtest]
fn log_writes_do_not_wait_for_hints() {
    let (go_on, gate) = mpsc::channel();
    let synced = Arc::new(Mutex::new(Vec::new()));
    let folder = GatedFolder { synced: synced.clone(), go_on: Some(gate) };
    let (storage, _) = Storage::open(Box::new(folder), 7).unwrap();
    let (writes, mut done) = spawn(storage).unwrap();

    writes.send(Write::log(1, vote(1))).unwrap();
    for _ in 0..3 {
        writes.send(Write::endpoints(vec![EndpointRecord::default()])).unwrap();
    }
    writes.send(Write::log(2, vote(2))).unwrap();
    go_on.send(()).unwrap();
    while done.blocking_recv().unwrap().number.is_some() {}

    expect_that!(*synced.lock().unwrap(), elements_are![eq("log-0"), eq("log-0"), eq("endpoints")]);
}
