//! Tests of how records of endpoints spread between daemons and are published and saved.

use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;

use super::{Clocks, EntryDaemons, Input, Node, NodeOptions, NodeTiming, Output, VmName};
use crate::{
    config::Document,
    mechanism::Disabled,
    state::{ChangeId, EncodedDelta},
    units::{Instant, UnixMillis},
    wire::{Body, EndpointInterest, EndpointNews, EndpointRecord, Piece, Poll, PollReply},
};

pub(super) fn clocks(ms: u64) -> Clocks {
    Clocks { now: Instant(ms * 1_000), wall: UnixMillis(ms) }
}

fn entry() -> Node {
    let seeds: Vec<VmName> = vec!["10.0.0.1".into(), "10.0.0.2".into()];
    let options = NodeOptions {
        vm: "10.0.0.9".into(),
        hall: String::new(),
        seeds,
        founders: Vec::new(),
        max_voters: 3,
        takes_callers: true,
        polls_loads: true,
        endpoint_heartbeat: Duration::from_secs(1),
        timing: NodeTiming::default(),
        seed: 1,
        disabled: Disabled::default(),
    };
    Node::entry(&options, Instant(0))
}

/// An entry with links to two control VMs, the first of which is the leader.
fn linked_entry(leader: &VmName, other: &VmName) -> Node {
    let mut node = entry();
    let mut outputs = node.handle(Input::LinkUp(leader.clone()), clocks(1));
    outputs.extend(node.handle(Input::LinkUp(other.clone()), clocks(1)));
    let reply = poll_reply(leader, &outputs);
    node.handle(Input::Message(leader.clone(), reply), clocks(2));
    node
}

/// The leader's reply to the poll in these outputs.
fn poll_reply(leader: &VmName, outputs: &[Output]) -> Body {
    let nonce = outputs.iter().find_map(|output| match output {
        Output::Send(to, Body::Poll(poll)) if to == leader => Some(poll.nonce),
        _ => None,
    });
    let reply = PollReply { nonce: nonce.unwrap(), term: 1, daemons: 3, ..Default::default() };
    Body::PollReply(reply)
}

fn leaving_news() -> Body {
    let record = EndpointRecord {
        id: "e".into(),
        service: "s".into(),
        address: "10.0.1.1:80".into(),
        leaving: true,
        sequence: 3,
        ..Default::default()
    };
    Body::EndpointNews(EndpointNews::new(vec![record]))
}

fn news_sent(outputs: &[Output], to: &VmName) -> usize {
    let is_news =
        |output: &&Output| matches!(output, Output::Send(vm, Body::EndpointNews(_)) if vm == to);
    outputs.iter().filter(is_news).count()
}

#[gtest]
fn entry_relays_news_of_partitioned_control_vm() {
    let (leader, other): (VmName, VmName) = ("10.0.0.1".into(), "10.0.0.2".into());
    let mut node = linked_entry(&leader, &other);

    let at_once = node.handle(Input::Message(other.clone(), leaving_news()), clocks(3));
    let soon = node.handle(Input::Tick, clocks(100));
    let again = node.handle(Input::Message(other, leaving_news()), clocks(101));
    let later = node.handle(Input::Tick, clocks(300));

    expect_that!(news_sent(&at_once, &leader), eq(0));
    expect_that!(news_sent(&soon, &leader), eq(1));
    expect_that!(news_sent(&again, &leader) + news_sent(&later, &leader), eq(0));
}

#[gtest]
fn entry_drops_news_that_the_leader_sends_first() {
    let (leader, other): (VmName, VmName) = ("10.0.0.1".into(), "10.0.0.2".into());
    let mut node = linked_entry(&leader, &other);

    node.handle(Input::Message(other, leaving_news()), clocks(3));
    node.handle(Input::Message(leader.clone(), leaving_news()), clocks(30));
    let later = node.handle(Input::Tick, clocks(300));

    expect_that!(news_sent(&later, &leader), eq(0));
}

#[gtest]
fn entry_queues_news_until_a_leader_is_known() {
    let (leader, other): (VmName, VmName) = ("10.0.0.1".into(), "10.0.0.2".into());
    let mut node = entry();
    node.handle(Input::LinkUp(other.clone()), clocks(1));
    node.handle(Input::Message(other, leaving_news()), clocks(2));
    let without = node.handle(Input::Tick, clocks(300));
    let next_tick = node.next_tick();
    let mut outputs = node.handle(Input::LinkUp(leader.clone()), clocks(301));
    let reply = poll_reply(&leader, &outputs);
    outputs = node.handle(Input::Message(leader.clone(), reply), clocks(302));
    outputs.extend(node.handle(Input::Tick, clocks(600)));

    expect_that!(news_sent(&without, &leader), eq(0));
    expect_that!(next_tick, gt(Instant(300_000)));
    expect_that!(news_sent(&outputs, &leader), eq(1));
}

