//! Requests under which endpoints end, in whole nodes: known everywhere a moment after, and kept through
//! the loss of the leader and of all VMs.
//!
//! The story of the failure that this guards against is in `relay::tests::crashing` of the server.

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;

use super::{
    net::{Net, Site},
    small,
};
use crate::{
    node::{CallId, FailedAttempt, Input, NodeCall, ProbeOutcome, TrialAnswer, VmName},
    quarantine::{CrashCounts, RequestDigest},
    testing::fixed_seed,
    wire::EndpointRecord,
};

/// The request that the tests are about.
pub(super) fn deadly() -> RequestDigest {
    RequestDigest::from_slice(&[7; 16]).unwrap()
}

/// A site whose daemons have a configuration.
pub(super) fn running(site: &Site, seed: u64) -> Net {
    let mut net = Net::new(site, seed);
    net.calm(100);
    net.submit(&net.entry(), 1, "a");
    net.calm(60);
    net
}

/// An endpoint of this name ends under the deadly request at a VM.
pub(super) fn ends(net: &mut Net, vm: &VmName, endpoint: &str, trial: Option<CallId>) {
    let broke_off = FailedAttempt {
        request: deadly(),
        endpoint: endpoint.into(),
        started_at: Some(0),
        probe: ProbeOutcome::ConnectionRefused,
        trial,
    };
    net.handle(vm, Input::FailedAttempt(broke_off));
}

/// Asks for a trial at a VM.
pub(super) fn ask(net: &mut Net, vm: &VmName) -> CallId {
    net.ask(vm, NodeCall::Trial { request: deadly(), limit: Duration::from_secs(2) })
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
        net.handle(&entry, Input::TrialEnded { call, complete: false });
        net.wait(10);
    }
}

fn is_quarantined_at(net: &Net, vm: &VmName) -> bool {
    net.standing(vm, &deadly()).is_some_and(CrashCounts::is_quarantined)
}

#[gtest]
fn an_end_is_known_on_every_daemon_a_moment_after() {
    let mut net = running(&small(), 1);

    ends(&mut net, &"vm-4".into(), "e0", None);
    net.wait(5);

    for vm in &net.vms() {
        let standing = net.standing(vm, &deadly());
        expect_that!(standing, some(eq(CrashCounts { total: 1, in_trials: 0 })), "{vm}");
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
    expect_that!(standing, some(eq(CrashCounts { total: 1, in_trials: 0 })));
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

    expect_that!(at_once, some(eq(CrashCounts { total: 1, in_trials: 0 })));
    let elsewhere = net.standing(&"vm-5".into(), &deadly());
    expect_that!(elsewhere, some(eq(CrashCounts { total: 1, in_trials: 0 })));
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

    expect_that!(net.seen.trials.get(&call), some(eq(&TrialAnswer::Unavailable)));
}

#[gtest]
fn a_whole_answer_clears_the_request_everywhere() {
    let mut net = running(&small(), 7);
    ends(&mut net, &"vm-4".into(), "e0", None);
    net.wait(10);
    let first = ask(&mut net, &"vm-4".into());
    let second = ask(&mut net, &"vm-5".into());
    net.wait(10);
    let granted = TrialAnswer::Granted { isolated: false };
    expect_that!(net.seen.trials.get(&first), some(eq(&granted)));
    expect_that!(net.seen.trials.get(&second), none());

    net.handle(&"vm-4".into(), Input::TrialEnded { call: first, complete: true });
    net.wait(10);

    expect_that!(net.seen.trials.get(&second), some(eq(&TrialAnswer::Clear)));
    for vm in &net.vms() {
        expect_that!(net.standing(vm, &deadly()), some(eq(CrashCounts::default())), "{vm}");
    }
}

#[gtest]
fn an_operator_clears_a_request() {
    let mut net = running(&small(), 8);
    quarantined(&mut net);

    let clear = || NodeCall::ClearSuspect { request: deadly(), limit: Duration::from_secs(1) };
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

fn breaks_off(net: &mut Net, probe: ProbeOutcome) {
    let endpoint = "i-1".into();
    let broke_off =
        FailedAttempt { request: deadly(), endpoint, started_at: Some(0), probe, trial: None };
    net.handle(&"vm-4".into(), Input::FailedAttempt(broke_off));
}

#[gtest]
fn what_runs_at_an_endpoint_that_said_it_leaves_is_no_suspect() {
    let mut net = running(&small(), 9);
    heartbeat(&mut net, "i-1", 1, true);

    breaks_off(&mut net, ProbeOutcome::ConnectionRefused);
    net.wait(10);

    expect_that!(net.standing(&"vm-4".into(), &deadly()), some(eq(CrashCounts::default())));
}

#[gtest]
fn an_endpoint_that_goes_on_has_only_failed() {
    let mut net = running(&small(), 10);
    heartbeat(&mut net, "i-1", 1, false);

    breaks_off(&mut net, ProbeOutcome::Connected);
    for sequence in 2..12 {
        heartbeat(&mut net, "i-1", sequence, false);
        net.wait(45);
    }

    expect_that!(net.standing(&"vm-4".into(), &deadly()), some(eq(CrashCounts::default())));
}

#[gtest]
fn an_endpoint_that_falls_silent_has_ended() {
    let mut net = running(&small(), 11);
    heartbeat(&mut net, "i-1", 1, false);

    breaks_off(&mut net, ProbeOutcome::NoAnswer);
    let before = net.standing(&"vm-4".into(), &deadly());
    for sequence in 2..12 {
        heartbeat(&mut net, "i-2", sequence, false);
        net.wait(45);
    }

    expect_that!(before, some(eq(CrashCounts::default())));
    let standing = net.standing(&"vm-5".into(), &deadly());
    expect_that!(standing, some(eq(CrashCounts { total: 1, in_trials: 0 })));
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
