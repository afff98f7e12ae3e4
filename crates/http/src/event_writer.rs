//! Writing server-sent events, each sent at once.

use std::io::{self, Write};

use chunked_transfer::Encoder;
use tiny_http::Request;

/// One event to send.
#[derive(Debug, Clone, Copy, Default)]
pub struct OutgoingEvent<'a> {
    /// Position, if the event has one.
    pub id: Option<u64>,
    /// Event name, if not the default.
    pub name: Option<&'a str>,
    /// Data, without line breaks.
    pub data: &'a str,
}

/// Flushes on each write: neither `tiny_http` nor the encoder flushes what lies beneath.
struct Flushing(Box<dyn Write + Send>);

impl Write for Flushing {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let n = self.0.write(buf)?;
        self.0.flush()?;
        Ok(n)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

/// An answer that is a stream of events.
pub struct EventWriter {
    encoder: Encoder<Flushing>,
    buf: Vec<u8>,
}

impl EventWriter {
    /// Sends the head of the answer with status 200.
    pub fn open(req: Request, headers: &[(&str, &str)]) -> io::Result<EventWriter> {
        let mut head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
            Cache-Control: no-store\r\nTransfer-Encoding: chunked\r\n"
            .to_vec();
        for (name, value) in headers {
            write!(head, "{name}: {value}\r\n")?;
        }
        head.extend_from_slice(b"\r\n");
        let mut writer = Flushing(req.into_writer());
        writer.0.write_all(&head)?;
        writer.0.flush()?;
        Ok(EventWriter { encoder: Encoder::new(writer), buf: Vec::new() })
    }

    /// Sends one event.
    pub fn send(&mut self, event: &OutgoingEvent<'_>) -> io::Result<()> {
        self.buf.clear();
        if let Some(id) = event.id {
            writeln!(self.buf, "id: {id}")?;
        }
        if let Some(name) = event.name {
            writeln!(self.buf, "event: {name}")?;
        }
        write!(self.buf, "data: {}\n\n", event.data)?;
        self.encoder.write_all(&self.buf)?;
        self.encoder.flush()
    }

    /// Ends the answer; without this the caller sees a broken connection.
    pub fn finish(mut self) -> io::Result<()> {
        self.encoder.flush()
    }
}
