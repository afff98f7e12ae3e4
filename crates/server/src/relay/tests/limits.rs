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
    endpoint::{FakeEndpoint, either},
    entry::{Entry, on_local_tasks},
    reading::{outcome, text},
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
    entry: &Entry,
    path: &str,
    needy: &mut FakeEndpoint,
    other: &mut FakeEndpoint,
) -> u32 {
    let mut at_needy = 0;
    for _ in 0..REQUESTS {
        let (answer, meant_for) = join!(entry.ask(path, "r1"), async {
            let arrival = either(needy, other).await;
            let meant_for = arrival.meant_for.clone();
            let limit = (meant_for == "needy").then(|| LIMIT.to_string());
            arrival.naming(limit.as_deref()).answer(200, "id: 1\ndata: token 1\n\n");
            meant_for
        });
        assert_that!(text(answer).await, ok(contains_substring("token 1")));
        at_needy += u32::from(meant_for == "needy");
    }
    at_needy
}

/// Makes one call that an endpoint answers, naming this.
async fn call(entry: &Entry, path: &str, endpoint: &mut FakeEndpoint, limit: Option<&str>) {
    let (answer, ()) = join!(entry.ask(path, "r1"), async {
        endpoint.arrival().await.naming(limit).answer(200, "done");
    });
    expect_that!(text(answer).await, ok(eq("done")));
}

#[gtest]
fn calls_keep_to_the_limit_that_an_endpoint_names() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let mut needy = entry.register("desk", "needy").await;
        let mut other = entry.register("desk", "other").await;

        let began = Instant::now();
        let at_needy = send_all(&entry, "/once/x", &mut needy, &mut other).await;

        expect_that!(at_needy, le(allowed(began)));
    });
}

#[gtest]
fn generations_keep_to_the_limit_that_an_engine_names() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let mut needy = entry.register("engines", "needy").await;
        let mut other = entry.register("engines", "other").await;

        let began = Instant::now();
        let at_needy = send_all(&entry, "/chat/x", &mut needy, &mut other).await;

        expect_that!(at_needy, le(allowed(began)));
    });
}

#[gtest]
fn calls_wait_for_their_turn_where_every_endpoint_names_a_limit() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let mut endpoint = entry.register("desk", "e1").await;

        for _ in 0..5 {
            call(&entry, "/once/x", &mut endpoint, Some(SOON)).await;
        }

        let granted = "trayswitch_leaves_total{end=\"granted\",service=\"desk\"}";
        entry.has_counted(granted, 4).await;
    });
}

#[gtest]
fn a_call_that_no_endpoint_takes_in_time_is_refused_at_once() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let mut endpoint = entry.register("desk", "e1").await;
        call(&entry, "/soon/x", &mut endpoint, Some("0")).await;

        let refused = entry.ask("/soon/x", "r2").await;

        expect_that!(outcome(&refused), some(eq("overloaded")));
        expect_that!(refused.head.status.as_u16(), eq(503));
        expect_true!(endpoint.is_idle());
    });
}

#[gtest]
fn an_endpoint_that_names_no_limit_any_more_gets_all_calls_again() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let mut endpoint = entry.register("desk", "e1").await;
        call(&entry, "/once/x", &mut endpoint, Some(SOON)).await;
        entry.has_counted("trayswitch_limited_endpoints", 1).await;

        call(&entry, "/once/x", &mut endpoint, None).await;
        call(&entry, "/soon/x", &mut endpoint, None).await;

        entry.has_counted("trayswitch_limited_endpoints", 0).await;
    });
}

#[gtest]
fn what_is_no_limit_is_counted_and_holds_nothing_back() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let mut endpoint = entry.register("desk", "e1").await;

        for limit in ["", "2,9", "-1", "NaN", "1e999"] {
            call(&entry, "/soon/x", &mut endpoint, Some(limit)).await;
        }

        let unreadable = "trayswitch_limits_read_total{limit=\"unreadable\",service=\"desk\"}";
        entry.has_counted(unreadable, 5).await;
    });
}

#[gtest]
fn a_refusal_names_a_limit_like_any_answer() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let mut endpoint = entry.register("desk", "e1").await;

        let (refused, ()) = join!(entry.ask("/soon/x", "r1"), async {
            endpoint.arrival().await.naming(Some("0")).turn_away("full");
        });

        expect_that!(outcome(&refused), some(eq("endpoint_refused")));
        entry.has_counted("trayswitch_limited_endpoints", 1).await;
    });
}

#[gtest]
fn an_answer_to_the_daemons_own_question_lifts_no_limit() {
    on_local_tasks(async {
        // Without a scheduler an engine is asked for its load before each generation.
        let entry = Entry::without_scheduler().await;
        let mut engine = entry.register("engines", "e1").await;
        let (first, ()) = join!(entry.ask("/chat/x", "r1"), async {
            engine.arrival().await.naming(Some(SOON)).answer(200, "id: 1\ndata: token 1\n\n");
        });
        expect_that!(text(first).await, ok(anything()));

        let (second, limited) = join!(entry.ask("/chat/x", "r2"), async {
            let arrival = engine.arrival().await;
            let limited = entry.metric("trayswitch_limited_endpoints");
            arrival.naming(Some(SOON)).answer(200, "id: 1\ndata: token 1\n\n");
            limited
        });

        expect_that!(text(second).await, ok(anything()));
        expect_that!(limited, some(eq(1)));
    });
}
