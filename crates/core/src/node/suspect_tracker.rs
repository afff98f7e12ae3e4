//! Tracks contents that are suspected of crashing endpoints, and this daemon's trials of them.
//!
//! The daemon reports each crash that it observes to the leader until the crash is recorded. A reported
//! crash counts locally at once, so that the request is not retried before the leader has replied. If
//! no leader records it soon, control VMs tell all daemons. Likewise, contents that an endpoint has
//! answered well are no suspects here from then on, whatever the leader's older news say. An attempt
//! of a suspect runs only as a trial that the leader grants; pending trials are requested again when
//! the leader changes. Without a leader the daemon grants trials of prompt parts itself, one of each
//! at a time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    CallId, FailedAttempt, NodeReply, Outbox, Output, ProbeOutcome, VmName,
    crash_spread::CrashSpread,
    local_suspects::{LocalSuspects, MergedHistory},
    operations::Operations,
    trials::{PendingTrial, RunningTrial, TrialAnswer},
};
use crate::{
    quarantine::{
        ClearRequest, ContentDigest, ContentKind, CrashCounts, CrashHistory, CrashReport,
        CrashedRun, SuspectCache, Verdict,
    },
    registry::{Registry, RunState},
    units::{Instant, UnixMillis},
    wire::{
        Body, CrashSeen, OperationKind, SuspectNews, TrialAsk, TrialOver, TrialReply, TrialStatus,
    },
};

/// Time for which an unrecorded crash is reported to leaders.
const REPORT_TIMEOUT: Duration = Duration::from_secs(120);
/// Wait for a leader after which the daemon grants a trial of a prompt part itself. An election takes
/// longer, and sound requests share parts with suspects.
const LOCAL_GRANT_DELAY: Duration = Duration::from_millis(200);
/// Heartbeat intervals after which an endpoint that still counts as running is assumed not to have
/// crashed. Its heartbeats count as stopped after four are missing, and the news takes up to one more
/// interval.
const AMBIGUOUS_TIMEOUT_HEARTBEATS: u32 = 6;
/// Maximum number of unresolved failures; the oldest is dropped beyond that.
const MAX_AMBIGUOUS: usize = 1_024;

/// A failed attempt at an endpoint that may or may not have crashed.
#[derive(Debug)]
struct AmbiguousFailure {
    attempt: FailedAttempt,
    /// Assumed to be no crash after this.
    deadline: Instant,
}

/// Contents that this daemon has asked the leader to clear.
#[derive(Debug)]
struct Clearing {
    contents: Vec<ContentDigest>,
    /// Revision of the leader's records without them, once it has replied.
    cleared_at: Option<u64>,
}

