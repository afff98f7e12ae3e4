//! Replication, as a follower.

use super::{
    super::message::{
        Append, AppendReply, ReplicaId, Snapshot, append_reply::Outcome, message_body::Body,
    },
    Replica, State,
    election::PreVotes,
};
use crate::units::Instant;

impl Replica {
    pub(super) fn follow(&mut self, leader: ReplicaId, now: Instant) {
        self.pre_votes = PreVotes::default();
        if !matches!(self.state, State::Follower) {
            self.become_follower(self.hard_state.term, Some(leader), now);
        }
        self.leader = Some(leader);
        self.heard_leader = Some(now);
        self.reset_election(now);
        self.election_due = self.election_due.after(self.hold_ups.patience(now));
    }

    /// Takes entries of a leader that hears no quorum: that is no reason to put an election off.
    fn obey(&mut self, leader: ReplicaId, now: Instant) {
        if matches!(self.state, State::Candidate) {
            self.become_follower(self.hard_state.term, Some(leader), now);
        }
    }

    pub(super) fn on_append(&mut self, from: ReplicaId, append: Append, now: Instant) {
        if append.suspended {
            self.obey(from, now);
        } else {
            self.follow(from, now);
        }
        let round = append.round;
        let outcome = self.take_entries(append);
        if self.awaits_disk() {
            // It follows this leader whether or not its disk is in time.
            self.send(from, Body::AppendReply(AppendReply { round, outcome: None }));
        }
        let reply = AppendReply { round, outcome: Some(outcome) };
        self.send_after_persist(from, Body::AppendReply(reply));
    }

    pub(super) fn take_entries(&mut self, append: Append) -> Outcome {
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

    pub(super) fn on_snapshot(&mut self, from: ReplicaId, snapshot: Snapshot, now: Instant) {
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
}
