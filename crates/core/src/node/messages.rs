//! What a node is told and asked, and what it answers and wants done.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;

use super::{
    ActiveConfig, ControlStatus, EndpointStatus, EntryDaemons, FailedAttempt, TrialAnswer, VmName,
};
use crate::{
    agreement::Persist,
    backoff::Rejection,
    error::RequestError,
    once::{Claim, ClaimResult, Settle},
    placement::{Request, SampledEndpoint},
    quarantine::{RequestDigest, Suspect},
    registry::Registered,
    state::{ChangeId, HallOrder, HallResult, HallsOut},
    throttle::{LimitChange, Permit, PermitRequest, RateLimit, RateLimitReport},
    units::Instant,
    wire::{AcceptedVersion, Body, EndpointRecord, HealthNews, Piece, Report, Submit, Update},
};

/// Names a question that one of the daemon's own threads asked; the answer repeats it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A question from one of the daemon's own threads.
#[derive(Debug, Clone)]
pub enum NodeCall {
    /// Find a place for a request. Its ticket is filled in by the node.
    Place(Request),
    /// Submit an operator's file.
    Submit(Submit),
    /// Claim a call, within this time.
    Claim {
        /// The claim.
        claim: Claim,
        /// Time allowed.
        limit: Duration,
    },
    /// End a claim; the answer tells when it is stored.
    Settle(Settle),
    /// The newest accepted configuration, confirmed after the question came.
    ReadConfig {
        /// Time allowed.
        limit: Duration,
    },
    /// Take a data hall out of service or give it back, within this time.
    ChangeHall {
        /// The order.
        order: HallOrder,
        /// Time allowed.
        limit: Duration,
    },
    /// The data halls that are out of service, confirmed after the question came.
    ReadHallsOut {
        /// Time allowed.
        limit: Duration,
    },
    /// Whether a try of a suspect may run.
    Trial {
        /// The request.
        request: RequestDigest,
        /// How long it may wait for the answer.
        limit: Duration,
    },
    /// A permit for a request at one of several endpoints that name limits; who asks is filled in by the node.
    Permit(PermitRequest<CallId>),
    /// Forget the ends under a request, within this time.
    ClearSuspect {
        /// The request.
        request: RequestDigest,
        /// Time allowed.
        limit: Duration,
    },
    /// The requests under which endpoints have ended, as this node's control replica knows them.
    Suspects,
    /// The state of the endpoints as this node's scheduler sees them.
    Endpoints,
    /// The state of the control replicas as this node sees them.
    ControlStatus,
}

/// Where a request was placed.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Priority for the engine.
    pub priority: u64,
    /// The endpoints that this daemon has drawn at random, the one above among them, while no
    /// scheduler answers; none where a scheduler has granted the place.
    pub sampled: Vec<SampledEndpoint>,
}

impl Placement {
    /// A place that a scheduler has granted.
    pub(crate) fn granted(endpoint: Arc<str>, priority: u64) -> Placement {
        Placement { endpoint, priority, sampled: Vec::new() }
    }
}

/// Why a submitted file was not accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitError {
    /// Another file holds its version, or a later one is accepted.
    Refused(String),
    /// Another version was accepted meanwhile; compare with that one and ask again.
    Rebase(u64),
    /// No leader answered in time; whether the file was accepted is not known.
    NoAnswer,
}

/// The answer to a [`NodeCall`].
#[derive(Debug, Clone)]
pub enum NodeReply {
    /// To [`NodeCall::Place`].
    Placed(Result<Placement, RequestError>),
    /// To [`NodeCall::Submit`].
    Submitted(Result<AcceptedVersion, SubmitError>),
    /// To [`NodeCall::Claim`]; `None` when no quorum answered in time.
    Claimed(Option<ClaimResult>),
    /// To [`NodeCall::Settle`]; false when it could not be stored in time.
    Settled(bool),
    /// To [`NodeCall::ReadConfig`]; `None` when it could not be confirmed in time.
    Config(Option<Arc<ActiveConfig>>),
    /// To [`NodeCall::ChangeHall`]; `None` when no quorum answered in time.
    HallChange(Option<HallResult>),
    /// To [`NodeCall::ReadHallsOut`]; `None` when they could not be confirmed in time.
    HallsOut(Option<HallsOut>),
    /// To [`NodeCall::Trial`].
    Trial(TrialAnswer),
    /// To [`NodeCall::Permit`].
    Permit(Permit),
    /// To [`NodeCall::ClearSuspect`]: whether the request was a suspect; `None` when no quorum answered in
    /// time.
    SuspectCleared(Option<bool>),
    /// To [`NodeCall::Suspects`]; `None` where the node has no control replica.
    Suspects(Option<Vec<Suspect>>),
    /// To [`NodeCall::Endpoints`].
    Endpoints(Vec<EndpointStatus>),
    /// To [`NodeCall::ControlStatus`].
    ControlStatus(ControlStatus),
}

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A link to another daemon is up.
    LinkUp(VmName),
    /// The last link to another daemon is down.
    LinkDown(VmName),
    /// A message from another daemon.
    Message(VmName, Body),
    /// The writes of [`Output::Persist`] with this number are synced.
    Persisted(u64),
    /// A question from one of the daemon's own threads.
    Call(CallId, NodeCall),
    /// A placed request has produced this many tokens.
    Progress(CallId, u64),
    /// A placed request ended.
    Finished {
        /// The request.
        call: CallId,
        /// Tokens produced.
        tokens: u64,
        /// Whether with its whole answer.
        complete: bool,
    },
    /// The asker of a placement has left.
    Cancelled(CallId),
    /// An attempt at an endpoint broke off.
    FailedAttempt(FailedAttempt),
    /// A request that may be a suspect has brought its whole answer, in a try that was no trial.
    AnswerCompleted(RequestDigest),
    /// A trial has begun to answer well.
    TrialStarted(CallId),
    /// A trial has ended, or its asker has left.
    TrialEnded {
        /// The try.
        call: CallId,
        /// Whether it has brought its whole answer.
        complete: bool,
    },
    /// An endpoint has said in an answer how much it takes, or names no limit any more.
    RateLimitReported(RateLimitReport),
    /// An endpoint has rejected a request of this daemon.
    Rejected(Rejection),
    /// An endpoint has said in an answer that it will end.
    Leaving {
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// When its run was started.
        started_at: u64,
    },
    /// An endpoint has said in an answer that it is slow after its start.
    Cold {
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// When its run was started.
        started_at: u64,
        /// For how much longer.
        left: Duration,
    },
    /// This daemon has news of an endpoint.
    Health(Arc<str>, HealthNews),
    /// This daemon asked an endpoint for its load.
    Load(Report),
    /// An endpoint registered itself or sent a heartbeat.
    Heartbeat(EndpointRecord),
    /// The endpoints that were last given out with [`Output::SaveEndpoints`], at the start.
    RestoreEndpoints(Vec<EndpointRecord>),
    /// An endpoint said that it will end.
    EndpointDeregistered(Arc<str>),
    /// What became of a move.
    Moved {
        /// The request.
        call: CallId,
        /// Where it runs now.
        at: Arc<str>,
        /// Whether that is where it was to go.
        done: bool,
    },
    /// The settings name other control VMs.
    Seeds(Vec<VmName>),
    /// A planned stop: hand over what can be handed over.
    Stop,
}

