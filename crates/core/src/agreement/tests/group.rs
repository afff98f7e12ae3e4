//! Voters that start at once, on disks that take long to sync and processors that do not run them all the time.

use std::collections::BTreeMap;

use super::super::*;
use crate::{
    node::NodeTiming,
    testing::Choices,
    units::{Instant, UnixMillis},
};

const VOTERS: u64 = 5;
const MS: u64 = 1_000;
/// Time in which service must be back, in ms.
pub(super) const RECOVERY: u64 = 15_000;
/// Longest time on the way, in ms.
const LATENCY: u64 = 4;

/// How a processor that many share runs a process, in ms.
#[derive(Debug, Clone, Copy)]
pub(super) struct Slices {
    /// Longest time for which the process runs.
    pub(super) runs: u64,
    /// Longest time for which it waits before it runs again.
    pub(super) waits: u64,
}

struct Host {
    replica: Replica,
    /// What has arrived and is not read yet.
    arrived: Vec<Message>,
    waits_until: u64,
    runs_until: u64,
    /// When the write in progress is synced, and what it holds.
    in_progress: Option<(u64, Vec<Ready>)>,
    queued: Vec<Ready>,
}

pub(super) struct Group {
    hosts: BTreeMap<ReplicaId, Host>,
    on_the_way: BTreeMap<(u64, u64), Message>,
    sent: u64,
    now: u64,
    /// How long a sync takes, in ms.
    pub(super) sync: u64,
    /// Processes run all the time if not set.
    pub(super) slices: Option<Slices>,
    /// If set, the others reach only this one.
    pub(super) center: Option<ReplicaId>,
    /// If set, this one hears nobody.
    pub(super) deaf: Option<ReplicaId>,
    choices: Choices,
    /// When the latest read that was confirmed was asked for.
    confirmed: u64,
}

impl Group {
    /// The voters with these ids run; a sync takes `sync` ms.
    pub(super) fn start(ids: &[ReplicaId], sync: u64, seed: u64) -> Group {
        let member = |id| Member { id, vm: format!("vm-{id}"), voter: true };
        let members = Membership { members: (1..=VOTERS).map(member).collect() };
        let payload = Some(Payload::Members(members));
        let entries = vec![Entry { term: 1, index: 1, at_ms: 0, payload }];
        let hard_state = HardState { term: 1, voted_for: None };
        let restored = Restored { hard_state, snapshot: None, entries };
        let timing = NodeTiming::default().agreement;
        let host = |id: &ReplicaId| {
            let seed = (seed * VOTERS + id) << 20;
            let replica = Replica::new(*id, timing, seed, restored.clone(), Instant(0));
            let host = Host {
                replica,
                arrived: Vec::new(),
                waits_until: 0,
                runs_until: 0,
                in_progress: None,
                queued: Vec::new(),
            };
            (*id, host)
        };
        let hosts = ids.iter().map(host).collect();
        let on_the_way = BTreeMap::new();
        let choices = Choices::new(seed * 77 + 1);
        Group {
            hosts,
            on_the_way,
            sent: 0,
            now: 0,
            sync,
            slices: None,
            center: None,
            deaf: None,
            choices,
            confirmed: 0,
        }
    }

    /// Runs until a leader is established or `length` ms are over; returns it and when, in ms.
    pub(super) fn run_until_led(&mut self, length: u64) -> Option<(ReplicaId, u64)> {
        let at = self.run_until(length, |group| group.leader().is_some())?;
        Some((self.leader()?, at))
    }

    /// Runs until this holds or `length` ms are over; returns when, in ms.
    pub(super) fn run_until(&mut self, length: u64, holds: impl Fn(&Group) -> bool) -> Option<u64> {
        let until = self.now + length;
        while self.now < until {
            self.step();
            if holds(self) {
                return Some(self.now);
            }
        }
        None
    }

    pub(super) fn leader(&self) -> Option<ReplicaId> {
        let leads = |(_, host): &(&ReplicaId, &Host)| host.replica.is_established();
        self.hosts.iter().find(leads).map(|(id, _)| *id)
    }

    pub(super) fn term(&self) -> u64 {
        self.hosts.values().map(|host| host.replica.term()).max().unwrap_or(0)
    }

    /// One millisecond.
    pub(super) fn step(&mut self) {
        self.now += 1;
        while let Some(first) = self.on_the_way.first_entry()
            && first.key().0 <= self.now
        {
            let message = first.remove();
            let is_apart = |center| message.from != center && message.to != center;
            if self.center.is_some_and(is_apart) || self.deaf == Some(message.to) {
                continue;
            }
            if let Some(host) = self.hosts.get_mut(&message.to) {
                host.arrived.push(message);
            }
        }
        for id in self.hosts.keys().copied().collect::<Vec<_>>() {
            if self.runs(id) {
                self.run(id);
            }
        }
    }

