//! Tests of whole nodes in simulated deployments.

mod backoff;
mod bootstrap;
mod crash_retries;
mod fleet;
mod growth;
mod halls;
mod hold_ups;
mod large_change;
mod leaving_response;
mod load;
mod net;
mod one_sided_silence;
mod prompt_parts;
mod quarantine;
mod rate_limits;
mod recovery;
mod returns;
mod silent_scheduler;
mod slot_leaks;

use std::collections::BTreeSet;

use googletest::prelude::*;
use proptest::prelude::*;

use self::net::{Net, Site, request};
use super::*;

/// Three control replicas and two entries.
fn small_site() -> Site {
    Site::new(3, 2)
}

#[gtest]
fn accepted_config_activates_on_all_daemons() {
    let mut net = Net::new(&small_site(), 1);
    net.recover(100);

    net.submit(&"vm-4".into(), 3, "a");
    net.recover(20);

    for vm in &net.vms() {
        expect_that!(net.version_at(vm), eq(3), "{vm}");
        expect_that!(net.hosts[vm].node.as_ref().unwrap().is_fresh(), eq(true), "{vm}");
    }
    expect_that!(net.observed.accepted, eq(3));
}

#[gtest]
fn partitioned_leader_confirms_no_config() {
    let mut net = Net::new(&small_site(), 3);
    net.recover(100);
    net.submit(&"vm-4".into(), 1, "a");
    net.recover(20);
    let old = net.leader().unwrap();
    // The old leader is partitioned together with one entry.
    net.crash(&"vm-5".into());
    net.partitioned = BTreeSet::from([old.clone(), "vm-5".into()]);
    net.isolate(&old);
    net.run(100);
    net.submit(&"vm-4".into(), 2, "b");
    net.start(&"vm-5".into());
    net.run(200);

    expect_that!(net.version_at("vm-4"), eq(2));
    expect_that!(net.version_at("vm-5"), eq(0));
    let node = net.hosts[&old].node.as_ref().unwrap();
    expect_that!(node.is_fresh(), eq(false));
    net.recover(200);
    expect_that!(net.version_at("vm-5"), eq(2));
}

#[gtest]
fn restarted_daemon_ignores_stale_control_vm() {
    for behind in 1..=3 {
        let behind: VmName = format!("vm-{behind}").into();
        let mut net = Net::new(&small_site(), 11);
        net.recover(100);
        net.submit(&"vm-4".into(), 1, "a");
        net.recover(20);
        // One replica loses its links to the others, but keeps those to the entries.
        for other in net.replicas() {
            net.disconnect(&behind, &other);
        }
        net.run(100);
        net.submit(&"vm-4".into(), 2, "b");
        net.run(50);
        for entry in ["vm-4", "vm-5"] {
            net.crash(&entry.into());
            net.start(&entry.into());
        }

        net.run(100);

        // The net checks that no older version is activated meanwhile.
        expect_that!(net.version_at("vm-4"), eq(2), "behind {behind}");
        expect_that!(net.version_at("vm-5"), eq(2), "behind {behind}");
    }
}

#[gtest]
fn wiped_replica_is_replaced() {
    let mut net = Net::new(&small_site(), 5);
    net.recover(100);
    net.submit(&"vm-4".into(), 1, "a");
    net.recover(20);
    net.wipe_disk(&"vm-2".into());
    net.step(false);
    expect_that!(net.control(&net.leader().unwrap()).survives_next_loss, eq(false));

    net.recover(300);

    let status = net.control(&net.leader().unwrap());
    expect_that!(status.survives_next_loss, eq(true));
    expect_that!(status.replicas.iter().filter(|r| r.voter).count(), eq(3));
    // After the next loss, the accepted version is still there and another is accepted.
    net.crash(&"vm-1".into());
    net.run(150);
    net.submit(&"vm-4".into(), 2, "b");
    net.run(50);
    expect_that!(net.version_at("vm-5"), eq(2));
}

#[gtest]
fn replies_to_a_former_run_are_ignored() {
    for steps in 0..6 {
        let mut net = Net::new(&small_site(), 13);
        net.recover(100);
        let vm: VmName = "vm-4".into();
        net.submit(&vm, 1, "a");
        net.run(steps);

        net.crash(&vm);
        net.start(&vm);
        net.submit(&vm, 2, "b");
        // The net checks that the reply belongs to the second file.
        net.run(100);
    }
}

/// A net whose control VMs have crashed and whose entries know one engine with four slots.
fn without_control() -> Net {
    let mut net = Net::new(&small_site(), 7);
    net.recover(100);
    net.submit(&"vm-4".into(), 1, "a");
    net.recover(60);
    for vm in net.replicas() {
        net.crash(&vm);
    }
    net.run(100);
    net
}

#[gtest]
fn requests_are_placed_up_to_slots_without_leader() {
    let mut net = without_control();

    for _ in 0..6 {
        net.call(&"vm-4".into(), NodeCall::Place(request()));
    }
    net.step(false);

    expect_that!(net.observed.placed.len(), eq(4));
}

#[gtest]
fn local_placement_lists_sampled_endpoints() {
    let mut net = without_control();

    net.call(&"vm-4".into(), NodeCall::Place(request()));
    net.step(false);

    let [placement] = &net.observed.placements[..] else { panic!("{:?}", net.observed.placements) };
    let drawn: Vec<_> = placement.sampled.iter().map(|drawn| drawn.endpoint.clone()).collect();
    expect_that!(drawn, eq(&vec![placement.endpoint.clone()]));
}

#[gtest]
fn granted_placement_has_no_samples() {
    let mut net = Net::new(&small_site(), 7);
    net.recover(100);
    net.submit(&"vm-4".into(), 1, "a");
    net.recover(60);

    net.call(&"vm-4".into(), NodeCall::Place(request()));
    net.recover(20);

    let [placement] = &net.observed.placements[..] else { panic!("{:?}", net.observed.placements) };
    expect_that!(placement.sampled, is_empty());
}

#[gtest]
fn suspended_leader_does_not_delay_requests() {
    let mut net = Net::new(&small_site(), 9);
    net.recover(100);
    net.submit(&"vm-4".into(), 1, "a");
    net.recover(60);
    let leader = net.leader().unwrap();
    net.hosts.get_mut(&leader).unwrap().suspended = true;
    let vm: VmName = if *leader == *"vm-4" { "vm-5".into() } else { "vm-4".into() };

    net.call(&vm, NodeCall::Place(request()));
    net.run(100);

    expect_that!(net.observed.placed.len(), eq(1));
}

proptest! {
    #![proptest_config(crate::testing::fixed_seed(60))]

    #[test]
    fn configs_never_revert_and_claims_have_one_owner(seed in any::<u64>()) {
        let mut net = Net::new(&small_site(), seed);
        net.recover(60);
        net.run_with_faults(400);
        net.recover(400);
        let last = net.observed.accepted;
        prop_assert!(0 < last, "no version was accepted");
        let versions: BTreeSet<u64> = net.vms().iter().map(|vm| net.version_at(vm)).collect();
        prop_assert_eq!(versions.len(), 1, "daemons differ");
        prop_assert!(versions.iter().all(|version| last <= *version));
        prop_assert!(net.hosts.values().all(|h| h.node.as_ref().unwrap().is_fresh()));
    }
}
