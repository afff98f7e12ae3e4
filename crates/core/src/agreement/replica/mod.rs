//! One replica of the log: its state, and what it takes and hands out.

mod election;
mod follower;
mod hold_ups;
mod leader;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use self::{
    election::{PreCandidacy, PreVotes},
    hold_ups::HoldUps,
};
use super::{
    Outgoing, Ready, Restored, Synced, Timing,
    log::Log,
    message::{
        Entry, HardState, Membership, Message, Payload, ReplicaId, Snapshot, TimeoutNow,
        message_body::Body,
    },
    progress::Progress,
};
use crate::units::{Instant, UnixMillis};

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
    /// It leads its term, but does not hear a quorum; until it does it acts as if it did not lead.
    Suspended,
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
    /// Set while no quorum is heard.
    is_suspended: bool,
}

#[derive(Debug)]
enum State {
    Follower,
    PreCandidate(PreCandidacy),
    Candidate,
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
    heard_leader: Option<Instant>,
    election_due: Instant,
    hold_ups: HoldUps,
    state: State,
    /// Votes of the current term, if this replica has asked for them. They count until the term ends,
    /// also while it asks whether it could win the next one.
    votes: Option<BTreeSet<ReplicaId>>,
    pre_votes: PreVotes,
    /// Number of the last write that was handed out, and of the last one that is synced.
    last_write: u64,
    synced_write: u64,
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
            // What it heard before it stopped holds nothing up: no read relies on a lease, and a
            // leader that lives is heard by others, which refuse the pre-vote.
            heard_leader: None,
            election_due: now,
            hold_ups: HoldUps::new(timing.heartbeat, now),
            state: State::Follower,
            votes: None,
            pre_votes: PreVotes::default(),
            last_write: 0,
            synced_write: 0,
            rng: seed ^ id,
            ready: Ready::default(),
            snapshot: None,
        };
        replica.ready.install = restored.snapshot.clone();
        replica.snapshot = restored.snapshot;
        replica.reset_election(now);
        if !replica.is_empty() {
            replica.hasten_election(now);
        }
        replica
    }

    /// Writes the first entry of a new group, on one replica only for each term.
    pub fn bootstrap(&mut self, membership: Membership, term: u64, wall: UnixMillis) {
        assert!(self.is_empty(), "only an empty replica can found a group");
        // The entry keeps its term, whatever terms there were since: it says whose group is the later one.
        if self.hard_state.term < term {
            self.set_hard_state(HardState { term, voted_for: None });
        }
        let payload = Some(Payload::Members(membership));
        self.append(Entry { term, index: 1, at_ms: wall.0, payload });
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
        match &self.state {
            State::Follower => Role::Follower,
            State::PreCandidate(_) => Role::PreCandidate,
            State::Candidate => Role::Candidate,
            State::Leader(leadership) if leadership.is_suspended => Role::Suspended,
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

    /// For a leader: whether a replica answered for its log within this time.
    pub fn heard_within(&self, id: ReplicaId, time: Duration, now: Instant) -> bool {
        let State::Leader(leadership) = &self.state else { return false };
        id == self.id || leadership.peers.get(&id).is_some_and(|p| now.since(p.log_heard) < time)
    }

    /// Whether it leads and has committed an entry of its own term.
    pub fn is_established(&self) -> bool {
        matches!(&self.state, State::Leader(l) if !l.is_suspended && l.opened_at <= self.commit)
    }

    /// The next time at which [`Replica::tick`] has something to do.
    pub fn next_tick(&self) -> Instant {
        let due = match &self.state {
            State::Leader(leadership) => leadership.next_heartbeat,
            _ => self.election_due,
        };
        due.min(self.hold_ups.due())
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Instant) {
        self.discount_hold_up(now);
        if self.hold_ups.settle(now) {
            self.count_votes(now);
        }
        if matches!(self.state, State::Leader(_)) {
            self.tick_leader(now);
        } else if self.election_due <= now && !self.may_have_unread() {
            // A founder asks at once: nobody else of its group can be elected meanwhile.
            let is_founding = self.election_due == Instant::default();
            self.reset_election(now);
            if self.membership().is_voter(self.id) && (is_founding || !self.awaits_disk()) {
                self.pre_campaign(now);
            }
        }
    }

    /// Time in which this replica did not run is no silence of others: what they sent waits to be read.
    fn discount_hold_up(&mut self, now: Instant) {
        let held_up = self.hold_ups.note(now);
        if held_up.is_zero() {
            return;
        }
        self.heard_leader = self.heard_leader.map(|at| at.after(held_up));
        if self.election_due != Instant::default() {
            self.election_due = self.election_due.after(held_up);
        }
        if let State::Leader(leadership) = &mut self.state {
            for progress in leadership.peers.values_mut() {
                progress.heard = progress.heard.after(held_up);
                progress.log_heard = progress.log_heard.after(held_up);
            }
        }
    }

    /// Whether others have sent something during the last hold-up that is not read yet.
    fn may_have_unread(&self) -> bool {
        self.hold_ups.is_settling() && self.membership().voters().any(|id| id != self.id)
    }

    /// Whether a write is not synced yet. Its votes would wait for it as well.
    fn awaits_disk(&self) -> bool {
        self.synced_write < self.last_write || !self.ready.persist.is_empty()
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
        if leadership.is_suspended {
            return Err(ProposeError::NotLeader(None));
        }
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

    /// Notes that the writes of a [`Ready`] and of all before it are synced.
    pub fn persisted(&mut self, synced: Synced, now: Instant) {
        self.discount_hold_up(now);
        let is_later = self.synced_write < synced.write;
        self.synced_write = self.synced_write.max(synced.write);
        if is_later && !self.awaits_disk() && !matches!(self.state, State::Leader(_)) {
            // The time that the disk took was no silence of others.
            self.reset_election(now);
        }
        if let Some(votes) = &mut self.votes
            && synced.term == self.hard_state.term
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
        self.discount_hold_up(now);
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
        if !self.ready.persist.is_empty() {
            self.last_write += 1;
        }
        self.ready.synced = Synced {
            write: self.last_write,
            term: self.hard_state.term,
            last_term: self.log.last_term(),
            last_index: self.log.last_index(),
        };
        std::mem::take(&mut self.ready)
    }

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
