//! Who belongs to the group of control replicas: founding it, and repairing it.

use std::time::Duration;

use super::{ByVm, VmName};
use crate::{
    agreement::{Member, Membership, Replica, ReplicaId},
    units::Instant,
};

/// A learner may vote once it lacks no more than this many entries.
const MAX_LEARNER_LAG: u64 = 64;
/// A voter that was silent for this long gives its place to a learner that stands by. Longer
/// than any pause of a healthy VM, shorter than the time in which a second one may be lost.
const REPLACE_SILENT_VOTER_AFTER: Duration = Duration::from_secs(3);
/// A learner that was silent for this long is no longer sent the log.
const DROP_SILENT_LEARNER_AFTER: Duration = Duration::from_secs(10);

/// What another control VM said of its replica.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Peer {
    pub(crate) id: ReplicaId,
    pub(crate) empty: bool,
}

/// The first members, if this replica may found the group now: it is the first that is
/// listed, and every listed replica is linked and empty. A first VM that lost its disk finds
/// another that is not empty, or cannot reach one, and founds nothing.
pub(crate) fn bootstrap_membership(
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

/// The next change of members that brings the group to one voter on each control VM that is
/// linked, up to `max_voters`. A VM whose disk was lost comes back as another replica: it
/// learns, then the replica that is gone is removed, then the new one votes. Once there are
/// enough voters, a learner takes the place of one that has fallen silent. Each is a change of
/// its own.
pub(crate) fn repair_membership(
    own: &VmName,
    replica: &Replica,
    peers: &ByVm<Peer>,
    max_voters: usize,
    now: Instant,
) -> Option<Membership> {
    let membership = replica.membership();
    let mut changed = membership.clone();
    let mine = Peer { id: replica.id(), empty: false };
    let linked = || peers.iter().map(|(vm, peer)| (vm, *peer)).chain([(own, mine)]);
    if let Some((vm, peer)) = linked().find(|(_, peer)| membership.member(peer.id).is_none()) {
        changed.members.push(Member { id: peer.id, vm: vm.to_string(), voter: false });
        return Some(changed);
    }
    for (vm, peer) in linked() {
        let is_learner = !membership.is_voter(peer.id);
        if !is_learner || !replica.is_caught_up(peer.id, MAX_LEARNER_LAG) {
            continue;
        }
        let former = |m: &Member| m.vm == **vm && m.id != peer.id;
        if changed.members.iter().any(former) {
            changed.members.retain(|m| !former(m));
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
    let dropped = |m: &Member| {
        let is_linked = linked().any(|(_, peer)| peer.id == m.id);
        !m.voter && !is_linked && !replica.heard_within(m.id, DROP_SILENT_LEARNER_AFTER, now)
    };
    if changed.members.iter().any(dropped) {
        changed.members.retain(|m| !dropped(m));
        return Some(changed);
    }
    None
}
