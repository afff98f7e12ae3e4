//! Agreement between control replicas on one log: elections, replication and
//! membership, after the Raft algorithm (Ongaro and Ousterhout, 2014) with
//! pre-vote, check-quorum, confirmed reads and leader hand-over.
//!
//! [`Replica`] is pure. Each call may leave work in it, which
//! [`Replica::take_ready`] hands out: messages, writes that must be synced, and
//! entries that are committed.

mod log;
#[cfg(test)]
mod log_tests;
mod message;
mod progress;
mod replica;
#[cfg(test)]
mod tests;

use std::time::Duration;

pub use self::{
    log::Log,
    message::{
        Append, AppendReply, Entry, HardState, Member, Membership, Message, Noop, Payload, PreVote,
        PreVoteReply, ReplicaId, Snapshot, TimeoutNow, Vote, VoteReply, append_reply, message_body,
    },
    replica::{ProposeError, Replica, Role},
};

/// Time bounds of a replica.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Interval between heartbeats.
    pub heartbeat: Duration,
    /// Shortest time without a leader before an election; the longest is twice that.
    pub election: Duration,
}

/// What a replica starts from.
#[derive(Debug, Clone, Default)]
pub struct Restored {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Writes that must be synced, in this order.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Persist {
    /// A snapshot that replaces the whole log before the entries below.
    pub snapshot: Option<Snapshot>,
    /// Term and vote, if changed.
    pub hard_state: Option<HardState>,
    /// Entries to append; an index already on disk is replaced, and all after it go.
    pub entries: Vec<Entry>,
}

impl Persist {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none() && self.hard_state.is_none() && self.entries.is_empty()
    }

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

/// A message and the replica that it goes to.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// Receiver.
    pub to: ReplicaId,
    /// The message.
    pub message: Message,
}

/// How far a replica's disk is once a [`Persist`] is synced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Synced {
    /// Term of the hard state.
    pub term: u64,
    /// Term of the last entry.
    pub last_term: u64,
    /// Index of the last entry.
    pub last_index: u64,
    /// Number of the last write.
    pub write: u64,
}

/// Work that a replica hands out.
#[derive(Debug, Default)]
pub struct Ready {
    /// May be sent at once.
    pub messages: Vec<Outgoing>,
    /// Writes to sync.
    pub persist: Persist,
    /// To be given to [`Replica::persisted`] once `persist` is synced.
    pub synced: Synced,
    /// May be sent only once `persist` is synced.
    pub messages_after_persist: Vec<Outgoing>,
    /// A snapshot from the leader that replaces the applied state.
    pub install: Option<Snapshot>,
    /// Committed entries to apply, in order.
    pub committed: Vec<Entry>,
    /// Reads that were confirmed; each may be answered once its index is applied.
    pub reads: Vec<ConfirmedRead>,
    /// Reads that this replica can no longer confirm.
    pub failed_reads: Vec<u64>,
}

/// A read confirmed by a quorum after it was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfirmedRead {
    /// The token given to [`Replica::read`].
    pub token: u64,
    /// Index that must be applied before answering.
    pub index: u64,
}
