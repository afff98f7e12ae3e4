//! Endpoints that ask a daemon to back off, or say that they leave.
//!
//! What users saw: three of nine engines rejected what they got and asked each daemon for three seconds without
//! requests. In that time they got up to eight from one daemon, more than the engines that had room, and half of
//! the chats were refused although six engines answered.
//!
//! Order of events: an engine rejects a request with `Retry-After`; the next requests of the same daemon
//! go there again, since it looks empty; a request that two engines have rejected goes back to the first,
//! and is refused after its third rejection.
//!
//! Cause: the header was passed on to nobody who chooses an endpoint, neither on the daemon nor at the leader's
//! scheduler. What an endpoint says of itself in an answer was decoded header by header, each on one way only.
//!
//! Evidence: of 44 rejections by engines 8 were followed within 20 ms by a request of the same daemon at the same
//! engine, and 30 within 200 ms by one of any daemon; the rejecting engines got 28 requests in 3.8 s, the six
//! others 19. Here one entry brings the same about, with calls and with generations.

use googletest::prelude::*;
use tokio::join;

use super::{
    fake_endpoint::{Arrival, FakeEndpoint, next_arrival_at},
    response::{ResponseReader, outcome, text},
    test_daemon::{TestDaemon, run_test},
};

/// Back-off in seconds that no test outlasts.
const LONG: &str = "100";
/// Requests that are sent, one after the other.
const REQUESTS: u32 = 40;

/// Sends requests one after the other. What comes to the endpoint called `backing_off` is answered by `answer`, which
/// returns whether the caller is answered by it; all else is answered well. Returns how many requests the wary
/// endpoint has got.
async fn send_all(
    daemon: &TestDaemon,
    path: &str,
    backing_off: &mut FakeEndpoint,
    other: &mut FakeEndpoint,
    answer: impl Fn(Arrival) -> bool,
) -> u32 {
    let mut sent_to_backing_off = 0;
    for _ in 0..REQUESTS {
        let (answered, ()) = join!(daemon.send(path, "r1"), async {
            loop {
                let arrival = next_arrival_at(backing_off, other).await;
                if arrival.meant_for != "wary" {
                    return arrival.answer(200, "id: 1\ndata: token 1\n\n");
                }
                sent_to_backing_off += 1;
                if answer(arrival) {
                    return;
                }
            }
        });
        assert_that!(text(answered).await, ok(contains_substring("token 1")));
    }
    sent_to_backing_off
}

fn reject_with_long_backoff(arrival: Arrival) -> bool {
    arrival.reject(LONG);
    false
}

fn announce_leaving(arrival: Arrival) -> bool {
    arrival.with_leaving().answer(200, "id: 1\ndata: token 1\n\n");
    true
}

#[gtest]
fn calls_keep_away_from_an_endpoint_that_asks_for_back_off() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut backing_off = daemon.register("desk", "wary").await;
        let mut other = daemon.register("desk", "other").await;

        let sent_to_backing_off =
            send_all(&daemon, "/once/x", &mut backing_off, &mut other, reject_with_long_backoff)
                .await;

        expect_that!(sent_to_backing_off, le(1));
    });
}

#[gtest]
fn generations_keep_away_from_an_engine_that_asks_for_back_off() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut backing_off = daemon.register("engines", "wary").await;
        let mut other = daemon.register("engines", "other").await;

        let sent_to_backing_off =
            send_all(&daemon, "/chat/x", &mut backing_off, &mut other, reject_with_long_backoff)
                .await;

        expect_that!(sent_to_backing_off, le(1));
    });
}

#[gtest]
fn an_endpoint_that_says_it_leaves_gets_nothing_new() {
    run_test(async {
        for (service, path) in [("desk", "/once/x"), ("engines", "/chat/x")] {
            let daemon = TestDaemon::open().await;
            let mut backing_off = daemon.register(service, "wary").await;
            let mut other = daemon.register(service, "other").await;

            let sent_to_backing_off =
                send_all(&daemon, path, &mut backing_off, &mut other, announce_leaving).await;

            expect_that!(sent_to_backing_off, le(1), "{service}");
        }
    });
}