#[gtest]
fn entry_does_not_echo_news_to_the_leader() {
    let (leader, other): (VmName, VmName) = ("10.0.0.1".into(), "10.0.0.2".into());
    let mut node = linked_entry(&leader, &other);

    let mut outputs = node.handle(Input::Message(leader.clone(), leaving_news()), clocks(3));
    outputs.extend(node.handle(Input::Tick, clocks(300)));

    expect_that!(news_sent(&outputs, &leader), eq(0));
}

/// A control VM with links to this many entries.
fn control_vm(entries: usize) -> Node {
    let options = NodeOptions {
        vm: "10.0.0.1".into(),
        hall: String::new(),
        seeds: vec!["10.0.0.1".into()],
        founders: vec!["10.0.0.1".into()],
        max_voters: 1,
        takes_callers: false,
        polls_loads: true,
        endpoint_heartbeat: Duration::from_secs(1),
        timing: NodeTiming::default(),
        seed: 1,
        disabled: Disabled::default(),
    };
    let mut node = Node::replica(&options, 1, crate::agreement::Restored::default(), Instant(0));
    for n in 0..entries {
        let entry: VmName = format!("10.0.1.{n}").into();
        node.handle(Input::LinkUp(entry.clone()), clocks(1));
        let interest = EndpointInterest { wanted: true, samples: Vec::new() };
        node.handle(Input::Message(entry, Body::EndpointInterest(interest)), clocks(1));
    }
    node
}

fn heartbeat(id: usize, sequence: u64) -> Input {
    Input::Heartbeat(EndpointRecord {
        id: format!("e{id}"),
        service: "s".into(),
        address: format!("10.0.{}.{}:80", 2 + id / 250, id % 250),
        sequence,
        ..Default::default()
    })
}

#[gtest]
fn news_after_the_first_is_batched() {
    let entry: VmName = "10.0.1.0".into();
    let mut node = control_vm(100);

    let first = node.handle(heartbeat(0, 1), clocks(1_000));
    let mut next: Vec<Output> = Vec::new();
    for id in 1..50 {
        next.extend(node.handle(heartbeat(id, 1), clocks(1_001)));
    }
    let due = node.next_tick();
    let later = node.handle(Input::Tick, clocks(1_011));

    expect_that!(news_sent(&first, &entry), eq(1));
    expect_that!(news_sent(&next, &entry), eq(0));
    expect_that!(due, le(Instant(1_010_000)));
    expect_that!(news_sent(&later, &entry), eq(1));
}

/// Endpoints in the publications of a node.
fn published(outputs: &[Output]) -> usize {
    let published = outputs.iter().filter_map(|output| match output {
        Output::Registered(changes) => Some(changes.changed.len() + changes.removed.len()),
        _ => None,
    });
    published.sum()
}

/// The work for a change must not grow with the number of endpoints.
#[gtest]
fn each_change_is_published_once_whatever_the_number_of_endpoints() {
    for count in [50, 500] {
        let mut node = control_vm(1);

        let registered: usize =
            (0..count).map(|id| published(&node.handle(heartbeat(id, 1), clocks(1_000)))).sum();
        let unchanged = node.handle(heartbeat(7, 2), clocks(2_000));
        let changed = node.handle(Input::EndpointDeregistered("e7".into()), clocks(3_000));

        expect_that!(registered, eq(count));
        expect_that!(published(&unchanged), eq(0));
        expect_that!(published(&changed), eq(1));
    }
}

/// The endpoints that a node saves to disk.
fn saved(outputs: &[Output]) -> Option<&Vec<EndpointRecord>> {
    outputs.iter().rev().find_map(|output| match output {
        Output::SaveEndpoints(records) => Some(records),
        _ => None,
    })
}

#[gtest]
fn saves_are_throttled_and_need_changes() {
    let mut node = leader();
    let mut first = node.handle(heartbeat(1, 1), clocks(3_000));
    first.extend(node.handle(Input::Tick, clocks(3_001)));

    let soon = node.handle(heartbeat(2, 1), clocks(3_002));
    let due = node.handle(Input::Tick, clocks(3_300));
    let unchanged = node.handle(heartbeat(2, 2), clocks(4_000));

    expect_that!(saved(&first).map(Vec::len), some(eq(1)));
    expect_that!(saved(&soon), none());
    expect_that!(saved(&due).map(Vec::len), some(eq(2)));
    expect_that!(saved(&unchanged), none());
}

