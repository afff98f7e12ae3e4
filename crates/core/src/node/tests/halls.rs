//! Orders about data halls in whole nodes: durable, applied on every daemon and never reverted.

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;

use super::{
    net::{Net, Site, request},
    small_site,
};
use crate::{
    node::{NodeCall, VmName},
    testing::fixed_seed,
};

/// Five control replicas and two entries.
fn large_site() -> Site {
    Site::new(5, 2)
}

/// A net with a leader and a configuration of one engine in hall `h`.
fn configured_net(site: &Site, seed: u64) -> Net {
    let mut net = Net::new(site, seed);
    net.recover(100);
    net.submit(&net.entry(), 1, "a");
    net.recover(60);
    net
}

fn halls_out_at(net: &Net, vm: &str) -> Vec<String> {
    net.observed.halls.known(vm).names
}

#[gtest]
fn hall_order_reaches_every_daemon() {
    let mut net = configured_net(&small_site(), 1);

    let call = net.order_hall(&"vm-2".into(), "h", true);
    net.wait_for_answer(call);
    net.run(2);

    for vm in &net.vms() {
        expect_that!(halls_out_at(&net, vm), elements_are![eq("h")], "{vm}");
    }
}

#[gtest]
fn hall_out_of_service_rejects_requests() {
    let mut net = configured_net(&small_site(), 2);
    let call = net.order_hall(&"vm-1".into(), "h", true);
    net.wait_for_answer(call);
    net.run(2);

    net.call(&net.entry(), NodeCall::Place(request()));
    net.run(5);
    let placed_while_out = net.observed.placed.len();
    let rejected = net.observed.rejected.clone();
    let call = net.order_hall(&"vm-2".into(), "h", false);
    net.wait_for_answer(call);
    net.run(2);
    net.call(&net.entry(), NodeCall::Place(request()));
    net.run(5);

    expect_that!(placed_while_out, eq(0));
    expect_that!(rejected, eq(&vec!["out_of_service"]));
    expect_that!(net.observed.placed.len(), eq(1));
}

#[gtest]
fn hall_order_rejects_waiting_requests() {
    let mut net = configured_net(&small_site(), 3);
    for _ in 0..5 {
        net.call(&net.entry(), NodeCall::Place(request()));
    }
    net.run(5);
    let waited = net.observed.rejected.len();

    let call = net.order_hall(&"vm-1".into(), "h", true);
    net.wait_for_answer(call);
    net.run(3);

    expect_that!(waited, eq(0));
    expect_that!(net.observed.placed.len(), eq(4));
    expect_that!(net.observed.rejected, eq(&vec!["out_of_service"]));
}

#[gtest]
fn hall_order_applies_without_a_scheduler() {
    let mut net = configured_net(&small_site(), 4);
    let call = net.order_hall(&"vm-1".into(), "h", true);
    net.wait_for_answer(call);
    net.run(2);
    for vm in net.replicas() {
        net.crash(&vm);
    }
    net.run(100);

    net.call(&net.entry(), NodeCall::Place(request()));
    net.run(5);

    expect_that!(net.observed.placed, is_empty());
    expect_that!(net.observed.rejected, eq(&vec!["out_of_service"]));
}

#[gtest]
fn hall_orders_survive_disk_loss_and_full_restart() {
    let mut net = configured_net(&large_site(), 5);
    let call = net.order_hall(&"vm-3".into(), "h", true);
    net.wait_for_answer(call);

    for vm in net.vms() {
        net.crash(&vm);
    }
    net.wipe_disk(&"vm-1".into());
    net.wipe_disk(&"vm-4".into());
    net.recover(300);

    for vm in &net.vms() {
        expect_that!(halls_out_at(&net, vm), elements_are![eq("h")], "{vm}");
    }
}

#[gtest]
fn hall_order_survives_disk_loss_of_its_vm() {
    for vm in 1..=5 {
        let vm: VmName = format!("vm-{vm}").into();
        let mut net = configured_net(&large_site(), 6);
        let call = net.order_hall(&vm, "h", true);
        net.wait_for_answer(call);

        net.wipe_disk(&vm);
        if let Some(leader) = net.leader() {
            net.crash(&leader);
        }
        net.recover(300);

        expect_that!(halls_out_at(&net, &net.entry()), elements_are![eq("h")], "{vm}");
    }
}

#[gtest]
fn outdated_hall_order_has_no_effect() {
    let mut net = configured_net(&large_site(), 7);
    let isolated: VmName =
        net.replicas().into_iter().find(|vm| Some(vm) != net.leader().as_ref()).unwrap();
    net.partitioned = [isolated.clone()].into();
    net.isolate(&isolated);
    // The order is queued there until a leader answers.
    let late = net.order_hall(&isolated, "h", true);
    let out = net.order_hall(&"vm-6".into(), "h", true);
    net.wait_for_answer(out);
    net.run(2);
    let back = net.order_hall(&"vm-6".into(), "h", false);
    net.wait_for_answer(back);

    net.recover(100);

    expect_that!(net.observed.answered.contains(&late), eq(true));
    expect_that!(halls_out_at(&net, "vm-7"), is_empty());
}

#[gtest]
fn hall_reads_are_linearizable() {
    let mut net = configured_net(&small_site(), 8);
    let old = net.leader().unwrap();
    let call = net.order_hall(&"vm-4".into(), "h", true);
    net.wait_for_answer(call);
    net.run(2);

    net.call(&"vm-5".into(), NodeCall::ReadHallsOut { limit: Duration::from_secs(1) });
    net.run(10);
    let reads = net.observed.halls_read.clone();
    // A partitioned leader cannot confirm its state.
    net.partitioned = [old.clone()].into();
    net.isolate(&old);
    net.call(&old, NodeCall::ReadHallsOut { limit: Duration::from_secs(1) });
    net.run(100);

    expect_that!(reads.len(), eq(1));
    expect_that!(reads[0].as_ref().unwrap().names, elements_are![eq("h")]);
    expect_that!(net.observed.halls_read[1], none());
}

proptest! {
    #![proptest_config(fixed_seed(60))]

    /// Under crashes, partitions, suspended VMs and concurrent operators, no daemon reverts to an older
    /// state, all converge, and every acknowledged order that was not reversed is applied.
    #[test]
    fn hall_orders_are_monotonic_and_durable(seed in any::<u64>()) {
        let mut net = Net::new(&small_site(), seed);
        net.recover(60);
        for _ in 0..60 {
            net.run_with_faults(6);
            let (vm, out) = (net.random_vm(), net.random(2) == 0);
            let hall = ["a", "b"][net.random(2) as usize];
            net.order_hall(&vm, hall, out);
        }
        net.recover(400);
        let first = net.observed.halls.known("vm-1");
        for vm in net.vms() {
            prop_assert_eq!(net.observed.halls.known(&vm), first.clone());
        }
        prop_assert!(0 < first.number);
        net.observed.halls.check_all_applied(&first);
    }
}
