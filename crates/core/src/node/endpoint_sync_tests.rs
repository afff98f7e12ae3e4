//! Tests of how a daemon that is linked anew gets to know the endpoints.

use std::{collections::BTreeMap, time::Duration};

use googletest::prelude::*;
use proptest::prelude::*;

use super::{Clocks, Input, Node, NodeOptions, NodeTiming, Output, VmName};
use crate::{
    agreement::Restored,
    mechanism::Disabled,
    testing::fixed_seed,
    units::{Instant, UnixMillis},
    wire::{Body, EndpointNews, EndpointRecord, PollReply},
};

const ENTRY: &str = "10.0.0.9";

fn control(n: usize) -> VmName {
    format!("10.0.0.{n}").into()
}

fn options(vm: &str) -> NodeOptions {
    NodeOptions {
        vm: vm.into(),
        seeds: (1..=3).map(control).collect(),
        founders: Vec::new(),
        max_voters: 3,
        takes_callers: vm == ENTRY,
        endpoint_heartbeat: Duration::from_secs(1),
        timing: NodeTiming::default(),
        seed: 1,
        disabled: Disabled::default(),
    }
}

fn record(n: usize) -> EndpointRecord {
    EndpointRecord {
        id: format!("i-{n}"),
        service: "s".into(),
        address: format!("10.1.{}.{}:80", n / 250, n % 250),
        hall: "h".into(),
        slots: 4,
        sequence: 1,
        ..EndpointRecord::default()
    }
}

/// An entry and control VMs, and what the entry was sent. Control VMs do not hear each other.
struct Links {
    nodes: BTreeMap<VmName, Node>,
    /// Who answers the entry's polls.
    leader: Option<VmName>,
    /// Control VMs that take and send nothing.
    silent: Vec<VmName>,
    now_ms: u64,
    /// Records that the entry was sent.
    sent: usize,
    /// Records that each control VM was told by the entry.
    told: BTreeMap<VmName, Vec<EndpointRecord>>,
}

impl Links {
    /// Control VMs that know these endpoints from before their start, and an entry.
    fn new(known: &[Vec<usize>]) -> Links {
        let mut nodes = BTreeMap::new();
        nodes.insert(ENTRY.into(), Node::entry(&options(ENTRY), Instant(0)));
        for (n, known) in known.iter().enumerate() {
            let vm = control(n + 1);
            let id = n as u64 + 1;
            let mut node = Node::replica(&options(&vm), id, Restored::default(), Instant(0));
            let records = known.iter().map(|n| record(*n)).collect();
            node.handle(Input::RestoreEndpoints(records), clocks(0));
            nodes.insert(vm, node);
        }
        Links { nodes, leader: None, silent: Vec::new(), now_ms: 1, sent: 0, told: BTreeMap::new() }
    }

    fn link(&mut self, n: usize) {
        self.input(&ENTRY.into(), Input::LinkUp(control(n)));
        self.input(&control(n), Input::LinkUp(ENTRY.into()));
    }

    fn unlink(&mut self, n: usize) {
        self.input(&ENTRY.into(), Input::LinkDown(control(n)));
        self.input(&control(n), Input::LinkDown(ENTRY.into()));
    }

    /// Lets a control VM lead, as far as the entry knows.
    fn lead(&mut self, n: usize) {
        self.leader = Some(control(n));
    }

    /// Answers a poll in the leader's place.
    fn answer_poll(&mut self, leader: VmName, nonce: u64) {
        let reply = PollReply { nonce, term: 1, daemons: 3, ..PollReply::default() };
        self.input(&ENTRY.into(), Input::Message(leader, Body::PollReply(reply)));
    }

    fn input(&mut self, to: &VmName, input: Input) {
        let outputs = self.nodes.get_mut(to).unwrap().handle(input, clocks(self.now_ms));
        for output in outputs {
            let Output::Send(vm, body) = output else { continue };
            self.deliver(to.clone(), vm, body);
        }
    }

