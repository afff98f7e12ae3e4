//! Callers that leave: at every place that a request can be, the work for it ends, and what was
//! held for it is free again. Where it does not, a test waits for ever.

use googletest::prelude::*;
use tokio::{join, select};

use super::{
    endpoint::{Arrival, FakeEndpoint, Stream, either, events_to},
    entry::{Entry, on_local_tasks},
    reading::{Reading, text},
};

/// Asks, and leaves when the request has come to an endpoint.
async fn leave_at(entry: &Entry, path: &str, endpoint: &mut FakeEndpoint) -> Arrival {
    select! {
        _ = entry.ask(path, "left") => panic!("nobody has answered"),
        arrival = endpoint.arrival() => arrival,
    }
}

/// Asks, and leaves once this is so.
async fn leave_once(entry: &Entry, path: &str, is_so: impl Future<Output = ()>) {
    select! {
        _ = entry.ask(path, "left") => panic!("nobody has answered"),
        () = is_so => {}
    }
}

/// Whether the next request is the only one that comes to an engine.
async fn only_the_next_comes(entry: &Entry, path: &str, engine: &mut FakeEndpoint) {
    let (answer, arrived) = join!(entry.ask(path, "next"), async {
        let arrival = engine.arrival().await;
        let id = arrival.id.clone();
        arrival.stream_whole([1]).await;
        id
    });

    expect_that!(arrived, eq("next"));
    expect_that!(text(answer).await, ok(eq(&events_to(1))));
    expect_true!(engine.is_idle());
}

/// A generation whose caller has its events up to `last`.
async fn running(entry: &Entry, path: &str, last: u64, e: &mut FakeEndpoint) -> (Reading, Stream) {
    let (answer, stream) = join!(entry.ask(path, "left"), async {
        let stream = e.arrival().await.stream();
        stream.events(1..=last).await;
        stream
    });
    let mut reading = Reading::new(answer);
    reading.read_to(last).await;
    (reading, stream)
}

#[gtest]
fn while_the_daemon_has_no_configuration_yet() {
    on_local_tasks(async {
        let entry = Entry::start(std::time::Duration::from_secs(60));

        leave_once(&entry, "/chat/", entry.connected()).await;
        entry.at_rest().await;
        entry.configure().await;
        let mut engine = entry.register("engines", "e1").await;

        only_the_next_comes(&entry, "/chat/", &mut engine).await;
    });
}

#[gtest]
fn while_no_endpoint_is_known() {
    on_local_tasks(async {
        let entry = Entry::open().await;

        leave_once(&entry, "/chat/", entry.connected()).await;
        entry.at_rest().await;
        let mut engine = entry.register("engines", "e1").await;

        only_the_next_comes(&entry, "/chat/", &mut engine).await;
        expect_that!(entry.running().await, eq(0));
    });
}

#[gtest]
fn while_it_waits_for_a_place() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        // The only place is taken.
        let mut engine = entry.register_with_slots("engines", "e1", 1).await;
        let (reading, stream) = running(&entry, "/chat/", 1, &mut engine).await;

        leave_once(&entry, "/chat/", entry.has_in_progress(2)).await;
        entry.has_in_progress(1).await;
        let rest = join!(reading.rest(), async { stream.end() }).0;
        entry.at_rest().await;

        expect_that!(rest, ok(anything()));
        only_the_next_comes(&entry, "/chat/", &mut engine).await;
    });
}

#[gtest]
fn while_a_call_runs() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let mut desk = entry.register("desk", "d1").await;

        let mut arrival = leave_at(&entry, "/once/", &mut desk).await;

        arrival.left().await;
        entry.at_rest().await;
    });
}

#[gtest]
fn while_the_second_attempt_of_a_call_runs() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let (mut d1, mut d2) =
            (entry.register("desk", "d1").await, entry.register("desk", "d2").await);

        let mut second = select! {
            _ = entry.ask("/again/", "left") => panic!("nobody has answered"),
            second = async {
                either(&mut d1, &mut d2).await.answer(500, "failed");
                either(&mut d1, &mut d2).await
            } => second,
        };

        second.left().await;
        entry.at_rest().await;
    });
}

#[gtest]
fn before_the_first_event() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let mut engine = entry.register("engines", "e1").await;

        let mut arrival = leave_at(&entry, "/chat/", &mut engine).await;

        arrival.left().await;
        entry.at_rest().await;
        expect_that!(entry.running().await, eq(0));
    });
}

#[gtest]
fn between_events() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let mut engine = entry.register("engines", "e1").await;

        let (reading, stream) = running(&entry, "/chat/", 3, &mut engine).await;
        drop(reading);

        stream.left().await;
        entry.at_rest().await;
        expect_that!(entry.running().await, eq(0));
    });
}

#[gtest]
fn while_it_goes_on_at_another_endpoint() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let mut e1 = entry.register("engines", "e1").await;
        let (reading, stream) = running(&entry, "/recap/", 3, &mut e1).await;
        let mut e2 = entry.register("engines", "e2").await;

        let (mut again, ()) = join!(e2.arrival(), stream.cut());
        drop(reading);

        again.left().await;
        entry.at_rest().await;
        expect_that!(entry.running().await, eq(0));
    });
}

/// A generation whose engine leaves; the order for its first copy has come.
async fn moving(entry: &Entry) -> (Reading, Stream, FakeEndpoint, FakeEndpoint) {
    let mut from = entry.register("engines", "from").await;
    let (reading, stream) = running(entry, "/chat/", 3, &mut from).await;
    let to = entry.register("engines", "to").await;
    entry.leaves("from").await;
    (reading, stream, from, to)
}

#[gtest]
fn while_the_first_copy_is_made() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let (reading, stream, mut from, mut to) = moving(&entry).await;
        let first = from.copy().await;

        drop(reading);
        stream.left().await;
        first.answer(200, "h1");

        // The copy holds memory at both engines until it is freed.
        expect_that!(from.freed().await, eq("h1"));
        entry.at_rest().await;
        expect_true!(to.is_idle());
        expect_that!(entry.running().await, eq(0));
    });
}

#[gtest]
fn while_the_last_copy_is_made() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let (reading, stream, mut from, mut to) = moving(&entry).await;
        from.copy().await.answer(200, "h1");
        let last = from.copy().await;
        stream.end();

        drop(reading);
        last.answer(200, "h2");

        expect_that!(from.freed().await, eq("h2"));
        entry.at_rest().await;
        expect_true!(to.is_idle());
        expect_that!(entry.running().await, eq(0));
    });
}

#[gtest]
fn while_it_goes_on_where_its_copy_lies() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let (reading, stream, mut from, mut to) = moving(&entry).await;
        from.copy().await.answer(200, "h1");
        let last = from.copy().await;
        stream.end();
        last.answer(200, "h2");
        let mut arrival = to.arrival().await;

        drop(reading);

        arrival.left().await;
        entry.at_rest().await;
        expect_that!(entry.running().await, eq(0));
    });
}
