//! Properties of agreement under a seeded scheduler of lost, delayed, repeated and
//! reordered messages, crashes before and after each sync, cuts, freezes and clocks
//! that run apart.

use std::collections::BTreeMap;

use bytes::Bytes;
use googletest::prelude::*;
use proptest::prelude::*;

use super::*;
use crate::{
    testing::{Choices, Disk},
    units::{Instant, UnixMillis},
};

const TIMING: Timing =
    Timing { heartbeat: Duration::from_millis(50), election: Duration::from_millis(300) };

struct Host {
    replica: Option<Replica>,
    disk: Disk,
    unsynced: Vec<Ready>,
    /// Applied commands by index.
    applied: BTreeMap<u64, Entry>,
    frozen: bool,
    /// Added to the common time, so that clocks run apart.
    skew: u64,
}

impl Host {
    /// Whether one of its last applied commands is numbered above `number`.
    fn has_command_after(&self, number: u64) -> bool {
        self.applied.values().rev().take(8).any(|entry| match &entry.payload {
            Some(Payload::Command(command)) => {
                number < String::from_utf8_lossy(command).parse().unwrap()
            }
            _ => false,
        })
    }
}

struct Net {
    hosts: BTreeMap<ReplicaId, Host>,
    messages: Vec<Message>,
    now: u64,
    choices: Choices,
    /// Every entry ever handed out as committed, by index.
    committed: BTreeMap<u64, Entry>,
    leaders: BTreeMap<u64, ReplicaId>,
    /// These reach only each other.
    cut: Vec<ReplicaId>,
    proposals: u64,
    reads: BTreeMap<u64, u64>,
    confirmed_reads: usize,
}

impl Net {
    fn new(ids: &[ReplicaId], voters: usize, seed: u64) -> Net {
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
        first.replica.as_mut().unwrap().bootstrap(Membership { members }, UnixMillis(1));
        net.collect(ids[0]);
        // Founding counts once it is synced; a crash before that founds again.
        net.sync(ids[0]);
        net
    }

    fn random(&mut self, below: u64) -> u64 {
        self.choices.below(below)
    }

    fn pick(&mut self) -> ReplicaId {
        let ids: Vec<ReplicaId> = self.hosts.keys().copied().collect();
        ids[self.random(ids.len() as u64) as usize]
    }

    fn time(&self, id: ReplicaId) -> Instant {
        Instant(self.now + self.hosts[&id].skew)
    }

    fn start(&mut self, id: ReplicaId) {
        let now = self.time(id);
        let seed = self.choices.seed();
        let host = self.hosts.get_mut(&id).unwrap();
        let restored = host.disk.restored.clone();
        host.applied.clear();
        host.replica = Some(Replica::new(id, TIMING, seed, restored, now));
        self.collect(id);
    }

