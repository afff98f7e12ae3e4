//! Callers that retry a crashing request through several daemons, also at the same time and while
//! control VMs fail: the number of crashed endpoints stays bounded.

use googletest::prelude::*;

use super::{
    net::{Net, Site},
    quarantine::{configured_net, crash_endpoint, crashing_request, request_trial},
};
use crate::node::{CallId, Input, TrialAnswer, VmName};

/// Steps of 20 ms from the start of an attempt to the crash of its endpoint.
const STEPS_TO_CRASH: usize = 35;
/// Steps within which every reachable daemon must know a reported crash: 3 s.
const STEPS_TO_SPREAD: usize = 150;
/// Attempts allowed after that.
const MAX_LATE_ATTEMPTS: usize = 3;

/// An attempt that runs until its endpoint crashes.
struct Attempt {
    vm: VmName,
    crashes_at: usize,
    trial: Option<CallId>,
}

/// Callers that retry the request through one daemon after the other.
struct Callers {
    pending_trials: Vec<(VmName, CallId)>,
    running: Vec<Attempt>,
    /// Steps at which attempts started and at which endpoints crashed.
    started: Vec<usize>,
    crashed: Vec<usize>,
    step: usize,
}

impl Callers {
    fn new() -> Callers {
        Callers {
            pending_trials: Vec::new(),
            running: Vec::new(),
            started: Vec::new(),
            crashed: Vec::new(),
            step: 0,
        }
    }

    fn start(&mut self, vm: &VmName, trial: Option<CallId>) {
        self.started.push(self.step);
        self.running.push(Attempt {
            vm: vm.clone(),
            crashes_at: self.step + STEPS_TO_CRASH,
            trial,
        });
    }

    /// Sends the request to a daemon, which handles it as the relay does.
    fn send_request(&mut self, net: &mut Net, vm: &VmName) {
        if !net.is_serving(vm) {
            return;
        }
        let Some(counts) = net.crash_counts(vm, &crashing_request()) else { return };
        if counts.is_quarantined() {
            return;
        }
        if counts.is_suspect() {
            let call = request_trial(net, vm);
            self.pending_trials.push((vm.clone(), call));
        } else {
            self.start(vm, None);
        }
    }

    /// Runs a step: starts the granted trials and crashes the endpoints that are due.
    fn step(&mut self, net: &mut Net) {
        net.step(false);
        self.step += 1;
        for (vm, call) in std::mem::take(&mut self.pending_trials) {
            match net.observed.trials.get(&call) {
                None => self.pending_trials.push((vm, call)),
                Some(TrialAnswer::Granted { .. }) => self.start(&vm, Some(call)),
                Some(_) => {}
            }
        }
        let (crashed, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|attempt: &Attempt| attempt.crashes_at <= self.step);
        self.running = running;
        for Attempt { vm, trial, .. } in crashed {
            let endpoint = format!("e{}", self.crashed.len());
            self.crashed.push(self.step);
            crash_endpoint(net, &vm, &endpoint, trial);
            if let Some(call) = trial {
                net.handle(&vm, Input::TrialEnded { call, complete: false });
            }
        }
    }

    /// Attempts that started before any daemon could know of a crash.
    fn started_before_detection(&self) -> usize {
        let first = self.crashed.first().copied().unwrap_or(usize::MAX);
        self.started.iter().filter(|started| **started <= first + 1).count()
    }

    /// Attempts that started after every daemon had to know of the third crash.
    fn started_after_quarantine(&self) -> usize {
        let Some(third) = self.crashed.get(2) else { return 0 };
        self.started.iter().filter(|started| third + STEPS_TO_SPREAD < **started).count()
    }
}

/// Runs callers that send the request to all entries at once and then retry every few steps, with a
/// fault at a step.
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

    // After so many crashes the request is quarantined by a single crashed trial.
    expect_that!(callers.started_before_detection(), ge(5));
    expect_that!(callers.crashed.len(), eq(callers.started_before_detection() + 1));
    expect_that!(callers.started_after_quarantine(), eq(0));
}

#[gtest]
fn leader_crash_allows_few_more_attempts() {
    for fault_at in (1..240).step_by(3) {
        let mut net = configured_net(&Site::new(3, 3), 13);

        let callers = run_retrying_callers(&mut net, fault_at, |net| {
            let leader = net.leader().unwrap();
            net.crash(&leader);
        });

        expect_that!(
            callers.started_after_quarantine(),
            le(MAX_LATE_ATTEMPTS),
            "fault at step {fault_at}"
        );
        let most = callers.started_before_detection() + 2 + MAX_LATE_ATTEMPTS;
        expect_that!(callers.crashed.len(), le(most), "fault at step {fault_at}");
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

        expect_that!(
            callers.started_after_quarantine(),
            le(MAX_LATE_ATTEMPTS),
            "fault at step {fault_at}"
        );
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

        expect_that!(
            callers.started_after_quarantine(),
            le(MAX_LATE_ATTEMPTS),
            "fault at step {fault_at}"
        );
    }
}

#[gtest]
fn suspended_vm_allows_few_more_attempts() {
    for fault_at in (1..240).step_by(9) {
        for is_leader in [false, true] {
            let mut net = configured_net(&Site::new(3, 3), 16);

            let callers = run_retrying_callers(&mut net, fault_at, |net| {
                let vm = if is_leader { net.leader().unwrap() } else { "vm-5".into() };
                net.hosts.get_mut(&vm).unwrap().suspended = true;
                // Longer than all timeouts.
                net.run(300);
                net.hosts.get_mut(&vm).unwrap().suspended = false;
            });

            expect_that!(
                callers.started_after_quarantine(),
                le(MAX_LATE_ATTEMPTS),
                "leader {is_leader}, at step {fault_at}"
            );
        }
    }
}
