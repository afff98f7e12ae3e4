//! Generations: each event once, in order, from one run, and what happens when one is cut.

use googletest::prelude::*;
use tokio::join;

use super::{
    endpoint::{FakeEndpoint, Stream, either, events_to},
    entry::{Entry, on_local_tasks},
    reading::{Reading, outcome, text},
};

/// A generation that runs at either endpoint, whose caller has its events up to `last`.
async fn running(
    entry: &Entry,
    path: &str,
    last: u64,
    e1: &mut FakeEndpoint,
    e2: &mut FakeEndpoint,
) -> (Reading, Stream) {
    let (answer, stream) = join!(entry.ask(path, "r1"), async {
        let stream = either(e1, e2).await.stream();
        stream.events(1..=last).await;
        stream
    });
    let mut reading = Reading::new(answer);
    reading.read_to(last).await;
    (reading, stream)
}

#[gtest]
fn a_generation_comes_whole() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let mut engine = entry.register("engines", "e1").await;

        let (answer, ()) = join!(entry.ask("/chat/", "r1"), async {
            let stream = engine.arrival().await.stream();
            stream.events(1..=20).await;
            stream.end();
        });

        expect_that!(text(answer).await, ok(eq(&events_to(20))));
    });
}

#[gtest]
fn a_generation_that_is_cut_does_not_look_complete_and_runs_nowhere_else() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let (mut e1, mut e2) =
            (entry.register("engines", "e1").await, entry.register("engines", "e2").await);

        let (reading, stream) = running(&entry, "/chat/", 3, &mut e1, &mut e2).await;
        stream.cut().await;

        expect_that!(reading.rest().await, err(anything()));
        expect_true!(e1.is_idle() && e2.is_idle());
    });
}

#[gtest]
fn one_that_may_be_resumed_goes_on_after_the_last_whole_event() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let (mut e1, mut e2) =
            (entry.register("engines", "e1").await, entry.register("engines", "e2").await);

        let (reading, stream) = running(&entry, "/recap/", 3, &mut e1, &mut e2).await;
        let (whole, after) = join!(reading.rest(), async {
            stream.bytes("id: 4\ndata: tok").await;
            stream.cut().await;
            either(&mut e1, &mut e2).await.stream_whole(4..=6).await
        });

        expect_that!(after, some(eq(3)));
        expect_that!(whole, ok(eq(&events_to(6))));
    });
}

#[gtest]
fn events_that_come_again_are_dropped() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let (mut e1, mut e2) =
            (entry.register("engines", "e1").await, entry.register("engines", "e2").await);

        let (reading, stream) = running(&entry, "/recap/", 3, &mut e1, &mut e2).await;
        let (whole, ()) = join!(reading.rest(), async {
            stream.cut().await;
            either(&mut e1, &mut e2).await.stream_whole(2..=5).await;
        });

        expect_that!(whole, ok(eq(&events_to(5))));
    });
}

#[gtest]
fn a_gap_between_events_ends_the_answer() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let mut engine = entry.register("engines", "e1").await;

        let (answer, ()) = join!(entry.ask("/chat/", "r1"), async {
            let stream = engine.arrival().await.stream();
            stream.events([1, 2, 4]).await;
            stream.end();
        });

        expect_that!(text(answer).await, err(anything()));
    });
}

#[gtest]
fn a_generation_that_was_turned_away_runs_elsewhere() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let (mut e1, mut e2) =
            (entry.register("engines", "e1").await, entry.register("engines", "e2").await);

        let (answer, ()) = join!(entry.ask("/chat/", "r1"), async {
            either(&mut e1, &mut e2).await.turn_away("full");
            either(&mut e1, &mut e2).await.stream_whole(1..=2).await;
        });

        expect_that!(text(answer).await, ok(eq(&events_to(2))));
    });
}

#[gtest]
fn a_generation_without_a_first_event_may_have_run() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let (mut e1, mut e2) =
            (entry.register("engines", "e1").await, entry.register("engines", "e2").await);

        let (answer, ()) = join!(entry.ask("/chat/", "r1"), async {
            either(&mut e1, &mut e2).await.break_off();
        });

        expect_that!(outcome(&answer), some(eq("outcome_unknown")));
        expect_true!(e1.is_idle() && e2.is_idle());
    });
}

#[gtest]
fn a_caller_that_leaves_ends_the_generation() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let mut engine = entry.register("engines", "e1").await;

        let (answer, stream) = join!(entry.ask("/chat/", "r1"), async {
            let stream = engine.arrival().await.stream();
            stream.events([1]).await;
            stream
        });
        drop(answer);

        // The engine's connection is closed; otherwise this waits for ever.
        stream.left().await;
    });
}
