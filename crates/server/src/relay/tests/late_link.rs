//! An entry whose own network link delays all that crosses it.

use futures_util::future::join_all;
use googletest::prelude::*;

use super::{
    fake_endpoint::events_to,
    response::{outcome, text},
    test_daemon::run_test,
    test_fleet::{CONNECT_TIMEOUT, Network, TestEntry, TestFleet},
};

/// Requests sent at a time.
const REQUESTS: usize = 6;

/// Two entries, and two endpoints of each service.
async fn fleet() -> TestFleet {
    let fleet = TestFleet::start(2).await;
    for (service, name) in [("desk", "e1"), ("desk", "e2"), ("engines", "e3"), ("engines", "e4")] {
        fleet.register_answering(service, name).await;
    }
    fleet
}

/// Sends requests on `path` at the same time and returns the texts of the responses.
async fn send_round(entry: &TestEntry, path: &str) -> Vec<Result<String, String>> {
    let requests = (0..REQUESTS)
        .map(|n| async move { text(entry.daemon.send(path, &format!("{path}{n}")).await).await });
    join_all(requests).await
}

/// Lets the link become late: connections take longer and longer.
async fn delay_link(entry: &TestEntry, path: &str) {
    send_round(entry, path).await;
    entry.set_network(Network::Late(CONNECT_TIMEOUT / 2));
    send_round(entry, path).await;
}

/// Serves requests while connections take longer than the connect timeout; returns the texts of the
/// responses and the numbers of unreachable endpoints and of broken paths.
async fn serve_late(path: &str) -> (Vec<Result<String, String>>, [Option<u64>; 2]) {
    let fleet = fleet().await;
    let entry = &fleet.entries[0];
    delay_link(entry, path).await;
    entry.set_network(Network::Late(2 * CONNECT_TIMEOUT));

    let texts = send_round(entry, path).await;

    let blamed = ["trayswitch_unreachable_endpoints", "trayswitch_broken_paths"];
    (texts, blamed.map(|name| entry.daemon.metric(name)))
}

#[gtest]
fn endpoints_of_calls_are_not_blamed_for_a_late_link() {
    let (texts, blamed) = run_test(serve_late("/once/x"));

    expect_that!(texts, each(ok(eq("done"))));
    expect_that!(blamed, eq([Some(0); 2]));
}

#[gtest]
fn endpoints_of_generations_are_not_blamed_for_a_late_link() {
    let (texts, blamed) = run_test(serve_late("/chat/x"));

    expect_that!(texts, each(ok(eq(&events_to(5)))));
    expect_that!(blamed, eq([Some(0); 2]));
}

#[gtest]
fn request_that_a_late_link_cannot_send_is_refused_at_once() {
    run_test(async {
        let fleet = fleet().await;
        let entry = &fleet.entries[0];
        delay_link(entry, "/once/x").await;
        entry.set_network(Network::Hangs);

        let answer = entry.daemon.send("/once/x", "r1").await;

        expect_that!(outcome(&answer), some(eq("overloaded")));
        expect_that!(entry.daemon.metric("trayswitch_unreachable_endpoints"), some(eq(0)));
    });
}
