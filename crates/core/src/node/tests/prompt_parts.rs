//! Different requests that share a part of their prompts which crashes endpoints, beside sound requests
//! that share all other parts, through several daemons and while control VMs fail.

use std::time::Duration;

use googletest::prelude::*;

use super::{
    net::{Net, Site},
    quarantine::configured_net,
    small_site,
};
use crate::{
    node::{CallId, FailedAttempt, Input, NodeCall, ProbeOutcome, TrialAnswer, VmName},
    quarantine::{ContentDigest, DigestKey, PromptPart, Verdict},
};

/// Parts of prompts; rare ones have greater numbers.
const POPULAR: u128 = 1;
const CRASHING: u128 = 2;
const RARE: u128 = 1_000;

/// Steps of 20 ms from the start of an attempt to the crash of its endpoint, or to a sound answer.
const STEPS_TO_CRASH: usize = 35;
const STEPS_TO_ANSWER: usize = 12;
/// Crashes after which no request with the part may start.
const MAX_CRASHES: usize = 5;
/// Steps within which every reachable daemon must know them: 3 s.
const STEPS_TO_SPREAD: usize = 150;
/// Time that an attempt waits for its trial.
const TRIAL_WAIT: Duration = Duration::from_millis(1_500);

fn part(number: u128) -> ContentDigest {
    DigestKey::new(b"key").part_digest(PromptPart(number))
}

/// The contents of request `number`.
fn contents(number: u128, is_crashing: bool) -> Vec<ContentDigest> {
    let request = ContentDigest::from_slice(&number.to_be_bytes()).unwrap();
    let own = if is_crashing { CRASHING } else { RARE + number % 7 };
    vec![request, part(POPULAR), part(own)]
}

fn failed_attempt(contents: &[ContentDigest], endpoint: &str) -> FailedAttempt {
    FailedAttempt {
        request: contents[0],
        parts: contents[1..].to_vec(),
        endpoint: endpoint.into(),
        started_at: Some(0),
        probe: ProbeOutcome::ConnectionRefused,
        trial: None,
        trial_of: None,
    }
}

/// An attempt that runs on an endpoint.
struct Attempt {
    vm: VmName,
    contents: Vec<ContentDigest>,
    is_crashing: bool,
    ends_at: usize,
    trial: Option<(CallId, ContentDigest)>,
}

/// An attempt that waits for its trial.
struct Pending {
    vm: VmName,
    contents: Vec<ContentDigest>,
    is_crashing: bool,
    call: CallId,
}

/// Callers that send different requests through one daemon after the other.
struct Callers {
    pending: Vec<Pending>,
    running: Vec<Attempt>,
    /// Steps at which endpoints crashed.
    crashed: Vec<usize>,
    /// Steps at which crashing attempts started.
    started: Vec<usize>,
    sound_sent: usize,
    /// Steps at which sound requests were refused.
    sound_refused: Vec<usize>,
    sent: u128,
    step: usize,
}

impl Callers {
    fn new() -> Callers {
        Callers {
            pending: Vec::new(),
            running: Vec::new(),
            crashed: Vec::new(),
            started: Vec::new(),
            sound_sent: 0,
            sound_refused: Vec::new(),
            sent: 0,
            step: 0,
        }
    }

    /// Sends a request to a daemon, which handles it as the relay does.
    fn send(&mut self, net: &mut Net, vm: &VmName, is_crashing: bool) {
        if !net.is_serving(vm) {
            return;
        }
        self.sent += 1;
        self.sound_sent += usize::from(!is_crashing);
        self.judge(net, vm.clone(), contents(self.sent, is_crashing), is_crashing);
    }

    fn judge(
        &mut self,
        net: &mut Net,
        vm: VmName,
        contents: Vec<ContentDigest>,
        is_crashing: bool,
    ) {
        match net.verdict(&vm, &contents) {
            None | Some(Verdict::Sound) => self.start(vm, contents, is_crashing, None),
            Some(Verdict::Quarantined { .. }) => self.refuse(is_crashing),
            Some(Verdict::Trial { .. }) => {
                let ask = NodeCall::Trial { contents: contents.clone(), limit: TRIAL_WAIT };
                let call = net.call(&vm, ask);
                self.pending.push(Pending { vm, contents, is_crashing, call });
            }
        }
    }

