//! The configuration in force on this daemon and the data halls that are out of service, and whether
//! they are current.
//!
//! The daemon polls the leader. The leader answers only after a quorum has
//! confirmed that it still leads, so an answer was true at some moment after the
//! poll was sent, by no clock but the daemon's own. A daemon without a
//! configuration takes none that is older than what such an answer told it first,
//! so a restart cannot bring an older one back. What a version holds is fetched from
//! any control VM, and known by its hash.

mod polls;

use std::{sync::Arc, time::Duration};

use self::polls::SentPoll;
use super::{
    CallId, NodeOptions, NodeTiming, Outbox, Output, VersionHash, VmName,
    config_store::{ActiveConfig, ConfigSources, ConfigStore},
    reads::{Confirmed, PendingReads, ReadTarget},
};
use crate::{
    config::ContentHash,
    quarantine::{SuspectCache, SuspectCacheState},
    state::{HallsOut, State},
    units::Instant,
    wire::{Piece, PollReply, Update},
};

/// A poll that is not answered in this many intervals goes to another replica.
const PATIENCE: u32 = 2;
/// Half intervals without an answer after which requests are placed without the scheduler: one poll
/// that was not answered within half an interval. A retransmission on a link that loses packets may
/// take as long; the few requests that come meanwhile are then placed alone. Three intervals kept
/// requests waiting for up to 0.7 s for a leader that had lost power.
const SILENT_HALVES: u32 = 3;

/// The scheduler that this daemon's requests go to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RemoteScheduler {
    /// VM of the leader.
    pub(crate) vm: VmName,
    /// Term of the leader.
    pub(crate) term: u64,
    /// Number of daemons that share the endpoints.
    pub(crate) daemons: u64,
    /// Those that callers are sent to.
    pub(crate) entries: EntryDaemons,
}

/// Daemons that callers are sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EntryDaemons {
    /// Those that go on.
    pub accepting: u64,
    /// Those that stop, while callers are still sent to them.
    pub stopping: u64,
}

/// What the leader has answered last, and when it was asked.
#[derive(Debug, Clone, Copy)]
struct Vouched {
    current: VersionHash,
    asked: Instant,
}

/// Keeps the configuration in force.
pub(crate) struct ControlClient {
    sources: ConfigSources,
    reads: PendingReads,
    timing: NodeTiming,
    config_store: ConfigStore,
    changed: bool,
    halls: HallsOut,
    /// Halls that were given back since somebody last asked, if any order has come since.
    halls_back: Option<Vec<String>>,
    vouched: Option<Vouched>,
    leader: Option<RemoteScheduler>,
    leader_changed: bool,
    /// A hint of who leads, from a replica that does not.
    hint: Option<VmName>,
    /// The replica to poll when nothing better is known.
    next_replica: usize,
    nonce: u64,
    polls: Vec<SentPoll>,
    next_poll: Instant,
    /// When time last passed here.
    ticked: Instant,
    last_reply: Instant,
    /// The configuration was current at this time; zero means never confirmed.
    confirmed: Option<Instant>,
    fresh: bool,
    reported_confirmed: Option<Instant>,
    takes_callers: bool,
    stopping: bool,
    /// What is known here of suspects, for polls.
    suspects: SuspectCacheState,
}

impl ControlClient {
    pub(crate) fn new(options: &NodeOptions, now: Instant) -> ControlClient {
        ControlClient {
            sources: ConfigSources::new(&options.vm, &options.seeds),
            reads: PendingReads::default(),
            timing: options.timing,
            config_store: ConfigStore::new(now),
            changed: false,
            halls: HallsOut::default(),
            halls_back: None,
            vouched: None,
            leader: None,
            leader_changed: false,
            hint: None,
            next_replica: options.seed as usize,
            nonce: options.seed,
            polls: Vec::new(),
            next_poll: now,
            ticked: now,
            last_reply: now,
            confirmed: None,
            fresh: false,
            takes_callers: options.takes_callers,
            stopping: false,
            reported_confirmed: None,
            suspects: SuspectCache::default().state(),
        }
    }

    pub(crate) fn active_config(&self) -> Option<&Arc<ActiveConfig>> {
        self.config_store.active_config()
    }

    pub(crate) fn is_fresh(&self) -> bool {
        self.fresh
    }

    /// The configuration, if it changed since the last call.
    pub(crate) fn take_config_change(&mut self) -> Option<Arc<ActiveConfig>> {
        std::mem::take(&mut self.changed).then(|| self.active_config().cloned()).flatten()
    }

