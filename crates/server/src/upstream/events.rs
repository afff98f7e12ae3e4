//! Splits a stream of server-sent events into whole events, without changing a byte.
//!
//! Events are passed on as they came, so this only finds where each ends and which id it has.

use bytes::{Bytes, BytesMut};

/// Largest event that is believed; a longer one is an endpoint's fault.
const MAX_EVENT: usize = 256 * 1024;

/// One event as the endpoint wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its id, if it has one.
    pub id: Option<u64>,
    /// Its bytes, the empty line at its end included.
    pub bytes: Bytes,
}

/// Gathers bytes and hands out whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Bytes that are known to hold no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes. Fails when an event grows too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), String> {
        self.buf.extend_from_slice(bytes);
        if MAX_EVENT < self.buf.len() {
            return Err(format!("an event is longer than {MAX_EVENT} bytes"));
        }
        Ok(())
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        self.searched = 0;
        let bytes = self.buf.split_to(end).freeze();
        Some(Event { id: id_of(&bytes), bytes })
    }

    /// Bytes that are gathered.
    pub(crate) fn len(&self) -> usize {
        self.buf.len()
    }

    /// Whether bytes of an unfinished event are left.
    pub fn has_rest(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Forgets an unfinished event.
    pub fn clear(&mut self) {
        self.buf.clear();
        self.searched = 0;
    }

    fn find_end(&mut self) -> Option<usize> {
        // An end is two line ends in a row; the first of them may be known already.
        let from = self.searched.saturating_sub(3);
        let found = self.buf[from..].iter().enumerate().find_map(|(i, byte)| {
            let rest = &self.buf[from + i + 1..];
            let after = match (byte, rest) {
                (b'\n', [b'\n', ..]) => 2,
                (b'\n', [b'\r', b'\n', ..]) => 3,
                _ => return None,
            };
            Some(from + i + after)
        });
        if found.is_none() {
            self.searched = self.buf.len();
        }
        found
    }
}

fn id_of(event: &[u8]) -> Option<u64> {
    let id = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
