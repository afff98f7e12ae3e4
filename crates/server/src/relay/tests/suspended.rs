//! A VM that is suspended: no promise that a time guards holds longer for it.
//!
//! The steady clock stands still meanwhile. Measured by it, a configuration that was confirmed before the
//! suspension still counts as current after it, and a key that was taken away meanwhile runs requests.

use std::time::Duration;

use googletest::prelude::*;
use http::StatusCode;
use tokio::join;

use super::{
    endpoint::{FakeEndpoint, events_to},
    entry::{Entry, on_local_tasks},
    reading::{Reading, outcome, text},
};

/// An entry whose configuration was confirmed once, and will not be again.
async fn confirmed_once() -> Entry {
    Entry::confirmed_once(Duration::ZERO).await
}

/// An engine with much room.
async fn engine(entry: &Entry, name: &str) -> FakeEndpoint {
    let engine = entry.register("engines", name).await;
    engine.tell_room(0, true);
    engine
}

#[gtest]
fn a_request_that_comes_after_it_runs_nowhere() {
    on_local_tasks(async {
        let entry = confirmed_once().await;
        let mut desk = entry.register("desk", "e1").await;

        entry.suspend();
        let answer = entry.ask("/once/x", "r1").await;

        expect_that!(answer.head.status, eq(StatusCode::SERVICE_UNAVAILABLE));
        expect_that!(outcome(&answer), some(eq("not_ready")));
        expect_that!(desk.is_idle(), eq(true));
    });
}

#[gtest]
fn callers_are_not_sent_to_it_before_it_is_up_to_date_again() {
    on_local_tasks(async {
        let entry = confirmed_once().await;
        let before = entry.is_ready();

        entry.suspend();

        expect_that!(before, eq(true));
        expect_that!(entry.is_ready(), eq(false));
    });
}

#[gtest]
fn a_generation_that_waited_for_a_place_runs_nowhere() {
    on_local_tasks(async {
        let entry = confirmed_once().await;

        let (answer, engine) = join!(entry.ask("/chat/", "r1"), async {
            entry.has_in_progress(1).await;
            entry.suspend();
            engine(&entry, "e1").await
        });

        let mut engine = engine;
        expect_that!(answer.head.status, eq(StatusCode::SERVICE_UNAVAILABLE));
        expect_that!(engine.is_idle(), eq(true));
    });
}

#[gtest]
fn a_call_that_failed_meanwhile_is_not_sent_again() {
    on_local_tasks(async {
        let entry = confirmed_once().await;
        let mut e1 = entry.register("desk", "e1").await;
        let mut e2 = entry.register("desk", "e2").await;

        let (answer, ()) = join!(entry.ask("/again/x", "r1"), async {
            let arrival = tokio::select! {
                arrival = e1.arrival() => arrival,
                arrival = e2.arrival() => arrival,
            };
            entry.suspend();
            arrival.answer(500, "failed");
        });

        expect_that!(answer.head.status, eq(StatusCode::INTERNAL_SERVER_ERROR));
        expect_true!(e1.is_idle() && e2.is_idle());
    });
}

#[gtest]
fn a_summary_that_was_cut_meanwhile_does_not_go_on_elsewhere() {
    on_local_tasks(async {
        let entry = confirmed_once().await;
        let mut e1 = engine(&entry, "e1").await;
        let mut e2 = engine(&entry, "e2").await;
        let (answer, stream) = join!(entry.ask("/recap/", "r1"), async {
            let arrival = tokio::select! {
                arrival = e1.arrival() => arrival,
                arrival = e2.arrival() => arrival,
            };
            let stream = arrival.stream();
            stream.events(1..=2).await;
            stream
        });
        let mut reading = Reading::new(answer);
        reading.read_to(2).await;

        entry.suspend();
        stream.cut().await;

        expect_that!(reading.rest().await, err(anything()));
        expect_true!(e1.is_idle() && e2.is_idle());
    });
}

#[gtest]
fn a_generation_that_runs_goes_on() {
    on_local_tasks(async {
        let entry = confirmed_once().await;
        let mut engine = engine(&entry, "e1").await;

        let (answer, ()) = join!(entry.ask("/chat/", "r1"), async {
            let stream = engine.arrival().await.stream();
            stream.events(1..=2).await;
            entry.suspend();
            stream.events(3..=3).await;
            stream.end();
        });

        expect_that!(text(answer).await, ok(eq(&events_to(3))));
    });
}

#[gtest]
fn a_request_whose_time_is_over_is_answered_at_once() {
    on_local_tasks(async {
        let entry = confirmed_once().await;
        let mut desk = entry.register("desk", "e1").await;

        let (answer, arrival) = join!(entry.ask("/once/x", "r1"), async {
            let arrival = desk.arrival().await;
            // As long as the route lets a request take.
            trayswitch_clock::suspend(Duration::from_secs(600));
            arrival
        });

        expect_that!(outcome(&answer), some(eq("outcome_unknown")));
        drop(arrival);
    });
}

#[gtest]
fn a_daemon_that_leads_serves_again_once_it_has_confirmed_anew() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let mut desk = entry.register("desk", "e1").await;

        entry.suspend();
        let (answer, ()) = join!(entry.ask("/once/x", "r1"), async {
            desk.arrival().await.answer(200, "done");
        });

        expect_that!(text(answer).await, ok(eq("done")));
    });
}
