//! Endpoints and callers whose heads or bodies never end.

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use googletest::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::{
    protocol::ID,
    raw_endpoint::RawEndpoint,
    response::{outcome, text},
    test_daemon::{MAX_BUFFERED, TestDaemon, run_test},
    test_fleet::answer_all,
};

/// What an endpoint writes first, with `{id}` for the id of the request, and then again and again.
#[derive(Clone, Copy)]
struct Endless {
    start: &'static str,
    rest: &'static str,
}

const HEAD: Endless = Endless { start: "HTTP/1.1 200 OK\r\n", rest: "x: xxxxxxxxxxxxxxxx\r\n" };
const INTERIM: Endless = Endless { start: "", rest: "HTTP/1.1 102 Processing\r\n\r\n" };
const BODY: Endless =
    Endless { start: "HTTP/1.1 200 OK\r\n{id}\r\n\r\n", rest: "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxx" };
const ERROR_BODY: Endless = Endless {
    start: "HTTP/1.1 500 Internal Server Error\r\n{id}\r\n\r\n",
    rest: "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxx",
};
const CHUNKED: &str = "HTTP/1.1 200 OK\r\n{id}\r\ntransfer-encoding: chunked\r\n\r\n";
const CHUNK_SIZE: Endless = Endless { start: CHUNKED, rest: "0000000000000000" };
const CHUNK_EXTENSION: Endless = Endless {
    start: "HTTP/1.1 200 OK\r\n{id}\r\ntransfer-encoding: chunked\r\n\r\n1;",
    rest: "xxxxxxxxxxxxxxxx",
};
const TRAILERS: Endless = Endless {
    start: "HTTP/1.1 200 OK\r\n{id}\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
    rest: "x: xxxxxxxxxxxx\r\n",
};
const EVENTS: Endless = Endless { start: "HTTP/1.1 200 OK\r\n{id}\r\n\r\n", rest: "data: x\n\n" };
const COMMENTS: Endless = Endless { start: "HTTP/1.1 200 OK\r\n{id}\r\n\r\n", rest: ":\n\n" };

/// Writes responses without end.
struct EndlessEndpoint {
    /// Connections that still write.
    writing: Rc<Cell<usize>>,
}

impl EndlessEndpoint {
    async fn open(daemon: &TestDaemon, service: &str, name: &str, endless: Endless) -> Self {
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let listener = TcpListener::bind(any).await.unwrap();
        daemon.register_address(service, name, listener.local_addr().unwrap()).await;
        let writing = Rc::new(Cell::new(0));
        let endpoint = EndlessEndpoint { writing: writing.clone() };
        tokio::task::spawn_local(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let writing = writing.clone();
                tokio::task::spawn_local(async move {
                    writing.set(writing.get() + 1);
                    write_endlessly(socket, endless).await;
                    writing.set(writing.get() - 1);
                });
            }
        });
        endpoint
    }
}

/// Responds to a request until the connection is closed.
async fn write_endlessly(mut socket: TcpStream, endless: Endless) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        if socket.read_buf(&mut head).await.unwrap_or(0) == 0 {
            return;
        }
    }
    let head = String::from_utf8(head).unwrap();
    let id = head.lines().find(|line| line.starts_with(ID)).unwrap_or("x: y");
    let start = endless.start.replace("{id}", id);
    let _ = socket.write_all(start.as_bytes()).await;
    let rest = endless.rest.repeat(1_000);
    while socket.write_all(rest.as_bytes()).await.is_ok() {}
}

/// Sends a request on `path` to an endpoint that never ends; returns the error that it ends with, once
/// the endpoint's connection is closed.
async fn end_of(service: &str, path: &str, endless: Endless) -> Option<String> {
    let daemon = TestDaemon::open().await;
    let endpoint = EndlessEndpoint::open(&daemon, service, "e1", endless).await;
    let answer = daemon.send(path, "r1").await;
    let end = match outcome(&answer) {
        Some(outcome) => Some(outcome),
        None => text(answer).await.err(),
    };
    daemon.wait_until(|| endpoint.writing.get() == 0).await;
    end
}

#[gtest]
fn calls_with_endless_heads_and_bodies_end() {
    for endless in [HEAD, INTERIM, BODY, ERROR_BODY, CHUNK_SIZE, CHUNK_EXTENSION, TRAILERS] {
        let end = run_test(end_of("desk", "/once/x", endless));

        expect_that!(end, some(eq("outcome_unknown")), "{}", endless.start);
    }
}

#[gtest]
fn generations_with_endless_heads_and_error_bodies_end() {
    for endless in [HEAD, INTERIM, ERROR_BODY] {
        let end = run_test(end_of("engines", "/chat/x", endless));

        expect_that!(end, some(eq("outcome_unknown")), "{}", endless.start);
    }
}

// Prompts of tests ask for at most 2,000 tokens.
#[gtest]
fn streams_that_go_on_beyond_what_was_asked_for_are_broken_off() {
    for endless in [EVENTS, COMMENTS, BODY, CHUNK_SIZE, CHUNK_EXTENSION, TRAILERS] {
        let end = run_test(end_of("engines", "/chat/x", endless));

        expect_that!(end, some(not(contains_substring("the body is longer"))), "{}", endless.rest);
    }
}

