use std::{collections::VecDeque, time::Duration};

use googletest::prelude::*;
use proptest::prelude::*;

use super::Registry;
use crate::{state::HallsOut, testing::fixed_seed, units::Instant, wire::EndpointRecord};

pub(super) const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub(super) fn record(id: &str, sequence: u64, leaving: bool) -> EndpointRecord {
    EndpointRecord {
        id: id.into(),
        service: "s".into(),
        address: "10.0.0.1:80".into(),
        hall: "h".into(),
        slots: 4,
        sequence,
        leaving,
        silent: false,
        cold_ms: 0,
        born: 0,
        software_version: "v1".into(),
    }
}

pub(super) fn seconds(s: u64) -> Instant {
    Instant(s * 1_000_000)
}

#[gtest]
fn delayed_heartbeat_does_not_revive_a_leaving_endpoint() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply(record("a", 1, false), seconds(0));
    registry.apply(record("a", 3, true), seconds(1));

    let update = registry.apply(record("a", 2, false), seconds(2));

    expect_that!(update, none());
    expect_that!(registry.unavailable().count(), eq(1));
}

#[gtest]
fn heartbeat_after_deregistration_does_not_revive_an_endpoint() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply(record("a", 1, false), seconds(0));
    let first = registry.mark_leaving("a", 0, seconds(1));
    let again = registry.mark_leaving("a", 0, seconds(1));

    registry.apply(record("a", 2, false), seconds(2));

    expect_that!(first, some(anything()));
    expect_that!(again, none());
    expect_that!(registry.unavailable().count(), eq(1));
}

#[gtest]
fn latest_run_owns_the_address() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply(record("a", 9, false), seconds(0));

    registry.apply(record("b", 1, false), seconds(5));
    registry.apply(record("a", 10, false), seconds(6));

    let ids: Vec<&str> = registry.records().map(|r| r.id.as_str()).collect();
    expect_that!(ids, elements_are![eq(&"b")]);
}

#[gtest]
fn only_new_information_is_forwarded() {
    let mut registry = Registry::new(HEARTBEAT);

    let first = registry.apply(record("a", 1, false), seconds(0));
    let second = registry.apply(record("a", 2, false), seconds(1));
    let leaving = registry.apply(record("a", 3, true), seconds(2));

    expect_that!(first, some(anything()));
    expect_that!(second, none());
    expect_that!(leaving, some(field!(EndpointRecord.leaving, eq(&true))));
}

#[gtest]
fn silent_endpoint_is_unavailable_until_its_next_heartbeat() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply(record("a", 1, false), seconds(0));
    let other = EndpointRecord { address: "10.0.0.2:80".into(), ..record("b", 1, false) };
    registry.apply(EndpointRecord { sequence: 8, ..other }, seconds(9));

    let silent = registry.detect_silent(seconds(9));
    let closed = registry.unavailable().count();
    let back = registry.apply(record("a", 2, false), seconds(10));

    expect_that!(silent.len(), eq(1));
    expect_that!(closed, eq(1));
    expect_that!(back, some(field!(EndpointRecord.silent, eq(&false))));
    expect_that!(registry.unavailable().count(), eq(0));
}

#[gtest]
fn no_endpoint_is_silent_while_none_is_heard() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply(record("a", 1, false), seconds(0));

    let silent = registry.detect_silent(seconds(30));

    expect_that!(silent.len(), eq(0));
}

proptest! {
    #![proptest_config(fixed_seed(500))]

    /// Daemons agree on availability when they receive the same heartbeats in any order.
    #[test]
    fn order_of_heartbeats_does_not_matter(
        mut beats in proptest::collection::vec((1u64..20, any::<bool>()), 1..12),
        rotate in 0usize..12,
    ) {
        beats.sort();
        beats.dedup_by_key(|beat| beat.0);
        let mut one = Registry::new(HEARTBEAT);
        let mut two = Registry::new(HEARTBEAT);
        for (sequence, leaving) in &beats {
            one.apply(record("a", *sequence, *leaving), seconds(1));
        }
        let at = rotate % beats.len();
        beats.rotate_left(at);
        beats.reverse();
        for (sequence, leaving) in &beats {
            two.apply(record("a", *sequence, *leaving), seconds(1));
        }
        prop_assert_eq!(one.unavailable().count(), two.unavailable().count());
    }
}

#[gtest]
fn deregistrations_of_unknown_names_use_bounded_memory() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply(record("a", 1, false), seconds(0));
    let other = EndpointRecord { address: "10.0.0.2:80".into(), ..record("b", 1, false) };
    registry.apply(EndpointRecord { address: "10.0.0.1:80".into(), ..other }, seconds(1));

    for n in 0..20_000 {
        registry.mark_leaving(&format!("made-up-{n}"), 0, seconds(2));
    }

    expect_that!(registry.departed.len(), le(4_096));
    expect_that!(registry.mark_leaving("made-up-19999", 0, seconds(3)), none());
}

