//! A daemon's client of the control replicas: tracks the leader, the active configuration and the data
//! halls that are out of service, and whether they are current.
//!
//! The daemon polls the leader, which replies once a quorum has confirmed that it still leads. A reply
//! was therefore true at some time after the poll was sent, by the daemon's own clock. After a restart,
//! a daemon activates no version older than the first one confirmed this way. Contents are fetched from
//! any control VM and verified by their hash.

mod confirmations;
mod polls;
#[cfg(test)]
mod tests;

use std::{sync::Arc, time::Duration};

use self::{confirmations::Confirmations, polls::SentPoll};
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

/// Poll intervals without a reply after which another replica is polled.
const POLL_TIMEOUT_INTERVALS: u32 = 2;
/// Half poll intervals without a reply after which requests are placed without the scheduler. Three
/// means that one poll went unanswered for half an interval. A retransmission on a lossy link may
/// take as long; the few requests that come meanwhile are then placed locally. Three whole
/// intervals kept requests waiting for up to 0.7 s for a leader that had lost power.
const SCHEDULER_TIMEOUT_HALF_INTERVALS: u32 = 3;

/// Longest time between two ticks of a daemon that runs. By as much as one comes later it was held up.
const LONGEST_TICK: Duration = Duration::from_millis(200);

/// The leader's scheduler, which places this daemon's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RemoteScheduler {
    /// VM of the leader.
    pub(crate) vm: VmName,
    /// Term of the leader.
    pub(crate) term: u64,
    /// Number of daemons that share the endpoints.
    pub(crate) daemons: u64,
    /// Number of daemons that receive callers.
    pub(crate) entries: EntryDaemons,
}

/// Number of daemons that load balancers send callers to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EntryDaemons {
    /// Daemons that accept callers.
    pub accepting: u64,
    /// Stopping daemons that still receive callers.
    pub stopping: u64,
}

/// Some daemons that take requests which this one cannot send to their endpoints itself.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Forwarders {
    /// In this daemon's data hall.
    pub near: Vec<VmName>,
    /// In other data halls.
    pub far: Vec<VmName>,
}

/// A daemon's client of the control replicas.
pub(crate) struct ControlClient {
    sources: ConfigSources,
    reads: PendingReads,
    timing: NodeTiming,
    config_store: ConfigStore,
    config_changed: bool,
    halls_out: HallsOut,
    /// Halls returned to service since the last [`ControlClient::take_restored_halls`], if there was a
    /// change.
    restored_halls: Option<Vec<String>>,
    confirmations: Confirmations,
    /// When the poll was sent that the leader answered last.
    answered_poll_sent_at: Option<Instant>,
    /// Number of daemons in the last reply.
    daemons: u64,
    leader: Option<RemoteScheduler>,
    leader_changed: bool,
    /// Leader according to a replica that does not lead.
    leader_hint: Option<VmName>,
    /// Index of the replica to poll while no leader is known.
    next_replica: usize,
    nonce: u64,
    polls: Vec<SentPoll>,
    next_poll: Instant,
    last_tick: Instant,
    last_reply: Instant,
    fresh: bool,
    /// The confirmation time in the last [`Output::ConfigFreshness`].
    reported_confirmed: Option<Instant>,
    hall: String,
    takes_callers: bool,
    stopping: bool,
    accepts_forwarded: bool,
    /// Daemons that take forwarded requests, as last reported.
    forwarders: Forwarders,
    /// How current this daemon's suspect cache is; sent with polls.
    suspects_state: SuspectCacheState,
}

impl ControlClient {
    pub(crate) fn new(options: &NodeOptions, now: Instant) -> ControlClient {
        ControlClient {
            sources: ConfigSources::new(&options.vm, &options.seeds),
            reads: PendingReads::default(),
            timing: options.timing,
            config_store: ConfigStore::new(now),
            config_changed: false,
            halls_out: HallsOut::default(),
            restored_halls: None,
            confirmations: Confirmations::new(options.timing.stale_after),
            answered_poll_sent_at: None,
            daemons: 0,
            leader: None,
            leader_changed: false,
            leader_hint: None,
            next_replica: options.seed as usize,
            nonce: options.seed,
            polls: Vec::new(),
            next_poll: now,
            last_tick: now,
            last_reply: now,
            fresh: false,
            hall: options.hall.clone(),
            takes_callers: options.takes_callers,
            stopping: false,
            accepts_forwarded: false,
            forwarders: Forwarders::default(),
            reported_confirmed: None,
            suspects_state: SuspectCache::default().state(),
        }
    }

    pub(crate) fn active_config(&self) -> Option<&Arc<ActiveConfig>> {
        self.config_store.active_config()
    }

