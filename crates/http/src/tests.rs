//! Tests of the event reader.

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

fn read(bytes: &[u8]) -> Vec<std::result::Result<Event, EventError>> {
    let reader: Box<dyn Read + Send> = Box::new(Cursor::new(bytes.to_vec()));
    EventReader::new(reader).take(10_000).collect()
}

/// Gives its bytes in pieces of the given sizes, in turn.
struct Pieces {
    bytes: Cursor<Vec<u8>>,
    sizes: Vec<usize>,
    next: usize,
}

impl Read for Pieces {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let size = self.sizes[self.next % self.sizes.len()].min(buf.len());
        self.next += 1;
        self.bytes.read(&mut buf[..size])
    }
}

#[gtest]
fn an_event_without_its_empty_line_is_not_given() {
    let events = read(b"id: 1\ndata: a\n\nid: 2\ndata: b");

    expect_that!(events.len(), eq(1));
    expect_that!(events[0].as_ref().unwrap().id, eq("1"));
}

#[gtest]
fn an_endless_event_is_an_error_in_bounded_memory() {
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
    fn events_are_whole_however_the_bytes_are_cut(
        texts in proptest::collection::vec("[a-zé ]{1,12}", 1..8),
        sizes in proptest::collection::vec(1usize..9, 1..5),
    ) {
        let wire: String =
            texts.iter().enumerate().map(|(i, t)| format!("id: {i}\ndata: {t}\n\n")).collect();
        let pieces = Pieces { bytes: Cursor::new(wire.into_bytes()), sizes, next: 0 };

        let events: Vec<Event> = EventReader::new(Box::new(pieces)).map(|e| e.unwrap()).collect();

        let data: Vec<&str> = events.iter().map(|e| e.data.as_str()).collect();
        let expected: Vec<&str> = texts.iter().map(|t| t.as_str()).collect();
        prop_assert_eq!(data, expected);
        prop_assert!(events.iter().enumerate().all(|(i, e)| e.id == i.to_string()));
    }

    #[test]
    fn any_bytes_end_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        read(&bytes);
    }
}

/// Sends one request on a connection that stays open, and returns whether it was answered.
fn request(mut socket: &TcpStream) -> bool {
    socket.write_all(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n").unwrap();
    let mut buf = [0; 64];
    socket.read(&mut buf).is_ok_and(|n| buf[..n].starts_with(b"HTTP/1.1 200"))
}

#[gtest]
fn a_burst_is_answered_though_earlier_connections_stay_open() {
    const BURSTS: usize = 200;
    const BURST: usize = 24;
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
        let sockets: Vec<TcpStream> = (0..BURST).map(connect).collect();
        answered += thread::scope(|scope| {
            let ask = |socket| scope.spawn(move || request(socket));
            let asked: Vec<_> = sockets.iter().map(ask).collect();
            asked.into_iter().map(|t| t.join().unwrap()).filter(|ok| *ok).count()
        });
    }

    expect_that!(answered, eq(BURSTS * BURST));
}
