//! An entry is killed while it carries streams; their clients take them up at another entry.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::{Config, HOST, runners, serving, sleep_ms};
use crate::{
    http::{self, Message, Reader},
    record::Record,
    runner::{self, Answer},
};

const STREAMS: usize = 20;
const CALLS: usize = 100;
const EVENTS: u64 = 60;
const EVENT_MS: u64 = 100;
/// Pause between the starts of two streams.
const BETWEEN_MS: u64 = 100;
const DEADLINE: Duration = Duration::from_secs(20);
/// Take-ups of one stream: "a few".
const MAX_TRIES: usize = 8;

/// Writes the events after `Last-Event-Id`.
fn stream(req: &Message, writer: &mut TcpStream) -> io::Result<()> {
    let after = req.header("last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0u64);
    let id = req.header("x-attempt-id").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    writer.write_all(head.as_bytes())?;
    for n in after + 1..=EVENTS {
        let event = format!("id: {n}\ndata: piece {n}\n\n");
        writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        sleep_ms(EVENT_MS);
    }
    writer.write_all(b"0\r\n\r\n")
}

/// One try of a stream. Returns its status, the last event that came, when to come back, and whether the
/// stream ended whole.
fn one_try(
    front: SocketAddr,
    id: &str,
    session: usize,
    last: u64,
    left: Duration,
) -> (u16, u64, Option<f64>, bool) {
    let millis = left.as_millis().to_string();
    let parts = format!("5c1e07a2:50,{:x}:50", 0xa000 + session);
    let after = last.to_string();
    let mut headers = vec![
        ("Host", HOST),
        ("X-Attempt-Id", id),
        ("X-Deadline-Ms", millis.as_str()),
        ("X-Credential", "key-of-t-1"),
        ("X-Model-Name", "m"),
        ("X-Token-Count", "100,240"),
        ("X-Prefix-Hash", parts.as_str()),
    ];
    if 0 < last {
        headers.push(("Last-Event-Id", after.as_str()));
    }
    let mut last = last;
    let mut status = 0;
    let mut come_back = None;
    let whole = (|| -> io::Result<bool> {
        let mut socket = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        socket.set_read_timeout(Some(left))?;
        socket.write_all(&http::request("POST", "/chat/1", &headers, b"prompt"))?;
        let mut reader = Reader::new(socket);
        let head = reader.head()?;
        status = head.status();
        come_back = head.header("retry-after").and_then(|v| v.parse().ok());
        if status != 200 {
            reader.body(&head)?;
            return Ok(false);
        }
        while let Some(piece) = reader.chunk()? {
            for line in String::from_utf8_lossy(&piece).lines() {
                if let Some(n) = line.strip_prefix("id: ").and_then(|n| n.parse().ok()) {
                    last = n;
                }
            }
        }
        Ok(last == EVENTS)
    })();
    (status, last, come_back, whole.unwrap_or(false))
}

/// Plays one client: a stream at the first entry, and its take-ups at the second. Returns how many requests it
/// sent and whether it has got the whole stream.
fn client(fronts: [SocketAddr; 2], i: usize, record: &Record) -> (usize, bool) {
    let began = Instant::now();
    let mut last = 0;
    for try_number in 0..=MAX_TRIES {
        let left = DEADLINE.saturating_sub(began.elapsed());
        if left.is_zero() {
            return (try_number, false);
        }
        let id = format!("stream{i}-try{try_number}");
        let before = last;
        let front = fronts[usize::from(0 < try_number)];
        let (status, got, come_back, whole) = one_try(front, &id, i, before, left);
        last = got;
        record.line(&format!(
            "request {id}, Last-Event-Id {before}: status {status}, events up to {last}, whole {whole}, \
             Retry-After {come_back:?}"
        ));
        if whole {
            return (try_number + 1, true);
        }
        // It is honoured up to a third of the time that is left; beside that clients pause longer each time.
        let longest = DEADLINE.saturating_sub(began.elapsed()).as_secs_f64() / 3.0;
        let own = 0.2 * f64::from(1u32 << try_number.min(4));
        thread::sleep(Duration::from_secs_f64(come_back.unwrap_or(0.0).max(own).min(longest)));
    }
    (MAX_TRIES + 1, false)
}

pub fn play(root: &Path, trouble: bool, record: &Record) -> io::Result<bool> {
    let more = ",\"session-affinity\":true,\"stream-resume\":true,\"gap_aim_ms\":180";
    let config = Config::new(1)
        .route("/chat/", "streaming", "llm", "20000", more)
        .route("/hold/", "safe", "desk", "5000", "")
        .engines("llm")
        .service("desk")
        .tenant("t-1", "key-of-t-1");
    let mut fleet = serving(root, 2, &config, record)?;
    let answer: Arc<Answer> = Arc::new(|req, writer| match req.path().starts_with("/chat/") {
        true => stream(req, writer),
        false => runner::success(req, writer, &[b'x'; 800]),
    });
    let _engines = runners(&fleet, "llm", 0, 2, record, answer.clone())?;
    let controls: Vec<_> = (1..=5).map(|n| fleet.control(n)).collect();
    let address = fleet.address(80, fleet.ports.front);
    let desk = runner::Runner::start("i-desk-1", "desk", address, "hall-atl", record, answer)?;
    desk.keep_beating(controls);
    sleep_ms(2_000);

    let fronts = [fleet.front(1), fleet.front(2)];
    let clients: Vec<_> = (0..STREAMS)
        .map(|i| {
            let record = record.clone();
            sleep_ms(BETWEEN_MS);
            thread::spawn(move || client(fronts, i, &record))
        })
        .collect();
    sleep_ms(2_000);
    if trouble {
        fleet.kill("front-1");
    }
    let calls_served = AtomicUsize::new(0);
    for i in 0..CALLS {
        let id = format!("call{i}");
        let headers = [
            ("Host", HOST),
            ("X-Attempt-Id", id.as_str()),
            ("X-Deadline-Ms", "2000"),
            ("X-Credential", "key-of-t-1"),
        ];
        let limit = Duration::from_secs(2);
        let answer = http::ask(fronts[1], "GET", "/hold/1", &headers, b"", limit);
        let served = answer.is_ok_and(|answer| answer.status() == 200);
        calls_served.fetch_add(usize::from(served), Ordering::Relaxed);
        sleep_ms(80);
    }
    if trouble {
        fleet.start("front-1", false)?;
    }
    let (mut requests, mut whole) = (0, 0);
    for client in clients {
        let (sent, served) = client.join().map_err(|_| io::Error::other("a client failed"))?;
        requests += sent;
        whole += usize::from(served);
    }
    let calls_served = calls_served.into_inner();
    record.line(&format!(
        "streams: {whole} of {STREAMS} sessions were served, {requests} requests; calls: {calls_served} of {CALLS}"
    ));
    // A session is never served although it was asked for four times or more; and the kind of request is served
    // less than a quarter as often as all requests.
    let share = whole as f64 / requests as f64;
    let all = (whole + calls_served) as f64 / (requests + CALLS) as f64;
    record.line(&format!("served: {share:.3} of the streams' requests, {all:.3} of all"));
    Ok(share < all / 4.0)
}
