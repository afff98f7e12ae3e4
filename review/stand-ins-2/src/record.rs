//! What was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes lines to `record.txt`; cheap to clone.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record(Arc::new((Instant::now(), Mutex::new(file)))))
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.0.0.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.now());
        print!("{line}");
        let _ = self.0.1.lock().unwrap().write_all(line.as_bytes());
    }
}
