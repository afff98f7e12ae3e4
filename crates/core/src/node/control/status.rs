//! What a control replica tells operators.

use super::{ControlReplica, Daemon};
use crate::{agreement::ReplicaId, node::VmName, units::Instant};

/// State of one control replica, as the leader sees it.
#[derive(Debug, Clone, serde::Serialize)]
pub struct ReplicaStatus {
    /// Name of its VM.
    pub vm: String,
    /// The replica.
    pub id: String,
    /// Whether it votes.
    pub voter: bool,
    /// Whether it leads.
    pub leader: bool,
    /// Whether it answered lately and has synced nearly all of the log.
    pub sound: bool,
}

/// State of one daemon, as the leader sees it.
#[derive(Debug, Clone, serde::Serialize)]
pub struct DaemonStatus {
    /// Name of its VM.
    pub vm: String,
    /// The version in force there.
    pub version: u64,
    /// Time since its last poll in milliseconds.
    pub silent_ms: u64,
}

/// State of the control replicas, as one of them sees it.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct ControlStatus {
    /// Whether this VM has a control replica.
    pub replica: bool,
    /// Whether it leads.
    pub leads: bool,
    /// VM of the leader, if known.
    pub leader: Option<String>,
    /// Its term.
    pub term: u64,
    /// Index up to which its log is committed.
    pub commit: u64,
    /// The accepted version.
    pub version: u64,
    /// The data halls that are out of service.
    pub halls_out: Vec<String>,
    /// Number of claims kept.
    pub claims: usize,
    /// Whether the loss of any one more voter leaves a quorum. Known to the leader only.
    pub survives_next_loss: bool,
    /// The replicas.
    pub replicas: Vec<ReplicaStatus>,
    /// The daemons. Known to the leader only.
    pub daemons: Vec<DaemonStatus>,
}

impl ControlReplica {
    /// The state as this replica sees it.
    pub(crate) fn status(&self, now: Instant) -> ControlStatus {
        let leader = self.replica.leader().and_then(|id| self.vm_of(id));
        let leads = self.leads();
        let replicas: Vec<ReplicaStatus> = self
            .replica
            .membership()
            .members
            .iter()
            .map(|member| ReplicaStatus {
                vm: member.vm.clone(),
                id: format!("{:016x}", member.id),
                voter: member.voter,
                leader: self.replica.leader() == Some(member.id),
                sound: leads && self.is_sound(member.id, now),
            })
            .collect();
        let sound_voters = replicas.iter().filter(|r| r.voter && r.sound).count();
        let quorum = self.replica.membership().quorum();
        let settled = self.replica.membership_settled();
        let daemon = |(vm, daemon): (&VmName, &Daemon)| DaemonStatus {
            vm: vm.to_string(),
            version: daemon.version,
            silent_ms: now.since(daemon.heard).as_millis() as u64,
        };
        ControlStatus {
            replica: true,
            leads,
            leader: leader.map(|vm| vm.to_string()),
            term: self.replica.term(),
            commit: self.replica.commit(),
            version: self.state.version(),
            halls_out: self.state.halls_out().names.clone(),
            claims: self.state.claims().len(),
            survives_next_loss: leads && settled && quorum < sound_voters,
            replicas,
            daemons: self.daemons.iter().map(daemon).collect(),
        }
    }

    /// Whether a replica, and not only its VM, is linked, answers and has the log.
    fn is_sound(&self, id: ReplicaId, now: Instant) -> bool {
        const SLACK: u64 = 64;
        id == self.replica.id()
            || (self.peers.values().any(|peer| peer.id == id)
                && self.replica.is_caught_up(id, SLACK)
                && self.replica.heard_within(id, self.election, now))
    }
}
