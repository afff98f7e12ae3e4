//! Where a generation goes: streamed token by token, or collected into one answer.

use std::io;

use serde_json::json;
use tiny_http::Request;
use trayswitch_core::error::RequestError;
use trayswitch_http::{EventWriter, OutgoingEvent, respond_json};

use super::answer;

/// Takes the tokens of one answer.
pub(super) trait Sink {
    /// Takes the next token. An error means that the caller has left.
    fn token(&mut self, position: u64, text: &str) -> io::Result<()>;

    /// Forgets all tokens if the caller has seen none; returns whether it did.
    fn restart(&mut self) -> bool;

    /// Ends the answer cleanly.
    fn finish(self: Box<Self>, count: u64, reason: &str) -> io::Result<()>;

    /// Ends the answer with an error, at once.
    fn fail(self: Box<Self>, error: &RequestError, delivered: u64);
}

/// What every answer repeats.
pub(super) struct Labels {
    pub(super) request_id: String,
    pub(super) model: String,
}

enum Stream {
    /// Nothing is sent yet, so that an error can still have its own status.
    Waiting(Request),
    Open(EventWriter),
    Broken,
}

/// Streams tokens as server-sent events.
pub(super) struct StreamSink {
    labels: Labels,
    stream: Stream,
}

impl StreamSink {
    pub(super) fn new(req: Request, labels: Labels) -> StreamSink {
        StreamSink { labels, stream: Stream::Waiting(req) }
    }

    fn send(&mut self, id: Option<u64>, name: Option<&str>, data: &str) -> io::Result<()> {
        self.stream = match std::mem::replace(&mut self.stream, Stream::Broken) {
            Stream::Waiting(req) => {
                let headers = [("X-Request-Id", self.labels.request_id.as_str())];
                Stream::Open(EventWriter::open(req, &headers)?)
            }
            open => open,
        };
        match &mut self.stream {
            Stream::Open(writer) => writer.send(&OutgoingEvent { id, name, data }),
            Stream::Waiting(_) | Stream::Broken => Err(io::ErrorKind::BrokenPipe.into()),
        }
    }

    fn chunk(&self, delta: serde_json::Value, reason: Option<&str>) -> serde_json::Value {
        json!({
            "id": self.labels.request_id,
            "object": "chat.completion.chunk",
            "model": self.labels.model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": reason }],
        })
    }

    fn close(self) -> io::Result<()> {
        match self.stream {
            Stream::Open(writer) => writer.finish(),
            Stream::Waiting(_) | Stream::Broken => Ok(()),
        }
    }
}

impl Sink for StreamSink {
    fn token(&mut self, position: u64, text: &str) -> io::Result<()> {
        let chunk = self.chunk(json!({ "content": text }), None).to_string();
        self.send(Some(position), None, &chunk)
    }

    fn restart(&mut self) -> bool {
        matches!(self.stream, Stream::Waiting(_))
    }

    fn finish(mut self: Box<Self>, count: u64, reason: &str) -> io::Result<()> {
        let mut chunk = self.chunk(json!({}), Some(reason));
        chunk["usage"] = json!({ "completion_tokens": count });
        self.send(None, None, &chunk.to_string())?;
        self.send(None, None, "[DONE]")?;
        self.close()
    }

    fn fail(mut self: Box<Self>, error: &RequestError, delivered: u64) {
        self.stream = match std::mem::replace(&mut self.stream, Stream::Broken) {
            Stream::Waiting(req) => return answer::error(req, error),
            open => open,
        };
        let mut body = answer::error_body(error);
        body["error"]["delivered_tokens"] = json!(delivered);
        answer::sent(self.send(None, Some("error"), &body.to_string()));
        answer::sent(self.close());
    }
}

/// Collects tokens into one answer.
pub(super) struct WholeSink {
    labels: Labels,
    req: Request,
    text: String,
}

impl WholeSink {
    pub(super) fn new(req: Request, labels: Labels) -> WholeSink {
        WholeSink { labels, req, text: String::new() }
    }
}

impl Sink for WholeSink {
    fn token(&mut self, _: u64, text: &str) -> io::Result<()> {
        self.text.push_str(text);
        Ok(())
    }

    fn restart(&mut self) -> bool {
        self.text.clear();
        true
    }

    fn finish(self: Box<Self>, count: u64, reason: &str) -> io::Result<()> {
        let body = json!({
            "id": self.labels.request_id,
            "object": "chat.completion",
            "model": self.labels.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": self.text },
                "finish_reason": reason,
            }],
            "usage": { "completion_tokens": count },
        });
        let headers =
            [("X-Request-Id", self.labels.request_id.as_str()), ("X-Outcome", "answered")];
        respond_json(self.req, 200, &headers, &body)
    }

    fn fail(self: Box<Self>, error: &RequestError, _: u64) {
        answer::error(self.req, error);
    }
}
