//! Endpoints that announce in a response that they are leaving: the daemon that receives it sends them no
//! new requests at once, and the announcement spreads to the others.

use googletest::prelude::*;

use super::{
    net::{Net, Site},
    quarantine::configured_net,
};
use crate::{
    node::{Input, VmName},
    wire::EndpointRecord,
};

const ENDPOINT: &str = "e-1";
/// Start time of its process.
const STARTED_AT: u64 = 1_000;

fn heartbeat(net: &mut Net, vm: &str, started_at: u64, sequence: u64) {
    let record = EndpointRecord {
        id: ENDPOINT.into(),
        service: "s".into(),
        address: "127.0.0.1:9100".into(),
        hall: "h".into(),
        slots: 4,
        sequence,
        born: started_at,
        ..EndpointRecord::default()
    };
    net.handle(&vm.into(), Input::Heartbeat(record));
}

fn announce_leaving(net: &mut Net, vm: &str, started_at: u64) {
    net.handle(&vm.into(), Input::Leaving { endpoint: ENDPOINT.into(), started_at });
}

fn accepts_requests(net: &Net, vm: &VmName) -> bool {
    let registry = &net.hosts[vm].node.as_ref().unwrap().registry;
    registry.unavailable().all(|closed| **closed != *ENDPOINT)
}

/// A net in which all daemons know the endpoint.
fn with_endpoint(seed: u64) -> Net {
    let mut net = configured_net(&Site::new(3, 3), seed);
    heartbeat(&mut net, "vm-1", STARTED_AT, 1);
    net.run(20);
    net
}

#[gtest]
fn leaving_applies_at_once_and_spreads() {
    let mut net = with_endpoint(51);
    let before: Vec<bool> = net.vms().iter().map(|vm| accepts_requests(&net, vm)).collect();

    announce_leaving(&mut net, "vm-4", STARTED_AT);
    let at_once = accepts_requests(&net, &"vm-4".into());
    net.run(20);

    expect_that!(before, each(eq(&true)));
    expect_false!(at_once);
    for vm in net.vms() {
        expect_false!(accepts_requests(&net, &vm), "{vm}");
    }
}

#[gtest]
fn heartbeat_does_not_revoke_leaving() {
    let mut net = with_endpoint(52);

    announce_leaving(&mut net, "vm-4", STARTED_AT);
    net.run(20);
    heartbeat(&mut net, "vm-2", STARTED_AT, 2);
    net.run(20);

    for vm in net.vms() {
        expect_false!(accepts_requests(&net, &vm), "{vm}");
    }
}

#[gtest]
fn isolated_daemon_applies_leaving() {
    let mut net = with_endpoint(53);
    net.partitioned = ["vm-4".into()].into();
    net.isolate(&"vm-4".into());

    announce_leaving(&mut net, "vm-4", STARTED_AT);
    net.run(20);
    let others = accepts_requests(&net, &"vm-5".into());
    net.partitioned.clear();
    net.recover(50);

    expect_false!(accepts_requests(&net, &"vm-4".into()));
    expect_true!(others);
    expect_false!(accepts_requests(&net, &"vm-5".into()));
}

#[gtest]
fn leaving_applies_to_one_run() {
    let mut net = with_endpoint(54);

    announce_leaving(&mut net, "vm-4", STARTED_AT);
    net.run(20);
    heartbeat(&mut net, "vm-1", STARTED_AT + 1, 1);
    net.run(20);
    announce_leaving(&mut net, "vm-5", STARTED_AT);
    net.run(20);

    for vm in net.vms() {
        expect_true!(accepts_requests(&net, &vm), "{vm}");
    }
}
