//! Who belongs to the group of control replicas: founding it, and repairing it.

use super::{ByVm, VmName};
use crate::agreement::{Member, Membership, Replica, ReplicaId};

/// A learner may vote once it lacks no more than this many entries.
const SLACK: u64 = 64;

/// What another control VM said of its replica.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Peer {
    pub(crate) id: ReplicaId,
    pub(crate) empty: bool,
}

/// The first members, if this replica may found the group now: it is the first that is
/// listed, and every listed replica is linked and empty. A first VM that lost its disk finds
/// another that is not empty, or cannot reach one, and founds nothing.
pub(crate) fn founders(
    vm: &VmName,
    listed: &[VmName],
    replica: &Replica,
    peers: &ByVm<Peer>,
) -> Option<Membership> {
    if !replica.is_empty() || listed.first() != Some(vm) {
        return None;
    }
    let member = |name: &VmName| {
        let id =
            if name == vm { replica.id() } else { peers.get(name).filter(|peer| peer.empty)?.id };
        Some(Member { id, vm: name.to_string(), voter: true })
    };
    let members = listed.iter().map(member).collect::<Option<Vec<Member>>>()?;
    Some(Membership { members })
}

/// The next change of members that brings the group to one voter on each listed VM. A VM
/// whose disk was lost comes back as another replica: it learns, then the replica that is
/// gone is removed, then the new one votes. Each is a change of its own.
pub(crate) fn repair(
    listed: &[VmName],
    replica: &Replica,
    peers: &ByVm<Peer>,
) -> Option<Membership> {
    let membership = replica.membership();
    for vm in listed {
        let Some(peer) = peers.get(vm) else { continue };
        let mut changed = membership.clone();
        let Some(member) = membership.member(peer.id) else {
            let vm = vm.to_string();
            changed.members.push(Member { id: peer.id, vm, voter: false });
            return Some(changed);
        };
        if member.voter || !replica.is_caught_up(peer.id, SLACK) {
            continue;
        }
        let gone = |m: &Member| m.vm == **vm && m.id != peer.id;
        if changed.members.iter().any(gone) {
            changed.members.retain(|m| !gone(m));
            return Some(changed);
        }
        if let Some(member) = changed.members.iter_mut().find(|m| m.id == peer.id) {
            member.voter = true;
        }
        return Some(changed);
    }
    None
}
