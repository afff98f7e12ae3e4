//! Large configuration changes in a fleet with limited bandwidth and CPU time.
//!
//! Guards against changes that are resent while they are still queued on a link, and against work for
//! all daemons in one step of the leader: both delay activation, confirmations and grants, and can cost
//! the leader its leadership.

use std::{fmt::Write, time::Duration};

use googletest::prelude::*;

use super::{fleet::Fleet, net::Site};
use crate::node::VmName;

/// Time within which a change must be active on every daemon.
const ACTIVATION_LIMIT: Duration = Duration::from_millis(2_500);
/// Time until a leader is elected and known to all daemons.
const STARTUP: Duration = Duration::from_secs(5);
/// Number of routes in a large change, of 2 kB each.
const ROUTES: usize = 300;

fn site() -> Site {
    Site::new(5, 58)
}

/// Longest wait for a processor, and the time in which service must be back nevertheless.
const LONGEST_WAIT: Duration = Duration::from_secs(2);
const RECOVERY: Duration = Duration::from_secs(15);
const SEEDS: u64 = 20;

/// Entries of a large deployment.
const MANY_ENTRIES: usize = 295;

/// A file of this version and number of routes.
fn file(version: u64, routes: usize) -> String {
    let mut text = format!(
        "[deployment]\nname = d\nversion = {version}\n[tier t]\nrank = 1\n\
         [service s]\nmax_connections = 10\n"
    );
    for n in 0..routes {
        let source = format!("{n:02000}");
        write!(
            text,
            "[route r{n}]\nhost = h\npath_prefix = /{n}/\nservices = s:1\nkind = single\n\
             tier = t\nsource = {source}\n"
        )
        .unwrap();
    }
    text
}

/// A fleet with a small active configuration.
fn configured_fleet() -> Fleet {
    configured_fleet_of(&site())
}

fn configured_fleet_of(site: &Site) -> Fleet {
    let mut fleet = Fleet::new(site);
    fleet.run(STARTUP);
    let leader = fleet.leader();
    fleet.submit(&leader, 1, &file(1, 1));
    fleet.run(STARTUP);
    fleet
}

/// VMs that activated a version, or a newer one, too late or not at all.
fn late_vms(fleet: &Fleet, version: u64) -> Vec<VmName> {
    let in_time = |delay: &Option<Duration>| delay.is_some_and(|d| d <= ACTIVATION_LIMIT);
    fleet
        .activation_delays(version)
        .into_iter()
        .filter(|(_, d)| !in_time(d))
        .map(|(vm, _)| vm)
        .collect()
}

#[gtest]
fn large_changes_activate_in_time_without_elections() {
    let mut fleet = configured_fleet();
    let terms = fleet.terms.clone();
    let leader = fleet.leader();

    fleet.submit(&leader, 2, &file(2, ROUTES));
    fleet.run(Duration::from_millis(500));
    let submitted = fleet.now();
    fleet.submit(&leader, 3, &file(3, ROUTES + 1));
    fleet.run(ACTIVATION_LIMIT * 2);

    let accepted = fleet.accepted_at(3).expect("it is accepted");
    expect_that!(accepted.since(submitted), lt(Duration::from_secs(1)));
    expect_that!(late_vms(&fleet, 2), is_empty());
    expect_that!(late_vms(&fleet, 3), is_empty());
    expect_that!(fleet.terms, eq(&terms));
}

#[gtest]
fn large_change_is_sent_once_per_daemon() {
    let mut fleet = configured_fleet();
    let leader = fleet.leader();
    let bytes = fleet.change_bytes(&leader, &file(2, ROUTES));
    let before: Vec<usize> = site().entries.iter().map(|vm| fleet.received(vm)).collect();

    fleet.submit(&leader, 2, &file(2, ROUTES));
    fleet.run(ACTIVATION_LIMIT * 2);

    for (vm, before) in site().entries.iter().zip(before) {
        let received = fleet.received(vm) - before;
        // Allows a tenth for all other messages in this time.
        expect_that!(received, lt(bytes + bytes / 10), "{vm}");
    }
}

