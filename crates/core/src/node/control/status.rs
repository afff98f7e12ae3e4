//! Status of the control replicas for operators.

use super::{ControlReplica, daemons::DaemonState};
use crate::{agreement::ReplicaId, node::VmName, units::Instant};

/// State of one control replica, as the leader sees it.
#[derive(Debug, Clone, serde::Serialize)]
pub struct ReplicaStatus {
    /// Name of its VM.
    pub vm: String,
    /// Replica id in hexadecimal.
    pub id: String,
    /// Whether it votes.
    pub voter: bool,
    /// Whether it leads.
    pub leader: bool,
    /// Whether it is linked, answered recently and has synced nearly all of the log. Known to the leader only.
    pub sound: bool,
}

/// State of one daemon, as the leader sees it.
#[derive(Debug, Clone, serde::Serialize)]
pub struct DaemonStatus {
    /// Name of its VM.
    pub vm: String,
    /// Version of its active configuration.
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
    /// The replica's current term.
    pub term: u64,
    /// The replica's commit index.
    pub commit: u64,
    /// Accepted version of the configuration.
    pub version: u64,
    /// The data halls that are out of service.
    pub halls_out: Vec<String>,
    /// Number of stored claims.
    pub claims: usize,
    /// Whether the loss of any one more voter leaves a quorum. Known to the leader only.
    pub survives_next_loss: bool,
    /// The replicas.
    pub replicas: Vec<ReplicaStatus>,
    /// The daemons. Known to the leader only.
    pub daemons: Vec<DaemonStatus>,
}

impl ControlReplica {
    /// Status of the control replicas as seen by this one.
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
                sound: leads && self.is_healthy(member.id, now),
            })
            .collect();
        let healthy_voters = replicas.iter().filter(|r| r.voter && r.sound).count();
        let quorum = self.replica.membership().quorum();
        let settled = self.replica.membership_settled();
        let daemon = |(vm, daemon): (&VmName, &DaemonState)| DaemonStatus {
            vm: vm.to_string(),
            version: daemon.version,
            silent_ms: now.since(daemon.last_poll).as_millis() as u64,
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
            survives_next_loss: leads && settled && quorum < healthy_voters,
            replicas,
            daemons: self.daemons.iter().map(daemon).collect(),
        }
    }

    /// Whether a replica is linked, answers and has nearly all of the log. A VM that lost its disk runs another replica.
    fn is_healthy(&self, id: ReplicaId, now: Instant) -> bool {
        /// Entries that a healthy replica may lack.
        const MAX_LAG: u64 = 64;
        id == self.replica.id()
            || (self.peers.values().any(|peer| peer.id == id)
                && self.replica.is_caught_up(id, MAX_LAG)
                && self.replica.heard_within(id, self.election_timeout, now))
    }
}
