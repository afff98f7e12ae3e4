//! Elections: who may lead, and who votes for whom.

use std::{collections::BTreeSet, time::Duration};

use super::{
    super::message::{
        AppendReply, Entry, HardState, Noop, Payload, PreVote, PreVoteReply, ReplicaId, Vote,
        VoteReply, append_reply::Outcome, message_body::Body,
    },
    Leadership, Replica, State,
};
use crate::units::Instant;

#[derive(Debug)]
pub(super) struct PreCandidacy {
    /// Whether it has not asked before since it last followed.
    is_first: bool,
}

/// The pre-votes that were granted for a term and a log. They hold until one of these changes or a leader is
/// heard, however often they are asked for.
#[derive(Debug, Default)]
pub(super) struct PreVotes {
    term: u64,
    last_index: u64,
    last_term: u64,
    from: BTreeSet<ReplicaId>,
}

impl Replica {
    pub(super) fn hears_leader(&self, now: Instant) -> bool {
        match self.state {
            State::Leader(Leadership { is_suspended, .. }) => !is_suspended,
            _ => self.heard_leader.is_some_and(|at| now.since(at) < self.timing.election),
        }
    }

    pub(super) fn pre_campaign(&mut self, now: Instant) {
        self.leader = None;
        let is_first = !matches!(self.state, State::PreCandidate(_));
        let vote = PreVote { last_index: self.log.last_index(), last_term: self.log.last_term() };
        let term = self.hard_state.term + 1;
        self.state = State::PreCandidate(PreCandidacy { is_first });
        let own = self.id;
        self.current_pre_votes().from.insert(own);
        for voter in self.other_voters() {
            self.send_in_term(voter, term, Body::PreVote(vote));
        }
        self.count_votes(now);
    }

    pub(super) fn campaign(&mut self, hand_over: bool, now: Instant) {
        let term = self.hard_state.term + 1;
        // What it says of its log must hold after a crash; its own vote is counted once it is synced.
        let is_log_synced = !self.awaits_disk();
        self.leader = None;
        self.set_hard_state(HardState { term, voted_for: Some(self.id) });
        self.state = State::Candidate;
        self.votes = Some(BTreeSet::new());
        self.reset_election(now);
        let vote =
            Vote { last_index: self.log.last_index(), last_term: self.log.last_term(), hand_over };
        for voter in self.other_voters() {
            if is_log_synced {
                self.send(voter, Body::Vote(vote));
            } else {
                self.send_after_persist(voter, Body::Vote(vote));
            }
        }
    }

    pub(super) fn on_pre_vote(&mut self, from: ReplicaId, term: u64, vote: PreVote, now: Instant) {
        if self.leader == Some(from) {
            // It would not ask if it still led.
            self.heard_leader = None;
        }
        // The votes of a candidate are on their way.
        let stands = matches!(self.state, State::Candidate);
        let granted = self.hard_state.term < term
            && !stands
            && !self.hears_leader(now)
            && !self.awaits_disk()
            && self.log.is_covered_by(vote.last_term, vote.last_index)
            && !self.outranks(from, vote);
        if granted {
            // Two candidates of a term split its votes.
            if matches!(self.state, State::PreCandidate(_)) {
                self.state = State::Follower;
            }
            self.reset_election(now);
        }
        let reply = PreVoteReply { asked_term: term, granted };
        self.send(from, Body::PreVoteReply(reply));
    }

    /// Whether it asks for pre-votes itself and goes on rather than let another replica stand. It refuses only
    /// the first time, since the others may not reach it.
    fn outranks(&self, other: ReplicaId, vote: PreVote) -> bool {
        let State::PreCandidate(PreCandidacy { is_first: true, .. }) = &self.state else {
            return false;
        };
        let has_same_log =
            (vote.last_term, vote.last_index) == (self.log.last_term(), self.log.last_index());
        has_same_log && other < self.id
    }

    pub(super) fn on_pre_vote_reply(&mut self, from: ReplicaId, reply: PreVoteReply, now: Instant) {
        let asked = self.hard_state.term + 1;
        if reply.asked_term != asked {
            return;
        }
        if reply.granted {
            self.current_pre_votes().from.insert(from);
            self.count_votes(now);
        } else {
            // What it granted before no longer holds: it hears a leader, or its log has grown.
            self.current_pre_votes().from.remove(&from);
        }
    }

    /// The pre-votes for the next term with the present log.
    fn current_pre_votes(&mut self) -> &mut PreVotes {
        let term = self.hard_state.term + 1;
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let votes = &mut self.pre_votes;
        if (votes.term, votes.last_index, votes.last_term) != (term, last_index, last_term) {
            *votes = PreVotes { term, last_index, last_term, from: BTreeSet::new() };
        }
        votes
    }

    pub(super) fn on_vote(&mut self, from: ReplicaId, vote: Vote, now: Instant) {
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

    pub(super) fn on_vote_reply(&mut self, from: ReplicaId, reply: VoteReply, now: Instant) {
        if let Some(votes) = &mut self.votes
            && reply.granted
        {
            votes.insert(from);
            self.count_votes(now);
        }
    }

    pub(super) fn count_votes(&mut self, now: Instant) {
        let membership = self.log.membership();
        let is_quorum = |votes: &BTreeSet<ReplicaId>| {
            membership.quorum() <= membership.voters().filter(|id| votes.contains(id)).count()
        };
        // Without its own vote a candidate could vote for another one of this term after a crash.
        let has_own_vote = |votes: &BTreeSet<ReplicaId>| votes.contains(&self.id);
        if self.votes.as_ref().is_some_and(|votes| has_own_vote(votes) && is_quorum(votes)) {
            self.lead(now);
        } else if matches!(self.state, State::PreCandidate(_))
            && is_quorum(&self.pre_votes.from)
            && !self.may_have_unread()
        {
            self.campaign(false, now);
        }
    }

    pub(super) fn lead(&mut self, now: Instant) {
        self.leader = Some(self.id);
        self.votes = None;
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

    pub(super) fn become_follower(&mut self, term: u64, leader: Option<ReplicaId>, now: Instant) {
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
        self.votes = None;
        self.reset_election(now);
    }

    pub(super) fn reset_election(&mut self, now: Instant) {
        let election = self.timing.election;
        let spread = self.random_below(election);
        self.election_due = now.after(election + spread);
    }

    /// A replica that has just started looks for a leader sooner: one that lives is heard
    /// within a heartbeat, and after a failure of all there is none to wait for.
    pub(super) fn hasten_election(&mut self, now: Instant) {
        let heartbeat = self.timing.heartbeat;
        let spread = self.random_below(heartbeat * 2);
        self.election_due = now.after(heartbeat + spread);
    }

    fn random_below(&mut self, below: Duration) -> Duration {
        // splitmix64
        self.rng = self.rng.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.rng;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        let below = below.as_micros() as u64;
        Duration::from_micros((z ^ (z >> 31)) % below.max(1))
    }

    /// A sender of an old term learns of the newer one, so that it steps down.
    pub(super) fn answer_old_term(&mut self, from: ReplicaId, body: &Body) {
        if matches!(body, Body::Append(_) | Body::Snapshot(_)) {
            let outcome = Some(Outcome::Rejected(self.log.last_index()));
            self.send_after_persist(from, Body::AppendReply(AppendReply { round: 0, outcome }));
        }
    }
}
