//! Tests of the listener with real sockets.

use std::{cell::Cell, rc::Rc, time::Duration};

use googletest::prelude::*;
use http::{Request, Response};
use hyper::body::Incoming;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::LocalSet,
};
use trayswitch_clock::Instant;
use trayswitch_core::link::Direction;

use super::{Body, Bounds, Gate, Handler, LocalFuture, Server, bind, bind_gated, full};
use crate::{
    overload::{LinkMonitor, MAX_DELAY, OverloadMonitor, WINDOW},
    telemetry::Metrics,
};

/// Reached only on a failure.
const LIMIT: Duration = Duration::from_secs(60);

/// Answers everything with one word.
struct Word;

impl Handler for Word {
    fn handle(self: Rc<Self>, _: Request<Incoming>) -> LocalFuture<'static, Response<Body>> {
        Box::pin(async { Response::new(full("word")) })
    }

    fn bounds(&self) -> Bounds {
        Bounds {
            max_header: 16 * 1024,
            header_timeout: Duration::from_secs(60),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

fn on_local_tasks<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test)
}

fn server() -> Server {
    bind("127.0.0.1:0".parse().unwrap(), Rc::new(Word)).unwrap()
}

/// Sends text on a new connection and returns all that comes until the server closes it.
async fn say(server: &Server, text: &str) -> String {
    let mut socket = TcpStream::connect(server.address()).await.unwrap();
    socket.write_all(text.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    socket.read_to_end(&mut answer).await.unwrap();
    String::from_utf8(answer).unwrap()
}

#[gtest]
fn a_closed_server_takes_no_connection() {
    let outcome = on_local_tasks(async {
        let server = server();
        let before = say(&server, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").await;
        server.close();
        // The accepting task takes the order at its next turn.
        while TcpStream::connect(server.address()).await.is_ok() {
            tokio::task::yield_now().await;
        }
        before
    });

    expect_that!(outcome, contains_substring("word"));
}

#[gtest]
fn a_server_that_closes_ends_connections_that_rest() {
    let answer = on_local_tasks(async {
        let server = server();
        let mut socket = TcpStream::connect(server.address()).await.unwrap();
        socket.write_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n").await.unwrap();
        let mut first = [0; 12];
        socket.read_exact(&mut first).await.unwrap();
        server.close();
        let mut rest = Vec::new();
        socket.read_to_end(&mut rest).await.unwrap();
        String::from_utf8([first.to_vec(), rest].concat()).unwrap()
    });

    expect_that!(answer, contains_substring("word"));
}

#[gtest]
fn bytes_that_are_no_request_get_a_clear_answer_and_the_end() {
    let answer = on_local_tasks(async { say(&server(), "WHAT IS THIS\r\n\r\n").await });

    expect_that!(answer, starts_with("HTTP/1.1 400"));
}

#[gtest]
fn a_head_that_is_too_large_is_refused() {
    let head = format!("GET / HTTP/1.1\r\nHost: h\r\nX: {}\r\n\r\n", "a".repeat(64 * 1024));
    let answer = on_local_tasks(async { say(&server(), &head).await });

    expect_that!(answer, starts_with("HTTP/1.1 431"));
}

/// Blocks the thread again and again for longer than timers may be late.
async fn saturate_thread() {
    loop {
        std::thread::sleep(2 * MAX_DELAY);
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

async fn wait_until(monitor: &OverloadMonitor, is_overloaded: bool) {
    while monitor.is_overloaded() != is_overloaded {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[gtest]
fn saturated_daemon_closes_new_connections_unread() {
    let (shed, after) = on_local_tasks(async {
        let metrics = Rc::new(Metrics::new().unwrap());
        let link = LinkMonitor::spawn(None, metrics.clone());
        let monitor = OverloadMonitor::spawn(link, metrics.clone());
        let any = "127.0.0.1:0".parse().unwrap();
        let server = bind_gated(any, Rc::new(Word), monitor.clone()).unwrap();
        let req = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

        let load = tokio::task::spawn_local(saturate_thread());
        wait_until(&monitor, true).await;
        let mut socket = TcpStream::connect(server.address()).await.unwrap();
        let _ = socket.write_all(req.as_bytes()).await;
        let shed = socket.read_to_end(&mut Vec::new()).await.unwrap_or_default();
        load.abort();
        wait_until(&monitor, false).await;
        (shed, say(&server, req).await)
    });

    expect_that!(shed, eq(0));
    expect_that!(after, ends_with("word"));
}

#[gtest]
fn single_late_timer_sheds_nothing() {
    let metrics = Rc::new(Metrics::new().unwrap());
    let monitor = OverloadMonitor::new(LinkMonitor::new(None, metrics.clone()), metrics);
    let start = Instant::now();
    let minute = Duration::from_secs(60);

    monitor.record(minute, start);
    let after_one = monitor.is_overloaded();
    monitor.record(Duration::ZERO, start + WINDOW / 2);
    monitor.record(minute, start + WINDOW);

    expect_that!(after_one, eq(false));
    expect_that!(monitor.is_overloaded(), eq(false));
}

/// Fills a link of 1,000,000 bytes a second, in both directions, until dropped.
async fn fill_link(link: &LinkMonitor) {
    loop {
        link.on_transfer(Direction::Received, 10_000);
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// A server behind a link of 1,000,000 bytes a second.
fn server_behind_link() -> (Server, Rc<LinkMonitor>) {
    let metrics = Rc::new(Metrics::new().unwrap());
    let link = LinkMonitor::spawn(Some(1_000_000.0), metrics.clone());
    let monitor = OverloadMonitor::spawn(link.clone(), metrics);
    let server = bind_gated("127.0.0.1:0".parse().unwrap(), Rc::new(Word), monitor).unwrap();
    (server, link)
}

async fn wait_until_connections_are_taken(server: &Server, are_taken: bool) {
    while TcpStream::connect(server.address()).await.is_ok() != are_taken {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[gtest]
fn full_link_refuses_new_connections_until_it_has_room() {
    let answer = on_local_tasks(async {
        let (server, link) = server_behind_link();
        tokio::select! {
            () = fill_link(&link) => {}
            () = wait_until_connections_are_taken(&server, false) => {}
        }
        while 0.0 < link.rate() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        wait_until_connections_are_taken(&server, true).await;
        say(&server, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").await
    });

    expect_that!(answer, ends_with("word"));
}

#[gtest]
fn full_link_closes_open_connections_before_their_next_request() {
    let (first, second) = on_local_tasks(async {
        let (server, link) = server_behind_link();
        let req = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        let mut socket = TcpStream::connect(server.address()).await.unwrap();
        socket.write_all(req).await.unwrap();
        let mut first = [0; 12];
        socket.read_exact(&mut first).await.unwrap();
        while socket.try_read(&mut [0; 1_024]).is_ok() {}
        tokio::select! {
            () = fill_link(&link) => {}
            () = wait_until_connections_are_taken(&server, false) => {}
        }
        // The end is the same whether the request has crossed it or not.
        let _ = socket.write_all(req).await;
        (first, socket.read_to_end(&mut Vec::new()).await.unwrap_or_default())
    });

    expect_that!(&first[..], eq(b"HTTP/1.1 200"));
    expect_that!(second, eq(0));
}

#[gtest]
fn full_link_reads_the_first_request_of_an_accepted_connection() {
    let answer = on_local_tasks(async {
        let (server, link) = server_behind_link();
        let mut socket = TcpStream::connect(server.address()).await.unwrap();
        tokio::select! {
            () = fill_link(&link) => {}
            () = wait_until_connections_are_taken(&server, false) => {}
        }
        let req = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        let _ = socket.write_all(req).await;
        let mut answer = String::new();
        let _ = socket.read_to_string(&mut answer).await;
        answer
    });

    expect_that!(answer, ends_with("word"));
}

/// Notes after which time without acknowledged bytes the system ends a connection.
#[derive(Default)]
struct UserTimeout(Cell<Option<Duration>>);

impl Gate for UserTimeout {
    fn admit(&self, socket: TcpStream) -> LocalFuture<'static, eyre::Result<TcpStream>> {
        self.0.set(SockRef::from(&socket).tcp_user_timeout().unwrap());
        Box::pin(async { Ok(socket) })
    }
}

// Guards against callers who lose their responses because they read slowly: the system counts the time in which they
// have no room as time in which they are silent.
#[gtest]
fn system_ends_no_connection_whose_caller_reads_slowly() {
    let timeout = on_local_tasks(async {
        let gate = Rc::new(UserTimeout::default());
        let any = "127.0.0.1:0".parse().unwrap();
        let server = bind_gated(any, Rc::new(Word), gate.clone()).unwrap();
        say(&server, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").await;
        gate.0.get()
    });

    expect_that!(timeout, none());
}

/// Answers with more than a connection holds, for which nobody waits.
struct Large;

impl Handler for Large {
    fn handle(self: Rc<Self>, _: Request<Incoming>) -> LocalFuture<'static, Response<Body>> {
        Box::pin(async { Response::new(full(vec![b'x'; 64 << 20])) })
    }

    fn bounds(&self) -> Bounds {
        Bounds { idle_timeout: Duration::from_millis(100), ..Word.bounds() }
    }
}

#[gtest]
fn response_that_is_never_read_is_given_up() {
    on_local_tasks(async {
        let server = bind("127.0.0.1:0".parse().unwrap(), Rc::new(Large)).unwrap();
        let mut socket = TcpStream::connect(server.address()).await.unwrap();
        socket.write_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n").await.unwrap();
        socket.readable().await.unwrap();

        let closed = async {
            while 0 < server.open() {
                tokio::task::yield_now().await;
            }
        };

        tokio::time::timeout(LIMIT, closed).await.unwrap();
    });
}
