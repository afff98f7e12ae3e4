//! Backoff of endpoints that reject requests, in whole nodes: it holds for the rejected daemon with and
//! without a leader, and spreads to the others.

use std::time::Duration;

use googletest::prelude::*;

use super::{
    net::{Net, Site, request},
    quarantine::configured_net,
};
use crate::{
    backoff::{Admission, Rejection},
    node::{Input, Node, NodeCall, VmName},
};

/// The endpoint in the configuration.
const ENDPOINT: &str = "e0";
/// Longer than any request waits for a place.
const LONG_BACKOFF: Duration = Duration::from_secs(10);
/// Shorter than requests wait for a place.
const SHORT_BACKOFF: Duration = Duration::from_millis(800);

fn reject(net: &mut Net, vm: &str, retry_after: Duration) {
    let rejection =
        Rejection { endpoint: ENDPOINT.into(), started_at: 0, retry_after: Some(retry_after) };
    net.handle(&vm.into(), Input::Rejected(rejection));
}

/// Requests a place at a VM and returns whether it is granted.
fn is_placed(net: &mut Net, vm: &str) -> bool {
    let before = net.observed.placed.len();
    let call = net.call(&vm.into(), NodeCall::Place(request()));
    net.wait_for_answer(call);
    before < net.observed.placed.len()
}

fn admission(net: &Net, vm: &VmName) -> Admission {
    let node: &Node = net.hosts[vm].node.as_ref().unwrap();
    node.admission(ENDPOINT, net.time())
}

#[gtest]
fn leader_skips_endpoints_that_back_off_the_daemon() {
    let mut net = configured_net(&Site::new(3, 2), 31);

    reject(&mut net, "vm-4", LONG_BACKOFF);
    let requested = net.time();
    let rejected_daemon = is_placed(&mut net, "vm-4");
    let waited = net.time().since(requested);
    let other_daemon = is_placed(&mut net, "vm-5");

    expect_false!(rejected_daemon);
    expect_that!(waited, le(Duration::from_millis(500)));
    expect_that!(net.observed.rejected, elements_are![eq(&"overloaded")]);
    expect_true!(other_daemon);
}

#[gtest]
fn waiting_request_is_placed_after_the_backoff() {
    let mut net = configured_net(&Site::new(3, 2), 32);

    reject(&mut net, "vm-4", SHORT_BACKOFF);
    let requested = net.time();
    let placed = is_placed(&mut net, "vm-4");

    expect_true!(placed);
    expect_that!(net.time().since(requested), all![ge(SHORT_BACKOFF), le(SHORT_BACKOFF * 2)]);
}

#[gtest]
fn backoff_survives_leader_failover() {
    for seed in 33..43 {
        let mut net = configured_net(&Site::new(3, 2), seed);
        reject(&mut net, "vm-4", LONG_BACKOFF);
        net.run(5);

        let leader = net.leader().unwrap();
        net.crash(&leader);
        net.run(150);

        expect_false!(is_placed(&mut net, "vm-4"), "seed {seed}");
    }
}

#[gtest]
fn backoff_holds_without_a_leader() {
    let mut net = configured_net(&Site::new(3, 2), 34);
    net.replicas().iter().for_each(|vm| net.crash(vm));
    net.run(50);

    reject(&mut net, "vm-4", LONG_BACKOFF);

    expect_false!(is_placed(&mut net, "vm-4"));
    expect_true!(is_placed(&mut net, "vm-5"));
}

#[gtest]
fn other_daemons_use_the_endpoint_as_last_resort() {
    let mut net = configured_net(&Site::new(3, 3), 35);

    reject(&mut net, "vm-4", LONG_BACKOFF);
    net.run(20);

    for vm in net.vms() {
        let is_own = &*vm == "vm-4";
        let now = admission(&net, &vm);
        expect_that!(matches!(now, Admission::BackedOff(_)), eq(is_own), "{vm}");
        expect_that!(now == Admission::LastResort, eq(!is_own), "{vm}");
    }
}

#[gtest]
fn suspended_daemon_resumes_after_the_backoff() {
    let mut net = configured_net(&Site::new(3, 2), 36);
    reject(&mut net, "vm-4", SHORT_BACKOFF);

    net.hosts.get_mut("vm-4").unwrap().suspended = true;
    net.run(100);
    net.hosts.get_mut("vm-4").unwrap().suspended = false;
    net.run(50);

    expect_true!(is_placed(&mut net, "vm-4"));
}
