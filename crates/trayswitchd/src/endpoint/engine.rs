//! The adapter to model engines: OpenAI-style chunks as server-sent events.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header, request, response};
use http_body_util::Full;
use serde::Deserialize;
use serde_json::value::to_raw_value;
use trayswitch_core::delivery::{Frame, GenerationId};
use trayswitch_http::{Event, EventError, EventReader};
use trayswitch_server::upstream::{
    BlockingBody, SendError, StreamLimits, fetch_blocking, open_blocking,
};

use super::{
    EndpointError, Engine, Frames, Load, Reply, StartGeneration,
    signals::{self, NOT_RUN},
};

const CONNECT: Duration = Duration::from_secs(2);
const ASK: Duration = Duration::from_secs(2);
/// Largest answer to a question of the daemon's own, in bytes.
const MAX_ASKED: usize = 64 * 1024;
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
    streams: StreamLimits,
}

impl HttpEngine {
    /// An adapter whose streams end in an error after `idle` without a byte.
    pub(crate) fn new(idle: Duration) -> HttpEngine {
        HttpEngine { streams: StreamLimits { connect: CONNECT, idle } }
    }

    fn stream(
        &self,
        address: SocketAddr,
        req: Result<Request<Full<Bytes>>, EndpointError>,
    ) -> Reply<Box<dyn Frames>> {
        match req {
            Ok(req) => Reply::new(open_blocking(address, req, self.streams), open),
            Err(e) => Reply::failed(e),
        }
    }
}

impl Engine for HttpEngine {
    fn start(&self, address: SocketAddr, req: &StartGeneration<'_>) -> Reply<Box<dyn Frames>> {
        let builder = request(Method::POST, address, "/v1/chat/completions")
            .header(header::CONTENT_TYPE, "application/json")
            .header("X-Request-Id", req.request_id);
        let body = start_body(req).map_err(|e| EndpointError::NotSent(e.to_string()));
        self.stream(address, body.and_then(|body| finish(builder, body)))
    }

    fn resume(
        &self,
        address: SocketAddr,
        generation: &GenerationId,
        after: u64,
    ) -> Reply<Box<dyn Frames>> {
        let path = format!("/v1/generations/{}", generation.0);
        let builder = request(Method::GET, address, &path).header("Last-Event-ID", after);
        self.stream(address, finish(builder, ""))
    }

    fn cancel(&self, address: SocketAddr, generation: &GenerationId) {
        let path = format!("/v1/generations/{}", generation.0);
        if let Err(e) = ask(Method::DELETE, address, &path) {
            log::debug!("cancel of {}: {e}", generation.0);
        }
    }

    fn load(&self, address: SocketAddr) -> Reply<Load> {
        Reply::new(ask(Method::GET, address, "/v1/load"), |head, body| match head.status {
            status if status.is_success() => {
                serde_json::from_slice(&body).map_err(|e| EndpointError::Malformed(e.to_string()))
            }
            status => Err(EndpointError::Malformed(format!("status {status}"))),
        })
    }
}

/// The caller's body with the engine's own fields set.
fn start_body(req: &StartGeneration<'_>) -> serde_json::Result<String> {
    let mut body = req.body.clone();
    body.insert("stream".into(), to_raw_value(&true)?);
    body.insert("priority".into(), to_raw_value(&req.priority)?);
    serde_json::to_string(&body)
}

fn request(method: Method, address: SocketAddr, path: &str) -> request::Builder {
    Request::builder().method(method).uri(path).header(header::HOST, address.to_string())
}

fn finish(
    builder: request::Builder,
    body: impl Into<Bytes>,
) -> Result<Request<Full<Bytes>>, EndpointError> {
    let req = builder.body(Full::new(body.into()));
    req.map_err(|e| EndpointError::NotSent(e.to_string()))
}

/// Sends a request without a body and reads the whole answer.
fn ask(
    method: Method,
    address: SocketAddr,
    path: &str,
) -> Result<(response::Parts, Bytes), SendError> {
    let req = request(method, address, path).body(Full::default());
    let req = req.map_err(|e| SendError::NotSent(e.to_string()))?;
    fetch_blocking(address, req, CONNECT, ASK, MAX_ASKED)
}

fn open(head: &response::Parts, body: BlockingBody) -> Result<Box<dyn Frames>, EndpointError> {
    match head.status {
        StatusCode::SERVICE_UNAVAILABLE if head.headers.contains_key(NOT_RUN) => {
            let leaving = signals::read_head(head.status, &head.headers).is_leaving();
            Err(EndpointError::RefusedNotRun { leaving })
        }
        StatusCode::NOT_FOUND => Err(EndpointError::Gone),
        status if status.is_client_error() || status.is_server_error() => {
            Err(EndpointError::Malformed(format!("status {status}")))
        }
        _ => {
            let generation = head.headers.get("X-Generation-Id");
            let Some(generation) = generation.and_then(|id| id.to_str().ok()) else {
                return Err(EndpointError::Malformed("no X-Generation-Id in the answer".into()));
            };
            let generation = GenerationId(generation.to_owned());
            Ok(Box::new(HttpFrames { generation, events: EventReader::new(Box::new(body)) }))
        }
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
