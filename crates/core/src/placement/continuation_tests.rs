//! Requests that continue a stream start at its software version only, and not after new requests.

use std::time::Duration;

use googletest::prelude::*;

use super::{
    Action, Request, Scheduler, Ticket,
    fixture::{ms, request, scheduler, set_version, version},
};
use crate::{
    error::ErrorKind,
    software_version::VersionConstraint::{self, Only},
};

fn continuing(number: u64, version_name: &str) -> Request {
    Request { versions: Only(version(version_name)), ..request(number, 1_000, 2_000) }
}

/// `e0` and `e1` run v1, `e2` runs v2.
fn two_versions(kv_tokens: u64) -> Scheduler {
    let mut scheduler = scheduler(&["a", "a", "a"], kv_tokens);
    set_version(&mut scheduler, "e2", "v2");
    scheduler
}

fn starts(actions: &[Action]) -> Vec<(u64, String)> {
    let start = |action: &Action| match action {
        Action::Start { ticket, endpoint, .. } => Some((ticket.number, endpoint.to_string())),
        Action::GiveUp { .. } => None,
    };
    actions.iter().filter_map(start).collect()
}

fn errors(actions: Vec<Action>) -> Vec<ErrorKind> {
    let error = |action| match action {
        Action::GiveUp { error, .. } => Some(error.kind),
        Action::Start { .. } => None,
    };
    actions.into_iter().filter_map(error).collect()
}

/// Fills the engines of v1 with requests that run.
fn fill_v1(scheduler: &mut Scheduler) {
    for (number, endpoint) in [(100, "e0"), (101, "e1")] {
        scheduler.adopt(request(number, 30_000, 4_000), endpoint, 1, ms(1));
    }
}

#[gtest]
fn continuing_request_waits_for_its_version_and_holds_up_nobody() {
    let mut scheduler = two_versions(34_000);
    fill_v1(&mut scheduler);
    scheduler.enqueue(continuing(1, "v1"), ms(2)).unwrap();
    scheduler.enqueue(request(2, 1_000, 2_000), ms(3)).unwrap();

    let while_full = starts(&scheduler.decide(ms(3)));
    scheduler.enqueue(request(3, 1_000, 2_000), ms(4)).unwrap();
    scheduler.finish(Ticket { entry: 1, number: 101 }, 10, true, ms(5));
    let with_capacity = starts(&scheduler.decide(ms(5)));

    expect_that!(while_full, eq(&vec![(2, "e2".to_owned())]));
    expect_that!(with_capacity[0], eq(&(1, "e1".to_owned())));
}

#[gtest]
fn continuing_request_is_rejected_at_once_if_its_version_is_gone() {
    let mut scheduler = two_versions(34_000);
    scheduler.endpoint_leaving("e2", true);

    let gone = scheduler.enqueue(continuing(1, "v2"), ms(1));
    let never = scheduler.enqueue(continuing(2, "v3"), ms(1));
    let unknown = Request { versions: VersionConstraint::Unknown, ..request(3, 1_000, 2_000) };
    let unknown = scheduler.enqueue(unknown, ms(1));

    expect_that!(gone.unwrap_err().kind, eq(ErrorKind::VersionUnavailable));
    expect_that!(never.unwrap_err().kind, eq(ErrorKind::VersionUnavailable));
    expect_that!(unknown.unwrap_err().kind, eq(ErrorKind::OriginUnknown));
    expect_that!(scheduler.waiting(), eq(0));
}

#[gtest]
fn waiting_request_is_rejected_when_the_last_endpoint_of_its_version_leaves() {
    let mut scheduler = two_versions(34_000);
    fill_v1(&mut scheduler);
    scheduler.enqueue(continuing(1, "v1"), ms(2)).unwrap();
    let one_left = {
        scheduler.endpoint_leaving("e0", true);
        scheduler.decide(ms(3))
    };
    scheduler.endpoint_leaving("e1", true);

    let none_left = scheduler.decide(ms(4));

    expect_that!(one_left, len(eq(0)));
    expect_that!(errors(none_left), eq(&vec![ErrorKind::VersionUnavailable]));
    expect_that!(scheduler.waiting(), eq(0));
}

#[gtest]
fn waiting_request_expires_and_can_be_cancelled() {
    let mut scheduler = two_versions(34_000);
    fill_v1(&mut scheduler);
    scheduler.enqueue(continuing(1, "v1"), ms(2)).unwrap();
    scheduler.enqueue(continuing(2, "v1"), ms(2)).unwrap();

    scheduler.cancel(Ticket { entry: 1, number: 2 }, ms(3));
    let expired = errors(scheduler.decide(ms(1_003)));

    expect_that!(expired, eq(&vec![ErrorKind::Overloaded]));
    expect_that!(scheduler.waiting(), eq(0));
}

#[gtest]
fn workspace_limit_holds_for_continuing_requests() {
    let mut scheduler = two_versions(340_000);
    let limited = |number| Request { max_running: 1, ..continuing(number, "v1") };
    scheduler.enqueue(limited(1), ms(1)).unwrap();
    scheduler.enqueue(limited(2), ms(1)).unwrap();

    let first = starts(&scheduler.decide(ms(1)));
    scheduler.finish(Ticket { entry: 1, number: first[0].0 }, 10, true, ms(2));
    let second = starts(&scheduler.decide(ms(2)));

    expect_that!((first.len(), second.len()), eq((1, 1)));
}

#[gtest]
fn isolated_continuing_request_starts_at_its_version() {
    let mut scheduler = two_versions(340_000);
    let max_wait = Duration::from_secs(10);
    let isolated = Request { isolated: true, max_wait, ..continuing(1, "v2") };
    scheduler.enqueue(isolated, ms(1)).unwrap();

    expect_that!(starts(&scheduler.decide(ms(1))), eq(&vec![(1, "e2".to_owned())]));
}

#[gtest]
fn alternative_of_a_local_placement_runs_the_same_version() {
    let mut scheduler = two_versions(340_000);
    scheduler.enqueue(continuing(1, "v1"), ms(1)).unwrap();
    scheduler.decide(ms(1));

    let sampled = scheduler.sampled_endpoints(Ticket { entry: 1, number: 1 }, ms(1));

    let mut names: Vec<&str> = sampled.iter().map(|sampled| &*sampled.endpoint).collect();
    names.sort_unstable();
    expect_that!(names, eq(&vec!["e0", "e1"]));
}
