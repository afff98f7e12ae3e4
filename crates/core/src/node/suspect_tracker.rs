//! What a daemon knows of requests under which endpoints have ended, and its own tries of them.
//!
//! A daemon tells the leader of each end that it sees, until that is on record. What it has told counts
//! here at once, so that its next try of the request is not sent before the answer. A try of a suspect
//! asks the leader whether it may run; so do all that wait when the leader changes.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;

use super::{
    CallId, FailedAttempt, NodeReply, Outbox, Output, ProbeOutcome, VmName, operations::Operations,
};
use crate::{
    quarantine::{ClearRequest, EndedRun, EndedUnder, Known, RequestDigest, Standing},
    registry::{Registry, RunState},
    units::{Instant, UnixMillis},
    wire::{
        Body, OperationKind, SuspectNews, SuspectsReply, TrialAsk, TrialOver, TrialReply,
        TrialStatus,
    },
};

/// How long an end is told to leaders until one has put it on record.
const REPORT_TIMEOUT: Duration = Duration::from_secs(120);
/// How long it is waited for the registry's word that an endpoint has ended which does not answer, or
/// takes connections again: its heartbeats count as stopped after four are missing, and the word of that
/// takes as long as one more.
const AMBIGUOUS_TIMEOUT_HEARTBEATS: u32 = 6;
/// Attempts that are waited for so; of more the oldest are forgotten. A busy daemon has a hundred, if all
/// its callers leave early.
const MAX_AMBIGUOUS: usize = 1_024;

/// Whether a try of a suspect may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialAnswer {
    /// It may, as the only try, and apart from other requests if so. Its end is told with
    /// [`super::Input::TrialEnded`].
    Granted {
        /// Whether it must run without other requests on the endpoint.
        isolated: bool,
    },
    /// It is no suspect any more.
    Clear,
    /// It is sent to no endpoint.
    Quarantined,
    /// Others wait for the same, or no leader answers.
    Unavailable,
}

/// A try that waits for the leader's answer.
#[derive(Debug)]
struct PendingTrial {
    request: RequestDigest,
    deadline: Instant,
}

/// A trial that runs.
#[derive(Debug)]
struct RunningTrial {
    request: RequestDigest,
    /// Whether it has started well, and others need not wait for it.
    started: bool,
}

/// An end that is not on record yet, as far as is known here.
#[derive(Debug)]
struct ReportedCrash {
    request: RequestDigest,
    in_trial: bool,
    /// Number of the change that put it on record, once that was told.
    recorded: Option<u64>,
    /// When nobody tells leaders of it any more.
    until: Instant,
}

/// An attempt that broke off at an endpoint that may have ended.
#[derive(Debug)]
struct AmbiguousFailure {
    attempt: FailedAttempt,
    until: Instant,
}

/// What a daemon knows of suspects.
#[derive(Debug, Default)]
pub(crate) struct SuspectTracker {
    known: Known,
    /// By the number of the operation.
    reported: BTreeMap<u64, ReportedCrash>,
    ambiguous: Vec<AmbiguousFailure>,
    pending: BTreeMap<CallId, PendingTrial>,
    /// Trials that run here.
    running: BTreeMap<CallId, RunningTrial>,
    /// Trials that have ended, by the operation after which the leader is told.
    finishing: BTreeMap<u64, CallId>,
}

/// What the parts of a daemon beside this one know now.
pub(super) struct Context<'a> {
    pub(super) leader: Option<&'a VmName>,
    pub(super) operations: &'a mut Operations,
    pub(super) registry: &'a Registry,
    pub(super) now: Instant,
    pub(super) wall: UnixMillis,
}

impl SuspectTracker {
    /// The daemon's copy of what is on record.
    pub(crate) fn known(&self) -> &Known {
        &self.known
    }

    /// Whether there are none at all.
    pub(crate) fn is_empty(&self) -> bool {
        self.known.is_empty() && self.reported.is_empty()
    }

    /// How a request stands.
    pub(crate) fn standing(&self, request: &RequestDigest) -> Standing {
        let own = self.reported.values().filter(|end| end.request == *request);
        // Some of these may be on record already, and are not counted twice.
        let own = own.fold(Standing::default(), |own, end| own.with_end(end.in_trial));
        self.known.standing(request).max(own)
    }

    /// Takes what has changed about suspects.
    pub(crate) fn on_news(&mut self, news: &SuspectNews, out: &mut Outbox) {
        if !self.known.take(news) {
            return;
        }
        let number = self.known.state().known;
        self.reported.retain(|_, end| end.recorded.is_none_or(|recorded| number < recorded));
        self.publish_counts(out);
    }