/// Makes one call that an endpoint rejects with so much back-off and the other, if there is one, does not get.
async fn rejected(daemon: &TestDaemon, path: &str, endpoint: &mut FakeEndpoint, retry_after: &str) {
    let (answer, ()) = join!(daemon.send(path, "r1"), async {
        endpoint.arrival().await.reject(retry_after);
    });
    assert_that!(answer.head.status.as_u16(), eq(503));
}

#[gtest]
fn a_generation_goes_to_no_engine_twice_that_has_rejected_it() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut engines = [
            daemon.register("engines", "e1").await,
            daemon.register("engines", "e2").await,
            daemon.register("engines", "e3").await,
        ];
        let [e1, e2, e3] = &mut engines;

        let (answer, rejected) = join!(daemon.send("/chat/x", "r1"), async {
            let mut rejected = Vec::new();
            while rejected.len() < 2 {
                let arrival = tokio::select! {
                    arrival = e1.arrival() => arrival,
                    arrival = e2.arrival() => arrival,
                    arrival = e3.arrival() => arrival,
                };
                rejected.push(arrival.meant_for.clone());
                arrival.reject_unexecuted("full");
            }
            let arrival = tokio::select! {
                arrival = e1.arrival() => arrival,
                arrival = e2.arrival() => arrival,
                arrival = e3.arrival() => arrival,
            };
            rejected.push(arrival.meant_for.clone());
            arrival.answer(200, "id: 1\ndata: token 1\n\n");
            rejected
        });

        expect_that!(text(answer).await, ok(contains_substring("token 1")));
        expect_that!(rejected, unordered_elements_are![eq("e1"), eq("e2"), eq("e3")]);
    });
}

#[gtest]
fn where_every_endpoint_has_asked_for_back_off_the_next_request_is_refused_at_once() {
    run_test(async {
        for (service, path) in [("desk", "/soon/x"), ("engines", "/brief/x")] {
            let daemon = TestDaemon::open().await;
            let mut endpoint = daemon.register(service, "e1").await;
            rejected(&daemon, path, &mut endpoint, LONG).await;

            let refused = daemon.send(path, "r2").await;

            expect_that!(outcome(&refused), some(eq("overloaded")), "{path}");
            expect_that!(refused.head.status.as_u16(), eq(503), "{path}");
            expect_true!(endpoint.is_idle(), "{path}");
        }
    });
}

#[gtest]
fn a_request_whose_answer_still_comes_in_time_waits_for_the_end_of_a_back_off() {
    run_test(async {
        for (service, path) in [("desk", "/once/x"), ("engines", "/chat/x")] {
            let daemon = TestDaemon::open().await;
            let mut backing_off = daemon.register(service, "e1").await;
            let first = async {
                backing_off.arrival().await.reject("0.2");
                // A generation waits for a place itself, a call is made again.
                backing_off.arrival().await.answer(200, "id: 1\ndata: token 1\n\n");
            };
            let asks = async {
                let first = daemon.send(path, "r1").await;
                if first.head.status.is_success() { first } else { daemon.send(path, "r2").await }
            };

            let (answer, ()) = join!(asks, first);

            expect_that!(text(answer).await, ok(contains_substring("token 1")), "{path}");
        }
    });
}

#[gtest]
fn after_a_back_off_one_call_is_sent_until_it_is_answered() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut endpoint = daemon.register("desk", "e1").await;
        rejected(&daemon, "/once/x", &mut endpoint, "0.05").await;

        let asks = async { join!(daemon.send("/once/x", "r2"), daemon.send("/once/x", "r3")) };
        let ((second, third), early) = join!(asks, async {
            let first = endpoint.arrival().await;
            daemon.wait_for_in_progress(2).await;
            let early = !endpoint.is_idle();
            first.answer(200, "done");
            endpoint.arrival().await.answer(200, "done");
            early
        });

        expect_false!(early);
        expect_that!(text(second).await, ok(eq("done")));
        expect_that!(text(third).await, ok(eq("done")));
    });
}

