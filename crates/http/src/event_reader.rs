//! Reads server-sent events from a blocking reader.

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

const READ_BUFFER_BYTES: usize = 8 * 1024;
/// Maximum number of bytes received without completing an event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// A received event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Most recent event id on the stream; empty if there was none.
    pub id: String,
    /// Event type; `message` if the event has none.
    pub name: String,
    /// Data lines, joined by line breaks.
    pub data: String,
}

/// The reason why the next event could not be read.
#[derive(Debug)]
pub enum EventError {
    /// The connection failed or timed out.
    Io(io::Error),
    /// The bytes are not a valid event stream.
    Malformed(String),
}

impl fmt::Display for EventError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EventError::Io(e) => write!(f, "{e}"),
            EventError::Malformed(message) => write!(f, "malformed event stream: {message}"),
        }
    }
}

impl std::error::Error for EventError {}

type ChunkStream = Box<dyn Stream<Item = io::Result<Vec<u8>>> + Send + Unpin>;

/// Iterator over the events of a reader; an incomplete event at the end of the stream is dropped.
pub struct EventReader {
    events: BlockingStream<eventsource_stream::EventStream<ChunkStream>>,
    /// Bytes received since an event was last returned.
    bytes_since_event: Arc<AtomicUsize>,
}

impl EventReader {
    /// Creates an event reader on top of `reader`.
    pub fn new(reader: Box<dyn Read + Send>) -> EventReader {
        let bytes_since_event = Arc::new(AtomicUsize::new(0));
        let chunks: ChunkStream =
            Box::new(stream::iter(read_chunks(reader, bytes_since_event.clone())));
        EventReader {
            events: futures_executor::block_on_stream(chunks.eventsource()),
            bytes_since_event,
        }
    }
}

/// Splits `reader` into chunks; fails once an event exceeds `MAX_EVENT_BYTES`.
fn read_chunks(
    mut reader: Box<dyn Read + Send>,
    bytes_since_event: Arc<AtomicUsize>,
) -> impl Iterator<Item = io::Result<Vec<u8>>> + Send {
    let mut buf = vec![0; READ_BUFFER_BYTES];
    std::iter::from_fn(move || match reader.read(&mut buf) {
        Ok(0) => None,
        Ok(n) => {
            let before = bytes_since_event.fetch_add(n, Ordering::Relaxed);
            if MAX_EVENT_BYTES < before + n {
                return Some(Err(io::Error::other("event exceeds 1 MiB")));
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
        self.bytes_since_event.store(0, Ordering::Relaxed);
        Some(Ok(Event { id: event.id, name: event.event, data: event.data }))
    }
}
