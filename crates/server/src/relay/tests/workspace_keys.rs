//! Keys that a configuration takes away from a workspace, or passes on, while requests with them run.

use googletest::prelude::*;
use tokio::join;
use trayswitch_core::config::key_digest;

use super::{
    fake_endpoint::{FakeEndpoint, Stream, events_to},
    protocol::{KEY, LAST_EVENT, RESUMES},
    response::{ResponseReader, outcome, text},
    test_daemon::{TestDaemon, run_test},
};
use crate::upstream::OpenAnswer;

const CALLERS_KEY: &str = "key-1";
/// Routes that need a key.
const ROUTES: &str = "
[route private-chat]
host = host
path_prefix = /private-chat/
services = engines:1
kind = generation
timeout = 600s
target_latency = 600s
max_attempts = 1
tier = all
[route private-recap]
host = host
path_prefix = /private-recap/
services = engines:1
kind = resumable_generation
timeout = 600s
target_latency = 600s
max_attempts = 2
tier = all
[route private-call]
host = host
path_prefix = /private-call/
services = desk:1
kind = repeatable
timeout = 600s
target_latency = 600s
max_attempts = 2
tier = all
";

/// Who holds the caller's key.
#[derive(Debug, Clone, Copy)]
enum Holder {
    First,
    Second,
    Nobody,
    /// Neither does anybody hold another key: there are no workspaces.
    NoWorkspace,
}

async fn configure(daemon: &TestDaemon, version: u64, holder: Holder) {
    let workspace = |name, own_key, holds_key| {
        let keys = [own_key, CALLERS_KEY].into_iter().take(1 + usize::from(holds_key));
        let keys = keys.map(key_digest).collect::<Vec<String>>().join(", ");
        format!("[workspace {name}]\ntier = all\nkey_sha256 = {keys}\n")
    };
    let mut sections = vec![ROUTES.to_owned()];
    if !matches!(holder, Holder::NoWorkspace) {
        sections.push(workspace("w1", "key-2", matches!(holder, Holder::First)));
        sections.push(workspace("w2", "key-3", matches!(holder, Holder::Second)));
    }
    daemon.reconfigure(version, &sections.concat()).await;
}

/// A daemon whose first workspace holds the caller's key.
async fn open() -> TestDaemon {
    let daemon = TestDaemon::open().await;
    configure(&daemon, 2, Holder::First).await;
    daemon
}

async fn send(daemon: &TestDaemon, path: &str, id: &str) -> OpenAnswer {
    daemon.send_with(path, id, &[(KEY, CALLERS_KEY)]).await
}

/// Sends a generation whose first event is its engine's.
async fn start_stream(
    daemon: &TestDaemon,
    path: &str,
    engine: &mut FakeEndpoint,
) -> (ResponseReader, Stream) {
    let (answer, stream) = join!(send(daemon, path, "r1"), async {
        let stream = engine.next_arrival().await.stream();
        stream.send_events(1..=1).await;
        stream
    });
    let mut reader = ResponseReader::new(answer);
    reader.read_to(1).await;
    (reader, stream)
}

/// The response to a generation that waits while the caller's key gets another holder.
async fn answer_after_change(path: &str, holder: Holder) -> OpenAnswer {
    let daemon = open().await;
    let mut engine = daemon.register_with_slots("engines", "e1", 1).await;
    let (_reader, stream) = start_stream(&daemon, path, &mut engine).await;
    let serve = async {
        daemon.wait_for_in_progress(2).await;
        configure(&daemon, 3, holder).await;
        stream.finish();
        engine.next_arrival().await.stream_all(1..=5).await;
    };
    tokio::select! {
        answer = send(&daemon, path, "r2") => answer,
        () = async { serve.await; std::future::pending().await } => unreachable!(),
    }
}

// Guards against taking a key that was passed on for one that was revoked.
#[gtest]
fn queued_generation_runs_after_its_key_is_passed_on() {
    let text =
        run_test(async { text(answer_after_change("/private-chat/", Holder::Second).await).await });

    expect_that!(text, ok(eq(&events_to(5))));
}

