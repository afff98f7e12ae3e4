//! Callers that leave: at every place that a request can be, the work for it ends, and what was
//! held for it is free again. Where it does not, a test waits for ever.

use googletest::prelude::*;
use tokio::{join, select};

use super::{
    fake_endpoint::{Arrival, FakeEndpoint, Stream, events_to, next_arrival_at},
    response::{ResponseReader, text},
    test_daemon::{TestDaemon, run_test},
};

/// Asks, and leaves when the request has come to an endpoint.
async fn leave_at(daemon: &TestDaemon, path: &str, endpoint: &mut FakeEndpoint) -> Arrival {
    select! {
        _ = daemon.send(path, "left") => panic!("nobody has answered"),
        arrival = endpoint.arrival() => arrival,
    }
}

/// Asks, and leaves once this is so.
async fn leave_once(daemon: &TestDaemon, path: &str, is_so: impl Future<Output = ()>) {
    select! {
        _ = daemon.send(path, "left") => panic!("nobody has answered"),
        () = is_so => {}
    }
}

/// Whether the next request is the only one that comes to an engine.
async fn only_the_next_comes(daemon: &TestDaemon, path: &str, engine: &mut FakeEndpoint) {
    let (answer, arrived) = join!(daemon.send(path, "next"), async {
        let arrival = engine.arrival().await;
        let id = arrival.id.clone();
        arrival.stream_all([1]).await;
        id
    });

    expect_that!(arrived, eq("next"));
    expect_that!(text(answer).await, ok(eq(&events_to(1))));
    expect_true!(engine.is_idle());
}

/// A generation whose caller has its events up to `last`.
async fn running(
    daemon: &TestDaemon,
    path: &str,
    last: u64,
    e: &mut FakeEndpoint,
) -> (ResponseReader, Stream) {
    let (answer, stream) = join!(daemon.send(path, "left"), async {
        let stream = e.arrival().await.stream();
        stream.events(1..=last).await;
        stream
    });
    let mut reader = ResponseReader::new(answer);
    reader.read_to(last).await;
    (reader, stream)
}

#[gtest]
fn while_the_daemon_has_no_configuration_yet() {
    run_test(async {
        let daemon = TestDaemon::start(std::time::Duration::from_secs(60));

        leave_once(&daemon, "/chat/", daemon.wait_for_connection()).await;
        daemon.wait_until_idle().await;
        daemon.configure().await;
        let mut engine = daemon.register("engines", "e1").await;

        only_the_next_comes(&daemon, "/chat/", &mut engine).await;
    });
}

#[gtest]
fn while_no_endpoint_is_known() {
    run_test(async {
        let daemon = TestDaemon::open().await;

        leave_once(&daemon, "/chat/", daemon.wait_for_connection()).await;
        daemon.wait_until_idle().await;
        let mut engine = daemon.register("engines", "e1").await;

        only_the_next_comes(&daemon, "/chat/", &mut engine).await;
        expect_that!(daemon.running().await, eq(0));
    });
}

#[gtest]
fn while_it_waits_for_a_place() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        // The only place is taken.
        let mut engine = daemon.register_with_slots("engines", "e1", 1).await;
        let (reader, stream) = running(&daemon, "/chat/", 1, &mut engine).await;

        leave_once(&daemon, "/chat/", daemon.wait_for_in_progress(2)).await;
        daemon.wait_for_in_progress(1).await;
        let rest = join!(reader.read_rest(), async { stream.end() }).0;
        daemon.wait_until_idle().await;

        expect_that!(rest, ok(anything()));
        only_the_next_comes(&daemon, "/chat/", &mut engine).await;
    });
}

#[gtest]
fn while_a_call_runs() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut desk = daemon.register("desk", "d1").await;

        let mut arrival = leave_at(&daemon, "/once/", &mut desk).await;

        arrival.wait_until_cancelled().await;
        daemon.wait_until_idle().await;
    });
}

#[gtest]
fn while_the_second_attempt_of_a_call_runs() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let (mut d1, mut d2) =
            (daemon.register("desk", "d1").await, daemon.register("desk", "d2").await);

        let mut second = select! {
            _ = daemon.send("/again/", "left") => panic!("nobody has answered"),
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

        let mut arrival = leave_at(&daemon, "/chat/", &mut engine).await;

        arrival.wait_until_cancelled().await;
        daemon.wait_until_idle().await;
        expect_that!(daemon.running().await, eq(0));
    });
}

#[gtest]
fn between_events() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut engine = daemon.register("engines", "e1").await;

        let (reader, stream) = running(&daemon, "/chat/", 3, &mut engine).await;
        drop(reader);

        stream.wait_until_cancelled().await;
        daemon.wait_until_idle().await;
        expect_that!(daemon.running().await, eq(0));
    });
}

#[gtest]
fn while_it_goes_on_at_another_endpoint() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut e1 = daemon.register("engines", "e1").await;
        let (reader, stream) = running(&daemon, "/recap/", 3, &mut e1).await;
        let mut e2 = daemon.register("engines", "e2").await;

        let (mut again, ()) = join!(e2.arrival(), stream.abort());
        drop(reader);

        again.wait_until_cancelled().await;
        daemon.wait_until_idle().await;
        expect_that!(daemon.running().await, eq(0));
    });
}

/// A generation whose engine leaves; the order for its first copy has come.
async fn moving(daemon: &TestDaemon) -> (ResponseReader, Stream, FakeEndpoint, FakeEndpoint) {
    let mut from = daemon.register("engines", "from").await;
    let (reader, stream) = running(daemon, "/chat/", 3, &mut from).await;
    let to = daemon.register("engines", "to").await;
    daemon.announce_leaving("from").await;
    (reader, stream, from, to)
}

#[gtest]
fn while_the_first_copy_is_made() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let (reader, stream, mut from, mut to) = moving(&daemon).await;
        let first = from.copy().await;

        drop(reader);
        stream.wait_until_cancelled().await;
        first.answer(200, "h1");

        // The copy holds memory at both engines until it is freed.
        expect_that!(from.freed().await, eq("h1"));
        daemon.wait_until_idle().await;
        expect_true!(to.is_idle());
        expect_that!(daemon.running().await, eq(0));
    });
}

#[gtest]
fn while_the_last_copy_is_made() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let (reader, stream, mut from, mut to) = moving(&daemon).await;
        from.copy().await.answer(200, "h1");
        let last = from.copy().await;
        stream.end();

        drop(reader);
        last.answer(200, "h2");

        expect_that!(from.freed().await, eq("h2"));
        daemon.wait_until_idle().await;
        expect_true!(to.is_idle());
        expect_that!(daemon.running().await, eq(0));
    });
}

#[gtest]
fn while_it_goes_on_where_its_copy_lies() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let (reader, stream, mut from, mut to) = moving(&daemon).await;
        from.copy().await.answer(200, "h1");
        let last = from.copy().await;
        stream.end();
        last.answer(200, "h2");
        let mut arrival = to.arrival().await;

        drop(reader);

        arrival.wait_until_cancelled().await;
        daemon.wait_until_idle().await;
        expect_that!(daemon.running().await, eq(0));
    });
}
