//! Entries that cannot connect to endpoints while other entries can.

use googletest::prelude::*;
use tokio::join;

use super::{
    fake_endpoint::{FakeEndpoint, events_to},
    response::{ResponseReader, outcome, text},
    test_daemon::{failed_attempts_metric, run_test},
    test_fleet::{Arrivals, Network, TestFleet},
};

/// Requests sent to the entry in each test.
const REQUESTS: usize = 10;

/// Sends requests on `path`, each once, to an entry that cannot connect to any endpoint. Returns
/// the texts of the responses and the ids of the requests that came to endpoints.
async fn send_to_cut_off_entry(
    network: Network,
    path: &str,
) -> (Vec<Result<String, String>>, Vec<String>) {
    send_to_cut_off_hall(network, path, &["a"], &["a"]).await
}

/// The same, where all entries in the first of these data halls are cut off, and none of those in the others.
async fn send_to_cut_off_hall(
    network: Network,
    path: &str,
    cut_off: &[&str],
    others: &[&str],
) -> (Vec<Result<String, String>>, Vec<String>) {
    let fleet = TestFleet::start_in_halls(&[cut_off, others].concat()).await;
    let mut arrivals = Vec::new();
    for (service, name) in [("desk", "e1"), ("desk", "e2"), ("engines", "e3"), ("engines", "e4")] {
        arrivals.push(fleet.register_answering(service, name).await);
    }
    fleet.entries[..cut_off.len()].iter().for_each(|entry| entry.set_network(network));
    let entry = &fleet.entries[0];
    let mut responses = Vec::new();
    for n in 0..REQUESTS {
        responses.push(text(entry.daemon.send(path, &format!("r{n}")).await).await);
    }
    let mut ids: Vec<String> = arrivals.iter().flat_map(Arrivals::all).collect();
    ids.sort();
    (responses, ids)
}

fn request_ids() -> Vec<String> {
    (0..REQUESTS).map(|n| format!("r{n}")).collect()
}

// The incident RECOVER: callers of an entry without links to endpoints were refused.
#[gtest]
fn calls_through_entry_that_endpoints_refuse_are_served() {
    let (responses, arrivals) = run_test(send_to_cut_off_entry(Network::Refuses, "/once/x"));

    expect_that!(responses, each(ok(eq("done"))));
    expect_that!(arrivals, eq(&request_ids()));
}

#[gtest]
fn calls_through_entry_whose_connections_hang_are_served() {
    let (responses, arrivals) = run_test(send_to_cut_off_entry(Network::Hangs, "/again/x"));

    expect_that!(responses, each(ok(eq("done"))));
    expect_that!(arrivals, eq(&request_ids()));
}

// The incident of entries cut off at a deployment's size: the forwarders nearby were cut off as well.
#[gtest]
fn callers_of_a_hall_that_is_cut_off_are_served_through_another_hall() {
    for network in [Network::Refuses, Network::Hangs] {
        for (path, text) in [("/again/x", "done".to_owned()), ("/recap/x", events_to(5))] {
            let sent = send_to_cut_off_hall(network, path, &["a", "a", "a"], &["b", "b"]);
            let (responses, arrivals) = run_test(sent);

            expect_that!(responses, each(ok(eq(&text))), "{network:?} {path}");
            expect_that!(arrivals, eq(&request_ids()), "{network:?} {path}");
        }
    }
}

#[gtest]
fn generations_through_entry_that_endpoints_refuse_are_served() {
    let (responses, arrivals) = run_test(send_to_cut_off_entry(Network::Refuses, "/chat/x"));

    expect_that!(responses, each(ok(eq(&events_to(5)))));
    expect_that!(arrivals, eq(&request_ids()));
}

#[gtest]
fn generations_through_entry_whose_connections_hang_are_served() {
    let (responses, arrivals) = run_test(send_to_cut_off_entry(Network::Hangs, "/recap/x"));

    expect_that!(responses, each(ok(eq(&events_to(5)))));
    expect_that!(arrivals, eq(&request_ids()));
}

const BROKEN_PATHS: &str = "trayswitch_broken_paths";

/// Two entries, of which the first cannot connect to endpoints, and an endpoint of a service.
async fn cut_off_fleet(service: &str) -> (TestFleet, FakeEndpoint) {
    let fleet = TestFleet::start(2).await;
    let endpoint = fleet.register(service, "e1").await;
    fleet.entries[0].set_network(Network::Refuses);
    (fleet, endpoint)
}

fn forwarded_metric(service: &str, end: &str) -> String {
    format!("trayswitch_forwarded_total{{end=\"{end}\",service=\"{service}\"}}")
}

#[gtest]
fn entry_connects_directly_again_after_its_network_has_recovered() {
    run_test(async {
        let (fleet, mut endpoint) = cut_off_fleet("desk").await;
        let entry = &fleet.entries[0];
        let (answer, ()) = join!(entry.daemon.send("/once/x", "r1"), async {
            endpoint.next_arrival().await.answer(200, "done");
        });
        expect_that!(text(answer).await, ok(eq("done")));
        entry.daemon.wait_for_metric(BROKEN_PATHS, 1).await;

        entry.set_network(Network::Sound);
        entry.daemon.wait_for_metric(BROKEN_PATHS, 0).await;
        let (answer, ()) = join!(entry.daemon.send("/once/x", "r2"), async {
            endpoint.next_arrival().await.answer(200, "done");
        });

        expect_that!(text(answer).await, ok(eq("done")));
        let forwarded = entry.daemon.metric(&forwarded_metric("desk", "answered"));
        expect_that!(forwarded, some(eq(1)));
    });
}

