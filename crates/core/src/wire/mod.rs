//! Messages between the daemons, and their frames.

mod backoff;
mod codec;
mod control;
mod endpoints;
mod handshake;
mod placement;
mod quarantine;
mod returns;
mod stream_origin;
#[cfg(test)]
mod tests;
mod throttle;

use crate::{agreement, state::HallsOut};

pub use self::{
    backoff::{LastResort, Overloaded, Rejected},
    codec::{FrameCodec, MAX_FRAME},
    control::{
        AcceptedVersion, ClaimReply, ClaimStatus, Directory, Done, Fetch, HallReply, HallStatus,
        NotLeader, Operation, OperationKind, OperationReply, OperationResult, Piece, Poll,
        PollReply, ReplicaInfo, SessionOpened, SlowEndpoint, Submit, Update,
    },
    endpoints::{
        EndpointCensus, EndpointDigest, EndpointHeartbeat, EndpointHeartbeats, EndpointInterest,
        EndpointNews, EndpointRecord, EndpointsUsed, EndpointsWanted, Health, HealthNews, Report,
        ServiceCount, ServiceSample, UsedEndpoint, Watch,
    },
    handshake::{Handshake, HandshakeError, Hello, Proof},
    placement::{Admit, GiveUp, Grant, Move, Moved, Progress, Tokens},
    quarantine::{
        CrashSeen, SuspectChange, SuspectNews, SuspectsReply, TrialAsk, TrialOver, TrialReply,
        TrialStatus,
    },
    returns::{Return, Returns},
    stream_origin::{BegunStream, OriginQuery, OriginReply, StreamsBegun},
    throttle::{LimitNews, LimitWord, PermitQuery, PermitReply},
};

/// A message between two daemons.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// What it says.
    #[prost(
        oneof = "Body",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31, 32, 33, 34, 35, 36, 37, 38, 39, 40, 41, 42, 43, 44"
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
    /// The leader tells of a newly accepted configuration without being asked.
    #[prost(message, tag = "6")]
    Update(Update),
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
    /// A daemon asks a control VM for pieces of the change that it lacks.
    #[prost(message, tag = "20")]
    Fetch(Fetch),
    /// A control VM sends one of them.
    #[prost(message, tag = "21")]
    Piece(Piece),
    /// The leader tells which data halls are out of service, without being asked.
    #[prost(message, tag = "22")]
    HallsOut(HallsOut),
    /// A control VM tells a digest of the endpoints that it knows.
    #[prost(message, tag = "23")]
    EndpointDigest(EndpointDigest),
    /// A daemon asks a control VM for a part of them.
    #[prost(message, tag = "24")]
    EndpointsWanted(EndpointsWanted),
    /// The leader tells under which requests endpoints have ended, without being asked.
    #[prost(message, tag = "25")]
    Suspects(SuspectNews),
    /// A daemon asks whether a try of a suspect may run.
    #[prost(message, tag = "26")]
    TrialAsk(TrialAsk),
    /// The leader answers.
    #[prost(message, tag = "27")]
    TrialReply(TrialReply),
    /// The try has ended, or is no longer wanted.
    #[prost(message, tag = "28")]
    TrialOver(TrialOver),
    /// A daemon tells the leader which limits endpoints have named to it.
    #[prost(message, tag = "29")]
    LimitsRead(LimitNews),
    /// The leader tells which limits endpoints name, without being asked.
    #[prost(message, tag = "30")]
    Limits(LimitNews),
    /// A daemon asks whether a request may go to an endpoint that names a limit.
    #[prost(message, tag = "31")]
    PermitQuery(PermitQuery),
    /// The leader answers.
    #[prost(message, tag = "32")]
    PermitReply(PermitReply),
    /// A daemon tells the leader that an endpoint has rejected a request of it, and asked it to back off.
    #[prost(message, tag = "33")]
    Rejected(Rejected),
    /// The leader tells which endpoints reject requests, without being asked.
    #[prost(message, tag = "34")]
    Overloaded(Overloaded),
    /// A control VM tells how many endpoints there are, when a link comes up.
    #[prost(message, tag = "35")]
    EndpointCensus(EndpointCensus),
    /// A daemon tells a control VM of which endpoints it wants news.
    #[prost(message, tag = "36")]
    EndpointInterest(EndpointInterest),
    /// A daemon tells a control VM which endpoints it sends requests to beside its sample.
    #[prost(message, tag = "37")]
    EndpointsUsed(EndpointsUsed),
    /// A control VM passes on heartbeats that say nothing new.
    #[prost(message, tag = "38")]
    EndpointHeartbeats(EndpointHeartbeats),
    /// A daemon tells a new leader which rejected requests were told when to come back.
    #[prost(message, tag = "39")]
    Returns(Returns),
    /// A daemon tells a control VM where streams of its callers began.
    #[prost(message, tag = "40")]
    StreamsBegun(StreamsBegun),
    /// A daemon asks a control VM where a stream began that a caller takes up.
    #[prost(message, tag = "41")]
    OriginQuery(OriginQuery),
    /// The control VM answers.
    #[prost(message, tag = "42")]
    OriginReply(OriginReply),
    /// A daemon tells control VMs of a crash that no leader has put on record, and they tell all daemons.
    #[prost(message, tag = "43")]
    CrashSeen(CrashSeen),
    /// A daemon tells that it has forgotten what it knew of the receiver.
    #[prost(message, tag = "44")]
    SessionOpened(SessionOpened),
}

impl Body {
    /// What kind of message it is, for logs and metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Body::Agreement(_) => "agreement",
            Body::ReplicaInfo(_) => "replica_info",
            Body::Poll(_) => "poll",
            Body::PollReply(_) => "poll_reply",
            Body::NotLeader(_) => "not_leader",
            Body::Update(_) => "update",
            Body::Operation(_) => "operation",
            Body::OperationReply(_) => "operation_reply",
            Body::Admit(_) => "admit",
            Body::Grant(_) => "grant",
            Body::GiveUp(_) => "give_up",
            Body::Progress(_) => "progress",
            Body::Health(_) => "health",
            Body::Watch(_) => "watch",
            Body::Report(_) => "report",
            Body::Directory(_) => "directory",
            Body::EndpointNews(_) => "endpoint_news",
            Body::Move(_) => "move",
            Body::Moved(_) => "moved",
            Body::Fetch(_) => "fetch",
            Body::Piece(_) => "piece",
            Body::HallsOut(_) => "halls_out",
            Body::EndpointDigest(_) => "endpoint_digest",
            Body::EndpointsWanted(_) => "endpoints_wanted",
            Body::Suspects(_) => "suspects",
            Body::TrialAsk(_) => "trial_ask",
            Body::TrialReply(_) => "trial_reply",
            Body::TrialOver(_) => "trial_over",
            Body::LimitsRead(_) => "limits_read",
            Body::Limits(_) => "limits",
            Body::PermitQuery(_) => "leave_ask",
            Body::PermitReply(_) => "leave_reply",
            Body::Rejected(_) => "rejected",
            Body::Overloaded(_) => "overloaded",
            Body::EndpointCensus(_) => "endpoint_census",
            Body::EndpointInterest(_) => "endpoint_interest",
            Body::EndpointsUsed(_) => "endpoints_used",
            Body::EndpointHeartbeats(_) => "endpoint_heartbeats",
            Body::Returns(_) => "returns",
            Body::SessionOpened(_) => "session_opened",
            Body::StreamsBegun(_) => "streams_begun",
            Body::OriginQuery(_) => "origin_query",
            Body::OriginReply(_) => "origin_reply",
            Body::CrashSeen(_) => "crash_seen",
        }
    }
}
