//! Replicas over links that lose, delay, repeat and reorder messages.

use std::collections::BTreeMap;

use bytes::Bytes;

use super::super::*;
use crate::{
    testing::{Choices, Disk},
    units::{Instant, UnixMillis},
};

pub(super) const TIMING: Timing =
    Timing { heartbeat: Duration::from_millis(50), election: Duration::from_millis(300) };

pub(super) struct Host {
    pub(super) replica: Option<Replica>,
    pub(super) disk: Disk,
    pub(super) unsynced: Vec<Ready>,
    /// Applied commands by index.
    pub(super) applied: BTreeMap<u64, Entry>,
    pub(super) frozen: bool,
    /// Added to the common time, so that clocks run apart.
    pub(super) skew: u64,
}

impl Host {
    /// Whether one of its last applied commands is numbered above `number`.
    pub(super) fn has_command_after(&self, number: u64) -> bool {
        self.applied.values().rev().take(8).any(|entry| match &entry.payload {
            Some(Payload::Command(command)) => {
                number < String::from_utf8_lossy(command).parse().unwrap()
            }
            _ => false,
        })
    }
}

pub(super) struct Net {
    pub(super) hosts: BTreeMap<ReplicaId, Host>,
    pub(super) messages: Vec<Message>,
    pub(super) now: u64,
    pub(super) choices: Choices,
    /// Every entry ever handed out as committed, by index.
    pub(super) committed: BTreeMap<u64, Entry>,
    pub(super) leaders: BTreeMap<u64, ReplicaId>,
    /// These reach only each other.
    pub(super) cut: Vec<ReplicaId>,
    pub(super) proposals: u64,
    pub(super) reads: BTreeMap<u64, u64>,
    pub(super) confirmed_reads: usize,
}

impl Net {
    pub(super) fn new(ids: &[ReplicaId], voters: usize, seed: u64) -> Net {
        let mut net = Net {
            hosts: BTreeMap::new(),
            messages: Vec::new(),
            now: 1,
            choices: Choices::new(seed),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            cut: Vec::new(),
            proposals: 0,
            reads: BTreeMap::new(),
            confirmed_reads: 0,
        };
        let member =
            |(i, id): (usize, &u64)| Member { id: *id, vm: format!("vm-{id}"), voter: i < voters };
        let members = ids.iter().enumerate().map(member).collect();
        for id in ids {
            let host = Host {
                replica: None,
                disk: Disk::default(),
                unsynced: Vec::new(),
                applied: BTreeMap::new(),
                frozen: false,
                skew: id * 7_000,
            };
            net.hosts.insert(*id, host);
            net.start(*id);
        }
        let first = net.hosts.get_mut(&ids[0]).unwrap();
        first.replica.as_mut().unwrap().bootstrap(Membership { members }, 1, UnixMillis(1));
        net.collect(ids[0]);
        // Founding counts once it is synced; a crash before that founds again.
        net.sync(ids[0]);
        net
    }

    pub(super) fn random(&mut self, below: u64) -> u64 {
        self.choices.below(below)
    }

    pub(super) fn pick(&mut self) -> ReplicaId {
        let ids: Vec<ReplicaId> = self.hosts.keys().copied().collect();
        ids[self.random(ids.len() as u64) as usize]
    }

    pub(super) fn time(&self, id: ReplicaId) -> Instant {
        Instant(self.now + self.hosts[&id].skew)
    }

    pub(super) fn start(&mut self, id: ReplicaId) {
        let now = self.time(id);
        let seed = self.choices.seed();
        let host = self.hosts.get_mut(&id).unwrap();
        let restored = host.disk.restored.clone();
        host.applied.clear();
        host.replica = Some(Replica::new(id, TIMING, seed, restored, now));
        self.collect(id);
    }