/// Crash records and trials of one daemon.
#[derive(Debug, Default)]
pub(crate) struct SuspectTracker {
    known: SuspectCache,
    local: LocalSuspects,
    /// By operation, until the leader's news include it.
    clearing: BTreeMap<u64, Clearing>,
    spread: CrashSpread,
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
    /// Whether this daemon has a control replica.
    pub(super) is_control: bool,
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
        self.known.is_empty() && self.local.is_empty()
    }

    /// Crashes counted against a content.
    pub(crate) fn crash_counts(&self, content: &ContentDigest) -> CrashCounts {
        self.history().crash_counts(content)
    }

    /// How a request with these contents may be sent.
    pub(crate) fn verdict(&self, contents: &[ContentDigest]) -> Verdict {
        Verdict::of(contents, &self.history())
    }

    fn history(&self) -> MergedHistory<'_> {
        MergedHistory { known: &self.known, local: &self.local }
    }

    pub(super) fn link_up(&mut self, vm: &VmName) {
        self.spread.link_up(vm);
    }

    pub(super) fn link_down(&mut self, vm: &VmName) {
        self.spread.link_down(vm);
    }

    /// Applies changes of the replicated crash records.
    pub(super) fn on_news(&mut self, news: &SuspectNews, out: &mut Outbox) {
        if !self.known.apply(news) {
            return;
        }
        if news.reset {
            // Revisions of other records say nothing about these.
            self.clearing.retain(|_, clearing| clearing.cleared_at.is_none());
        }
        self.drop_cleared();
        let clearing: BTreeSet<ContentDigest> =
            self.clearing.values().flat_map(|clearing| &clearing.contents).copied().collect();
        for change in &news.changes {
            let content = ContentDigest::from_slice(&change.request);
            if !content.is_some_and(|content| clearing.contains(&content)) {
                self.local.on_change(change);
            }
        }
        clearing.iter().for_each(|content| self.known.remove(content));
        self.publish_counts(out);
    }

    /// Drops the clearings that the news include.
    fn drop_cleared(&mut self) {
        let revision = self.known.state().revision;
        self.clearing.retain(|_, clearing| clearing.cleared_at.is_none_or(|at| revision < at));
    }

    /// Counts a crash that another daemon has observed; a control VM passes it on.
    pub(super) fn on_crash_seen(
        &mut self,
        from: &VmName,
        seen: &CrashSeen,
        cx: &Context<'_>,
        out: &mut Outbox,
    ) {
        if self.local.record(&seen.report, cx.now) {
            self.publish_counts(out);
        }
        if cx.is_control && !seen.forwarded {
            self.spread.pass_on(from, &seen.report, out);
        }
    }

    /// Publishes the number of suspects. Each counts once, even if its crash is both reported here and
    /// recorded.
    fn publish_counts(&self, out: &mut Outbox) {
        let suspects = self.known.len() + self.local.count_unknown_to(&self.known);
        let quarantined = self.history().count_quarantined();
        out.push(Output::Suspects { suspects, quarantined });
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
        let detected_ms = if started_at.is_some() { 0 } else { cx.wall.0 };
        let run = CrashedRun {
            endpoint: endpoint.to_string(),
            started_at: started_at.unwrap_or(0),
            detected_ms,
        };
        let report = CrashReport {
            run,
            request: request.to_bytes(),
            in_trial: trial.is_some(),
            parts: attempt.parts.iter().map(ContentDigest::to_bytes).collect(),
            trial_of: attempt.trial_of.map(|content| content.to_bytes()).unwrap_or_default(),
        };
        self.local.record(&report, cx.now);
        let kind = OperationKind::Ended(report.clone());
        let number = cx.operations.start_detached(kind, REPORT_TIMEOUT, cx.leader, cx.now, out);
        let has_leader = cx.leader.is_some();
        self.spread.on_reported(number, report, has_leader, cx.is_control, cx.now, out);
        if let Some(call) = trial {
            self.finishing.insert(number, *call);
        }
        self.publish_counts(out);
    }

    /// Handles the leader's reply that a reported crash is recorded, or contents are cleared, in this
    /// revision of its records.
    pub(super) fn on_recorded(
        &mut self,
        operation: u64,
        revision: u64,
        cx: &Context<'_>,
        out: &mut Outbox,
    ) {
        self.spread.on_recorded(operation);
        if let Some(clearing) = self.clearing.get_mut(&operation) {
            clearing.cleared_at = Some(revision);
            self.drop_cleared();
        }
        if let Some(call) = self.finishing.remove(&operation)
            && !self.finishing.values().any(|other| *other == call)
            && !self.running.contains_key(&call)
        {
            send_trial_over(call, cx.leader, out);
        }
    }

    /// Requests a trial for an attempt of a request with these contents.
    pub(super) fn request_trial(
        &mut self,
        call: CallId,
        contents: Vec<ContentDigest>,
        timeout: Duration,
        cx: &Context<'_>,
        out: &mut Outbox,
    ) {
        let content = match self.verdict(&contents) {
            Verdict::Sound => return out.reply(call, NodeReply::Trial(TrialAnswer::Clear)),
            Verdict::Quarantined { .. } => {
                return out.reply(call, NodeReply::Trial(TrialAnswer::Quarantined));
            }
            Verdict::Trial { content, .. } => content,
        };
        let (local_from, deadline) = (cx.now.after(LOCAL_GRANT_DELAY), cx.now.after(timeout));
        self.send_trial_request(call, content, &contents, false, cx.leader, out);
        self.pending.insert(call, PendingTrial { content, contents, local_from, deadline });
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
            TrialStatus::Granted => self.grant(call, pending, reply.apart),
            TrialStatus::Quarantined => TrialAnswer::Quarantined,
            TrialStatus::Clear => {
                self.forget(&[pending.content], out);
                TrialAnswer::Clear
            }
            TrialStatus::Busy => TrialAnswer::Unavailable,
        };
        out.reply(call, NodeReply::Trial(answer));
    }

    fn grant(&mut self, call: CallId, pending: PendingTrial, isolated: bool) -> TrialAnswer {
        let PendingTrial { content, contents, .. } = pending;
        self.running.insert(call, RunningTrial { content, contents, started: false });
        TrialAnswer::Granted { content, isolated }
    }

    /// Grants trials of prompt parts without a leader, one of each part at a time.
    fn grant_locally(&mut self, cx: &Context<'_>, out: &mut Outbox) {
        let due = self.pending.iter().filter(|(_, pending)| pending.local_from <= cx.now);
        for call in due.map(|(call, _)| *call).collect::<Vec<_>>() {
            let Some(mut pending) = self.pending.remove(&call) else { continue };
            match self.verdict(&pending.contents) {
                Verdict::Quarantined { .. } => {
                    out.reply(call, NodeReply::Trial(TrialAnswer::Quarantined));
                    continue;
                }
                Verdict::Sound => {
                    out.reply(call, NodeReply::Trial(TrialAnswer::Clear));
                    continue;
                }
                Verdict::Trial { content, .. } => pending.content = content,
            }
            let crashes = self.crash_counts(&pending.content);
            let is_part = pending.content.kind() == ContentKind::PromptPart;
            let mut running = self.running.values().filter(|running| !running.started);
            if is_part
                && !crashes.are_many()
                && !running.any(|running| running.content == pending.content)
            {
                let isolated = crashes.needs_isolation();
                let answer = self.grant(call, pending, isolated);
                out.reply(call, NodeReply::Trial(answer));
            } else {
                pending.local_from = cx.now.after(LOCAL_GRANT_DELAY);
                self.pending.insert(call, pending);
            }
        }
    }

    /// Ends a trial, or withdraws one that the leader has not decided on. A complete answer clears the
    /// content.
    pub(super) fn on_trial_over(
        &mut self,
        call: CallId,
        complete: bool,
        cx: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        let was_pending = self.pending.remove(&call).is_some();
        let Some(RunningTrial { content, .. }) = self.running.remove(&call) else {
            if was_pending {
                send_trial_over(call, cx.leader, out);
            }
            return;
        };
        if complete {
            let number = self.clear(vec![content], cx, out);
            self.finishing.insert(number, call);
        } else if !self.finishing.values().any(|other| *other == call) {
            send_trial_over(call, cx.leader, out);
        }
    }

    /// Clears the suspects among contents that an endpoint has answered well.
    pub(super) fn on_sound_contents(
        &mut self,
        contents: &[ContentDigest],
        cx: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        let is_suspect = |content: &&ContentDigest| self.crash_counts(content).is_suspect();
        let suspects: Vec<ContentDigest> = contents.iter().filter(is_suspect).copied().collect();
        if !suspects.is_empty() {
            self.clear(suspects, cx, out);
        }
    }

    /// Clears contents here, and asks the leader to; returns the number of the operation.
    fn clear(
        &mut self,
        contents: Vec<ContentDigest>,
        cx: &mut Context<'_>,
        out: &mut Outbox,
    ) -> u64 {
        self.forget(&contents, out);
        let kind = OperationKind::Clear(ClearRequest::new(&contents));
        let number = cx.operations.start_detached(kind, REPORT_TIMEOUT, cx.leader, cx.now, out);
        self.clearing.insert(number, Clearing { contents, cleared_at: None });
        number
    }

    /// Drops what this daemon knows of cleared contents; the leader's records follow.
    fn forget(&mut self, contents: &[ContentDigest], out: &mut Outbox) {
        contents.iter().for_each(|content| self.known.remove(content));
        self.local.remove(contents);
        self.publish_counts(out);
    }

    /// Lets other trials of the content proceed, since this one has started to answer.
    pub(super) fn on_trial_started(&mut self, call: CallId, cx: &Context<'_>, out: &mut Outbox) {
        if let Some(running) = self.running.get_mut(&call) {
            running.started = true;
            send_trial_over(call, cx.leader, out);
        }
    }

    /// Sends a new leader the pending and running trials.
    pub(super) fn on_leader_change(&mut self, leader: Option<&VmName>, out: &mut Outbox) {
        for (call, running) in self.running.iter().filter(|(_, running)| !running.started) {
            let RunningTrial { content, contents, .. } = running;
            self.send_trial_request(*call, *content, contents, true, leader, out);
        }
        for (call, pending) in &self.pending {
            let PendingTrial { content, contents, .. } = pending;
            self.send_trial_request(*call, *content, contents, false, leader, out);
        }
    }

    pub(super) fn next_tick(&self) -> Option<Instant> {
        let pending = self.pending.values().map(|pending| pending.deadline.min(pending.local_from));
        let ambiguous = self.ambiguous.iter().map(|failure| failure.deadline);
        let others = [self.spread.next_tick(), self.local.next_expiry()];
        pending.chain(ambiguous).chain(others.into_iter().flatten()).min()
    }

    pub(super) fn tick(&mut self, cx: &mut Context<'_>, out: &mut Outbox) {
        self.resolve_ambiguous(cx, out);
        let now = cx.now;
        if self.local.expire(now) {
            self.publish_counts(out);
        }
        self.spread.tick(cx.is_control, now, out);
        // After so long without a leader, no leader has state of this daemon's trials.
        self.finishing.retain(|number, _| cx.operations.is_pending(*number));
        self.clearing.retain(|number, clearing| {
            clearing.cleared_at.is_some() || cx.operations.is_pending(*number)
        });
        let overdue = self.pending.iter().filter(|(_, pending)| pending.deadline <= now);
        for call in overdue.map(|(call, _)| *call).collect::<Vec<_>>() {
            self.pending.remove(&call);
            send_trial_over(call, cx.leader, out);
            out.reply(call, NodeReply::Trial(TrialAnswer::Unavailable));
        }
        if cx.leader.is_none() {
            self.grant_locally(cx, out);
        }
        for pending in self.pending.values_mut().filter(|pending| pending.local_from <= now) {
            pending.local_from = now.after(LOCAL_GRANT_DELAY);
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
        content: ContentDigest,
        contents: &[ContentDigest],
        is_running: bool,
        leader: Option<&VmName>,
        out: &mut Outbox,
    ) {
        let Some(leader) = leader else { return };
        let CrashCounts { total: ended, .. } = self.crash_counts(&content);
        let ask = TrialAsk {
            number: call.0,
            request: content.to_bytes(),
            ended,
            runs: is_running,
            contents: contents.iter().map(ContentDigest::to_bytes).collect(),
        };
        out.send(leader, Body::TrialAsk(ask));
    }
}

/// Tells the leader that a trial neither waits nor runs any more. If the message is lost, the leader
/// learns it from the loss of the link, or a new leader from the trials that this daemon resends.
fn send_trial_over(call: CallId, leader: Option<&VmName>, out: &mut Outbox) {
    if let Some(leader) = leader {
        out.send(leader, Body::TrialOver(TrialOver { number: call.0 }));
    }
}
