//! A runner as a process of its own, so that it can be killed.
//!
//! It registers by heartbeats, answers its health path, and runs what it is sent. Orders come on
//! standard input: `drain` says that it leaves. What it does is written to standard output.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::http::{self, Request};

const HEARTBEAT: Duration = Duration::from_millis(1_200);
const HEARTBEAT_LIMIT: Duration = Duration::from_secs(1);

/// How a runner frames its streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    Chunked,
    /// No length and no chunks: the stream ends with its connection.
    None,
}

impl Framing {
    fn name(self) -> &'static str {
        match self {
            Framing::Chunked => "chunked",
            Framing::None => "none",
        }
    }

    fn parse(name: &str) -> Option<Framing> {
        [Framing::Chunked, Framing::None].into_iter().find(|framing| framing.name() == name)
    }
}

/// What a runner is started with.
#[derive(Debug, Clone)]
pub struct Options {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub control: Vec<SocketAddr>,
    pub slots: usize,
    pub framing: Framing,
    /// Events of a stream.
    pub events: u64,
    /// Time between two events.
    pub pace: Duration,
    pub run: Run,
}

/// What tells one start of a runner from another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Version of its software.
    pub version: String,
    /// When it was started, in milliseconds since the Unix epoch; 0 if it doesn't tell.
    pub born: u64,
    /// Time after the start in which no heartbeat gets through.
    pub cut_for: Duration,
}

impl Run {
    /// The first start, of a runner that doesn't tell when it was started.
    pub fn first() -> Run {
        Run { version: "v1".to_owned(), born: 0, cut_for: Duration::ZERO }
    }

    /// A start now.
    pub fn now(version: &str, cut_for: Duration) -> Run {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Run { version: version.to_owned(), born: now.as_millis() as u64, cut_for }
    }

    /// The field for heartbeats and reports.
    fn born_field(&self) -> String {
        if self.born == 0 { String::new() } else { format!(",\"born\":{}", self.born) }
    }
}

impl Options {
    /// Arguments from which [`Options::parse`] reads the same.
    pub fn arguments(&self) -> Vec<String> {
        let control: Vec<String> = self.control.iter().map(SocketAddr::to_string).collect();
        vec![
            self.id.clone(),
            self.service.clone(),
            self.address.to_string(),
            self.zone.clone(),
            control.join(","),
            self.slots.to_string(),
            self.framing.name().to_owned(),
            self.events.to_string(),
            self.pace.as_millis().to_string(),
            self.run.version.clone(),
            self.run.born.to_string(),
            self.run.cut_for.as_millis().to_string(),
        ]
    }

    pub fn parse(arguments: &[String]) -> Option<Options> {
        let [id, service, address, zone, control, slots, framing, events, pace, rest @ ..] =
            arguments
        else {
            return None;
        };
        let [version, born, cut_for] = rest else { return None };
        Some(Options {
            id: id.clone(),
            service: service.clone(),
            address: address.parse().ok()?,
            zone: zone.clone(),
            control: control.split(',').map(|one| one.parse().ok()).collect::<Option<_>>()?,
            slots: slots.parse().ok()?,
            framing: Framing::parse(framing)?,
            events: events.parse().ok()?,
            pace: Duration::from_millis(pace.parse().ok()?),
            run: Run {
                version: version.clone(),
                born: born.parse().ok()?,
                cut_for: Duration::from_millis(cut_for.parse().ok()?),
            },
        })
    }
}

/// The events of a stream from the one after `last`, as a runner of this version sends them.
pub fn events(attempt: &str, last: u64, count: u64, version: &str) -> impl Iterator<Item = String> {
    (last + 1..=count).map(move |n| format!("id: {n}\ndata: {attempt} {n} {version}\n\n"))
}

struct Runner {
    options: Options,
    running: AtomicUsize,
    is_draining: AtomicBool,
    /// Whether heartbeats get through.
    is_cut: AtomicBool,
    sequence: AtomicU64,
    next_control: AtomicUsize,
    output: Mutex<io::Stdout>,
}

/// Runs until the process is killed or its standard input ends.
pub fn run(options: Options) -> io::Result<()> {
    let listener = TcpListener::bind(options.address)?;
    let runner = Arc::new(Runner {
        options,
        running: AtomicUsize::new(0),
        is_draining: AtomicBool::new(false),
        is_cut: AtomicBool::new(false),
        sequence: AtomicU64::new(0),
        next_control: AtomicUsize::new(0),
        output: Mutex::new(io::stdout()),
    });
    let beating = runner.clone();
    thread::spawn(move || {
        thread::sleep(beating.options.run.cut_for);
        loop {
            if !beating.is_cut.load(Ordering::SeqCst) {
                beating.send_heartbeat();
            }
            thread::sleep(HEARTBEAT);
        }
    });
    let ordered = runner.clone();
    thread::spawn(move || {
        for order in io::stdin().lines().map_while(Result::ok) {
            if order == "cut" {
                ordered.is_cut.store(true, Ordering::SeqCst);
                ordered.tell("is cut off from control");
            }
            if order == "drain" {
                ordered.is_draining.store(true, Ordering::SeqCst);
                while !ordered.send_heartbeat() {}
                ordered.tell("drain acknowledged");
            }
        }
        process::exit(0);
    });
    for socket in listener.incoming() {
        let (socket, runner) = (socket?, runner.clone());
        thread::spawn(move || {
            let _ = runner.serve(socket);
        });
    }
    Ok(())
}