impl Input {
    /// What kind of input it is, for logs and metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Input::Tick => "tick",
            Input::LinkUp(_) => "link_up",
            Input::LinkDown(_) => "link_down",
            Input::Message(_, body) => body.kind(),
            Input::Persisted(_) => "persisted",
            Input::Call(..) => "ask",
            Input::Progress(..) => "own_progress",
            Input::Finished { .. } => "finished",
            Input::Cancelled(_) => "cancelled",
            Input::FailedAttempt(_) => "broke_off",
            Input::AnswerCompleted(_) => "answered_whole",
            Input::TrialStarted(_) => "trial_begun",
            Input::TrialEnded { .. } => "own_trial_over",
            Input::RateLimitReported(_) => "limit_read",
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
            Input::Stop => "stop",
        }
    }
}

/// A change of the configuration, or a piece of it, that was sent; for logs and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentChange {
    /// The change.
    pub change: ChangeId,
    /// Bytes that were sent to each daemon.
    pub bytes: usize,
    /// Number of daemons.
    pub daemons: usize,
    /// The daemon that has asked for it; nobody where the leader told all of an accepted one.
    pub requested_by: Option<VmName>,
    /// Whether nothing is left to be sent of it.
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

/// Something to be done.
#[derive(Debug, Clone)]
pub enum Output {
    /// Send a message to another daemon; it may be lost.
    Send(VmName, Body),
    /// Write and sync, then tell with [`Input::Persisted`].
    Persist(u64, Persist),
    /// Answer a question.
    Reply(CallId, NodeReply),
    /// A configuration has come into force.
    ConfigActivated(Arc<ActiveConfig>),
    /// Other data halls are out of service from now on.
    HallsOut(HallsOut),
    /// A change of the configuration was sent.
    SentChange(SentChange),
    /// An accepted configuration that cannot come into force on this daemon.
    ConfigRejected {
        /// Its version.
        version: u64,
        /// What is wrong with it.
        reason: &'static str,
    },
    /// Whether the configuration is confirmed to be current, and when it last was.
    ConfigFreshness {
        /// Whether that is recent enough.
        fresh: bool,
        /// When it last was; nothing before the first time.
        confirmed: Option<Instant>,
        /// Number of daemons that the leader hears.
        daemons: u64,
        /// Those that callers are sent to, as the leader knows them.
        entries: EntryDaemons,
    },
    /// Ask these endpoints for their load from now on.
    Watch(Vec<String>),
    /// Another control VM leads from now on, or none is known.
    Leader {
        /// Its VM.
        vm: Option<VmName>,
        /// Its term; zero while none is known.
        term: u64,
    },
    /// This daemon leads, and what is on record about a request has changed.
    Suspect(Suspect),
    /// This daemon knows of so many suspects from now on.
    Suspects {
        /// All of them.
        suspects: usize,
        /// Those that are sent to no endpoint.
        quarantined: usize,
    },
    /// An endpoint has asked this daemon to back off, or the time is over.
    Backoff {
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// For how long; nothing once it is over.
        left: Option<Duration>,
        /// Number of the endpoints that have asked it to back off.
        backing_off: usize,
    },
    /// An endpoint has named a limit, another one or none any more.
    Limit {
        /// The endpoint.
        endpoint: Arc<str>,
        /// What it names.
        limit: Option<RateLimit>,
        /// What is new about it.
        change: LimitChange,
        /// Number of endpoints that name one, as this daemon knows.
        limited: usize,
    },
    /// Keep links to these control VMs.
    Dial(Vec<VmName>),
    /// The endpoints that registered themselves have changed.
    Registered(Vec<Registered>),
    /// Keep these endpoints on disk if that is possible, in place of those before.
    SaveEndpoints(Vec<EndpointRecord>),
    /// Move a running request to another endpoint, then tell with [`Input::Moved`].
    Move {
        /// The request.
        call: CallId,
        /// Where it runs.
        from: Arc<str>,
        /// Where it is to go on.
        to: Arc<str>,
    },
}

/// Outputs that have come up, and messages to this node itself.
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
