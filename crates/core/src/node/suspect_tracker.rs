//! Tracks requests that are suspected of crashing endpoints, and this daemon's trials of them.
//!
//! The daemon reports each crash that it observes to the leader until the crash is recorded. A reported
//! crash counts locally at once, so that the request is not retried before the leader has replied. An
//! attempt of a suspect runs only as a trial that the leader grants; pending trials are requested again
//! when the leader changes.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;

use super::{
    CallId, FailedAttempt, NodeReply, Outbox, Output, ProbeOutcome, VmName, operations::Operations,
};
use crate::{
    quarantine::{ClearRequest, ContentDigest, CrashCounts, CrashReport, CrashedRun, SuspectCache},
    registry::{Registry, RunState},
    units::{Instant, UnixMillis},
    wire::{
        Body, OperationKind, SuspectNews, SuspectsReply, TrialAsk, TrialOver, TrialReply,
        TrialStatus,
    },
};

/// Time for which an unrecorded crash is reported to leaders.
const REPORT_TIMEOUT: Duration = Duration::from_secs(120);
/// Heartbeat intervals after which an endpoint that still counts as running is assumed not to have
/// crashed. Its heartbeats count as stopped after four are missing, and the news takes up to one more
/// interval.
const AMBIGUOUS_TIMEOUT_HEARTBEATS: u32 = 6;
/// Maximum number of unresolved failures; the oldest is dropped beyond that.
const MAX_AMBIGUOUS: usize = 1_024;

/// Whether an attempt of a suspect may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialAnswer {
    /// It may run as a trial, whose end must be reported with [`super::Input::TrialEnded`].
    Granted {
        /// Whether it must run without other requests on the endpoint.
        isolated: bool,
    },
    /// The request is not a suspect any more.
    Clear,
    /// The request is in quarantine and must not be sent to any endpoint.
    Quarantined,
    /// Other trials of the request are queued, or no leader answers.
    Unavailable,
}

/// A trial that the leader has not decided on.
#[derive(Debug)]
struct PendingTrial {
    request: ContentDigest,
    deadline: Instant,
}

/// A trial that runs on an endpoint.
#[derive(Debug)]
struct RunningTrial {
    request: ContentDigest,
    /// Whether it has started to answer, so that other trials of the request need not wait.
    started: bool,
}

/// A crash that this daemon has reported and that its copy of the crash records lacks.
#[derive(Debug)]
struct ReportedCrash {
    request: ContentDigest,
    in_trial: bool,
    /// Revision of the crash records that includes it, once the leader has replied.
    recorded_at: Option<u64>,
    expires_at: Instant,
}

/// A failed attempt at an endpoint that may or may not have crashed.
#[derive(Debug)]
struct AmbiguousFailure {
    attempt: FailedAttempt,
    /// Assumed to be no crash after this.
    deadline: Instant,
}

/// Crash records and trials of one daemon.
#[derive(Debug, Default)]
pub(crate) struct SuspectTracker {
    known: SuspectCache,
    /// By the number of the operation that reports the crash.
    reported: BTreeMap<u64, ReportedCrash>,
    ambiguous: Vec<AmbiguousFailure>,
    pending: BTreeMap<CallId, PendingTrial>,
    running: BTreeMap<CallId, RunningTrial>,
    /// Ended trials, by the operation that must be stored before their end is reported to the leader.
    finishing: BTreeMap<u64, CallId>,
}

/// State of other components that the tracker uses.
pub(super) struct Context<'a> {
    pub(super) leader: Option<&'a VmName>,
    pub(super) operations: &'a mut Operations,
    pub(super) registry: &'a Registry,
    pub(super) now: Instant,
    pub(super) wall: UnixMillis,
}

impl SuspectTracker {
    /// The daemon's copy of the replicated crash records.
    pub(crate) fn known(&self) -> &SuspectCache {
        &self.known
    }

    /// Whether no crash is recorded or reported.
    pub(crate) fn is_empty(&self) -> bool {
        self.known.is_empty() && self.reported.is_empty()
    }

    /// Crashes counted against a request.
    pub(crate) fn crash_counts(&self, request: &ContentDigest) -> CrashCounts {
        let local = self.reported.values().filter(|crash| crash.request == *request);
        // Reported crashes may be in the records already, so the counts are not added.
        let local =
            local.fold(CrashCounts::default(), |counts, crash| counts.with_crash(crash.in_trial));
        self.known.crash_counts(request).max(local)
    }

