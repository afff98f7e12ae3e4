//! Messages with the control replicas: who they are, polls for the configuration, and
//! operations on the replicated state.

use bytes::Bytes;

use super::{LimitWord, SuspectNews, SuspectsReply};
use crate::{
    once::{Claim, Settle, StoredAnswer},
    quarantine::{ClearRequest, CrashReport},
    state::{ChangeId, ConfigChange, HallOrder, HallsOut},
};

/// See [`super::Body::ReplicaInfo`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReplicaInfo {
    /// The replica.
    #[prost(uint64, tag = "1")]
    pub replica: u64,
    /// Whether it has neither log nor snapshot.
    #[prost(bool, tag = "2")]
    pub empty: bool,
    /// Whether it may bootstrap the group.
    #[prost(bool, tag = "3")]
    pub founds: bool,
}

/// See [`super::Body::SessionOpened`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SessionOpened {
    /// Number of the session; a later one has a higher number.
    #[prost(uint64, tag = "1")]
    pub session: u64,
}

/// See [`super::Body::Directory`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Directory {
    /// Names of control VMs that were heard lately.
    #[prost(string, repeated, tag = "1")]
    pub vms: Vec<String>,
}

/// See [`super::Body::Poll`].
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
    /// Whether callers are sent to the daemon.
    #[prost(bool, tag = "4")]
    pub takes_callers: bool,
    /// Whether a planned stop of it has begun.
    #[prost(bool, tag = "5")]
    pub stopping: bool,
    /// Number of the last change about suspects that the daemon knows.
    #[prost(uint64, tag = "6")]
    pub suspects: u64,
    /// Whether it began without any and has not been told all of them yet.
    #[prost(bool, tag = "7")]
    pub filling: bool,
    /// Whether the daemon takes requests that another one forwards because it cannot connect to
    /// their endpoints.
    #[prost(bool, tag = "8")]
    pub accepts_forwarded: bool,
    /// Data hall of the daemon.
    #[prost(string, tag = "9")]
    pub hall: String,
}

/// See [`super::Body::PollReply`].
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
    /// Term of the leader; changes when the scheduler does.
    #[prost(uint64, tag = "5")]
    pub term: u64,
    /// Number of daemons that the leader hears.
    #[prost(uint64, tag = "6")]
    pub daemons: u64,
    /// Daemons that take callers, without those that stop.
    #[prost(uint64, tag = "7")]
    pub taking: u64,
    /// Daemons that stop and still have callers sent to them.
    #[prost(uint64, tag = "8")]
    pub stopping: u64,
    /// Some of the endpoints that are slower than others, for when no scheduler answers.
    #[prost(message, repeated, tag = "9")]
    pub slow: Vec<SlowEndpoint>,
    /// The data halls that are out of service, confirmed as the version is.
    #[prost(message, optional, tag = "10")]
    pub halls: Option<HallsOut>,
    /// What the daemon lacks of the suspects.
    #[prost(message, optional, tag = "11")]
    pub suspects: Option<SuspectNews>,
    /// Some of the limits that endpoints name.
    #[prost(message, repeated, tag = "12")]
    pub limits: Vec<LimitWord>,
    /// Some daemons of the same data hall that take forwarded requests.
    #[prost(string, repeated, tag = "13")]
    pub near_forwarders: Vec<String>,
    /// Some daemons of other data halls that do.
    #[prost(string, repeated, tag = "14")]
    pub far_forwarders: Vec<String>,
}

/// An endpoint that takes longer for everything.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SlowEndpoint {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its time for a prompt in percent of the usual.
    #[prost(uint32, tag = "2")]
    pub percent: u32,
}

/// See [`super::Body::Update`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Update {
    /// The accepted change.
    #[prost(message, required, tag = "1")]
    pub change: ChangeId,
    /// What it changes, an encoded [`crate::state::EncodedDelta`]; nothing if that is large.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub delta: Option<Bytes>,
}

/// See [`super::Body::Fetch`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Fetch {
    /// The version that the change is to go on from; zero asks for the whole document.
    #[prost(uint64, tag = "1")]
    pub after: u64,
    /// The change of which the daemon has earlier pieces, if it has any.
    #[prost(message, optional, tag = "2")]
    pub begun: Option<ChangeId>,
    /// Number of the first piece that is wanted.
    #[prost(uint64, tag = "3")]
    pub first: u64,
    /// How many pieces are wanted.
    #[prost(uint64, tag = "4")]
    pub count: u64,
    /// The oldest version that is of use. A control VM that has not applied it yet answers once it has.
    #[prost(uint64, tag = "5")]
    pub at_least: u64,
}

/// See [`super::Body::Piece`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Piece {
    /// The change that it belongs to.
    #[prost(message, required, tag = "1")]
    pub change: ChangeId,
    /// Number of the piece, from 0.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Whether it is the last one.
    #[prost(bool, tag = "3")]
    pub last: bool,
    /// Whole sections, an encoded [`crate::state::EncodedDelta`].
    #[prost(bytes = "bytes", tag = "4")]
    pub delta: Bytes,
}

/// See [`super::Body::NotLeader`].
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

/// See [`super::Body::Operation`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Operation {
    /// Number given by the daemon.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// What is asked. All are harmless when repeated.
    #[prost(oneof = "OperationKind", tags = "2, 3, 4, 5, 6, 7")]
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
    /// Take a data hall out of service, or give it back.
    #[prost(message, tag = "5")]
    Hall(HallOrder),
    /// Count the end of an endpoint under a request.
    #[prost(message, tag = "6")]
    Ended(CrashReport),
    /// Forget the ends under a request.
    #[prost(message, tag = "7")]
    Clear(ClearRequest),
}

/// See [`super::Body::OperationReply`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OperationReply {
    /// Number of the operation.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// What it came to.
    #[prost(oneof = "OperationResult", tags = "2, 3, 4, 5, 6, 7, 8")]
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
    /// What became of the order about a data hall.
    #[prost(message, tag = "7")]
    Hall(HallReply),
    /// The ends under a request are counted or forgotten.
    #[prost(message, tag = "8")]
    Suspects(SuspectsReply),
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

/// What an order about a data hall came to.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HallReply {
    /// See [`HallStatus`].
    #[prost(enumeration = "HallStatus", tag = "1")]
    pub status: i32,
}

/// Mirrors [`crate::state::HallResult`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
pub enum HallStatus {
    /// It is carried out.
    Done = 0,
    /// The hall was so already.
    Repeated = 1,
    /// The opposite was ordered meanwhile.
    Overtaken = 2,
    /// Too many halls are out of service.
    TooMany = 3,
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
