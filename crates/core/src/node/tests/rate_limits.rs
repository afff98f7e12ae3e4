//! Rate limits of endpoints in whole nodes: limits spread to all daemons, which together keep to them, also
//! while leaders, control VMs and entries fail and recover.

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

/// The endpoint in the configuration.
const ENDPOINT: &str = "e0";
/// Its rate limit, in requests per second.
const LIMIT: f64 = 3.0;
/// Window of 4 s, in steps of 20 ms.
const WINDOW_STEPS: usize = 200;
/// Bound on the requests in a window: 1.5 times the limit, plus 5.
const MAX_IN_WINDOW: usize = (LIMIT * 4.0 * 1.5) as usize + 5;
/// Steps from receipt of the limit after which a daemon's requests count.
const STEPS_TO_APPLY: usize = 25;
/// Steps from a request to its response.
const STEPS_TO_RESPOND: usize = 3;

/// A request that the endpoint has not responded to.
struct InFlight {
    vm: VmName,
    sent_at: Instant,
    responds_at: usize,
}

/// Callers that keep sending requests through every entry, and the requests that reached the endpoint.
struct Callers {
    entries: Vec<VmName>,
    limit: Option<f64>,
    pending_permits: Vec<(VmName, CallId)>,
    in_flight: Vec<InFlight>,
    /// Step at which each daemon has received the limit since its start.
    informed_at: std::collections::BTreeMap<VmName, usize>,
    /// Steps of all requests, and of those from daemons that had received the limit in time.
    received: Vec<usize>,
    received_from_informed: Vec<usize>,
    step: usize,
}

impl Callers {
    fn new(net: &Net) -> Callers {
        let replicas = net.replicas();
        Callers {
            entries: net.vms().into_iter().filter(|vm| !replicas.contains(vm)).collect(),
            limit: Some(LIMIT),
            pending_permits: Vec::new(),
            in_flight: Vec::new(),
            informed_at: Default::default(),
            received: Vec::new(),
            received_from_informed: Vec::new(),
            step: 0,
        }
    }

    /// Sends a request to the endpoint.
    fn send(&mut self, net: &Net, vm: &VmName) {
        self.received.push(self.step);
        if self.informed_at.get(vm).is_some_and(|informed| informed + STEPS_TO_APPLY <= self.step) {
            self.received_from_informed.push(self.step);
        }
        let responds_at = self.step + STEPS_TO_RESPOND;
        self.in_flight.push(InFlight { vm: vm.clone(), sent_at: net.time(), responds_at });
    }

    /// Sends a request to a daemon, which handles it as the relay does.
    fn send_request(&mut self, net: &mut Net, vm: &VmName, max_wait: Duration) {
        if !net.is_serving(vm) || net.hosts[vm].suspended {
            return;
        }
        if known_limit(net, vm).is_none() {
            return self.send(net, vm);
        }
        let endpoints = vec![ENDPOINT.into()];
        let ask = PermitRequest { requester: CallId(0), service: "s".into(), endpoints, max_wait };
        let call = net.call(vm, NodeCall::Permit(ask));
        self.pending_permits.push((vm.clone(), call));
    }

    /// Runs a step: sends the requests that have a permit and delivers responses.
    fn step(&mut self, net: &mut Net) {
        net.step(false);
        self.step += 1;
        for (vm, call) in std::mem::take(&mut self.pending_permits) {
            match net.observed.permits.get(&call) {
                None => self.pending_permits.push((vm, call)),
                Some(Permit::Granted(_)) => self.send(net, &vm),
                Some(Permit::Denied { .. }) => {}
            }
        }
        let due = |req: &InFlight| req.responds_at <= self.step;
        let (answered, in_flight) = std::mem::take(&mut self.in_flight).into_iter().partition(due);
        self.in_flight = in_flight;
        for InFlight { vm, sent_at, .. } in answered {
            let is_running: bool = net.hosts[&vm].node.is_some();
            if is_running && self.limit.is_some() {
                self.informed_at.entry(vm.clone()).or_insert(self.step);
            }
            receive_limit(net, &vm, sent_at, self.limit);
        }
    }

