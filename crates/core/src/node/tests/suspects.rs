//! Requests under which endpoints end, in whole nodes: known everywhere a moment after, kept through the
//! loss of the leader and of all VMs, and tried one at a time.
//!
//! The story of the failure that this guards against is in `relay::tests::crashing` of the server; here are
//! the parts of it that only several daemons show: tries that come through another daemon each, three at the
//! same time before any endpoint has ended, and control VMs that fail just then.

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;

use super::{
    net::{Net, Site},
    small,
};
use crate::{
    node::{AfterBreak, BrokeOff, CallId, Input, Question, TrialAnswer, VmName},
    quarantine::{RequestDigest, Standing},
    testing::fixed_seed,
    wire::EndpointRecord,
};

/// Steps of 20 ms in which an endpoint that begins to run the deadly request ends.
const STEPS_TO_END: usize = 35;
/// Steps in which every daemon that is not cut off has to know what was told: 3 s.
const STEPS_TO_KNOW: usize = 150;
/// Tries that may reach an endpoint after that.
const ALLOWED: usize = 3;

fn deadly() -> RequestDigest {
    RequestDigest::from_slice(&[7; 16]).unwrap()
}

/// A site whose daemons have a configuration.
fn running(site: &Site, seed: u64) -> Net {
    let mut net = Net::new(site, seed);
    net.calm(100);
    net.submit(&net.entry(), 1, "a");
    net.calm(60);
    net
}

/// An endpoint of this name ends under the deadly request at a VM.
fn ends(net: &mut Net, vm: &VmName, endpoint: &str, trial: Option<CallId>) {
    let broke_off = BrokeOff {
        request: deadly(),
        endpoint: endpoint.into(),
        born: Some(0),
        after: AfterBreak::Refused,
        trial,
    };
    net.handle(vm, Input::BrokeOff(broke_off));
}

/// Asks for a trial at a VM.
fn ask(net: &mut Net, vm: &VmName) -> CallId {
    net.ask(vm, Question::Trial { request: deadly(), limit: Duration::from_secs(2) })
}

/// The deadly request in quarantine, by one suspicion and two trials.
fn quarantined(net: &mut Net) {
    let entry = net.entry();
    ends(net, &entry, "e0", None);
    net.wait(10);
    for endpoint in ["e1", "e2"] {
        let call = ask(net, &entry);
        net.wait(10);
        ends(net, &entry, endpoint, Some(call));
        net.handle(&entry, Input::TrialOver { call, whole: false });
        net.wait(10);
    }
}

fn is_quarantined_at(net: &Net, vm: &VmName) -> bool {
    net.standing(vm, &deadly()).is_some_and(Standing::is_quarantined)
}

#[gtest]
fn an_end_is_known_on_every_daemon_a_moment_after() {
    let mut net = running(&small(), 1);

    ends(&mut net, &"vm-4".into(), "e0", None);
    net.wait(5);

    for vm in &net.vms() {
        let standing = net.standing(vm, &deadly());
        expect_that!(standing, some(eq(Standing { ended: 1, in_trials: 0 })), "{vm}");
    }
}

#[gtest]
fn an_end_that_several_daemons_saw_counts_once() {
    let mut net = running(&small(), 2);

    for vm in ["vm-4", "vm-5", "vm-1"] {
        ends(&mut net, &vm.into(), "e0", None);
    }
    net.wait(10);

    let standing = net.standing(&"vm-5".into(), &deadly());
    expect_that!(standing, some(eq(Standing { ended: 1, in_trials: 0 })));
}

#[gtest]
fn what_is_in_quarantine_stays_there_when_disks_and_all_vms_are_lost() {
    let mut net = running(&Site::new(5, 2), 3);
    quarantined(&mut net);

    for vm in net.vms() {
        net.crash(&vm);
    }
    net.wipe(&"vm-1".into());
    net.wipe(&"vm-4".into());
    net.calm(300);

    for vm in &net.vms() {
        expect_that!(is_quarantined_at(&net, vm), eq(true), "{vm}");
    }
}

#[gtest]
fn a_try_anywhere_is_told_that_the_request_is_in_quarantine() {
    let mut net = running(&small(), 4);
    quarantined(&mut net);

    let call = ask(&mut net, &"vm-5".into());
    net.wait(5);

    expect_that!(net.seen.trials.get(&call), some(eq(&TrialAnswer::Quarantined)));
}

#[gtest]
fn an_end_that_no_leader_hears_of_is_on_record_once_there_is_one() {
    let mut net = running(&small(), 5);
    for vm in net.replicas() {
        net.crash(&vm);
    }
    net.wait(100);

    ends(&mut net, &"vm-4".into(), "e0", None);
    let at_once = net.standing(&"vm-4".into(), &deadly());
    net.calm(100);

    expect_that!(at_once, some(eq(Standing { ended: 1, in_trials: 0 })));
    let elsewhere = net.standing(&"vm-5".into(), &deadly());
    expect_that!(elsewhere, some(eq(Standing { ended: 1, in_trials: 0 })));
}

