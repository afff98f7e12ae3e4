//! Requests that a daemon has read when its planned stop begins.

use std::time::Duration;

use googletest::prelude::*;
use tokio::{io::AsyncWriteExt, join, net::TcpStream};

use super::{
    fake_endpoint::{Stream, events_to},
    response::{ResponseReader, outcome, text},
    test_daemon::{LIMIT, TestDaemon, run_test},
    test_fleet::TestFleet,
};
use crate::upstream::OpenAnswer;

/// The daemon ends so soon that nothing can begin any more.
const SOON: Duration = Duration::from_millis(100);
/// Shorter than a long generation.
const GRACE: Duration = Duration::from_secs(10);

/// A daemon whose only engine, with one slot, runs a generation.
async fn with_full_engine() -> (TestDaemon, ResponseReader, Stream) {
    let daemon = TestDaemon::open().await;
    let mut engine = daemon.register_with_slots("engines", "e1", 1).await;
    let (answer, stream) = join!(daemon.send("/chat/", "r1"), async {
        let stream = engine.next_arrival().await.stream();
        stream.send_events(1..=1).await;
        stream
    });
    (daemon, ResponseReader::new(answer), stream)
}

/// Sends a request and begins a stop once `count` requests are in progress.
async fn stop_during(daemon: &TestDaemon, path: &str, count: u64) -> OpenAnswer {
    let (answer, ()) = join!(daemon.send(path, "r2"), async {
        daemon.wait_for_in_progress(count).await;
        daemon.begin_stop(SOON);
    });
    answer
}

// Guards against a stop that closes the connections of queued requests without a response.
#[gtest]
fn queued_generation_is_refused_before_daemon_ends() {
    run_test(async {
        let (daemon, _reader, _stream) = with_full_engine().await;

        let answer = stop_during(&daemon, "/chat/", 2).await;

        expect_that!(outcome(&answer), some(eq("not_ready")));
    });
}

// Guards against holding a request to the daemon's end while another daemon could run it.
#[gtest]
fn queued_generation_is_refused_at_once_if_others_go_on() {
    run_test(async {
        let fleet = TestFleet::start(2).await;
        let entry = &fleet.entries[0].daemon;
        fleet.register_answering("desk", "e2").await;
        let mut engine = fleet.control.register_with_slots("engines", "e1", 1).await;
        entry.wait_until(|| entry.is_open("e1") == Some(true)).await;
        let (_running, _stream) = join!(entry.send("/chat/", "r1"), async {
            let stream = engine.next_arrival().await.stream();
            stream.send_events(1..=1).await;
            stream
        });

        let (answer, ()) = join!(entry.send("/chat/", "r2"), async {
            entry.wait_for_in_progress(2).await;
            entry.begin_stop(GRACE);
        });
        let call = entry.send("/once/", "r3").await;

        expect_that!(outcome(&answer), some(eq("not_ready")));
        expect_that!(text(call).await, ok(eq("done")));
    });
}

#[gtest]
fn queued_generation_runs_if_placed_before_daemon_ends() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut engine = daemon.register_with_slots("engines", "e1", 1).await;
        let (_running, stream) = join!(daemon.send("/recap/", "r1"), async {
            let stream = engine.next_arrival().await.stream();
            stream.send_events(1..=1).await;
            stream
        });

        let (answer, ()) = join!(daemon.send("/recap/", "r2"), async {
            daemon.wait_for_in_progress(2).await;
            daemon.begin_stop(LIMIT);
            stream.finish();
            engine.next_arrival().await.stream_all(1..=5).await;
        });

        expect_that!(text(answer).await, ok(eq(&events_to(5))));
    });
}

// Guards against calls that wait for a permit of a rate-limited endpoint and get no response.
#[gtest]
fn call_waiting_for_permit_is_refused_before_daemon_ends() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut endpoint = daemon.register("desk", "e1").await;
        for _ in 0..2 {
            let (answer, ()) = join!(daemon.send("/once/x", "r1"), async {
                endpoint.next_arrival().await.with_rate_limit(Some("0.01")).answer(200, "done");
            });
            expect_that!(text(answer).await, ok(eq("done")));
        }

        let answer = stop_during(&daemon, "/once/x", 1).await;

        expect_that!(outcome(&answer), some(eq("not_ready")));
    });
}

// Guards against a stop that closes the connection of a request whose body is still being read.
#[gtest]
fn request_with_incomplete_body_is_refused_before_daemon_ends() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut socket = TcpStream::connect(daemon.address()).await.unwrap();
        let head =
            b"POST /once/x HTTP/1.1\r\nhost: host\r\nx-id: r1\r\ncontent-length: 9\r\n\r\nhalf";
        socket.write_all(head).await.unwrap();
        daemon.wait_for_connection().await;

        daemon.begin_stop(SOON);
        let mut status = [0; 12];
        tokio::io::AsyncReadExt::read_exact(&mut socket, &mut status).await.unwrap();

        expect_that!(status, eq(*b"HTTP/1.1 503"));
    });
}

// Guards against a stop that closes the connection of a request whose outcome is unknown.
#[gtest]
fn sent_request_without_response_fails_before_daemon_ends() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut desk = daemon.register("desk", "e1").await;
        let mut engine = daemon.register("engines", "e2").await;

        let (call, generation, (_kept, _also_kept)) =
            join!(daemon.send("/once/x", "r1"), daemon.send("/chat/x", "r2"), async {
                let arrivals = (desk.next_arrival().await, engine.next_arrival().await);
                daemon.begin_stop(SOON);
                arrivals
            });

        expect_that!(outcome(&call), some(eq("outcome_unknown")));
        expect_that!(outcome(&generation), some(eq("outcome_unknown")));
    });
}
