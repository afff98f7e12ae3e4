//! Messages between the daemons, and their frames.

mod codec;
mod handshake;
#[cfg(test)]
mod tests;

use bytes::Bytes;

use crate::{
    agreement,
    once::{Claim, Settle, StoredAnswer},
    state::ConfigChange,
};

pub use self::{
    codec::{FrameCodec, MAX_FRAME},
    handshake::{Handshake, HandshakeError, Hello, Proof},
};

/// A message between two daemons.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// What it says.
    #[prost(
        oneof = "Body",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19"
    )]
    pub body: Option<Body>,
}

/// What an [`Envelope`] says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Between control replicas.
    #[prost(message, tag = "1")]
    Agreement(agreement::Message),
    /// A control replica tells another who it is.
    #[prost(message, tag = "2")]
    ReplicaInfo(ReplicaInfo),
    /// A daemon asks whether its configuration is current.
    #[prost(message, tag = "3")]
    Poll(Poll),
    /// The leader answers a poll.
    #[prost(message, tag = "4")]
    PollReply(PollReply),
    /// The receiver of a poll or an operation does not lead.
    #[prost(message, tag = "5")]
    NotLeader(NotLeader),
    /// The leader sends a newly accepted configuration without being asked.
    #[prost(message, tag = "6")]
    Update(ConfigChange),
    /// A daemon asks the leader to change the replicated state.
    #[prost(message, tag = "7")]
    Operation(Operation),
    /// The leader answers an operation.
    #[prost(message, tag = "8")]
    OperationReply(OperationReply),
    /// A daemon asks for a place for a request.
    #[prost(message, tag = "9")]
    Admit(Admit),
    /// The scheduler grants a place.
    #[prost(message, tag = "10")]
    Grant(Grant),
    /// The scheduler gives a request up.
    #[prost(message, tag = "11")]
    GiveUp(GiveUp),
    /// A daemon reports on its running requests.
    #[prost(message, tag = "12")]
    Progress(Progress),
    /// News of an endpoint.
    #[prost(message, tag = "13")]
    Health(Health),
    /// The leader tells a daemon which endpoints to ask for their load.
    #[prost(message, tag = "14")]
    Watch(Watch),
    /// A daemon passes on an endpoint's load.
    #[prost(message, tag = "15")]
    Report(Report),
    /// A control VM tells which control VMs it knows.
    #[prost(message, tag = "16")]
    Directory(Directory),
    /// News of endpoints that registered themselves.
    #[prost(message, tag = "17")]
    EndpointNews(EndpointNews),
    /// The scheduler asks a daemon to move a generation to another endpoint.
    #[prost(message, tag = "18")]
    Move(Move),
    /// The daemon tells what became of a move.
    #[prost(message, tag = "19")]
    Moved(Moved),
}

/// See [`Body::Directory`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Directory {
    /// Names of control VMs that were heard lately.
    #[prost(string, repeated, tag = "1")]
    pub vms: Vec<String>,
}

/// See [`Body::EndpointNews`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct EndpointNews {
    /// The endpoints.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<EndpointRecord>,
}

/// What an endpoint said of itself when it registered.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct EndpointRecord {
    /// Name of this run of the endpoint; another run has another.
    #[prost(string, tag = "1")]
    pub id: String,
    /// The service that it belongs to.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Where it listens, as IP:PORT.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Its data hall.
    #[prost(string, tag = "4")]
    pub hall: String,
    /// Most requests that it runs at once.
    #[prost(uint64, tag = "5")]
    pub slots: u64,
    /// Number of the heartbeat; a higher one is newer.
    #[prost(uint64, tag = "6")]
    pub sequence: u64,
    /// Whether it has said that it will end.
    #[prost(bool, tag = "7")]
    pub leaving: bool,
    /// Whether its heartbeats have stopped.
    #[prost(bool, tag = "8")]
    pub silent: bool,
    /// For how much longer it is slow after its start, in milliseconds.
    #[prost(uint64, tag = "9")]
    pub cold_ms: u64,
}

/// See [`Body::Move`].
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
}

/// See [`Body::Moved`].
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

/// See [`Body::ReplicaInfo`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReplicaInfo {
    /// The replica.
    #[prost(uint64, tag = "1")]
    pub replica: u64,
    /// Whether it has neither log nor snapshot.
    #[prost(bool, tag = "2")]
    pub empty: bool,
}

/// See [`Body::Poll`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Poll {
    /// Number of the poll; the answer repeats it.
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    /// The version in force at the daemon; zero if none.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Its content hash.
    #[prost(bytes = "bytes", tag = "3")]
    pub hash: Bytes,
}

/// See [`Body::PollReply`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PollReply {
    /// Number of the poll.
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    /// The accepted version, confirmed by a quorum after the poll was received.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Its content hash.
    #[prost(bytes = "bytes", tag = "3")]
    pub hash: Bytes,
    /// What the daemon lacks.
    #[prost(message, optional, tag = "4")]
    pub update: Option<ConfigChange>,
    /// Term of the leader; changes when the scheduler does.
    #[prost(uint64, tag = "5")]
    pub term: u64,
    /// Number of daemons that the leader hears.
    #[prost(uint64, tag = "6")]
    pub daemons: u64,
}