#[gtest]
fn a_try_without_a_leader_is_told_so_in_its_time() {
    let mut net = running(&small(), 6);
    ends(&mut net, &"vm-4".into(), "e0", None);
    net.wait(10);
    for vm in net.replicas() {
        net.crash(&vm);
    }
    net.wait(50);

    let call = ask(&mut net, &"vm-4".into());
    net.wait(110);

    expect_that!(net.seen.trials.get(&call), some(eq(&TrialAnswer::NotNow)));
}

#[gtest]
fn a_whole_answer_clears_the_request_everywhere() {
    let mut net = running(&small(), 7);
    ends(&mut net, &"vm-4".into(), "e0", None);
    net.wait(10);
    let first = ask(&mut net, &"vm-4".into());
    let second = ask(&mut net, &"vm-5".into());
    net.wait(10);
    let granted = TrialAnswer::Granted { apart: false };
    expect_that!(net.seen.trials.get(&first), some(eq(&granted)));
    expect_that!(net.seen.trials.get(&second), none());

    net.handle(&"vm-4".into(), Input::TrialOver { call: first, whole: true });
    net.wait(10);

    expect_that!(net.seen.trials.get(&second), some(eq(&TrialAnswer::Clear)));
    for vm in &net.vms() {
        expect_that!(net.standing(vm, &deadly()), some(eq(Standing::default())), "{vm}");
    }
}

#[gtest]
fn an_operator_clears_a_request() {
    let mut net = running(&small(), 8);
    quarantined(&mut net);

    let clear = || Question::Clear { request: deadly(), limit: Duration::from_secs(1) };
    net.ask(&"vm-2".into(), clear());
    net.wait(10);
    net.ask(&"vm-5".into(), clear());
    net.wait(10);

    expect_that!(net.seen.cleared, eq(&vec![Some(true), Some(false)]));
    expect_that!(is_quarantined_at(&net, &"vm-4".into()), eq(false));
}

fn heartbeat(net: &mut Net, id: &str, sequence: u64, leaving: bool) {
    let record = EndpointRecord {
        id: id.into(),
        service: "engines".into(),
        address: format!("10.0.0.{}:80", &id[2..]),
        hall: "h".into(),
        slots: 4,
        sequence,
        leaving,
        ..EndpointRecord::default()
    };
    net.handle(&"vm-1".into(), Input::Heartbeat(record));
    net.wait(5);
}

fn breaks_off(net: &mut Net, after: AfterBreak) {
    let endpoint = "i-1".into();
    let broke_off = BrokeOff { request: deadly(), endpoint, born: Some(0), after, trial: None };
    net.handle(&"vm-4".into(), Input::BrokeOff(broke_off));
}

#[gtest]
fn what_runs_at_an_endpoint_that_said_it_leaves_is_no_suspect() {
    let mut net = running(&small(), 9);
    heartbeat(&mut net, "i-1", 1, true);

    breaks_off(&mut net, AfterBreak::Refused);
    net.wait(10);

    expect_that!(net.standing(&"vm-4".into(), &deadly()), some(eq(Standing::default())));
}

#[gtest]
fn an_endpoint_that_goes_on_has_only_failed() {
    let mut net = running(&small(), 10);
    heartbeat(&mut net, "i-1", 1, false);

    breaks_off(&mut net, AfterBreak::Taken);
    for sequence in 2..12 {
        heartbeat(&mut net, "i-1", sequence, false);
        net.wait(45);
    }

    expect_that!(net.standing(&"vm-4".into(), &deadly()), some(eq(Standing::default())));
}

#[gtest]
fn an_endpoint_that_falls_silent_has_ended() {
    let mut net = running(&small(), 11);
    heartbeat(&mut net, "i-1", 1, false);

    breaks_off(&mut net, AfterBreak::Silent);
    let before = net.standing(&"vm-4".into(), &deadly());
    for sequence in 2..12 {
        heartbeat(&mut net, "i-2", sequence, false);
        net.wait(45);
    }

    expect_that!(before, some(eq(Standing::default())));
    let standing = net.standing(&"vm-5".into(), &deadly());
    expect_that!(standing, some(eq(Standing { ended: 1, in_trials: 0 })));
}

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
    fn come_to(&mut self, net: &mut Net, vm: &VmName) {
        if !net.serves(vm) {
            return;
        }
        let Some(standing) = net.standing(vm, &deadly()) else { return };
        if standing.is_quarantined() {
            return;
        }
        if standing.is_suspect() {
            let call = ask(net, vm);
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
            match net.seen.trials.get(&call) {
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
            ends(net, &vm, &endpoint, trial);
            if let Some(call) = trial {
                net.handle(&vm, Input::TrialOver { call, whole: false });
            }
        }
    }

    /// Tries that began before any daemon could know of an end.
    fn unforeseen(&self) -> usize {
        let first = self.ended.first().copied().unwrap_or(usize::MAX);
        self.begun.iter().filter(|begun| **begun <= first + 1).count()
    }

    /// Tries that began at an endpoint later than every daemon had to know of the third end.
    fn too_late(&self) -> usize {
        let Some(third) = self.ended.get(2) else { return 0 };
        self.begun.iter().filter(|begun| third + STEPS_TO_KNOW < **begun).count()
    }
}