    fn deliver(&mut self, from: VmName, to: VmName, body: Body) {
        if self.silent.contains(&from) || self.silent.contains(&to) {
            return;
        }
        if let Body::EndpointNews(EndpointNews { records, .. }) = &body {
            if *to == *ENTRY {
                self.sent += records.len();
            } else if *from == *ENTRY {
                self.told.entry(to.clone()).or_default().extend(records.clone());
            }
        }
        if let Body::Poll(poll) = &body
            && self.leader.as_ref() == Some(&to)
        {
            return self.answer_poll(to, poll.nonce);
        }
        let is_between_control = *from != *ENTRY && *to != *ENTRY;
        if !is_between_control && self.nodes.contains_key(&to) {
            self.input(&to, Input::Message(from, body));
        }
    }

    fn pass(&mut self, ms: u64) {
        let until = self.now_ms + ms;
        while self.now_ms < until {
            self.now_ms += 5;
            for vm in self.nodes.keys().cloned().collect::<Vec<_>>() {
                self.input(&vm, Input::Tick);
            }
        }
    }

    /// Names of the endpoints that the entry knows.
    fn known(&self) -> Vec<String> {
        self.nodes[ENTRY].registry.records().map(|record| record.id.clone()).collect()
    }
}

fn clocks(ms: u64) -> Clocks {
    Clocks { now: Instant(ms * 1_000), wall: UnixMillis(ms) }
}

fn names(numbers: impl IntoIterator<Item = usize>) -> Vec<String> {
    let mut names: Vec<String> = numbers.into_iter().map(|n| record(n).id).collect();
    names.sort();
    names.dedup();
    names
}

#[gtest]
fn entry_fetches_restored_endpoints() {
    let mut links = Links::new(&[vec![1]]);

    links.link(1);
    links.pass(100);

    expect_that!(links.known(), eq(&names([1])));
}

#[gtest]
fn entry_fetches_each_endpoint_once() {
    let all: Vec<usize> = (0..500).collect();
    let mut links = Links::new(&[all.clone(), all.clone(), all.clone()]);

    for n in 1..=3 {
        links.link(n);
    }
    links.pass(300);

    expect_that!(links.known(), eq(&names(all)));
    expect_that!(links.sent, eq(500));
}

#[gtest]
fn relinked_entry_fetches_nothing_known() {
    let mut links = Links::new(&[(0..500).collect()]);
    links.link(1);
    links.pass(200);
    let before = links.sent;

    links.unlink(1);
    links.link(1);
    links.pass(200);

    expect_that!(links.sent, eq(before));
}

#[gtest]
fn silent_control_vm_is_skipped() {
    let all: Vec<usize> = (0..100).collect();
    for silent in 1..=2 {
        let mut links = Links::new(&[all.clone(), all.clone()]);
        links.link(1);
        links.link(2);
        links.silent.push(control(silent));
        links.pass(1_500);

        expect_that!(links.known(), eq(&names(all.clone())), "{silent}");
    }
}

#[gtest]
fn leader_receives_endpoints_it_lacks() {
    let mut links = Links::new(&[vec![1, 2], vec![1, 2, 7]]);
    links.link(1);
    links.link(2);
    links.lead(1);

    links.pass(500);

    let told = &links.told[&control(1)];
    expect_that!(told.iter().any(|record| record.id == "i-7"), eq(true));
}

#[gtest]
fn leader_receives_nothing_it_knows() {
    let all: Vec<usize> = (0..500).collect();
    let mut links = Links::new(&[all.clone(), all.clone(), all]);
    for n in 1..=3 {
        links.link(n);
    }
    links.lead(1);

    links.pass(500);

    expect_that!(links.told, is_empty());
}

proptest! {
    #![proptest_config(fixed_seed(100))]

    /// Whatever control VMs know and whenever links come up and go down, an entry that is linked to
    /// all of them knows what any of them knew.
    #[test]
    fn entry_converges_to_the_union(
        known in proptest::collection::vec(proptest::collection::vec(0usize..300, 0..80), 3),
        steps in proptest::collection::vec((1usize..4, any::<bool>(), 0u64..60), 0..12),
    ) {
        let mut links = Links::new(&known);
        let mut up = [false; 4];
        for (n, link, ms) in steps {
            if link && !up[n] {
                links.link(n);
            } else if !link && up[n] {
                links.unlink(n);
            }
            up[n] = link;
            links.pass(ms);
        }
        for n in (1..=3).filter(|n| !up[*n]) {
            links.link(n);
        }
        links.pass(500);

        prop_assert_eq!(links.known(), names(known.into_iter().flatten()));
    }
}
