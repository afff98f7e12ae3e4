//! Links that only one of their two sides holds for silent.

use googletest::prelude::*;

use super::{
    super::*,
    net::{Net, Site},
    quarantine::configured_net,
};
use crate::wire::EndpointRecord;

/// Steps of the net in which all that was sent is received and answered.
const SETTLED: usize = 20;

/// Lets a VM hold others for silent for a moment; they hear it all the time.
fn lose_for_a_moment(net: &mut Net, vm: &VmName, others: &[VmName]) {
    for other in others {
        net.handle(vm, Input::LinkDown(other.clone()));
    }
    net.run(2);
    for other in others {
        net.handle(vm, Input::LinkUp(other.clone()));
    }
    net.run(SETTLED);
}

/// Registers an endpoint at a control VM. Returns the daemons that know it.
fn register(net: &mut Net, at: &VmName, id: &str) -> Vec<VmName> {
    let record = EndpointRecord {
        id: id.into(),
        service: "s".into(),
        address: "10.0.0.1:80".into(),
        sequence: 1,
        ..Default::default()
    };
    net.handle(at, Input::Heartbeat(record));
    net.run(SETTLED);
    let knows = |vm: &VmName| net.node(vm).registry.records().any(|record| record.id == id);
    net.vms().into_iter().filter(knows).collect()
}

// Guards against daemons that hear no more of endpoints once another one has held them for silent.
#[gtest]
fn endpoint_is_known_to_all_after_one_sided_silence() {
    for seed in 0..5 {
        for of_control in [false, true] {
            let mut net = configured_net(&Site::new(3, 2), seed);
            let replicas = net.replicas();
            let lost = if of_control { replicas[0].clone() } else { net.entry() };
            for vm in replicas.iter().filter(|vm| **vm != lost) {
                lose_for_a_moment(&mut net, vm, std::slice::from_ref(&lost));
            }

            let known_to = register(&mut net, &replicas[1], "e1");

            expect_that!(known_to, eq(&net.vms()), "seed {seed}, {lost}");
        }
    }
}

// Guards against two sides that make each other begin anew for ever, as each answers what the other one has just left.
#[gtest]
fn sessions_settle_after_both_sides_lose_each_other() {
    for seed in 0..20 {
        let mut net = configured_net(&Site::new(3, 2), seed);
        for _ in 0..50 {
            let (vm, other) = (net.random_vm(), net.random_vm());
            if net.is_linked(&vm, &other) {
                net.handle(&vm, Input::LinkDown(other.clone()));
                net.handle(&vm, Input::LinkUp(other));
            }
            // Messages are late by turns, so that words of both sides cross.
            net.step(true);
        }
        net.run(SETTLED);

        let before = net.observed.sessions_renewed;
        net.run(SETTLED);

        expect_that!(net.observed.sessions_renewed, eq(before), "seed {seed}");
    }
}
