//! Tests of the synchronization of endpoints when links come up.

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

pub(super) fn options(vm: &str) -> NodeOptions {
    NodeOptions {
        vm: vm.into(),
        hall: String::new(),
        seeds: (1..=3).map(control).collect(),
        founders: Vec::new(),
        max_voters: 3,
        takes_callers: vm == ENTRY,
        polls_loads: true,
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

/// An entry and control VMs without links between each other.
struct Cluster {
    nodes: BTreeMap<VmName, Node>,
    /// The control VM that replies to the entry's polls.
    leader: Option<VmName>,
    /// Control VMs whose messages are lost in both directions.
    silent: Vec<VmName>,
    now_ms: u64,
    /// Number of records sent to the entry.
    sent_to_entry: usize,
    /// Records that the entry has sent to each control VM.
    sent_to_control: BTreeMap<VmName, Vec<EndpointRecord>>,
}

impl Cluster {
    /// An entry and control VMs that have restored these endpoints.
    fn new(known: &[Vec<usize>]) -> Cluster {
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
        Cluster {
            nodes,
            leader: None,
            silent: Vec::new(),
            now_ms: 1,
            sent_to_entry: 0,
            sent_to_control: BTreeMap::new(),
        }
    }

    fn link(&mut self, n: usize) {
        self.input(&ENTRY.into(), Input::LinkUp(control(n)));
        self.input(&control(n), Input::LinkUp(ENTRY.into()));
    }

    fn unlink(&mut self, n: usize) {
        self.input(&ENTRY.into(), Input::LinkDown(control(n)));
        self.input(&control(n), Input::LinkDown(ENTRY.into()));
    }

    /// Makes a control VM the leader.
    fn set_leader(&mut self, n: usize) {
        self.leader = Some(control(n));
    }

    /// Replies to a poll as the leader.
    fn reply_to_poll(&mut self, leader: VmName, nonce: u64) {
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
                self.sent_to_entry += records.len();
            } else if *from == *ENTRY {
                self.sent_to_control.entry(to.clone()).or_default().extend(records.clone());
            }
        }
        if let Body::Poll(poll) = &body
            && self.leader.as_ref() == Some(&to)
        {
            return self.reply_to_poll(to, poll.nonce);
        }
        let is_between_control = *from != *ENTRY && *to != *ENTRY;
        if !is_between_control && self.nodes.contains_key(&to) {
            self.input(&to, Input::Message(from, body));
        }
    }

    fn run(&mut self, ms: u64) {
        let until = self.now_ms + ms;
        while self.now_ms < until {
            self.now_ms += 5;
            for vm in self.nodes.keys().cloned().collect::<Vec<_>>() {
                self.input(&vm, Input::Tick);
            }
        }
    }

    /// Ids of the endpoints that the entry knows.
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
    let mut cluster = Cluster::new(&[vec![1]]);

    cluster.link(1);
    cluster.run(100);

    expect_that!(cluster.known(), eq(&names([1])));
}

#[gtest]
fn entry_fetches_each_endpoint_once() {
    let all: Vec<usize> = (0..500).collect();
    let mut cluster = Cluster::new(&[all.clone(), all.clone(), all.clone()]);

    for n in 1..=3 {
        cluster.link(n);
    }
    cluster.run(300);

    expect_that!(cluster.known(), eq(&names(all)));
    expect_that!(cluster.sent_to_entry, eq(500));
}

#[gtest]
fn relinked_entry_fetches_nothing_known() {
    let mut cluster = Cluster::new(&[(0..500).collect()]);
    cluster.link(1);
    cluster.run(200);
    let before = cluster.sent_to_entry;

    cluster.unlink(1);
    cluster.link(1);
    cluster.run(200);

    expect_that!(cluster.sent_to_entry, eq(before));
}

#[gtest]
fn silent_control_vm_is_skipped() {
    let all: Vec<usize> = (0..100).collect();
    for silent in 1..=2 {
        let mut cluster = Cluster::new(&[all.clone(), all.clone()]);
        cluster.link(1);
        cluster.link(2);
        cluster.silent.push(control(silent));
        cluster.run(1_500);

        expect_that!(cluster.known(), eq(&names(all.clone())), "{silent}");
    }
}

#[gtest]
fn leader_receives_endpoints_it_lacks() {
    let mut cluster = Cluster::new(&[vec![1, 2], vec![1, 2, 7]]);
    cluster.link(1);
    cluster.link(2);
    cluster.set_leader(1);

    cluster.run(500);

    let sent = &cluster.sent_to_control[&control(1)];
    expect_that!(sent.iter().any(|record| record.id == "i-7"), eq(true));
}

#[gtest]
fn leader_receives_nothing_it_knows() {
    let all: Vec<usize> = (0..500).collect();
    let mut cluster = Cluster::new(&[all.clone(), all.clone(), all]);
    for n in 1..=3 {
        cluster.link(n);
    }
    cluster.set_leader(1);

    cluster.run(500);

    expect_that!(cluster.sent_to_control, is_empty());
}

proptest! {
    #![proptest_config(fixed_seed(100))]

    /// Whatever the control VMs know and whenever links come up and go down, an entry with links to
    /// all of them ends with the union of their endpoints.
    #[test]
    fn entry_converges_to_the_union(
        known in proptest::collection::vec(proptest::collection::vec(0usize..300, 0..80), 3),
        steps in proptest::collection::vec((1usize..4, any::<bool>(), 0u64..60), 0..12),
    ) {
        let mut cluster = Cluster::new(&known);
        let mut up = [false; 4];
        for (n, link, ms) in steps {
            if link && !up[n] {
                cluster.link(n);
            } else if !link && up[n] {
                cluster.unlink(n);
            }
            up[n] = link;
            cluster.run(ms);
        }
        for n in (1..=3).filter(|n| !up[*n]) {
            cluster.link(n);
        }
        cluster.run(500);

        prop_assert_eq!(cluster.known(), names(known.into_iter().flatten()));
    }
}
