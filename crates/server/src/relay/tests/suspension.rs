//! Suspended VMs: timeouts and freshness bounds include the time of the suspension.
//!
//! Guards against using a monotonic clock that stops during suspension, which would serve requests
//! with a stale configuration or a revoked key.

use std::time::Duration;

use googletest::prelude::*;
use http::StatusCode;
use tokio::join;

use super::{
    fake_endpoint::{FakeEndpoint, events_to},
    response::{ResponseReader, outcome, text},
    test_daemon::{TestDaemon, run_test},
};

/// A daemon whose configuration was confirmed once and will not be again.
async fn confirmed_once() -> TestDaemon {
    TestDaemon::confirmed_once(Duration::ZERO).await
}

/// An engine with free KV cache.
async fn engine(daemon: &TestDaemon, name: &str) -> FakeEndpoint {
    let engine = daemon.register("engines", name).await;
    engine.set_capacity(0, true);
    engine
}

#[gtest]
fn request_after_suspension_is_refused() {
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
fn daemon_is_unready_after_suspension() {
    run_test(async {
        let daemon = confirmed_once().await;
        let was_ready = daemon.is_ready();

        daemon.suspend();

        expect_that!(was_ready, eq(true));
        expect_that!(daemon.is_ready(), eq(false));
    });
}

#[gtest]
fn queued_generation_is_refused_after_suspension() {
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
fn failed_call_is_not_retried_after_suspension() {
    run_test(async {
        let daemon = confirmed_once().await;
        let mut e1 = daemon.register("desk", "e1").await;
        let mut e2 = daemon.register("desk", "e2").await;

        let (answer, ()) = join!(daemon.send("/again/x", "r1"), async {
            let arrival = tokio::select! {
                arrival = e1.next_arrival() => arrival,
                arrival = e2.next_arrival() => arrival,
            };
            daemon.suspend();
            arrival.answer(500, "failed");
        });

        expect_that!(answer.head.status, eq(StatusCode::INTERNAL_SERVER_ERROR));
        expect_true!(e1.is_idle() && e2.is_idle());
    });
}

#[gtest]
fn interrupted_generation_is_not_resumed_after_suspension() {
    run_test(async {
        let daemon = confirmed_once().await;
        let mut e1 = engine(&daemon, "e1").await;
        let mut e2 = engine(&daemon, "e2").await;
        let (answer, stream) = join!(daemon.send("/recap/", "r1"), async {
            let arrival = tokio::select! {
                arrival = e1.next_arrival() => arrival,
                arrival = e2.next_arrival() => arrival,
            };
            let stream = arrival.stream();
            stream.send_events(1..=2).await;
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
fn running_generation_survives_suspension() {
    run_test(async {
        let daemon = confirmed_once().await;
        let mut engine = engine(&daemon, "e1").await;

        let (answer, ()) = join!(daemon.send("/chat/", "r1"), async {
            let stream = engine.next_arrival().await.stream();
            stream.send_events(1..=2).await;
            daemon.suspend();
            stream.send_events(3..=3).await;
            stream.finish();
        });

        expect_that!(text(answer).await, ok(eq(&events_to(3))));
    });
}

#[gtest]
fn deadline_expires_during_suspension() {
    run_test(async {
        let daemon = confirmed_once().await;
        let mut desk = daemon.register("desk", "e1").await;

        let (answer, arrival) = join!(daemon.send("/once/x", "r1"), async {
            let arrival = desk.next_arrival().await;
            // The timeout of the route.
            trayswitch_clock::simulate_suspend(Duration::from_secs(600));
            arrival
        });

        expect_that!(outcome(&answer), some(eq("outcome_unknown")));
        drop(arrival);
    });
}

#[gtest]
fn leader_serves_again_after_confirming_config() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut desk = daemon.register("desk", "e1").await;

        daemon.suspend();
        let (answer, ()) = join!(daemon.send("/once/x", "r1"), async {
            desk.next_arrival().await.answer(200, "done");
        });

        expect_that!(text(answer).await, ok(eq("done")));
    });
}
