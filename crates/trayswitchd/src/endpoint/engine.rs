//! The adapter to model engines: OpenAI-style chunks as server-sent events.

use std::{net::SocketAddr, time::Duration};

use serde::Deserialize;
use serde_json::Value;
use trayswitch_core::delivery::{Frame, GenerationId};
use trayswitch_http::{Event, EventError, EventReader};
use ureq::{Agent, AgentBuilder, ErrorKind, Response, Transport};

use super::{
    EndpointError, Engine, Frames, Load, Reply, StartGeneration,
    signals::{self, NOT_RUN},
};

const CONNECT: Duration = Duration::from_secs(2);
const ASK: Duration = Duration::from_secs(2);
const END: &str = "[DONE]";

#[derive(Debug, Deserialize)]
struct Chunk {
    id: String,
    choices: Vec<Choice>,
    #[serde(default)]
    usage: Option<Usage>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Usage {
    completion_tokens: u64,
}

/// Speaks to engines over HTTP.
pub(crate) struct HttpEngine {
    streams: Agent,
    asks: Agent,
}

impl HttpEngine {
    /// An adapter whose streams end in an error after `idle` without a byte.
    pub(crate) fn new(idle: Duration) -> HttpEngine {
        let builder =
            || AgentBuilder::new().timeout_connect(CONNECT).redirects(0).max_idle_connections(0);
        HttpEngine {
            streams: builder().timeout_read(idle).timeout_write(idle).build(),
            asks: builder().timeout(ASK).build(),
        }
    }
}

impl Engine for HttpEngine {
    fn start(&self, address: SocketAddr, req: &StartGeneration<'_>) -> Reply<Box<dyn Frames>> {
        let mut body = req.body.clone();
        body.insert("stream".into(), Value::Bool(true));
        body.insert("priority".into(), Value::from(req.priority));
        let result = self
            .streams
            .post(&format!("http://{address}/v1/chat/completions"))
            .set("X-Request-Id", req.request_id)
            .send_json(Value::Object(body));
        Reply::new(result, open)
    }

    fn resume(
        &self,
        address: SocketAddr,
        generation: &GenerationId,
        after: u64,
    ) -> Reply<Box<dyn Frames>> {
        let result = self
            .streams
            .get(&format!("http://{address}/v1/generations/{}", generation.0))
            .set("Last-Event-ID", &after.to_string())
            .call();
        Reply::new(result, open)
    }

    fn cancel(&self, address: SocketAddr, generation: &GenerationId) {
        let url = format!("http://{address}/v1/generations/{}", generation.0);
        if let Err(e) = self.asks.delete(&url).call() {
            log::debug!("cancel of {}: {e}", generation.0);
        }
    }

    fn load(&self, address: SocketAddr) -> Reply<Load> {
        let result = self.asks.get(&format!("http://{address}/v1/load")).call();
        Reply::new(result, |result| match result {
            Ok(response) => {
                response.into_json().map_err(|e| EndpointError::Malformed(e.to_string()))
            }
            Err(ureq::Error::Transport(e)) => Err(transport(&e)),
            Err(e) => Err(EndpointError::Malformed(e.to_string())),
        })
    }
}

fn open(result: Result<Response, ureq::Error>) -> Result<Box<dyn Frames>, EndpointError> {
    match result {
        Ok(response) => {
            let Some(generation) = response.header("X-Generation-Id") else {
                return Err(EndpointError::Malformed("no X-Generation-Id in the answer".into()));
            };
            let generation = GenerationId(generation.to_owned());
            let events = EventReader::new(response.into_reader());
            Ok(Box::new(HttpFrames { generation, events }))
        }
        Err(ureq::Error::Status(503, response)) if response.header(NOT_RUN).is_some() => {
            Err(refusal(&response))
        }
        Err(ureq::Error::Status(404, _)) => Err(EndpointError::Gone),
        Err(ureq::Error::Status(status, _)) => {
            Err(EndpointError::Malformed(format!("status {status}")))
        }
        Err(ureq::Error::Transport(e)) => Err(transport(&e)),
    }
}

/// The endpoint's own statement that it has not run the request.
fn refusal(response: &Response) -> EndpointError {
    EndpointError::RefusedNotRun { leaving: signals::read(response).is_leaving() }
}

/// Only a failure to connect proves that nothing was sent.
fn transport(e: &Transport) -> EndpointError {
    match e.kind() {
        ErrorKind::ConnectionFailed | ErrorKind::Dns | ErrorKind::InvalidUrl => {
            EndpointError::NotSent(e.to_string())
        }
        _ => EndpointError::Lost(e.to_string()),
    }
}

struct HttpFrames {
    generation: GenerationId,
    events: EventReader,
}

impl Frames for HttpFrames {
    fn generation(&self) -> &GenerationId {
        &self.generation
    }

    fn next(&mut self) -> Result<Frame, EndpointError> {
        match self.events.next() {
            Some(Ok(event)) => frame(&event),
            Some(Err(EventError::Io(e))) => Err(EndpointError::Lost(e.to_string())),
            Some(Err(e)) => Err(EndpointError::Malformed(e.to_string())),
            None => Err(EndpointError::Lost("the stream ended without its final marker".into())),
        }
    }
}

/// Turns one event into a frame.
pub(super) fn frame(event: &Event) -> Result<Frame, EndpointError> {
    let malformed = |problem: String| EndpointError::Malformed(problem);
    if event.data == END {
        return Err(malformed("the end came before the final chunk".into()));
    }
    let chunk: Chunk = serde_json::from_str(&event.data).map_err(|e| malformed(e.to_string()))?;
    let generation = GenerationId(chunk.id);
    let Some(choice) = chunk.choices.into_iter().next() else {
        return Err(malformed("a chunk without choices".into()));
    };
    if let Some(reason) = choice.finish_reason {
        let Some(usage) = chunk.usage else {
            return Err(malformed("the final chunk does not count its tokens".into()));
        };
        return Ok(Frame::Finished { generation, count: usage.completion_tokens, reason });
    }
    let position = event.id.parse().map_err(|_| malformed("a token without a position".into()))?;
    let text = choice.delta.content.unwrap_or_default();
    Ok(Frame::Token { generation, position, text })
}
