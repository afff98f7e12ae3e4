//! Inputs, calls, replies and outputs of a [`Node`](super::Node).

use std::{sync::Arc, time::Duration};

use bytes::Bytes;

use super::{
    ActiveConfig, ControlStatus, EndpointStatus, EntryDaemons, FailedAttempt, FetchSummary,
    Forwarders, TrialAnswer, VmName,
};
use crate::{
    agreement::{Persist, Role},
    backoff::Rejection,
    error::RequestError,
    once::{Claim, ClaimResult, Settle},
    placement::{LoadSnapshot, Refusal, Request, SampledEndpoint},
    quarantine::{ContentDigest, Suspect},
    registry::EndpointChanges,
    state::{ChangeId, HallOrder, HallResult, HallsOut},
    stream_origin::{StreamKey, StreamOrigin, UnknownOrigin},
    throttle::{LimitChange, Permit, PermitRequest, RateLimit, RateLimitReport},
    units::Instant,
    wire::{AcceptedVersion, Body, EndpointRecord, HealthNews, Piece, Report, Submit, Update},
};

/// Id of a [`NodeCall`], repeated in its reply. Also identifies a placed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A call from another thread of the daemon.
#[derive(Debug, Clone)]
pub enum NodeCall {
    /// Place a request on an endpoint. The node fills in its ticket.
    Place(Request),
    /// Submit an operator's configuration file.
    Submit(Submit),
    /// Claim a call under its idempotency key.
    Claim {
        /// The claim.
        claim: Claim,
        /// Timeout.
        limit: Duration,
    },
    /// Settle a claim; answered once the result is stored.
    Settle(Settle),
    /// Read the newest accepted configuration, confirmed after the call was made.
    ReadConfig {
        /// Timeout.
        limit: Duration,
    },
    /// Take a data hall out of service or return it to service.
    ChangeHall {
        /// The order.
        order: HallOrder,
        /// Timeout.
        limit: Duration,
    },
    /// Read the data halls that are out of service, confirmed after the call was made.
    ReadHallsOut {
        /// Timeout.
        limit: Duration,
    },
    /// Ask for permission to send a suspect to an endpoint.
    Trial {
        /// Digests of the whole request, then of the parts of its prompt in order.
        contents: Vec<ContentDigest>,
        /// Timeout.
        limit: Duration,
    },
    /// Ask for a permit at one of several rate-limited endpoints. The node fills in the requester.
    Permit(PermitRequest<CallId>),
    /// Ask where a stream began.
    StreamOrigin {
        /// The stream.
        key: StreamKey,
        /// Timeout.
        limit: Duration,
    },
    /// Clear a suspect: delete its crash record.
    ClearSuspect {
        /// The request.
        request: ContentDigest,
        /// Timeout.
        limit: Duration,
    },
    /// List the suspects known to this node's control replica.
    Suspects,
    /// List the endpoints with their state in this node's scheduler.
    Endpoints,
    /// The load as this node's scheduler sees it; only the leader has it.
    Load,
    /// Status of the control replicas as seen by this node.
    ControlStatus,
}

/// The endpoint that a request was placed on.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Priority to pass to the engine.
    pub priority: u64,
    /// Endpoints that this daemon sampled for a local placement, including the chosen one; empty if
    /// a scheduler placed the request.
    pub sampled: Vec<SampledEndpoint>,
}

impl Placement {
    /// A placement granted by a scheduler.
    pub(crate) fn granted(endpoint: Arc<str>, priority: u64) -> Placement {
        Placement { endpoint, priority, sampled: Vec::new() }
    }
}

/// Why a submitted file was not accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitError {
    /// Its version belongs to another file, or a later version is accepted.
    Refused(String),
    /// This version was accepted meanwhile; submit again as a change from it.
    Rebase(u64),
    /// No leader answered in time; the file may or may not have been accepted.
    NoAnswer,
}

