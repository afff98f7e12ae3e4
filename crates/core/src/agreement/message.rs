//! Messages between replicas and records on disk.

use bytes::Bytes;

/// Names one replica: a random number made when its data folder is created.
/// A wiped disk gives another number, so a VM that forgot its votes is another replica.
pub type ReplicaId = u64;

/// A member of the group.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Member {
    /// The replica.
    #[prost(uint64, tag = "1")]
    pub id: ReplicaId,
    /// Name of its VM.
    #[prost(string, tag = "2")]
    pub vm: String,
    /// Whether it votes; otherwise it only learns.
    #[prost(bool, tag = "3")]
    pub voter: bool,
}

/// All members of the group.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Membership {
    /// The members.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<Member>,
}

impl Membership {
    /// Ids of the voters.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.members.iter().filter(|m| m.voter).map(|m| m.id)
    }

    /// Number of voters that make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether this replica votes.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.voters().any(|voter| voter == id)
    }

    /// The member of this id.
    pub fn member(&self, id: ReplicaId) -> Option<&Member> {
        self.members.iter().find(|m| m.id == id)
    }

    /// Number of voters by which two memberships differ.
    pub fn voters_changed(&self, other: &Membership) -> usize {
        let gone = self.voters().filter(|id| !other.is_voter(*id)).count();
        let come = other.voters().filter(|id| !self.is_voter(*id)).count();
        gone + come
    }
}

/// An entry without effect, with which a leader opens its term.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Noop {}

/// What an entry carries.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum Payload {
    /// Nothing.
    #[prost(message, tag = "4")]
    Noop(Noop),
    /// A change of members, in force as soon as it is appended.
    #[prost(message, tag = "5")]
    Members(Membership),
    /// A command of the state machine.
    #[prost(bytes = "bytes", tag = "6")]
    Command(Bytes),
}

/// An entry of the log.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Entry {
    /// Term of the leader that appended it.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Position in the log, from 1.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// The leader's wall clock, in milliseconds since the Unix epoch; never decreases.
    #[prost(uint64, tag = "3")]
    pub at_ms: u64,
    /// What it carries.
    #[prost(oneof = "Payload", tags = "4, 5, 6")]
    pub payload: Option<Payload>,
}

impl Entry {
    /// Bytes of its command.
    pub fn payload_bytes(&self) -> usize {
        match &self.payload {
            Some(Payload::Command(bytes)) => bytes.len(),
            Some(Payload::Noop(_) | Payload::Members(_)) | None => 0,
        }
    }
}

/// Term and vote.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct HardState {
    /// Latest term seen.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Who got the vote in this term.
    #[prost(uint64, optional, tag = "2")]
    pub voted_for: Option<ReplicaId>,
}

/// The state after some index, in place of the log up to it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Snapshot {
    /// Last index that it covers.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of that index.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Clock of that index.
    #[prost(uint64, tag = "3")]
    pub at_ms: u64,
    /// Members at that index.
    #[prost(message, required, tag = "4")]
    pub membership: Membership,
    /// Encoded state machine.
    #[prost(bytes = "bytes", tag = "5")]
    pub data: Bytes,
}

/// Asks whether an election could be won.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct PreVote {
    /// Index of the candidate's last entry.
    #[prost(uint64, tag = "1")]
    pub last_index: u64,
    /// Term of the candidate's last entry.
    #[prost(uint64, tag = "2")]
    pub last_term: u64,
}

/// Answers a [`PreVote`].
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct PreVoteReply {
    /// The term that was asked for.
    #[prost(uint64, tag = "1")]
    pub asked_term: u64,
    /// Whether the vote would be given.
    #[prost(bool, tag = "2")]
    pub granted: bool,
}

/// Asks for a vote.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Vote {
    /// Index of the candidate's last entry.
    #[prost(uint64, tag = "1")]
    pub last_index: u64,
    /// Term of the candidate's last entry.
    #[prost(uint64, tag = "2")]
    pub last_term: u64,
    /// The leader itself asked for this election.
    #[prost(bool, tag = "3")]
    pub hand_over: bool,
}

/// Answers a [`Vote`].
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct VoteReply {
    /// Whether the vote is given.
    #[prost(bool, tag = "1")]
    pub granted: bool,
}

/// Replicates entries; without entries it is a heartbeat.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Append {
    /// Index before the first entry.
    #[prost(uint64, tag = "1")]
    pub prev_index: u64,
    /// Term of that index.
    #[prost(uint64, tag = "2")]
    pub prev_term: u64,
    /// The entries.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    #[prost(uint64, tag = "4")]
    pub commit: u64,
    /// Round of confirmation that this message belongs to.
    #[prost(uint64, tag = "5")]
    pub round: u64,
    /// The leader hears no quorum.
    #[prost(bool, tag = "6")]
    pub suspended: bool,
}

/// Answers an [`Append`] or a [`Snapshot`].
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct AppendReply {
    /// The round of the message answered.
    #[prost(uint64, tag = "1")]
    pub round: u64,
    /// Whether the entries fitted.
    #[prost(oneof = "append_reply::Outcome", tags = "2, 3")]
    pub outcome: Option<append_reply::Outcome>,
}

/// Parts of [`AppendReply`].
pub mod append_reply {
    /// Whether the entries fitted.
    #[derive(Clone, Copy, PartialEq, Eq, prost::Oneof)]
    pub enum Outcome {
        /// The log agrees with the leader's up to this index, synced.
        #[prost(uint64, tag = "2")]
        Matched(u64),
        /// The log does not fit; go on after this index.
        #[prost(uint64, tag = "3")]
        Rejected(u64),
    }
}

/// Tells a follower to start an election at once.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct TimeoutNow {}

/// A message between replicas.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Message {
    /// Sender.
    #[prost(uint64, tag = "1")]
    pub from: ReplicaId,
    /// Receiver; another incarnation must not take it.
    #[prost(uint64, tag = "2")]
    pub to: ReplicaId,
    /// The sender's term; for a [`PreVote`] the term it would start.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// What it says.
    #[prost(oneof = "message_body::Body", tags = "4, 5, 6, 7, 8, 9, 10, 11")]
    pub body: Option<message_body::Body>,
}

/// Parts of [`Message`].
pub mod message_body {
    use super::{
        Append, AppendReply, PreVote, PreVoteReply, Snapshot, TimeoutNow, Vote, VoteReply,
    };

    /// What a message says.
    #[derive(Clone, PartialEq, Eq, prost::Oneof)]
    pub enum Body {
        /// Asks whether an election could be won.
        #[prost(message, tag = "4")]
        PreVote(PreVote),
        /// Answers that.
        #[prost(message, tag = "5")]
        PreVoteReply(PreVoteReply),
        /// Asks for a vote.
        #[prost(message, tag = "6")]
        Vote(Vote),
        /// Answers that.
        #[prost(message, tag = "7")]
        VoteReply(VoteReply),
        /// Replicates entries.
        #[prost(message, tag = "8")]
        Append(Append),
        /// Answers entries or a snapshot.
        #[prost(message, tag = "9")]
        AppendReply(AppendReply),
        /// Replaces the log of a replica that is too far behind.
        #[prost(message, tag = "10")]
        Snapshot(Snapshot),
        /// Hands leadership over.
        #[prost(message, tag = "11")]
        TimeoutNow(TimeoutNow),
    }
}
