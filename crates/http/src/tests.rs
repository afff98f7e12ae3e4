//! Tests of the event reader and the listener.

use std::{
    io::{self, Cursor, Read, Write},
    net::TcpStream,
    sync::Arc,
    thread,
    time::Duration,
};

use googletest::prelude::*;
use proptest::{prelude::*, test_runner::RngSeed};

use super::*;

fn read_events(bytes: &[u8]) -> Vec<std::result::Result<Event, EventError>> {
    let reader: Box<dyn Read + Send> = Box::new(Cursor::new(bytes.to_vec()));
    EventReader::new(reader).take(10_000).collect()
}

/// Returns its bytes in reads of the given sizes, cyclically.
struct ShortReader {
    bytes: Cursor<Vec<u8>>,
    sizes: Vec<usize>,
    next: usize,
}

impl Read for ShortReader {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let size = self.sizes[self.next % self.sizes.len()].min(buf.len());
        self.next += 1;
        self.bytes.read(&mut buf[..size])
    }
}

#[gtest]
fn incomplete_event_is_dropped() {
    let events = read_events(b"id: 1\ndata: a\n\nid: 2\ndata: b");

    expect_that!(events.len(), eq(1));
    expect_that!(events[0].as_ref().unwrap().id, eq("1"));
}

#[gtest]
fn endless_event_fails_in_bounded_memory() {
    struct Endless;
    impl Read for Endless {
        fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
            buf.fill(b'x');
            Ok(buf.len())
        }
    }

    let first = EventReader::new(Box::new(Endless)).next();

    expect_that!(first, some(err(anything())));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn events_do_not_depend_on_read_sizes(
        texts in proptest::collection::vec("[a-zé ]{1,12}", 1..8),
        sizes in proptest::collection::vec(1usize..9, 1..5),
    ) {
        let wire: String =
            texts.iter().enumerate().map(|(i, t)| format!("id: {i}\ndata: {t}\n\n")).collect();
        let reader = ShortReader { bytes: Cursor::new(wire.into_bytes()), sizes, next: 0 };

        let events: Vec<Event> = EventReader::new(Box::new(reader)).map(|e| e.unwrap()).collect();

        let data: Vec<&str> = events.iter().map(|e| e.data.as_str()).collect();
        let expected: Vec<&str> = texts.iter().map(|t| t.as_str()).collect();
        prop_assert_eq!(data, expected);
        prop_assert!(events.iter().enumerate().all(|(i, e)| e.id == i.to_string()));
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        read_events(&bytes);
    }
}

/// Sends a request, leaves the connection open and returns whether status 200 was received.
fn send_request(mut socket: &TcpStream) -> bool {
    socket.write_all(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n").unwrap();
    let mut buf = [0; 64];
    socket.read(&mut buf).is_ok_and(|n| buf[..n].starts_with(b"HTTP/1.1 200"))
}

#[gtest]
fn burst_is_answered_despite_open_connections() {
    const BURSTS: usize = 200;
    const BURST_SIZE: usize = 24;
    let handle = |req| drop(respond_json(req, 200, &[], &1));
    let address = "127.0.0.1:0".parse().unwrap();
    let server = HttpServer::bind(address, SocketTimeouts::default(), Arc::new(handle)).unwrap();
    let mut answered = 0;
    for _ in 0..BURSTS {
        let connect = |_| {
            let socket = TcpStream::connect(server.address()).unwrap();
            socket.set_read_timeout(Some(Duration::from_secs(4))).unwrap();
            socket
        };
        let sockets: Vec<TcpStream> = (0..BURST_SIZE).map(connect).collect();
        answered += thread::scope(|scope| {
            let spawn_request = |socket| scope.spawn(move || send_request(socket));
            let threads: Vec<_> = sockets.iter().map(spawn_request).collect();
            threads.into_iter().map(|t| t.join().unwrap()).filter(|ok| *ok).count()
        });
    }

    expect_that!(answered, eq(BURSTS * BURST_SIZE));
}
