//! Responses with neither a length nor chunks, which end with their connection.

use std::time::Duration;

use googletest::prelude::*;
use http::StatusCode;
use tokio::join;

use super::{
    fake_endpoint::{FakeEndpoint, events_to},
    raw_endpoint::{RawEndpoint, RawResponse},
    response::{outcome, text},
    test_daemon::{TestDaemon, run_test},
    test_fleet::{Network, TestFleet},
};

/// Serves a request with an unframed body, then closes the connection.
async fn respond(endpoint: &mut RawEndpoint, body: &str) {
    endpoint.next_request().await.send(body).await;
}

/// The same, but the endpoint crashes.
async fn respond_and_crash(mut endpoint: RawEndpoint, body: &str) {
    let mut response = endpoint.next_request().await;
    response.send(body).await;
    drop(endpoint);
}

/// Serves a request on an endpoint with the events from `first` to 4.
async fn serve_from(endpoint: &mut FakeEndpoint, first: u64) -> Option<u64> {
    endpoint.next_arrival().await.stream_all(first..=4).await
}

#[gtest]
fn response_of_a_live_endpoint_is_complete() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut engine = RawEndpoint::open(&daemon, "engines", "e1").await;
        let mut desk = RawEndpoint::open(&daemon, "desk", "d1").await;

        let body = events_to(4);
        let (stream, ()) = join!(daemon.send("/chat/", "r1"), respond(&mut engine, &body));
        let (call, ()) = join!(daemon.send("/once/", "r2"), respond(&mut desk, "done"));

        expect_that!(text(stream).await, ok(eq(&events_to(4))));
        expect_that!(text(call).await, ok(eq("done")));
    });
}

#[gtest]
fn response_of_an_endpoint_that_closes_new_connections_is_complete() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        for (service, path, body) in
            [("engines", "/chat/", events_to(4)), ("desk", "/once/", "done".into())]
        {
            let mut raw = RawEndpoint::open(&daemon, service, service).await;
            let answer = async { text(daemon.send(path, service).await).await };
            let serving = async {
                respond(&mut raw, &body).await;
                raw.close_new_connections().await;
            };

            let answer =
                tokio::select! { answer = answer => answer, () = serving => unreachable!() };

            expect_that!(answer, ok(eq(&body)), "{path}");
        }
    });
}

#[gtest]
fn stream_that_ends_within_an_event_is_continued_elsewhere() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut raw = RawEndpoint::open(&daemon, "engines", "e1").await;
        let cut = format!("{}id: 3\ndata: to", events_to(2));

        let (answer, (last, _e2)) = join!(daemon.send("/recap/", "r1"), async {
            let mut response = raw.next_request().await;
            let mut e2 = daemon.register("engines", "e2").await;
            response.send(&cut).await;
            drop(response);
            (serve_from(&mut e2, 3).await, e2)
        });

        expect_that!(text(answer).await, ok(eq(&events_to(4))));
        expect_that!(last, some(eq(2)));
    });
}

/// Lets an endpoint end between two events of a stream, and another one serve the rest; returns the whole
/// answer and the event after which the other one was asked to go on.
async fn end_between_events(leaves_before: bool) -> (Result<String, String>, Option<u64>) {
    let daemon = TestDaemon::open().await;
    let mut raw = RawEndpoint::open(&daemon, "engines", "e1").await;
    let (answer, (last, _e2)) =
        join!(async { text(daemon.send("/recap/", "r1").await).await }, async {
            let mut response = raw.next_request().await;
            let mut e2 = daemon.register("engines", "e2").await;
            response.send(&events_to(2)).await;
            if leaves_before {
                daemon.announce_leaving("e1").await;
            }
            drop(raw);
            drop(response);
            (serve_from(&mut e2, 3).await, e2)
        });
    (answer, last)
}

#[gtest]
fn stream_that_ends_between_events_with_its_endpoint_is_continued_elsewhere() {
    run_test(async {
        let (answer, last) = end_between_events(false).await;

        expect_that!(answer, ok(eq(&events_to(4))));
        expect_that!(last, some(eq(2)));
    });
}

