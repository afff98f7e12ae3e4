//! Endpoints that name limits, in whole nodes: every daemon knows a moment after, and all of them together
//! keep to what an endpoint takes, also while leaders, control VMs and daemons are lost and come back.
//!
//! The story of the failure that this guards against is in `relay::tests::limits` of the server.

use std::time::Duration;

use googletest::prelude::*;

use super::{
    net::{Net, Site},
    quarantine::configured_net,
};
use crate::{
    node::{CallId, Input, Node, NodeCall, VmName},
    throttle::{Permit, PermitRequest, RateLimit, RateLimitReport},
    units::Instant,
};

/// An endpoint that the configuration lists.
const ENDPOINT: &str = "e0";
/// Requests a second that it takes.
const LIMIT: f64 = 3.0;
/// Steps of 20 ms in 4 s, for which the bound on what it gets is stated: half more than it takes, and 5.
const STEPS: usize = 200;
const ALLOWED: usize = (LIMIT * 4.0 * 1.5) as usize + 5;
/// What a daemon that has read the limit less than half a second before sends does not count.
const STEPS_TO_OBEY: usize = 25;
/// Steps that an endpoint takes to answer.
const STEPS_TO_ANSWER: usize = 3;

/// A request that the endpoint answers at a step.
struct Run {
    vm: VmName,
    asked: Instant,
    answered_at: usize,
}

/// Callers that ask for the endpoint through every entry without rest, and what the endpoint has got.
struct Callers {
    entries: Vec<VmName>,
    limit: Option<f64>,
    asked: Vec<(VmName, CallId)>,
    runs: Vec<Run>,
    /// When each daemon has first read the limit in its present life.
    told: std::collections::BTreeMap<VmName, usize>,
    /// Steps of all requests, and of those from daemons that had read the limit in time.
    got: Vec<usize>,
    got_from_told: Vec<usize>,
    step: usize,
}

impl Callers {
    fn new(net: &Net) -> Callers {
        let replicas = net.replicas();
        Callers {
            entries: net.vms().into_iter().filter(|vm| !replicas.contains(vm)).collect(),
            limit: Some(LIMIT),
            asked: Vec::new(),
            runs: Vec::new(),
            told: Default::default(),
            got: Vec::new(),
            got_from_told: Vec::new(),
            step: 0,
        }
    }

    /// The endpoint gets a request.
    fn send(&mut self, net: &Net, vm: &VmName) {
        self.got.push(self.step);
        if self.told.get(vm).is_some_and(|told| told + STEPS_TO_OBEY <= self.step) {
            self.got_from_told.push(self.step);
        }
        let answered_at = self.step + STEPS_TO_ANSWER;
        self.runs.push(Run { vm: vm.clone(), asked: net.time(), answered_at });
    }

    /// A caller comes to a daemon, which does with its request what the server does.
    fn send_request(&mut self, net: &mut Net, vm: &VmName, max_wait: Duration) {
        if !net.is_serving(vm) || net.hosts[vm].suspended {
            return;
        }
        if limit_at(net, vm).is_none() {
            return self.send(net, vm);
        }
        let endpoints = vec![ENDPOINT.into()];
        let ask = PermitRequest { requester: CallId(0), service: "s".into(), endpoints, max_wait };
        let call = net.ask(vm, NodeCall::Permit(ask));
        self.asked.push((vm.clone(), call));
    }

    /// Lets a step pass: requests that have a permit are sent, and answers are read.
    fn step(&mut self, net: &mut Net) {
        net.step(false);
        self.step += 1;
        for (vm, call) in std::mem::take(&mut self.asked) {
            match net.observed.permits.get(&call) {
                None => self.asked.push((vm, call)),
                Some(Permit::Granted(_)) => self.send(net, &vm),
                Some(Permit::Denied { .. }) => {}
            }
        }
        let due = |run: &Run| run.answered_at <= self.step;
        let (answered, runs) = std::mem::take(&mut self.runs).into_iter().partition(due);
        self.runs = runs;
        for Run { vm, asked, .. } in answered {
            let answered: bool = net.hosts[&vm].node.is_some();
            if answered && self.limit.is_some() {
                self.told.entry(vm.clone()).or_insert(self.step);
            }
            read(net, &vm, asked, self.limit);
        }
    }

    /// Lets callers come to every entry, some of them ready to wait, for so many steps.
    fn play(&mut self, net: &mut Net, steps: usize) {
        for _ in 0..steps {
            self.step(net);
            for n in 0..self.entries.len() {
                // The first entry has most of the traffic.
                if n == 0 || (self.step + n).is_multiple_of(7) {
                    let max_wait = Duration::from_millis(if n % 2 == 0 { 0 } else { 400 });
                    let vm = self.entries[n].clone();
                    self.send_request(net, &vm, max_wait);
                }
            }
        }
    }
}

/// A daemon reads an answer of the endpoint.
fn read(net: &mut Net, vm: &VmName, asked: Instant, limit: Option<f64>) {
    let limit = limit.map(|per_second| RateLimit::new(per_second).unwrap());
    let word = RateLimitReport {
        endpoint: ENDPOINT.into(),
        started_at: 0,
        limit,
        sent_at: asked,
        received_at: net.time(),
    };
    net.handle(vm, Input::RateLimitReported(word));
}