    /// Sends requests through every entry for this number of steps; some of them may wait.
    fn run(&mut self, net: &mut Net, steps: usize) {
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

/// Delivers a response with this limit to a daemon.
fn receive_limit(net: &mut Net, vm: &VmName, sent_at: Instant, limit: Option<f64>) {
    let limit = limit.map(|per_second| RateLimit::new(per_second).unwrap());
    let report = RateLimitReport {
        endpoint: ENDPOINT.into(),
        started_at: 0,
        limit,
        sent_at,
        received_at: net.time(),
    };
    net.handle(vm, Input::RateLimitReported(report));
}

/// The limit that a daemon knows.
fn known_limit(net: &Net, vm: &VmName) -> Option<f64> {
    let limit = net.hosts[vm].node.as_ref().and_then(|node: &Node| node.rate_limit(ENDPOINT));
    limit.map(RateLimit::per_second)
}

/// Largest number of requests in any window of this many steps.
fn max_within(steps: usize, times: &[usize]) -> usize {
    let within = |first: usize| times.iter().filter(move |at| (first..first + steps).contains(at));
    times.iter().map(|first| within(*first).count()).max().unwrap_or(0)
}

/// Runs callers for 24 s, with a fault at a step.
fn run_callers(seed: u64, fault_at: usize, fault: impl Fn(&mut Net)) -> Callers {
    let mut net = configured_net(&Site::new(3, 3), seed);
    let mut callers = Callers::new(&net);
    callers.run(&mut net, fault_at);
    fault(&mut net);
    callers.run(&mut net, 1_200 - fault_at);
    callers
}

#[gtest]
fn daemons_together_use_the_rate_limit() {
    let callers = run_callers(21, 0, |_| {});

    // The limit plus a burst of two is not exceeded, and nearly all of it is used.
    expect_that!(
        max_within(WINDOW_STEPS, &callers.received_from_informed),
        le(LIMIT as usize * 4 + 2)
    );
    expect_that!(callers.received_from_informed.len(), ge(LIMIT as usize * 20));
}

#[gtest]
fn rate_limit_spreads_to_all_daemons() {
    let mut net = configured_net(&Site::new(3, 3), 22);
    let sent_at = net.time();

    net.run(1);
    receive_limit(&mut net, &"vm-4".into(), sent_at, Some(LIMIT));
    net.run(15);

    for vm in net.vms() {
        expect_that!(known_limit(&net, &vm), some(near(LIMIT, 1e-6)), "{vm}");
    }
}

#[gtest]
fn removed_rate_limit_spreads_to_all_daemons() {
    let mut net = configured_net(&Site::new(3, 3), 23);
    let sent_at = net.time();
    net.run(1);
    receive_limit(&mut net, &"vm-4".into(), sent_at, Some(LIMIT));
    net.run(15);
    let sent_at = net.time();

    net.run(1);
    receive_limit(&mut net, &"vm-5".into(), sent_at, None);
    net.run(15);

    for vm in net.vms() {
        expect_that!(known_limit(&net, &vm), none(), "{vm}");
    }
}

#[gtest]
fn changed_rate_limits_are_followed() {
    let mut net = configured_net(&Site::new(3, 3), 24);
    let mut callers = Callers::new(&net);
    let mut sent = |limit: Option<f64>, steps| {
        callers.limit = limit;
        // Waits until the limit has spread.
        callers.run(&mut net, WINDOW_STEPS);
        let before = callers.received.len();
        callers.run(&mut net, steps);
        callers.received.len() - before
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
        let callers = run_callers(25, fault_at, |net| {
            let leader = net.leader().unwrap();
            net.crash(&leader);
        });

        let max = max_within(WINDOW_STEPS, &callers.received_from_informed);
        expect_that!(max, le(MAX_IN_WINDOW), "fault at step {fault_at}");
    }
}

#[gtest]
fn control_outage_keeps_the_rate_limit() {
    for fault_at in (300..420).step_by(9) {
        let mut net = configured_net(&Site::new(3, 3), 26);
        let mut callers = Callers::new(&net);
        callers.run(&mut net, fault_at);
        let replicas = net.replicas();
        replicas.iter().for_each(|vm| net.crash(vm));
        callers.run(&mut net, 150);
        replicas.iter().for_each(|vm| net.start(vm));
        callers.run(&mut net, 600);

        let max = max_within(WINDOW_STEPS, &callers.received_from_informed);
        expect_that!(max, le(MAX_IN_WINDOW), "outage from step {fault_at}");
    }
}

#[gtest]
fn suspended_vm_keeps_the_rate_limit() {
    for fault_at in (300..420).step_by(9) {
        for is_leader in [false, true] {
            let mut net = configured_net(&Site::new(3, 3), 27);
            let mut callers = Callers::new(&net);
            callers.run(&mut net, fault_at);
            let vm = if is_leader { net.leader().unwrap() } else { "vm-5".into() };
            net.hosts.get_mut(&vm).unwrap().suspended = true;
            callers.run(&mut net, 300);
            net.hosts.get_mut(&vm).unwrap().suspended = false;
            callers.run(&mut net, 600);

            let max = max_within(WINDOW_STEPS, &callers.received_from_informed);
            expect_that!(max, le(MAX_IN_WINDOW), "leader {is_leader}, at step {fault_at}");
        }
    }
}

#[gtest]
fn restarted_entry_learns_the_rate_limit() {
    let mut net = configured_net(&Site::new(3, 3), 28);
    let mut callers = Callers::new(&net);
    callers.run(&mut net, 400);
    let before = callers.received.len();
    net.crash(&"vm-5".into());
    callers.informed_at.remove("vm-5");
    net.start(&"vm-5".into());
    callers.run(&mut net, WINDOW_STEPS);

    // The limit plus what is sent before the entry knows it.
    let sent = callers.received.len() - before;
    expect_that!(sent, le(LIMIT as usize * 4 + 5));
}