#[gtest]
fn repeatable_call_with_an_endless_head_is_served_by_another_endpoint() {
    for endless in [HEAD, INTERIM, BODY] {
        let served = run_test(async {
            let daemon = TestDaemon::open().await;
            let _endless = EndlessEndpoint::open(&daemon, "desk", "e1", endless).await;
            answer_all(daemon.register("desk", "e2").await, "desk");
            let mut served = Vec::new();
            for n in 0..4 {
                served.push(text(daemon.send("/again/x", &format!("r{n}")).await).await);
            }
            served
        });

        expect_that!(served, each(ok(eq("done"))), "{}", endless.start);
    }
}

#[gtest]
fn endless_bodies_together_stay_within_the_memory_budget() {
    let (ends, buffered) = run_test(async {
        let daemon = TestDaemon::open().await;
        let _endless = EndlessEndpoint::open(&daemon, "desk", "e1", BODY).await;
        let requests = (0..20).map(|n| {
            let (daemon, id) = (&daemon, format!("r{n}"));
            async move { outcome(&daemon.send("/once/x", &id).await) }
        });
        let ends = futures_util::future::join_all(requests).await;
        (ends, daemon.metric("trayswitch_buffered_bytes_peak"))
    });

    expect_that!(ends, each(some(eq("outcome_unknown"))));
    expect_that!(buffered, some(all!(gt(0), le(MAX_BUFFERED as u64))));
}

// Guards against heads that are bounded each, and together take all of the VM's memory.
#[gtest]
fn heads_that_do_not_end_together_leave_room_for_other_callers() {
    const HEAD_BYTES: usize = 48 * 1_024;
    const HEADS: usize = 2 * MAX_BUFFERED / HEAD_BYTES;
    let (held, served) = run_test(async {
        let daemon = TestDaemon::open().await;
        answer_all(daemon.register("engines", "e1").await, "engines");
        let mut stalled = RawEndpoint::open(&daemon, "desk", "e2").await;
        let mut connections = Vec::new();
        let refused = futures_util::future::join_all((0..HEADS).map(|n| {
            let (daemon, id) = (&daemon, format!("r{n}"));
            async move { outcome(&daemon.send("/once/x", &id).await) }
        }));
        tokio::pin!(refused);
        let head = format!("HTTP/1.1 200 OK\r\nx: {}", "x".repeat(HEAD_BYTES));
        while connections.len() < HEADS {
            tokio::select! {
                _ = &mut refused => break,
                mut response = stalled.next_request() => {
                    // The daemon closes those that it has no room for.
                    response.try_send_bytes(head.as_bytes()).await;
                    connections.push(response);
                }
            }
        }
        let held = || daemon.metric("trayswitch_buffered_bytes").unwrap_or(0) as usize;
        daemon.wait_until(|| MAX_BUFFERED / 3 < held()).await;
        (held(), text(daemon.send("/chat/x", "other").await).await)
    });

    expect_that!(held, le(MAX_BUFFERED / 2 + HEAD_BYTES));
    expect_that!(served, ok(anything()));
}

/// Sends the head of a request with a body of `length` bytes and this much of the body.
async fn begin_body(daemon: &TestDaemon, id: &str, length: usize, sent: usize) -> TcpStream {
    let mut socket = TcpStream::connect(daemon.address()).await.unwrap();
    let head = format!(
        "POST /once/x HTTP/1.1\r\nhost: host\r\n{ID}: {id}\r\ncontent-length: {length}\r\n\r\n"
    );
    socket.write_all(head.as_bytes()).await.unwrap();
    socket.write_all(&vec![b'x'; sent]).await.unwrap();
    socket
}

// Bodies that callers do not end take up the budget, and the next request is told so.
#[gtest]
fn endless_request_bodies_together_stay_within_the_memory_budget() {
    /// A body under the limit for each, of which two fit into the half for large ones.
    const LENGTH: usize = 900 * 1_024;
    let (answer, buffered) = run_test(async {
        let daemon = TestDaemon::open().await;
        let mut unfinished = Vec::new();
        for n in 0..2 {
            unfinished.push(begin_body(&daemon, &format!("r{n}"), LENGTH, LENGTH - 1).await);
        }
        let both = 2 * (LENGTH as u64 - 1);
        daemon.wait_until(|| daemon.metric("trayswitch_buffered_bytes") == Some(both)).await;

        let mut refused = begin_body(&daemon, "r3", LENGTH, LENGTH / 2).await;
        let mut answer = Vec::new();
        refused.read_buf(&mut answer).await.unwrap();
        (String::from_utf8(answer).unwrap(), daemon.metric("trayswitch_buffered_bytes_peak"))
    });

    expect_that!(answer, contains_substring("overloaded"));
    expect_that!(buffered, some(le(MAX_BUFFERED as u64)));
}
