//! Clients read their answers slowly, but steadily and well within their deadline.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use super::{Config, HOST, runners, serving, sleep_ms};
use crate::{
    http::{self, Reader},
    record::Record,
    runner::{self, Answer},
};

const CLIENTS: usize = 6;
const LARGE: usize = 512 * 1024;
/// What a client reads at a time, and how long it takes over it: 16 kB a second, 32 s for the answer.
const PIECE: usize = 8 * 1024;
const PIECE_MS: u64 = 500;
/// More than three closes break the rule.
const ALLOWED: usize = 3;

pub fn play(root: &Path, trouble: bool, record: &Record) -> io::Result<bool> {
    let config = Config::new(1)
        .route("/hold/", "unsafe", "desk", "60000", "")
        .service("desk")
        .tenant("t-1", "key-of-t-1");
    let fleet = serving(root, 1, &config, record)?;
    let answer: Arc<Answer> = Arc::new(|req, writer| {
        let size = if req.path().ends_with("large") { LARGE } else { 800 };
        runner::success(req, writer, &vec![b'x'; size])
    });
    let _runners = runners(&fleet, "desk", 0, 2, record, answer)?;
    let front = fleet.front(1);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|i| {
            let record = record.clone();
            thread::spawn(move || read(front, i, trouble, &record))
        })
        .collect();
    let mut closed = 0;
    for client in clients {
        closed += usize::from(!client.join().map_err(|_| io::Error::other("a client failed"))??);
    }
    record.line(&format!(
        "{closed} of {CLIENTS} kept connections were closed without a whole answer"
    ));
    Ok(ALLOWED < closed)
}

/// Sends a small request and then one with a large answer on the same connection; returns whether the
/// large answer came whole.
fn read(front: SocketAddr, i: usize, slowly: bool, record: &Record) -> io::Result<bool> {
    let mut socket = TcpStream::connect(front)?;
    socket.set_read_timeout(Some(Duration::from_secs(30)))?;
    let req = |kind: &str| {
        let id = format!("client{i}-{kind}");
        let headers = [
            ("Host", HOST),
            ("X-Attempt-Id", id.as_str()),
            ("X-Deadline-Ms", "58000"),
            ("X-Credential", "key-of-t-1"),
        ];
        http::request("POST", &format!("/hold/{kind}"), &headers, b"x")
    };
    socket.write_all(&req("small"))?;
    let mut reader = Reader::new(socket.try_clone()?);
    let small = reader.message()?;
    if small.status() != 200 || small.body.len() != 800 {
        return Err(io::Error::other("the small request was not served"));
    }
    let began = Instant::now();
    socket.write_all(&req("large"))?;
    let head = reader.head()?;
    if head.status() != 200 {
        return Err(io::Error::other("the large request was not served"));
    }
    let mut got = reader.buf.len();
    let mut piece = vec![0; PIECE];
    let mut end = "whole".to_owned();
    while got < LARGE {
        if slowly {
            sleep_ms(PIECE_MS);
        }
        match socket.read(&mut piece) {
            Ok(0) => {
                end = "closed".to_owned();
                break;
            }
            Ok(n) => got += n,
            Err(e) => {
                end = e.to_string();
                break;
            }
        }
    }
    record.line(&format!(
        "client {i}: status 200, {got} of {LARGE} bytes after {} ms of its 58000: {end}",
        began.elapsed().as_millis()
    ));
    Ok(got == LARGE)
}
