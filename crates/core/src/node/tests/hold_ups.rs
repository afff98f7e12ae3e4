//! Daemons that do not run for a while.

use std::time::Duration;

use googletest::prelude::*;

use super::{
    super::*,
    net::{Net, Site},
    quarantine::configured_net,
};

/// Steps of the net for which a daemon does not run: longer than two polls.
const HELD_UP: usize = 60;

/// Whether the daemon, once it runs again, takes its leader's scheduler for silent before it has read what waits.
fn takes_scheduler_for_silent(net: &mut Net, vm: &VmName) -> bool {
    net.hosts.get_mut(vm).unwrap().suspended = true;
    net.run(HELD_UP);
    net.hosts.get_mut(vm).unwrap().suspended = false;
    net.handle(vm, Input::Tick);
    let now = net.time();
    net.hosts[vm].node.as_ref().unwrap().client.scheduler(now).is_none()
}

// Guards against daemons that lose their leader, and wait for none of its answers, each time that they are held up.
#[gtest]
fn daemon_that_was_held_up_knows_its_leader() {
    for seed in 0..10 {
        let mut net = configured_net(&Site::new(3, 2), seed);
        let entry = net.entry();

        expect_false!(takes_scheduler_for_silent(&mut net, &entry), "seed {seed}");
    }
}

#[gtest]
fn daemon_that_was_held_up_finds_out_that_its_leader_is_gone() {
    let mut net = configured_net(&Site::new(3, 2), 1);
    let (entry, leader) = (net.entry(), net.leader().unwrap());
    net.crash(&leader);
    takes_scheduler_for_silent(&mut net, &entry);

    net.run(Duration::from_secs(1).as_millis() as usize / 20);

    expect_that!(net.hosts[&entry].node.as_ref().unwrap().client.leader(), not(some(eq(&leader))));
}
