//! Quarantine of crashing requests in whole nodes: crash records reach every daemon and survive the
//! loss of the leader and of all VMs.

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;

use super::{
    net::{Net, Site},
    small_site,
};
use crate::{
    node::{CallId, FailedAttempt, Input, NodeCall, ProbeOutcome, TrialAnswer, VmName},
    quarantine::{ContentDigest, CrashCounts},
    testing::fixed_seed,
    wire::EndpointRecord,
};

/// The request that crashes endpoints.
pub(super) fn crashing_request() -> ContentDigest {
    ContentDigest::from_slice(&[7; 16]).unwrap()
}

/// A net whose daemons have an active configuration.
pub(super) fn configured_net(site: &Site, seed: u64) -> Net {
    let mut net = Net::new(site, seed);
    net.recover(100);
    net.submit(&net.entry(), 1, "a");
    net.recover(60);
    net
}

/// Reports at a VM that an endpoint crashed while it ran the request.
pub(super) fn crash_endpoint(net: &mut Net, vm: &VmName, endpoint: &str, trial: Option<CallId>) {
    let attempt = FailedAttempt {
        request: crashing_request(),
        parts: Vec::new(),
        endpoint: endpoint.into(),
        started_at: Some(0),
        probe: ProbeOutcome::ConnectionRefused,
        trial,
        trial_of: trial.map(|_| crashing_request()),
    };
    net.handle(vm, Input::FailedAttempt(attempt));
}

/// Requests a trial at a VM.
pub(super) fn request_trial(net: &mut Net, vm: &VmName) -> CallId {
    net.call(
        vm,
        NodeCall::Trial { contents: vec![crashing_request()], limit: Duration::from_secs(2) },
    )
}

/// Brings the request into quarantine with one crash and two crashed trials.
fn quarantine_request(net: &mut Net) {
    let entry = net.entry();
    crash_endpoint(net, &entry, "e0", None);
    net.run(10);
    for endpoint in ["e1", "e2"] {
        let call = request_trial(net, &entry);
        net.run(10);
        crash_endpoint(net, &entry, endpoint, Some(call));
        net.handle(&entry, Input::TrialEnded { call, complete: false });
        net.run(10);
    }
}

fn is_quarantined_on(net: &Net, vm: &VmName) -> bool {
    net.crash_counts(vm, &crashing_request()).is_some_and(CrashCounts::is_quarantined)
}

#[gtest]
fn crash_is_known_on_every_daemon() {
    let mut net = configured_net(&small_site(), 1);

    crash_endpoint(&mut net, &"vm-4".into(), "e0", None);
    net.run(5);

    for vm in &net.vms() {
        let counts = net.crash_counts(vm, &crashing_request());
        expect_that!(counts, some(eq(CrashCounts { total: 1, in_trials: 0 })), "{vm}");
    }
}

#[gtest]
fn crash_reported_by_several_daemons_counts_once() {
    let mut net = configured_net(&small_site(), 2);

    for vm in ["vm-4", "vm-5", "vm-1"] {
        crash_endpoint(&mut net, &vm.into(), "e0", None);
    }
    net.run(10);

    let counts = net.crash_counts(&"vm-5".into(), &crashing_request());
    expect_that!(counts, some(eq(CrashCounts { total: 1, in_trials: 0 })));
}

#[gtest]
fn quarantine_survives_disk_loss_and_full_restart() {
    let mut net = configured_net(&Site::new(5, 2), 3);
    quarantine_request(&mut net);

    for vm in net.vms() {
        net.crash(&vm);
    }
    net.wipe_disk(&"vm-1".into());
    net.wipe_disk(&"vm-4".into());
    net.recover(300);

    for vm in &net.vms() {
        expect_that!(is_quarantined_on(&net, vm), eq(true), "{vm}");
    }
}

#[gtest]
fn trial_of_quarantined_request_is_denied() {
    let mut net = configured_net(&small_site(), 4);
    quarantine_request(&mut net);

    let call = request_trial(&mut net, &"vm-5".into());
    net.run(5);

    expect_that!(net.observed.trials.get(&call), some(eq(&TrialAnswer::Quarantined)));
}

#[gtest]
fn crash_is_recorded_once_a_leader_is_elected() {
    let mut net = configured_net(&small_site(), 5);
    for vm in net.replicas() {
        net.crash(&vm);
    }
    net.run(100);

    crash_endpoint(&mut net, &"vm-4".into(), "e0", None);
    let at_once = net.crash_counts(&"vm-4".into(), &crashing_request());
    net.recover(100);

    expect_that!(at_once, some(eq(CrashCounts { total: 1, in_trials: 0 })));
    let on_other_daemon = net.crash_counts(&"vm-5".into(), &crashing_request());
    expect_that!(on_other_daemon, some(eq(CrashCounts { total: 1, in_trials: 0 })));
}

