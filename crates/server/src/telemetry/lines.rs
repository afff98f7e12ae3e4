//! One JSON object a line on standard output, bounded in number and never blocking.
//!
//! `log` carries the fields, `env_logger` filters and formats. A thread writes what a bounded
//! queue holds; lines that find it full are dropped and counted, and so are lines of an event
//! beyond its budget for the second.

use std::{
    collections::HashMap,
    io::{self, Write},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::{SystemTime, UNIX_EPOCH},
};

use env_logger::{Builder, Env, Target, fmt::Formatter};
use log::{
    Record,
    kv::{Key, Value, VisitSource},
};
use serde_json::{Map, json};

use super::EventId;

/// Lines that may wait for the reader of the output: about a second of a busy daemon.
const MAX_QUEUE: usize = 4_096;
/// Lines of one event that are written in one second; more are counted only. A daemon at the
/// two-year size takes about 10 requests a second, a burst ten times that.
pub(super) const LINES_PER_EVENT: u32 = 200;

/// Lines that were dropped and not yet told of.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Starts logging for the daemon of this VM and data hall. `RUST_LOG` sets the level.
pub fn init(vm: &str, hall: &str) -> io::Result<()> {
    let (tx, rx) = sync_channel::<Vec<u8>>(MAX_QUEUE);
    let write = move || {
        for line in rx {
            // Without a reader there is nobody to tell.
            let _ = io::stdout().write_all(&line);
        }
    };
    thread::Builder::new().name("log".into()).spawn(write)?;
    let format = Format {
        vm: vm.to_owned(),
        hall: hall.to_owned(),
        budgets: Mutex::new(Budgets::default()),
    };
    Builder::from_env(Env::default().default_filter_or("info"))
        .format(move |buf, record| format.write(buf, record))
        .target(Target::Pipe(Box::new(Queue { tx })))
        .init();
    Ok(())
}

/// Writes the lines of the daemon of one VM.
struct Format {
    vm: String,
    hall: String,
    budgets: Mutex<Budgets>,
}

impl Format {
    fn write(&self, buf: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
        let line = Line::read(record);
        if !self.take_budget(line.event) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if 0 < dropped {
            let event = EventId::LinesDropped.number();
            let line = json!({ "t": unix_ms(), "level": "WARN", "event": event, "vm": self.vm,
                "hall": self.hall, "msg": "log lines were dropped", "count": dropped });
            writeln!(buf, "{line}")?;
        }
        writeln!(buf, "{}", line.finish(&self.vm, &self.hall, record))
    }

    fn take_budget(&self, event: u64) -> bool {
        let second = unix_ms() / 1_000;
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        budgets.take(event, second)
    }
}

/// Hands each line to the writing thread.
pub(super) struct Queue {
    pub(super) tx: SyncSender<Vec<u8>>,
}

impl Write for Queue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if !buf.is_empty()
            && let Err(TrySendError::Full(_)) = self.tx.try_send(buf.to_vec())
        {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Lines written in the current second, by event.
#[derive(Default)]
pub(super) struct Budgets {
    second: u64,
    used: HashMap<u64, u32>,
}

impl Budgets {
    /// Counts a line of an event; tells whether it may be written.
    pub(super) fn take(&mut self, event: u64, second: u64) -> bool {
        if second != self.second {
            self.second = second;
            self.used.clear();
        }
        let used = self.used.entry(event).or_default();
        *used += 1;
        *used <= LINES_PER_EVENT
    }
}

/// The fields of one line.
#[derive(Default)]
struct Line {
    event: u64,
    fields: Map<String, serde_json::Value>,
}

impl Line {
    fn read(record: &Record<'_>) -> Line {
        let mut line = Line::default();
        // Visiting fails only where the visitor does, and this one does not.
        let _ = record.key_values().visit(&mut line);
        line
    }

    fn finish(self, vm: &str, hall: &str, record: &Record<'_>) -> serde_json::Value {
        let mut object = Map::new();
        object.insert("t".into(), json!(unix_ms()));
        object.insert("level".into(), json!(record.level().as_str()));
        object.insert("event".into(), json!(self.event));
        object.insert("vm".into(), json!(vm));
        object.insert("hall".into(), json!(hall));
        object.insert("msg".into(), json!(record.args().to_string()));
        object.extend(self.fields);
        serde_json::Value::Object(object)
    }
}

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let key = key.as_str();
        if key == "event" {
            self.event = value.to_u64().unwrap_or_default();
            return Ok(());
        }
        let value = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(n), _, _) => json!(n),
            (None, Some(n), _) => json!(n),
            (None, None, Some(b)) => json!(b),
            _ => json!(value.to_string()),
        };
        self.fields.insert(key.to_owned(), value);
        Ok(())
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
