//! Messages about requests under which endpoints have ended.

use bytes::Bytes;

use crate::quarantine::{CrashReport, CrashedRun};

/// How a request, or a part of prompts, stands now.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SuspectChange {
    /// Digest of the request.
    #[prost(bytes = "bytes", tag = "1")]
    pub request: Bytes,
    /// Endpoints that have ended under it; none where it is no suspect any more.
    #[prost(uint32, tag = "2")]
    pub ended: u32,
    /// Those of them that ended in trials.
    #[prost(uint32, tag = "3")]
    pub in_trials: u32,
    /// The last runs that ended under it.
    #[prost(message, repeated, tag = "4")]
    pub runs: Vec<CrashedRun>,
}

/// See [`super::Body::CrashSeen`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CrashSeen {
    /// The crash.
    #[prost(message, required, tag = "1")]
    pub report: CrashReport,
    /// Whether a control VM passes it on.
    #[prost(bool, tag = "2")]
    pub forwarded: bool,
}

/// What has changed about suspects; see [`super::Body::Suspects`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SuspectNews {
    /// Number of the change that this goes on from.
    #[prost(uint64, tag = "1")]
    pub after: u64,
    /// Number of the last change that it tells.
    #[prost(uint64, tag = "2")]
    pub up_to: u64,
    /// Whether what was known before is void.
    #[prost(bool, tag = "3")]
    pub reset: bool,
    /// Whether more has changed after that.
    #[prost(bool, tag = "4")]
    pub more: bool,
    /// The changes.
    #[prost(message, repeated, tag = "5")]
    pub changes: Vec<SuspectChange>,
}

/// See [`super::Body::TrialAsk`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct TrialAsk {
    /// Number given by the daemon.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Digest of the request.
    #[prost(bytes = "bytes", tag = "2")]
    pub request: Bytes,
    /// Endpoints that have ended under it as the daemon knows.
    #[prost(uint32, tag = "3")]
    pub ended: u32,
    /// Whether the try runs already, let by a former leader.
    #[prost(bool, tag = "4")]
    pub runs: bool,
    /// Digests of the whole request and of the parts of its prompt; empty if there is only the one.
    #[prost(bytes = "bytes", repeated, tag = "5")]
    pub contents: Vec<Bytes>,
}

/// See [`super::Body::TrialReply`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct TrialReply {
    /// Number of the try.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// See [`TrialStatus`].
    #[prost(enumeration = "TrialStatus", tag = "2")]
    pub status: i32,
    /// Whether it is to run apart from other requests.
    #[prost(bool, tag = "3")]
    pub apart: bool,
}

/// Mirrors `quarantine::TrialDecision`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
pub enum TrialStatus {
    /// Too many tries wait.
    Busy = 0,
    /// The try may run.
    Granted = 1,
    /// The request is sent to no endpoint.
    Quarantined = 2,
    /// It is no suspect any more.
    Clear = 3,
}

/// See [`super::Body::TrialOver`].
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct TrialOver {
    /// Number of the try.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// What became of a change of the records.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct SuspectsReply {
    /// Number of the last change that it made or found.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Whether it has changed anything.
    #[prost(bool, tag = "2")]
    pub changed: bool,
}