// Guards against elections that wait for a write of endpoints.
#[gtest]
fn endpoints_are_not_saved_while_there_is_no_leader() {
    let mut node = control_vm(0);

    let mut outputs = node.handle(heartbeat(1, 1), clocks(1_000));
    outputs.extend(node.handle(Input::Tick, clocks(2_000)));

    expect_that!(saved(&outputs), none());
}

/// Entry counts in the leader's reply to the last of these polls.
fn entries_after(node: &mut Node, polls: &[(&str, bool, u64)]) -> Option<EntryDaemons> {
    let mut last = None;
    for (vm, stopping, at) in polls {
        let poll = Poll { nonce: 1, takes_callers: true, stopping: *stopping, ..Poll::default() };
        let outputs = node.handle(Input::Message((*vm).into(), Body::Poll(poll)), clocks(*at));
        last = outputs.iter().find_map(|output| match output {
            Output::Send(to, Body::PollReply(reply)) if **to == **vm => {
                Some(EntryDaemons { accepting: reply.taking, stopping: reply.stopping })
            }
            _ => None,
        });
    }
    last
}

/// The only control VM of a group, which leads it.
pub(super) fn leader() -> Node {
    let mut node = control_vm(0);
    let mut inputs = vec![Input::Tick];
    let mut at = 1;
    while !inputs.is_empty() || node.next_tick() < Instant(2_000_000) {
        at = (at + 1).max(node.next_tick().0.div_ceil(1_000)).min(2_000);
        let batch: Vec<Input> = inputs.drain(..).chain([Input::Tick]).collect();
        for input in batch {
            for output in node.handle(input, clocks(at)) {
                if let Output::Persist(number, _) = output {
                    inputs.push(Input::Persisted(number));
                }
            }
        }
        if 2_000 <= at && inputs.is_empty() {
            break;
        }
    }
    node
}

#[gtest]
fn leader_counts_stopping_entries() {
    let mut node = leader();

    let all = entries_after(&mut node, &[("a", false, 3_000), ("b", false, 3_001)]);
    let one_stops = entries_after(&mut node, &[("a", true, 3_100), ("b", false, 3_101)]);
    let long_stopping = entries_after(&mut node, &[("a", true, 5_900), ("b", false, 5_901)]);

    expect_that!(all, some(eq(EntryDaemons { accepting: 2, stopping: 0 })));
    expect_that!(one_stops, some(eq(EntryDaemons { accepting: 1, stopping: 1 })));
    expect_that!(long_stopping, some(eq(EntryDaemons { accepting: 1, stopping: 0 })));
}

/// An entry with an active configuration that has a service `s`.
fn configured() -> Node {
    let leader: VmName = "10.0.0.1".into();
    let mut node = entry();
    let text = "[deployment]\nname = d\nversion = 1\n[service s]\n";
    let document = Document::parse("f", text).unwrap();
    let hash = Bytes::copy_from_slice(&document.content_hash().0);
    let outputs = node.handle(Input::LinkUp(leader.clone()), clocks(1));
    let Body::PollReply(reply) = poll_reply(&leader, &outputs) else { panic!() };
    let reply = PollReply { version: 1, hash: hash.clone(), ..reply };
    node.handle(Input::Message(leader.clone(), Body::PollReply(reply)), clocks(2));
    let delta = EncodedDelta::write(&Document::default().delta_to(&document));
    let change = ChangeId { version: 1, base: 0, hash };
    let piece = Piece { change, number: 0, last: true, delta };
    node.handle(Input::Message(leader, Body::Piece(piece)), clocks(3));
    node
}

#[gtest]
fn unconfigured_service_replaces_no_endpoint() {
    let mut node = configured();
    node.handle(heartbeat(1, 1), clocks(10));
    let known = node.registry.records().next().unwrap().clone();

    let unconfigured = |id: &str, address: &str| EndpointRecord {
        id: id.into(),
        service: "nobody".into(),
        address: address.into(),
        sequence: 900,
        born: 1 << 50,
        ..known.clone()
    };
    for record in [unconfigured(&known.id, "10.9.9.9:1"), unconfigured("other", &known.address)] {
        node.handle(Input::Heartbeat(record), clocks(20_000));
    }

    expect_that!(node.client.active_config(), some(anything()));
    expect_that!(node.registry.records().cloned().collect::<Vec<_>>(), elements_are![eq(&known)]);
}