    /// Applies changes of the replicated crash records.
    pub(crate) fn on_news(&mut self, news: &SuspectNews, out: &mut Outbox) {
        if !self.known.apply(news) {
            return;
        }
        let revision = self.known.state().revision;
        self.reported
            .retain(|_, crash| crash.recorded_at.is_none_or(|recorded| revision < recorded));
        self.publish_counts(out);
    }

    /// Publishes the number of suspects. Each request counts once, even if its crash is both reported
    /// here and recorded.
    fn publish_counts(&self, out: &mut Outbox) {
        let (known, quarantined) = self.known.counts();
        let local: BTreeSet<&ContentDigest> =
            self.reported.values().map(|crash| &crash.request).collect();
        let local =
            local.into_iter().filter(|request| !self.known.crash_counts(request).is_suspect());
        out.push(Output::Suspects { suspects: known + local.count(), quarantined });
    }

    /// Reports a crash if the failed attempt shows one, or waits until the registry shows one.
    pub(super) fn on_failed_attempt(
        &mut self,
        attempt: FailedAttempt,
        cx: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        match (attempt.run_state(cx.registry), attempt.probe) {
            // A leaving endpoint may exit while requests still run on it.
            (Some(RunState::Departed), _) => {}
            (_, ProbeOutcome::ConnectionRefused) | (Some(RunState::Crashed), _) => {
                self.report_crash(&attempt, cx, out);
            }
            // The endpoint sends no heartbeats, so the registry cannot detect a crash.
            (None, _) => {}
            (Some(RunState::Running), _) => {
                let deadline = cx.now.after(cx.registry.heartbeat() * AMBIGUOUS_TIMEOUT_HEARTBEATS);
                if MAX_AMBIGUOUS <= self.ambiguous.len() {
                    self.ambiguous.remove(0);
                }
                self.ambiguous.push(AmbiguousFailure { attempt, deadline });
            }
        }
    }

    /// Reports to the leader that an endpoint crashed while it ran a request.
    fn report_crash(&mut self, attempt: &FailedAttempt, cx: &mut Context<'_>, out: &mut Outbox) {
        let FailedAttempt { request, endpoint, started_at, trial, .. } = attempt;
        let in_trial = trial.is_some();
        let detected_ms = if started_at.is_some() { 0 } else { cx.wall.0 };
        let run = CrashedRun {
            endpoint: endpoint.to_string(),
            started_at: started_at.unwrap_or(0),
            detected_ms,
        };
        let report = CrashReport { run, request: bytes_of(request), in_trial };
        let kind = OperationKind::Ended(report);
        let number = cx.operations.start_detached(kind, REPORT_TIMEOUT, cx.leader, cx.now, out);
        let expires_at = cx.now.after(REPORT_TIMEOUT);
        let crash = ReportedCrash { request: *request, in_trial, recorded_at: None, expires_at };
        self.reported.insert(number, crash);
        if let Some(call) = trial {
            self.finishing.insert(number, *call);
        }
        self.publish_counts(out);
    }

    /// Handles the leader's reply that a reported crash is recorded.
    pub(super) fn on_crash_recorded(
        &mut self,
        operation: u64,
        reply: SuspectsReply,
        cx: &Context<'_>,
        out: &mut Outbox,
    ) {
        if let Some(crash) = self.reported.get_mut(&operation) {
            crash.recorded_at = Some(reply.number);
        }
        let revision = self.known.state().revision;
        self.reported
            .retain(|_, crash| crash.recorded_at.is_none_or(|recorded| revision < recorded));
        if let Some(call) = self.finishing.remove(&operation)
            && !self.finishing.values().any(|other| *other == call)
            && !self.running.contains_key(&call)
        {
            send_trial_over(call, cx.leader, out);
        }
    }

    /// Requests a trial for an attempt of a suspect.
    pub(super) fn request_trial(
        &mut self,
        call: CallId,
        request: ContentDigest,
        timeout: Duration,
        cx: &Context<'_>,
        out: &mut Outbox,
    ) {
        let counts = self.crash_counts(&request);
        if counts.is_quarantined() {
            return out.reply(call, NodeReply::Trial(TrialAnswer::Quarantined));
        }
        if !counts.is_suspect() {
            return out.reply(call, NodeReply::Trial(TrialAnswer::Clear));
        }
        self.pending.insert(call, PendingTrial { request, deadline: cx.now.after(timeout) });
        self.send_trial_request(call, request, false, cx.leader, out);
    }

