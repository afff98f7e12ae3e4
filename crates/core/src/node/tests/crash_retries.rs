//! Callers that repeat a request which ends whatever runs it, in whole nodes.
//!
//! These are the parts of the failure that only several daemons show: tries that come through another daemon
//! each, three at the same time before any endpoint has ended, and control VMs that fail just then.

use googletest::prelude::*;

use super::{
    net::{Net, Site},
    quarantine::{configured_net, crash_endpoint, crashing_request, request_trial},
};
use crate::node::{CallId, Input, TrialAnswer, VmName};

/// Steps of 20 ms in which an endpoint that begins to run the deadly request ends.
const STEPS_TO_END: usize = 35;
/// Steps in which every daemon that is not cut off has to know what was told: 3 s.
const STEPS_TO_KNOW: usize = 150;
/// Tries that may reach an endpoint after that.
const ALLOWED: usize = 3;

/// A try that runs at an endpoint, which ends at a step.
struct Run {
    vm: VmName,
    ends_at: usize,
    trial: Option<CallId>,
}

/// Callers that repeat the deadly request through one daemon after the other.
struct Callers {
    asked: Vec<(VmName, CallId)>,
    runs: Vec<Run>,
    /// Steps at which endpoints began to run it, and at which they ended.
    begun: Vec<usize>,
    ended: Vec<usize>,
    step: usize,
}

impl Callers {
    fn new() -> Callers {
        Callers {
            asked: Vec::new(),
            runs: Vec::new(),
            begun: Vec::new(),
            ended: Vec::new(),
            step: 0,
        }
    }

    fn begin(&mut self, vm: &VmName, trial: Option<CallId>) {
        self.begun.push(self.step);
        self.runs.push(Run { vm: vm.clone(), ends_at: self.step + STEPS_TO_END, trial });
    }

    /// A try comes to a daemon, which does with it what the server does.
    fn send_request(&mut self, net: &mut Net, vm: &VmName) {
        if !net.is_serving(vm) {
            return;
        }
        let Some(standing) = net.standing(vm, &crashing_request()) else { return };
        if standing.is_quarantined() {
            return;
        }
        if standing.is_suspect() {
            let call = request_trial(net, vm);
            self.asked.push((vm.clone(), call));
        } else {
            self.begin(vm, None);
        }
    }

    /// Lets a step pass: tries that may run begin, and endpoints end under those that have run.
    fn step(&mut self, net: &mut Net) {
        net.step(false);
        self.step += 1;
        for (vm, call) in std::mem::take(&mut self.asked) {
            match net.observed.trials.get(&call) {
                None => self.asked.push((vm, call)),
                Some(TrialAnswer::Granted { .. }) => self.begin(&vm, Some(call)),
                Some(_) => {}
            }
        }
        let (over, runs) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run: &Run| run.ends_at <= self.step);
        self.runs = runs;
        for Run { vm, trial, .. } in over {
            let endpoint = format!("e{}", self.ended.len());
            self.ended.push(self.step);
            crash_endpoint(net, &vm, &endpoint, trial);
            if let Some(call) = trial {
                net.handle(&vm, Input::TrialEnded { call, complete: false });
            }
        }
    }

    /// Tries that began before any daemon could know of an end.
    fn begun_before_detection(&self) -> usize {
        let first = self.ended.first().copied().unwrap_or(usize::MAX);
        self.begun.iter().filter(|begun| **begun <= first + 1).count()
    }

    /// Tries that began at an endpoint later than every daemon had to know of the third end.
    fn begun_after_quarantine(&self) -> usize {
        let Some(third) = self.ended.get(2) else { return 0 };
        self.begun.iter().filter(|begun| third + STEPS_TO_KNOW < **begun).count()
    }
}

/// Lets callers repeat the deadly request every few steps, three at once at first, and a mishap happen in
/// between; returns them.
fn run_retrying_callers(net: &mut Net, fault_at: usize, fault: impl Fn(&mut Net)) -> Callers {
    let entries: Vec<VmName> =
        net.vms().into_iter().filter(|vm| !net.replicas().contains(vm)).collect();
    let mut callers = Callers::new();
    entries.iter().for_each(|vm| callers.send_request(net, vm));
    for step in 1..900 {
        if step == fault_at {
            fault(net);
        }
        callers.step(net);
        if step % 7 == 0 {
            callers.send_request(net, &entries[step / 7 % entries.len()]);
        }
    }
    callers
}

#[gtest]
fn concurrent_retries_crash_few_endpoints() {
    let mut net = configured_net(&Site::new(3, 3), 12);

    let callers = run_retrying_callers(&mut net, 0, |_| {});

    // And then two trials, one after the other.
    expect_that!(callers.ended.len(), eq(callers.begun_before_detection() + 2));
    expect_that!(callers.begun_after_quarantine(), eq(0));
}

#[gtest]
fn leader_crash_allows_few_more_attempts() {
    for fault_at in (1..240).step_by(3) {
        let mut net = configured_net(&Site::new(3, 3), 13);

        let callers = run_retrying_callers(&mut net, fault_at, |net| {
            let leader = net.leader().unwrap();
            net.crash(&leader);
        });

        expect_that!(callers.begun_after_quarantine(), le(ALLOWED), "lost at step {fault_at}");
        let most = callers.begun_before_detection() + 2 + ALLOWED;
        expect_that!(callers.ended.len(), le(most), "lost at step {fault_at}");
    }
}

#[gtest]
fn restart_of_all_vms_allows_few_more_attempts() {
    for fault_at in (1..240).step_by(3) {
        let mut net = configured_net(&Site::new(3, 3), 14);

        let callers = run_retrying_callers(&mut net, fault_at, |net| {
            let vms = net.vms();
            vms.iter().for_each(|vm| net.crash(vm));
            vms.iter().for_each(|vm| net.start(vm));
        });

        expect_that!(callers.begun_after_quarantine(), le(ALLOWED), "lost at step {fault_at}");
    }
}

#[gtest]
fn control_outage_allows_few_more_attempts() {
    for fault_at in (1..240).step_by(9) {
        let mut net = configured_net(&Site::new(3, 3), 15);

        let callers = run_retrying_callers(&mut net, fault_at, |net| {
            let replicas = net.replicas();
            replicas.iter().for_each(|vm| net.crash(vm));
            net.run(60);
            replicas.iter().for_each(|vm| net.start(vm));
        });

        expect_that!(callers.begun_after_quarantine(), le(ALLOWED), "lost at step {fault_at}");
    }
}

#[gtest]
fn suspended_vm_allows_few_more_attempts() {
    for fault_at in (1..240).step_by(9) {
        for leads in [false, true] {
            let mut net = configured_net(&Site::new(3, 3), 16);

            let callers = run_retrying_callers(&mut net, fault_at, |net| {
                let vm = if leads { net.leader().unwrap() } else { "vm-5".into() };
                net.hosts.get_mut(&vm).unwrap().suspended = true;
                // Longer than anything that rests on time holds.
                net.run(300);
                net.hosts.get_mut(&vm).unwrap().suspended = false;
            });

            expect_that!(
                callers.begun_after_quarantine(),
                le(ALLOWED),
                "leads {leads}, at step {fault_at}"
            );
        }
    }
}