impl Runner {
    fn tell(&self, text: &str) {
        let mut output = self.output.lock().expect("no thread panics while it writes");
        let _ = writeln!(output, "{} {text}", self.options.id);
        let _ = output.flush();
    }

    /// Sends a heartbeat to the next control machine; returns whether it was acknowledged.
    fn send_heartbeat(&self) -> bool {
        let Options { id, service, address, zone, control, slots, run, .. } = &self.options;
        let state = if self.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"config-version\":\"{}\",\"slots\":{slots},\"state\":\"{state}\",\
             \"cold-remaining-ms\":0,\"sequence\":{sequence}{}}}",
            run.version,
            run.born_field(),
        );
        let to = control[self.next_control.load(Ordering::SeqCst) % control.len()];
        let headers = [("Content-Type", "application/json")];
        let path = format!("/-/instances/{id}");
        let answer = http::call(to, "PUT", &path, &headers, body.as_bytes(), HEARTBEAT_LIMIT);
        let is_acknowledged = answer.is_ok_and(|answer| answer.status / 100 == 2);
        if !is_acknowledged {
            self.next_control.fetch_add(1, Ordering::SeqCst);
        }
        is_acknowledged
    }

    fn serve(&self, socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        let mut writer = socket.try_clone()?;
        let mut reader = BufReader::new(socket);
        while let Some(req) = http::read_request(&mut reader)? {
            match req.path.as_str() {
                "/health" => {
                    let status = if self.is_draining.load(Ordering::SeqCst) { 503 } else { 200 };
                    let name = format!("X-Instance-Id: {}\r\n", self.options.id);
                    write_short(&mut writer, status, &name, "")?;
                }
                "/-/report" => write_short(&mut writer, 200, "", &self.report())?,
                path if path.starts_with("/-/") => write_short(&mut writer, 404, "", "{}")?,
                _ => {
                    self.answer(&req, &mut writer)?;
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    fn report(&self) -> String {
        let running = self.running.load(Ordering::SeqCst);
        format!(
            "{{\"stage\":\"dual\",\"models\":[{{\"name\":\"m\",\"config-version\":1,\"adapters\":[]}}],\
             \"busy\":false,\"sequence\":1,\"queued\":0,\"running\":{running},\"kv-used\":{},\
             \"kv-total\":34423,\"handles\":0{}}}",
            running * 400,
            self.options.run.born_field(),
        )
    }

    fn answer(&self, req: &Request, writer: &mut TcpStream) -> io::Result<()> {
        let attempt = req.header("x-attempt-id").unwrap_or_default().to_owned();
        if req.header("x-expect-instance").is_some_and(|id| id != self.options.id) {
            let header = format!("X-Attempt-Id: {attempt}\r\n");
            return write_short(writer, 421, &header, "");
        }
        if self.options.slots <= self.running.fetch_add(1, Ordering::SeqCst) {
            self.running.fetch_sub(1, Ordering::SeqCst);
            let header = format!("X-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\n");
            return write_short(writer, 503, &header, "");
        }
        let tenant = req.header("x-tenant-id").unwrap_or("-");
        self.tell(&format!(
            "runs {attempt} for tenant {tenant} on {} at {}",
            req.path, self.options.run.version
        ));
        let last = req.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let result = self.stream(&attempt, last, writer);
        self.running.fetch_sub(1, Ordering::SeqCst);
        self.tell(&format!("ended {attempt} {}", if result.is_ok() { "whole" } else { "broken" }));
        result
    }

    /// Streams the events after `last`.
    fn stream(&self, attempt: &str, last: u64, writer: &mut TcpStream) -> io::Result<()> {
        let is_chunked = self.options.framing == Framing::Chunked;
        let framing = if is_chunked { "Transfer-Encoding: chunked\r\n" } else { "" };
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Seal: seal-{attempt}\r\n\
             Content-Type: text/event-stream\r\nConnection: close\r\n{framing}\r\n"
        );
        writer.write_all(head.as_bytes())?;
        for event in events(attempt, last, self.options.events, &self.options.run.version) {
            let text = if is_chunked { format!("{:x}\r\n{event}\r\n", event.len()) } else { event };
            writer.write_all(text.as_bytes())?;
            thread::sleep(self.options.pace);
        }
        writer.write_all(if is_chunked { b"0\r\n\r\n" } else { b"" })
    }
}

fn write_short(writer: &mut TcpStream, status: u16, headers: &str, body: &str) -> io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n{headers}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    writer.write_all(text.as_bytes())
}
