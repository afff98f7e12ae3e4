//! Endpoints that report a rate limit.
//!
//! Guards against limits being ignored, so that an overloaded endpoint gets requests at an
//! unchanged rate.

use std::time::Instant;

use googletest::prelude::*;
use tokio::join;

use super::{
    fake_endpoint::{FakeEndpoint, next_arrival_at},
    response::{outcome, text},
    test_daemon::{TestDaemon, run_test},
};

/// Limit of the overloaded endpoint in requests per second; the next permit is due after the end of
/// the test.
const LIMIT_RPS: f64 = 0.2;
/// A limit at which a queued call is served soon.
const FAST_LIMIT: &str = "20";
/// Requests sent in sequence.
const REQUESTS: u32 = 40;

/// Most requests that the limited endpoint may get: the one that reported the limit, one
/// immediately, and those within the limit.
fn allowed(since: Instant) -> u32 {
    2 + (LIMIT_RPS * since.elapsed().as_secs_f64()) as u32
}

/// Sends requests in sequence while `limited` reports its limit; returns how many it got.
async fn send_all(
    daemon: &TestDaemon,
    path: &str,
    limited: &mut FakeEndpoint,
    other: &mut FakeEndpoint,
) -> u32 {
    let mut sent_to_limited = 0;
    for _ in 0..REQUESTS {
        let (answer, endpoint_id) = join!(daemon.send(path, "r1"), async {
            let arrival = next_arrival_at(limited, other).await;
            let endpoint_id = arrival.endpoint_id.clone();
            let limit = (endpoint_id == "needy").then(|| LIMIT_RPS.to_string());
            arrival.with_rate_limit(limit.as_deref()).answer(200, "id: 1\ndata: token 1\n\n");
            endpoint_id
        });
        assert_that!(text(answer).await, ok(contains_substring("token 1")));
        sent_to_limited += u32::from(endpoint_id == "needy");
    }
    sent_to_limited
}

/// Sends one call whose response reports `limit`.
async fn call(daemon: &TestDaemon, path: &str, endpoint: &mut FakeEndpoint, limit: Option<&str>) {
    let (answer, ()) = join!(daemon.send(path, "r1"), async {
        endpoint.next_arrival().await.with_rate_limit(limit).answer(200, "done");
    });
    expect_that!(text(answer).await, ok(eq("done")));
}

#[gtest]
fn calls_respect_reported_limit() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut limited = daemon.register("desk", "needy").await;
        let mut other = daemon.register("desk", "other").await;

        let began = Instant::now();
        let sent_to_limited = send_all(&daemon, "/once/x", &mut limited, &mut other).await;

        expect_that!(sent_to_limited, le(allowed(began)));
    });
}

#[gtest]
fn generations_respect_reported_limit() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut limited = daemon.register("engines", "needy").await;
        let mut other = daemon.register("engines", "other").await;

        let began = Instant::now();
        let sent_to_limited = send_all(&daemon, "/chat/x", &mut limited, &mut other).await;

        expect_that!(sent_to_limited, le(allowed(began)));
    });
}

#[gtest]
fn calls_wait_for_permit_if_all_endpoints_are_limited() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut endpoint = daemon.register("desk", "e1").await;

        for _ in 0..5 {
            call(&daemon, "/once/x", &mut endpoint, Some(FAST_LIMIT)).await;
        }

        let granted = "trayswitch_leaves_total{end=\"granted\",service=\"desk\"}";
        daemon.wait_for_metric(granted, 4).await;
    });
}

#[gtest]
fn call_is_refused_at_once_if_no_permit_in_time() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut endpoint = daemon.register("desk", "e1").await;
        call(&daemon, "/soon/x", &mut endpoint, Some("0")).await;

        let refused = daemon.send("/soon/x", "r2").await;

        expect_that!(outcome(&refused), some(eq("overloaded")));
        expect_that!(refused.head.status.as_u16(), eq(503));
        expect_true!(endpoint.is_idle());
    });
}

#[gtest]
fn missing_limit_clears_known_limit() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut endpoint = daemon.register("desk", "e1").await;
        call(&daemon, "/once/x", &mut endpoint, Some(FAST_LIMIT)).await;
        daemon.wait_for_metric("trayswitch_limited_endpoints", 1).await;

        call(&daemon, "/once/x", &mut endpoint, None).await;
        call(&daemon, "/soon/x", &mut endpoint, None).await;

        daemon.wait_for_metric("trayswitch_limited_endpoints", 0).await;
    });
}

#[gtest]
fn invalid_limit_is_counted_and_ignored() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut endpoint = daemon.register("desk", "e1").await;

        for limit in ["", "2,9", "-1", "NaN", "1e999"] {
            call(&daemon, "/soon/x", &mut endpoint, Some(limit)).await;
        }

        let unreadable = "trayswitch_limits_read_total{limit=\"unreadable\",service=\"desk\"}";
        daemon.wait_for_metric(unreadable, 5).await;
    });
}

#[gtest]
fn limit_in_rejection_is_applied() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut endpoint = daemon.register("desk", "e1").await;

        let (refused, ()) = join!(daemon.send("/soon/x", "r1"), async {
            endpoint.next_arrival().await.with_rate_limit(Some("0")).reject_unexecuted("full");
        });

        expect_that!(outcome(&refused), some(eq("endpoint_refused")));
        daemon.wait_for_metric("trayswitch_limited_endpoints", 1).await;
    });
}

#[gtest]
fn control_response_does_not_clear_limit() {
    run_test(async {
        // Without a scheduler, an engine is asked for its load before each generation.
        let daemon = TestDaemon::without_scheduler().await;
        let mut engine = daemon.register("engines", "e1").await;
        let (first, ()) = join!(daemon.send("/chat/x", "r1"), async {
            engine
                .next_arrival()
                .await
                .with_rate_limit(Some(FAST_LIMIT))
                .answer(200, "id: 1\ndata: token 1\n\n");
        });
        expect_that!(text(first).await, ok(anything()));

        let (second, limited_endpoints) = join!(daemon.send("/chat/x", "r2"), async {
            let arrival = engine.next_arrival().await;
            let limited_endpoints = daemon.metric("trayswitch_limited_endpoints");
            arrival.with_rate_limit(Some(FAST_LIMIT)).answer(200, "id: 1\ndata: token 1\n\n");
            limited_endpoints
        });

        expect_that!(text(second).await, ok(anything()));
        expect_that!(limited_endpoints, some(eq(1)));
    });
}