    /// The data halls that are out of service.
    pub(crate) fn halls_out(&self) -> &HallsOut {
        &self.halls
    }

    /// The halls that were given back since the last call, if other halls are out since then.
    pub(crate) fn take_restored_halls(&mut self) -> Option<Vec<String>> {
        self.halls_back.take()
    }

    /// Takes word of the data halls that are out of service. What an older order came to is nothing
    /// new.
    pub(crate) fn update_halls_out(&mut self, halls: &HallsOut, out: &mut Outbox) {
        if self.halls.number < halls.number {
            let before = std::mem::replace(&mut self.halls, halls.clone());
            let back = before.names.into_iter().filter(|name| !halls.contains(name));
            self.halls_back.get_or_insert_default().extend(back);
            out.push(Output::HallsOut(halls.clone()));
        }
    }

    /// The leader, if it changed since the last call.
    pub(crate) fn take_leader_change(&mut self) -> Option<Option<VmName>> {
        let leader = || self.leader.as_ref().map(|leader| leader.vm.clone());
        std::mem::take(&mut self.leader_changed).then(leader)
    }

    /// VM of the leader, as far as known.
    pub(crate) fn leader(&self) -> Option<&VmName> {
        self.leader.as_ref().map(|leader| &leader.vm)
    }

    /// The scheduler, unless it has been silent for too long.
    pub(crate) fn scheduler(&self, now: Instant) -> Option<&RemoteScheduler> {
        self.leader.as_ref().filter(|_| now < self.scheduler_is_silent_at())
    }

    /// When the scheduler will have been silent for too long.
    fn scheduler_is_silent_at(&self) -> Instant {
        self.last_reply.after(self.timing.poll / 2 * SILENT_HALVES)
    }

    pub(crate) fn next_tick(&self) -> Instant {
        let silent = self.scheduler(self.ticked).map(|_| self.scheduler_is_silent_at());
        let next = self.config_store.next_tick().into_iter().chain(silent).min();
        next.map_or(self.next_poll, |at| at.min(self.next_poll))
    }

    /// From now on what is accepted comes from this VM's own control replica.
    pub(crate) fn use_local_replica(&mut self) {
        self.config_store.use_local_replica();
    }

    /// Takes the control VMs that are known now.
    pub(crate) fn set_replicas(&mut self, replicas: &[VmName]) {
        if self.sources.replicas != replicas {
            self.sources.replicas = replicas.to_vec();
        }
    }

    /// Answers once a poll that was sent after now confirms what is asked for.
    pub(crate) fn read(
        &mut self,
        call: CallId,
        wanted: ReadTarget,
        deadline: Instant,
        now: Instant,
        out: &mut Outbox,
    ) {
        self.reads.ask(call, wanted, deadline, now);
        self.next_poll = self.next_poll.min(deadline);
        if let Some(target) = self.poll_target() {
            self.poll(target, now, out);
        }
    }

    fn answer_reads(&mut self, now: Instant, out: &mut Outbox) {
        let config = Confirmed { what: self.config_store.active_config(), as_of: self.confirmed };
        let halls_as_of = self.vouched.map(|vouched| vouched.asked);
        let halls = Confirmed { what: &self.halls, as_of: halls_as_of };
        self.reads.answer(config, halls, now, out);
    }

    pub(crate) fn link_up(&mut self, vm: &VmName, now: Instant, out: &mut Outbox) {
        self.sources.links.insert(vm.clone());
        if self.leader.is_none() && self.sources.replicas.contains(vm) {
            self.poll(vm.clone(), now, out);
        }
        self.config_store.fetch_if_missing(&self.sources, now, out);
    }

    pub(crate) fn link_down(&mut self, vm: &VmName, now: Instant, out: &mut Outbox) {
        self.sources.links.remove(vm);
        self.config_store.on_source_lost(vm, &self.sources, now, out);
        if self.leader().is_some_and(|leader| leader == vm) {
            self.set_leader(None);
        }
    }

    pub(crate) fn tick(&mut self, now: Instant, out: &mut Outbox) {
        self.ticked = now;
        self.judge_freshness(now, out);
        self.answer_reads(now, out);
        self.config_store.tick(&self.sources, now, out);
        if now < self.next_poll {
            return;
        }
        let next = now.after(self.timing.poll);
        self.next_poll = self.reads.next_deadline().map_or(next, |at| at.min(next));
        let silent = now.since(self.last_reply);
        if self.timing.poll * PATIENCE < silent {
            self.set_leader(None);
        }
        if let Some(target) = self.poll_target() {
            self.poll(target, now, out);
        }
    }