    pub(crate) fn is_fresh(&self) -> bool {
        self.fresh
    }

    /// The active configuration if it changed since the last call.
    pub(crate) fn take_config_change(&mut self) -> Option<Arc<ActiveConfig>> {
        std::mem::take(&mut self.config_changed).then(|| self.active_config().cloned()).flatten()
    }

    /// The data halls that are out of service.
    pub(crate) fn halls_out(&self) -> &HallsOut {
        &self.halls_out
    }

    /// The halls returned to service since the last call, if the halls out of service changed.
    pub(crate) fn take_restored_halls(&mut self) -> Option<Vec<String>> {
        self.restored_halls.take()
    }

    /// Updates the data halls that are out of service unless the message is outdated.
    pub(crate) fn update_halls_out(&mut self, halls: &HallsOut, out: &mut Outbox) {
        if self.halls_out.number < halls.number {
            let before = std::mem::replace(&mut self.halls_out, halls.clone());
            let back = before.names.into_iter().filter(|name| !halls.contains(name));
            self.restored_halls.get_or_insert_default().extend(back);
            out.push(Output::HallsOut(halls.clone()));
        }
    }

    /// The leader, if it changed since the last call.
    pub(crate) fn take_leader_change(&mut self) -> Option<Option<VmName>> {
        let leader = || self.leader.as_ref().map(|leader| leader.vm.clone());
        std::mem::take(&mut self.leader_changed).then(leader)
    }

    /// VM of the leader, if known.
    pub(crate) fn leader(&self) -> Option<&VmName> {
        self.leader.as_ref().map(|leader| &leader.vm)
    }

    /// Number of daemons according to the last leader; zero if none has answered yet.
    pub(crate) fn daemons(&self) -> u64 {
        self.daemons
    }

    /// The leader's scheduler, unless its replies have timed out.
    pub(crate) fn scheduler(&self, now: Instant) -> Option<&RemoteScheduler> {
        self.leader.as_ref().filter(|_| now < self.scheduler_timeout_at())
    }

    /// When the scheduler times out unless the leader replies.
    fn scheduler_timeout_at(&self) -> Instant {
        self.last_reply.after(self.timing.poll / 2 * SCHEDULER_TIMEOUT_HALF_INTERVALS)
    }

    pub(crate) fn next_tick(&self) -> Instant {
        let silent = self.scheduler(self.last_tick).map(|_| self.scheduler_timeout_at());
        let next = self.config_store.next_tick().into_iter().chain(silent).min();
        next.map_or(self.tick_due(), |at| at.min(self.tick_due()))
    }

    /// When this daemon ticks at the latest unless it is held up.
    fn tick_due(&self) -> Instant {
        self.next_poll.min(self.last_tick.after(LONGEST_TICK))
    }

    /// From now on, accepted configurations come from the control replica on this VM.
    pub(crate) fn use_local_replica(&mut self) {
        self.config_store.use_local_replica();
    }

    /// Updates the known control VMs.
    pub(crate) fn set_replicas(&mut self, replicas: &[VmName]) {
        if self.sources.replicas != replicas {
            self.sources.replicas = replicas.to_vec();
        }
    }

    /// Replies to `call` with a value that was confirmed by a poll sent from now on.
    pub(crate) fn read(
        &mut self,
        call: CallId,
        wanted: ReadTarget,
        deadline: Instant,
        now: Instant,
        out: &mut Outbox,
    ) {
        self.reads.add(call, wanted, deadline, now);
        self.next_poll = self.next_poll.min(deadline);
        if let Some(target) = self.poll_target() {
            self.send_poll(target, now, out);
        }
    }

    fn answer_reads(&mut self, now: Instant, out: &mut Outbox) {
        let as_of = self.confirmations.as_of();
        let config = Confirmed { value: self.config_store.active_config(), as_of };
        let halls = Confirmed { value: &self.halls_out, as_of: self.answered_poll_sent_at };
        self.reads.answer(config, halls, now, out);
    }

