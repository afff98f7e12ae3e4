//! Reading server-sent events from a blocking reader.

use std::{
    fmt,
    io::{self, Read},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use eventsource_stream::{EventStreamError, Eventsource};
use futures_executor::BlockingStream;
use futures_util::{Stream, stream};

const CHUNK: usize = 8 * 1024;
/// Most bytes that may come before an event is complete.
const MAX_EVENT: usize = 1024 * 1024;

/// One event as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Last id given on the stream, empty if none.
    pub id: String,
    /// Event name; `message` if none was given.
    pub name: String,
    /// Its data lines.
    pub data: String,
}

/// Why no further event can be read.
#[derive(Debug)]
pub enum EventError {
    /// The connection failed or stalled beyond its read time-out.
    Io(io::Error),
    /// The bytes are not a stream of events.
    Malformed(String),
}

impl fmt::Display for EventError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EventError::Io(e) => write!(f, "{e}"),
            EventError::Malformed(problem) => write!(f, "malformed event stream: {problem}"),
        }
    }
}

impl std::error::Error for EventError {}

type Chunks = Box<dyn Stream<Item = io::Result<Vec<u8>>> + Send + Unpin>;

/// Iterates over the events of a reader; ends at the end of the stream.
pub struct EventReader {
    events: BlockingStream<eventsource_stream::EventStream<Chunks>>,
    pending: Arc<AtomicUsize>,
}

impl EventReader {
    /// Reads events from `reader`.
    pub fn new(reader: Box<dyn Read + Send>) -> EventReader {
        let pending = Arc::new(AtomicUsize::new(0));
        let chunks: Chunks = Box::new(stream::iter(chunks(reader, pending.clone())));
        EventReader { events: futures_executor::block_on_stream(chunks.eventsource()), pending }
    }
}

fn chunks(
    mut reader: Box<dyn Read + Send>,
    pending: Arc<AtomicUsize>,
) -> impl Iterator<Item = io::Result<Vec<u8>>> + Send {
    let mut buf = vec![0; CHUNK];
    std::iter::from_fn(move || match reader.read(&mut buf) {
        Ok(0) => None,
        Ok(n) => {
            let before = pending.fetch_add(n, Ordering::Relaxed);
            if MAX_EVENT < before + n {
                return Some(Err(io::Error::other("an event is larger than 1 MiB")));
            }
            Some(Ok(buf[..n].to_vec()))
        }
        Err(e) => Some(Err(e)),
    })
}

impl Iterator for EventReader {
    type Item = Result<Event, EventError>;

    fn next(&mut self) -> Option<Self::Item> {
        let event = match self.events.next()? {
            Ok(event) => event,
            Err(EventStreamError::Transport(e)) => return Some(Err(EventError::Io(e))),
            Err(e) => return Some(Err(EventError::Malformed(e.to_string()))),
        };
        self.pending.store(0, Ordering::Relaxed);
        Some(Ok(Event { id: event.id, name: event.event, data: event.data }))
    }
}
