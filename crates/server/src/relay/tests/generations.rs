//! Generations: each event once, in order, from one run, and what happens when one is cut.

use googletest::prelude::*;
use tokio::join;

use super::{
    fake_endpoint::{FakeEndpoint, Stream, events_to, next_arrival_at},
    response::{ResponseReader, outcome, text},
    test_daemon::{TestDaemon, run_test},
};

/// A generation that runs at either endpoint, whose caller has its events up to `last`.
async fn running(
    daemon: &TestDaemon,
    path: &str,
    last: u64,
    e1: &mut FakeEndpoint,
    e2: &mut FakeEndpoint,
) -> (ResponseReader, Stream) {
    let (answer, stream) = join!(daemon.send(path, "r1"), async {
        let stream = next_arrival_at(e1, e2).await.stream();
        stream.events(1..=last).await;
        stream
    });
    let mut reader = ResponseReader::new(answer);
    reader.read_to(last).await;
    (reader, stream)
}

#[gtest]
fn a_generation_comes_whole() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut engine = daemon.register("engines", "e1").await;

        let (answer, ()) = join!(daemon.send("/chat/", "r1"), async {
            let stream = engine.arrival().await.stream();
            stream.events(1..=20).await;
            stream.end();
        });

        expect_that!(text(answer).await, ok(eq(&events_to(20))));
    });
}

#[gtest]
fn a_generation_that_is_cut_does_not_look_complete_and_runs_nowhere_else() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let (mut e1, mut e2) =
            (daemon.register("engines", "e1").await, daemon.register("engines", "e2").await);

        let (reader, stream) = running(&daemon, "/chat/", 3, &mut e1, &mut e2).await;
        stream.abort().await;

        expect_that!(reader.read_rest().await, err(anything()));
        expect_true!(e1.is_idle() && e2.is_idle());
    });
}

#[gtest]
fn one_that_may_be_resumed_goes_on_after_the_last_whole_event() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let (mut e1, mut e2) =
            (daemon.register("engines", "e1").await, daemon.register("engines", "e2").await);

        let (reader, stream) = running(&daemon, "/recap/", 3, &mut e1, &mut e2).await;
        let (whole, after) = join!(reader.read_rest(), async {
            stream.bytes("id: 4\ndata: tok").await;
            stream.abort().await;
            next_arrival_at(&mut e1, &mut e2).await.stream_all(4..=6).await
        });

        expect_that!(after, some(eq(3)));
        expect_that!(whole, ok(eq(&events_to(6))));
    });
}

#[gtest]
fn events_that_come_again_are_dropped() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let (mut e1, mut e2) =
            (daemon.register("engines", "e1").await, daemon.register("engines", "e2").await);

        let (reader, stream) = running(&daemon, "/recap/", 3, &mut e1, &mut e2).await;
        let (whole, ()) = join!(reader.read_rest(), async {
            stream.abort().await;
            next_arrival_at(&mut e1, &mut e2).await.stream_all(2..=5).await;
        });

        expect_that!(whole, ok(eq(&events_to(5))));
    });
}

#[gtest]
fn a_gap_between_events_ends_the_answer() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut engine = daemon.register("engines", "e1").await;

        let (answer, ()) = join!(daemon.send("/chat/", "r1"), async {
            let stream = engine.arrival().await.stream();
            stream.events([1, 2, 4]).await;
            stream.end();
        });

        expect_that!(text(answer).await, err(anything()));
    });
}

#[gtest]
fn a_generation_that_was_turned_away_runs_elsewhere() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let (mut e1, mut e2) =
            (daemon.register("engines", "e1").await, daemon.register("engines", "e2").await);

        let (answer, ()) = join!(daemon.send("/chat/", "r1"), async {
            next_arrival_at(&mut e1, &mut e2).await.reject_unexecuted("full");
            next_arrival_at(&mut e1, &mut e2).await.stream_all(1..=2).await;
        });

        expect_that!(text(answer).await, ok(eq(&events_to(2))));
    });
}

#[gtest]
fn a_generation_without_a_first_event_may_have_run() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let (mut e1, mut e2) =
            (daemon.register("engines", "e1").await, daemon.register("engines", "e2").await);

        let (answer, ()) = join!(daemon.send("/chat/", "r1"), async {
            next_arrival_at(&mut e1, &mut e2).await.drop_connection();
        });

        expect_that!(outcome(&answer), some(eq("outcome_unknown")));
        expect_true!(e1.is_idle() && e2.is_idle());
    });
}

#[gtest]
fn a_caller_that_leaves_ends_the_generation() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut engine = daemon.register("engines", "e1").await;

        let (answer, stream) = join!(daemon.send("/chat/", "r1"), async {
            let stream = engine.arrival().await.stream();
            stream.events([1]).await;
            stream
        });
        drop(answer);

        // The engine's connection is closed; otherwise this waits for ever.
        stream.wait_until_cancelled().await;
    });
}