#[gtest]
fn a_new_run_of_an_endpoint_gets_requests_whatever_the_former_one_has_asked_for() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut former = daemon.register("desk", "e1").await;
        rejected(&daemon, "/once/x", &mut former, LONG).await;
        let mut endpoint = daemon.restart_endpoint("desk", "e1").await;

        let (answer, ()) = join!(daemon.send("/once/x", "r2"), async {
            endpoint.arrival().await.answer(200, "done");
        });

        expect_that!(text(answer).await, ok(eq("done")));
    });
}

#[gtest]
fn a_request_is_not_sent_to_an_endpoint_that_has_asked_for_back_off_since_it_was_chosen() {
    run_test(async {
        // Without a scheduler both engines are asked for their loads once they are chosen.
        let daemon = TestDaemon::without_scheduler().await;
        let mut backing_off = daemon.register("engines", "wary").await;
        let mut other = daemon.register("engines", "other").await;
        backing_off.set_load_retry_after(LONG);
        other.set_capacity(1_000, true);

        let (answer, ()) = join!(daemon.send("/chat/x", "r1"), async {
            other.arrival().await.answer(200, "id: 1\ndata: token 1\n\n");
        });

        expect_that!(text(answer).await, ok(contains_substring("token 1")));
        expect_true!(backing_off.is_idle());
        let withheld = "trayswitch_attempts_total{end=\"withheld\",service=\"engines\"}";
        daemon.wait_for_metric(withheld, 1).await;
    });
}

#[gtest]
fn a_generation_is_not_moved_to_an_engine_that_has_asked_for_back_off() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut to = daemon.register("engines", "to").await;
        rejected(&daemon, "/brief/x", &mut to, LONG).await;
        let mut from = daemon.register("engines", "from").await;
        let (answer, stream) = join!(daemon.send("/chat/x", "r2"), async {
            let stream = from.arrival().await.stream();
            stream.events(1..=3).await;
            stream
        });
        let mut reader = ResponseReader::new(answer);
        reader.read_to(3).await;

        daemon.announce_leaving("from").await;
        stream.events(4..=40).await;
        reader.read_to(40).await;
        stream.end();

        expect_that!(reader.read_rest().await, ok(anything()));
        expect_true!(from.is_asked_for_no_copy());
        expect_true!(to.is_idle());
    });
}

#[gtest]
fn what_is_no_time_is_counted_and_closes_the_endpoint_to_nobody() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut endpoint = daemon.register("desk", "e1").await;

        for retry_after in ["soon", "-1", "NaN", "0"] {
            rejected(&daemon, "/once/x", &mut endpoint, retry_after).await;
        }

        let counted = |end| {
            format!(
                "trayswitch_endpoint_signals_total{{end=\"{end}\",service=\"desk\",signal=\"backoff\"}}"
            )
        };
        daemon.wait_for_metric(&counted("unreadable"), 3).await;
        daemon.wait_for_metric(&counted("read"), 1).await;
        daemon.wait_for_metric("trayswitch_backing_off_endpoints", 0).await;
    });
}

#[gtest]
fn back_off_holds_also_where_the_answer_is_not_the_requests_own() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut backing_off = daemon.register("desk", "wary").await;
        let mut other = daemon.register("desk", "other").await;

        let crossed = |arrival: Arrival| {
            arrival.with_retry_after(LONG).respond_as_another_request();
            false
        };
        let sent_to_backing_off =
            send_all(&daemon, "/again/x", &mut backing_off, &mut other, crossed).await;

        expect_that!(sent_to_backing_off, le(1));
    });
}
