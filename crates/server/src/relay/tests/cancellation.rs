//! Callers that disconnect: in every state of a request, its work is cancelled and its resources
//! are released. A test hangs otherwise.

use googletest::prelude::*;
use tokio::{join, select};

use super::{
    fake_endpoint::{Arrival, FakeEndpoint, Stream, events_to, next_arrival_at},
    response::{ResponseReader, text},
    test_daemon::{TestDaemon, run_test},
};

/// Sends a request and disconnects when it reaches the endpoint.
async fn disconnect_at_endpoint(
    daemon: &TestDaemon,
    path: &str,
    endpoint: &mut FakeEndpoint,
) -> Arrival {
    select! {
        _ = daemon.send(path, "left") => panic!("unexpected response"),
        arrival = endpoint.next_arrival() => arrival,
    }
}

/// Sends a request and disconnects when `condition` completes.
async fn disconnect_once(daemon: &TestDaemon, path: &str, condition: impl Future<Output = ()>) {
    select! {
        _ = daemon.send(path, "left") => panic!("unexpected response"),
        () = condition => {}
    }
}

/// Expects that the next request is the only one that reaches the engine.
async fn expect_only_next_request(daemon: &TestDaemon, path: &str, engine: &mut FakeEndpoint) {
    let (answer, arrived_id) = join!(daemon.send(path, "next"), async {
        let arrival = engine.next_arrival().await;
        let id = arrival.id.clone();
        arrival.stream_all([1]).await;
        id
    });

    expect_that!(arrived_id, eq("next"));
    expect_that!(text(answer).await, ok(eq(&events_to(1))));
    expect_true!(engine.is_idle());
}

/// A generation whose caller has read the events 1 to `last`.
async fn start_stream(
    daemon: &TestDaemon,
    path: &str,
    last: u64,
    e: &mut FakeEndpoint,
) -> (ResponseReader, Stream) {
    let (answer, stream) = join!(daemon.send(path, "left"), async {
        let stream = e.next_arrival().await.stream();
        stream.send_events(1..=last).await;
        stream
    });
    let mut reader = ResponseReader::new(answer);
    reader.read_to(last).await;
    (reader, stream)
}

#[gtest]
fn before_configuration() {
    run_test(async {
        let daemon = TestDaemon::start(std::time::Duration::from_secs(60));

        disconnect_once(&daemon, "/chat/", daemon.wait_for_connection()).await;
        daemon.wait_until_idle().await;
        daemon.configure().await;
        let mut engine = daemon.register("engines", "e1").await;

        expect_only_next_request(&daemon, "/chat/", &mut engine).await;
    });
}

#[gtest]
fn without_endpoints() {
    run_test(async {
        let daemon = TestDaemon::open().await;

        disconnect_once(&daemon, "/chat/", daemon.wait_for_connection()).await;
        daemon.wait_until_idle().await;
        let mut engine = daemon.register("engines", "e1").await;

        expect_only_next_request(&daemon, "/chat/", &mut engine).await;
        expect_that!(daemon.running_requests().await, eq(0));
    });
}

#[gtest]
fn while_queued_for_placement() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        // The only slot is taken.
        let mut engine = daemon.register_with_slots("engines", "e1", 1).await;
        let (reader, stream) = start_stream(&daemon, "/chat/", 1, &mut engine).await;

        disconnect_once(&daemon, "/chat/", daemon.wait_for_in_progress(2)).await;
        daemon.wait_for_in_progress(1).await;
        let body = join!(reader.read_rest(), async { stream.finish() }).0;
        daemon.wait_until_idle().await;

        expect_that!(body, ok(anything()));
        expect_only_next_request(&daemon, "/chat/", &mut engine).await;
    });
}

#[gtest]
fn during_call() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut desk = daemon.register("desk", "d1").await;

        let mut arrival = disconnect_at_endpoint(&daemon, "/once/", &mut desk).await;

        arrival.wait_until_cancelled().await;
        daemon.wait_until_idle().await;
    });
}

#[gtest]
fn during_second_attempt_of_call() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let (mut d1, mut d2) =
            (daemon.register("desk", "d1").await, daemon.register("desk", "d2").await);

        let mut second = select! {
            _ = daemon.send("/again/", "left") => panic!("unexpected response"),
            second = async {
                next_arrival_at(&mut d1, &mut d2).await.answer(500, "failed");
                next_arrival_at(&mut d1, &mut d2).await
            } => second,
        };

        second.wait_until_cancelled().await;
        daemon.wait_until_idle().await;
    });
}

#[gtest]
fn before_the_first_event() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut engine = daemon.register("engines", "e1").await;

        let mut arrival = disconnect_at_endpoint(&daemon, "/chat/", &mut engine).await;

        arrival.wait_until_cancelled().await;
        daemon.wait_until_idle().await;
        expect_that!(daemon.running_requests().await, eq(0));
    });
}

#[gtest]
fn between_events() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut engine = daemon.register("engines", "e1").await;

        let (reader, stream) = start_stream(&daemon, "/chat/", 3, &mut engine).await;
        drop(reader);

        stream.wait_until_cancelled().await;
        daemon.wait_until_idle().await;
        expect_that!(daemon.running_requests().await, eq(0));
    });
}

#[gtest]
fn during_restart() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut e1 = daemon.register("engines", "e1").await;
        let (reader, stream) = start_stream(&daemon, "/recap/", 3, &mut e1).await;
        let mut e2 = daemon.register("engines", "e2").await;

        let (mut again, ()) = join!(e2.next_arrival(), stream.abort());
        drop(reader);

        again.wait_until_cancelled().await;
        daemon.wait_until_idle().await;
        expect_that!(daemon.running_requests().await, eq(0));
    });
}

/// A generation that is being relocated off a leaving engine.
async fn start_relocation(
    daemon: &TestDaemon,
) -> (ResponseReader, Stream, FakeEndpoint, FakeEndpoint) {
    let mut from = daemon.register("engines", "from").await;
    let (reader, stream) = start_stream(daemon, "/chat/", 3, &mut from).await;
    let to = daemon.register("engines", "to").await;
    daemon.announce_leaving("from").await;
    (reader, stream, from, to)
}

#[gtest]
fn during_first_copy() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let (reader, stream, mut from, mut to) = start_relocation(&daemon).await;
        let first = from.next_copy().await;

        drop(reader);
        stream.wait_until_cancelled().await;
        first.answer(200, "h1");

        // Copies use memory on both engines until they are freed.
        expect_that!(from.next_freed().await, eq("h1"));
        daemon.wait_until_idle().await;
        expect_true!(to.is_idle());
        expect_that!(daemon.running_requests().await, eq(0));
    });
}

#[gtest]
fn during_final_copy() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let (reader, stream, mut from, mut to) = start_relocation(&daemon).await;
        from.next_copy().await.answer(200, "h1");
        let last = from.next_copy().await;
        stream.finish();

        drop(reader);
        last.answer(200, "h2");

        expect_that!(from.next_freed().await, eq("h2"));
        daemon.wait_until_idle().await;
        expect_true!(to.is_idle());
        expect_that!(daemon.running_requests().await, eq(0));
    });
}

#[gtest]
fn during_resume_from_copy() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let (reader, stream, mut from, mut to) = start_relocation(&daemon).await;
        from.next_copy().await.answer(200, "h1");
        let last = from.next_copy().await;
        stream.finish();
        last.answer(200, "h2");
        let mut arrival = to.next_arrival().await;

        drop(reader);

        arrival.wait_until_cancelled().await;
        daemon.wait_until_idle().await;
        expect_that!(daemon.running_requests().await, eq(0));
    });
}
