//! The configuration in force on this daemon, and whether it is current.
//!
//! The daemon polls the leader. The leader answers only after a quorum has
//! confirmed that it still leads, so an answer was true at some moment after the
//! poll was sent, by no clock but the daemon's own. A daemon without a
//! configuration takes its first one only from such an answer, so a restart
//! cannot bring an older one back.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bytes::Bytes;

use super::{Answer, CallId, NodeOptions, NodeTiming, Outbox, Output, VersionHash, VmName};
use crate::{
    config::{Config, ContentHash, Document},
    state::{ConfigChange, EncodedDelta},
    units::Instant,
    wire::{Body, Poll, PollReply},
};

/// A poll that is not answered in this many intervals goes to another replica.
const PATIENCE: u32 = 2;

/// Stands for a file's name where an accepted configuration is checked again.
pub(crate) const ACCEPTED: &str = "accepted configuration";

/// A configuration in force.
#[derive(Debug)]
pub struct InForce {
    /// Its version.
    pub version: u64,
    /// Hash of its document.
    pub hash: ContentHash,
    /// The document.
    pub document: Document,
    /// The checked configuration.
    pub config: Config,
}

/// The scheduler that this daemon's requests go to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SchedulerAt {
    /// VM of the leader.
    pub(crate) vm: VmName,
    /// Term of the leader.
    pub(crate) term: u64,
    /// Number of daemons that share the endpoints.
    pub(crate) daemons: u64,
    /// Those that callers are sent to.
    pub(crate) entries: Entries,
}

/// Daemons that callers are sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Entries {
    /// Those that go on.
    pub taking: u64,
    /// Those that stop, while callers are still sent to them.
    pub stopping: u64,
}

#[derive(Debug, Clone, Copy)]
struct SentPoll {
    nonce: u64,
    at: Instant,
}

/// A question that waits for a confirmation of a time after it came.
#[derive(Debug, Clone, Copy)]
struct PendingRead {
    call: CallId,
    asked: Instant,
    deadline: Instant,
}

/// Keeps the configuration in force.
pub(crate) struct Keeper {
    vm: VmName,
    replicas: Vec<VmName>,
    /// Questions for the newest configuration.
    reads: Vec<PendingRead>,
    timing: NodeTiming,
    in_force: Option<Arc<InForce>>,
    changed: bool,
    links: BTreeSet<VmName>,
    leader: Option<SchedulerAt>,
    leader_changed: bool,
    /// A hint of who leads, from a replica that does not.
    hint: Option<VmName>,
    /// The replica to poll when nothing better is known.
    next_replica: usize,
    nonce: u64,
    polls: Vec<SentPoll>,
    next_poll: Instant,
    last_reply: Instant,
    /// The configuration was current at this time; zero means never confirmed.
    confirmed: Option<Instant>,
    fresh: bool,
    told_confirmed: Option<Instant>,
    takes_callers: bool,
    stopping: bool,
}

impl Keeper {
    pub(crate) fn new(options: &NodeOptions, now: Instant) -> Keeper {
        Keeper {
            vm: options.vm.clone(),
            replicas: options.seeds.clone(),
            reads: Vec::new(),
            timing: options.timing,
            in_force: None,
            changed: false,
            links: BTreeSet::new(),
            leader: None,
            leader_changed: false,
            hint: None,
            next_replica: options.seed as usize,
            nonce: options.seed,
            polls: Vec::new(),
            next_poll: now,
            last_reply: now,
            confirmed: None,
            fresh: false,
            takes_callers: options.takes_callers,
            stopping: false,
            told_confirmed: None,
        }
    }

    pub(crate) fn in_force(&self) -> Option<&Arc<InForce>> {
        self.in_force.as_ref()
    }

    pub(crate) fn is_fresh(&self) -> bool {
        self.fresh
    }

