//! Membership of the replication group: bootstrap and repair.

use std::time::Duration;

use super::{ByVm, VmName};
use crate::{
    agreement::{Member, Membership, Replica, ReplicaId},
    units::Instant,
};

/// Entries that a learner may lack when it is promoted to voter.
const MAX_LEARNER_LAG: u64 = 64;
/// Silence after which a voter is replaced by a spare learner. Longer than pauses of a healthy VM, short
/// enough to restore redundancy before a second failure.
const REPLACE_SILENT_VOTER_AFTER: Duration = Duration::from_secs(3);
/// Silence after which an unlinked learner is removed from the group.
const DROP_SILENT_LEARNER_AFTER: Duration = Duration::from_secs(10);

/// A linked control VM's replica, as it introduced itself.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Peer {
    pub(crate) id: ReplicaId,
    pub(crate) empty: bool,
    /// Whether it may bootstrap the group.
    pub(crate) founds: bool,
}

/// How a group begins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Founding {
    pub(crate) membership: Membership,
    /// Term of the first entry.
    pub(crate) term: u64,
}

/// The beginning of the group if this replica is to write its first entry: it is the first founder that still may,
/// and all founders are linked and empty. If it merely lost its disk, some founder is not empty or not linked.
///
/// A founder that was started anew may not write the first entry any more. It may have done so before, and others may
/// have accepted entries of it that are not known here. So it has no vote in the group of the next founder, whose first
/// entry has a lower term: whoever has an entry of the earlier group refuses its vote, and is elected in its place.
pub(crate) fn bootstrap_membership(
    vm: &VmName,
    founders: &[VmName],
    replica: &Replica,
    peers: &ByVm<Peer>,
) -> Option<Founding> {
    if !replica.is_empty() {
        return None;
    }
    let own = Peer { id: replica.id(), empty: true, founds: true };
    let mut introduced = Vec::with_capacity(founders.len());
    for name in founders {
        let peer = if name == vm { Some(own) } else { peers.get(name).copied() };
        introduced.push((name, peer.filter(|peer| peer.empty)?));
    }
    let first = introduced.iter().position(|(_, peer)| peer.founds)?;
    if introduced[first].0 != vm {
        return None;
    }
    let members: Vec<Member> = introduced
        .iter()
        .filter(|(_, peer)| peer.founds)
        .map(|(name, peer)| Member { id: peer.id, vm: name.to_string(), voter: true })
        .collect();
    let (all, voters) = (founders.len(), members.len());
    // Any quorum of an earlier group has so many voters of this one: fewer disks than a quorum are lost at a time.
    let shared = quorum(all).saturating_sub(all - voters).max(1);
    if voters < all && shared + quorum(voters) <= voters {
        return None;
    }
    Some(Founding { membership: Membership { members }, term: (all - first) as u64 })
}

fn quorum(voters: usize) -> usize {
    voters / 2 + 1
}

/// The next single membership change toward one voter on each linked control VM, up to `max_voters`.
/// A VM that lost its disk returns as a new replica: it is added as a learner, the old replica is
/// removed, then the new one is promoted. Once there are enough voters, a spare learner replaces a
/// voter that has gone silent.
pub(crate) fn repair_membership(
    own_vm: &VmName,
    replica: &Replica,
    peers: &ByVm<Peer>,
    max_voters: usize,
    now: Instant,
) -> Option<Membership> {
    let membership = replica.membership();
    let mut changed = membership.clone();
    let own_peer = Peer { id: replica.id(), empty: false, founds: false };
    let linked = || peers.iter().map(|(vm, peer)| (vm, *peer)).chain([(own_vm, own_peer)]);
    if let Some((vm, peer)) = linked().find(|(_, peer)| membership.member(peer.id).is_none()) {
        changed.members.push(Member { id: peer.id, vm: vm.to_string(), voter: false });
        return Some(changed);
    }
    for (vm, peer) in linked() {
        let is_learner = !membership.is_voter(peer.id);
        if !is_learner || !replica.is_caught_up(peer.id, MAX_LEARNER_LAG) {
            continue;
        }
        let is_predecessor = |m: &Member| m.vm == **vm && m.id != peer.id;
        if changed.members.iter().any(is_predecessor) {
            changed.members.retain(|m| !is_predecessor(m));
            return Some(changed);
        }
        if membership.voters().count() < max_voters {
            let member = changed.members.iter_mut().find(|m| m.id == peer.id)?;
            member.voter = true;
            return Some(changed);
        }
        let silent = membership
            .voters()
            .find(|id| !replica.heard_within(*id, REPLACE_SILENT_VOTER_AFTER, now));
        if let Some(silent) = silent {
            changed.members.retain(|m| m.id != silent);
            return Some(changed);
        }
    }
    let is_lost_learner = |m: &Member| {
        let is_linked = linked().any(|(_, peer)| peer.id == m.id);
        !m.voter && !is_linked && !replica.heard_within(m.id, DROP_SILENT_LEARNER_AFTER, now)
    };
    if changed.members.iter().any(is_lost_learner) {
        changed.members.retain(|m| !is_lost_learner(m));
        return Some(changed);
    }
    None
}
