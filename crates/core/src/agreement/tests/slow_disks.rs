//! Three of five voters start at once, on disks that take long to sync.

use std::collections::BTreeMap;

use googletest::prelude::*;

use super::super::*;
use crate::{
    node::NodeTiming,
    testing::Choices,
    units::{Instant, UnixMillis},
};

const VOTERS: u64 = 5;
const MS: u64 = 1_000;
/// Longest time on the way, in ms.
const LATENCY: u64 = 4;
/// Time in which service must be back, in ms.
const RECOVERY: u64 = 15_000;
const SEEDS: u64 = 40;

struct Host {
    replica: Replica,
    /// When the write in progress is synced, and what it holds.
    in_progress: Option<(u64, Vec<Ready>)>,
    queued: Vec<Ready>,
}

struct Group {
    hosts: BTreeMap<ReplicaId, Host>,
    on_the_way: BTreeMap<(u64, u64), Message>,
    sent: u64,
    now: u64,
    sync: u64,
    choices: Choices,
}

impl Group {
    /// The voters with these ids run; a sync takes `sync` ms.
    fn start(ids: &[ReplicaId], sync: u64, seed: u64) -> Group {
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
            (*id, Host { replica, in_progress: None, queued: Vec::new() })
        };
        let hosts = ids.iter().map(host).collect();
        let on_the_way = BTreeMap::new();
        Group { hosts, on_the_way, sent: 0, now: 0, sync, choices: Choices::new(seed * 77 + 1) }
    }

    /// Runs until a leader is established or `length` ms are over; returns it and when, in ms.
    fn run_until_led(&mut self, length: u64) -> Option<(ReplicaId, u64)> {
        let until = self.now + length;
        while self.now < until {
            self.step();
            if let Some(leader) = self.leader() {
                return Some((leader, self.now));
            }
        }
        None
    }

    fn leader(&self) -> Option<ReplicaId> {
        let leads = |(_, host): &(&ReplicaId, &Host)| host.replica.is_established();
        self.hosts.iter().find(leads).map(|(id, _)| *id)
    }

    fn term(&self) -> u64 {
        self.hosts.values().map(|host| host.replica.term()).max().unwrap_or(0)
    }

    /// One millisecond.
    fn step(&mut self) {
        self.now += 1;
        while let Some(first) = self.on_the_way.first_entry()
            && first.key().0 <= self.now
        {
            let message = first.remove();
            self.with(message.to, |replica, now| replica.receive(message, now));
        }
        for id in self.hosts.keys().copied().collect::<Vec<_>>() {
            let host = self.hosts.get_mut(&id).unwrap();
            if let Some((_, batch)) = host.in_progress.take_if(|(due, _)| *due <= self.now) {
                self.complete(id, batch);
                self.write_next(id);
            }
            self.with(id, |replica, now| replica.tick(now));
        }
    }

    fn propose(&mut self, id: ReplicaId) {
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

/// When the last of the seeds had an established leader, in ms.
fn slowest_election(running: &[ReplicaId], sync: u64) -> Option<u64> {
    let elect = |seed| Group::start(running, sync, seed).run_until_led(RECOVERY);
    (0..SEEDS)
        .map(|seed| elect(seed).map(|(_, at)| at))
        .collect::<Option<Vec<_>>>()?
        .into_iter()
        .max()
}

#[gtest]
fn three_of_five_voters_elect_a_leader_within_3_s_at_syncs_of_150_ms() {
    expect_that!(slowest_election(&[1, 2, 3], 150), some(lt(3_000)));
}

// Guards against elections in which the syncs of candidates and voters follow each other.
#[gtest]
fn three_of_five_voters_elect_a_leader_in_recovery_time_at_syncs_of_4_s() {
    expect_that!(slowest_election(&[1, 2, 3], 4_000), some(lt(RECOVERY)));
}

#[gtest]
fn slow_syncs_do_not_keep_three_of_five_voters_from_electing_a_leader() {
    for sync in [300, 400, 600, 1_000] {
        expect_that!(slowest_election(&[1, 2, 3], sync), some(lt(RECOVERY)), "sync {sync} ms");
    }
}

#[gtest]
fn slow_syncs_do_not_keep_five_voters_from_electing_a_leader() {
    for sync in [300, 400, 600, 1_000] {
        let all = [1, 2, 3, 4, 5];
        expect_that!(slowest_election(&all, sync), some(lt(RECOVERY)), "sync {sync} ms");
    }
}

#[gtest]
fn leader_keeps_its_term_while_its_followers_sync_slowly() {
    for sync in [150, 400, 1_000] {
        for seed in 0..SEEDS {
            let mut group = Group::start(&[1, 2, 3], 5, seed);
            let (leader, _) = group.run_until_led(RECOVERY).unwrap();
            let term = group.term();
            group.sync = sync;
            for _ in 0..100 {
                group.propose(leader);
                (0..50).for_each(|_| group.step());
            }

            expect_that!(group.leader(), some(eq(leader)), "sync {sync} ms, seed {seed}");
            expect_that!(group.term(), eq(term), "sync {sync} ms, seed {seed}");
        }
    }
}
