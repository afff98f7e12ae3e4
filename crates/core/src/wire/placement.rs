//! Messages by which requests find a place, run there and move.

use super::EndpointRecord;

/// See [`super::Body::Admit`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Admit {
    /// Number given by the daemon.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Workspace.
    #[prost(string, tag = "2")]
    pub workspace: String,
    /// Kind of request.
    #[prost(string, tag = "3")]
    pub kind: String,
    /// Model or service.
    #[prost(string, tag = "4")]
    pub target: String,
    /// Whether the target is a service.
    #[prost(bool, tag = "5")]
    pub is_service: bool,
    /// Length of the prompt in tokens.
    #[prost(uint64, tag = "6")]
    pub prompt_tokens: u64,
    /// Hash of the prompt's start.
    #[prost(fixed64, tag = "7")]
    pub prefix: u64,
    /// Most tokens of the answer.
    #[prost(uint64, tag = "8")]
    pub max_tokens: u64,
    /// Time left in the queue, in milliseconds.
    #[prost(uint64, tag = "9")]
    pub max_wait_ms: u64,
    /// Time left for the first token, in milliseconds.
    #[prost(uint64, tag = "17")]
    pub first_within_ms: u64,
    /// Endpoints to avoid.
    #[prost(string, repeated, tag = "10")]
    pub avoid: Vec<String>,
    /// Rank of the tier.
    #[prost(uint64, tag = "11")]
    pub rank: u64,
    /// Share within the tier.
    #[prost(uint64, tag = "12")]
    pub share: u64,
    /// Most requests of the workspace that run at once.
    #[prost(uint64, tag = "15")]
    pub max_running: u64,
    /// Most requests of the workspace that wait at once.
    #[prost(uint64, tag = "16")]
    pub max_waiting: u64,
    /// Where it already runs, when told to a new scheduler.
    #[prost(string, optional, tag = "13")]
    pub running_at: Option<String>,
    /// Tokens so far, when it already runs.
    #[prost(uint64, tag = "14")]
    pub tokens: u64,
    /// Whether it runs apart from others.
    #[prost(bool, tag = "18")]
    pub apart: bool,
    /// Longest acceptable pause between two events, in milliseconds; zero if any is acceptable.
    #[prost(uint64, tag = "19")]
    pub longest_gap_ms: u64,
    /// Keyed digest of the request, equal in all its tries; empty if it was not computed.
    #[prost(bytes = "vec", tag = "20")]
    pub digest: Vec<u8>,
    /// Time left until the caller's deadline, in milliseconds.
    #[prost(uint64, tag = "21")]
    pub time_left_ms: u64,
    /// Software version that began the stream, where the request continues one.
    #[prost(string, optional, tag = "22")]
    pub software_version: Option<String>,
}

/// See [`super::Body::Grant`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Grant {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The endpoint.
    #[prost(string, tag = "2")]
    pub endpoint: String,
    /// Priority for the engine.
    #[prost(uint64, tag = "3")]
    pub priority: u64,
    /// The endpoint's record, which the daemon may lack.
    #[prost(message, optional, tag = "4")]
    pub record: Option<EndpointRecord>,
}

/// See [`super::Body::GiveUp`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct GiveUp {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Place of the kind in [`crate::error::ErrorKind::ALL`].
    #[prost(uint32, tag = "2")]
    pub kind: u32,
    /// For the caller.
    #[prost(string, tag = "3")]
    pub message: String,
    /// When to come back, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub retry_after_ms: u64,
    /// Tokens that are reserved for it when it comes back; zero if nothing is.
    #[prost(uint64, tag = "5")]
    pub reserved_work: u64,
}

/// Tokens of one request.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Tokens {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Tokens so far.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// See [`super::Body::Progress`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Progress {
    /// Requests that run.
    #[prost(message, repeated, tag = "1")]
    pub running: Vec<Tokens>,
    /// Requests that ended with their whole answer.
    #[prost(message, repeated, tag = "2")]
    pub finished: Vec<Tokens>,
    /// Requests that ended otherwise, or are no longer wanted.
    #[prost(message, repeated, tag = "3")]
    pub ended: Vec<Tokens>,
    /// The daemon is late itself, so the time of this report tells nothing of endpoints.
    #[prost(bool, tag = "4")]
    pub late: bool,
}

/// See [`super::Body::Move`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Move {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Where it runs.
    #[prost(string, tag = "2")]
    pub from: String,
    /// Where it is to go on.
    #[prost(string, tag = "3")]
    pub to: String,
    /// Record of that endpoint, which the daemon may lack.
    #[prost(message, optional, tag = "4")]
    pub record: Option<EndpointRecord>,
}

/// See [`super::Body::Moved`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Moved {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Where it runs now.
    #[prost(string, tag = "2")]
    pub at: String,
    /// Whether that is where it was to go.
    #[prost(bool, tag = "3")]
    pub done: bool,
}