    /// Whether the process has the processor in this millisecond.
    fn runs(&mut self, id: ReplicaId) -> bool {
        let Some(Slices { runs, waits }) = self.slices else { return true };
        let host = self.hosts.get_mut(&id).unwrap();
        if host.runs_until <= self.now {
            host.waits_until = self.now + self.choices.below(waits);
            host.runs_until = host.waits_until + 1 + self.choices.below(runs);
        }
        host.waits_until <= self.now
    }

    /// Takes what has arrived; a process that has waited may look at the time first.
    fn run(&mut self, id: ReplicaId) {
        if self.slices.is_some() && self.choices.below(2) == 0 {
            self.with(id, |replica, now| replica.tick(now));
        }
        for message in self.take_arrived(id) {
            self.with(id, |replica, now| replica.receive(message, now));
        }
        let host = self.hosts.get_mut(&id).unwrap();
        if let Some((_, batch)) = host.in_progress.take_if(|(due, _)| *due <= self.now) {
            self.complete(id, batch);
            self.write_next(id);
        }
        self.with(id, |replica, now| replica.tick(now));
    }

    /// What has arrived, read from one connection after the other, in any order.
    fn take_arrived(&mut self, id: ReplicaId) -> Vec<Message> {
        let arrived = std::mem::take(&mut self.hosts.get_mut(&id).unwrap().arrived);
        let mut connections: BTreeMap<(u64, ReplicaId), Vec<Message>> = BTreeMap::new();
        let mut order = BTreeMap::new();
        for message in arrived {
            let key = *order.entry(message.from).or_insert_with(|| self.choices.below(u64::MAX));
            connections.entry((key, message.from)).or_default().push(message);
        }
        connections.into_values().flatten().collect()
    }

    /// Runs for `length` ms, and asks the leader for a read every 100 ms while it has the processor. Returns for
    /// how many of them the latest confirmed read was not older than `fresh` ms.
    pub(super) fn run_with_reads(&mut self, length: u64, fresh: u64) -> u64 {
        self.confirmed = self.now;
        let mut count = 0;
        for n in 0..length {
            self.step();
            let token = self.now;
            if n % 100 == 0
                && let Some(id) = self.leader()
                && self.runs(id)
            {
                self.with(id, |replica, now| replica.read(token, now));
            }
            count += u64::from(self.now - self.confirmed < fresh);
        }
        count
    }

    pub(super) fn propose(&mut self, id: ReplicaId) {
        let payload = Payload::Command(bytes::Bytes::from_static(b"x"));
        self.with(id, |replica, now| {
            let _ = replica.propose(payload, UnixMillis(0), now);
        });
    }

    fn with(&mut self, id: ReplicaId, run: impl FnOnce(&mut Replica, Instant)) {
        let now = Instant(self.now * MS);
        let Some(host) = self.hosts.get_mut(&id) else { return };
        run(&mut host.replica, now);
        let mut ready = host.replica.take_ready();
        let messages = std::mem::take(&mut ready.messages);
        for read in &ready.reads {
            self.confirmed = self.confirmed.max(read.token);
        }
        host.queued.push(ready);
        self.send(messages);
        self.write_next(id);
    }

    fn send(&mut self, messages: Vec<Outgoing>) {
        for outgoing in messages {
            let due = self.now + 1 + self.choices.below(LATENCY);
            self.sent += 1;
            self.on_the_way.insert((due, self.sent), outgoing.message);
        }
    }

    /// What is queued shares the next sync; what needs none waits for no disk.
    fn write_next(&mut self, id: ReplicaId) {
        let host = self.hosts.get_mut(&id).unwrap();
        if host.in_progress.is_some() || host.queued.is_empty() {
            return;
        }
        let batch = std::mem::take(&mut host.queued);
        if batch.iter().any(|ready| !ready.persist.is_empty()) {
            host.in_progress = Some((self.now + self.sync, batch));
        } else {
            self.complete(id, batch);
        }
    }

    fn complete(&mut self, id: ReplicaId, batch: Vec<Ready>) {
        let Some(synced) = batch.last().map(|ready| ready.synced) else { return };
        for ready in batch {
            self.send(ready.messages_after_persist);
        }
        let now = Instant(self.now * MS);
        let host = self.hosts.get_mut(&id).unwrap();
        host.replica.persisted(synced, now);
        let mut ready = host.replica.take_ready();
        let messages = std::mem::take(&mut ready.messages);
        host.queued.push(ready);
        self.send(messages);
    }
}
