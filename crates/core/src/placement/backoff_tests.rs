//! Placement on engines that reject requests and ask daemons to back off.

use std::time::Duration;

use googletest::prelude::*;

use super::{
    Action, Request, Scheduler, Ticket,
    fixture::{ms, request, scheduler},
};
use crate::{backoff::Rejection, error::ErrorKind, state::HallsOut};

const HALL: &str = "a";
const D1: u64 = 1;
const D2: u64 = 2;

/// A scheduler with `count` idle engines in one data hall.
fn engines(count: usize) -> Scheduler {
    scheduler(&vec![HALL; count], 34_000)
}

fn chat_of(daemon: u64, number: u64) -> Request {
    Request { ticket: Ticket { entry: daemon, number }, ..request(number, 500, 100) }
}

fn reject(scheduler: &mut Scheduler, daemon: u64, endpoint: &str, retry_after_ms: u64, at: u64) {
    let retry_after = (0 < retry_after_ms).then(|| Duration::from_millis(retry_after_ms));
    let rejection = Rejection { endpoint: endpoint.into(), started_at: 0, retry_after };
    scheduler.on_rejection(daemon, &rejection, ms(at));
}

/// Decides and returns the number and endpoint of each started request.
fn placed(scheduler: &mut Scheduler, at: u64) -> Vec<(u64, String)> {
    let start = |action| match action {
        Action::Start { ticket, endpoint, .. } => Some((ticket.number, endpoint.to_string())),
        Action::GiveUp { .. } => None,
    };
    scheduler.decide(ms(at)).into_iter().filter_map(start).collect()
}

/// Enqueues a request and returns its endpoint if it starts.
fn place(scheduler: &mut Scheduler, req: Request, at: u64) -> Option<String> {
    let number = req.ticket.number;
    scheduler.enqueue(req, ms(at)).unwrap();
    placed(scheduler, at).into_iter().find(|(of, _)| *of == number).map(|(_, endpoint)| endpoint)
}

#[gtest]
fn backed_off_engine_gets_no_requests_of_the_daemon() {
    let mut scheduler = engines(2);
    reject(&mut scheduler, D1, "e0", 3_000, 0);

    for number in 0..20 {
        let at = 10 + number * 100;
        expect_that!(place(&mut scheduler, chat_of(D1, number), at), some(eq("e1")));
        scheduler.finish(Ticket { entry: D1, number }, 100, true, ms(at + 50));
    }
}

#[gtest]
fn rejecting_engine_is_last_resort_for_other_daemons() {
    let mut scheduler = engines(2);
    reject(&mut scheduler, D1, "e0", 3_000, 0);
    let with_another = place(&mut scheduler, chat_of(D2, 1), 10);

    scheduler.set_halls_out(&HallsOut::default());
    scheduler.endpoint_leaving("e1", true);
    let without = place(&mut scheduler, chat_of(D2, 2), 20);

    expect_that!(with_another, some(eq("e1")));
    expect_that!(without, some(eq("e0")));
}

#[gtest]
fn one_probe_request_after_back_off_then_more() {
    let mut scheduler = engines(1);
    reject(&mut scheduler, D1, "e0", 500, 0);
    for number in 0..4 {
        scheduler.enqueue(chat_of(D1, number), ms(600)).unwrap();
    }

    let first = placed(&mut scheduler, 600);
    scheduler.progress(Ticket { entry: D1, number: first[0].0 }, 4, ms(700));
    let next = placed(&mut scheduler, 700);

    expect_that!(first.len(), eq(1));
    expect_that!(next.len(), eq(2));
}

#[gtest]
fn relocated_probe_request_frees_its_place() {
    let mut scheduler = engines(2);
    reject(&mut scheduler, D1, "e0", 100, 0);
    scheduler.endpoint_leaving("e1", true);
    let trial = place(&mut scheduler, chat_of(D1, 1), 200);
    scheduler.endpoint_leaving("e1", false);

    scheduler.on_relocated(Ticket { entry: D1, number: 1 }, "e1", true, ms(300));
    scheduler.endpoint_leaving("e1", true);

    expect_that!(trial, some(eq("e0")));
    expect_that!(place(&mut scheduler, chat_of(D1, 2), 310), some(eq("e0")));
}

