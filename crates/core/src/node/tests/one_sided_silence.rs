//! Links that only one of their two sides holds for silent.

use std::collections::BTreeMap;

use googletest::prelude::*;

use super::{
    super::*,
    net::{Net, Site},
    quarantine::configured_net,
};
use crate::wire::{Body, EndpointRecord, SessionOpened};

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
    let knows = |vm: &VmName| {
        let node = net.hosts[vm].node.as_ref().unwrap();
        node.registry.records().any(|record| record.id == id)
    };
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

// Guards against two sides that make each other begin anew for ever.
#[gtest]
fn sessions_settle_when_both_sides_lose_each_other() {
    let mut net = configured_net(&Site::new(3, 2), 1);
    let (entry, replicas) = (net.entry(), net.replicas());
    lose_for_a_moment(&mut net, &entry, &replicas);
    for vm in &replicas {
        net.handle(vm, Input::LinkDown(entry.clone()));
        net.handle(&entry, Input::LinkDown(vm.clone()));
        net.handle(vm, Input::LinkUp(entry.clone()));
        net.handle(&entry, Input::LinkUp(vm.clone()));
    }
    net.run(SETTLED);

    let before = sessions(&net);
    net.run(SETTLED);

    expect_that!(sessions(&net), eq(&before));
}

fn sessions(net: &Net) -> BTreeMap<VmName, String> {
    let sessions = |vm: &VmName| format!("{:?}", net.hosts[vm].node.as_ref().unwrap().sessions);
    net.vms().into_iter().map(|vm| (vm.clone(), sessions(&vm))).collect()
}

/// What a VM answers to the word that a session has begun at its peer; `None` if it goes on as before.
fn answered(net: &mut Net, vm: &VmName, peer: &VmName, opened: SessionOpened) -> Option<u64> {
    let clocks = Clocks { now: net.time(), wall: Default::default() };
    let node = net.hosts.get_mut(vm).unwrap().node.as_mut().unwrap();
    let outputs = node.handle(Input::Message(peer.clone(), Body::SessionOpened(opened)), clocks);
    outputs.into_iter().find_map(|output| match output {
        Output::Send(to, Body::SessionOpened(answer)) if to == *peer => answer.answers,
        _ => None,
    })
}

#[gtest]
fn session_begins_anew_for_a_new_one_of_the_peer_only() {
    let mut net = configured_net(&Site::new(3, 2), 1);
    let (entry, control) = (net.entry(), net.replicas()[0].clone());

    let opened = |session| SessionOpened { session, answers: None };
    let new = answered(&mut net, &entry, &control, opened(7));
    let again = answered(&mut net, &entry, &control, opened(7));

    expect_that!(new, some(eq(7)));
    expect_that!(again, none());
}
