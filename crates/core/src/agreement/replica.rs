//! One replica of the log.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    ConfirmedRead, Outgoing, Persist, Ready, Restored, Synced, Timing,
    log::Log,
    message::{
        Append, AppendReply, Entry, HardState, Membership, Message, Noop, Payload, PreVote,
        PreVoteReply, ReplicaId, Snapshot, TimeoutNow, Vote, VoteReply, append_reply::Outcome,
        message_body::Body,
    },
    progress::{Progress, quorum_value},
};
use crate::units::{Instant, UnixMillis};

/// Most entries in one message.
const MAX_BATCH: usize = 512;
/// A snapshot is not sent again before this time.
const SNAPSHOT_PAUSE: Duration = Duration::from_secs(2);

/// What a replica is at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It follows, or looks for, a leader.
    Follower,
    /// It asks whether it could win an election.
    PreCandidate,
    /// It asks for votes.
    Candidate,
    /// It leads.
    Leader,
}

/// Why a proposal was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposeError {
    /// Another replica leads, if known.
    NotLeader(Option<ReplicaId>),
    /// Leadership is being handed over.
    HandingOver,
    /// An earlier membership change is not yet committed, or this changes more than one voter.
    MembershipBusy,
}

#[derive(Debug)]
struct PendingRead {
    token: u64,
    round: u64,
    index: u64,
}

#[derive(Debug)]
struct HandOver {
    to: ReplicaId,
    until: Instant,
}

#[derive(Debug, Default)]
struct Leadership {
    peers: BTreeMap<ReplicaId, Progress>,
    /// Last index that this replica itself has synced.
    synced: u64,
    /// Index of the entry that opened the term.
    opened_at: u64,
    round: u64,
    reads: Vec<PendingRead>,
    hand_over: Option<HandOver>,
    next_heartbeat: Instant,
}

#[derive(Debug)]
enum State {
    Follower,
    PreCandidate(BTreeSet<ReplicaId>),
    Candidate(BTreeSet<ReplicaId>),
    Leader(Leadership),
}

/// One replica.
#[derive(Debug)]
pub struct Replica {
    id: ReplicaId,
    timing: Timing,
    hard_state: HardState,
    log: Log,
    snapshot: Option<Snapshot>,
    commit: u64,
    /// Last index handed out in [`Ready::committed`].
    handed_out: u64,
    leader: Option<ReplicaId>,
    /// When a leader was last heard; votes are refused for some time after.
    heard_leader: Instant,
    election_due: Instant,
    state: State,
    rng: u64,
    ready: Ready,
}

impl Replica {
    /// A replica that starts from what its disk holds. `seed` spreads election times.
    pub fn new(
        id: ReplicaId,
        timing: Timing,
        seed: u64,
        restored: Restored,
        now: Instant,
    ) -> Replica {
        let base = restored.snapshot.as_ref().map_or(0, |s| s.index);
        let mut replica = Replica {
            id,
            timing,
            hard_state: restored.hard_state,
            log: Log::restore(restored.snapshot.as_ref(), restored.entries),
            commit: base,
            handed_out: base,
            leader: None,
            // It may have heard a leader just before it stopped.
            heard_leader: now,
            election_due: now,
            state: State::Follower,
            rng: seed ^ id,
            ready: Ready::default(),
            snapshot: None,
        };
        replica.ready.install = restored.snapshot.clone();
        replica.snapshot = restored.snapshot;
        replica.reset_election(now);
        replica
    }

    /// Writes the first entry of a new group, on one replica only.
    pub fn bootstrap(&mut self, membership: Membership, wall: UnixMillis) {
        assert!(self.is_empty(), "only an empty replica can found a group");
        self.set_hard_state(HardState { term: 1, voted_for: None });
        let payload = Some(Payload::Members(membership));
        self.append(Entry { term: 1, index: 1, at_ms: wall.0, payload });
        self.election_due = Instant::default();
    }