#[gtest]
fn request_avoids_engines_that_rejected_it() {
    let mut scheduler = engines(3);
    let avoid = vec!["e0".into(), "e1".into()];

    let placed = place(&mut scheduler, Request { avoid, ..chat_of(D1, 1) }, 10);

    expect_that!(placed, some(eq("e2")));
}

#[gtest]
fn back_off_longer_than_max_wait_is_rejected_on_arrival() {
    let mut scheduler = engines(2);
    reject(&mut scheduler, D1, "e0", 5_000, 0);
    reject(&mut scheduler, D1, "e1", 4_000, 0);

    let refused = scheduler.enqueue(chat_of(D1, 1), ms(1_000)).unwrap_err();
    let next = scheduler.enqueue(chat_of(D1, 2), ms(1_000)).unwrap_err();

    expect_that!(refused.kind, eq(ErrorKind::Overloaded));
    expect_that!(refused.retry_after, some(eq(Duration::from_secs(3))));
    expect_that!(next.retry_after, some(eq(Duration::from_millis(3_250))));
}

#[gtest]
fn request_is_held_until_back_off_ends() {
    let mut scheduler = engines(1);
    reject(&mut scheduler, D1, "e0", 500, 0);

    let before = place(&mut scheduler, chat_of(D1, 1), 100);
    let looks_again = scheduler.next_decision();
    let after = placed(&mut scheduler, 500);

    expect_that!(before, none());
    expect_that!(looks_again, some(eq(ms(500))));
    expect_that!(after, elements_are![eq(&(1, "e0".to_owned()))]);
}

#[gtest]
fn held_request_does_not_block_other_daemons() {
    let mut scheduler = engines(1);
    reject(&mut scheduler, D1, "e0", 500, 0);
    let of_d1 = place(&mut scheduler, chat_of(D1, 1), 100);

    let of_d2 = place(&mut scheduler, chat_of(D2, 2), 110);

    expect_that!(of_d1, none());
    expect_that!(of_d2, some(eq("e0")));
}

#[gtest]
fn queued_request_is_rejected_when_back_off_exceeds_its_wait() {
    let mut scheduler = scheduler(&[HALL], 1_000);
    scheduler.enqueue(chat_of(D2, 1), ms(0)).unwrap();
    let running = placed(&mut scheduler, 0).len();
    scheduler.enqueue(chat_of(D1, 2), ms(10)).unwrap();
    let while_full = scheduler.decide(ms(10)).len();

    reject(&mut scheduler, D1, "e0", 5_000, 20);
    let given_up = scheduler.decide(ms(20));

    expect_that!([running, while_full], eq([1, 0]));
    assert_that!(given_up.len(), eq(1));
    let Action::GiveUp { ticket, error } = &given_up[0] else { panic!("{given_up:?}") };
    expect_that!(ticket.number, eq(2));
    expect_that!(error.kind, eq(ErrorKind::Overloaded));
    expect_that!(scheduler.waiting(), eq(0));
}

#[gtest]
fn cancelling_a_held_request_removes_it() {
    let mut scheduler = engines(1);
    reject(&mut scheduler, D1, "e0", 500, 0);
    let waits = place(&mut scheduler, chat_of(D1, 1), 100);

    scheduler.cancel(Ticket { entry: D1, number: 1 }, ms(200));

    expect_that!(waits, none());
    expect_that!(scheduler.waiting(), eq(0));
    expect_that!(placed(&mut scheduler, 600).len(), eq(0));
}

#[gtest]
fn no_move_to_an_engine_that_backs_off_the_daemon() {
    let mut scheduler = engines(2);
    scheduler.adopt(chat_of(D1, 1), "e0", 8, ms(0));
    reject(&mut scheduler, D1, "e1", 3_000, 0);
    scheduler.endpoint_leaving("e0", true);

    let while_backing_off = scheduler.plan_relocations(ms(10)).len();
    let after = scheduler.plan_relocations(ms(3_010)).len();

    expect_that!([while_backing_off, after], eq([0, 1]));
}
