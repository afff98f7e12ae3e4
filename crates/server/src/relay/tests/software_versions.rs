//! Streams go on only at the software version that began them.

use std::time::Duration;

use googletest::prelude::*;
use tokio::join;

use super::{
    fake_endpoint::{FakeEndpoint, Stream, events_to},
    protocol::{LAST_EVENT, RESUMES},
    response::{ResponseReader, outcome, text},
    test_daemon::{TestDaemon, run_test},
    test_fleet::{TestFleet, answer_all},
};

/// Starts a resumable generation at `engine`, the only one so far, and reads its first three events.
pub(super) async fn start_stream(
    daemon: &TestDaemon,
    id: &str,
    engine: &mut FakeEndpoint,
) -> (ResponseReader, Stream) {
    let (answer, stream) = join!(daemon.send("/recap/", id), async {
        let stream = engine.next_arrival().await.stream();
        stream.send_events(1..=3).await;
        stream
    });
    let mut reader = ResponseReader::new(answer);
    reader.read_to(3).await;
    (reader, stream)
}

#[gtest]
fn restarted_stream_never_joins_two_software_versions() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut engine = daemon.register_version("engines", "e1", "v1").await;
        let (reader, stream) = start_stream(&daemon, "r1", &mut engine).await;
        let other = answer_all(daemon.register_version("engines", "e2", "v2").await, "engines");
        daemon.announce_leaving("e1").await;

        stream.abort().await;

        expect_that!(reader.read_rest().await, err(anything()));
        expect_that!(other.all(), len(eq(0)));
    });
}

#[gtest]
fn stream_taken_up_at_another_entry_never_joins_two_software_versions() {
    run_test(async {
        let fleet = TestFleet::start(2).await;
        let mut engine = fleet.register_version("engines", "e1", "v1").await;
        let first = &fleet.entries[0].daemon;
        let (reader, stream) = start_stream(first, "r1", &mut engine).await;
        drop((reader, stream));
        fleet.control.announce_leaving("e1").await;
        let other = answer_all(fleet.register_version("engines", "e2", "v2").await, "engines");

        let refused = fleet.entries[1].daemon.take_up("/recap/", "r2", "r1", 3).await;
        let same = answer_all(fleet.register_version("engines", "e3", "v1").await, "engines");
        let taken_up = fleet.entries[1].daemon.take_up("/recap/", "r3", "r1", 3).await;

        expect_that!(outcome(&refused), some(eq("version_unavailable")));
        expect_that!(text(taken_up).await, ok(ends_with(&events_to(5)[events_to(3).len()..])));
        expect_that!((other.all(), same.all()), eq(&(vec![], vec!["r3".to_owned()])));
    });
}

#[gtest]
fn stream_is_taken_up_at_the_same_entry() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut engine = daemon.register_version("engines", "e1", "v1").await;
        let (reader, stream) = start_stream(&daemon, "r1", &mut engine).await;
        drop((reader, stream));
        let other = answer_all(daemon.register_version("engines", "e2", "v2").await, "engines");
        let same = answer_all(engine, "engines");

        let taken_up = daemon.take_up("/recap/", "r2", "r1", 3).await;

        expect_that!(text(taken_up).await, ok(eq(&events_to(5)[events_to(3).len()..])));
        expect_that!((other.all(), same.all()), eq(&(vec![], vec!["r2".to_owned()])));
        let counted = "trayswitch_streams_taken_up_total{origin=\"known\",service=\"engines\"}";
        expect_that!(daemon.metric(counted), some(eq(1)));
    });
}

#[gtest]
fn stream_whose_origin_is_unknown_is_refused_and_not_run() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut engine = daemon.register_version("engines", "e1", "v1").await;
        let (reader, stream) = start_stream(&daemon, "r1", &mut engine).await;
        drop((reader, stream));
        let engine = answer_all(engine, "engines");
        let last = (LAST_EVENT, "3");
        let cases = [
            ("/recap/", "names no attempt", vec![last]),
            ("/recap/", "names nothing", vec![last, (RESUMES, "")]),
            ("/recap/", "names itself", vec![last, (RESUMES, "names itself")]),
            ("/recap/", "names one that never was", vec![last, (RESUMES, "r0")]),
            ("/recap/", "has no event of it", vec![(RESUMES, "r0")]),
            ("/chat/", "names one of another route", vec![last, (RESUMES, "r1")]),
        ];

        for (path, id, headers) in cases {
            let refused = daemon.send_with(path, id, &headers).await;

            expect_that!(outcome(&refused), some(eq("origin_unknown")), "{id}");
        }

        expect_that!(engine.all(), len(eq(0)));
    });
}

#[gtest]
fn restarted_stream_goes_on_at_another_endpoint_of_its_version() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut engine = daemon.register_version("engines", "e1", "v1").await;
        let (reader, stream) = start_stream(&daemon, "r1", &mut engine).await;
        let other = answer_all(daemon.register_version("engines", "e2", "v2").await, "engines");
        let same = answer_all(daemon.register_version("engines", "e3", "v1").await, "engines");

        stream.abort().await;

        expect_that!(reader.read_rest().await, ok(eq(&events_to(5))));
        expect_that!((other.all(), same.all()), eq(&(vec![], vec!["r1".to_owned()])));
    });
}