    /// Ends a process; any number of its unsynced writes may have reached the disk.
    pub(super) fn crash(&mut self, id: ReplicaId) {
        let unsynced = self.hosts[&id].unsynced.len() as u64;
        let written = self.random(unsynced + 1) as usize;
        let host = self.hosts.get_mut(&id).unwrap();
        for ready in host.unsynced.drain(..).take(written) {
            host.disk.write(ready.persist);
        }
        host.replica = None;
        host.unsynced.clear();
        host.frozen = false;
    }

    /// Runs one replica, unless it is down or frozen, and collects its work.
    pub(super) fn with(&mut self, id: ReplicaId, run: impl FnOnce(&mut Replica, Instant)) {
        let now = self.time(id);
        let host = self.hosts.get_mut(&id).unwrap();
        if host.frozen {
            return;
        }
        let Some(replica) = &mut host.replica else { return };
        run(replica, now);
        self.collect(id);
    }

    pub(super) fn collect(&mut self, id: ReplicaId) {
        let host = self.hosts.get_mut(&id).unwrap();
        let Some(replica) = &mut host.replica else { return };
        let mut ready = replica.take_ready();
        if replica.role() == Role::Leader {
            let leader = *self.leaders.entry(replica.term()).or_insert(id);
            assert_eq!(leader, id, "two leaders in term {}", replica.term());
        }
        if let Some(snapshot) = ready.install.take() {
            let entries: Vec<Entry> = decode(&snapshot);
            host.applied = entries.into_iter().map(|e| (e.index, e)).collect();
        }
        for entry in ready.committed.drain(..) {
            let agreed = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
            assert_eq!(*agreed, entry, "two entries committed at one index");
            host.applied.insert(entry.index, entry);
        }
        for read in ready.reads.drain(..) {
            let floor = self.reads[&read.token];
            assert!(floor <= read.index, "a confirmed read misses a committed entry");
            self.confirmed_reads += 1;
        }
        self.messages.extend(ready.messages.drain(..).map(|o| o.message));
        host.unsynced.push(ready);
    }

    pub(super) fn sync(&mut self, id: ReplicaId) {
        let host = self.hosts.get_mut(&id).unwrap();
        if host.frozen || host.replica.is_none() {
            return;
        }
        for ready in std::mem::take(&mut host.unsynced) {
            self.hosts.get_mut(&id).unwrap().disk.write(ready.persist);
            self.messages.extend(ready.messages_after_persist.into_iter().map(|o| o.message));
            self.with(id, |replica, now| replica.persisted(ready.synced, now));
        }
    }

    pub(super) fn deliver(&mut self, at: usize) {
        let message = self.messages.remove(at);
        let cut = self.cut.contains(&message.from) != self.cut.contains(&message.to);
        if cut || !self.hosts.contains_key(&message.to) {
            return;
        }
        self.with(message.to, |replica, now| replica.receive(message, now));
    }

    pub(super) fn propose(&mut self, id: ReplicaId) {
        self.proposals += 1;
        let payload = Payload::Command(Bytes::from(self.proposals.to_string()));
        let wall = UnixMillis(self.now / 1000);
        self.with(id, |replica, now| {
            let _ = replica.propose(payload, wall, now);
        });
    }

    pub(super) fn read(&mut self, id: ReplicaId) {
        let token = self.reads.len() as u64;
        let floor = self.committed.keys().next_back().copied().unwrap_or(0);
        self.reads.insert(token, floor);
        self.with(id, |replica, now| replica.read(token, now));
    }

    pub(super) fn compact(&mut self, id: ReplicaId) {
        let host = &self.hosts[&id];
        let Some(last) = host.applied.keys().next_back().copied() else { return };
        let entries: Vec<Entry> = host.applied.values().cloned().collect();
        self.with(id, |replica, _| replica.compact(last, encode(&entries)));
    }

    /// Swaps one voter for a learner or back, if allowed.
    pub(super) fn change_members(&mut self, id: ReplicaId) {
        let victim = self.pick();
        let wall = UnixMillis(0);
        self.with(id, |replica, now| {
            let mut membership = replica.membership().clone();
            let voters = membership.voters().count();
            let Some(member) = membership.members.iter_mut().find(|m| m.id == victim) else {
                return;
            };
            if member.voter && voters < 3 {
                return;
            }
            member.voter = !member.voter;
            let _ = replica.propose(Payload::Members(membership), wall, now);
        });
    }

