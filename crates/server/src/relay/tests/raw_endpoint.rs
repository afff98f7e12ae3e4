//! An endpoint whose responses are written byte by byte.

use std::{io, net::SocketAddr, time::Duration};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::{
    protocol::{ID, LAST_EVENT},
    test_daemon::TestDaemon,
    test_fleet::TestFleet,
};

async fn listen() -> TcpListener {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    TcpListener::bind(any).await.unwrap()
}

/// The head of the next request; empty if there is none.
async fn read_head(socket: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") && socket.read_buf(&mut head).await.unwrap() != 0 {}
    String::from_utf8(head).unwrap()
}

/// How a connection ends.
#[derive(Debug, Clone, Copy)]
pub(super) enum End {
    Closed,
    Reset,
}

/// Writes bytes and ends the connection.
async fn write_and_end(mut socket: TcpStream, bytes: &[u8], end: End) -> io::Result<()> {
    socket.write_all(bytes).await?;
    match end {
        End::Closed => Ok(()),
        End::Reset => SockRef::from(&socket).set_linger(Some(Duration::ZERO)),
    }
}

/// An endpoint that writes its responses byte by byte.
pub(super) struct RawEndpoint {
    pub(super) listener: TcpListener,
}

impl RawEndpoint {
    pub(super) async fn open(daemon: &TestDaemon, service: &str, name: &str) -> RawEndpoint {
        let listener = listen().await;
        daemon.register_address(service, name, listener.local_addr().unwrap()).await;
        RawEndpoint { listener }
    }

    /// A run of an endpoint that tells when it was started.
    pub(super) async fn open_run(daemon: &TestDaemon, name: &str, started_at: u64) -> RawEndpoint {
        let listener = listen().await;
        daemon.register_run_at("engines", name, started_at, listener.local_addr().unwrap()).await;
        RawEndpoint { listener }
    }

    /// Tells everybody who asks that this process was started then.
    pub(super) async fn report_start(self, started_at: u64) {
        let report = report_of(started_at);
        self.answer_everybody(report.as_bytes(), End::Closed).await;
    }

    /// Sends these bytes to everybody who asks something, and ends the connection.
    pub(super) async fn answer_everybody(self, response: &[u8], end: End) {
        loop {
            let (mut socket, _) = self.listener.accept().await.unwrap();
            read_head(&mut socket).await;
            // A probe may have closed its connection.
            let _ = write_and_end(socket, response, end).await;
        }
    }

    /// An endpoint of a fleet, which all entries know.
    pub(super) async fn open_in(fleet: &TestFleet, service: &str, name: &str) -> RawEndpoint {
        let endpoint = RawEndpoint::open(&fleet.control, service, name).await;
        for entry in &fleet.entries {
            entry.daemon.wait_until(|| entry.daemon.is_open(name) == Some(true)).await;
        }
        endpoint
    }

    /// The next request with a response of its own; connections without a request are passed over.
    pub(super) async fn next_request(&mut self) -> RawResponse {
        loop {
            let (mut socket, _) = self.listener.accept().await.unwrap();
            let head = read_head(&mut socket).await;
            let header = |name| {
                let prefix = format!("{name}: ");
                head.lines().find_map(|line| line.strip_prefix(&prefix).map(str::to_owned))
            };
            let last_event_id = header(LAST_EVENT).and_then(|last| last.parse().ok());
            if let Some(id) = header(ID) {
                return RawResponse { socket, id, last_event_id };
            }
        }
    }

    /// Closes every new connection, as endpoints do that have too many.
    pub(super) async fn close_new_connections(&self) {
        while self.listener.accept().await.is_ok() {}
    }
}

/// A response to one request; dropping it closes the connection.
pub(super) struct RawResponse {
    socket: TcpStream,
    pub(super) id: String,
    /// The last event that the caller has, if the request takes a stream up.
    pub(super) last_event_id: Option<u64>,
}

impl RawResponse {
    /// Sends bytes as they are and ends the connection.
    pub(super) async fn send_and_end(self, bytes: &[u8], end: End) {
        write_and_end(self.socket, bytes, end).await.unwrap();
    }

    /// Sends bytes as they are, unless the connection is closed before.
    pub(super) async fn try_send_bytes(&mut self, bytes: &[u8]) {
        let _ = self.socket.write_all(bytes).await;
    }

    /// Sends bytes as they are.
    pub(super) async fn send_bytes(&mut self, bytes: &[u8]) {
        self.socket.write_all(bytes).await.unwrap();
    }

    /// Sends the head of an unframed response and the beginning of its body.
    pub(super) async fn send(&mut self, body: &str) {
        self.send_status("200 OK", body).await;
    }

    /// The same with another status.
    pub(super) async fn send_status(&mut self, status: &str, body: &str) {
        self.send_version("HTTP/1.1", status, body).await;
    }

    /// The same in a version of HTTP.
    pub(super) async fn send_version(&mut self, version: &str, status: &str, body: &str) {
        let head = format!("{version} {status}\r\n{ID}: {}\r\nconnection: close\r\n\r\n", self.id);
        self.socket.write_all(format!("{head}{body}").as_bytes()).await.unwrap();
    }
}

/// The report of a run that was started then.
pub(super) fn report_of(started_at: u64) -> String {
    let body = format!("0 {started_at}");
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}
