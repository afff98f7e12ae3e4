//! Tests of storage: crashes at every write, torn tails, flipped bytes, full disks.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use googletest::prelude::*;
use proptest::prelude::*;

use super::*;
use crate::agreement::{Entry, HardState, Membership, Payload};

/// Content as seen by a running process, with the length that is synced.
type FileContent = (Vec<u8>, usize);

#[derive(Default)]
struct Files {
    files: BTreeMap<String, FileContent>,
    /// Writes that still succeed.
    budget: Option<usize>,
    /// A name that is not synced, and the file that had it before.
    unsynced_name: Option<(String, Option<FileContent>)>,
}

/// A folder in memory that can lose what is not synced and fail after some writes.
#[derive(Clone, Default)]
struct MemoryFolder(Arc<Mutex<Files>>);

impl MemoryFolder {
    fn step(&self) -> io::Result<std::sync::MutexGuard<'_, Files>> {
        let mut files = self.0.lock().unwrap();
        if let Some(budget) = &mut files.budget {
            if *budget == 0 {
                return Err(io::ErrorKind::StorageFull.into());
            }
            *budget -= 1;
        }
        Ok(files)
    }

    /// A machine crash: of each unsynced tail only `keep` percent is left.
    fn crash(&self, keep: usize) {
        let mut files = self.0.lock().unwrap();
        files.budget = None;
        if let Some((name, before)) = files.unsynced_name.take() {
            match before {
                Some(file) => drop(files.files.insert(name, file)),
                None => drop(files.files.remove(&name)),
            }
        }
        for (bytes, synced) in files.files.values_mut() {
            bytes.truncate(*synced + (bytes.len() - *synced) * keep / 100);
            *synced = bytes.len();
        }
    }

    /// A machine crash of which the unsynced tail survives, but for its first bytes.
    fn lose_first_bytes_of_tail(&self, name: &str, count: usize) {
        let mut files = self.0.lock().unwrap();
        files.budget = None;
        let (bytes, synced) = files.files.get_mut(name).unwrap();
        let end = (*synced + count).min(bytes.len());
        bytes[*synced..end].fill(0);
        *synced = bytes.len();
    }

    /// The process ends; what it has written stays, also what is not synced.
    fn kill(&self) {
        self.0.lock().unwrap().budget = None;
    }

    fn flip(&self, name: &str, at: usize) {
        let mut files = self.0.lock().unwrap();
        files.files.get_mut(name).unwrap().0[at] ^= 0x10;
    }
}

impl Folder for MemoryFolder {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.0.lock().unwrap().files.get(name).map(|f| f.0.clone()))
    }

    fn write_synced(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        // A crash in the middle leaves a file of any length.
        let half = bytes[..bytes.len() / 2].to_vec();
        self.step()?.files.insert(name.into(), (half, 0));
        self.step()?.files.insert(name.into(), (bytes.to_vec(), bytes.len()));
        self.sync_names()
    }

    fn rename_synced(&mut self, from: &str, to: &str) -> io::Result<()> {
        {
            let mut files = self.step()?;
            let file = files.files.remove(from).unwrap();
            let before = files.files.insert(to.into(), file);
            files.unsynced_name = Some((to.into(), before));
        }
        self.sync_names()
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.step()?.files.get_mut(name).unwrap().0.extend(bytes);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut files = self.step()?;
        let file = files.files.get_mut(name).unwrap();
        file.1 = file.0.len();
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.step()?.unsynced_name = None;
        Ok(())
    }

    fn overwrite(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.step()?.files.insert(name.into(), (bytes.to_vec(), 0));
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut files = self.step()?;
        let file = files.files.get_mut(name).unwrap();
        file.0.truncate(length as usize);
        file.1 = length as usize;
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.step()?.files.remove(name);
        Ok(())
    }
}

fn entry(index: u64, term: u64) -> Entry {
    let payload = Some(Payload::Command(Bytes::from(format!("c{index}.{term}"))));
    Entry { term, index, at_ms: index, payload }
}

fn entries(range: std::ops::RangeInclusive<u64>, term: u64) -> Persist {
    let hard_state = Some(HardState { term, voted_for: Some(1) });
    Persist { snapshot: None, hard_state, entries: range.map(|i| entry(i, term)).collect() }
}

fn open(folder: &MemoryFolder) -> std::result::Result<(Storage, Restored), StorageError> {
    Storage::open(Box::new(folder.clone()), 7)
}