/// The limit that a daemon knows of.
fn limit_at(net: &Net, vm: &VmName) -> Option<f64> {
    let limit = net.hosts[vm].node.as_ref().and_then(|node: &Node| node.rate_limit(ENDPOINT));
    limit.map(RateLimit::per_second)
}

/// Most of these that are in any so many steps.
fn most_within(steps: usize, times: &[usize]) -> usize {
    let within = |first: usize| times.iter().filter(move |at| (first..first + steps).contains(at));
    times.iter().map(|first| within(*first).count()).max().unwrap_or(0)
}

/// Callers that come for 24 s, with a mishap at a step.
fn play(seed: u64, fault_at: usize, fault: impl Fn(&mut Net)) -> Callers {
    let mut net = configured_net(&Site::new(3, 3), seed);
    let mut callers = Callers::new(&net);
    callers.play(&mut net, fault_at);
    fault(&mut net);
    callers.play(&mut net, 1_200 - fault_at);
    callers
}

#[gtest]
fn daemons_together_use_the_rate_limit() {
    let callers = play(21, 0, |_| {});

    // Two at once, and what it takes; of that nearly all is used.
    expect_that!(most_within(STEPS, &callers.got_from_told), le(LIMIT as usize * 4 + 2));
    expect_that!(callers.got_from_told.len(), ge(LIMIT as usize * 20));
}

#[gtest]
fn rate_limit_spreads_to_all_daemons() {
    let mut net = configured_net(&Site::new(3, 3), 22);
    let asked = net.time();

    net.run(1);
    read(&mut net, &"vm-4".into(), asked, Some(LIMIT));
    net.run(15);

    for vm in net.vms() {
        expect_that!(limit_at(&net, &vm), some(near(LIMIT, 1e-6)), "{vm}");
    }
}

#[gtest]
fn removed_rate_limit_spreads_to_all_daemons() {
    let mut net = configured_net(&Site::new(3, 3), 23);
    let asked = net.time();
    net.run(1);
    read(&mut net, &"vm-4".into(), asked, Some(LIMIT));
    net.run(15);
    let asked = net.time();

    net.run(1);
    read(&mut net, &"vm-5".into(), asked, None);
    net.run(15);

    for vm in net.vms() {
        expect_that!(limit_at(&net, &vm), none(), "{vm}");
    }
}

#[gtest]
fn changed_rate_limits_are_followed() {
    let mut net = configured_net(&Site::new(3, 3), 24);
    let mut callers = Callers::new(&net);
    let mut sent = |limit: Option<f64>, steps| {
        callers.limit = limit;
        // Time in which daemons learn of it.
        callers.play(&mut net, STEPS);
        let before = callers.got.len();
        callers.play(&mut net, steps);
        callers.got.len() - before
    };

    let (high, low, again, lifted) =
        (sent(Some(10.0), 500), sent(Some(1.0), 500), sent(Some(10.0), 500), sent(None, 500));

    expect_that!(high, all![ge(80), le(102)]);
    expect_that!(low, all![ge(7), le(12)]);
    expect_that!(again, all![ge(80), le(102)]);
    expect_that!(lifted, ge(500));
}

#[gtest]
fn leader_crash_keeps_the_rate_limit() {
    for fault_at in (300..420).step_by(3) {
        let callers = play(25, fault_at, |net| {
            let leader = net.leader().unwrap();
            net.crash(&leader);
        });

        let most = most_within(STEPS, &callers.got_from_told);
        expect_that!(most, le(ALLOWED), "lost at step {fault_at}");
    }
}

#[gtest]
fn control_outage_keeps_the_rate_limit() {
    for fault_at in (300..420).step_by(9) {
        let mut net = configured_net(&Site::new(3, 3), 26);
        let mut callers = Callers::new(&net);
        callers.play(&mut net, fault_at);
        let replicas = net.replicas();
        replicas.iter().for_each(|vm| net.crash(vm));
        callers.play(&mut net, 150);
        replicas.iter().for_each(|vm| net.start(vm));
        callers.play(&mut net, 600);

        let most = most_within(STEPS, &callers.got_from_told);
        expect_that!(most, le(ALLOWED), "not reached from step {fault_at}");
    }
}

#[gtest]
fn suspended_vm_keeps_the_rate_limit() {
    for fault_at in (300..420).step_by(9) {
        for leads in [false, true] {
            let mut net = configured_net(&Site::new(3, 3), 27);
            let mut callers = Callers::new(&net);
            callers.play(&mut net, fault_at);
            let vm = if leads { net.leader().unwrap() } else { "vm-5".into() };
            net.hosts.get_mut(&vm).unwrap().suspended = true;
            callers.play(&mut net, 300);
            net.hosts.get_mut(&vm).unwrap().suspended = false;
            callers.play(&mut net, 600);

            let most = most_within(STEPS, &callers.got_from_told);
            expect_that!(most, le(ALLOWED), "leads {leads}, at step {fault_at}");
        }
    }
}

#[gtest]
fn restarted_entry_learns_the_rate_limit() {
    let mut net = configured_net(&Site::new(3, 3), 28);
    let mut callers = Callers::new(&net);
    callers.play(&mut net, 400);
    let before = callers.got.len();
    net.crash(&"vm-5".into());
    callers.told.remove("vm-5");
    net.start(&"vm-5".into());
    callers.play(&mut net, STEPS);

    // What came before it was told, and what the endpoint takes.
    let sent = callers.got.len() - before;
    expect_that!(sent, le(LIMIT as usize * 4 + 5));
}
