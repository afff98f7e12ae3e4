//! Endpoints that name how many requests a second they take.
//!
//! What users saw: two of four application endpoints were in need and named in every answer how much they take
//! from all daemons together, 3 and 2.3 requests a second. Both went on getting eight to nine a second, as
//! before. Nothing failed by it; the endpoints that asked for relief got none.
//!
//! Order of events: an endpoint names its limit in an answer; the entry passes the answer on to its caller, and
//! sends the next request there 0.1 s later, as the least loaded endpoint.
//!
//! Cause: nobody read it. An endpoint was chosen by what this daemon runs there and by its failures; what it said
//! of itself in an answer was used for nothing, and no daemon knew what the others send.
//!
//! Evidence: the rate at these endpoints was the same before and after, and at entries that had had such an answer
//! as at those that had not; none of the requests was a second attempt, and the two other endpoints had room.
//! Here one entry brings the same about, with calls and with generations.

use std::time::Instant;

use googletest::prelude::*;
use tokio::join;

use super::{
    fake_endpoint::{FakeEndpoint, next_arrival_at},
    response::{outcome, text},
    test_daemon::{TestDaemon, run_test},
};

/// What an endpoint in need takes in a second: so little that a test is over before the next one is due.
const LIMIT: f64 = 0.2;
/// A limit at which a call that waits is served soon.
const SOON: &str = "20";
/// Requests that are sent, one after the other.
const REQUESTS: u32 = 40;

/// Most requests that an endpoint in need may get in the time since it named its limit: the one that was told
/// of it, one at once, and what the limit allows.
fn allowed(since: Instant) -> u32 {
    2 + (LIMIT * since.elapsed().as_secs_f64()) as u32
}

/// Sends requests one after the other while the first endpoint is in need; returns how many it has got.
async fn send_all(
    daemon: &TestDaemon,
    path: &str,
    limited: &mut FakeEndpoint,
    other: &mut FakeEndpoint,
) -> u32 {
    let mut sent_to_limited = 0;
    for _ in 0..REQUESTS {
        let (answer, meant_for) = join!(daemon.send(path, "r1"), async {
            let arrival = next_arrival_at(limited, other).await;
            let meant_for = arrival.meant_for.clone();
            let limit = (meant_for == "needy").then(|| LIMIT.to_string());
            arrival.with_rate_limit(limit.as_deref()).answer(200, "id: 1\ndata: token 1\n\n");
            meant_for
        });
        assert_that!(text(answer).await, ok(contains_substring("token 1")));
        sent_to_limited += u32::from(meant_for == "needy");
    }
    sent_to_limited
}

/// Makes one call that an endpoint answers, naming this.
async fn call(daemon: &TestDaemon, path: &str, endpoint: &mut FakeEndpoint, limit: Option<&str>) {
    let (answer, ()) = join!(daemon.send(path, "r1"), async {
        endpoint.arrival().await.with_rate_limit(limit).answer(200, "done");
    });
    expect_that!(text(answer).await, ok(eq("done")));
}

#[gtest]
fn calls_keep_to_the_limit_that_an_endpoint_names() {
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
fn generations_keep_to_the_limit_that_an_engine_names() {
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
fn calls_wait_for_their_turn_where_every_endpoint_names_a_limit() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut endpoint = daemon.register("desk", "e1").await;

        for _ in 0..5 {
            call(&daemon, "/once/x", &mut endpoint, Some(SOON)).await;
        }

        let granted = "trayswitch_leaves_total{end=\"granted\",service=\"desk\"}";
        daemon.wait_for_metric(granted, 4).await;
    });
}

#[gtest]
fn a_call_that_no_endpoint_takes_in_time_is_refused_at_once() {
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
fn an_endpoint_that_names_no_limit_any_more_gets_all_calls_again() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut endpoint = daemon.register("desk", "e1").await;
        call(&daemon, "/once/x", &mut endpoint, Some(SOON)).await;
        daemon.wait_for_metric("trayswitch_limited_endpoints", 1).await;

        call(&daemon, "/once/x", &mut endpoint, None).await;
        call(&daemon, "/soon/x", &mut endpoint, None).await;

        daemon.wait_for_metric("trayswitch_limited_endpoints", 0).await;
    });
}

#[gtest]
fn what_is_no_limit_is_counted_and_holds_nothing_back() {
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
fn a_refusal_names_a_limit_like_any_answer() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut endpoint = daemon.register("desk", "e1").await;

        let (refused, ()) = join!(daemon.send("/soon/x", "r1"), async {
            endpoint.arrival().await.with_rate_limit(Some("0")).reject_unexecuted("full");
        });

        expect_that!(outcome(&refused), some(eq("endpoint_refused")));
        daemon.wait_for_metric("trayswitch_limited_endpoints", 1).await;
    });
}

#[gtest]
fn an_answer_to_the_daemons_own_question_lifts_no_limit() {
    run_test(async {
        // Without a scheduler an engine is asked for its load before each generation.
        let daemon = TestDaemon::without_scheduler().await;
        let mut engine = daemon.register("engines", "e1").await;
        let (first, ()) = join!(daemon.send("/chat/x", "r1"), async {
            engine
                .arrival()
                .await
                .with_rate_limit(Some(SOON))
                .answer(200, "id: 1\ndata: token 1\n\n");
        });
        expect_that!(text(first).await, ok(anything()));

        let (second, limited_endpoints) = join!(daemon.send("/chat/x", "r2"), async {
            let arrival = engine.arrival().await;
            let limited_endpoints = daemon.metric("trayswitch_limited_endpoints");
            arrival.with_rate_limit(Some(SOON)).answer(200, "id: 1\ndata: token 1\n\n");
            limited_endpoints
        });

        expect_that!(text(second).await, ok(anything()));
        expect_that!(limited_endpoints, some(eq(1)));
    });
}