    /// Handles the leader's decision on a trial.
    pub(super) fn on_trial_reply(&mut self, reply: TrialReply, cx: &Context<'_>, out: &mut Outbox) {
        let call = CallId(reply.number);
        let Some(pending) = self.pending.remove(&call) else {
            // The caller has given up waiting.
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
                self.known.remove(&pending.request);
                self.publish_counts(out);
                TrialAnswer::Clear
            }
            TrialStatus::Busy => TrialAnswer::Unavailable,
        };
        out.reply(call, NodeReply::Trial(answer));
    }

    /// Ends a trial, or withdraws one that the leader has not decided on. A complete answer clears the
    /// request.
    pub(super) fn on_trial_over(
        &mut self,
        call: CallId,
        complete: bool,
        cx: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        let was_pending = self.pending.remove(&call).is_some();
        let Some(RunningTrial { request, .. }) = self.running.remove(&call) else {
            if was_pending {
                send_trial_over(call, cx.leader, out);
            }
            return;
        };
        if complete {
            let kind = OperationKind::Clear(ClearRequest { request: bytes_of(&request) });
            let number = cx.operations.start_detached(kind, REPORT_TIMEOUT, cx.leader, cx.now, out);
            self.finishing.insert(number, call);
        } else if !self.finishing.values().any(|other| *other == call) {
            send_trial_over(call, cx.leader, out);
        }
    }

    /// Clears a suspect whose answer was complete in an attempt that was not a trial.
    pub(super) fn on_complete_answer(
        &mut self,
        request: &ContentDigest,
        cx: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        if self.crash_counts(request).is_suspect() {
            let kind = OperationKind::Clear(ClearRequest { request: bytes_of(request) });
            cx.operations.start_detached(kind, REPORT_TIMEOUT, cx.leader, cx.now, out);
        }
    }

    /// Lets other trials of the request proceed, since this one has started to answer.
    pub(super) fn on_trial_started(&mut self, call: CallId, cx: &Context<'_>, out: &mut Outbox) {
        if let Some(running) = self.running.get_mut(&call) {
            running.started = true;
            send_trial_over(call, cx.leader, out);
        }
    }

    /// Sends a new leader the pending and running trials.
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
        let ambiguous = self.ambiguous.iter().map(|failure| failure.deadline);
        let local = self.reported.values().map(|crash| crash.expires_at);
        pending.chain(ambiguous).chain(local).min()
    }

    pub(super) fn tick(&mut self, cx: &mut Context<'_>, out: &mut Outbox) {
        self.resolve_ambiguous(cx, out);
        let (now, before) = (cx.now, self.reported.len());
        self.reported.retain(|_, crash| now < crash.expires_at);
        if self.reported.len() < before {
            self.publish_counts(out);
        }
        // After so long without a leader, no leader has state of this daemon's trials.
        self.finishing.retain(|number, _| cx.operations.is_pending(*number));
        let overdue = self.pending.iter().filter(|(_, pending)| pending.deadline <= now);
        for call in overdue.map(|(call, _)| *call).collect::<Vec<_>>() {
            self.pending.remove(&call);
            send_trial_over(call, cx.leader, out);
            out.reply(call, NodeReply::Trial(TrialAnswer::Unavailable));
        }
    }

    /// Checks whether the registry now shows endpoints of ambiguous failures as crashed.
    fn resolve_ambiguous(&mut self, cx: &mut Context<'_>, out: &mut Outbox) {
        let ambiguous = std::mem::take(&mut self.ambiguous);
        for failure in ambiguous {
            match failure.attempt.run_state(cx.registry) {
                Some(RunState::Crashed) => self.report_crash(&failure.attempt, cx, out),
                Some(RunState::Running) if cx.now < failure.deadline => {
                    self.ambiguous.push(failure)
                }
                Some(RunState::Running | RunState::Departed) | None => {}
            }
        }
    }

    fn send_trial_request(
        &self,
        call: CallId,
        request: ContentDigest,
        is_running: bool,
        leader: Option<&VmName>,
        out: &mut Outbox,
    ) {
        let Some(leader) = leader else { return };
        let CrashCounts { total: ended, .. } = self.crash_counts(&request);
        let request = bytes_of(&request);
        out.send(
            leader,
            Body::TrialAsk(TrialAsk { number: call.0, request, ended, runs: is_running }),
        );
    }
}

fn bytes_of(request: &ContentDigest) -> Bytes {
    request.to_bytes()
}

/// Tells the leader that a trial neither waits nor runs any more. If the message is lost, the leader
/// learns it from the loss of the link, or a new leader from the trials that this daemon resends.
fn send_trial_over(call: CallId, leader: Option<&VmName>, out: &mut Outbox) {
    if let Some(leader) = leader {
        out.send(leader, Body::TrialOver(TrialOver { number: call.0 }));
    }
}
