//! Relocation of generations off leaving engines.

use googletest::prelude::*;
use tokio::join;

use super::{
    fake_endpoint::{FakeEndpoint, PendingCopy, Stream, events_to},
    protocol::kv_copy_header,
    response::ResponseReader,
    test_daemon::{TestDaemon, failed_attempts_metric, run_test},
};
use crate::relay::KvCopy;

/// A generation running on `from`, which is leaving; `to` is another engine.
struct Running {
    daemon: TestDaemon,
    reader: ResponseReader,
    stream: Stream,
    from: FakeEndpoint,
    to: FakeEndpoint,
}

/// Starts a generation on `from`, reads its events up to `last`, then starts `to` and makes `from`
/// leave.
async fn running(path: &str, last: u64) -> Running {
    let daemon = TestDaemon::open().await;
    let mut from = daemon.register("engines", "from").await;
    let (answer, stream) = join!(daemon.send(path, "r1"), async {
        let stream = from.next_arrival().await.stream();
        stream.send_events(1..=last).await;
        stream
    });
    let mut reader = ResponseReader::new(answer);
    reader.read_to(last).await;
    let to = daemon.register("engines", "to").await;
    daemon.announce_leaving("from").await;
    Running { daemon, reader, stream, from, to }
}

/// Answers the first copy command and returns the final one.
async fn last_copy(from: &mut FakeEndpoint) -> PendingCopy {
    let first = from.next_copy().await;
    assert!(!first.last);
    first.answer(200, "h1");
    from.next_copy().await
}

#[gtest]
fn generation_resumes_on_target() {
    run_test(async {
        let Running { daemon: _entry, reader, stream, mut from, mut to } =
            running("/chat/", 3).await;

        let (whole, (after, memory, asked)) = join!(reader.read_rest(), async {
            let last = last_copy(&mut from).await;
            let asked = (last.id.clone(), last.last);
            stream.send_events([4]).await;
            stream.finish();
            last.answer(200, "h2");
            let arrival = to.next_arrival().await;
            // Event 4 may not have been read yet when the generation resumes.
            let (after, memory) =
                (arrival.last_event_id.unwrap_or_default(), arrival.kv_copy.clone());
            arrival.stream_all(after + 1..=7).await;
            (after, memory, asked)
        });

        let expected_copy = KvCopy { source: from.address(), handle: "h2".to_owned() };
        expect_that!(asked, eq(&("r1".to_owned(), true)));
        expect_that!(after, ge(3));
        expect_that!(memory, some(eq(&kv_copy_header(&expected_copy))));
        expect_that!(whole, ok(eq(&events_to(7))));
    });
}

#[gtest]
fn refused_copy_leaves_generation_on_source() {
    run_test(async {
        let Running { daemon: _entry, reader, stream, mut from, mut to } =
            running("/chat/", 3).await;

        let (whole, ()) = join!(reader.read_rest(), async {
            from.next_copy().await.answer(503, "");
            stream.send_events(4..=6).await;
            stream.finish();
        });

        expect_that!(whole, ok(eq(&events_to(6))));
        expect_true!(to.is_idle());
    });
}

#[gtest]
fn rejection_by_target_resumes_on_source() {
    run_test(async {
        let Running { daemon: _entry, reader, stream, mut from, mut to } =
            running("/chat/", 3).await;

        let (whole, after) = join!(reader.read_rest(), async {
            let last = last_copy(&mut from).await;
            stream.finish();
            last.answer(200, "h2");
            to.next_arrival().await.reject_unexecuted("full");
            from.next_arrival().await.stream_all(4..=6).await
        });

        expect_that!(after, some(eq(3)));
        expect_that!(whole, ok(eq(&events_to(6))));
    });
}

#[gtest]
fn failed_final_copy_resumes_on_source() {
    run_test(async {
        let Running { daemon: _entry, reader, stream, mut from, mut to } =
            running("/chat/", 3).await;

        let (whole, memory) = join!(reader.read_rest(), async {
            let last = last_copy(&mut from).await;
            stream.finish();
            last.answer(503, "h2");
            let arrival = from.next_arrival().await;
            let memory = arrival.kv_copy.clone();
            arrival.stream_all(4..=5).await;
            memory
        });

        let expected_copy = KvCopy { source: from.address(), handle: "h2".to_owned() };
        expect_that!(memory, some(eq(&kv_copy_header(&expected_copy))));
        expect_that!(whole, ok(eq(&events_to(5))));
        expect_true!(to.is_idle());
    });
}

#[gtest]
fn generation_may_complete_during_copy() {
    run_test(async {
        let Running { daemon: _entry, reader, stream, mut from, mut to } =
            running("/chat/", 3).await;

        let (whole, ()) = join!(reader.read_rest(), async {
            let last = last_copy(&mut from).await;
            stream.send_events(4..=5).await;
            stream.finish();
            last.answer(404, "");
        });

        expect_that!(whole, ok(eq(&events_to(5))));
        expect_true!(to.is_idle());
    });
}

#[gtest]
fn generation_lost_during_copy_is_aborted() {
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
fn source_crash_during_copy_is_probed() {
    run_test(async {
        let Running { daemon, reader, stream, mut from, to: _to } = running("/chat/", 3).await;

        let (whole, ()) = join!(reader.read_rest(), async {
            let last = last_copy(&mut from).await;
            from.shut_down().await;
            stream.abort().await;
            last.answer(404, "");
        });

        expect_that!(whole, err(anything()));
        daemon.wait_for_metric(&failed_attempts_metric("engines", "ended"), 1).await;
    });
}

#[gtest]
fn partial_event_before_resume_is_discarded() {
    run_test(async {
        let Running { daemon: _entry, reader, stream, mut from, mut to } =
            running("/chat/", 3).await;

        let (whole, after) = join!(reader.read_rest(), async {
            let last = last_copy(&mut from).await;
            stream.send_bytes("id: 4\ndata: tok").await;
            stream.abort().await;
            last.answer(200, "h2");
            to.next_arrival().await.stream_all(4..=6).await
        });

        expect_that!(after, some(eq(3)));
        expect_that!(whole, ok(eq(&events_to(6))));
    });
}