/// The reply to a [`NodeCall`].
#[derive(Debug, Clone)]
pub enum NodeReply {
    /// To [`NodeCall::Place`].
    Placed(Result<Placement, RequestError>),
    /// To [`NodeCall::Submit`].
    Submitted(Result<AcceptedVersion, SubmitError>),
    /// To [`NodeCall::Claim`]; `None` if no quorum answered in time.
    Claimed(Option<ClaimResult>),
    /// To [`NodeCall::Settle`]; false if the result could not be stored in time.
    Settled(bool),
    /// To [`NodeCall::ReadConfig`]; `None` if it could not be confirmed in time.
    Config(Option<Arc<ActiveConfig>>),
    /// To [`NodeCall::ChangeHall`]; `None` if no quorum answered in time.
    HallChange(Option<HallResult>),
    /// To [`NodeCall::ReadHallsOut`]; `None` if they could not be confirmed in time.
    HallsOut(Option<HallsOut>),
    /// To [`NodeCall::Trial`].
    Trial(TrialAnswer),
    /// To [`NodeCall::Permit`].
    Permit(Permit),
    /// To [`NodeCall::StreamOrigin`].
    StreamOrigin(Result<StreamOrigin, UnknownOrigin>),
    /// To [`NodeCall::ClearSuspect`]: whether the request was a suspect; `None` when no quorum answered in
    /// time.
    SuspectCleared(Option<bool>),
    /// To [`NodeCall::Suspects`]; `None` if the node has no control replica.
    Suspects(Option<Vec<Suspect>>),
    /// To [`NodeCall::Endpoints`].
    Endpoints(Vec<EndpointStatus>),
    /// To [`NodeCall::Load`]; `None` if the node does not lead.
    Load(Option<LoadSnapshot>),
    /// To [`NodeCall::ControlStatus`].
    ControlStatus(ControlStatus),
}

/// An event for the node to handle.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed; due at [`Node::next_tick`](super::Node::next_tick).
    Tick,
    /// A link to another daemon is up.
    LinkUp(VmName),
    /// The last link to another daemon is down.
    LinkDown(VmName),
    /// A message from another daemon.
    Message(VmName, Body),
    /// The writes of [`Output::Persist`] with this number are synced.
    Persisted(u64),
    /// The link to a daemon has taken a [`Body::Piece`] that was sent on it.
    PieceWritten(VmName),
    /// A call from another thread of the daemon.
    Call(CallId, NodeCall),
    /// A placed request has generated this many tokens.
    Progress(CallId, u64),
    /// Whether this daemon is late itself, so that its times tell nothing of endpoints.
    OwnDelay(bool),
    /// A placed request ended.
    Finished {
        /// The request.
        call: CallId,
        /// Tokens generated.
        tokens: u64,
        /// Whether the answer was complete.
        complete: bool,
    },
    /// The caller of a request has disconnected.
    Cancelled(CallId),
    /// An attempt failed before its response was complete.
    FailedAttempt(FailedAttempt),
    /// A request with these contents was answered well.
    SoundContents(Vec<ContentDigest>),
    /// A trial has started to receive a successful answer.
    TrialStarted(CallId),
    /// A trial has ended, or its caller has disconnected.
    TrialEnded {
        /// The trial.
        call: CallId,
        /// Whether the answer was complete.
        complete: bool,
    },
    /// An endpoint has reported its rate limit in an answer, or that it has none.
    RateLimitReported(RateLimitReport),
    /// A stream that its caller may take up is about to bring its first event.
    StreamBegun {
        /// The names by which it may be taken up.
        keys: Vec<StreamKey>,
        /// Where it began.
        origin: StreamOrigin,
        /// Time until the caller's deadline.
        ttl: Duration,
    },
    /// An endpoint has rejected a request of this daemon.
    Rejected(Rejection),
    /// An endpoint has announced in an answer that it is shutting down.
    Leaving {
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// Start time of the endpoint's run.
        started_at: u64,
    },
    /// An endpoint has reported in an answer that it is still slow after its start.
    Cold {
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// Start time of the endpoint's run.
        started_at: u64,
        /// Remaining time.
        left: Duration,
    },
    /// This daemon has observed a change in an endpoint's health.
    Health(Arc<str>, HealthNews),
    /// An endpoint has answered this daemon's load query.
    Load(Report),
    /// An endpoint has registered or sent a heartbeat.
    Heartbeat(EndpointRecord),
    /// The endpoints saved last with [`Output::SaveEndpoints`]; sent at the start.
    RestoreEndpoints(Vec<EndpointRecord>),
    /// An endpoint has deregistered before shutting down.
    EndpointDeregistered(Arc<str>),
    /// Result of an [`Output::Move`].
    Moved {
        /// The request.
        call: CallId,
        /// Endpoint that runs it now.
        at: Arc<str>,
        /// Whether that is the requested endpoint.
        done: bool,
    },
    /// The control VMs in the settings have changed.
    Seeds(Vec<VmName>),
    /// Whether this daemon takes requests that others forward, because it connects to endpoints.
    AcceptsForwarded(bool),
    /// A planned stop has begun: transfer leadership and drain.
    Stop,
}