// Guards against running requests whose key went with the last workspace.
#[gtest]
fn queued_generation_is_refused_after_its_key_is_revoked() {
    for holder in [Holder::Nobody, Holder::NoWorkspace] {
        let answer = run_test(answer_after_change("/private-chat/", holder));

        expect_that!(outcome(&answer), some(eq("unauthorized")), "{holder:?}");
    }
}

/// Sends a call with the key that a workspace held, with another key and without one; returns what
/// was served.
async fn served_keys(daemon: &TestDaemon, path: &str) -> [bool; 3] {
    let mut desk = daemon.register("desk", "e1").await;
    let serve = async {
        loop {
            desk.next_arrival().await.answer(200, "done");
        }
    };
    let keys: [&[(&str, &str)]; 3] = [&[(KEY, CALLERS_KEY)], &[(KEY, "key-of-nobody")], &[]];
    let send_all = async {
        let mut served = [false; 3];
        for (i, key) in keys.iter().enumerate() {
            let answer = daemon.send_with(path, &format!("r{i}"), key).await;
            served[i] = outcome(&answer).is_none();
        }
        served
    };
    tokio::select! {
        served = send_all => served,
        () = serve => unreachable!(),
    }
}

// Guards against a deployment that is open to everybody once its last workspace is removed.
#[gtest]
fn no_key_is_valid_once_the_last_workspace_is_removed() {
    let served = |path, keys_required| {
        run_test(async {
            let daemon = open().await;
            match keys_required {
                true => configure(&daemon, 3, Holder::NoWorkspace).await,
                false => daemon.reconfigure_without_keys(3, ROUTES).await,
            }
            served_keys(&daemon, path).await
        })
    };

    expect_that!(served("/private-call/", true), eq([false, false, false]));
    expect_that!(served("/private-call/", false), eq([false, false, true]));
    expect_that!(served("/again/", true), eq([true, true, true]));
}

// Guards against refusing a queued request that would be admitted if it came now.
#[gtest]
fn queued_generation_on_public_route_runs_after_its_key_is_revoked() {
    let text = run_test(async { text(answer_after_change("/chat/", Holder::Nobody).await).await });

    expect_that!(text, ok(eq(&events_to(5))));
}

// Guards against calls that are not retried after their key is passed on.
#[gtest]
fn failed_call_is_retried_after_its_key_is_passed_on() {
    run_test(async {
        let daemon = open().await;
        let mut desk = daemon.register("desk", "e1").await;

        let (answer, ()) = join!(send(&daemon, "/private-call/", "r1"), async {
            let arrival = desk.next_arrival().await;
            let mut other = daemon.register("desk", "e2").await;
            configure(&daemon, 3, Holder::Second).await;
            arrival.answer(500, "failed");
            other.next_arrival().await.answer(200, "done");
        });

        expect_that!(text(answer).await, ok(eq("done")));
    });
}

// Guards against streams that are not restarted after their key is passed on.
#[gtest]
fn broken_stream_is_restarted_after_its_key_is_passed_on() {
    run_test(async {
        let daemon = open().await;
        let mut engine = daemon.register("engines", "e1").await;
        let (reader, stream) = start_stream(&daemon, "/private-recap/", &mut engine).await;
        let mut other = daemon.register("engines", "e2").await;
        configure(&daemon, 3, Holder::Second).await;

        let (text, after) = join!(reader.read_rest(), async {
            stream.abort().await;
            other.next_arrival().await.stream_all(2..=5).await
        });

        expect_that!(text, ok(eq(&events_to(5))));
        expect_that!(after, some(eq(1)));
    });
}

// Guards against streams whose origin is forgotten once their key is passed on.
#[gtest]
fn stream_is_taken_up_after_its_key_is_passed_on() {
    run_test(async {
        let daemon = open().await;
        let mut engine = daemon.register("engines", "e1").await;
        drop(start_stream(&daemon, "/private-recap/", &mut engine).await);
        configure(&daemon, 3, Holder::Second).await;

        let headers = [(KEY, CALLERS_KEY), (RESUMES, "r1"), (LAST_EVENT, "1")];
        let (answer, after) = join!(daemon.send_with("/private-recap/", "r2", &headers), async {
            engine.next_arrival().await.stream_all(2..=5).await
        });

        expect_that!(text(answer).await, ok(ends_with(&events_to(5)[events_to(1).len()..])));
        expect_that!(after, some(eq(1)));
    });
}