    fn refuse(&mut self, is_crashing: bool) {
        self.sound_refused.extend((!is_crashing).then_some(self.step));
    }

    fn start(
        &mut self,
        vm: VmName,
        contents: Vec<ContentDigest>,
        is_crashing: bool,
        trial: Option<(CallId, ContentDigest)>,
    ) {
        if is_crashing {
            self.started.push(self.step);
        }
        let takes = if is_crashing { STEPS_TO_CRASH } else { STEPS_TO_ANSWER };
        let ends_at = self.step + takes;
        self.running.push(Attempt { vm, contents, is_crashing, ends_at, trial });
    }

    fn step(&mut self, net: &mut Net) {
        net.step(false);
        self.step += 1;
        self.take_decisions(net);
        let now = self.step;
        let (ended, running): (Vec<Attempt>, Vec<Attempt>) =
            std::mem::take(&mut self.running).into_iter().partition(|a| a.ends_at <= now);
        self.running = running;
        for attempt in ended {
            if attempt.is_crashing {
                self.crash(net, attempt);
            } else {
                net.handle(&attempt.vm, Input::SoundContents(attempt.contents));
                end_trial(net, &attempt.vm, attempt.trial, true);
            }
        }
    }

    fn take_decisions(&mut self, net: &mut Net) {
        for pending in std::mem::take(&mut self.pending) {
            let Some(answer) = net.observed.trials.get(&pending.call).copied() else {
                self.pending.push(pending);
                continue;
            };
            let Pending { vm, contents, is_crashing, call } = pending;
            match answer {
                TrialAnswer::Granted { content, .. } => {
                    self.start(vm, contents, is_crashing, Some((call, content)));
                }
                TrialAnswer::Clear => self.judge(net, vm, contents, is_crashing),
                TrialAnswer::Quarantined | TrialAnswer::Unavailable => self.refuse(is_crashing),
            }
        }
    }

    /// Crashes the endpoint of an attempt, together with every third sound one that runs.
    fn crash(&mut self, net: &mut Net, attempt: Attempt) {
        let endpoint = format!("e{}", self.crashed.len());
        self.crashed.push(self.step);
        let mut interrupted = vec![attempt];
        for at in (0..self.running.len()).rev() {
            if !self.running[at].is_crashing && at % 3 == 0 {
                interrupted.push(self.running.swap_remove(at));
            }
        }
        for Attempt { vm, contents, trial, .. } in interrupted {
            let failed = FailedAttempt {
                trial: trial.map(|(call, _)| call),
                trial_of: trial.map(|(_, content)| content),
                ..failed_attempt(&contents, &endpoint)
            };
            net.handle(&vm, Input::FailedAttempt(failed));
            end_trial(net, &vm, trial, false);
        }
    }

    /// Crashing attempts that started more than `delay` steps after the last allowed crash.
    fn started_after(&self, delay: usize) -> usize {
        let Some(last) = self.crashed.get(MAX_CRASHES - 1) else { return 0 };
        self.started.iter().filter(|started| last + delay < **started).count()
    }
}

fn end_trial(net: &mut Net, vm: &VmName, trial: Option<(CallId, ContentDigest)>, complete: bool) {
    if let Some((call, _)) = trial {
        net.handle(vm, Input::TrialEnded { call, complete });
    }
}

fn entries(net: &Net) -> Vec<VmName> {
    net.vms().into_iter().filter(|vm| !net.replicas().contains(vm)).collect()
}

/// Sends a crashing request every `interval` steps and a sound one every five, with a fault at a step.
fn run_callers(
    net: &mut Net,
    interval: usize,
    steps: usize,
    fault_at: usize,
    fault: impl Fn(&mut Net),
) -> Callers {
    let entries = entries(net);
    let mut callers = Callers::new();
    for step in 1..steps {
        if step == fault_at {
            fault(net);
        }
        callers.step(net);
        if step % interval == 0 {
            callers.send(net, &entries[step / interval % entries.len()], true);
        }
        if step % 5 == 0 {
            callers.send(net, &entries[step / 5 % entries.len()], false);
        }
    }
    callers
}

