//! Generations that move off engines which leave.

use googletest::prelude::*;
use tokio::join;

use super::{
    fake_endpoint::{FakeEndpoint, PendingCopy, Stream, events_to},
    protocol::memory_text,
    response::ResponseReader,
    test_daemon::{TestDaemon, broken_off, run_test},
};
use crate::relay::KvCopy;

/// A generation that runs at `from`, which leaves; `to` is another engine.
struct Running {
    daemon: TestDaemon,
    reader: ResponseReader,
    stream: Stream,
    from: FakeEndpoint,
    to: FakeEndpoint,
}

/// Starts a generation with events up to `last` while there is one engine; then comes another,
/// and the first one leaves.
async fn running(path: &str, last: u64) -> Running {
    let daemon = TestDaemon::open().await;
    let mut from = daemon.register("engines", "from").await;
    let (answer, stream) = join!(daemon.send(path, "r1"), async {
        let stream = from.arrival().await.stream();
        stream.events(1..=last).await;
        stream
    });
    let mut reader = ResponseReader::new(answer);
    reader.read_to(last).await;
    let to = daemon.register("engines", "to").await;
    daemon.announce_leaving("from").await;
    Running { daemon, reader, stream, from, to }
}

/// Answers the first copy and hands out the order for the last one.
async fn last_copy(from: &mut FakeEndpoint) -> PendingCopy {
    let first = from.copy().await;
    assert!(!first.last);
    first.answer(200, "h1");
    from.copy().await
}

#[gtest]
fn a_generation_goes_on_where_its_copy_lies() {
    run_test(async {
        let Running { daemon: _entry, reader, stream, mut from, mut to } =
            running("/chat/", 3).await;

        let (whole, (after, memory, asked)) = join!(reader.read_rest(), async {
            let last = last_copy(&mut from).await;
            let asked = (last.id.clone(), last.last);
            stream.events([4]).await;
            stream.end();
            last.answer(200, "h2");
            let arrival = to.arrival().await;
            // Event 4 may still have been on its way when the generation went on.
            let (after, memory) = (arrival.after.unwrap_or_default(), arrival.memory.clone());
            arrival.stream_all(after + 1..=7).await;
            (after, memory, asked)
        });

        let memory_at = KvCopy { source: from.address(), handle: "h2".to_owned() };
        expect_that!(asked, eq(&("r1".to_owned(), true)));
        expect_that!(after, ge(3));
        expect_that!(memory, some(eq(&memory_text(&memory_at))));
        expect_that!(whole, ok(eq(&events_to(7))));
    });
}

#[gtest]
fn one_whose_copy_is_refused_runs_on_where_it_is() {
    run_test(async {
        let Running { daemon: _entry, reader, stream, mut from, mut to } =
            running("/chat/", 3).await;

        let (whole, ()) = join!(reader.read_rest(), async {
            from.copy().await.answer(503, "");
            stream.events(4..=6).await;
            stream.end();
        });

        expect_that!(whole, ok(eq(&events_to(6))));
        expect_true!(to.is_idle());
    });
}

#[gtest]
fn one_that_the_target_refuses_goes_on_at_its_source() {
    run_test(async {
        let Running { daemon: _entry, reader, stream, mut from, mut to } =
            running("/chat/", 3).await;

        let (whole, after) = join!(reader.read_rest(), async {
            let last = last_copy(&mut from).await;
            stream.end();
            last.answer(200, "h2");
            to.arrival().await.reject_unexecuted("full");
            from.arrival().await.stream_all(4..=6).await
        });

        expect_that!(after, some(eq(3)));
        expect_that!(whole, ok(eq(&events_to(6))));
    });
}

#[gtest]
fn one_that_stopped_without_a_copy_goes_on_at_its_source() {
    run_test(async {
        let Running { daemon: _entry, reader, stream, mut from, mut to } =
            running("/chat/", 3).await;

        let (whole, memory) = join!(reader.read_rest(), async {
            let last = last_copy(&mut from).await;
            stream.end();
            last.answer(503, "h2");
            let arrival = from.arrival().await;
            let memory = arrival.memory.clone();
            arrival.stream_all(4..=5).await;
            memory
        });

        let memory_at = KvCopy { source: from.address(), handle: "h2".to_owned() };
        expect_that!(memory, some(eq(&memory_text(&memory_at))));
        expect_that!(whole, ok(eq(&events_to(5))));
        expect_true!(to.is_idle());
    });
}

#[gtest]
fn one_that_ends_while_it_is_copied_is_whole() {
    run_test(async {
        let Running { daemon: _entry, reader, stream, mut from, mut to } =
            running("/chat/", 3).await;

        let (whole, ()) = join!(reader.read_rest(), async {
            let last = last_copy(&mut from).await;
            stream.events(4..=5).await;
            stream.end();
            last.answer(404, "");
        });

        expect_that!(whole, ok(eq(&events_to(5))));
        expect_true!(to.is_idle());
    });
}

#[gtest]
fn one_that_is_lost_while_it_is_copied_does_not_look_complete() {
    run_test(async {
        let Running { daemon: _entry, reader, stream, mut from, mut to } =
            running("/chat/", 3).await;

        let (whole, ()) = join!(reader.read_rest(), async {
            let last = last_copy(&mut from).await;
            stream.abort().await;
            last.answer(404, "");
        });

        expect_that!(whole, err(anything()));
        expect_true!(to.is_idle());
    });
}

#[gtest]
fn the_end_of_its_engine_while_it_is_copied_is_looked_into() {
    run_test(async {
        let Running { daemon, reader, stream, mut from, to: _to } = running("/chat/", 3).await;

        let (whole, ()) = join!(reader.read_rest(), async {
            let last = last_copy(&mut from).await;
            from.end().await;
            stream.abort().await;
            last.answer(404, "");
        });

        expect_that!(whole, err(anything()));
        daemon.wait_for_metric(&broken_off("engines", "ended"), 1).await;
    });
}

#[gtest]
fn the_whole_answer_comes_also_when_the_events_were_cut_in_the_middle() {
    run_test(async {
        let Running { daemon: _entry, reader, stream, mut from, mut to } =
            running("/chat/", 3).await;

        let (whole, after) = join!(reader.read_rest(), async {
            let last = last_copy(&mut from).await;
            stream.bytes("id: 4\ndata: tok").await;
            stream.abort().await;
            last.answer(200, "h2");
            to.arrival().await.stream_all(4..=6).await
        });

        expect_that!(after, some(eq(3)));
        expect_that!(whole, ok(eq(&events_to(6))));
    });
}