#[gtest]
fn stream_is_not_taken_up_at_a_later_run_of_its_endpoint() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut engine = daemon.register_run("engines", "e1", 5).await;
        let (reader, stream) = start_stream(&daemon, "r1", &mut engine).await;
        drop((reader, stream));

        let (same_run, _) = join!(daemon.take_up("/recap/", "r2", "r1", 3), async {
            engine.next_arrival().await.stream_all(4..=5).await
        });
        // Its heartbeat has not come yet.
        engine.set_started_at(6);
        let later_run = daemon.take_up("/recap/", "r3", "r1", 3).await;

        expect_that!(text(same_run).await, ok(anything()));
        expect_that!(outcome(&later_run), some(eq("endpoint_refused")));
        expect_true!(engine.is_idle());
    });
}

#[gtest]
fn stream_placed_without_a_scheduler_does_not_begin_at_an_unknown_run() {
    run_test(async {
        let daemon = TestDaemon::without_scheduler().await;
        let later_run = daemon.register_run("engines", "e1", 5).await;
        later_run.set_started_at(6);
        later_run.set_capacity(0, true);
        let later_run = answer_all(later_run, "engines");

        let (answer, known_run) = join!(daemon.send("/recap/", "r1"), async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            answer_all(daemon.register_run("engines", "e2", 5).await, "engines")
        });

        expect_that!(text(answer).await, ok(eq(&events_to(5))));
        expect_that!((later_run.all(), known_run.all()), eq(&(vec![], vec!["r1".to_owned()])));
    });
}

/// A daemon that does not know yet that its only engine has started again under its name.
async fn with_unnoticed_start() -> (TestDaemon, FakeEndpoint) {
    let daemon = TestDaemon::open().await;
    let engine = daemon.register_run("engines", "e1", 1).await;
    engine.set_started_at(2);
    (daemon, engine)
}

// Guards against recording the version of a run that has ended as the origin of its successor's streams.
#[gtest]
fn stream_of_a_run_that_is_not_known_yet_is_not_taken_up() {
    run_test(async {
        let (daemon, mut engine) = with_unnoticed_start().await;
        let (_reader, _stream) = start_stream(&daemon, "r1", &mut engine).await;
        daemon.wait_for_metric(&origins_metric("replaced"), 1).await;
        let former = answer_all(daemon.register_run("engines", "e2", 1).await, "engines");

        let taken_up = daemon.take_up("/recap/", "r2", "r1", 3).await;

        expect_that!(outcome(&taken_up), some(eq("origin_unknown")));
        expect_that!(former.all(), len(eq(0)));
    });
}

#[gtest]
fn stream_of_a_run_that_is_not_known_yet_is_not_restarted_elsewhere() {
    run_test(async {
        let (daemon, mut engine) = with_unnoticed_start().await;
        let (reader, stream) = start_stream(&daemon, "r1", &mut engine).await;
        let former = answer_all(daemon.register_run("engines", "e2", 1).await, "engines");

        stream.abort().await;

        expect_that!(reader.read_rest().await, err(anything()));
        expect_that!(former.all(), len(eq(0)));
    });
}

#[gtest]
fn stream_of_a_run_that_is_not_known_yet_is_not_relocated() {
    run_test(async {
        let (daemon, mut engine) = with_unnoticed_start().await;
        let (_reader, _stream) = start_stream(&daemon, "r1", &mut engine).await;
        let _former = daemon.register_run("engines", "e2", 1).await;

        daemon.announce_leaving("e1").await;
        daemon.wait_for_metric("trayswitch_moves_total{end=\"failed\"}", 1).await;

        expect_true!(engine.has_no_pending_copy());
    });
}

// Guards against taking an endpoint that does not tell its start for another run.
#[gtest]
fn run_that_does_not_tell_its_start_is_unknown() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut engine = daemon.register_run("engines", "e1", 1).await;
        engine.set_started_at(0);

        let (_reader, _stream) = start_stream(&daemon, "r1", &mut engine).await;
        daemon.wait_for_metric(&origins_metric("unknown"), 1).await;

        expect_that!(daemon.metric(&origins_metric("replaced")), none());
    });
}

#[gtest]
fn stream_is_taken_up_once_its_run_is_confirmed() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut engine = daemon.register_run("engines", "e1", 1).await;
        drop(start_stream(&daemon, "r1", &mut engine).await);
        daemon.wait_for_metric(&origins_metric("confirmed"), 1).await;

        let (taken_up, last) = join!(daemon.take_up("/recap/", "r2", "r1", 3), async {
            engine.next_arrival().await.stream_all(4..=5).await
        });

        expect_that!(text(taken_up).await, ok(ends_with(&events_to(5)[events_to(3).len()..])));
        expect_that!(last, some(eq(3)));
    });
}

pub(super) fn origins_metric(end: &str) -> String {
    format!("trayswitch_stream_origins_total{{end=\"{end}\",service=\"engines\"}}")
}
