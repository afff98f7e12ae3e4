//! A VM that is suspended: no promise that a time guards holds longer for it.
//!
//! The steady clock stands still meanwhile. Measured by it, a configuration that was confirmed before the
//! suspension still counts as current after it, and a key that was taken away meanwhile runs requests.

use std::time::Duration;

use googletest::prelude::*;
use http::StatusCode;
use tokio::join;

use super::{
    fake_endpoint::{FakeEndpoint, events_to},
    response::{ResponseReader, outcome, text},
    test_daemon::{TestDaemon, run_test},
};

/// An entry whose configuration was confirmed once, and will not be again.
async fn confirmed_once() -> TestDaemon {
    TestDaemon::confirmed_once(Duration::ZERO).await
}

/// An engine with much room.
async fn engine(daemon: &TestDaemon, name: &str) -> FakeEndpoint {
    let engine = daemon.register("engines", name).await;
    engine.set_capacity(0, true);
    engine
}

#[gtest]
fn a_request_that_comes_after_it_runs_nowhere() {
    run_test(async {
        let daemon = confirmed_once().await;
        let mut desk = daemon.register("desk", "e1").await;

        daemon.suspend();
        let answer = daemon.send("/once/x", "r1").await;

        expect_that!(answer.head.status, eq(StatusCode::SERVICE_UNAVAILABLE));
        expect_that!(outcome(&answer), some(eq("not_ready")));
        expect_that!(desk.is_idle(), eq(true));
    });
}

#[gtest]
fn callers_are_not_sent_to_it_before_it_is_up_to_date_again() {
    run_test(async {
        let daemon = confirmed_once().await;
        let before = daemon.is_ready();

        daemon.suspend();

        expect_that!(before, eq(true));
        expect_that!(daemon.is_ready(), eq(false));
    });
}

#[gtest]
fn a_generation_that_waited_for_a_place_runs_nowhere() {
    run_test(async {
        let daemon = confirmed_once().await;

        let (answer, engine) = join!(daemon.send("/chat/", "r1"), async {
            daemon.wait_for_in_progress(1).await;
            daemon.suspend();
            engine(&daemon, "e1").await
        });

        let mut engine = engine;
        expect_that!(answer.head.status, eq(StatusCode::SERVICE_UNAVAILABLE));
        expect_that!(engine.is_idle(), eq(true));
    });
}

#[gtest]
fn a_call_that_failed_meanwhile_is_not_sent_again() {
    run_test(async {
        let daemon = confirmed_once().await;
        let mut e1 = daemon.register("desk", "e1").await;
        let mut e2 = daemon.register("desk", "e2").await;

        let (answer, ()) = join!(daemon.send("/again/x", "r1"), async {
            let arrival = tokio::select! {
                arrival = e1.arrival() => arrival,
                arrival = e2.arrival() => arrival,
            };
            daemon.suspend();
            arrival.answer(500, "failed");
        });

        expect_that!(answer.head.status, eq(StatusCode::INTERNAL_SERVER_ERROR));
        expect_true!(e1.is_idle() && e2.is_idle());
    });
}

#[gtest]
fn a_summary_that_was_cut_meanwhile_does_not_go_on_elsewhere() {
    run_test(async {
        let daemon = confirmed_once().await;
        let mut e1 = engine(&daemon, "e1").await;
        let mut e2 = engine(&daemon, "e2").await;
        let (answer, stream) = join!(daemon.send("/recap/", "r1"), async {
            let arrival = tokio::select! {
                arrival = e1.arrival() => arrival,
                arrival = e2.arrival() => arrival,
            };
            let stream = arrival.stream();
            stream.events(1..=2).await;
            stream
        });
        let mut reader = ResponseReader::new(answer);
        reader.read_to(2).await;

        daemon.suspend();
        stream.abort().await;

        expect_that!(reader.read_rest().await, err(anything()));
        expect_true!(e1.is_idle() && e2.is_idle());
    });
}

#[gtest]
fn a_generation_that_runs_goes_on() {
    run_test(async {
        let daemon = confirmed_once().await;
        let mut engine = engine(&daemon, "e1").await;

        let (answer, ()) = join!(daemon.send("/chat/", "r1"), async {
            let stream = engine.arrival().await.stream();
            stream.events(1..=2).await;
            daemon.suspend();
            stream.events(3..=3).await;
            stream.end();
        });

        expect_that!(text(answer).await, ok(eq(&events_to(3))));
    });
}

#[gtest]
fn a_request_whose_time_is_over_is_answered_at_once() {
    run_test(async {
        let daemon = confirmed_once().await;
        let mut desk = daemon.register("desk", "e1").await;

        let (answer, arrival) = join!(daemon.send("/once/x", "r1"), async {
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
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut desk = daemon.register("desk", "e1").await;

        daemon.suspend();
        let (answer, ()) = join!(daemon.send("/once/x", "r1"), async {
            desk.arrival().await.answer(200, "done");
        });

        expect_that!(text(answer).await, ok(eq("done")));
    });
}
