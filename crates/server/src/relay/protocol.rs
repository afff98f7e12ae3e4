//! What the relay needs of the words that callers and endpoints speak.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, request, response};
use http_body_util::Full;
use trayswitch_core::{error::RequestError, placement::EngineLoad, signals::Signals};

use super::Reservation;

/// What a caller asks for, decoded from its request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CallerRequest {
    /// The caller's own name for this request; endpoints repeat it.
    pub id: String,
    /// Host that the caller named, in lower case and without a port.
    pub host: String,
    /// The workspace key.
    pub key: Option<String>,
    /// How long the caller waits.
    pub time_left: Option<Duration>,
    /// The prompt of a generation.
    pub prompt: Option<Prompt>,
    /// The last event that the caller has of an answer that broke off.
    pub last_event_id: Option<u64>,
}

/// The prompt of a generation.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Most tokens that the answer may have.
    pub max_output_tokens: u64,
    /// Tokens that the caller expects; right at the median, often far off.
    pub expected_output_tokens: Option<u64>,
    /// Hash of the part that other prompts share.
    pub shared_prefix_hash: u64,
}

/// One attempt at an endpoint.
#[derive(Debug, Clone)]
pub struct Attempt<'a> {
    /// Name of the endpoint's run; any other must refuse.
    pub endpoint: &'a str,
    /// Time that the caller still waits.
    pub time_left: Duration,
    /// The workspace.
    pub workspace: Option<&'a str>,
    /// Urgency for an engine, 0 first.
    pub priority: Option<u64>,
    /// The last event that the caller has, when a generation goes on.
    pub last_event_id: Option<u64>,
    /// Where the memory of a generation lies that goes on.
    pub kv_copy: Option<&'a KvCopy>,
    /// The name of the place that the engine keeps for it.
    pub reservation: Option<&'a str>,
}

/// What an engine answered to a [`Reservation`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReservationReply {
    /// It keeps a place under this name.
    Granted(String),
    /// It has no room.
    Denied,
    /// It need not keep one, or keeps none for anybody.
    NotRequired,
}

impl ReservationReply {
    /// Its name in log lines.
    pub fn name(&self) -> &'static str {
        match self {
            ReservationReply::Granted(_) => "kept",
            ReservationReply::Denied => "refused",
            ReservationReply::NotRequired => "unneeded",
        }
    }
}

/// A copy of a generation's memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvCopy {
    /// The engine that it was copied from.
    pub source: SocketAddr,
    /// The copy's name.
    pub handle: String,
}

/// How an endpoint answered, by the head of its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResponseClass {
    /// It says that the request has not run there.
    Rejected(RejectionReason),
    /// The request ran; this is its answer, whatever its status.
    Executed {
        /// Whether it ended well.
        success: bool,
    },
    /// These bytes are not the answer to this request.
    Invalid(&'static str),
}

/// Why an endpoint rejected a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectionReason {
    /// It has no room, or the time is over.
    Overloaded,
    /// Another run of an endpoint, or another version, has its address.
    WrongEndpoint,
}

/// An order to copy the memory of a running generation.
#[derive(Debug, Clone)]
pub struct CopyCommand<'a> {
    /// The caller's name for the request.
    pub id: &'a str,
    /// The engine that receives the copy.
    pub to: SocketAddr,
    /// Whether the generation stops first, so that the copy is final.
    pub is_final: bool,
}

/// What an engine answered to a [`CopyCommand`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CopyReply {
    /// The copy is complete.
    Done {
        /// Its name.
        handle: String,
        /// Events produced so far.
        events: u64,
    },
    /// The generation does not run there (any more).
    NotRunning,
    /// Another copy of it is on its way.
    Busy,
    /// There is no room or no path; a generation that stopped keeps its memory under the name.
    Refused {
        /// Its name.
        handle: Option<String>,
    },
    /// The answer makes no sense.
    Malformed,
}

/// Decodes and encodes what callers and endpoints speak.
pub trait Protocol {
    /// Decodes a caller's request.
    fn decode_request(&self, head: &request::Parts) -> Result<CallerRequest, RequestError>;

    /// Headers of the request to an endpoint.
    fn attempt_headers(&self, head: &request::Parts, attempt: &Attempt<'_>) -> HeaderMap;

    /// Judges an endpoint's answer to the request of this id.
    fn classify_response(&self, id: &str, head: &response::Parts) -> ResponseClass;

    /// What the endpoint says of itself in its answer.
    fn signals(&self, head: &response::Parts) -> Signals;

    /// Headers of an endpoint's answer that are passed on to the caller.
    fn response_headers(&self, head: &response::Parts) -> HeaderMap;

    /// The answer to a request that ends in an error.
    fn error_response(&self, id: &str, error: &RequestError) -> Response<Bytes>;

    /// Asks an engine to copy a generation's memory.
    fn copy_request(&self, order: &CopyCommand<'_>) -> Request<Full<Bytes>>;

    /// Asks an engine to free a copy that it has made, there and where it lies.
    fn free_request(&self, handle: &str) -> Request<Full<Bytes>>;

    /// Asks an engine for its load.
    fn load_request(&self) -> Request<Full<Bytes>>;

    /// Reads the answer to [`Protocol::load_request`].
    fn decode_load(&self, head: &response::Parts, body: &[u8]) -> Option<EngineLoad>;

    /// Asks an engine to keep a place.
    fn reservation_request(&self, reservation: &Reservation) -> Request<Full<Bytes>>;

    /// Reads the answer to [`Protocol::reservation_request`].
    fn decode_reservation(&self, head: &response::Parts, body: &[u8]) -> ReservationReply;

    /// Reads the answer to [`Protocol::copy_request`].
    fn decode_copy_reply(&self, head: &response::Parts, body: &[u8]) -> CopyReply;
}