/// What a disk must hold after these writes.
fn expected(writes: &[Persist]) -> Restored {
    let mut restored = Restored::default();
    for write in writes {
        if let Some(snapshot) = &write.snapshot {
            restored.snapshot = Some(snapshot.clone());
            restored.entries.clear();
        }
        restored.hard_state = write.hard_state.unwrap_or(restored.hard_state);
        for entry in &write.entries {
            restored.entries.retain(|e| e.index < entry.index);
            restored.entries.push(entry.clone());
        }
    }
    restored
}

fn same(a: &Restored, b: &Restored) -> bool {
    a.hard_state == b.hard_state && a.snapshot == b.snapshot && a.entries == b.entries
}

#[gtest]
fn a_torn_tail_is_cut_off_and_the_rest_kept() {
    let folder = MemoryFolder::default();
    let (mut storage, _) = open(&folder).unwrap();
    storage.write(&entries(1..=3, 1)).unwrap();
    folder.0.lock().unwrap().budget = Some(1);
    storage.write(&entries(4..=6, 1)).unwrap_err();
    folder.crash(50);

    let (_, restored) = open(&folder).unwrap();

    expect_that!(restored.entries.len(), all![ge(3), le(6)]);
}

#[gtest]
fn a_write_of_which_only_a_later_part_lasted_is_a_torn_tail() {
    let folder = MemoryFolder::default();
    let (mut storage, _) = open(&folder).unwrap();
    storage.write(&entries(1..=3, 1)).unwrap();
    folder.0.lock().unwrap().budget = Some(1);
    storage.write(&entries(4..=6, 1)).unwrap_err();
    folder.lose_first_bytes_of_tail("log-0", 12);

    let (_, restored) = open(&folder).unwrap();

    expect_that!(restored.entries.len(), eq(3));
}

#[gtest]
fn a_write_that_a_full_disk_refused_succeeds_when_there_is_room_again() {
    let folder = MemoryFolder::default();
    let (mut storage, _) = open(&folder).unwrap();
    storage.write(&entries(1..=3, 1)).unwrap();
    folder.0.lock().unwrap().budget = Some(0);
    let refused = storage.write(&entries(4..=6, 1));
    folder.0.lock().unwrap().budget = None;

    storage.rewind().unwrap();
    storage.write(&entries(4..=6, 1)).unwrap();

    expect_that!(refused, err(matches_pattern!(StorageError::Full)));
    let (_, restored) = open(&folder).unwrap();
    expect_that!(restored.entries.len(), eq(6));
}

#[gtest]
fn a_snapshot_that_a_full_disk_refused_succeeds_later() {
    let folder = MemoryFolder::default();
    let (mut storage, _) = open(&folder).unwrap();
    storage.write(&entries(1..=3, 1)).unwrap();
    let snapshot = Snapshot {
        index: 3,
        term: 1,
        at_ms: 0,
        membership: Membership::default(),
        data: Bytes::from_static(b"state"),
    };
    let persist = Persist { snapshot: Some(snapshot), ..Persist::default() };
    for budget in 0..3 {
        folder.0.lock().unwrap().budget = Some(budget);
        let refused = storage.write(&persist);
        folder.0.lock().unwrap().budget = None;
        expect_that!(refused, err(matches_pattern!(StorageError::Full)));
        storage.rewind().unwrap();
    }

    storage.write(&persist).unwrap();

    let (_, restored) = open(&folder).unwrap();
    expect_that!(restored.snapshot.map(|s| s.index), some(eq(3)));
}

#[gtest]
fn a_flipped_byte_in_synced_records_is_never_taken_for_a_torn_tail() {
    let folder = MemoryFolder::default();
    let (mut storage, _) = open(&folder).unwrap();
    storage.write(&entries(1..=3, 1)).unwrap();
    let length = storage.log_length() as usize;
    for at in 0..length {
        folder.flip("log-0", at);
        expect_that!(
            open(&folder).err(),
            some(matches_pattern!(StorageError::Corrupt(_))),
            "byte {at}"
        );
        folder.flip("log-0", at);
    }

    expect_that!(open(&folder).is_ok(), eq(true));
}