#[gtest]
fn stream_of_a_leaving_endpoint_that_is_gone_is_continued_elsewhere() {
    run_test(async {
        let (answer, last) = end_between_events(true).await;

        expect_that!(answer, ok(eq(&events_to(4))));
        expect_that!(last, some(eq(2)));
    });
}

#[gtest]
fn call_of_a_leaving_endpoint_that_is_gone_is_no_answer() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut raw = RawEndpoint::open(&daemon, "desk", "d1").await;

        let (answer, ()) = join!(daemon.send("/once/", "r1"), async {
            let mut response = raw.next_request().await;
            response.send("half of it").await;
            daemon.announce_leaving("d1").await;
            drop(raw);
        });

        expect_that!(answer.head.status, eq(StatusCode::BAD_GATEWAY));
    });
}

/// What a caller gets of a stream of run 5 of an endpoint, of which two events have come when `end` is called.
async fn end_of_run_5(
    end: impl AsyncFnOnce(&TestDaemon, RawEndpoint, RawResponse),
) -> Result<String, String> {
    let daemon = TestDaemon::open().await;
    let mut raw = RawEndpoint::open_run(&daemon, "e1", 5).await;
    let body = async { text(daemon.send("/chat/", "r1").await).await };
    let serving = async {
        let mut response = raw.next_request().await;
        response.send(&events_to(2)).await;
        end(&daemon, raw, response).await;
    };
    tokio::select! { body = body => body, () = serving => unreachable!() }
}

#[gtest]
fn stream_of_a_run_that_another_one_has_replaced_at_its_address_is_not_whole() {
    let body = run_test(end_of_run_5(async |_, raw, response| {
        drop(response);
        raw.report_start(6).await;
    }));

    expect_that!(body, err(anything()));
}

// Guards against a part of a stream that counts as whole as nothing is known of its run any more.
#[gtest]
fn stream_of_a_run_whose_address_another_one_has_taken_is_not_whole() {
    let body = run_test(end_of_run_5(async |daemon, raw, response| {
        let address = raw.listener.local_addr().unwrap();
        daemon.register_run_at("engines", "e2", 6, address).await;
        drop(response);
        raw.report_start(6).await;
    }));

    expect_that!(body, err(anything()));
}

// Guards against a part of a stream that counts as whole as the next run of its endpoint lives.
#[gtest]
fn stream_of_a_run_whose_name_another_one_has_taken_is_not_whole() {
    let body = run_test(end_of_run_5(async |daemon, raw, response| {
        let other = RawEndpoint::open_run(daemon, "e1", 6).await;
        drop((response, raw));
        other.report_start(6).await;
    }));

    expect_that!(body, err(anything()));
}

#[gtest]
fn stream_without_events_of_a_crashed_endpoint_is_no_answer() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let raw = RawEndpoint::open(&daemon, "engines", "e1").await;

        let (answer, ()) = join!(daemon.send("/chat/", "r1"), respond_and_crash(raw, ""));

        expect_that!(answer.head.status, eq(StatusCode::BAD_GATEWAY));
        expect_that!(outcome(&answer), some(eq("outcome_unknown")));
        daemon.wait_for_metric("trayswitch_suspects", 1).await;
    });
}

#[gtest]
fn call_of_a_crashed_endpoint_is_no_answer() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let raw = RawEndpoint::open(&daemon, "desk", "d1").await;

        let (answer, ()) = join!(daemon.send("/once/", "r1"), respond_and_crash(raw, "do"));

        expect_that!(answer.head.status, eq(StatusCode::BAD_GATEWAY));
        expect_that!(outcome(&answer), some(eq("outcome_unknown")));
    });
}

#[gtest]
fn error_of_a_crashed_endpoint_is_no_answer() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        for (service, path) in [("desk", "/once/"), ("engines", "/chat/")] {
            let mut raw = RawEndpoint::open(&daemon, service, service).await;

            let (answer, ()) = join!(daemon.send(path, "r1"), async {
                let mut response = raw.next_request().await;
                response.send_status("500 Internal Server Error", "half of").await;
                drop(raw);
            });

            expect_that!(answer.head.status, eq(StatusCode::BAD_GATEWAY), "{path}");
        }
    });
}