#[gtest]
fn trial_request_times_out_without_leader() {
    let mut net = configured_net(&small_site(), 6);
    crash_endpoint(&mut net, &"vm-4".into(), "e0", None);
    net.run(10);
    for vm in net.replicas() {
        net.crash(&vm);
    }
    net.run(50);

    let call = request_trial(&mut net, &"vm-4".into());
    net.run(110);

    expect_that!(net.observed.trials.get(&call), some(eq(&TrialAnswer::Unavailable)));
}

#[gtest]
fn complete_answer_clears_the_request() {
    let mut net = configured_net(&small_site(), 7);
    crash_endpoint(&mut net, &"vm-4".into(), "e0", None);
    net.run(10);
    let first = request_trial(&mut net, &"vm-4".into());
    let second = request_trial(&mut net, &"vm-5".into());
    net.run(10);
    let granted = TrialAnswer::Granted { content: crashing_request(), isolated: false };
    expect_that!(net.observed.trials.get(&first), some(eq(&granted)));
    expect_that!(net.observed.trials.get(&second), none());

    net.handle(&"vm-4".into(), Input::TrialEnded { call: first, complete: true });
    net.run(10);

    expect_that!(net.observed.trials.get(&second), some(eq(&TrialAnswer::Clear)));
    for vm in &net.vms() {
        expect_that!(
            net.crash_counts(vm, &crashing_request()),
            some(eq(CrashCounts::default())),
            "{vm}"
        );
    }
}

#[gtest]
fn operator_clears_a_request() {
    let mut net = configured_net(&small_site(), 8);
    quarantine_request(&mut net);

    let clear =
        || NodeCall::ClearSuspect { request: crashing_request(), limit: Duration::from_secs(1) };
    net.call(&"vm-2".into(), clear());
    net.run(10);
    net.call(&"vm-5".into(), clear());
    net.run(10);

    expect_that!(net.observed.cleared, eq(&vec![Some(true), Some(false)]));
    expect_that!(is_quarantined_on(&net, &"vm-4".into()), eq(false));
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
    net.run(5);
}

fn fail_attempt(net: &mut Net, probe: ProbeOutcome) {
    let endpoint = "i-1".into();
    let attempt = FailedAttempt {
        request: crashing_request(),
        parts: Vec::new(),
        endpoint,
        started_at: Some(0),
        probe,
        trial: None,
        trial_of: None,
    };
    net.handle(&"vm-4".into(), Input::FailedAttempt(attempt));
}

#[gtest]
fn leaving_endpoint_is_no_crash() {
    let mut net = configured_net(&small_site(), 9);
    heartbeat(&mut net, "i-1", 1, true);

    fail_attempt(&mut net, ProbeOutcome::ConnectionRefused);
    net.run(10);

    expect_that!(
        net.crash_counts(&"vm-4".into(), &crashing_request()),
        some(eq(CrashCounts::default()))
    );
}

#[gtest]
fn endpoint_with_heartbeats_is_no_crash() {
    let mut net = configured_net(&small_site(), 10);
    heartbeat(&mut net, "i-1", 1, false);

    fail_attempt(&mut net, ProbeOutcome::Connected);
    for sequence in 2..12 {
        heartbeat(&mut net, "i-1", sequence, false);
        net.run(45);
    }

    expect_that!(
        net.crash_counts(&"vm-4".into(), &crashing_request()),
        some(eq(CrashCounts::default()))
    );
}

#[gtest]
fn endpoint_without_heartbeats_has_crashed() {
    let mut net = configured_net(&small_site(), 11);
    heartbeat(&mut net, "i-1", 1, false);

    fail_attempt(&mut net, ProbeOutcome::NoAnswer);
    let before = net.crash_counts(&"vm-4".into(), &crashing_request());
    for sequence in 2..12 {
        heartbeat(&mut net, "i-2", sequence, false);
        net.run(45);
    }

    expect_that!(before, some(eq(CrashCounts::default())));
    let counts = net.crash_counts(&"vm-5".into(), &crashing_request());
    expect_that!(counts, some(eq(CrashCounts { total: 1, in_trials: 0 })));
}

proptest! {
    #![proptest_config(fixed_seed(40))]

    /// After any faults, every daemon has the request in quarantine and no trial is granted.
    #[test]
    fn quarantine_survives_faults(seed in any::<u64>()) {
        let mut net = configured_net(&small_site(), seed);
        quarantine_request(&mut net);
        prop_assert!(is_quarantined_on(&net, &"vm-4".into()));

        net.run_with_faults(300);
        net.recover(400);

        for vm in &net.vms() {
            prop_assert!(is_quarantined_on(&net, vm), "{} does not know", vm);
        }
        let vm = net.random_vm();
        let call = request_trial(&mut net, &vm);
        net.run(20);
        prop_assert_eq!(net.observed.trials.get(&call), Some(&TrialAnswer::Quarantined));
    }
}