/// Lets callers repeat the deadly request every few steps, three at once at first, and a mishap happen in
/// between; returns them.
fn insist(net: &mut Net, mishap_at: usize, mishap: impl Fn(&mut Net)) -> Callers {
    let entries: Vec<VmName> =
        net.vms().into_iter().filter(|vm| !net.replicas().contains(vm)).collect();
    let mut callers = Callers::new();
    entries.iter().for_each(|vm| callers.come_to(net, vm));
    for step in 1..900 {
        if step == mishap_at {
            mishap(net);
        }
        callers.step(net);
        if step % 7 == 0 {
            callers.come_to(net, &entries[step / 7 % entries.len()]);
        }
    }
    callers
}

#[gtest]
fn tries_at_three_daemons_at_once_and_on_end_few_endpoints() {
    let mut net = running(&Site::new(3, 3), 12);

    let callers = insist(&mut net, 0, |_| {});

    // And then two trials, one after the other.
    expect_that!(callers.ended.len(), eq(callers.unforeseen() + 2));
    expect_that!(callers.too_late(), eq(0));
}

#[gtest]
fn the_loss_of_the_leader_at_any_step_ends_no_more_than_allowed() {
    for mishap_at in (1..240).step_by(3) {
        let mut net = running(&Site::new(3, 3), 13);

        let callers = insist(&mut net, mishap_at, |net| {
            let leader = net.leader().unwrap();
            net.crash(&leader);
        });

        expect_that!(callers.too_late(), le(ALLOWED), "lost at step {mishap_at}");
        let most = callers.unforeseen() + 2 + ALLOWED;
        expect_that!(callers.ended.len(), le(most), "lost at step {mishap_at}");
    }
}

#[gtest]
fn the_loss_of_all_vms_at_any_step_ends_no_more_than_allowed() {
    for mishap_at in (1..240).step_by(3) {
        let mut net = running(&Site::new(3, 3), 14);

        let callers = insist(&mut net, mishap_at, |net| {
            let vms = net.vms();
            vms.iter().for_each(|vm| net.crash(vm));
            vms.iter().for_each(|vm| net.start(vm));
        });

        expect_that!(callers.too_late(), le(ALLOWED), "lost at step {mishap_at}");
    }
}

#[gtest]
fn control_vms_that_nobody_reaches_for_a_while_let_no_more_through() {
    for mishap_at in (1..240).step_by(9) {
        let mut net = running(&Site::new(3, 3), 15);

        let callers = insist(&mut net, mishap_at, |net| {
            let replicas = net.replicas();
            replicas.iter().for_each(|vm| net.crash(vm));
            net.wait(60);
            replicas.iter().for_each(|vm| net.start(vm));
        });

        expect_that!(callers.too_late(), le(ALLOWED), "lost at step {mishap_at}");
    }
}

#[gtest]
fn a_leader_or_an_entry_that_is_suspended_lets_no_more_through() {
    for mishap_at in (1..240).step_by(9) {
        for leads in [false, true] {
            let mut net = running(&Site::new(3, 3), 16);

            let callers = insist(&mut net, mishap_at, |net| {
                let vm = if leads { net.leader().unwrap() } else { "vm-5".into() };
                net.hosts.get_mut(&vm).unwrap().frozen = true;
                // Longer than anything that rests on time holds.
                net.wait(300);
                net.hosts.get_mut(&vm).unwrap().frozen = false;
            });

            expect_that!(callers.too_late(), le(ALLOWED), "leads {leads}, at step {mishap_at}");
        }
    }
}

proptest! {
    #![proptest_config(fixed_seed(40))]

    /// Through any mishaps, what was in quarantine is so on every daemon in the calm after, and no try is
    /// let run.
    #[test]
    fn quarantine_outlives_any_mishaps(seed in any::<u64>()) {
        let mut net = running(&small(), seed);
        quarantined(&mut net);
        prop_assert!(is_quarantined_at(&net, &"vm-4".into()));

        net.storm(300);
        net.calm(400);

        for vm in &net.vms() {
            prop_assert!(is_quarantined_at(&net, vm), "{} does not know", vm);
        }
        let vm = net.pick();
        let call = ask(&mut net, &vm);
        net.wait(20);
        prop_assert_eq!(net.seen.trials.get(&call), Some(&TrialAnswer::Quarantined));
    }
}
