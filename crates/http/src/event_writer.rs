//! Writes server-sent events and flushes each immediately.

use std::io::{self, Write};

use chunked_transfer::Encoder;
use tiny_http::Request;

/// An event to send.
#[derive(Debug, Clone, Copy, Default)]
pub struct OutgoingEvent<'a> {
    /// Event id; omitted from the stream if `None`.
    pub id: Option<u64>,
    /// Event type; `None` for the default type `message`.
    pub name: Option<&'a str>,
    /// Data; must not contain line breaks.
    pub data: &'a str,
}

/// Flushes after every write, because neither `tiny_http` nor the encoder flushes the inner writer.
struct FlushingWriter(Box<dyn Write + Send>);

impl Write for FlushingWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let n = self.0.write(buf)?;
        self.0.flush()?;
        Ok(n)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

/// A chunked HTTP response that streams events.
pub struct EventWriter {
    encoder: Encoder<FlushingWriter>,
    buf: Vec<u8>,
}

impl EventWriter {
    /// Starts the response: sends status 200 and the headers.
    pub fn open(req: Request, headers: &[(&str, &str)]) -> io::Result<EventWriter> {
        let mut head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
            Cache-Control: no-store\r\nTransfer-Encoding: chunked\r\n"
            .to_vec();
        for (name, value) in headers {
            write!(head, "{name}: {value}\r\n")?;
        }
        head.extend_from_slice(b"\r\n");
        let mut writer = FlushingWriter(req.into_writer());
        writer.0.write_all(&head)?;
        writer.0.flush()?;
        Ok(EventWriter { encoder: Encoder::new(writer), buf: Vec::new() })
    }

    /// Sends an event.
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

    /// Flushes and ends the response. Dropping the writer also ends it, but ignores errors.
    pub fn finish(mut self) -> io::Result<()> {
        self.encoder.flush()
    }
}
