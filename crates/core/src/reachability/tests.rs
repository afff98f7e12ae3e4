//! Whose fault a failed connection is.

use std::sync::Arc;

use googletest::prelude::*;

use super::{Blame, Path, ReachabilityTracker};
use crate::units::Instant;

const RUN: u64 = 7;

fn at(millis: u64) -> Instant {
    Instant(millis * 1_000)
}

/// A tracker that has reached an endpoint and then failed to reach these.
fn failed_at(endpoints: &[&str]) -> ReachabilityTracker {
    let mut tracker = ReachabilityTracker::default();
    tracker.on_connected("reached", at(0));
    for endpoint in endpoints {
        tracker.on_connect_failed(&Arc::from(*endpoint), RUN);
    }
    tracker
}

#[gtest]
fn single_failure_does_not_cut_off_the_daemon() {
    let mut tracker = failed_at(&["e1"]);
    tracker.on_verdict("e1", true, at(1));

    expect_that!(tracker.is_isolated_failure("e1"), eq(true));
    expect_that!(tracker.path("e1", RUN, at(1)), eq(Path::Forwarded));
    expect_that!(tracker.path("e2", RUN, at(1)), eq(Path::Direct));
}

#[gtest]
fn failures_without_evidence_of_another_daemon_leave_the_path_direct() {
    let tracker = failed_at(&["e1", "e2", "e3"]);

    expect_that!(tracker.is_isolated_failure("e3"), eq(false));
    expect_that!(tracker.is_cut_off(), eq(false));
    expect_that!(tracker.blame("e3"), eq(Blame::Undecided));
    expect_that!(tracker.path("e3", RUN, at(1)), eq(Path::Direct));
}

#[gtest]
fn endpoint_that_no_daemon_reaches_is_down_until_the_verdict_expires() {
    let mut tracker = failed_at(&["e1", "e2"]);
    tracker.on_verdict("e1", false, at(10));
    tracker.on_verdict("e2", false, at(10));

    expect_that!(tracker.path("e1", RUN, at(20)), eq(Path::Down));
    expect_that!(tracker.blame("e1"), eq(Blame::Endpoint));
    expect_that!(tracker.path("e1", RUN, at(600)), eq(Path::Direct));
}

#[gtest]
fn daemon_that_is_cut_off_forwards_to_endpoints_not_tried_yet() {
    let mut tracker = failed_at(&["e1", "e2"]);
    tracker.on_verdict("e2", true, at(1));

    expect_that!(tracker.is_cut_off(), eq(true));
    expect_that!(tracker.path("e9", RUN, at(1)), eq(Path::Forwarded));
    expect_that!(tracker.blame("e1"), eq(Blame::Path));
}

#[gtest]
fn connection_to_another_endpoint_ends_the_cut_but_not_the_broken_paths() {
    let mut tracker = failed_at(&["e1", "e2"]);
    tracker.on_verdict("e1", true, at(1));
    tracker.on_verdict("e2", true, at(1));

    tracker.on_connected("e3", at(2));

    expect_that!(tracker.is_cut_off(), eq(false));
    expect_that!(tracker.broken_paths(), eq(2));
    expect_that!(tracker.path("e1", RUN, at(2)), eq(Path::Forwarded));
}

#[gtest]
fn new_run_of_an_endpoint_is_tried_directly() {
    let mut tracker = failed_at(&["e1"]);
    tracker.on_verdict("e1", false, at(1));

    expect_that!(tracker.path("e1", RUN + 1, at(2)), eq(Path::Direct));
}

#[gtest]
fn unreachable_endpoints_are_probed_in_turn_until_they_are_gone() {
    let mut tracker = failed_at(&["e1", "e2"]);

    let mut probe = || tracker.next_probe(|_, _| true).map(|endpoint| endpoint.to_string());
    let probed = [probe(), probe(), probe()].map(Option::unwrap_or_default);
    expect_that!(probed, eq(&["e1", "e2", "e1"].map(str::to_owned)));

    expect_that!(tracker.next_probe(|_, _| false), none());
    expect_that!(tracker.unreachable(), eq(0));
}

#[gtest]
fn daemon_that_has_reached_nothing_yet_takes_no_failure_for_isolated() {
    let mut tracker = ReachabilityTracker::default();
    tracker.on_connect_failed(&Arc::from("e1"), RUN);

    expect_that!(tracker.is_isolated_failure("e1"), eq(false));
    expect_that!(tracker.last_connected(), none());
}

#[gtest]
fn daemon_that_reaches_none_is_in_doubt_until_it_connects() {
    let mut tracker = failed_at(&["e1"]);
    expect_that!(tracker.is_in_doubt(), eq(false));

    tracker.on_comparison_failed();
    expect_that!(tracker.is_in_doubt(), eq(true));
    expect_that!(tracker.is_cut_off(), eq(false));

    tracker.on_connected("e3", at(2));
    expect_that!(tracker.is_in_doubt(), eq(false));
}
