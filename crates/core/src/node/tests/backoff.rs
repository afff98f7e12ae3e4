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
    units::Instant,
    wire::EndpointRecord,
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

/// An endpoint that registers itself and restarts under its name.
const RESTARTED: &str = "i-1";

/// Registers a run of the endpoint at a control VM.
fn register(net: &mut Net, started_at: u64) {
    let record = EndpointRecord {
        id: RESTARTED.into(),
        service: "s".into(),
        address: "127.0.0.1:9100".into(),
        hall: "h".into(),
        slots: 4,
        sequence: 1,
        born: started_at,
        ..EndpointRecord::default()
    };
    net.handle(&"vm-1".into(), Input::Heartbeat(record));
}

/// Something that happens to a daemon around the restart of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// The endpoint asks the daemon to back off; the daemon assumes the run that it knows.
    Asks(Duration),
    /// The second run sends its first heartbeat.
    Registers,
    /// The daemon is suspended for a while.
    Freezes,
}

/// All orders of the steps.
fn orders(steps: &[Step]) -> Vec<Vec<Step>> {
    if steps.is_empty() {
        return vec![Vec::new()];
    }
    let with_first = |first: usize| {
        let mut rest = steps.to_vec();
        let first = rest.remove(first);
        orders(&rest).into_iter().map(move |order| [vec![first], order].concat())
    };
    (0..steps.len()).flat_map(with_first).collect()
}

/// A response says nothing of the run that sent it, so a back-off asked for around a restart may be
/// the new run's.
#[gtest]
fn backoff_asked_for_around_a_restart_holds() {
    const LONG: Duration = Duration::from_millis(3_700);
    const SHORT: Duration = Duration::from_millis(1_300);
    let daemon: VmName = "vm-4".into();
    let steps = [Step::Asks(LONG), Step::Asks(SHORT), Step::Registers, Step::Freezes];
    for order in orders(&steps) {
        let mut net = configured_net(&Site::new(3, 2), 38);
        register(&mut net, 1);
        net.run(20);
        let mut known_run = 1;
        let mut ends = net.time();
        for step in &order {
            match step {
                Step::Asks(time) => {
                    let rejection = Rejection {
                        endpoint: RESTARTED.into(),
                        started_at: known_run,
                        retry_after: Some(*time),
                    };
                    net.handle(&daemon, Input::Rejected(rejection));
                    ends = ends.max(net.time().after(*time));
                }
                Step::Registers => {
                    register(&mut net, 2);
                    net.run(10);
                    known_run = 2;
                }
                Step::Freezes => {
                    net.hosts.get_mut(&daemon).unwrap().suspended = true;
                    net.run(20);
                    net.hosts.get_mut(&daemon).unwrap().suspended = false;
                    net.run(3);
                }
            }
        }

        while net.time() < Instant(ends.0 - 20_000) {
            net.run(1);
            let node = net.hosts[&daemon].node.as_ref().unwrap();
            let admission = node.admission(RESTARTED, net.time());
            assert_that!(admission, eq(Admission::BackedOff(ends)), "{order:?}");
        }
    }
}

#[gtest]
fn backoff_asked_for_long_before_a_restart_ends_with_its_run() {
    let daemon: VmName = "vm-4".into();
    let mut net = configured_net(&Site::new(3, 2), 39);
    register(&mut net, 1);
    net.run(20);
    let rejection = Rejection {
        endpoint: RESTARTED.into(),
        started_at: 1,
        retry_after: Some(Duration::from_secs(60)),
    };
    net.handle(&daemon, Input::Rejected(rejection));
    net.run(600);

    register(&mut net, 2);
    net.run(20);

    let node = net.hosts[&daemon].node.as_ref().unwrap();
    expect_that!(node.admission(RESTARTED, net.time()), eq(Admission::Allowed));
}
