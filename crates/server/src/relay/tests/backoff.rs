//! Endpoints that ask a daemon to back off, or announce that they are leaving.
//!
//! Guards against requests being sent to an endpoint that has asked for back-off, and against
//! refusals while other endpoints have capacity.

use std::time::Duration;

use googletest::prelude::*;
use tokio::join;

use super::{
    fake_endpoint::{Arrival, FakeEndpoint, next_arrival_at},
    response::{ResponseReader, outcome, text},
    test_daemon::{TestDaemon, run_test},
};

/// Back-off in seconds, longer than any test.
const LONG_BACKOFF_SECS: &str = "100";
/// A rejection that is this old when the restart becomes known was the former run's.
const RESTART_NEWS_DELAY: Duration = Duration::from_secs(5);
/// Requests sent in sequence.
const REQUESTS: u32 = 40;

/// Sends requests in sequence. Attempts at `backing_off` are passed to `answer`, which returns
/// whether its response goes to the caller; all others succeed. Returns the number of attempts at
/// `backing_off`.
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
                if arrival.endpoint_id != "wary" {
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
    arrival.reject(LONG_BACKOFF_SECS);
    false
}

fn announce_leaving(arrival: Arrival) -> bool {
    arrival.with_leaving().answer(200, "id: 1\ndata: token 1\n\n");
    true
}

#[gtest]
fn calls_avoid_endpoint_in_backoff() {
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
fn generations_avoid_engine_in_backoff() {
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
fn leaving_endpoint_gets_no_new_requests() {
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

/// Sends one request that the endpoint rejects with `retry_after`.
async fn send_rejected(
    daemon: &TestDaemon,
    path: &str,
    endpoint: &mut FakeEndpoint,
    retry_after: &str,
) {
    let (answer, ()) = join!(daemon.send(path, "r1"), async {
        endpoint.next_arrival().await.reject(retry_after);
    });
    assert_that!(answer.head.status.as_u16(), eq(503));
}

#[gtest]
fn generation_is_not_resent_to_rejecting_engine() {
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
                    arrival = e1.next_arrival() => arrival,
                    arrival = e2.next_arrival() => arrival,
                    arrival = e3.next_arrival() => arrival,
                };
                rejected.push(arrival.endpoint_id.clone());
                arrival.reject_unexecuted("full");
            }
            let arrival = tokio::select! {
                arrival = e1.next_arrival() => arrival,
                arrival = e2.next_arrival() => arrival,
                arrival = e3.next_arrival() => arrival,
            };
            rejected.push(arrival.endpoint_id.clone());
            arrival.answer(200, "id: 1\ndata: token 1\n\n");
            rejected
        });

        expect_that!(text(answer).await, ok(contains_substring("token 1")));
        expect_that!(rejected, unordered_elements_are![eq("e1"), eq("e2"), eq("e3")]);
    });
}

#[gtest]
fn refused_at_once_if_all_endpoints_back_off() {
    run_test(async {
        for (service, path) in [("desk", "/soon/x"), ("engines", "/brief/x")] {
            let daemon = TestDaemon::open().await;
            let mut endpoint = daemon.register(service, "e1").await;
            send_rejected(&daemon, path, &mut endpoint, LONG_BACKOFF_SECS).await;

            let refused = daemon.send(path, "r2").await;

            expect_that!(outcome(&refused), some(eq("overloaded")), "{path}");
            expect_that!(refused.head.status.as_u16(), eq(503), "{path}");
            expect_true!(endpoint.is_idle(), "{path}");
        }
    });
}

#[gtest]
fn request_waits_for_end_of_short_backoff() {
    run_test(async {
        for (service, path) in [("desk", "/once/x"), ("engines", "/chat/x")] {
            let daemon = TestDaemon::open().await;
            let mut backing_off = daemon.register(service, "e1").await;
            let first = async {
                backing_off.next_arrival().await.reject("0.2");
                // The generation waits for a placement itself; the call is sent again by the test.
                backing_off.next_arrival().await.answer(200, "id: 1\ndata: token 1\n\n");
            };
            let requests = async {
                let first = daemon.send(path, "r1").await;
                if first.head.status.is_success() { first } else { daemon.send(path, "r2").await }
            };

            let (answer, ()) = join!(requests, first);

            expect_that!(text(answer).await, ok(contains_substring("token 1")), "{path}");
        }
    });
}

#[gtest]
fn single_probe_call_after_backoff() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut endpoint = daemon.register("desk", "e1").await;
        send_rejected(&daemon, "/once/x", &mut endpoint, "0.05").await;

        let requests = async { join!(daemon.send("/once/x", "r2"), daemon.send("/once/x", "r3")) };
        let ((second, third), early) = join!(requests, async {
            let first = endpoint.next_arrival().await;
            daemon.wait_for_in_progress(2).await;
            let early = !endpoint.is_idle();
            first.answer(200, "done");
            endpoint.next_arrival().await.answer(200, "done");
            early
        });

        expect_false!(early);
        expect_that!(text(second).await, ok(eq("done")));
        expect_that!(text(third).await, ok(eq("done")));
    });
}