    /// Tells how many there are. An end that this daemon saw may be on record already, before the answer to its
    /// own word has come, or under several ends of its own: a request counts once.
    fn publish_counts(&self, out: &mut Outbox) {
        let (known, quarantined) = self.known.counts();
        let own: BTreeSet<&RequestDigest> =
            self.reported.values().map(|end| &end.request).collect();
        let own = own.into_iter().filter(|request| !self.known.standing(request).is_suspect());
        out.push(Output::Suspects { suspects: known + own.count(), quarantined });
    }

    /// An attempt here broke off.
    pub(super) fn on_failed_attempt(
        &mut self,
        attempt: FailedAttempt,
        cx: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        match (attempt.run_state(cx.registry), attempt.probe) {
            // What runs at an endpoint that leaves may end with it, as its callers were told.
            (Some(RunState::Left), _) => {}
            (_, ProbeOutcome::ConnectionRefused) | (Some(RunState::Ended), _) => {
                self.report_crash(&attempt, cx, out);
            }
            // Nobody will tell what became of it.
            (None, _) => {}
            (Some(RunState::Runs), _) => {
                let until = cx.now.after(cx.registry.heartbeat() * AMBIGUOUS_TIMEOUT_HEARTBEATS);
                if MAX_AMBIGUOUS <= self.ambiguous.len() {
                    self.ambiguous.remove(0);
                }
                self.ambiguous.push(AmbiguousFailure { attempt, until });
            }
        }
    }

    /// Puts on record that an endpoint has ended under a request.
    fn report_crash(&mut self, attempt: &FailedAttempt, cx: &mut Context<'_>, out: &mut Outbox) {
        let FailedAttempt { request, endpoint, started_at, trial, .. } = attempt;
        let in_trial = trial.is_some();
        let seen_ms = if started_at.is_some() { 0 } else { cx.wall.0 };
        let run =
            EndedRun { endpoint: endpoint.to_string(), born: started_at.unwrap_or(0), seen_ms };
        let ended = EndedUnder { run, request: bytes_of(request), in_trial };
        let kind = OperationKind::Ended(ended);
        let number = cx.operations.start_detached(kind, REPORT_TIMEOUT, cx.leader, cx.now, out);
        let until = cx.now.after(REPORT_TIMEOUT);
        let end = ReportedCrash { request: *request, in_trial, recorded: None, until };
        self.reported.insert(number, end);
        if let Some(call) = trial {
            self.finishing.insert(number, *call);
        }
        self.publish_counts(out);
    }

    /// What this daemon has told is on record.
    pub(super) fn on_crash_recorded(
        &mut self,
        operation: u64,
        reply: SuspectsReply,
        cx: &Context<'_>,
        out: &mut Outbox,
    ) {
        if let Some(end) = self.reported.get_mut(&operation) {
            end.recorded = Some(reply.number);
        }
        let known = self.known.state().known;
        self.reported.retain(|_, end| end.recorded.is_none_or(|recorded| known < recorded));
        if let Some(call) = self.finishing.remove(&operation)
            && !self.finishing.values().any(|other| *other == call)
            && !self.running.contains_key(&call)
        {
            send_trial_over(call, cx.leader, out);
        }
    }

    /// Asks whether a try may run.
    pub(super) fn request_trial(
        &mut self,
        call: CallId,
        request: RequestDigest,
        limit: Duration,
        cx: &Context<'_>,
        out: &mut Outbox,
    ) {
        let standing = self.standing(&request);
        if standing.is_quarantined() {
            return out.reply(call, NodeReply::Trial(TrialAnswer::Quarantined));
        }
        if !standing.is_suspect() {
            return out.reply(call, NodeReply::Trial(TrialAnswer::Clear));
        }
        self.pending.insert(call, PendingTrial { request, deadline: cx.now.after(limit) });
        self.send_trial_request(call, request, false, cx.leader, out);
    }

    /// Takes the leader's answer.
    pub(super) fn on_trial_reply(&mut self, reply: TrialReply, cx: &Context<'_>, out: &mut Outbox) {
        let call = CallId(reply.number);
        let Some(pending) = self.pending.remove(&call) else {
            // Its caller has left.
            if reply.status() == TrialStatus::Granted && !self.running.contains_key(&call) {
                send_trial_over(call, cx.leader, out);
            }
            return;
        };
        let answer = match reply.status() {
            TrialStatus::Granted => {
                let running = RunningTrial { request: pending.request, started: false };
                self.running.insert(call, running);
                TrialAnswer::Granted { isolated: reply.apart }
            }
            TrialStatus::Quarantined => TrialAnswer::Quarantined,
            TrialStatus::Clear => {
                self.known.forget(&pending.request);
                self.publish_counts(out);
                TrialAnswer::Clear
            }
            TrialStatus::Busy => TrialAnswer::Unavailable,
        };
        out.reply(call, NodeReply::Trial(answer));
    }