fn crash_leader(net: &mut Net) {
    let leader = net.leader().unwrap();
    net.crash(&leader);
}

/// Crashes all control VMs but the last, so that no leader can be elected.
fn crash_quorum(net: &mut Net) {
    let replicas = net.replicas();
    for vm in &replicas[1..] {
        net.crash(vm);
    }
}

#[gtest]
fn no_crashing_request_starts_after_the_fifth_crash() {
    for interval in [3, 7, 20, 60] {
        let mut net = configured_net(&Site::new(3, 3), 21);

        let callers = run_callers(&mut net, interval, 900, 0, |_| {});

        expect_that!(callers.started_after(0), eq(0), "every {interval} steps");
    }
}

#[gtest]
fn sound_requests_that_share_all_other_parts_are_not_refused() {
    for interval in [3, 7, 20, 60] {
        let mut net = configured_net(&Site::new(3, 3), 22);

        let callers = run_callers(&mut net, interval, 900, 0, |_| {});

        expect_that!(callers.sound_sent, gt(100));
        expect_that!(callers.sound_refused, eq(&vec![]), "every {interval} steps");
    }
}

#[gtest]
fn no_crashing_request_starts_long_after_the_fifth_crash_through_a_leader_change() {
    for fault_at in (1..240).step_by(3) {
        let mut net = configured_net(&Site::new(3, 3), 23);

        let callers = run_callers(&mut net, 9, 600, fault_at, crash_leader);

        expect_that!(callers.started_after(STEPS_TO_SPREAD), eq(0), "fault at {fault_at}");
    }
}

#[gtest]
fn no_crashing_request_starts_long_after_the_fifth_crash_without_a_leader() {
    for fault_at in (1..240).step_by(3) {
        let mut net = configured_net(&Site::new(3, 3), 24);

        let callers = run_callers(&mut net, 9, 600, fault_at, crash_quorum);

        expect_that!(callers.started_after(STEPS_TO_SPREAD), eq(0), "fault at {fault_at}");
    }
}

#[gtest]
fn crash_is_known_on_every_daemon_without_a_leader() {
    let mut net = configured_net(&small_site(), 25);
    crash_quorum(&mut net);
    net.run(100);

    net.handle(&"vm-4".into(), Input::FailedAttempt(failed_attempt(&contents(1, true), "e0")));
    net.run(3);

    let counts = net.crash_counts(&"vm-5".into(), &part(CRASHING));
    expect_that!(counts.map(|counts| counts.total), some(eq(1)));
}

#[gtest]
fn daemon_that_has_just_started_knows_quarantined_parts_before_it_serves() {
    let mut net = configured_net(&Site::new(3, 3), 26);
    run_callers(&mut net, 9, 400, 0, |_| {});
    let entry: VmName = "vm-6".into();
    net.crash(&entry);
    net.run(20);

    net.start(&entry);
    for vm in net.vms() {
        net.connect(&entry, &vm);
    }
    while !net.is_serving(&entry) {
        net.step(false);
    }

    let verdict = net.verdict(&entry, &contents(1, true));
    expect_that!(matches!(verdict, Some(Verdict::Quarantined { .. })), eq(true), "{verdict:?}");
}

#[gtest]
fn sound_answer_clears_parts_on_every_daemon() {
    let mut net = configured_net(&small_site(), 27);
    let interrupted = contents(1, false);
    net.handle(&"vm-4".into(), Input::FailedAttempt(failed_attempt(&interrupted, "e0")));
    net.run(5);

    net.handle(&"vm-5".into(), Input::SoundContents(contents(8, false)));
    net.run(10);

    for vm in &net.vms() {
        let counts = interrupted[1..].iter().map(|part| net.crash_counts(vm, part).unwrap().total);
        expect_that!(counts.collect::<Vec<_>>(), eq(&vec![0, 0]), "{vm}");
    }
}