#[gtest]
fn restarted_endpoint_is_not_in_backoff() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut former = daemon.register("desk", "e1").await;
        send_rejected(&daemon, "/once/x", &mut former, LONG_BACKOFF_SECS).await;
        trayswitch_clock::simulate_suspend(RESTART_NEWS_DELAY);
        let mut endpoint = daemon.restart_endpoint("desk", "e1").await;

        let (answer, ()) = join!(daemon.send("/once/x", "r2"), async {
            endpoint.next_arrival().await.answer(200, "done");
        });

        expect_that!(text(answer).await, ok(eq("done")));
    });
}

#[gtest]
fn attempt_is_withheld_if_backoff_begins_after_selection() {
    run_test(async {
        // Without a scheduler, both engines are asked for their load after they are selected.
        let daemon = TestDaemon::without_scheduler().await;
        let mut backing_off = daemon.register("engines", "wary").await;
        let mut other = daemon.register("engines", "other").await;
        backing_off.set_load_retry_after(LONG_BACKOFF_SECS);
        other.set_capacity(1_000, true);

        let (answer, ()) = join!(daemon.send("/chat/x", "r1"), async {
            other.next_arrival().await.answer(200, "id: 1\ndata: token 1\n\n");
        });

        expect_that!(text(answer).await, ok(contains_substring("token 1")));
        expect_true!(backing_off.is_idle());
        let withheld = "trayswitch_attempts_total{end=\"withheld\",service=\"engines\"}";
        daemon.wait_for_metric(withheld, 1).await;
    });
}

#[gtest]
fn no_relocation_to_engine_in_backoff() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut to = daemon.register("engines", "to").await;
        send_rejected(&daemon, "/brief/x", &mut to, LONG_BACKOFF_SECS).await;
        let mut from = daemon.register("engines", "from").await;
        let (answer, stream) = join!(daemon.send("/chat/x", "r2"), async {
            let stream = from.next_arrival().await.stream();
            stream.send_events(1..=3).await;
            stream
        });
        let mut reader = ResponseReader::new(answer);
        reader.read_to(3).await;

        daemon.announce_leaving("from").await;
        stream.send_events(4..=40).await;
        reader.read_to(40).await;
        stream.finish();

        expect_that!(reader.read_rest().await, ok(anything()));
        expect_true!(from.has_no_pending_copy());
        expect_true!(to.is_idle());
    });
}

#[gtest]
fn invalid_retry_after_is_counted_and_ignored() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut endpoint = daemon.register("desk", "e1").await;

        for retry_after in ["soon", "-1", "NaN", "0"] {
            send_rejected(&daemon, "/once/x", &mut endpoint, retry_after).await;
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
fn backoff_in_mismatched_response_is_applied() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut backing_off = daemon.register("desk", "wary").await;
        let mut other = daemon.register("desk", "other").await;

        let respond_mismatched = |arrival: Arrival| {
            arrival.with_retry_after(LONG_BACKOFF_SECS).respond_as_another_request();
            false
        };
        let sent_to_backing_off =
            send_all(&daemon, "/again/x", &mut backing_off, &mut other, respond_mismatched).await;

        expect_that!(sent_to_backing_off, le(1));
    });
}

/// An endpoint may reject an attempt that lost against a hedge just before.
#[gtest]
fn backoff_asked_for_after_the_call_was_answered_holds() {
    run_test(async {
        let daemon = TestDaemon::with_late_responses().await;
        let mut e1 = daemon.register("desk", "e1").await;
        // No call is hedged while there is one endpoint.
        while !daemon.has_hedge_delay("desk") {
            let (answered, ()) = join!(daemon.send("/again/x", "r1"), async {
                e1.next_arrival().await.answer(200, "fine");
            });
            assert_that!(text(answered).await, ok(eq("fine")));
        }
        let mut e2 = daemon.register("desk", "e2").await;

        let (answered, rejecting) = join!(daemon.send("/again/x", "r2"), async {
            let first = next_arrival_at(&mut e1, &mut e2).await;
            let hedge = next_arrival_at(&mut e1, &mut e2).await;
            let rejecting = hedge.endpoint_id.clone();
            first.answer(200, "fine");
            (rejecting, hedge)
        });
        assert_that!(text(answered).await, ok(eq("fine")));
        let (rejecting, hedge) = rejecting;
        hedge.reject(LONG_BACKOFF_SECS);

        daemon.wait_for_metric("trayswitch_backing_off_endpoints", 1).await;
        for _ in 0..REQUESTS {
            let (answered, arrived_at) = join!(daemon.send("/again/x", "r3"), async {
                let arrival = next_arrival_at(&mut e1, &mut e2).await;
                let arrived_at = arrival.endpoint_id.clone();
                arrival.answer(200, "fine");
                arrived_at
            });
            assert_that!(text(answered).await, ok(eq("fine")));
            expect_that!(arrived_at, not(eq(&rejecting)));
        }
    });
}
