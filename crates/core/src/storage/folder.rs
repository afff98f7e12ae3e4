//! The folder that holds the files.

use std::{
    collections::HashMap,
    fs::{self, File, OpenOptions},
    io::{self, Write},
    path::{Path, PathBuf},
};

/// Files in one folder. A write lasts only once it is synced.
pub trait Folder: Send {
    /// The content of a file, or `None` when there is none.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// Creates or replaces a file and syncs it and the folder.
    fn write_synced(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Renames a file over another and syncs the folder.
    fn rename_synced(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Adds bytes at the end of a file, unsynced.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Syncs a file.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Syncs which files there are, and their names.
    fn sync_names(&mut self) -> io::Result<()>;
    /// Replaces a small file in place, unsynced.
    fn overwrite(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Shortens a file and syncs it.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A folder on disk, locked against a second daemon.
pub struct DiskFolder {
    path: PathBuf,
    open: HashMap<String, File>,
    _lock: File,
}

impl DiskFolder {
    /// Opens the folder, and creates it if needed.
    pub fn open(path: &Path) -> io::Result<DiskFolder> {
        fs::create_dir_all(path)?;
        if let Some(parent) = path.parent().filter(|parent| !parent.as_os_str().is_empty()) {
            File::open(parent)?.sync_all()?;
        }
        let lock = File::create(path.join("lock"))?;
        lock.try_lock().map_err(|_| io::Error::other("another daemon uses this data folder"))?;
        Ok(DiskFolder { path: path.to_owned(), open: HashMap::new(), _lock: lock })
    }

    fn appending(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open.contains_key(name) {
            let file = OpenOptions::new().append(true).create(true).open(self.path.join(name))?;
            self.open.insert(name.to_owned(), file);
        }
        Ok(self.open.get_mut(name).expect("just inserted"))
    }
}

impl Folder for DiskFolder {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.path.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn write_synced(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.open.remove(name);
        let mut file = File::create(self.path.join(name))?;
        file.write_all(bytes)?;
        file.sync_all()?;
        self.sync_names()
    }

    fn rename_synced(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))?;
        self.sync_names()
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.appending(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.appending(name)?.sync_data()
    }

    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn overwrite(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        fs::write(self.path.join(name), bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.open.remove(name);
        let file = OpenOptions::new().write(true).open(self.path.join(name))?;
        file.set_len(length)?;
        file.sync_all()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open.remove(name);
        fs::remove_file(self.path.join(name))
    }
}