    pub(crate) fn link_up(&mut self, vm: &VmName, now: Instant, out: &mut Outbox) {
        self.sources.links.insert(vm.clone());
        if self.leader.is_none() && self.sources.replicas.contains(vm) {
            self.send_poll(vm.clone(), now, out);
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
        // Time in which this daemon did not run is no silence of the leader.
        let held_up = now.since(self.tick_due());
        self.last_reply = self.last_reply.after(held_up).min(now);
        self.config_store.on_held_up(held_up, now);
        self.last_tick = now;
        self.update_freshness(now, out);
        self.answer_reads(now, out);
        self.config_store.tick(&self.sources, now, out);
        if now < self.next_poll {
            return;
        }
        let next = now.after(self.timing.poll);
        self.next_poll = self.reads.next_deadline().map_or(next, |at| at.min(next));
        let silent = now.since(self.last_reply);
        if self.timing.poll * POLL_TIMEOUT_INTERVALS < silent {
            self.set_leader(None);
        }
        if let Some(target) = self.poll_target() {
            self.send_poll(target, now, out);
        }
    }

    pub(crate) fn on_not_leader(&mut self, from: &VmName, leader: Option<&str>, now: Instant) {
        if self.leader().is_some_and(|known| known == from) {
            self.set_leader(None);
        }
        if self.leader.is_none() {
            self.leader_hint = leader.map(VmName::from);
            // Polls the hinted leader at the next tick, or another replica soon.
            let pause =
                if self.leader_hint.is_some() { Duration::ZERO } else { self.timing.poll / 5 };
            self.next_poll = self.next_poll.min(now.after(pause));
        }
    }

    pub(crate) fn on_poll_reply(
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
        self.daemons = leader.daemons;
        self.set_leader(Some(leader));
        let names = |vms: Vec<String>| vms.into_iter().map(VmName::from).collect();
        let near = names(reply.near_forwarders);
        let forwarders = Forwarders { near, far: names(reply.far_forwarders) };
        if self.takes_callers && self.forwarders != forwarders {
            self.forwarders = forwarders.clone();
            out.push(Output::Forwarders(forwarders));
        }
        let hash = ContentHash::from_slice(&reply.hash).unwrap_or_default();
        let current = VersionHash { version: reply.version, hash };
        self.confirmations.on_reply(current, sent);
        self.answered_poll_sent_at = Some(sent);
        self.update_halls_out(&reply.halls.unwrap_or_default(), out);
        self.config_store.on_version_confirmed(current.version);
        self.config_store.fetch_if_missing(&self.sources, now, out);
        self.update_confirmation(now, out);
    }

    /// Handles the leader's announcement of an accepted version.
    pub(crate) fn on_update(
        &mut self,
        from: &VmName,
        update: Update,
        now: Instant,
        out: &mut Outbox,
    ) {
        if self.config_store.on_update(update, &self.sources, now, out) {
            self.on_config_activated(Some(from), now, out);
        }
    }

    /// Handles a piece of the change being fetched.
    pub(crate) fn on_piece(&mut self, from: &VmName, piece: Piece, now: Instant, out: &mut Outbox) {
        if self.config_store.on_piece(from, piece, &self.sources, now, out) {
            self.on_config_activated(None, now, out);
        }
    }

    /// Activates what the control replica on this VM has accepted.
    pub(crate) fn load_accepted(&mut self, state: &State, now: Instant, out: &mut Outbox) {
        self.update_halls_out(state.halls_out(), out);
        if self.config_store.load_accepted(state, out) {
            self.on_config_activated(None, now, out);
        }
    }

    /// Reports the new active version to the leader.
    fn on_config_activated(
        &mut self,
        announced_by: Option<&VmName>,
        now: Instant,
        out: &mut Outbox,
    ) {
        self.config_changed = true;
        if let Some(leader) = announced_by.or(self.leader()).cloned() {
            self.send_poll(leader, now, out);
        }
        self.update_confirmation(now, out);
    }

    /// Marks the active configuration as confirmed as far as the leader's replies tell.
    fn update_confirmation(&mut self, now: Instant, out: &mut Outbox) {
        self.confirmations.update(self.config_store.version_hash());
        self.answer_reads(now, out);
        self.update_freshness(now, out);
    }

    /// Reports a change of freshness or of the last confirmation.
    fn update_freshness(&mut self, now: Instant, out: &mut Outbox) {
        let confirmed = self.confirmations.as_of();
        let age = confirmed.map(|at| now.since(at));
        let fresh = age.is_some_and(|age| age < self.timing.stale_after);
        if confirmed != self.reported_confirmed || fresh != self.fresh {
            self.fresh = fresh;
            self.reported_confirmed = confirmed;
            let daemons = self.leader.as_ref().map_or(0, |leader| leader.daemons);
            let entries =
                self.leader.as_ref().map_or(EntryDaemons::default(), |leader| leader.entries);
            out.push(Output::ConfigFreshness { fresh, confirmed, daemons, entries });
        }
    }

    fn set_leader(&mut self, leader: Option<RemoteScheduler>) {
        let name =
            |leader: &Option<RemoteScheduler>| leader.as_ref().map(|l| (l.vm.clone(), l.term));
        self.leader_changed |= name(&self.leader) != name(&leader);
        self.leader = leader;
    }
}