    /// Some rounds of nearly ordinary running: most ticks, syncs and messages happen.
    pub(super) fn burst(&mut self) {
        let ids: Vec<ReplicaId> = self.hosts.keys().copied().collect();
        for _ in 0..self.random(24) {
            self.now += 25_000;
            for id in &ids {
                self.with(*id, |replica, now| replica.tick(now));
                if self.random(4) != 0 {
                    self.sync(*id);
                }
                let leads = |r: &Replica| r.role() == Role::Leader;
                if self.hosts[id].replica.as_ref().is_some_and(leads) && self.random(3) == 0 {
                    self.propose(*id);
                }
            }
            for _ in 0..self.messages.len() {
                match self.random(20) {
                    0 => drop(self.messages.remove(0)),
                    1 => self.messages.rotate_left(1),
                    _ => self.deliver(0),
                }
            }
        }
    }

    pub(super) fn random_event(&mut self) {
        let id = self.pick();
        match self.random(104) {
            0..=31 if !self.messages.is_empty() => {
                let at = self.random(self.messages.len() as u64) as usize;
                self.deliver(at);
            }
            0..=54 => self.sync(id),
            55..=63 => {
                self.now += self.random(60_000);
                self.with(id, |replica, now| replica.tick(now));
            }
            64..=66 => self.propose(id),
            67..=68 => self.read(id),
            69 => self.compact(id),
            70..=77 if !self.messages.is_empty() => {
                let at = self.random(self.messages.len() as u64) as usize;
                self.messages.swap_remove(at);
            }
            78..=83 if !self.messages.is_empty() => {
                let at = self.random(self.messages.len() as u64) as usize;
                let copy = self.messages[at].clone();
                self.messages.push(copy);
            }
            84..=85 => self.crash(id),
            86..=93 => {
                if self.hosts[&id].replica.is_none() {
                    self.start(id);
                }
            }
            94 => self.cut.push(id),
            95 => self.cut.clear(),
            96 => {
                let host = self.hosts.get_mut(&id).unwrap();
                host.frozen = !host.frozen;
            }
            97 => self.hosts.get_mut(&id).unwrap().skew += 500_000,
            98 => self.with(id, |replica, now| replica.hand_over(now)),
            99 => self.change_members(id),
            _ => self.burst(),
        }
    }

    /// Ends all faults and runs in order until a new command is committed everywhere.
    pub(super) fn settle(&mut self) -> bool {
        self.cut.clear();
        let ids: Vec<ReplicaId> = self.hosts.keys().copied().collect();
        for id in &ids {
            self.hosts.get_mut(id).unwrap().frozen = false;
            if self.hosts[id].replica.is_none() {
                self.start(*id);
            }
        }
        let before = self.proposals;
        for round in 0..600 {
            self.now += 10_000;
            for id in &ids {
                self.with(*id, |replica, now| replica.tick(now));
                self.sync(*id);
            }
            for _ in 0..self.messages.len() {
                self.deliver(0);
            }
            let leads = |id: &&u64| self.hosts[id].replica.as_ref().unwrap().is_established();
            if let Some(leader) = ids.iter().find(leads).copied()
                && round % 20 == 0
            {
                self.propose(leader);
            }
            if self.hosts.values().all(|host| host.has_command_after(before)) {
                return true;
            }
        }
        false
    }
}

pub(super) fn encode(entries: &[Entry]) -> Bytes {
    let append = Append { entries: entries.to_vec(), ..Append::default() };
    Bytes::from(prost::Message::encode_to_vec(&append))
}

pub(super) fn decode(snapshot: &Snapshot) -> Vec<Entry> {
    let append: Append = prost::Message::decode(&snapshot.data[..]).unwrap();
    append.entries
}