    /// Ends a process; any number of its unsynced writes may have reached the disk.
    fn crash(&mut self, id: ReplicaId) {
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
    fn with(&mut self, id: ReplicaId, run: impl FnOnce(&mut Replica, Instant)) {
        let now = self.time(id);
        let host = self.hosts.get_mut(&id).unwrap();
        if host.frozen {
            return;
        }
        let Some(replica) = &mut host.replica else { return };
        run(replica, now);
        self.collect(id);
    }

    fn collect(&mut self, id: ReplicaId) {
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

    fn sync(&mut self, id: ReplicaId) {
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

    fn deliver(&mut self, at: usize) {
        let message = self.messages.remove(at);
        let cut = self.cut.contains(&message.from) != self.cut.contains(&message.to);
        if cut || !self.hosts.contains_key(&message.to) {
            return;
        }
        self.with(message.to, |replica, now| replica.receive(message, now));
    }

    fn propose(&mut self, id: ReplicaId) {
        self.proposals += 1;
        let payload = Payload::Command(Bytes::from(self.proposals.to_string()));
        let wall = UnixMillis(self.now / 1000);
        self.with(id, |replica, now| {
            let _ = replica.propose(payload, wall, now);
        });
    }

    fn read(&mut self, id: ReplicaId) {
        let token = self.reads.len() as u64;
        let floor = self.committed.keys().next_back().copied().unwrap_or(0);
        self.reads.insert(token, floor);
        self.with(id, |replica, now| replica.read(token, now));
    }

    fn compact(&mut self, id: ReplicaId) {
        let host = &self.hosts[&id];
        let Some(last) = host.applied.keys().next_back().copied() else { return };
        let entries: Vec<Entry> = host.applied.values().cloned().collect();
        self.with(id, |replica, _| replica.compact(last, encode(&entries)));
    }

    /// Swaps one voter for a learner or back, if allowed.
    fn change_members(&mut self, id: ReplicaId) {
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
    fn burst(&mut self) {
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

    fn random_event(&mut self) {
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
    fn settle(&mut self) -> bool {
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

fn encode(entries: &[Entry]) -> Bytes {
    let append = Append { entries: entries.to_vec(), ..Append::default() };
    Bytes::from(prost::Message::encode_to_vec(&append))
}

fn decode(snapshot: &Snapshot) -> Vec<Entry> {
    let append: Append = prost::Message::decode(&snapshot.data[..]).unwrap();
    append.entries
}

#[gtest]
fn three_replicas_elect_a_leader_and_agree() {
    let mut net = Net::new(&[1, 2, 3], 3, 1);

    expect_that!(net.settle(), eq(true));
    expect_that!(net.committed.len(), gt(2));
}

#[gtest]
fn one_replica_leads_alone() {
    let mut net = Net::new(&[1], 1, 1);

    expect_that!(net.settle(), eq(true));
}

#[gtest]
fn a_leader_that_is_cut_off_steps_down_and_confirms_no_read() {
    let mut net = Net::new(&[1, 2, 3], 3, 1);
    net.settle();
    let leader = *net.leaders.values().next_back().unwrap();
    net.messages.clear();
    net.cut = vec![leader];
    let confirmed = net.confirmed_reads;
    net.read(leader);
    for _ in 0..60 {
        net.now += 10_000;
        net.with(leader, |replica, now| replica.tick(now));
        net.sync(leader);
        while !net.messages.is_empty() {
            net.deliver(0);
        }
    }

    let replica = net.hosts[&leader].replica.as_ref().unwrap();
    expect_that!(replica.role(), not(eq(Role::Leader)));
    expect_that!(net.confirmed_reads, eq(confirmed));
}

#[gtest]
fn a_wiped_disk_does_not_answer_for_the_replica_that_voted() {
    let timing = TIMING;
    let mut wiped = Replica::new(30, timing, 1, Restored::default(), Instant(0));
    let body = Some(message_body::Body::Vote(Vote::default()));

    wiped.receive(Message { from: 1, to: 3, term: 9, body }, Instant(1_000_000));

    let ready = wiped.take_ready();
    expect_that!(ready.messages.len() + ready.messages_after_persist.len(), eq(0));
}

#[gtest]
fn a_handed_over_group_has_another_leader_at_once() {
    let mut net = Net::new(&[1, 2, 3], 3, 1);
    net.settle();
    let leader = *net.leaders.values().next_back().unwrap();
    net.with(leader, |replica, now| replica.hand_over(now));
    for _ in 0..20 {
        for _ in 0..net.messages.len() {
            net.deliver(0);
        }
        for id in [1, 2, 3] {
            net.sync(id);
        }
    }

    expect_that!(*net.leaders.values().next_back().unwrap(), not(eq(leader)));
}

proptest! {
    #![proptest_config(crate::testing::fixed_seed(150))]

    #[test]
    fn nothing_committed_is_lost_or_doubled_and_work_goes_on_after_the_faults(
        seed in any::<u64>(),
        replicas in 1usize..6,
        learners in 0usize..2,
    ) {
        let ids: Vec<ReplicaId> = (1..=(replicas + learners) as u64).collect();
        let mut net = Net::new(&ids, replicas, seed);
        for _ in 0..400 {
            net.random_event();
        }
        prop_assert!(net.settle(), "no progress after the faults ended");
    }
}

/// A replica of a group of three whose log ends with entries of these terms.
fn with_log(id: ReplicaId, terms: &[u64]) -> Replica {
    let members = (1..=3).map(|id| Member { id, vm: format!("vm-{id}"), voter: true }).collect();
    let mut entries: Vec<Entry> = terms
        .iter()
        .enumerate()
        .map(|(i, term)| Entry { term: *term, index: i as u64 + 1, at_ms: 0, payload: None })
        .collect();
    entries[0].payload = Some(Payload::Members(Membership { members }));
    let hard_state = HardState { term: *terms.last().unwrap(), voted_for: None };
    let restored = Restored { hard_state, snapshot: None, entries };
    Replica::new(id, TIMING, 7, restored, Instant(0))
}

const LATER: Instant = Instant(10_000_000);

fn receive(replica: &mut Replica, from: ReplicaId, term: u64, body: message_body::Body) -> Ready {
    let message = Message { from, to: replica.id(), term, body: Some(body) };
    replica.receive(message, LATER);
    replica.take_ready()
}

fn vote(last_term: u64, last_index: u64) -> message_body::Body {
    message_body::Body::Vote(Vote { last_index, last_term, hand_over: false })
}

fn votes_granted(outgoing: &[Outgoing]) -> usize {
    let granted = |o: &&Outgoing| {
        let body = &o.message.body;
        matches!(body, Some(message_body::Body::VoteReply(VoteReply { granted: true })))
    };
    outgoing.iter().filter(granted).count()
}

#[gtest]
fn a_vote_is_given_once_in_a_term_and_only_after_it_is_synced() {
    let mut replica = with_log(2, &[1]);
    replica.take_ready();

    let first = receive(&mut replica, 1, 5, vote(1, 1));
    let second = receive(&mut replica, 3, 5, vote(1, 1));

    expect_that!(votes_granted(&first.messages), eq(0));
    expect_that!(votes_granted(&first.messages_after_persist), eq(1));
    expect_that!(first.persist.hard_state.unwrap().voted_for, some(eq(1)));
    expect_that!(votes_granted(&second.messages_after_persist), eq(0));
}

#[gtest]
fn a_candidate_with_a_less_complete_log_gets_no_vote() {
    let mut replica = with_log(2, &[1, 1, 3]);
    replica.take_ready();

    for (last_term, last_index) in [(3, 2), (2, 9), (1, 3)] {
        let ready = receive(&mut replica, 1, 5, vote(last_term, last_index));
        expect_that!(votes_granted(&ready.messages_after_persist), eq(0));
    }
    let ready = receive(&mut replica, 1, 5, vote(3, 3));
    expect_that!(votes_granted(&ready.messages_after_persist), eq(1));
}

/// Makes a replica the leader of the next term by the votes of another.
fn elect(replica: &mut Replica) -> Ready {
    replica.tick(LATER);
    let term = replica.term();
    let granted = PreVoteReply { asked_term: term + 1, granted: true };
    let ready = receive(replica, 3, term, message_body::Body::PreVoteReply(granted));
    replica.persisted(ready.synced, LATER);
    let term = replica.term();
    receive(replica, 3, term, message_body::Body::VoteReply(VoteReply { granted: true }))
}

#[gtest]
fn a_candidates_own_vote_counts_only_once_it_is_synced() {
    let mut replica = with_log(2, &[1]);
    replica.take_ready();
    replica.tick(LATER);
    let granted = PreVoteReply { asked_term: 2, granted: true };
    receive(&mut replica, 3, 1, message_body::Body::PreVoteReply(granted));

    let vote = VoteReply { granted: true };
    receive(&mut replica, 3, 2, message_body::Body::VoteReply(vote));

    expect_that!(replica.role(), eq(Role::Candidate));
}

#[gtest]
fn an_entry_of_an_older_term_is_not_committed_by_counting() {
    let mut replica = with_log(2, &[1, 2]);
    replica.take_ready();
    let opened = elect(&mut replica);
    assert_that!(replica.role(), eq(Role::Leader));
    replica.persisted(Synced { last_term: 2, last_index: 2, ..opened.synced }, LATER);
    let term = replica.term();
    let matched = |index| {
        let outcome = Some(append_reply::Outcome::Matched(index));
        message_body::Body::AppendReply(AppendReply { round: 0, outcome })
    };

    receive(&mut replica, 3, term, matched(2));
    expect_that!(replica.commit(), eq(0));
    replica.persisted(opened.synced, LATER);
    receive(&mut replica, 3, term, matched(3));
    expect_that!(replica.commit(), eq(3));
}

#[gtest]
fn a_follower_commits_no_further_than_it_agrees_with_the_leader() {
    let mut replica = with_log(2, &[1, 2, 2]);
    replica.take_ready();
    let append = Append { prev_index: 1, prev_term: 1, entries: vec![], commit: 3, round: 1 };

    receive(&mut replica, 1, 4, message_body::Body::Append(append));

    expect_that!(replica.commit(), eq(1));
}

#[gtest]
fn members_change_one_voter_at_a_time_and_only_when_the_last_change_is_settled() {
    let mut replica = with_log(2, &[1]);
    replica.take_ready();
    elect(&mut replica);
    let change = |voters: &[u64]| {
        let member = |id: &u64| Member { id: *id, vm: format!("vm-{id}"), voter: true };
        Payload::Members(Membership { members: voters.iter().map(member).collect() })
    };
    let busy = Err(ProposeError::MembershipBusy);

    expect_that!(replica.propose(change(&[2, 3]), UnixMillis(0), LATER), eq(busy));
    let ready = replica.take_ready();
    replica.persisted(ready.synced, LATER);
    let outcome = Some(append_reply::Outcome::Matched(2));
    let reply = message_body::Body::AppendReply(AppendReply { round: 0, outcome });
    let term = replica.term();
    receive(&mut replica, 3, term, reply);
    expect_that!(replica.propose(change(&[2]), UnixMillis(0), LATER), eq(busy));
    expect_that!(replica.propose(change(&[2, 3]), UnixMillis(0), LATER), ok(anything()));
    expect_that!(replica.propose(change(&[2]), UnixMillis(0), LATER), eq(busy));
}
