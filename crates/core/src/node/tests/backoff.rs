//! Endpoints that ask a daemon to back off, in whole nodes: the daemon keeps to it whoever places its requests, and
//! the others know a moment after.
//!
//! The story of the failure that this guards against is in `relay::tests::backoff` of the server.

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

/// The endpoint that the configuration lists.
const ENDPOINT: &str = "e0";
/// More than any request waits for a place.
const LONG: Duration = Duration::from_secs(10);
/// Less than that.
const SHORT: Duration = Duration::from_millis(800);

fn reject(net: &mut Net, vm: &str, retry_after: Duration) {
    let rejection =
        Rejection { endpoint: ENDPOINT.into(), started_at: 0, retry_after: Some(retry_after) };
    net.handle(&vm.into(), Input::Rejected(rejection));
}

/// Asks for a place at a VM and waits for the answer; returns whether there is one.
fn is_placed(net: &mut Net, vm: &str) -> bool {
    let before = net.observed.placed.len();
    let call = net.ask(&vm.into(), NodeCall::Place(request()));
    net.wait_for_answer(call);
    before < net.observed.placed.len()
}

fn admission(net: &Net, vm: &VmName) -> Admission {
    let node: &Node = net.hosts[vm].node.as_ref().unwrap();
    node.admission(ENDPOINT, net.time())
}

#[gtest]
fn the_leader_places_nothing_of_a_daemon_that_was_asked_to_back_off() {
    let mut net = configured_net(&Site::new(3, 2), 31);

    reject(&mut net, "vm-4", LONG);
    let asked = net.time();
    let own = is_placed(&mut net, "vm-4");
    let waited = net.time().since(asked);
    let of_another = is_placed(&mut net, "vm-5");

    expect_false!(own);
    expect_that!(waited, le(Duration::from_millis(500)));
    expect_that!(net.observed.refused, elements_are![eq(&"overloaded")]);
    expect_true!(of_another);
}

#[gtest]
fn a_request_that_can_wait_is_placed_when_the_time_is_over() {
    let mut net = configured_net(&Site::new(3, 2), 32);

    reject(&mut net, "vm-4", SHORT);
    let asked = net.time();
    let placed = is_placed(&mut net, "vm-4");

    expect_true!(placed);
    expect_that!(net.time().since(asked), all![ge(SHORT), le(SHORT * 2)]);
}

#[gtest]
fn the_next_leader_knows_what_the_lost_one_knew() {
    for seed in 33..43 {
        let mut net = configured_net(&Site::new(3, 2), seed);
        reject(&mut net, "vm-4", LONG);
        net.run(5);

        let leader = net.leader().unwrap();
        net.crash(&leader);
        net.run(150);

        expect_false!(is_placed(&mut net, "vm-4"), "seed {seed}");
    }
}

#[gtest]
fn a_daemon_keeps_to_it_while_no_leader_answers() {
    let mut net = configured_net(&Site::new(3, 2), 34);
    net.replicas().iter().for_each(|vm| net.crash(vm));
    net.run(50);

    reject(&mut net, "vm-4", LONG);

    expect_false!(is_placed(&mut net, "vm-4"));
    expect_true!(is_placed(&mut net, "vm-5"));
}

#[gtest]
fn all_daemons_are_told_that_the_endpoint_is_the_last_resort() {
    let mut net = configured_net(&Site::new(3, 3), 35);

    reject(&mut net, "vm-4", LONG);
    net.run(20);

    for vm in net.vms() {
        let is_own = &*vm == "vm-4";
        let now = admission(&net, &vm);
        expect_that!(matches!(now, Admission::BackedOff(_)), eq(is_own), "{vm}");
        expect_that!(now == Admission::LastResort, eq(!is_own), "{vm}");
    }
}

#[gtest]
fn a_daemon_that_was_suspended_goes_on_when_the_time_is_over() {
    let mut net = configured_net(&Site::new(3, 2), 36);
    reject(&mut net, "vm-4", SHORT);

    net.hosts.get_mut("vm-4").unwrap().suspended = true;
    net.run(100);
    net.hosts.get_mut("vm-4").unwrap().suspended = false;
    net.run(50);

    expect_true!(is_placed(&mut net, "vm-4"));
}
