//! Which run has an address that several have claimed.

use googletest::prelude::*;
use proptest::prelude::*;

use super::{
    Registry,
    tests::{HEARTBEAT, open_endpoints, record, seconds},
};
use crate::{testing::fixed_seed, units::Instant, wire::EndpointRecord};

#[gtest]
fn a_late_heartbeat_of_a_former_run_takes_no_address_from_the_run_that_is_there() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply(record("new", 3, false), seconds(5));

    // The former run was known elsewhere only; a cut has held its heartbeat up.
    let news = registry.apply(record("former", 17, false), seconds(6));

    expect_that!(news, none());
    expect_that!(open_endpoints(&registry), elements_are![eq("new")]);
}

#[gtest]
fn a_run_that_lost_its_address_to_a_late_heartbeat_has_it_back_once_it_is_heard() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply(record("new", 3, false), seconds(5));
    // Nothing was heard for a while here, as on a control VM that is cut off.
    registry.apply(record("former", 17, false), seconds(15));

    registry.apply(record("new", 12, false), seconds(16));
    registry.apply(record("new", 13, false), seconds(17));

    expect_that!(open_endpoints(&registry), elements_are![eq("new")]);
}

#[gtest]
fn a_run_that_starts_soon_after_a_crash_has_the_address_with_its_second_heartbeat() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply(record("former", 17, false), Instant(5_000_000));

    registry.apply(record("new", 1, false), Instant(5_800_000));
    registry.apply(record("new", 2, false), Instant(7_000_000));

    expect_that!(open_endpoints(&registry), elements_are![eq("new")]);
}

#[gtest]
fn a_former_run_that_leaves_is_not_overheard() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply(record("new", 3, false), seconds(5));

    let news = registry.apply(record("former", 17, true), seconds(6));
    let again = registry.apply(record("former", 16, false), seconds(30));

    expect_that!(news, some(field!(EndpointRecord.leaving, eq(&true))));
    expect_that!(again, none());
    expect_that!(open_endpoints(&registry), elements_are![eq("new")]);
}

#[gtest]
fn of_two_lists_the_run_that_was_heard_later_has_the_address_in_any_order() {
    let now = seconds(30);
    let stale = (record("former", 17, false), seconds(20));
    let current = (record("new", 3, false), seconds(29));
    for lists in [[stale.clone(), current.clone()], [current, stale]] {
        let mut registry = Registry::new(HEARTBEAT);

        for (record, heard) in lists {
            registry.apply_heard_at(record, heard, now);
        }

        expect_that!(open_endpoints(&registry), elements_are![eq("new")]);
    }
}

/// The last daemon is linked to this control VM and is told all that is known there.
fn link(vms: &mut [Registry], at: usize, now: Instant) {
    let parts = 0..super::BUCKETS;
    let known: Vec<_> = parts.flat_map(|part| vms[at].bucket(part).to_vec()).collect();
    let entry = vms.last_mut().unwrap();
    for (record, heard) in known {
        entry.apply_heard_at(record, heard, now);
    }
}

/// What happens to the two runs at one address and to those who hear of them.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The new run's heartbeat reaches this control VM, which passes it on.
    Heartbeat(usize),
    /// A heartbeat of the former run that a cut has held up reaches this control VM.
    Late(usize),
    /// The entry is linked anew to this control VM and is told all that is known there.
    Link(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (0u8..3, 0usize..2).prop_map(|(kind, at)| match kind {
        0 => Step::Heartbeat(at),
        1 => Step::Late(at),
        _ => Step::Link(at),
    });
    proptest::collection::vec(step, 0..12)
}

proptest! {
    #![proptest_config(fixed_seed(500))]

    /// Two control VMs, of which each may have known the former run, and an entry. Whatever
    /// comes late in whatever order, after two more heartbeats all know just the new run.
    #[test]
    fn a_former_run_never_comes_back_and_the_new_one_is_not_lost(
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
                        if let Some(news) = vms[at].apply(beat.clone(), now) {
                            vms[2].apply(news, now);
                        }
                    }
                }
                Step::Late(at) => {
                    if let Some(news) = vms[at].apply(record("former", 20, false), now) {
                        vms[1 - at].apply(news.clone(), now);
                        vms[2].apply(news, now);
                    }
                }
                Step::Link(at) => {
                    link(&mut vms, at, now);
                }
            }
        }
        for vm in &vms {
            prop_assert_eq!(open_endpoints(vm), vec!["new".to_owned()]);
        }
    }
}
