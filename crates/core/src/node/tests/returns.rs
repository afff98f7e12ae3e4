//! Order of return in whole nodes: what a leader told a caller holds under the next leader, and
//! without one.

use std::time::Duration;

use googletest::prelude::*;

use super::{
    net::{Net, Site, request},
    quarantine::configured_net,
};
use crate::{
    node::{CallId, NodeCall},
    placement::Request,
    quarantine::ContentDigest,
};

/// Slots of the only engine; each is taken by a request that does not end.
const SLOTS: usize = 4;
const DAEMON: &str = "vm-4";

/// A request whose digest is made from its number.
fn numbered(number: u8) -> Request {
    let digest = ContentDigest::from_slice(&[number; 16]);
    Request { digest, max_wait: Duration::from_millis(200), ..request() }
}

fn place(net: &mut Net, req: Request) -> CallId {
    net.call(&DAEMON.into(), NodeCall::Place(req))
}

/// A net whose engine is full, with a request that was told to come back after a second.
fn net_with_rejected(seed: u64) -> Net {
    let mut net = configured_net(&Site::new(3, 2), seed);
    for _ in 0..SLOTS {
        let call = place(&mut net, request());
        net.wait_for_answer(call);
    }
    let call = place(&mut net, numbered(1));
    net.wait_for_answer(call);
    assert_that!(net.observed.placed.len(), eq(SLOTS));
    assert_that!(net.observed.rejected.len(), eq(1));
    net
}

/// Whether a newcomer is rejected while the returning request, which came later, waits on.
fn returning_outlasts_newcomer(net: &mut Net) -> bool {
    let newcomer = place(net, numbered(2));
    let returning = place(net, numbered(1));
    net.wait_for_answer(newcomer);
    net.run(30);
    !net.observed.answered.contains(&returning)
}

/// Guards against a place in the order that is lost with the leader that gave it.
#[gtest]
fn order_of_return_survives_leader_failover() {
    for seed in 61..67 {
        let mut net = net_with_rejected(seed);
        let leader = net.leader().unwrap();
        net.crash(&leader);
        net.run(100);

        expect_true!(returning_outlasts_newcomer(&mut net), "seed {seed}");
    }
}

/// Guards against a daemon that does not know whom it has told to come back.
#[gtest]
fn daemon_without_leader_recognises_returning_requests() {
    let mut net = net_with_rejected(68);
    net.replicas().iter().for_each(|vm| net.crash(vm));
    net.run(50);

    expect_true!(returning_outlasts_newcomer(&mut net));
}
