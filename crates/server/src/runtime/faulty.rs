//! A folder on a disk that is slow, stalls, fills up or loses power, for runs of whole programs
//! under faults. Only a build with the feature `faults` has it.
//!
//! The file `faults` in the data folder says what the disk does, a line each: `delay-ms=N` before
//! every sync, `stalled` while it stands there, `full`: half of a write finds room, and `torn`: half
//! of the next write reaches the disk and the process ends, once.
//!
//! The folder `durable` beside the data folder tells what would outlast a loss of power: for each file the
//! length that was last synced, in `NAME.len`, and for those that are replaced in place the bytes, in
//! `NAME.bytes`. A file that was removed and whose folder was not synced since stays there as `NAME.removed`.

use std::{
    fs, io,
    path::{Path, PathBuf},
    process, thread,
    time::Duration,
};

use trayswitch_core::storage::{DiskFolder, Folder};

/// How often a stalled disk is looked at.
const LOOK: Duration = Duration::from_millis(10);

/// What the disk does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Faults {
    delay: Duration,
    stalled: bool,
    full: bool,
    torn: bool,
}

impl Faults {
    fn parse(text: &str) -> Faults {
        let mut faults = Faults::default();
        for line in text.lines().map(str::trim) {
            match (line, line.strip_prefix("delay-ms=").map(str::parse)) {
                (_, Some(Ok(millis))) => faults.delay = Duration::from_millis(millis),
                ("stalled", _) => faults.stalled = true,
                ("full", _) => faults.full = true,
                ("torn", _) => faults.torn = true,
                _ => log::warn!("the disk has no fault \"{line}\""),
            }
        }
        faults
    }
}

/// What would outlast a loss of power.
struct Durable {
    data: PathBuf,
    folder: PathBuf,
}

impl Durable {
    fn open(data: &Path) -> io::Result<Durable> {
        let folder = data.with_file_name("durable");
        fs::create_dir_all(&folder)?;
        Ok(Durable { data: data.to_owned(), folder })
    }

    fn note(&self, name: &str, ending: &str) -> PathBuf {
        self.folder.join(format!("{name}.{ending}"))
    }

    /// A file has been synced as it is.
    fn synced(&self, name: &str) -> io::Result<()> {
        let path = self.data.join(name);
        let length = fs::metadata(&path)?.len();
        if !name.starts_with("log-") {
            fs::copy(&path, self.note(name, "bytes"))?;
        }
        fs::write(self.note(name, "len"), length.to_string())
    }

    /// Whether nothing has been added to a log since it was last synced.
    fn is_synced(&self, name: &str) -> bool {
        let synced = fs::read_to_string(self.note(name, "len")).ok().and_then(|n| n.parse().ok());
        let length = fs::metadata(self.data.join(name)).map(|file| file.len()).ok();
        name.starts_with("log-") && length.is_some() && synced == length
    }

    /// Whether the folder has been synced since a name was last removed.
    fn is_folder_synced(&self) -> io::Result<bool> {
        Ok(self.removed()?.is_empty())
    }

    /// The folder has been synced: removed names are gone.
    fn folder_synced(&self) -> io::Result<()> {
        self.removed()?.iter().try_for_each(fs::remove_file)
    }

    fn removed(&self) -> io::Result<Vec<PathBuf>> {
        let paths = fs::read_dir(&self.folder)?.map(|entry| Ok(entry?.path()));
        let is_removed = |path: &PathBuf| path.extension().is_some_and(|end| end == "removed");
        let paths: io::Result<Vec<PathBuf>> = paths.collect();
        Ok(paths?.into_iter().filter(is_removed).collect())
    }

    /// A file has another name, and its folder was synced.
    fn renamed(&self, from: &str, to: &str) -> io::Result<()> {
        for ending in ["len", "bytes"] {
            match fs::rename(self.note(from, ending), self.note(to, ending)) {
                Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
                _ => {}
            }
        }
        self.folder_synced()
    }

    /// A file is about to be removed.
    fn removing(&self, name: &str) -> io::Result<()> {
        // A file that is not there is the caller's matter.
        let _ = fs::copy(self.data.join(name), self.note(name, "removed"));
        for ending in ["len", "bytes"] {
            let _ = fs::remove_file(self.note(name, ending));
        }
        Ok(())
    }
}

/// The folder.
pub(super) struct FaultyFolder {
    disk: DiskFolder,
    path: PathBuf,
    durable: Durable,
}

impl FaultyFolder {
    /// Puts faults before a folder.
    pub(super) fn open(disk: DiskFolder, path: &Path) -> io::Result<FaultyFolder> {
        Ok(FaultyFolder { disk, path: path.join("faults"), durable: Durable::open(path)? })
    }

    fn faults(&self) -> Faults {
        // No file, no faults.
        fs::read_to_string(&self.path).map(|text| Faults::parse(&text)).unwrap_or_default()
    }

    /// Waits while the disk stalls.
    fn stand(&self) -> Faults {
        loop {
            let faults = self.faults();
            if !faults.stalled {
                return faults;
            }
            thread::sleep(LOOK);
        }
    }

    /// Waits while the disk stalls, and as long as a slow one needs.
    fn wait(&self) {
        thread::sleep(self.stand().delay);
    }

    /// Waits while the disk stalls; an error when it is full.
    fn room(&self) -> io::Result<()> {
        match self.stand().full {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    }
}

impl Folder for FaultyFolder {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.disk.read(name)
    }

    fn write_synced(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.room()?;
        self.wait();
        self.disk.write_synced(name, bytes)?;
        self.durable.synced(name)?;
        self.durable.folder_synced()
    }

    fn rename_synced(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.wait();
        self.disk.rename_synced(from, to)?;
        self.durable.renamed(from, to)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let faults = self.stand();
        if faults.torn {
            // The disk works again after the loss of power.
            fs::remove_file(&self.path)?;
            self.disk.append(name, &bytes[..bytes.len() / 2])?;
            process::abort();
        }
        if faults.full {
            self.disk.append(name, &bytes[..bytes.len() / 2])?;
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.disk.append(name, bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        if !self.durable.is_synced(name) {
            self.wait();
        }
        self.disk.sync(name)?;
        self.durable.synced(name)
    }

    fn sync_names(&mut self) -> io::Result<()> {
        if !self.durable.is_folder_synced()? {
            self.wait();
        }
        self.disk.sync_names()?;
        self.durable.folder_synced()
    }

    fn overwrite(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.room()?;
        self.disk.overwrite(name, bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.wait();
        self.disk.truncate(name, length)?;
        self.durable.synced(name)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.stand();
        self.durable.removing(name)?;
        self.disk.remove(name)
    }
}