impl Input {
    /// Name of the kind of input in logs and metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Input::Tick => "tick",
            Input::LinkUp(_) => "link_up",
            Input::LinkDown(_) => "link_down",
            Input::Message(_, body) => body.kind(),
            Input::Persisted(_) => "persisted",
            Input::PieceWritten(_) => "piece_written",
            Input::Call(..) => "ask",
            Input::Progress(..) => "own_progress",
            Input::OwnDelay(_) => "own_delay",
            Input::Finished { .. } => "finished",
            Input::Cancelled(_) => "cancelled",
            Input::FailedAttempt(_) => "broke_off",
            Input::SoundContents(_) => "sound_contents",
            Input::TrialStarted(_) => "trial_begun",
            Input::TrialEnded { .. } => "own_trial_over",
            Input::RateLimitReported(_) => "limit_read",
            Input::StreamBegun { .. } => "stream_begun",
            Input::Rejected(_) => "rejected",
            Input::Leaving { .. } => "leaving",
            Input::Cold { .. } => "cold",
            Input::Health(..) => "own_health",
            Input::Load(_) => "load",
            Input::Heartbeat(_) => "heartbeat",
            Input::RestoreEndpoints(_) => "recall",
            Input::EndpointDeregistered(_) => "farewell",
            Input::Moved { .. } => "own_moved",
            Input::Seeds(_) => "seeds",
            Input::AcceptsForwarded(_) => "accepts_forwarded",
            Input::Stop => "stop",
        }
    }
}

/// A configuration change, or a piece of one, that was sent; for logs and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentChange {
    /// The change.
    pub change: ChangeId,
    /// Bytes sent to each daemon.
    pub bytes: usize,
    /// Number of receiving daemons.
    pub daemons: usize,
    /// The daemon that fetched it; `None` for a leader's announcement to all daemons.
    pub requested_by: Option<VmName>,
    /// Whether the change is complete with this.
    pub last: bool,
}

impl SentChange {
    pub(super) fn pushed(update: &Update, daemons: usize) -> SentChange {
        let Update { change, delta } = update;
        let bytes = delta.as_ref().map_or(0, Bytes::len);
        let last = delta.is_some();
        SentChange { change: change.clone(), bytes, daemons, requested_by: None, last }
    }

    pub(super) fn fetched(piece: &Piece, vm: &VmName) -> SentChange {
        let Piece { change, last, delta, .. } = piece;
        let (bytes, requested_by) = (delta.len(), Some(vm.clone()));
        SentChange { change: change.clone(), bytes, daemons: 1, requested_by, last: *last }
    }
}

/// What a control replica is in its current term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaRole {
    /// Its role.
    pub role: Role,
    /// The term.
    pub term: u64,
    /// Whether it leads and has committed an entry of its term.
    pub established: bool,
    /// Last index of its log.
    pub last_index: u64,
    /// Last index that it knows to be committed.
    pub commit: u64,
    /// Replicas that vote.
    pub voters: usize,
    /// Control VMs that it is linked to.
    pub linked: usize,
}

