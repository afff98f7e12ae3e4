//! Placement of isolated requests.

use std::time::Duration;

use googletest::prelude::*;

use super::{
    Action, Request, Scheduler,
    fixture::{ms, request, scheduler},
};

/// An isolated request with a long maximum wait.
fn isolated(number: u64) -> Request {
    let long = Duration::from_secs(60);
    Request { isolated: true, max_wait: long, ttft_target: long, ..request(number, 100, 1_000) }
}

/// Enqueues requests, decides, and returns the number and endpoint of each started request.
fn start(scheduler: &mut Scheduler, requests: Vec<Request>, at: u64) -> Vec<(u64, String)> {
    for req in requests {
        scheduler.enqueue(req, ms(at)).unwrap();
    }
    decide(scheduler, at)
}

fn decide(scheduler: &mut Scheduler, at: u64) -> Vec<(u64, String)> {
    let started = |action| match action {
        Action::Start { ticket, endpoint, .. } => Some((ticket.number, endpoint.to_string())),
        Action::GiveUp { .. } => None,
    };
    scheduler.decide(ms(at)).into_iter().filter_map(started).collect()
}

fn plain(numbers: std::ops::Range<u64>) -> Vec<Request> {
    numbers.map(|number| request(number, 100, 1_000)).collect()
}

/// A scheduler with `chats_each` chats per engine, all past their first token.
fn busy(engines: usize, chats_each: u64) -> Scheduler {
    let mut scheduler = scheduler(&vec!["h"; engines], 1_000_000);
    let chats = start(&mut scheduler, plain(1_000..1_000 + engines as u64 * chats_each), 0);
    for (number, _) in chats {
        scheduler.progress(request(number, 0, 0).ticket, 100, ms(0));
    }
    scheduler
}

#[gtest]
fn engine_is_reserved_until_request_is_established() {
    let mut scheduler = busy(4, 1);
    let at = start(&mut scheduler, vec![isolated(1)], 10).remove(0).1;

    let before_first_event = start(&mut scheduler, plain(2..40), 20);
    scheduler.progress(isolated(1).ticket, 4, ms(30));
    let after_first_event = start(&mut scheduler, plain(40..60), 40);
    scheduler.progress(isolated(1).ticket, 32, ms(50));
    let after = start(&mut scheduler, plain(60..100), 60);

    expect_that!(before_first_event.iter().filter(|(_, endpoint)| *endpoint == at).count(), eq(0));
    expect_that!(after_first_event.iter().filter(|(_, endpoint)| *endpoint == at).count(), eq(0));
    expect_that!(after.iter().filter(|(_, endpoint)| *endpoint == at).count(), gt(0));
}

#[gtest]
fn waits_for_pending_first_tokens_on_its_engine() {
    let mut scheduler = busy(2, 0);
    let before = start(&mut scheduler, plain(10..20), 0);

    let at_once = start(&mut scheduler, vec![isolated(1)], 10);
    for (number, _) in &before {
        scheduler.progress(request(*number, 0, 0).ticket, 4, ms(20));
    }
    let then = decide(&mut scheduler, 20);

    expect_that!(at_once, is_empty());
    expect_that!(then, elements_are![(eq(&1), anything())]);
}

#[gtest]
fn starts_on_the_least_loaded_engine() {
    let mut scheduler = busy(4, 3);
    let running_before: Vec<_> =
        (0..4).map(|i| scheduler.endpoint(&format!("e{i}")).unwrap().running()).collect();
    let at = start(&mut scheduler, vec![isolated(1)], 10).remove(0).1;

    let others_on_engine = scheduler.endpoint(&at).unwrap().running() - 1;

    expect_that!(others_on_engine, eq(*running_before.iter().min().unwrap()));
}

#[gtest]
fn reservations_leave_most_engines_to_others() {
    let mut scheduler = busy(8, 1);

    let started = start(&mut scheduler, (1..10).map(isolated).collect(), 10);
    let others = start(&mut scheduler, plain(20..60), 20);

    expect_that!(started.len(), eq(2));
    expect_that!(others.len(), eq(40));
}

#[gtest]
fn only_engine_is_not_reserved() {
    let mut scheduler = busy(1, 1);

    let started = start(&mut scheduler, vec![isolated(1)], 10);
    let others = start(&mut scheduler, plain(20..25), 20);

    expect_that!(started.len(), eq(1));
    expect_that!(others.len(), eq(5));
}

#[gtest]
fn reservation_ends_with_its_request() {
    let mut scheduler = busy(2, 0);
    let at = start(&mut scheduler, vec![isolated(1), isolated(2)], 0);
    expect_that!(at.len(), eq(1));

    scheduler.finish(isolated(1).ticket, 0, false, ms(10));
    let next = decide(&mut scheduler, 10);
    scheduler.cancel(isolated(2).ticket, ms(20));
    let others = start(&mut scheduler, plain(10..30), 30);

    expect_that!(next, elements_are![(eq(&2), anything())]);
    let engines: std::collections::BTreeSet<_> = others.iter().map(|(_, e)| e.clone()).collect();
    expect_that!(engines.len(), eq(2));
}

#[gtest]
fn failed_engine_is_replaced_while_waiting() {
    let mut scheduler = busy(2, 0);
    let before = start(&mut scheduler, plain(10..20), 0);
    expect_that!(start(&mut scheduler, vec![isolated(1)], 10), is_empty());
    let reserved = ["e0", "e1"]
        .into_iter()
        .find(|name| !scheduler.endpoint(name).unwrap().is_available(ms(10)));

    scheduler.endpoint_failed(reserved.unwrap(), ms(20));
    for (number, _) in &before {
        scheduler.progress(request(*number, 0, 0).ticket, 4, ms(20));
    }
    let started = decide(&mut scheduler, 20);

    expect_that!(started.len(), eq(1));
    expect_that!(started[0].1.as_str(), not(eq(reserved.unwrap())));
}

#[gtest]
fn isolated_request_expires() {
    let mut scheduler = busy(2, 0);
    start(&mut scheduler, plain(10..20), 0);
    let short = Duration::from_millis(100);
    scheduler.enqueue(Request { max_wait: short, ..isolated(1) }, ms(10)).unwrap();

    let actions = scheduler.decide(ms(120));

    let gave_up =
        |action: &Action| matches!(action, Action::GiveUp { ticket, .. } if ticket.number == 1);
    expect_that!(actions.iter().filter(|action| gave_up(action)).count(), eq(1));
    expect_that!(scheduler.has_isolated(), eq(false));
}
