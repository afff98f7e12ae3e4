//! Suspects on the leader: replicates them to daemons and permits one trial of each at a time.

use super::ControlReplica;
use crate::{
    agreement::Role,
    node::{Clocks, Outbox, Output, VmName, news_batch},
    quarantine::{
        AttemptId, ContentDigest, CrashCounts, SuspectUpdate, Trial, TrialDecision, TrialQueue,
    },
    state::{AgeSuspects, Command, command},
    units::Instant,
    wire::{Body, SuspectNews, SuspectsReply, TrialAsk, TrialOver, TrialReply, TrialStatus},
};

/// Trials and pending announcements of suspects; not replicated, lost when the leader changes.
#[derive(Debug)]
pub(super) struct SuspectCoordinator {
    trials: TrialQueue,
    /// When changes are next sent to daemons, if there are any.
    next_broadcast: Option<Instant>,
    last_broadcast: Instant,
    /// When waiting trials are next reconsidered; a new leader first collects the trials in progress.
    next_decision: Option<Instant>,
}

impl SuspectCoordinator {
    pub(super) fn new(now: Instant) -> SuspectCoordinator {
        SuspectCoordinator {
            trials: TrialQueue::new(now),
            next_broadcast: None,
            last_broadcast: Instant::default(),
            next_decision: None,
        }
    }

    pub(super) fn next_tick(&self) -> Option<Instant> {
        self.next_broadcast.into_iter().chain(self.next_decision).min()
    }
}

impl ControlReplica {
    /// The changes of suspects that a daemon does not have yet.
    pub(super) fn suspect_news_for(&self, vm: &VmName) -> Option<SuspectNews> {
        let copy = self.daemons.get(vm)?.suspects;
        let news = self.state.suspects().changes_since(copy);
        let is_news = news.reset || copy.revision < news.up_to || copy.initializing;
        is_news.then_some(news)
    }

    /// Schedules an announcement to the daemons. Changes in quick succession are sent together, since
    /// every daemon with a request at a failed endpoint reports it.
    pub(super) fn on_suspects_changed(
        &mut self,
        change: &SuspectUpdate,
        now: Instant,
        out: &mut Outbox,
    ) {
        if self.leads() {
            for suspect in &change.changed {
                out.push(Output::Suspect(suspect.clone()));
            }
            let pause =
                news_batch::scaled(news_batch::SEND_INTERVAL_PER_MESSAGE, self.daemons.len());
            let due = now.max(self.suspect_coordinator.last_broadcast.after(pause));
            self.suspect_coordinator.next_broadcast.get_or_insert(due);
            self.tick_suspects(now, out);
            self.decide_trials(now, out);
        }
    }

    /// Sends due changes to the daemons and reconsiders waiting trials.
    pub(super) fn tick_suspects(&mut self, now: Instant, out: &mut Outbox) {
        if self.suspect_coordinator.next_decision.take_if(|at| *at <= now).is_some() {
            self.decide_trials(now, out);
        }
        if self.suspect_coordinator.next_broadcast.take_if(|at| *at <= now).is_none() {
            return;
        }
        self.suspect_coordinator.last_broadcast = now;
        for (vm, daemon) in self.daemons.iter_mut() {
            let news = self.state.suspects().changes_since(daemon.suspects);
            if news.reset || daemon.suspects.revision < news.up_to {
                // If the message is lost, the next poll reply repeats the change.
                daemon.suspects.revision = news.up_to;
                out.send(vm, Body::Suspects(news));
            }
        }
    }

    /// Proposes an ageing step for the suspects when one is due.
    pub(super) fn age_suspects(&mut self, clocks: Clocks) {
        if self.replica.role() != Role::Leader {
            return;
        }
        let due = self.state.suspects().next_expiry();
        if due.is_some_and(|due| due <= clocks.wall) {
            let payload = Command::payload(command::Kind::Age(AgeSuspects {}));
            // If rejected, it is proposed again at the next housekeeping.
            let _ = self.replica.propose(payload, clocks.wall, clocks.now);
        }
    }

    /// Queues a trial, or records one that started under a previous leader.
    pub(super) fn on_trial_ask(
        &mut self,
        from: &VmName,
        ask: &TrialAsk,
        now: Instant,
        out: &mut Outbox,
    ) {
        if !self.leads() {
            return self.reply_not_leader(from, None, out);
        }
        let Some(content) = ContentDigest::from_slice(&ask.request) else { return };
        let attempt = AttemptId { vm: from.clone(), number: ask.number };
        if ask.runs {
            return self.suspect_coordinator.trials.adopt(content, attempt);
        }
        let crashes = CrashCounts { total: ask.ended, in_trials: 0 };
        let mut contents: Vec<ContentDigest> =
            ask.contents.iter().filter_map(|bytes| ContentDigest::from_slice(bytes)).collect();
        if contents.is_empty() {
            contents.push(content);
        }
        let trial = Trial { attempt: attempt.clone(), contents, crashes };
        if let Some(decision) = self.suspect_coordinator.trials.request(content, trial) {
            return send_decision(attempt, decision, out);
        }
        self.decide_trials(now, out);
    }

    pub(super) fn on_trial_over(
        &mut self,
        from: &VmName,
        over: TrialOver,
        now: Instant,
        out: &mut Outbox,
    ) {
        self.suspect_coordinator
            .trials
            .finish(&AttemptId { vm: from.clone(), number: over.number });
        self.decide_trials(now, out);
    }

    /// Releases the trials of a daemon whose link is down.
    pub(super) fn release_trials(&mut self, vm: &VmName, now: Instant, out: &mut Outbox) {
        self.suspect_coordinator.trials.remove_daemon(vm);
        self.decide_trials(now, out);
    }

    fn decide_trials(&mut self, now: Instant, out: &mut Outbox) {
        if !self.leads() {
            return;
        }
        for (attempt, decision) in
            self.suspect_coordinator.trials.decide(self.state.suspects(), now)
        {
            send_decision(attempt, decision, out);
        }
        self.suspect_coordinator.next_decision = self.suspect_coordinator.trials.next_decision(now);
    }
}

fn send_decision(attempt: AttemptId, decision: TrialDecision, out: &mut Outbox) {
    let (status, isolated) = match decision {
        TrialDecision::Granted { isolated } => (TrialStatus::Granted, isolated),
        TrialDecision::Quarantined => (TrialStatus::Quarantined, false),
        TrialDecision::Cleared => (TrialStatus::Clear, false),
        TrialDecision::Busy => (TrialStatus::Busy, false),
    };
    let reply = TrialReply { number: attempt.number, status: status.into(), apart: isolated };
    out.send(&attempt.vm, Body::TrialReply(reply));
}

pub(super) fn encode_suspects_reply(change: &SuspectUpdate) -> SuspectsReply {
    SuspectsReply { number: change.revision, changed: !change.changed.is_empty() }
}
