//! Counts, rejections and capacity as operators see them.

use std::time::Duration;

use googletest::prelude::*;

use super::{
    LoadSnapshot, Request, RequestLoad, Scheduler, Ticket,
    fixture::{ms, request, scheduler},
};
use crate::{error::ErrorKind, quarantine::ContentDigest};

/// KV cache that holds one request of [`long`].
const ONE_REQUEST: u64 = 4_000;

fn long(number: u64, workspace: &str) -> Request {
    let digest = ContentDigest::from_slice(&[number as u8; 16]);
    Request { workspace: workspace.into(), digest, ..request(number, 3_000, 700) }
}

fn ticket(number: u64) -> Ticket {
    Ticket { entry: 1, number }
}

fn rows(load: &LoadSnapshot) -> Vec<(&str, [u64; 6], u64)> {
    let counts = |r: &RequestLoad| [r.asked, r.started, r.rejected, r.returned, r.in_time, r.late];
    load.requests.iter().map(|row| (row.workspace.as_str(), counts(row), row.waiting)).collect()
}

/// Guards against requests that are counted twice, or still count as waiting after they have left.
#[gtest]
fn each_request_is_counted_once_on_its_way() {
    let mut scheduler = scheduler(&["a", "a"], ONE_REQUEST);
    for number in 0..4 {
        scheduler.enqueue(long(number, "w"), ms(0)).unwrap();
        scheduler.enqueue(long(number, "w"), ms(1)).unwrap();
        scheduler.decide(ms(1));
    }
    scheduler.load_view.on_returned(ticket(2), ms(2));
    let before = scheduler.load_snapshot(ms(2));
    scheduler.progress(ticket(0), 4, ms(900));
    scheduler.progress(ticket(0), 8, ms(1_000));
    scheduler.cancel(ticket(2), ms(1_000));
    scheduler.decide(ms(1_001));
    scheduler.progress(ticket(1), 4, ms(1_001));

    let after = scheduler.load_snapshot(ms(1_001));

    expect_that!(rows(&before), elements_are![eq(&("w", [4, 2, 0, 1, 0, 0], 2))]);
    // Request 3 has expired, request 2 was cancelled.
    expect_that!(rows(&after), elements_are![eq(&("w", [4, 2, 1, 1, 1, 1], 0))]);
    expect_that!(rows(&scheduler.load_snapshot(ms(11_100))), is_empty());
}

/// Guards against counts that outlive the window, also after a pause longer than it.
#[gtest]
fn counts_leave_the_window_second_by_second() {
    let mut scheduler = scheduler(&["a"], 1_000_000);
    let asked = |scheduler: &Scheduler, at: u64| -> u64 {
        scheduler.load_snapshot(ms(at)).requests.iter().map(|row| row.asked).sum()
    };
    for number in 0..20 {
        scheduler.enqueue(long(number, "w"), ms(number * 1_000)).unwrap();
        scheduler.decide(ms(number * 1_000));
    }
    let (full, part) = (asked(&scheduler, 19_500), asked(&scheduler, 24_500));
    scheduler.enqueue(long(20, "w"), ms(60_000)).unwrap();

    expect_that!((full, part, asked(&scheduler, 60_000)), eq((10, 5, 1)));
}

