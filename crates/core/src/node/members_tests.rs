//! Tests of bootstrapping the replication group and repairing its membership.

use std::time::Duration;

use googletest::prelude::*;

use super::{
    ByVm, VmName,
    members::{Peer, bootstrap_membership, repair_membership},
};
use crate::{
    agreement::{Member, Membership, Replica, ReplicaId, Restored, Synced, Timing},
    units::{Instant, UnixMillis},
};

const TIMING: Timing =
    Timing { heartbeat: Duration::from_millis(75), election: Duration::from_millis(400) };

fn vm(n: u64) -> VmName {
    format!("10.0.0.{n}").into()
}

fn empty_replica(id: ReplicaId) -> Replica {
    Replica::new(id, TIMING, id, Restored::default(), Instant(0))
}

fn peers(entries: &[(u64, ReplicaId, bool)]) -> ByVm<Peer> {
    let peer = |(n, id, empty): &(u64, ReplicaId, bool)| {
        (vm(*n), Peer { id: *id, empty: *empty, founds: true })
    };
    entries.iter().map(peer).collect()
}

/// A leader that is the only voter, with these other members.
fn leader(members: &[(u64, ReplicaId, bool)]) -> Replica {
    let member = |(n, id, voter): &(u64, ReplicaId, bool)| Member {
        id: *id,
        vm: vm(*n).to_string(),
        voter: *voter,
    };
    let mut replica = empty_replica(1);
    let first = Membership { members: vec![member(&(1, 1, true))] };
    replica.bootstrap(first, 1, UnixMillis(0));
    let now = Instant(1_000_000);
    replica.tick(now);
    sync(&mut replica, now);
    for count in 1..=members.len() {
        let mut all = vec![member(&(1, 1, true))];
        all.extend(members[..count].iter().map(member).map(|m| Member { voter: false, ..m }));
        let payload = crate::agreement::Payload::Members(Membership { members: all });
        replica.propose(payload, UnixMillis(0), now).unwrap();
        sync(&mut replica, now);
    }
    replica
}

/// Syncs all pending writes of the replica.
fn sync(replica: &mut Replica, now: Instant) {
    loop {
        let ready = replica.take_ready();
        if ready.persist.is_empty() {
            return;
        }
        replica.persisted(Synced { ..ready.synced }, now);
    }
}

#[gtest]
fn first_founder_bootstraps_when_all_are_empty() {
    let founders = [vm(1), vm(2), vm(3)];
    let linked = peers(&[(2, 2, true), (3, 3, true)]);

    let initial =
        bootstrap_membership(&vm(1), &founders, &empty_replica(1), &linked).unwrap().membership;

    expect_that!(initial.voters().count(), eq(3));
}

#[gtest]
fn bootstrap_needs_all_founders_empty_and_linked() {
    let founders = [vm(1), vm(2), vm(3)];
    let missing = peers(&[(2, 2, true)]);
    let wiped = peers(&[(2, 2, true), (3, 3, false)]);
    let linked = peers(&[(2, 2, true), (3, 3, true)]);

    expect_that!(bootstrap_membership(&vm(1), &founders, &empty_replica(1), &missing), none());
    expect_that!(bootstrap_membership(&vm(1), &founders, &empty_replica(1), &wiped), none());
    expect_that!(bootstrap_membership(&vm(2), &founders, &empty_replica(2), &linked), none());
}

// Guards against a group that is never founded since its first founder was started anew.
#[gtest]
fn next_founder_bootstraps_without_those_that_were_started_anew() {
    let founders = [vm(1), vm(2), vm(3)];
    let mut linked = peers(&[(1, 1, true), (2, 2, true), (3, 3, true)]);
    let founding = |n, linked: &ByVm<Peer>| {
        let founding = bootstrap_membership(&vm(n), &founders, &empty_replica(n), linked)?;
        Some((founding.membership.voters().collect::<Vec<ReplicaId>>(), founding.term))
    };

    let by_first = founding(1, &linked);
    linked.get_mut(&vm(1)).unwrap().founds = false;
    let by_second = [founding(2, &linked), founding(3, &linked)];
    linked.get_mut(&vm(2)).unwrap().founds = false;
    let by_third = founding(3, &linked);

    expect_that!(by_first, some(eq(&(vec![1, 2, 3], 3))));
    expect_that!(by_second, eq(&[Some((vec![2, 3], 2)), None]));
    expect_that!(by_third, some(eq(&(vec![3], 1))));
}

#[gtest]
fn bootstrap_needs_configured_founders() {
    let linked = peers(&[(2, 2, true), (3, 3, true)]);

    expect_that!(bootstrap_membership(&vm(1), &[], &empty_replica(1), &linked), none());
}

#[gtest]
fn new_control_vm_joins_as_learner() {
    let replica = leader(&[]);

    let next = repair_membership(&vm(1), &replica, &peers(&[(2, 2, true)]), 5, Instant(1_000_000))
        .unwrap();

    expect_that!(next.is_voter(2), eq(false));
    expect_that!(next.member(2), some(anything()));
}

#[gtest]
fn caught_up_learner_is_promoted() {
    let replica = leader(&[(2, 2, false)]);
    let linked = peers(&[(2, 2, true)]);

    // The whole log is shorter than the allowed lag.
    let next = repair_membership(&vm(1), &replica, &linked, 5, Instant(1_000_000)).unwrap();

    expect_that!(next.is_voter(2), eq(true));
}

#[gtest]
fn old_replica_of_wiped_vm_is_removed_first() {
    let replica = leader(&[(2, 2, true), (2, 22, false)]);
    let linked = peers(&[(2, 22, true)]);

    let next = repair_membership(&vm(1), &replica, &linked, 5, Instant(1_000_000)).unwrap();

    expect_that!(next.member(2), none());
    expect_that!(next.is_voter(22), eq(false));
}

#[gtest]
fn learner_is_not_promoted_beyond_max_voters() {
    let replica = leader(&[(2, 2, false)]);
    let linked = peers(&[(2, 2, true)]);

    let next = repair_membership(&vm(1), &replica, &linked, 1, Instant(1_000_000));

    expect_that!(next, none());
}

#[gtest]
fn silent_learner_is_removed() {
    let replica = leader(&[(2, 2, false)]);

    let soon = repair_membership(&vm(1), &replica, &peers(&[]), 5, Instant(2_000_000));
    let later = repair_membership(&vm(1), &replica, &peers(&[]), 5, Instant(60_000_000));

    expect_that!(soon, none());
    expect_that!(later, some(field!(Membership.members, len(eq(1)))));
}