    /// The configuration, if it changed since the last call.
    pub(crate) fn take_changed(&mut self) -> Option<Arc<InForce>> {
        std::mem::take(&mut self.changed).then(|| self.in_force.clone()).flatten()
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
    pub(crate) fn scheduler(&self, now: Instant) -> Option<&SchedulerAt> {
        let silent = now.since(self.last_reply);
        self.leader.as_ref().filter(|_| silent < self.timing.poll * 3)
    }

    pub(crate) fn next_tick(&self) -> Instant {
        self.next_poll
    }

    /// Takes the control VMs that are known now.
    pub(crate) fn set_replicas(&mut self, replicas: &[VmName]) {
        if self.replicas != replicas {
            self.replicas = replicas.to_vec();
        }
    }

    /// Answers with the configuration in force once a poll that was sent after now confirms
    /// that it is the newest.
    pub(crate) fn read(&mut self, call: CallId, deadline: Instant, now: Instant, out: &mut Outbox) {
        self.reads.push(PendingRead { call, asked: now, deadline });
        self.next_poll = self.next_poll.min(deadline);
        if let Some(target) = self.poll_target() {
            self.poll(target, now, out);
        }
    }

    fn answer_reads(&mut self, now: Instant, out: &mut Outbox) {
        let confirmed = self.confirmed;
        let in_force = self.in_force.clone();
        self.reads.retain(|read| {
            if confirmed.is_some_and(|at| read.asked <= at) {
                out.answer(read.call, Answer::Newest(in_force.clone()));
                return false;
            }
            let waits = now < read.deadline;
            if !waits {
                out.answer(read.call, Answer::Newest(None));
            }
            waits
        });
    }

    pub(crate) fn link_up(&mut self, vm: &VmName, now: Instant, out: &mut Outbox) {
        self.links.insert(vm.clone());
        if self.leader.is_none() && self.replicas.contains(vm) {
            self.poll(vm.clone(), now, out);
        }
    }

    pub(crate) fn link_down(&mut self, vm: &VmName) {
        self.links.remove(vm);
        if self.leader().is_some_and(|leader| leader == vm) {
            self.set_leader(None);
        }
    }

    pub(crate) fn tick(&mut self, now: Instant, out: &mut Outbox) {
        self.judge_freshness(now, out);
        self.answer_reads(now, out);
        if now < self.next_poll {
            return;
        }
        let deadlines = self.reads.iter().map(|read| read.deadline);
        self.next_poll = deadlines.chain([now.after(self.timing.poll)]).min().unwrap_or(now);
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
        let leader = SchedulerAt {
            vm: from.clone(),
            term: reply.term,
            daemons: reply.daemons.max(1),
            entries: Entries { taking: reply.taking, stopping: reply.stopping },
        };
        self.set_leader(Some(leader));
        if let Some(update) = reply.update
            && self.apply(update)
        {
            // Tells the leader at once what is in force here.
            self.poll(from.clone(), now, out);
        }
        let hash = ContentHash::from_slice(&reply.hash).unwrap_or_default();
        let current = VersionHash { version: reply.version, hash };
        if self.version_hash() == current && 0 < current.version {
            self.confirmed = Some(self.confirmed.map_or(sent, |at| at.max(sent)));
        }
        self.answer_reads(now, out);
        self.judge_freshness(now, out);
    }

    /// Takes a configuration that the leader sent unasked. It only ever goes on from the one
    /// in force, so it cannot be older.
    pub(crate) fn update(
        &mut self,
        from: &VmName,
        update: ConfigChange,
        now: Instant,
        out: &mut Outbox,
    ) {
        let current = self.version_hash().version;
        if update.version <= current {
            return;
        }
        if 0 < current && current == update.base {
            self.apply(update);
        }
        // Tells the leader what is in force here, or asks for what is missing.
        self.poll(from.clone(), now, out);
    }

    fn apply(&mut self, update: ConfigChange) -> bool {
        let current = self.version_hash();
        if update.version <= current.version {
            return false;
        }
        let Ok(delta) = EncodedDelta::read(update.delta) else { return false };
        let base = match (&self.in_force, update.base) {
            (_, 0) => None,
            (Some(in_force), base) if in_force.version == base => Some(in_force.clone()),
            _ => return false,
        };
        let mut document = base.as_ref().map(|f| f.document.clone()).unwrap_or_default();
        document.apply(&delta);
        let hash = document.content_hash();
        if hash.0[..] != update.hash[..] {
            return false;
        }
        // It was checked when it was submitted; a daemon of another release may still refuse
        // it, and then shows itself stale.
        let config = match base {
            Some(base) => base.config.updated(ACCEPTED, &document, &delta),
            None => Config::check(ACCEPTED, &document),
        };
        let Ok(config) = config else { return false };
        let version = update.version;
        self.in_force = Some(Arc::new(InForce { version, hash, document, config }));
        self.changed = true;
        true
    }

    fn version_hash(&self) -> VersionHash {
        self.in_force
            .as_ref()
            .map_or(VersionHash::default(), |f| VersionHash { version: f.version, hash: f.hash })
    }

    fn judge_freshness(&mut self, now: Instant, out: &mut Outbox) {
        let age = self.confirmed.map(|at| now.since(at));
        let fresh = age.is_some_and(|age| age < self.timing.stale_after);
        if self.confirmed != self.told_confirmed || fresh != self.fresh {
            self.fresh = fresh;
            self.told_confirmed = self.confirmed;
            let daemons = self.leader.as_ref().map_or(0, |leader| leader.daemons);
            let entries = self.leader.as_ref().map_or(Entries::default(), |leader| leader.entries);
            out.push(Output::Fresh { fresh, confirmed: self.confirmed, daemons, entries });
        }
    }

    fn set_leader(&mut self, leader: Option<SchedulerAt>) {
        let name = |leader: &Option<SchedulerAt>| leader.as_ref().map(|l| (l.vm.clone(), l.term));
        self.leader_changed |= name(&self.leader) != name(&leader);
        self.leader = leader;
    }

    fn poll_target(&mut self) -> Option<VmName> {
        if let Some(leader) = self.leader() {
            return Some(leader.clone());
        }
        let reachable = |vm: &VmName| *vm == self.vm || self.links.contains(vm);
        if let Some(hint) = self.hint.take().filter(reachable) {
            return Some(hint);
        }
        let reachable: Vec<VmName> =
            self.replicas.iter().filter(|vm| reachable(vm)).cloned().collect();
        self.next_replica = self.next_replica.wrapping_add(1);
        let count = reachable.len();
        reachable.into_iter().nth(self.next_replica.checked_rem(count)?)
    }

    /// Tells the leader at once that a planned stop has begun.
    pub(crate) fn stop(&mut self, now: Instant, out: &mut Outbox) {
        self.stopping = true;
        if let Some(leader) = self.leader().cloned() {
            self.poll(leader, now, out);
        }
    }

    fn poll(&mut self, to: VmName, now: Instant, out: &mut Outbox) {
        const MAX_POLLS: usize = 16;
        self.nonce = self.nonce.wrapping_add(1);
        if MAX_POLLS <= self.polls.len() {
            self.polls.remove(0);
        }
        self.polls.push(SentPoll { nonce: self.nonce, at: now });
        let current = self.version_hash();
        let hash = Bytes::copy_from_slice(&current.hash.0);
        let poll = Poll {
            nonce: self.nonce,
            version: current.version,
            hash,
            takes_callers: self.takes_callers,
            stopping: self.stopping,
        };
        out.send(&to, Body::Poll(poll));
    }
}
