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
struct RelocatingGeneration {
    daemon: TestDaemon,
    reader: ResponseReader,
    stream: Stream,
    from: FakeEndpoint,
    to: FakeEndpoint,
}

/// Starts a generation on `from`, reads its events up to `last`, then starts `to` and makes `from`
/// leave.
async fn start_generation(path: &str, last: u64) -> RelocatingGeneration {
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
    RelocatingGeneration { daemon, reader, stream, from, to }
}

/// Answers the first copy command and returns the final one.
async fn final_copy_command(from: &mut FakeEndpoint) -> PendingCopy {
    let first = from.next_copy().await;
    assert!(!first.is_final);
    first.answer(200, "h1");
    from.next_copy().await
}

#[gtest]
fn generation_resumes_on_target() {
    run_test(async {
        let RelocatingGeneration { daemon: _daemon, reader, stream, mut from, mut to } =
            start_generation("/chat/", 3).await;

        let (body, (last_event_id, kv_copy, command)) = join!(reader.read_rest(), async {
            let final_copy = final_copy_command(&mut from).await;
            let command = (final_copy.id.clone(), final_copy.is_final);
            stream.send_events([4]).await;
            stream.finish();
            final_copy.answer(200, "h2");
            let arrival = to.next_arrival().await;
            // Event 4 may not have been read yet when the generation resumes.
            let (last_event_id, kv_copy) =
                (arrival.last_event_id.unwrap_or_default(), arrival.kv_copy.clone());
            arrival.stream_all(last_event_id + 1..=7).await;
            (last_event_id, kv_copy, command)
        });

        let expected_copy = KvCopy { source: from.address(), handle: "h2".to_owned() };
        expect_that!(command, eq(&("r1".to_owned(), true)));
        expect_that!(last_event_id, ge(3));
        expect_that!(kv_copy, some(eq(&kv_copy_header(&expected_copy))));
        expect_that!(body, ok(eq(&events_to(7))));
    });
}

#[gtest]
fn refused_copy_leaves_generation_on_source() {
    run_test(async {
        let RelocatingGeneration { daemon: _daemon, reader, stream, mut from, mut to } =
            start_generation("/chat/", 3).await;

        let (body, ()) = join!(reader.read_rest(), async {
            from.next_copy().await.answer(503, "");
            stream.send_events(4..=6).await;
            stream.finish();
        });

        expect_that!(body, ok(eq(&events_to(6))));
        expect_true!(to.is_idle());
    });
}

#[gtest]
fn rejection_by_target_resumes_on_source() {
    run_test(async {
        let RelocatingGeneration { daemon: _daemon, reader, stream, mut from, mut to } =
            start_generation("/chat/", 3).await;

        let (body, last_event_id) = join!(reader.read_rest(), async {
            let final_copy = final_copy_command(&mut from).await;
            stream.finish();
            final_copy.answer(200, "h2");
            to.next_arrival().await.reject_unexecuted("full");
            from.next_arrival().await.stream_all(4..=6).await
        });

        expect_that!(last_event_id, some(eq(3)));
        expect_that!(body, ok(eq(&events_to(6))));
    });
}

#[gtest]
fn failed_final_copy_resumes_on_source() {
    run_test(async {
        let RelocatingGeneration { daemon: _daemon, reader, stream, mut from, mut to } =
            start_generation("/chat/", 3).await;

        let (body, kv_copy) = join!(reader.read_rest(), async {
            let final_copy = final_copy_command(&mut from).await;
            stream.finish();
            final_copy.answer(503, "h2");
            let arrival = from.next_arrival().await;
            let kv_copy = arrival.kv_copy.clone();
            arrival.stream_all(4..=5).await;
            kv_copy
        });

        let expected_copy = KvCopy { source: from.address(), handle: "h2".to_owned() };
        expect_that!(kv_copy, some(eq(&kv_copy_header(&expected_copy))));
        expect_that!(body, ok(eq(&events_to(5))));
        expect_true!(to.is_idle());
    });
}

#[gtest]
fn generation_may_complete_during_copy() {
    run_test(async {
        let RelocatingGeneration { daemon: _daemon, reader, stream, mut from, mut to } =
            start_generation("/chat/", 3).await;

        let (body, ()) = join!(reader.read_rest(), async {
            let final_copy = final_copy_command(&mut from).await;
            stream.send_events(4..=5).await;
            stream.finish();
            final_copy.answer(404, "");
        });

        expect_that!(body, ok(eq(&events_to(5))));
        expect_true!(to.is_idle());
    });
}

#[gtest]
fn generation_lost_during_copy_is_aborted() {
    run_test(async {
        let RelocatingGeneration { daemon: _daemon, reader, stream, mut from, mut to } =
            start_generation("/chat/", 3).await;

        let (body, ()) = join!(reader.read_rest(), async {
            let final_copy = final_copy_command(&mut from).await;
            stream.abort().await;
            final_copy.answer(404, "");
        });

        expect_that!(body, err(anything()));
        expect_true!(to.is_idle());
    });
}

#[gtest]
fn source_crash_during_copy_is_probed() {
    run_test(async {
        let RelocatingGeneration { daemon, reader, stream, mut from, to: _to } =
            start_generation("/chat/", 3).await;

        let (body, ()) = join!(reader.read_rest(), async {
            let final_copy = final_copy_command(&mut from).await;
            from.shut_down().await;
            stream.abort().await;
            final_copy.answer(404, "");
        });

        expect_that!(body, err(anything()));
        daemon.wait_for_metric(&failed_attempts_metric("engines", "ended"), 1).await;
    });
}

#[gtest]
fn partial_event_before_resume_is_discarded() {
    run_test(async {
        let RelocatingGeneration { daemon: _daemon, reader, stream, mut from, mut to } =
            start_generation("/chat/", 3).await;

        let (body, last_event_id) = join!(reader.read_rest(), async {
            let final_copy = final_copy_command(&mut from).await;
            stream.send_bytes("id: 4\ndata: tok").await;
            stream.abort().await;
            final_copy.answer(200, "h2");
            to.next_arrival().await.stream_all(4..=6).await
        });

        expect_that!(last_event_id, some(eq(3)));
        expect_that!(body, ok(eq(&events_to(6))));
    });
}
