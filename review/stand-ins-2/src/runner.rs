//! A runner: takes requests at an address and registers itself by heartbeats.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{self, Message, Reader},
    record::Record,
};

/// What a runner answers to a request: called with the request; writes the answer.
pub type Answer = dyn Fn(&Message, &mut TcpStream) -> io::Result<()> + Send + Sync;

pub struct Runner {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    /// Requests that it ran, by their ids.
    pub ran: Mutex<Vec<String>>,
    sequence: AtomicU64,
    ended: AtomicBool,
    draining: AtomicBool,
}

impl Runner {
    pub fn start(
        id: &str,
        service: &str,
        address: SocketAddr,
        zone: &'static str,
        record: &Record,
        answer: Arc<Answer>,
    ) -> io::Result<Arc<Runner>> {
        let listener = TcpListener::bind(address)?;
        let runner = Arc::new(Runner {
            id: id.into(),
            service: service.into(),
            address,
            zone,
            ran: Mutex::default(),
            sequence: AtomicU64::new(0),
            ended: AtomicBool::new(false),
            draining: AtomicBool::new(false),
        });
        listener.set_nonblocking(true)?;
        let (own, record) = (runner.clone(), record.clone());
        thread::spawn(move || {
            while !own.ended.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((socket, _)) => {
                        let _ = socket.set_nonblocking(false);
                        let (own, record, answer) = (own.clone(), record.clone(), answer.clone());
                        thread::spawn(move || own.serve(socket, &record, &*answer));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        Ok(runner)
    }

    fn serve(&self, socket: TcpStream, record: &Record, answer: &Answer) {
        let _ = socket.set_nodelay(true);
        let _ = socket.set_read_timeout(Some(Duration::from_secs(20)));
        let Ok(mut writer) = socket.try_clone() else { return };
        let mut reader = Reader::new(socket);
        while let Ok(req) = reader.message() {
            if self.ended.load(Ordering::Relaxed) {
                return;
            }
            if req.path().starts_with("/-/report") {
                let text = "{\"stage\":\"dual\",\"models\":[{\"name\":\"m\",\"config-version\":1,\"adapters\":[]}],\"busy\":false,\"sequence\":1,\"queued\":0,\"running\":0,\"kv-used\":0,\"kv-total\":34000,\"handles\":0}";
                let head = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    text.len()
                );
                if writer.write_all((head + text).as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let id = req.header("x-attempt-id").unwrap_or_default().to_owned();
            let expected = req.header("x-expect-instance").unwrap_or(&self.id).to_owned();
            if expected != self.id {
                record.line(&format!("runner {} turns {id} away: it is for {expected}", self.id));
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                if writer.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            record.line(&format!(
                "runner {} runs {id}: {} {}, deadline {} ms",
                self.id,
                req.method(),
                req.path(),
                req.header("x-deadline-ms").unwrap_or("-")
            ));
            self.ran.lock().unwrap().push(id);
            if answer(&req, &mut writer).is_err() {
                return;
            }
        }
    }

    /// One heartbeat to a control machine; whether it is acknowledged.
    pub fn beat(&self, control: SocketAddr) -> bool {
        let number = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let state = if self.draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        let slots = if self.service == "llm" { 48 } else { 6 };
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"config-version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"cold-remaining-ms\":0,\"sequence\":{number}}}",
            self.service, self.address, self.zone
        );
        let path = format!("/-/instances/{}", self.id);
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let answer =
            http::ask(control, "PUT", &path, &headers, body.as_bytes(), Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() / 100 == 2)
    }

    /// Says that it leaves, and goes on serving; whether it is acknowledged.
    pub fn drain(&self, control: SocketAddr) -> bool {
        self.draining.store(true, Ordering::Relaxed);
        self.beat(control)
    }

    /// Sends heartbeats until it ends, to the first of these that answers.
    pub fn keep_beating(self: &Arc<Self>, controls: Vec<SocketAddr>) {
        let own = self.clone();
        thread::spawn(move || {
            let mut at = 0;
            while !own.ended.load(Ordering::Relaxed) {
                let mut tries = 0;
                while tries < controls.len() && !own.beat(controls[at % controls.len()]) {
                    at += 1;
                    tries += 1;
                }
                thread::sleep(Duration::from_millis(1_150));
            }
        });
    }
}

/// A whole success with a body of a known length.
pub fn success(req: &Message, writer: &mut TcpStream, body: &[u8]) -> io::Result<()> {
    let id = req.header("x-attempt-id").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s.{id}\r\nContent-Type: application/octet-stream\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    writer.write_all(head.as_bytes())?;
    writer.write_all(body)
}