    /// Whether it has neither log nor snapshot.
    pub fn is_empty(&self) -> bool {
        self.log.last_index() == 0
    }

    /// Its id.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Its role.
    pub fn role(&self) -> Role {
        match self.state {
            State::Follower => Role::Follower,
            State::PreCandidate(_) => Role::PreCandidate,
            State::Candidate(_) => Role::Candidate,
            State::Leader(_) => Role::Leader,
        }
    }

    /// Its term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// The leader that it follows, itself included.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Index up to which entries are committed.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Its log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The latest membership, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Whether the latest membership is committed.
    pub fn membership_settled(&self) -> bool {
        self.log.membership_index() <= self.commit
    }

    /// For a leader: whether a replica has synced all but the last `slack` entries.
    pub fn is_caught_up(&self, id: ReplicaId, slack: u64) -> bool {
        let State::Leader(leadership) = &self.state else { return false };
        let matched = leadership.peers.get(&id).map_or(0, |p| p.matched);
        self.log.last_index() <= matched + slack
    }

    /// For a leader: whether a replica answered within this time.
    pub fn heard_within(&self, id: ReplicaId, time: Duration, now: Instant) -> bool {
        let State::Leader(leadership) = &self.state else { return false };
        id == self.id || leadership.peers.get(&id).is_some_and(|p| now.since(p.heard) < time)
    }

    /// Whether it leads and has committed an entry of its own term.
    pub fn is_established(&self) -> bool {
        matches!(&self.state, State::Leader(l) if l.opened_at <= self.commit)
    }