/// An action that the node requests.
#[derive(Debug, Clone)]
pub enum Output {
    /// Send a message to another daemon; it may be lost.
    Send(VmName, Body),
    /// Write and sync, then confirm with [`Input::Persisted`].
    Persist(u64, Persist),
    /// Reply to a call.
    Reply(CallId, NodeReply),
    /// A configuration was activated.
    ConfigActivated(Arc<ActiveConfig>),
    /// The data halls that are out of service have changed.
    HallsOut(HallsOut),
    /// A configuration change was sent.
    SentChange(SentChange),
    /// A configuration change was fetched from control VMs.
    ConfigFetched(FetchSummary),
    /// An accepted configuration cannot be activated on this daemon.
    ConfigRejected {
        /// Its version.
        version: u64,
        /// Reason, for logs.
        reason: &'static str,
    },
    /// The freshness of the active configuration has changed.
    ConfigFreshness {
        /// Whether it was confirmed recently enough.
        fresh: bool,
        /// When it was last confirmed to be current, if ever.
        confirmed: Option<Instant>,
        /// Number of live daemons according to the leader.
        daemons: u64,
        /// Daemons that receive callers, according to the leader.
        entries: EntryDaemons,
    },
    /// Some daemons that take forwarded requests, in place of those named before.
    Forwarders(Forwarders),
    /// Query the load of these endpoints periodically from now on.
    Watch(Vec<String>),
    /// The known leader has changed.
    Leader {
        /// Its VM, if known.
        vm: Option<VmName>,
        /// Its term; zero while no leader is known.
        term: u64,
    },
    /// Another daemon had forgotten what it knew of this one, so both have begun anew.
    SessionRenewed(VmName),
    /// The control replica on this VM has another role, or the same in another term.
    Role(ReplicaRole),
    /// A suspect's record has changed; only on the leader.
    Suspect(Suspect),
    /// The number of known suspects has changed.
    Suspects {
        /// All suspects.
        suspects: usize,
        /// Suspects in quarantine, which are sent to no endpoint.
        quarantined: usize,
    },
    /// The load that the leader sees, some seconds after the last one; empty when it ceases to lead.
    Load(LoadSnapshot),
    /// A request was rejected by the scheduler of the leader, for the log.
    Refused {
        /// The daemon that sent the request.
        entry: VmName,
        /// The request and the state behind the decision.
        refusal: Box<Refusal>,
    },
    /// Rejections since the last such output that were left out of [`Output::Refused`].
    RefusalsOmitted(u64),
    /// An endpoint has asked this daemon to back off, or its back-off has ended.
    Backoff {
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// Remaining back-off; `None` once it has ended.
        left: Option<Duration>,
        /// Number of endpoints in back-off.
        backing_off: usize,
    },
    /// An endpoint's rate limit has changed.
    Limit {
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// The new limit, if any.
        limit: Option<RateLimit>,
        /// What has changed.
        change: LimitChange,
        /// Number of endpoints with a limit.
        limited: usize,
    },
    /// Maintain links to these control VMs.
    Dial(Vec<VmName>),
    /// Some registered endpoints have changed.
    Registered(EndpointChanges),
    /// Replace the endpoints saved on disk, if this daemon stores any state.
    SaveEndpoints(Vec<EndpointRecord>),
    /// Move a running request to another endpoint, then report with [`Input::Moved`].
    Move {
        /// The request.
        call: CallId,
        /// Endpoint that runs it.
        from: Arc<str>,
        /// Endpoint that is to continue it.
        to: Arc<str>,
    },
}

/// Collected outputs, including messages of the node to itself.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pub(super) outputs: Vec<Output>,
}

impl Outbox {
    pub(crate) fn push(&mut self, output: Output) {
        self.outputs.push(output);
    }

    pub(crate) fn send(&mut self, to: &VmName, body: Body) {
        self.outputs.push(Output::Send(to.clone(), body));
    }

    pub(crate) fn reply(&mut self, call: CallId, reply: NodeReply) {
        self.outputs.push(Output::Reply(call, reply));
    }
}