/// Lets an endpoint end after two events of a stream that its caller gets through a forwarder; returns what
/// the caller gets.
async fn end_behind_a_forwarder(
    end: impl AsyncFnOnce(RawEndpoint, RawResponse),
) -> Result<String, String> {
    let fleet = TestFleet::start(2).await;
    let mut raw = RawEndpoint::open_in(&fleet, "engines", "e1").await;
    let entry = &fleet.entries[0];
    entry.set_network(Network::Refuses);
    let (body, ()) = join!(async { text(entry.daemon.send("/chat/", "r1").await).await }, async {
        let mut response = raw.next_request().await;
        response.send(&events_to(2)).await;
        end(raw, response).await;
    });
    body
}

#[gtest]
fn stream_of_a_crashed_endpoint_breaks_off_through_a_forwarder() {
    let body = run_test(end_behind_a_forwarder(async |raw, _response| drop(raw)));

    expect_that!(body, err(anything()));
}

// Guards against forwarders that watch the end of a stream for less time than other daemons.
#[gtest]
fn stream_of_an_endpoint_that_stops_listening_late_breaks_off_through_a_forwarder() {
    /// Between the end of an endpoint's connections and that of its listener.
    const LISTENS_ON: Duration = Duration::from_millis(100);

    let body = run_test(end_behind_a_forwarder(async |raw, response| {
        drop(response);
        let (probe, _) = raw.listener.accept().await.unwrap();
        tokio::time::sleep(LISTENS_ON).await;
        drop((raw, probe));
    }));

    expect_that!(body, err(anything()));
}

// Guards against a forwarder's end that is taken for that of the response.
#[gtest]
fn unframed_response_whose_forwarder_ends_is_not_whole() {
    for version in ["HTTP/1.0", "HTTP/1.1"] {
        for (service, path, part) in
            [("engines", "/chat/", events_to(2)), ("desk", "/once/", "half of it".into())]
        {
            let body = run_test(async {
                let fleet = TestFleet::start(2).await;
                let mut raw = RawEndpoint::open_in(&fleet, service, "e1").await;
                let [entry, forwarder] = &fleet.entries[..] else { unreachable!("there are two") };
                entry.set_network(Network::Refuses);
                let answer = async { text(entry.daemon.send(path, "r1").await).await };
                let serving = async {
                    let mut response = raw.next_request().await;
                    response.send_version(version, "200 OK", &part).await;
                    forwarder.wait_until_passed_on(&part).await;
                    forwarder.end_forwarding();
                    raw.close_new_connections().await;
                };
                tokio::select! { body = answer => body, () = serving => unreachable!() }
            });

            expect_that!(body, not(ok(eq(&part))), "{version} {path}");
        }
    }
}

#[gtest]
fn stream_of_an_endpoint_that_cannot_be_asked_is_not_whole() {
    run_test(async {
        let fleet = TestFleet::start(1).await;
        let mut raw = RawEndpoint::open_in(&fleet, "engines", "e1").await;
        let entry = &fleet.entries[0];

        let (body, ()) =
            join!(async { text(entry.daemon.send("/chat/", "r1").await).await }, async {
                let mut response = raw.next_request().await;
                response.send(&events_to(2)).await;
                entry.set_network(Network::Hangs);
                drop(raw);
            });

        expect_that!(body, err(anything()));
    });
}

#[gtest]
fn call_of_an_endpoint_that_cannot_be_asked_is_no_answer() {
    run_test(async {
        let fleet = TestFleet::start(1).await;
        let mut raw = RawEndpoint::open_in(&fleet, "desk", "e1").await;
        let entry = &fleet.entries[0];

        let (answer, ()) = join!(entry.daemon.send("/once/", "r1"), async {
            let mut response = raw.next_request().await;
            response.send("half of it").await;
            entry.set_network(Network::Hangs);
            drop(raw);
        });

        expect_that!(answer.head.status, eq(StatusCode::BAD_GATEWAY));
    });
}
