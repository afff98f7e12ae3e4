//! How news of endpoints that register themselves spreads between daemons.

use std::time::Duration;

use googletest::prelude::*;

use super::{Clocks, Input, Node, NodeOptions, NodeTiming, Output, VmName};
use crate::{
    units::{Instant, UnixMillis},
    wire::{Body, EndpointNews, EndpointRecord, PollReply},
};

fn clocks(ms: u64) -> Clocks {
    Clocks { now: Instant(ms * 1_000), wall: UnixMillis(ms) }
}

fn entry() -> Node {
    let seeds: Vec<VmName> = vec!["10.0.0.1".into(), "10.0.0.2".into()];
    let options = NodeOptions {
        vm: "10.0.0.9".into(),
        seeds,
        founders: Vec::new(),
        max_voters: 3,
        endpoint_heartbeat: Duration::from_secs(1),
        timing: NodeTiming::default(),
        seed: 1,
    };
    Node::entry(&options, Instant(0))
}

/// Links an entry to two control VMs and lets the first one answer as the leader.
fn linked_entry(leader: &VmName, other: &VmName) -> Node {
    let mut node = entry();
    let mut outputs = node.handle(Input::LinkUp(leader.clone()), clocks(1));
    outputs.extend(node.handle(Input::LinkUp(other.clone()), clocks(1)));
    let nonce = outputs.iter().find_map(|output| match output {
        Output::Send(to, Body::Poll(poll)) if to == leader => Some(poll.nonce),
        _ => None,
    });
    let reply = PollReply { nonce: nonce.unwrap(), term: 1, daemons: 3, ..Default::default() };
    node.handle(Input::Message(leader.clone(), Body::PollReply(reply)), clocks(2));
    node
}

fn leaving() -> Body {
    let record = EndpointRecord {
        id: "e".into(),
        service: "s".into(),
        address: "10.0.1.1:80".into(),
        leaving: true,
        sequence: 3,
        ..Default::default()
    };
    Body::EndpointNews(EndpointNews { records: vec![record] })
}

fn told(outputs: &[Output], to: &VmName) -> usize {
    let is_news =
        |output: &&Output| matches!(output, Output::Send(vm, Body::EndpointNews(_)) if vm == to);
    outputs.iter().filter(is_news).count()
}

#[gtest]
fn an_entry_tells_the_leader_what_a_parted_control_vm_heard() {
    let (leader, other): (VmName, VmName) = ("10.0.0.1".into(), "10.0.0.2".into());
    let mut node = linked_entry(&leader, &other);

    let first = node.handle(Input::Message(other.clone(), leaving()), clocks(3));
    let again = node.handle(Input::Message(other, leaving()), clocks(4));

    expect_that!(told(&first, &leader), eq(1));
    expect_that!(told(&again, &leader), eq(0));
}

#[gtest]
fn an_entry_does_not_tell_the_leader_its_own_news() {
    let (leader, other): (VmName, VmName) = ("10.0.0.1".into(), "10.0.0.2".into());
    let mut node = linked_entry(&leader, &other);

    let outputs = node.handle(Input::Message(leader.clone(), leaving()), clocks(3));

    expect_that!(told(&outputs, &leader), eq(0));
}