// A forwarded request has more headers than the caller's.
#[gtest]
fn request_with_the_largest_head_is_forwarded() {
    run_test(async {
        let (fleet, mut endpoint) = cut_off_fleet("desk").await;
        let path = format!("/once/{}", "x".repeat(16_250));

        let (answer, ()) = join!(fleet.entries[0].daemon.send(&path, "r1"), async {
            endpoint.next_arrival().await.answer(200, "done");
        });

        expect_that!(text(answer).await, ok(eq("done")));
    });
}

#[gtest]
fn request_that_no_entry_can_send_is_not_run() {
    run_test(async {
        let (fleet, mut endpoint) = cut_off_fleet("desk").await;
        fleet.entries[1].set_network(Network::Refuses);

        let answer = fleet.entries[0].daemon.send("/once/x", "r1").await;

        expect_that!(outcome(&answer), some(eq("endpoint_refused")));
        expect_that!(endpoint.is_idle(), eq(true));
    });
}

#[gtest]
fn call_that_breaks_off_behind_the_forwarder_is_not_repeated() {
    run_test(async {
        let (fleet, mut endpoint) = cut_off_fleet("desk").await;

        let (answer, ()) = join!(fleet.entries[0].daemon.send("/once/x", "r1"), async {
            endpoint.next_arrival().await.drop_connection();
        });

        expect_that!(outcome(&answer), some(eq("outcome_unknown")));
        expect_that!(endpoint.is_idle(), eq(true));
    });
}

#[gtest]
fn endpoint_learns_through_the_forwarder_that_the_caller_has_left() {
    run_test(async {
        let (fleet, mut endpoint) = cut_off_fleet("desk").await;

        let mut arrival = tokio::select! {
            _ = fleet.entries[0].daemon.send("/once/x", "r1") => unreachable!("nothing answers"),
            arrival = endpoint.next_arrival() => arrival,
        };

        arrival.wait_until_cancelled().await;
    });
}

#[gtest]
fn back_off_that_an_endpoint_asks_for_binds_the_forwarder() {
    run_test(async {
        let (fleet, mut endpoint) = cut_off_fleet("desk").await;
        let [entry, forwarder] = &fleet.entries[..] else { unreachable!("there are two") };
        join!(entry.daemon.send("/once/x", "r1"), async {
            endpoint.next_arrival().await.reject("100");
        });

        let answer = forwarder.daemon.send("/soon/x", "r2").await;

        expect_that!(outcome(&answer), some(eq("overloaded")));
        expect_that!(endpoint.is_idle(), eq(true));
    });
}

// Guards against offers to a forwarder that has said for how long the endpoint wants nothing of it.
#[gtest]
fn requests_that_the_forwarder_may_not_send_are_refused_after_one_offer() {
    run_test(async {
        let (fleet, mut endpoint) = cut_off_fleet("desk").await;
        let [entry, forwarder] = &fleet.entries[..] else { unreachable!("there are two") };
        join!(forwarder.daemon.send("/once/x", "r1"), async {
            endpoint.next_arrival().await.reject("100");
        });

        for id in ["r2", "r3", "r4"] {
            let answer = entry.daemon.send("/soon/x", id).await;

            expect_that!(outcome(&answer), some(eq("overloaded")), "{id}");
        }
        expect_that!(entry.daemon.metric(&forwarded_metric("desk", "withheld")), some(eq(1)));
        expect_that!(entry.daemon.ask_forwarders("e1").await, some(eq(true)));
    });
}

#[gtest]
fn generation_resumes_through_the_forwarder_after_the_last_event() {
    run_test(async {
        let fleet = TestFleet::start(2).await;
        let mut engine = fleet.register("engines", "e1").await;
        fleet.register_answering("engines", "e2").await;
        let entry = &fleet.entries[0];
        // The first attempt may go to either engine; only one is under the control of the test.
        fleet.control.announce_leaving("e2").await;
        entry.daemon.wait_until(|| entry.daemon.is_open("e2") == Some(false)).await;
        let (answer, stream) = join!(entry.daemon.send("/recap/x", "r1"), async {
            let stream = engine.next_arrival().await.stream();
            stream.send_events(1..=2).await;
            stream
        });
        let mut reader = ResponseReader::new(answer);
        reader.read_to(2).await;
        fleet.register_answering("engines", "e3").await;

        entry.set_network(Network::Refuses);
        stream.abort().await;

        expect_that!(reader.read_rest().await, ok(eq(&events_to(5))));
        let alive = failed_attempts_metric("engines", "alive");
        expect_that!(entry.daemon.metric(&alive), some(eq(1)));
    });
}

#[gtest]
fn entry_that_is_cut_off_is_not_named_as_a_forwarder() {
    run_test(async {
        let fleet = TestFleet::start(2).await;
        for name in ["e1", "e2"] {
            fleet.register_answering("desk", name).await;
        }
        let [entry, other] = &fleet.entries[..] else { unreachable!("there are two") };

        entry.set_network(Network::Refuses);
        // Calls go to either endpoint; a daemon is cut off once it has failed to reach both.
        while entry.daemon.metric(BROKEN_PATHS) != Some(2) {
            entry.daemon.send("/once/x", "r1").await;
        }
        other.daemon.wait_for_forwarders(0).await;

        entry.set_network(Network::Sound);
        other.daemon.wait_for_forwarders(1).await;
    });
}
