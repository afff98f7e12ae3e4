//! What the leader does about suspects: tells daemons of them, and lets one try of each run at a time.

use super::ControlReplica;
use crate::{
    agreement::Role,
    node::{Clocks, Outbox, Output, VmName, news_batch},
    quarantine::{Asker, Change, Permission, RequestDigest, Standing, Trials},
    state::{AgeSuspects, Command, command},
    units::Instant,
    wire::{Body, SuspectNews, SuspectsReply, TrialAsk, TrialOver, TrialReply, TrialStatus},
};

/// The leader's soft state about suspects.
#[derive(Debug)]
pub(super) struct Suspects {
    trials: Trials,
    /// When daemons are next told what has changed, if anything has.
    tell: Option<Instant>,
    /// When they were last told.
    told: Instant,
    /// When tries that wait are next looked at, while the leader only listens.
    decide: Option<Instant>,
}

impl Suspects {
    pub(super) fn new(now: Instant) -> Suspects {
        Suspects { trials: Trials::new(now), tell: None, told: Instant::default(), decide: None }
    }

    pub(super) fn next_tick(&self) -> Option<Instant> {
        self.tell.into_iter().chain(self.decide).min()
    }
}

impl ControlReplica {
    /// What a daemon lacks of the suspects.
    pub(super) fn suspects_news_for(&self, vm: &VmName) -> Option<SuspectNews> {
        let copy = self.daemons.get(vm)?.suspects;
        let news = self.state.suspects().news(copy);
        let is_news = news.reset || copy.known < news.up_to || copy.filling;
        is_news.then_some(news)
    }

    /// Daemons are told of a change at once, but of many changes together: an endpoint's end is told by
    /// each daemon that had a request there, and a data hall's by all.
    pub(super) fn suspects_changed(&mut self, change: &Change, now: Instant, out: &mut Outbox) {
        if self.leads() {
            if let Some(suspect) = &change.changed {
                out.push(Output::Suspect(suspect.clone()));
            }
            let pause =
                news_batch::scaled(news_batch::SEND_INTERVAL_PER_DAEMON, self.daemons.len());
            let due = now.max(self.suspects.told.after(pause));
            self.suspects.tell.get_or_insert(due);
            self.tick_suspects(now, out);
            self.decide_trials(now, out);
        }
    }

    /// Tells daemons what has changed, if it is time.
    pub(super) fn tick_suspects(&mut self, now: Instant, out: &mut Outbox) {
        if self.suspects.decide.take_if(|at| *at <= now).is_some() {
            self.decide_trials(now, out);
        }
        if self.suspects.tell.take_if(|at| *at <= now).is_none() {
            return;
        }
        self.suspects.told = now;
        for (vm, daemon) in &mut self.daemons {
            let news = self.state.suspects().news(daemon.suspects);
            if news.reset || daemon.suspects.known < news.up_to {
                // One that does not arrive is told again with the answer to the next poll.
                daemon.suspects.known = news.up_to;
                out.send(vm, Body::Suspects(news));
            }
        }
    }

    /// Lets what is known of suspects age once that changes anything.
    pub(super) fn age_suspects(&mut self, clocks: Clocks) {
        if self.replica.role() != Role::Leader {
            return;
        }
        let due = self.state.suspects().next_ageing();
        if due.is_some_and(|due| due <= clocks.wall) {
            let payload = Command::payload(command::Kind::Age(AgeSuspects {}));
            // One that is refused now is proposed again at the next housekeeping.
            let _ = self.replica.propose(payload, clocks.wall, clocks.now);
        }
    }

    pub(super) fn trial_ask(
        &mut self,
        from: &VmName,
        ask: &TrialAsk,
        now: Instant,
        out: &mut Outbox,
    ) {
        if !self.leads() {
            return self.not_leader(from, None, out);
        }
        let Some(request) = RequestDigest::from_slice(&ask.request) else { return };
        let asker = Asker { vm: from.clone(), number: ask.number };
        if ask.runs {
            return self.suspects.trials.adopt(request, asker);
        }
        let standing = Standing { ended: ask.ended, in_trials: 0 };
        if let Some(refused) = self.suspects.trials.ask(request, asker.clone(), standing) {
            return tell(asker, refused, out);
        }
        self.decide_trials(now, out);
    }

    pub(super) fn trial_over(
        &mut self,
        from: &VmName,
        over: TrialOver,
        now: Instant,
        out: &mut Outbox,
    ) {
        self.suspects.trials.over(&Asker { vm: from.clone(), number: over.number });
        self.decide_trials(now, out);
    }

    pub(super) fn forget_trials(&mut self, vm: &VmName, now: Instant, out: &mut Outbox) {
        self.suspects.trials.forget(vm);
        self.decide_trials(now, out);
    }

    fn decide_trials(&mut self, now: Instant, out: &mut Outbox) {
        if !self.leads() {
            return;
        }
        for (asker, permission) in self.suspects.trials.decide(self.state.suspects(), now) {
            tell(asker, permission, out);
        }
        self.suspects.decide = self.suspects.trials.next_decision(now);
    }
}

fn tell(asker: Asker, permission: Permission, out: &mut Outbox) {
    let (status, apart) = match permission {
        Permission::Granted { apart } => (TrialStatus::Granted, apart),
        Permission::Quarantined => (TrialStatus::Quarantined, false),
        Permission::Clear => (TrialStatus::Clear, false),
        Permission::Busy => (TrialStatus::Busy, false),
    };
    let reply = TrialReply { number: asker.number, status: status.into(), apart };
    out.send(&asker.vm, Body::TrialReply(reply));
}

pub(super) fn suspects_reply(change: &Change) -> SuspectsReply {
    SuspectsReply { number: change.number, changed: change.changed.is_some() }
}