/// Forwards records between control VMs until nothing is new; returns the number of messages.
fn forward_all(vms: &mut [Registry], first: Vec<EndpointRecord>) -> usize {
    let mut queue: VecDeque<(usize, EndpointRecord)> = first.into_iter().enumerate().collect();
    let mut forwarded = 0;
    while let Some((from, update)) = queue.pop_front() {
        forwarded += 1;
        assert!(forwarded < 1_000, "news goes around forever");
        for (at, vm) in vms.iter_mut().enumerate().filter(|(at, _)| *at != from) {
            if let Some(new) = vm.apply(update.clone(), seconds(1)) {
                queue.push_back((at, new));
            }
        }
    }
    forwarded
}

#[gtest]
fn forwarding_terminates_when_control_vms_disagree_on_silence() {
    let mut vms: Vec<Registry> = (0..4).map(|_| Registry::new(HEARTBEAT)).collect();
    let known =
        |at: usize| EndpointRecord { silent: at.is_multiple_of(2), ..record("a", 7, false) };
    for (at, vm) in vms.iter_mut().enumerate() {
        vm.apply(known(at), seconds(0));
    }

    let forwarded = forward_all(&mut vms, (0..4).map(known).collect());

    expect_that!(forwarded, lt(50));
    let closed: Vec<usize> = vms.iter().map(|vm| vm.unavailable().count()).collect();
    expect_that!(closed, each(eq(&0)));
    expect_that!(vms.iter().all(|vm| vm.records().all(|r| r.silent)), eq(true));
}

#[gtest]
fn endpoints_stay_available_when_all_of_a_service_are_silent() {
    let mut registry = Registry::new(HEARTBEAT);
    let other = |id: &str, silent| EndpointRecord {
        address: format!("10.0.0.{}:80", id.len() + 1),
        silent,
        ..record(id, 1, false)
    };
    registry.apply(other("a", true), seconds(0));
    registry.apply(other("bb", true), seconds(0));
    let all_silent = registry.unavailable().count();

    registry.apply(other("ccc", false), seconds(0));

    expect_that!(all_silent, eq(0));
    expect_that!(registry.unavailable().count(), eq(2));
}

#[gtest]
fn restored_endpoint_is_available_until_it_misses_heartbeats() {
    let mut registry = Registry::new(HEARTBEAT);
    let here = EndpointRecord { address: "10.0.0.2:80".into(), ..record("here", 7, false) };
    registry.restore(vec![record("gone", 9, false), here.clone()], seconds(0));
    let at_first = registry.unavailable().count();

    registry.apply(EndpointRecord { sequence: 8, ..here }, seconds(1));
    let silent = registry.detect_silent(seconds(3));

    expect_that!(at_first, eq(0));
    expect_that!(silent.len(), eq(1));
    expect_that!(silent[0].id, eq("gone"));
    expect_that!(registry.unavailable().count(), eq(1));
}

/// Records of the endpoints with these numbers, with this heartbeat number.
fn endpoints(numbers: std::ops::Range<u64>, sequence: u64) -> Vec<EndpointRecord> {
    let of = |n: u64| EndpointRecord {
        id: format!("e{n}"),
        address: format!("10.0.{}.{}:80", n / 250, n % 250),
        ..record("", sequence, false)
    };
    numbers.map(of).collect()
}

#[gtest]
fn many_late_restored_endpoints_are_not_silent() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.restore(endpoints(0..1_000, 7), seconds(0));
    for heard in endpoints(0..600, 8) {
        registry.apply(heard, seconds(1));
    }

    let late = registry.detect_silent(seconds(3));
    for heard in endpoints(600..980, 8) {
        registry.apply(heard, seconds(3));
    }
    let gone = registry.detect_silent(seconds(4));

    expect_that!(late.len(), eq(0));
    expect_that!(gone.len(), eq(20));
}

#[gtest]
fn no_endpoint_is_silent_while_most_are_unheard() {
    let mut registry = Registry::new(HEARTBEAT);
    for heard in endpoints(0..100, 1) {
        registry.apply(heard, seconds(0));
    }
    for heard in endpoints(0..40, 5) {
        registry.apply(heard, seconds(6));
    }

    let most = registry.detect_silent(seconds(6));
    for heard in endpoints(40..80, 5) {
        registry.apply(heard, seconds(6));
    }
    let few = registry.detect_silent(seconds(6));

    expect_that!(most.len(), eq(0));
    expect_that!(few.len(), eq(20));
}

#[gtest]
fn restored_leaving_endpoint_is_unavailable() {
    let mut registry = Registry::new(HEARTBEAT);

    registry.restore(vec![record("a", 9, true)], seconds(0));

    expect_that!(registry.unavailable().count(), eq(1));
}

#[gtest]
fn heard_records_take_precedence_over_restored_ones() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply(record("a", 9, true), seconds(0));

    registry.restore(vec![record("a", 5, false)], seconds(1));

    expect_that!(registry.unavailable().count(), eq(1));
}

/// Names of the available endpoints.
pub(super) fn available_endpoints(registry: &Registry) -> Vec<String> {
    let endpoints =
        registry.endpoints(&HallsOut::default()).into_iter().filter(|endpoint| endpoint.available);
    endpoints.map(|endpoint| endpoint.id.to_string()).collect()
}