    /// A try has ended, or its caller waits no longer for the leader's answer. One that has brought its
    /// whole answer clears the request.
    pub(super) fn on_trial_over(
        &mut self,
        call: CallId,
        whole: bool,
        cx: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        let asked = self.pending.remove(&call).is_some();
        let Some(RunningTrial { request, .. }) = self.running.remove(&call) else {
            if asked {
                send_trial_over(call, cx.leader, out);
            }
            return;
        };
        if whole {
            let kind = OperationKind::Clear(ClearRequest { request: bytes_of(&request) });
            let number = cx.operations.start_detached(kind, REPORT_TIMEOUT, cx.leader, cx.now, out);
            self.finishing.insert(number, call);
        } else if !self.finishing.values().any(|ending| *ending == call) {
            send_trial_over(call, cx.leader, out);
        }
    }

    /// A request has brought its whole answer, in a try that was no trial: if it was a suspect, it is none.
    pub(super) fn on_complete_answer(
        &mut self,
        request: &RequestDigest,
        cx: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        if self.standing(request).is_suspect() {
            let kind = OperationKind::Clear(ClearRequest { request: bytes_of(request) });
            cx.operations.start_detached(kind, REPORT_TIMEOUT, cx.leader, cx.now, out);
        }
    }

    /// The try has started well: others of the same request need not wait for its end.
    pub(super) fn on_trial_started(&mut self, call: CallId, cx: &Context<'_>, out: &mut Outbox) {
        if let Some(running) = self.running.get_mut(&call) {
            running.started = true;
            send_trial_over(call, cx.leader, out);
        }
    }

    /// Tells a new leader what waits and what runs.
    pub(super) fn on_leader_change(&mut self, leader: Option<&VmName>, out: &mut Outbox) {
        for (call, running) in self.running.iter().filter(|(_, running)| !running.started) {
            self.send_trial_request(*call, running.request, true, leader, out);
        }
        for (call, pending) in &self.pending {
            self.send_trial_request(*call, pending.request, false, leader, out);
        }
    }

    pub(super) fn next_tick(&self) -> Option<Instant> {
        let pending = self.pending.values().map(|pending| pending.deadline);
        let ambiguous = self.ambiguous.iter().map(|ambiguous| ambiguous.until);
        let own = self.reported.values().map(|end| end.until);
        pending.chain(ambiguous).chain(own).min()
    }

    pub(super) fn tick(&mut self, cx: &mut Context<'_>, out: &mut Outbox) {
        self.resolve_ambiguous(cx, out);
        let (now, own) = (cx.now, self.reported.len());
        self.reported.retain(|_, end| now < end.until);
        if self.reported.len() < own {
            self.publish_counts(out);
        }
        // Without a leader for so long, none has any trial of this daemon in mind.
        self.finishing.retain(|number, _| cx.operations.is_pending(*number));
        let over = self.pending.iter().filter(|(_, pending)| pending.deadline <= now);
        for call in over.map(|(call, _)| *call).collect::<Vec<_>>() {
            self.pending.remove(&call);
            send_trial_over(call, cx.leader, out);
            out.reply(call, NodeReply::Trial(TrialAnswer::Unavailable));
        }
    }

    /// Looks whether the endpoints that did not say so have ended.
    fn resolve_ambiguous(&mut self, cx: &mut Context<'_>, out: &mut Outbox) {
        let ambiguous = std::mem::take(&mut self.ambiguous);
        for waiting in ambiguous {
            match waiting.attempt.run_state(cx.registry) {
                Some(RunState::Ended) => self.report_crash(&waiting.attempt, cx, out),
                Some(RunState::Runs) if cx.now < waiting.until => self.ambiguous.push(waiting),
                Some(RunState::Runs | RunState::Left) | None => {}
            }
        }
    }

    fn send_trial_request(
        &self,
        call: CallId,
        request: RequestDigest,
        runs: bool,
        leader: Option<&VmName>,
        out: &mut Outbox,
    ) {
        let Some(leader) = leader else { return };
        let Standing { ended, .. } = self.standing(&request);
        let request = bytes_of(&request);
        out.send(leader, Body::TrialAsk(TrialAsk { number: call.0, request, ended, runs }));
    }
}

fn bytes_of(request: &RequestDigest) -> Bytes {
    Bytes::copy_from_slice(request.as_bytes())
}

/// Tells the leader that a try waits or runs no more. One that does not hear it hears that the link to
/// this daemon is down, or is told anew what runs.
fn send_trial_over(call: CallId, leader: Option<&VmName>, out: &mut Outbox) {
    if let Some(leader) = leader {
        out.send(leader, Body::TrialOver(TrialOver { number: call.0 }));
    }
}