/// See [`Body::NotLeader`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct NotLeader {
    /// Name of the leader's VM, if known.
    #[prost(string, optional, tag = "1")]
    pub leader: Option<String>,
    /// The operation that was not taken, if it was one.
    #[prost(uint64, optional, tag = "2")]
    pub operation: Option<u64>,
}

/// An operator's file, parsed and checked by the daemon that it came to.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Submit {
    /// Name of the file, for messages.
    #[prost(string, tag = "1")]
    pub file: String,
    /// What the file changes, relative to the configuration in force at that daemon.
    #[prost(message, required, tag = "2")]
    pub command: ConfigChange,
    /// Whether the operator asks only that this version or a newer one is in force, so that a
    /// file which comes too late is confirmed instead of refused.
    #[prost(bool, tag = "3")]
    pub or_newer: bool,
}

/// See [`Body::Operation`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Operation {
    /// Number given by the daemon.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// What is asked. All are harmless when repeated.
    #[prost(oneof = "OperationKind", tags = "2, 3, 4")]
    pub kind: Option<OperationKind>,
}

/// What an [`Operation`] asks.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum OperationKind {
    /// Submit a file.
    #[prost(message, tag = "2")]
    Submit(Submit),
    /// Claim a call.
    #[prost(message, tag = "3")]
    Claim(Claim),
    /// End a claim.
    #[prost(message, tag = "4")]
    Settle(Settle),
}

/// See [`Body::OperationReply`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OperationReply {
    /// Number of the operation.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// What it came to.
    #[prost(oneof = "OperationResult", tags = "2, 3, 4, 5, 6")]
    pub result: Option<OperationResult>,
}

/// What an [`Operation`] came to.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum OperationResult {
    /// The file is accepted.
    #[prost(message, tag = "2")]
    Accepted(AcceptedVersion),
    /// The file is refused.
    #[prost(string, tag = "3")]
    RefusedFile(String),
    /// Another version was accepted meanwhile; the file must be compared with that one.
    #[prost(uint64, tag = "6")]
    Rebase(u64),
    /// The claim.
    #[prost(message, tag = "4")]
    Claim(ClaimReply),
    /// The claim has ended.
    #[prost(message, tag = "5")]
    Settled(Done),
}

/// An answer without content.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Done {}

/// An accepted version.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AcceptedVersion {
    /// The version that the file made.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Its content hash.
    #[prost(bytes = "bytes", tag = "2")]
    pub hash: Bytes,
    /// Whether it had been accepted before.
    #[prost(bool, tag = "3")]
    pub repeated: bool,
    /// The version now in force.
    #[prost(uint64, tag = "4")]
    pub current: u64,
}

/// What a claim came to.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ClaimReply {
    /// See [`ClaimStatus`].
    #[prost(enumeration = "ClaimStatus", tag = "1")]
    pub status: i32,
    /// The stored answer, if there is one.
    #[prost(message, optional, tag = "2")]
    pub answer: Option<StoredAnswer>,
}

/// Mirrors [`crate::once::ClaimResult`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
pub enum ClaimStatus {
    /// The call may run.
    Granted = 0,
    /// It is running.
    InProgress = 1,
    /// It ran.
    Stored = 2,
    /// It may have run.
    Unknown = 3,
    /// The key was used with another body.
    KeyReused = 4,
    /// The key is too old.
    KeyExpired = 5,
}

/// See [`Body::Admit`].
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
    /// An endpoint to avoid.
    #[prost(string, optional, tag = "10")]
    pub avoid: Option<String>,
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
}

/// See [`Body::Grant`].
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
}

/// See [`Body::GiveUp`].
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

/// See [`Body::Progress`].
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
}

/// See [`Body::Health`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Health {
    /// The endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// What is known.
    #[prost(enumeration = "HealthNews", tag = "2")]
    pub news: i32,
}

/// News of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
pub enum HealthNews {
    /// It failed to serve a request.
    Failed = 0,
    /// It said that it is leaving.
    Leaving = 1,
    /// It is no longer leaving.
    Returned = 2,
}

/// See [`Body::Watch`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Watch {
    /// Names of the endpoints.
    #[prost(string, repeated, tag = "1")]
    pub endpoints: Vec<String>,
}

/// See [`Body::Report`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Report {
    /// The endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Requests running.
    #[prost(uint64, tag = "2")]
    pub running: u64,
    /// Requests waiting inside it.
    #[prost(uint64, tag = "3")]
    pub waiting: u64,
    /// Memory in use, in tokens.
    #[prost(uint64, tag = "4")]
    pub kv_used: u64,
    /// Age of the figures in milliseconds.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
    /// Whether it is leaving.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
}