    /// The next time at which [`Replica::tick`] has something to do.
    pub fn next_tick(&self) -> Instant {
        match &self.state {
            State::Leader(leadership) => leadership.next_heartbeat,
            _ => self.election_due,
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Instant) {
        if matches!(self.state, State::Leader(_)) {
            self.tick_leader(now);
        } else if self.election_due <= now {
            self.reset_election(now);
            if self.membership().is_voter(self.id) {
                self.pre_campaign(now);
            }
        }
    }

    /// Appends a payload to the log; it counts once it is in [`Ready::committed`].
    pub fn propose(
        &mut self,
        payload: Payload,
        wall: UnixMillis,
        now: Instant,
    ) -> Result<u64, ProposeError> {
        let State::Leader(leadership) = &self.state else {
            return Err(ProposeError::NotLeader(self.leader));
        };
        if leadership.hand_over.is_some() {
            return Err(ProposeError::HandingOver);
        }
        if let Payload::Members(membership) = &payload {
            let settled = self.membership_settled() && self.is_established();
            if !settled || 1 < self.membership().voters_changed(membership) {
                return Err(ProposeError::MembershipBusy);
            }
        }
        let index = self.log.last_index() + 1;
        let at_ms = wall.0.max(self.log.last_at_ms());
        let term = self.hard_state.term;
        self.append(Entry { term, index, at_ms, payload: Some(payload) });
        self.refresh_peers(now);
        self.send_to_all(now);
        Ok(index)
    }

    /// Asks for a confirmation that this replica leads now. The token comes back
    /// in [`Ready::reads`] or [`Ready::failed_reads`].
    pub fn read(&mut self, token: u64, now: Instant) {
        if !self.is_established() {
            self.ready.failed_reads.push(token);
            return;
        }
        let index = self.commit;
        let State::Leader(leadership) = &mut self.state else { return };
        let in_flight = !leadership.reads.is_empty();
        // A round already on its way started before this read and proves nothing for it.
        let round = leadership.round + 1;
        leadership.reads.push(PendingRead { token, round, index });
        if !in_flight {
            self.start_round(now);
        }
        self.confirm_reads(now);
    }

    /// Hands leadership to another voter; the current one steps down when that one starts
    /// its election. Given up after an election time.
    pub fn hand_over(&mut self, now: Instant) {
        let membership = self.membership().clone();
        let until = now.after(self.timing.election * 2);
        let State::Leader(leadership) = &mut self.state else { return };
        let voters = membership.voters().filter(|id| *id != self.id);
        let best = voters.max_by_key(|id| leadership.peers.get(id).map_or(0, |p| p.matched));
        let Some(to) = best else { return };
        leadership.hand_over = Some(HandOver { to, until });
        self.advance_hand_over();
    }

    /// Notes that the writes of a [`Ready`] and of all before it are synced.
    pub fn persisted(&mut self, synced: Synced, now: Instant) {
        let term = self.hard_state.term;
        if let State::Candidate(votes) = &mut self.state
            && synced.term == term
        {
            // Its own vote counts only now: a crash must not give it away twice.
            votes.insert(self.id);
            return self.count_votes(now);
        }
        if self.log.term_at(synced.last_index) != Some(synced.last_term) {
            return;
        }
        if let State::Leader(leadership) = &mut self.state {
            leadership.synced = leadership.synced.max(synced.last_index);
            self.advance_commit(now);
        }
    }

    /// Forgets the log up to an applied index that this snapshot covers, and hands the
    /// snapshot out to be written.
    pub fn compact(&mut self, index: u64, data: bytes::Bytes) {
        let Some(term) = self.log.term_at(index) else { return };
        if self.handed_out < index || index <= self.log.base_index() {
            return;
        }
        let at_ms = self.log.get(index).map_or(0, |entry| entry.at_ms);
        let membership = self.log.membership_at(index).clone();
        self.log.compact(index);
        let snapshot = Snapshot { index, term, at_ms, membership, data };
        self.snapshot = Some(snapshot.clone());
        self.ready.persist.snapshot = Some(snapshot);
        // The writer replaces its whole log, so the entries after the snapshot follow again.
        self.ready.persist.entries = self.log.from(index + 1, usize::MAX);
        self.ready.persist.hard_state = Some(self.hard_state);
    }

    /// Takes a message. One that is meant for another incarnation is ignored.
    pub fn receive(&mut self, message: Message, now: Instant) {
        let Message { from, to, term, body: Some(body) } = message else { return };
        if to != self.id {
            return;
        }
        if let Body::PreVote(vote) = body {
            return self.on_pre_vote(from, term, vote, now);
        }
        if let Body::PreVoteReply(reply) = body
            && term <= self.hard_state.term
        {
            // The voter has not moved to the term that was asked for.
            return self.on_pre_vote_reply(from, reply, now);
        }
        if let Body::Vote(vote) = &body {
            // A replica that hears its leader does not let an election disturb it.
            if !vote.hand_over && self.hears_leader(now) && self.hard_state.term < term {
                return;
            }
        }
        if self.hard_state.term < term {
            let leads = matches!(body, Body::Append(_) | Body::Snapshot(_));
            self.become_follower(term, leads.then_some(from), now);
        }
        if term < self.hard_state.term {
            return self.answer_old_term(from, &body);
        }
        match body {
            Body::PreVote(_) | Body::PreVoteReply(_) => {}
            Body::Vote(vote) => self.on_vote(from, vote, now),
            Body::VoteReply(reply) => self.on_vote_reply(from, reply, now),
            Body::Append(append) => self.on_append(from, append, now),
            Body::AppendReply(reply) => self.on_append_reply(from, reply, now),
            Body::Snapshot(snapshot) => self.on_snapshot(from, snapshot, now),
            Body::TimeoutNow(TimeoutNow {}) => {
                if self.membership().is_voter(self.id) {
                    self.campaign(true, now);
                }
            }
        }
    }

    /// Hands out the work that has come up.
    pub fn take_ready(&mut self) -> Ready {
        while self.handed_out < self.commit {
            let Some(entry) = self.log.get(self.handed_out + 1) else { break };
            self.ready.committed.push(entry.clone());
            self.handed_out += 1;
        }
        self.ready.synced = Synced {
            term: self.hard_state.term,
            last_term: self.log.last_term(),
            last_index: self.log.last_index(),
        };
        std::mem::take(&mut self.ready)
    }

    // Elections.

    fn hears_leader(&self, now: Instant) -> bool {
        match self.state {
            State::Leader(_) => true,
            _ => now.since(self.heard_leader) < self.timing.election,
        }
    }

    fn pre_campaign(&mut self, now: Instant) {
        self.leader = None;
        let vote = PreVote { last_index: self.log.last_index(), last_term: self.log.last_term() };
        let term = self.hard_state.term + 1;
        self.state = State::PreCandidate(BTreeSet::from([self.id]));
        for voter in self.other_voters() {
            self.send_in_term(voter, term, Body::PreVote(vote));
        }
        self.count_votes(now);
    }

    fn campaign(&mut self, hand_over: bool, now: Instant) {
        let term = self.hard_state.term + 1;
        self.leader = None;
        self.set_hard_state(HardState { term, voted_for: Some(self.id) });
        self.state = State::Candidate(BTreeSet::new());
        self.reset_election(now);
        let vote =
            Vote { last_index: self.log.last_index(), last_term: self.log.last_term(), hand_over };
        for voter in self.other_voters() {
            self.send_after_persist(voter, Body::Vote(vote));
        }
    }

    fn on_pre_vote(&mut self, from: ReplicaId, term: u64, vote: PreVote, now: Instant) {
        let granted = self.hard_state.term < term
            && !self.hears_leader(now)
            && self.log.is_covered_by(vote.last_term, vote.last_index);
        let reply = PreVoteReply { asked_term: term, granted };
        self.send(from, Body::PreVoteReply(reply));
    }

    fn on_pre_vote_reply(&mut self, from: ReplicaId, reply: PreVoteReply, now: Instant) {
        let asked = self.hard_state.term + 1;
        if let State::PreCandidate(votes) = &mut self.state
            && reply.granted
            && reply.asked_term == asked
        {
            votes.insert(from);
            self.count_votes(now);
        }
    }

    fn on_vote(&mut self, from: ReplicaId, vote: Vote, now: Instant) {
        let free = self.hard_state.voted_for.is_none_or(|voted| voted == from);
        let follows = matches!(self.state, State::Follower);
        let covered = self.log.is_covered_by(vote.last_term, vote.last_index);
        let granted = free && follows && self.leader.is_none() && covered;
        if granted {
            self.set_hard_state(HardState { voted_for: Some(from), ..self.hard_state });
            self.reset_election(now);
        }
        self.send_after_persist(from, Body::VoteReply(VoteReply { granted }));
    }

    fn on_vote_reply(&mut self, from: ReplicaId, reply: VoteReply, now: Instant) {
        if let State::Candidate(votes) = &mut self.state
            && reply.granted
        {
            votes.insert(from);
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: Instant) {
        let (votes, pre) = match &self.state {
            State::PreCandidate(votes) => (votes, true),
            State::Candidate(votes) => (votes, false),
            State::Follower | State::Leader(_) => return,
        };
        let membership = self.log.membership();
        let count = membership.voters().filter(|id| votes.contains(id)).count();
        if count < membership.quorum() {
            return;
        }
        if pre { self.campaign(false, now) } else { self.lead(now) }
    }

    fn lead(&mut self, now: Instant) {
        self.leader = Some(self.id);
        let index = self.log.last_index() + 1;
        self.state = State::Leader(Leadership {
            opened_at: index,
            next_heartbeat: now.after(self.timing.heartbeat),
            ..Leadership::default()
        });
        let term = self.hard_state.term;
        let at_ms = self.log.last_at_ms();
        self.append(Entry { term, index, at_ms, payload: Some(Payload::Noop(Noop {})) });
        self.refresh_peers(now);
        self.start_round(now);
    }

    fn become_follower(&mut self, term: u64, leader: Option<ReplicaId>, now: Instant) {
        if self.hard_state.term < term {
            self.set_hard_state(HardState { term, voted_for: None });
            self.leader = None;
        }
        if let State::Leader(leadership) = &mut self.state {
            let reads = std::mem::take(&mut leadership.reads);
            self.ready.failed_reads.extend(reads.iter().map(|read| read.token));
            self.leader = None;
        }
        if leader.is_some() {
            self.leader = leader;
        }
        self.state = State::Follower;
        self.reset_election(now);
    }

    fn reset_election(&mut self, now: Instant) {
        // splitmix64
        self.rng = self.rng.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.rng;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        let election = self.timing.election.as_micros() as u64;
        let spread = (z ^ (z >> 31)) % election.max(1);
        self.election_due = now.after(Duration::from_micros(election + spread));
    }

    /// A sender of an old term learns of the newer one, so that it steps down.
    fn answer_old_term(&mut self, from: ReplicaId, body: &Body) {
        if matches!(body, Body::Append(_) | Body::Snapshot(_)) {
            let outcome = Some(Outcome::Rejected(self.log.last_index()));
            self.send_after_persist(from, Body::AppendReply(AppendReply { round: 0, outcome }));
        }
    }

    // Replication, as a follower.

    fn follow(&mut self, leader: ReplicaId, now: Instant) {
        if !matches!(self.state, State::Follower) {
            self.become_follower(self.hard_state.term, Some(leader), now);
        }
        self.leader = Some(leader);
        self.heard_leader = now;
        self.reset_election(now);
    }

    fn on_append(&mut self, from: ReplicaId, append: Append, now: Instant) {
        self.follow(from, now);
        let round = append.round;
        let outcome = self.take_entries(append);
        let reply = AppendReply { round, outcome: Some(outcome) };
        self.send_after_persist(from, Body::AppendReply(reply));
    }

    fn take_entries(&mut self, append: Append) -> Outcome {
        let Append { prev_index, prev_term, entries, commit, .. } = append;
        let covered = prev_index < self.log.base_index();
        if !covered && self.log.term_at(prev_index) != Some(prev_term) {
            let hint = self.log.last_index().min(prev_index.saturating_sub(1));
            return Outcome::Rejected(hint);
        }
        let mut matched = prev_index + entries.len() as u64;
        for entry in entries {
            if entry.index <= self.log.base_index() {
                continue;
            }
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => {}
                Some(_) => {
                    assert!(self.commit < entry.index, "a committed entry is never replaced");
                    self.log.truncate_from(entry.index);
                    self.append(entry);
                }
                None => self.append(entry),
            }
        }
        if covered {
            matched = matched.max(self.log.base_index());
        }
        self.commit = self.commit.max(commit.min(matched));
        Outcome::Matched(matched)
    }

    fn on_snapshot(&mut self, from: ReplicaId, snapshot: Snapshot, now: Instant) {
        self.follow(from, now);
        let index = snapshot.index;
        if self.commit < index {
            if self.log.term_at(index) == Some(snapshot.term) {
                // The log already has it; what follows is kept.
                self.commit = index;
            } else {
                self.log.reset(&snapshot);
                self.commit = index;
                self.handed_out = index;
                self.ready.committed.clear();
                self.ready.persist.entries.clear();
                self.ready.persist.snapshot = Some(snapshot.clone());
                self.ready.persist.hard_state = Some(self.hard_state);
                self.ready.install = Some(snapshot.clone());
                self.snapshot = Some(snapshot);
            }
        }
        let outcome = Some(Outcome::Matched(index));
        self.send_after_persist(from, Body::AppendReply(AppendReply { round: 0, outcome }));
    }

    // Replication, as the leader.

    fn tick_leader(&mut self, now: Instant) {
        if !self.quorum_heard(now) {
            return self.become_follower(self.hard_state.term, None, now);
        }
        let State::Leader(leadership) = &mut self.state else { return };
        if leadership.hand_over.as_ref().is_some_and(|h| h.until <= now) {
            leadership.hand_over = None;
        }
        if leadership.next_heartbeat <= now {
            self.start_round(now);
        }
    }

    fn quorum_heard(&self, now: Instant) -> bool {
        let State::Leader(leadership) = &self.state else { return false };
        let membership = self.log.membership();
        let heard = |id: &ReplicaId| {
            *id == self.id
                || leadership
                    .peers
                    .get(id)
                    .is_some_and(|p| now.since(p.heard) < self.timing.election)
        };
        membership.quorum() <= membership.voters().filter(heard).count()
    }

    fn refresh_peers(&mut self, now: Instant) {
        let members: Vec<ReplicaId> = self
            .log
            .membership()
            .members
            .iter()
            .map(|m| m.id)
            .filter(|id| *id != self.id)
            .collect();
        let next = self.log.last_index();
        let State::Leader(leadership) = &mut self.state else { return };
        leadership.peers.retain(|id, _| members.contains(id));
        for id in members {
            leadership.peers.entry(id).or_insert_with(|| Progress::new(next.max(1), now));
        }
    }

    fn start_round(&mut self, now: Instant) {
        let heartbeat = self.timing.heartbeat;
        let State::Leader(leadership) = &mut self.state else { return };
        leadership.round += 1;
        leadership.next_heartbeat = now.after(heartbeat);
        let peers: Vec<ReplicaId> = leadership.peers.keys().copied().collect();
        for peer in peers {
            self.send_entries(peer, true, now);
        }
        self.advance_commit(now);
        self.confirm_reads(now);
    }

    fn send_to_all(&mut self, now: Instant) {
        let State::Leader(leadership) = &self.state else { return };
        let peers: Vec<ReplicaId> = leadership.peers.keys().copied().collect();
        for peer in peers {
            self.send_entries(peer, false, now);
        }
        self.advance_commit(now);
    }

    /// Sends what the peer lacks; a heartbeat is sent even when it lacks nothing.
    fn send_entries(&mut self, peer: ReplicaId, heartbeat: bool, now: Instant) {
        let State::Leader(leadership) = &mut self.state else { return };
        let round = leadership.round;
        let Some(progress) = leadership.peers.get_mut(&peer) else { return };
        let mut prev_index = progress.next - 1;
        let mut prev_term = self.log.term_at(prev_index);
        if prev_term.is_none() {
            if progress.snapshot_until <= now
                && let Some(snapshot) = self.snapshot.clone()
            {
                progress.snapshot_until = now.after(SNAPSHOT_PAUSE);
                progress.next = snapshot.index + 1;
                self.send(peer, Body::Snapshot(snapshot));
                return;
            }
            // Until the snapshot has arrived, heartbeats keep the peer from an election.
            prev_index = self.log.base_index();
            prev_term = self.log.term_at(prev_index);
        }
        let entries = self.log.from(prev_index + 1, MAX_BATCH);
        if entries.is_empty() && !heartbeat {
            return;
        }
        progress.next = prev_index + 1 + entries.len() as u64;
        let prev_term = prev_term.unwrap_or(0);
        let commit = self.commit;
        let append = Append { prev_index, prev_term, entries, commit, round };
        self.send(peer, Body::Append(append));
    }

    fn on_append_reply(&mut self, from: ReplicaId, reply: AppendReply, now: Instant) {
        let last = self.log.last_index();
        let State::Leader(leadership) = &mut self.state else { return };
        let Some(progress) = leadership.peers.get_mut(&from) else { return };
        progress.heard = now;
        progress.round = progress.round.max(reply.round);
        match reply.outcome {
            Some(Outcome::Matched(index)) => {
                progress.matched = progress.matched.max(index);
                progress.next = progress.next.max(index + 1);
                let behind = progress.next <= last;
                if behind {
                    self.send_entries(from, false, now);
                }
            }
            Some(Outcome::Rejected(hint)) => {
                progress.next = (hint + 1).max(progress.matched + 1);
                let snapshot_on_its_way =
                    now < progress.snapshot_until && self.log.term_at(progress.next - 1).is_none();
                if !snapshot_on_its_way {
                    self.send_entries(from, true, now);
                }
            }
            None => {}
        }
        self.advance_commit(now);
        self.confirm_reads(now);
        self.advance_hand_over();
    }

    fn advance_commit(&mut self, now: Instant) {
        let State::Leader(leadership) = &self.state else { return };
        let membership = self.log.membership();
        let synced = |id: ReplicaId| {
            if id == self.id {
                leadership.synced
            } else {
                leadership.peers.get(&id).map_or(0, |p| p.matched)
            }
        };
        let index = quorum_value(membership.voters().map(synced).collect(), membership.quorum());
        // Only an entry of the own term proves that earlier ones are committed too.
        if index <= self.commit || self.log.term_at(index) != Some(self.hard_state.term) {
            return;
        }
        self.commit = index;
        let removed = self.membership_settled() && !self.membership().is_voter(self.id);
        if removed {
            return self.become_follower(self.hard_state.term, None, now);
        }
        // Followers learn of the commit at once rather than at the next heartbeat.
        let State::Leader(leadership) = &self.state else { return };
        let peers: Vec<ReplicaId> = leadership.peers.keys().copied().collect();
        for peer in peers {
            self.send_entries(peer, true, now);
        }
    }

    fn confirm_reads(&mut self, now: Instant) {
        let State::Leader(leadership) = &mut self.state else { return };
        let membership = self.log.membership();
        let answered = |id: ReplicaId| {
            if id == self.id {
                leadership.round
            } else {
                leadership.peers.get(&id).map_or(0, |p| p.round)
            }
        };
        let round = quorum_value(membership.voters().map(answered).collect(), membership.quorum());
        let mut waiting = Vec::new();
        for read in std::mem::take(&mut leadership.reads) {
            if read.round <= round {
                self.ready.reads.push(ConfirmedRead { token: read.token, index: read.index });
            } else {
                waiting.push(read);
            }
        }
        let next_round = waiting.first().is_some_and(|read| leadership.round < read.round);
        leadership.reads = waiting;
        if next_round {
            self.start_round(now);
        }
    }

    fn advance_hand_over(&mut self) {
        let last = self.log.last_index();
        let State::Leader(leadership) = &self.state else { return };
        let Some(hand_over) = &leadership.hand_over else { return };
        let to = hand_over.to;
        if leadership.peers.get(&to).is_some_and(|p| p.matched == last) {
            self.send(to, Body::TimeoutNow(TimeoutNow {}));
        }
    }

    // Small helpers.

    fn append(&mut self, entry: Entry) {
        let entries = &mut self.ready.persist.entries;
        // An entry replaced before it was handed out is not written at all.
        entries.retain(|other| other.index < entry.index);
        entries.push(entry.clone());
        self.log.append(entry);
    }

    fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state;
        self.ready.persist.hard_state = Some(hard_state);
    }

    fn other_voters(&self) -> Vec<ReplicaId> {
        self.membership().voters().filter(|id| *id != self.id).collect()
    }

    fn send(&mut self, to: ReplicaId, body: Body) {
        self.send_in_term(to, self.hard_state.term, body);
    }

    fn send_in_term(&mut self, to: ReplicaId, term: u64, body: Body) {
        let message = Message { from: self.id, to, term, body: Some(body) };
        self.ready.messages.push(Outgoing { to, message });
    }

    fn send_after_persist(&mut self, to: ReplicaId, body: Body) {
        let message = Message { from: self.id, to, term: self.hard_state.term, body: Some(body) };
        self.ready.messages_after_persist.push(Outgoing { to, message });
    }
}

impl Persist {
    /// Adds later writes behind these.
    pub fn extend(&mut self, later: Persist) {
        if later.snapshot.is_some() {
            *self = later;
            return;
        }
        if later.hard_state.is_some() {
            self.hard_state = later.hard_state;
        }
        if let Some(first) = later.entries.first() {
            self.entries.retain(|entry| entry.index < first.index);
        }
        self.entries.extend(later.entries);
    }
}