    pub(crate) fn not_leader(&mut self, from: &VmName, leader: Option<&str>, now: Instant) {
        if self.leader().is_some_and(|known| known == from) {
            self.set_leader(None);
        }
        if self.leader.is_none() {
            self.hint = leader.map(VmName::from);
            // Looks for the leader again at the next tick if there is a hint, else soon.
            let pause = if self.hint.is_some() { Duration::ZERO } else { self.timing.poll / 5 };
            self.next_poll = self.next_poll.min(now.after(pause));
        }
    }

    pub(crate) fn poll_reply(
        &mut self,
        from: &VmName,
        reply: PollReply,
        now: Instant,
        out: &mut Outbox,
    ) {
        let Some(at) = self.polls.iter().position(|poll| poll.nonce == reply.nonce) else { return };
        let sent = self.polls[at].at;
        self.polls.drain(..=at);
        self.last_reply = now;
        let leader = RemoteScheduler {
            vm: from.clone(),
            term: reply.term,
            daemons: reply.daemons.max(1),
            entries: EntryDaemons { accepting: reply.taking, stopping: reply.stopping },
        };
        self.set_leader(Some(leader));
        let hash = ContentHash::from_slice(&reply.hash).unwrap_or_default();
        let current = VersionHash { version: reply.version, hash };
        self.vouched = Some(Vouched { current, asked: sent });
        self.update_halls_out(&reply.halls.unwrap_or_default(), out);
        self.config_store.on_version_confirmed(current.version);
        self.config_store.fetch_if_missing(&self.sources, now, out);
        self.confirm(now, out);
    }

    /// Takes the word of a leader that a version was accepted.
    pub(crate) fn update(&mut self, from: &VmName, update: Update, now: Instant, out: &mut Outbox) {
        if self.config_store.update(update, &self.sources, now, out) {
            self.came_into_force(Some(from), now, out);
        }
    }

    /// Takes a piece of the change that is being fetched.
    pub(crate) fn piece(&mut self, piece: Piece, now: Instant, out: &mut Outbox) {
        if self.config_store.piece(piece, &self.sources, now, out) {
            self.came_into_force(None, now, out);
        }
    }

    /// Takes what this VM's own control replica knows to be accepted.
    pub(crate) fn load_accepted(&mut self, state: &State, now: Instant, out: &mut Outbox) {
        self.update_halls_out(state.halls_out(), out);
        if self.config_store.load_accepted(state, out) {
            self.came_into_force(None, now, out);
        }
    }

    /// Tells the leader at once what is in force here.
    fn came_into_force(&mut self, told_by: Option<&VmName>, now: Instant, out: &mut Outbox) {
        self.changed = true;
        if let Some(leader) = told_by.or(self.leader()).cloned() {
            self.poll(leader, now, out);
        }
        self.confirm(now, out);
    }

    /// What the leader has vouched for holds for the configuration in force once it is that one.
    fn confirm(&mut self, now: Instant, out: &mut Outbox) {
        let in_force = self.config_store.version_hash();
        if let Some(Vouched { current, asked }) = self.vouched
            && in_force == current
            && 0 < current.version
        {
            self.confirmed = Some(self.confirmed.map_or(asked, |at| at.max(asked)));
        }
        self.answer_reads(now, out);
        self.judge_freshness(now, out);
    }

    fn judge_freshness(&mut self, now: Instant, out: &mut Outbox) {
        let age = self.confirmed.map(|at| now.since(at));
        let fresh = age.is_some_and(|age| age < self.timing.stale_after);
        if self.confirmed != self.reported_confirmed || fresh != self.fresh {
            self.fresh = fresh;
            self.reported_confirmed = self.confirmed;
            let daemons = self.leader.as_ref().map_or(0, |leader| leader.daemons);
            let entries =
                self.leader.as_ref().map_or(EntryDaemons::default(), |leader| leader.entries);
            out.push(Output::ConfigFreshness {
                fresh,
                confirmed: self.confirmed,
                daemons,
                entries,
            });
        }
    }

    fn set_leader(&mut self, leader: Option<RemoteScheduler>) {
        let name =
            |leader: &Option<RemoteScheduler>| leader.as_ref().map(|l| (l.vm.clone(), l.term));
        self.leader_changed |= name(&self.leader) != name(&leader);
        self.leader = leader;
    }
}