#[gtest]
fn a_snapshot_survives_with_the_entries_after_it() {
    let folder = MemoryFolder::default();
    let (mut storage, _) = open(&folder).unwrap();
    storage.write(&entries(1..=5, 1)).unwrap();
    let snapshot = Snapshot {
        index: 4,
        term: 1,
        at_ms: 4,
        membership: Membership::default(),
        data: Bytes::from_static(b"state"),
    };
    let persist = Persist { snapshot: Some(snapshot.clone()), ..entries(5..=5, 1) };

    storage.write(&persist).unwrap();

    let (storage, restored) = open(&folder).unwrap();
    expect_that!(storage.replica(), eq(7));
    expect_that!(restored.snapshot, some(eq(&snapshot)));
    expect_that!(restored.entries, elements_are![eq(&entry(5, 1))]);
}

fn writes() -> impl Strategy<Value = Vec<Persist>> {
    let write = prop_oneof![
        4 => (1u64..20, 0u64..5, 1u64..4)
            .prop_map(|(first, n, term)| entries(first..=first + n, term)),
        1 => (1u64..20, 1u64..4).prop_map(|(index, term)| Persist {
            snapshot: Some(Snapshot {
                index,
                term,
                at_ms: 0,
                membership: Membership::default(),
                data: Bytes::from(vec![index as u8; 40]),
            }),
            ..entries(index + 1..=index + 2, term)
        }),
    ];
    proptest::collection::vec(write, 1..10)
}

proptest! {
    #![proptest_config(crate::testing::fixed_seed(400))]

    #[test]
    fn after_a_crash_at_any_write_all_answered_writes_are_there(
        writes in writes(),
        budget in 0usize..60,
        keep in 0usize..101,
    ) {
        let folder = MemoryFolder::default();
        let (mut storage, _) = open(&folder).unwrap();
        folder.0.lock().unwrap().budget = Some(budget);
        let answered = writes.iter().take_while(|w| storage.write(w).is_ok()).count();
        folder.crash(keep);
        // Tails that were cut short may have left any part of the next write.
        let (_, restored) = open(&folder).unwrap();
        let before = expected(&writes[..answered]);
        if same(&restored, &before) || answered == writes.len() {
            prop_assert!(same(&restored, &before));
            return Ok(());
        }
        let next = &writes[answered];
        let possible = (0..=next.entries.len()).any(|n| {
            let mut part = next.clone();
            part.entries.truncate(n);
            let mut all = writes[..answered].to_vec();
            all.push(part);
            same(&restored, &expected(&all))
        });
        prop_assert!(possible, "restored {restored:?}");
    }
}

// Guards against votes and entries that rest on what a killed process has not synced.
#[gtest]
fn what_was_read_at_a_start_outlasts_a_loss_of_power() {
    let snapshot = Snapshot { index: 2, term: 1, ..Snapshot::default() };
    let compaction = Persist { snapshot: Some(snapshot), ..entries(3..=4, 2) };
    for write in [entries(3..=4, 2), compaction] {
        for budget in 0..12 {
            let folder = MemoryFolder::default();
            open(&folder).unwrap().0.write(&entries(1..=2, 1)).unwrap();
            let (mut storage, _) = open(&folder).unwrap();
            folder.0.lock().unwrap().budget = Some(budget);
            // It may fail at any step.
            let _ = storage.write(&write);
            folder.kill();

            let (_, read) = open(&folder).unwrap();
            folder.crash(0);
            let (_, kept) = open(&folder).unwrap();

            expect_true!(same(&read, &kept), "{budget} writes succeeded");
        }
    }
}

/// A record of an endpoint of this name.
fn endpoint(id: &str) -> EndpointRecord {
    EndpointRecord { id: id.into(), address: "10.0.0.1:80".into(), ..Default::default() }
}

#[gtest]
fn the_endpoints_that_were_remembered_last_are_there_after_a_crash() {
    let folder = MemoryFolder::default();
    let (mut storage, _) = Storage::open(Box::new(folder.clone()), 7).unwrap();
    storage.remember(vec![endpoint("a"), endpoint("b")]).unwrap();
    storage.remember(vec![endpoint("c")]).unwrap();

    folder.crash(0);
    let (storage, _) = Storage::open(Box::new(folder), 7).unwrap();

    expect_that!(storage.remembered().unwrap(), eq(&vec![endpoint("c")]));
}

#[gtest]
fn endpoints_whose_write_was_torn_count_as_none_and_the_rest_is_sound() {
    let folder = MemoryFolder::default();
    let (mut storage, _) = Storage::open(Box::new(folder.clone()), 7).unwrap();
    storage.remember(vec![endpoint("a")]).unwrap();
    folder.flip(ENDPOINTS, 9);

    let (storage, _) = Storage::open(Box::new(folder), 7).unwrap();

    expect_that!(storage.remembered().unwrap().len(), eq(0));
}
