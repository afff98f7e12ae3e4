//! Replication, confirmed reads and hand-over, as the leader.

use std::time::Duration;

use super::{
    super::{
        ConfirmedRead,
        message::{
            Append, AppendReply, ReplicaId, TimeoutNow, append_reply::Outcome, message_body::Body,
        },
        progress::{Progress, quorum_value},
    },
    HandOver, PendingRead, Replica, State,
};
use crate::units::Instant;

/// Most entries in one message.
const MAX_BATCH: usize = 512;
/// A message takes no further entry once it has this many bytes, so that a replica that is far
/// behind is sent large changes one by one, with heartbeats between them.
const MAX_BATCH_BYTES: usize = 256 * 1024;
/// A snapshot is not sent again before this time.
const SNAPSHOT_PAUSE: Duration = Duration::from_secs(2);

impl Replica {
    /// Asks for a confirmation that this replica leads now. The token comes back
    /// in [`Ready::reads`](crate::agreement::Ready::reads) or
    /// [`Ready::failed_reads`](crate::agreement::Ready::failed_reads).
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

    pub(super) fn tick_leader(&mut self, now: Instant) {
        if !self.quorum_heard(now) {
            self.suspend(now);
        }
        let State::Leader(leadership) = &mut self.state else { return };
        if leadership.hand_over.as_ref().is_some_and(|h| h.until <= now) {
            leadership.hand_over = None;
        }
        if leadership.next_heartbeat <= now {
            self.start_round(now);
        }
    }

    /// Stops to act as the leader, as another replica may have been elected, but goes on asking its followers:
    /// one that was held up answers once it runs, and no election is needed then.
    fn suspend(&mut self, now: Instant) {
        let State::Leader(leadership) = &mut self.state else { return };
        if std::mem::replace(&mut leadership.is_suspended, true) {
            return;
        }
        let reads = std::mem::take(&mut leadership.reads);
        leadership.hand_over = None;
        self.ready.failed_reads.extend(reads.iter().map(|read| read.token));
        self.leader = None;
        self.election_due = now;
    }

    fn resume_if_heard(&mut self, now: Instant) {
        if now < self.election_due || !self.quorum_heard(now) {
            return;
        }
        let State::Leader(leadership) = &mut self.state else { return };
        self.leader = Some(self.id);
        if std::mem::replace(&mut leadership.is_suspended, false) {
            self.start_round(now);
        }
    }

    pub(super) fn quorum_heard(&self, now: Instant) -> bool {
        let State::Leader(leadership) = &self.state else { return false };
        let membership = self.log.membership();
        let patience = self.timing.election + self.hold_ups.longest(now);
        let heard = |id: &ReplicaId| {
            *id == self.id
                || leadership.peers.get(id).is_some_and(|p| now.since(p.heard) < patience)
        };
        membership.quorum() <= membership.voters().filter(heard).count()
    }

    pub(super) fn refresh_peers(&mut self, now: Instant) {
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

    pub(super) fn start_round(&mut self, now: Instant) {
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

    pub(super) fn send_to_all(&mut self, now: Instant) {
        let State::Leader(leadership) = &self.state else { return };
        let peers: Vec<ReplicaId> = leadership.peers.keys().copied().collect();
        for peer in peers {
            self.send_entries(peer, false, now);
        }
        self.advance_commit(now);
    }

    /// Sends what the peer lacks; a heartbeat is sent even when it lacks nothing.
    pub(super) fn send_entries(&mut self, peer: ReplicaId, heartbeat: bool, now: Instant) {
        let State::Leader(leadership) = &mut self.state else { return };
        let (round, suspended) = (leadership.round, leadership.is_suspended);
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
        let entries = self.log.batch(prev_index + 1, MAX_BATCH, MAX_BATCH_BYTES);
        if entries.is_empty() && !heartbeat {
            return;
        }
        progress.next = prev_index + 1 + entries.len() as u64;
        let prev_term = prev_term.unwrap_or(0);
        let commit = self.commit;
        let append = Append { prev_index, prev_term, entries, commit, round, suspended };
        self.send(peer, Body::Append(append));
    }

    pub(super) fn on_append_reply(&mut self, from: ReplicaId, reply: AppendReply, now: Instant) {
        let last = self.log.last_index();
        let State::Leader(leadership) = &mut self.state else { return };
        let Some(progress) = leadership.peers.get_mut(&from) else { return };
        progress.heard = now;
        if reply.outcome.is_some() {
            progress.log_heard = now;
        }
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
        self.resume_if_heard(now);
        self.advance_commit(now);
        self.confirm_reads(now);
        self.advance_hand_over();
    }

    pub(super) fn advance_commit(&mut self, now: Instant) {
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

    pub(super) fn confirm_reads(&mut self, now: Instant) {
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

    pub(super) fn advance_hand_over(&mut self) {
        let last = self.log.last_index();
        let State::Leader(leadership) = &self.state else { return };
        let Some(hand_over) = &leadership.hand_over else { return };
        let to = hand_over.to;
        if leadership.peers.get(&to).is_some_and(|p| p.matched == last) {
            self.send(to, Body::TimeoutNow(TimeoutNow {}));
        }
    }
}
