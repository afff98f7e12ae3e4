//! The interface between the relay and the protocols of callers and endpoints.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, request, response};
use http_body_util::Full;
use trayswitch_core::{
    error::RequestError, placement::EngineLoad, quarantine::PromptPart, signals::EndpointSignals,
};

use super::Reservation;

/// A decoded caller request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CallerRequest {
    /// Request id set by the caller and echoed by endpoints.
    pub id: String,
    /// Requested host, in lower case and without port.
    pub host: String,
    /// The workspace key.
    pub key: Option<String>,
    /// The caller's timeout.
    pub time_left: Option<Duration>,
    /// The prompt of a generation.
    pub prompt: Option<Prompt>,
    /// The last event received, if the caller resumes an interrupted response.
    pub last_event_id: Option<u64>,
    /// Id of the request that brought the first event of the resumed response, if the caller names it.
    pub resumes: Option<String>,
}

/// The prompt of a generation.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Maximum tokens of the output.
    pub max_output_tokens: u64,
    /// The caller's estimate of the output length; often inaccurate.
    pub expected_output_tokens: Option<u64>,
    /// Hash of the prefix shared with other prompts.
    pub shared_prefix_hash: u64,
    /// The parts that other requests may share, in order; at most [`Prompt::MAX_SHARED_PARTS`].
    pub shared_parts: Vec<PromptPart>,
}

impl Prompt {
    /// Parts of one prompt that are considered; bounds what one request can cost.
    pub const MAX_SHARED_PARTS: usize = 64;
}

/// One attempt at an endpoint.
#[derive(Debug, Clone)]
pub struct Attempt<'a> {
    /// Id of the endpoint run; other runs must reject the attempt.
    pub endpoint: &'a str,
    /// What is left of the caller's timeout.
    pub time_left: Duration,
    /// The workspace.
    pub workspace: Option<&'a str>,
    /// Priority for engines; 0 is the most urgent.
    pub priority: Option<u64>,
    /// The last event that the caller received, if the generation resumes.
    pub last_event_id: Option<u64>,
    /// The KV cache to resume from.
    pub kv_copy: Option<&'a KvCopy>,
    /// The engine's id of the reservation.
    pub reservation: Option<&'a str>,
}

/// An engine's reply to a [`Reservation`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReservationReply {
    /// Granted under this id.
    Granted(String),
    /// The engine has no capacity.
    Denied,
    /// No reservation is needed, or the engine does not support them.
    NotRequired,
}

impl ReservationReply {
    /// The name in log lines.
    pub fn name(&self) -> &'static str {
        match self {
            ReservationReply::Granted(_) => "kept",
            ReservationReply::Denied => "refused",
            ReservationReply::NotRequired => "unneeded",
        }
    }
}

/// A copy of a generation's KV cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvCopy {
    /// The engine that it was copied from.
    pub source: SocketAddr,
    /// The engine's id of the copy.
    pub handle: String,
}

/// An endpoint's response, classified by status and headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResponseClass {
    /// The request was not executed.
    Rejected(RejectionReason),
    /// The request was executed; this is its response.
    Executed {
        /// Whether the endpoint reports success.
        success: bool,
    },
    /// Not a valid response to this request; the text says why.
    Invalid(&'static str),
}

/// Why an endpoint rejected a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectionReason {
    /// No capacity, or the deadline has passed.
    Overloaded,
    /// The address belongs to another endpoint run.
    WrongEndpoint,
}

/// Orders an engine to copy the KV cache of a running generation.
#[derive(Debug, Clone)]
pub struct CopyCommand<'a> {
    /// The request id.
    pub id: &'a str,
    /// The engine that receives the copy.
    pub to: SocketAddr,
    /// Whether the generation stops first, which makes the copy final.
    pub is_final: bool,
}

/// An engine's reply to a [`CopyCommand`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CopyReply {
    /// The copy is complete.
    Done {
        /// The engine's id of the copy.
        handle: String,
        /// Events produced so far.
        events: u64,
    },
    /// The generation is not running on the engine.
    NotRunning,
    /// Another copy of the generation is in progress.
    Busy,
    /// No memory or no path to the target. A stopped generation keeps its KV cache under `handle`.
    Refused {
        /// The engine's id of the kept KV cache.
        handle: Option<String>,
    },
    /// The reply cannot be decoded.
    Malformed,
}

/// Decodes and encodes the messages of callers and endpoints.
pub trait Protocol {
    /// Decodes a caller's request.
    fn decode_request(&self, head: &request::Parts) -> Result<CallerRequest, RequestError>;

    /// Headers of the request to an endpoint.
    fn attempt_headers(&self, head: &request::Parts, attempt: &Attempt<'_>) -> HeaderMap;

    /// Classifies an endpoint's response to the request `id`.
    fn classify_response(&self, id: &str, head: &response::Parts) -> ResponseClass;

    /// Decodes the signals in an endpoint's response.
    fn signals(&self, head: &response::Parts) -> EndpointSignals;

    /// Headers of an endpoint's response that are forwarded to the caller.
    fn response_headers(&self, head: &response::Parts) -> HeaderMap;

    /// The response to a request that failed with `error`.
    fn error_response(&self, id: &str, error: &RequestError) -> Response<Bytes>;

    /// The request that copies a generation's KV cache.
    fn copy_request(&self, command: &CopyCommand<'_>) -> Request<Full<Bytes>>;

    /// The request that frees a copy on the source and the target engine.
    fn free_request(&self, handle: &str) -> Request<Full<Bytes>>;

    /// The request for an engine's load.
    fn load_request(&self) -> Request<Full<Bytes>>;

    /// Decodes the response to [`Protocol::load_request`].
    fn decode_load(&self, head: &response::Parts, body: &[u8]) -> Option<EngineLoad>;

    /// The request for a reservation on an engine.
    fn reservation_request(&self, reservation: &Reservation) -> Request<Full<Bytes>>;

    /// Decodes the response to [`Protocol::reservation_request`].
    fn decode_reservation(&self, head: &response::Parts, body: &[u8]) -> ReservationReply;

    /// Decodes the response to [`Protocol::copy_request`].
    fn decode_copy_reply(&self, head: &response::Parts, body: &[u8]) -> CopyReply;
}