#[gtest]
fn large_change_does_not_delay_small_messages() {
    let mut fleet = configured_fleet();
    let leader = fleet.leader();

    fleet.submit(&leader, 2, &file(2, ROUTES));
    fleet.run(ACTIVATION_LIMIT * 2);

    // Later grants would exceed the tightest latency target of callers.
    expect_that!(fleet.slowest_small_message(), lt(Duration::from_millis(100)));
    expect_that!(fleet.longest_unconfirmed, lt(Duration::from_secs(1)));
}

#[gtest]
fn partitioned_control_vms_do_not_delay_entries() {
    let mut fleet = configured_fleet();
    let leader = fleet.leader();
    let others = site().replicas.into_iter().filter(|vm| *vm != leader);
    fleet.partitioned = others.take(2).collect();
    fleet.run(STARTUP);

    fleet.submit(&leader, 2, &file(2, ROUTES));
    fleet.run(ACTIVATION_LIMIT * 2);

    let late: Vec<VmName> =
        late_vms(&fleet, 2).into_iter().filter(|vm| !fleet.partitioned.contains(vm)).collect();
    expect_that!(late, is_empty());
}

/// A file of this version that shares no route with other versions.
fn file_with_new_routes(version: u64) -> String {
    let routes = file(version, ROUTES).replace("[route r", &format!("[route v{version}-r"));
    routes.replace("host = h", &format!("host = h{version}"))
}

/// Guards against entries that fetch every change in turn, also superseded ones, and fall further behind
/// with each.
#[gtest]
fn entries_keep_up_with_successive_large_changes() {
    let mut fleet = configured_fleet();
    let leader = fleet.leader();

    // Each change takes half a second on an entry's link, longer than the interval.
    for version in 2..=25 {
        fleet.submit(&leader, version, &file_with_new_routes(version));
        fleet.run(Duration::from_millis(300));
    }
    fleet.run(ACTIVATION_LIMIT * 2);

    for version in 2..=25 {
        expect_that!(late_vms(&fleet, version), is_empty(), "version {version}");
    }
}

#[gtest]
fn many_entries_keep_up_with_many_changes() {
    let mut fleet = configured_fleet_of(&Site::new(5, MANY_ENTRIES));
    let leader = fleet.leader();
    let terms = fleet.terms.clone();

    // Two large changes among small ones, each submitted once the one before is accepted.
    for version in 2..=25 {
        let text = if version % 12 == 0 { file_with_new_routes(version) } else { file(version, 1) };
        fleet.submit(&leader, version, &text);
        while fleet.accepted_at(version).is_none() {
            fleet.run(Duration::from_millis(60));
        }
    }
    fleet.run(ACTIVATION_LIMIT * 2);

    for version in 2..=25 {
        expect_that!(late_vms(&fleet, version), is_empty(), "version {version}");
    }
    expect_that!(fleet.terms, eq(&terms));
}

// Guards against fetches of a large configuration in many exchanges, each of which waits for two processors.
#[gtest]
fn entries_that_wait_for_processors_have_a_large_configuration_in_recovery_time() {
    let site = Site::new(5, 6);
    for seed in 0..SEEDS {
        let mut fleet = configured_fleet_of(&site);
        let leader = fleet.leader();
        fleet.submit(&leader, 2, &file(2, ROUTES));
        fleet.run(STARTUP);
        let restarted = fleet.now();
        fleet.restart_entries(&site);
        fleet.hold_up_all(LONGEST_WAIT, seed);

        fleet.run(RECOVERY);

        let took = fleet.all_confirmed_at(&site.entries).map(|at| at.since(restarted));
        expect_that!(took, some(lt(RECOVERY)), "seed {seed}");
    }
}
