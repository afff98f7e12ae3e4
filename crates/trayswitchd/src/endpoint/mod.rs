//! Adapters to endpoints: model engines and plain services.

mod engine;
mod service;
mod signals;
#[cfg(test)]
mod tests;
pub(crate) mod watcher;
mod whole;

use std::{collections::BTreeMap, fmt, net::SocketAddr, time::Duration};

use http::response;
use serde_json::value::RawValue;
use trayswitch_core::{
    delivery::{Frame, GenerationId},
    signals::EndpointSignals,
};
use trayswitch_server::upstream::SendError;

pub(crate) use self::{engine::HttpEngine, service::HttpService, whole::WholeAnswer};

/// Why an endpoint did not do what it was asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum EndpointError {
    /// No byte of the request can have reached the endpoint.
    NotSent(String),
    /// It was not sent, since the endpoint has asked this daemon to back off.
    Withheld,
    /// The endpoint said that it refused before running.
    RefusedNotRun {
        /// Whether it refused because it is leaving.
        leaving: bool,
    },
    /// The endpoint no longer has the generation.
    Gone,
    /// The connection was lost or stalled; the request may have run.
    Lost(String),
    /// The endpoint broke its protocol.
    Malformed(String),
}

impl fmt::Display for EndpointError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EndpointError::NotSent(problem) => write!(f, "could not connect: {problem}"),
            EndpointError::Withheld => f.write_str("it has asked this daemon to back off"),
            EndpointError::RefusedNotRun { leaving: true } => f.write_str("leaving"),
            EndpointError::RefusedNotRun { leaving: false } => {
                f.write_str("refused before running")
            }
            EndpointError::Gone => f.write_str("the generation is gone"),
            EndpointError::Lost(problem) => write!(f, "connection lost: {problem}"),
            EndpointError::Malformed(problem) => write!(f, "protocol broken: {problem}"),
        }
    }
}

/// What an endpoint answered, and what it said of itself in the answer.
pub(crate) struct Reply<T> {
    /// The answer.
    pub(crate) result: Result<T, EndpointError>,
    /// What it said of itself; nothing where there was no answer to read it from.
    pub(crate) signals: Option<EndpointSignals>,
}

impl<T> Reply<T> {
    /// There was no answer.
    fn failed(error: EndpointError) -> Reply<T> {
        Reply { result: Err(error), signals: None }
    }

    /// Reads what came of a request; `read` takes the answer.
    fn new<B>(
        came: Result<(response::Parts, B), SendError>,
        read: impl FnOnce(&response::Parts, B) -> Result<T, EndpointError>,
    ) -> Reply<T> {
        match came {
            Ok((head, body)) => {
                let signals = Some(signals::read_head(head.status, &head.headers));
                Reply { result: read(&head, body), signals }
            }
            Err(e) => Reply::failed(e.into()),
        }
    }
}

/// Only a failure to connect proves that nothing was sent.
impl From<SendError> for EndpointError {
    fn from(error: SendError) -> EndpointError {
        match error {
            SendError::NotSent(e) | SendError::Delayed(e) | SendError::Withheld(e) => {
                EndpointError::NotSent(e)
            }
            SendError::Lost(e) => EndpointError::Lost(e),
        }
    }
}

impl EndpointError {
    /// Whether the request certainly did not run.
    pub(crate) fn is_not_run(&self) -> bool {
        matches!(
            self,
            EndpointError::NotSent(_)
                | EndpointError::Withheld
                | EndpointError::RefusedNotRun { .. }
        )
    }
}

/// A load report as an endpoint gives it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Deserialize)]
pub(crate) struct Load {
    /// Requests running.
    pub(crate) running: u64,
    /// Requests waiting inside the endpoint.
    #[serde(default)]
    pub(crate) waiting: u64,
    /// Memory in use, in tokens.
    #[serde(default)]
    pub(crate) kv_used: u64,
    /// Age of these figures.
    #[serde(default)]
    pub(crate) age_ms: u64,
    /// Whether the endpoint is leaving.
    #[serde(default)]
    pub(crate) leaving: bool,
}

/// Fields of a JSON object, each with its text as it was sent: a number that is parsed and written
/// again may change.
pub(crate) type JsonFields = BTreeMap<String, Box<RawValue>>;

/// A generation to start.
pub(crate) struct StartGeneration<'a> {
    /// Names the request in the endpoint's own records.
    pub(crate) request_id: &'a str,
    /// The caller's body, an object; it is passed on with the engine's own fields set.
    pub(crate) body: &'a JsonFields,
    /// A lower number yields last.
    pub(crate) priority: u64,
}

/// Frames of one generation, read one by one.
pub(crate) trait Frames: Send {
    /// The generation that the endpoint named in its answer.
    fn generation(&self) -> &GenerationId;

    /// Blocks for the next frame; an error ends the link.
    fn next(&mut self) -> Result<Frame, EndpointError>;
}

/// A model engine.
pub(crate) trait Engine: Send + Sync {
    /// Starts a generation.
    fn start(&self, address: SocketAddr, req: &StartGeneration<'_>) -> Reply<Box<dyn Frames>>;

    /// Goes on with a generation after a position.
    fn resume(
        &self,
        address: SocketAddr,
        generation: &GenerationId,
        after: u64,
    ) -> Reply<Box<dyn Frames>>;

    /// Cancels a generation; a failure is of no consequence to the caller.
    fn cancel(&self, address: SocketAddr, generation: &GenerationId);

    /// Asks for the load.
    fn load(&self, address: SocketAddr) -> Reply<Load>;
}

/// A call of a plain service.
pub(crate) struct ServiceCall<'a> {
    /// Names the request in the endpoint's own records.
    pub(crate) request_id: &'a str,
    /// Name of the call.
    pub(crate) call: &'a str,
    /// Media type of the body.
    pub(crate) content_type: &'a str,
    /// The caller's body.
    pub(crate) body: &'a [u8],
    /// Time allowed.
    pub(crate) timeout: Duration,
}

/// A plain service.
pub(crate) trait Service: Send + Sync {
    /// Makes one attempt; never repeats it.
    fn call(&self, address: SocketAddr, call: &ServiceCall<'_>) -> Reply<WholeAnswer>;
}
