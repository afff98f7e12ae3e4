//! Which of several runs owns an address.

use googletest::prelude::*;
use proptest::prelude::*;

use super::{
    Registry,
    tests::{HEARTBEAT, available_endpoints, record, seconds},
};
use crate::{testing::fixed_seed, units::Instant, wire::EndpointRecord};

#[gtest]
fn delayed_heartbeat_of_a_former_run_does_not_take_the_address() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply(record("new", 3, false), seconds(5));

    // A delayed heartbeat of a previous run that this daemon did not know.
    let update = registry.apply(record("former", 17, false), seconds(6));

    expect_that!(update, none());
    expect_that!(available_endpoints(&registry), elements_are![eq("new")]);
}

#[gtest]
fn run_regains_its_address_once_it_is_heard() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply(record("new", 3, false), seconds(5));
    // Nothing was heard for a time, as on a partitioned control VM.
    registry.apply(record("former", 17, false), seconds(15));

    registry.apply(record("new", 12, false), seconds(16));
    registry.apply(record("new", 13, false), seconds(17));

    expect_that!(available_endpoints(&registry), elements_are![eq("new")]);
}

#[gtest]
fn run_after_a_crash_gets_the_address_with_its_second_heartbeat() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply(record("former", 17, false), Instant(5_000_000));

    registry.apply(record("new", 1, false), Instant(5_800_000));
    registry.apply(record("new", 2, false), Instant(7_000_000));

    expect_that!(available_endpoints(&registry), elements_are![eq("new")]);
}

#[gtest]
fn leaving_notice_of_a_former_run_is_applied() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply(record("new", 3, false), seconds(5));

    let update = registry.apply(record("former", 17, true), seconds(6));
    let again = registry.apply(record("former", 16, false), seconds(30));

    expect_that!(update, some(field!(EndpointRecord.leaving, eq(&true))));
    expect_that!(again, none());
    expect_that!(available_endpoints(&registry), elements_are![eq("new")]);
}

#[gtest]
fn run_heard_later_owns_the_address_in_any_order() {
    let now = seconds(30);
    let stale = (record("former", 17, false), seconds(20));
    let current = (record("new", 3, false), seconds(29));
    for lists in [[stale.clone(), current.clone()], [current, stale]] {
        let mut registry = Registry::new(HEARTBEAT);

        for (record, heard) in lists {
            registry.apply_heard_at(record, heard, now);
        }

        expect_that!(available_endpoints(&registry), elements_are![eq("new")]);
    }
}

/// Connects the last daemon to a control VM, which sends it all records.
fn link(vms: &mut [Registry], at: usize, now: Instant) {
    let buckets = 0..super::digest::BUCKETS;
    let known: Vec<_> = buckets.flat_map(|bucket| vms[at].bucket(bucket).to_vec()).collect();
    let entry = vms.last_mut().unwrap();
    for (record, heard) in known {
        entry.apply_heard_at(record, heard, now);
    }
}

/// Events of two runs at one address.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A heartbeat of the new run reaches this control VM, which forwards it.
    Heartbeat(usize),
    /// A delayed heartbeat of the previous run reaches this control VM.
    DelayedHeartbeat(usize),
    /// The entry reconnects to this control VM and receives all its records.
    Link(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (0u8..3, 0usize..2).prop_map(|(kind, at)| match kind {
        0 => Step::Heartbeat(at),
        1 => Step::DelayedHeartbeat(at),
        _ => Step::Link(at),
    });
    proptest::collection::vec(step, 0..12)
}

proptest! {
    #![proptest_config(fixed_seed(500))]

    /// Two control VMs that may know the previous run, and an entry. After any sequence of delayed
    /// records and two more heartbeats all know only the new run.
    #[test]
    fn former_run_never_replaces_the_new_one(
        steps in steps(),
        former_known in proptest::collection::vec(any::<bool>(), 3),
    ) {
        let mut vms: Vec<Registry> = (0..3).map(|_| Registry::new(HEARTBEAT)).collect();
        let mut now = seconds(10);
        for (vm, known) in vms.iter_mut().zip(&former_known) {
            if *known {
                vm.apply(record("former", 5, false), seconds(1));
            }
        }
        let mut sequence = 0;
        let last = [Step::Heartbeat(0), Step::Heartbeat(1), Step::Heartbeat(0)];
        for step in [Step::Heartbeat(0)].into_iter().chain(steps).chain(last) {
            match step {
                Step::Heartbeat(at) => {
                    now = now.after(HEARTBEAT);
                    sequence += 1;
                    let beat = record("new", sequence, false);
                    for at in [at, 1 - at] {
                        if let Some(update) = vms[at].apply(beat.clone(), now) {
                            vms[2].apply(update, now);
                        }
                    }
                }
                Step::DelayedHeartbeat(at) => {
                    if let Some(update) = vms[at].apply(record("former", 20, false), now) {
                        vms[1 - at].apply(update.clone(), now);
                        vms[2].apply(update, now);
                    }
                }
                Step::Link(at) => {
                    link(&mut vms, at, now);
                }
            }
        }
        for vm in &vms {
            prop_assert_eq!(available_endpoints(vm), vec!["new".to_owned()]);
        }
    }
}