#[gtest]
fn a_rejection_has_the_state_behind_it() {
    let mut scheduler = scheduler(&["a"], ONE_REQUEST);
    for number in 0..3 {
        scheduler.enqueue(long(number, "w"), ms(0)).unwrap();
    }
    scheduler.decide(ms(0));
    let limited = Request { max_waiting: 2, ..long(3, "w") };
    let error = scheduler.enqueue(limited, ms(10)).unwrap_err();
    scheduler.decide(ms(1_000));

    let (refusals, omitted) = scheduler.load_view.take_refusals(ms(1_000));

    expect_that!(error.kind, eq(ErrorKind::WorkspaceLimit));
    let of = |i: usize| (refusals[i].ticket.number, refusals[i].waited, refusals[i].context.ahead);
    expect_that!(of(0), eq((3, Duration::ZERO, 2)));
    expect_that!(of(1), eq((1, Duration::from_secs(1), 0)));
    expect_that!(refusals[1].digest, eq(long(1, "w").digest));
    expect_that!(refusals[1].error.kind, eq(ErrorKind::Overloaded));
    expect_that!((refusals.len(), omitted), eq((3, 0)));
    let next_return = scheduler.load_snapshot(ms(1_400)).requests[0].next_return_ms;
    // Returns are spaced, so the request rejected last is told a later time than the first.
    let told = |i: usize| refusals[i].error.retry_after().unwrap();
    expect_that!(told(1), eq(Duration::from_secs(1)));
    expect_that!(told(2), gt(told(1)));
    expect_that!(next_return, some(eq(told(2).as_millis() as u64 - 400)));
}

/// Guards against a leader that is held up by its log while it rejects most requests.
#[gtest]
fn at_most_twenty_rejections_a_second_are_logged_and_the_rest_is_counted() {
    let mut scheduler = scheduler(&[], 0);
    for number in 0..100 {
        scheduler.enqueue(long(number, "w"), ms(2_000)).unwrap_err();
    }
    let first = scheduler.load_view.take_refusals(ms(2_000));
    scheduler.enqueue(long(100, "w"), ms(2_900)).unwrap_err();
    let same_second = scheduler.load_view.take_refusals(ms(2_900));
    let later = scheduler.load_view.take_refusals(ms(3_000));

    expect_that!((first.0.len(), first.1), eq((20, 0)));
    expect_that!((same_second.0.len(), same_second.1), eq((0, 0)));
    expect_that!((later.0.len(), later.1), eq((0, 81)));
}

/// Guards against memory and metrics that grow with the number of workspaces.
#[gtest]
fn the_busiest_workspaces_are_named_and_the_rest_is_one_row() {
    let mut scheduler = scheduler(&[], 0);
    for number in 0..5_000 {
        let workspace = if number % 2 == 0 { "big".into() } else { format!("w{number}") };
        scheduler.enqueue(long(number, &workspace), ms(1_000)).unwrap_err();
    }

    let load = scheduler.load_snapshot(ms(1_000));

    let asked = |name: &str| -> u64 {
        load.requests.iter().filter(|row| row.workspace == name).map(|row| row.asked).sum()
    };
    let total: u64 = load.requests.iter().map(|row| row.asked).sum();
    expect_that!((asked("big"), total), eq((2_500, 5_000)));
    expect_that!(load.requests.len(), le(66));
    expect_that!(asked("(other)"), ge(2_400));
}

/// Guards against full engines that look like idle ones: an operator tells uneven capacity by them.
#[gtest]
fn full_and_idle_engines_are_told_apart_by_hall() {
    let mut scheduler = scheduler(&["a", "a", "b"], ONE_REQUEST);
    for number in 0..2 {
        let avoid = vec!["e2".into()];
        scheduler.enqueue(Request { avoid, ..long(number, "w") }, ms(0)).unwrap();
    }
    scheduler.decide(ms(0));
    scheduler.progress(ticket(0), 650, ms(500));
    scheduler.endpoint_failed("e2", ms(500));

    let at_failure = scheduler.load_snapshot(ms(500)).services;
    let later = scheduler.load_snapshot(ms(60_000)).services;

    let of = |i: usize| {
        let hall = &at_failure[i];
        (hall.hall.as_str(), hall.endpoints, hall.full, hall.idle, hall.unavailable)
    };
    expect_that!(of(0), eq(("a", 2, 1, 0, 0)));
    expect_that!(of(1), eq(("b", 0, 0, 0, 1)));
    expect_that!((later[1].idle, later[1].free_tokens), eq((1, ONE_REQUEST)));
}
