//! An HTTP listener that recovers from accept errors and applies socket timeouts.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use socket2::{Domain, Protocol, Socket, Type};
use tiny_http::{Request, Server};

/// Timeouts of accepted connections.
#[derive(Debug, Clone, Copy)]
pub struct SocketTimeouts {
    /// Maximum wait for the next bytes of a request.
    pub read: Duration,
    /// Maximum wait for the client to accept further bytes of a response.
    pub write: Duration,
}

impl Default for SocketTimeouts {
    fn default() -> SocketTimeouts {
        SocketTimeouts { read: Duration::from_secs(30), write: Duration::from_secs(20) }
    }
}

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1024;
/// Delay before the accept loop is restarted after an error.
const RESTART_DELAY: Duration = Duration::from_millis(50);
/// Interval of wake-up connections while requests arrive.
const BUSY_WAKEUP_INTERVAL: Duration = Duration::from_millis(10);
/// Interval of wake-up connections while no requests arrive.
const IDLE_WAKEUP_INTERVAL: Duration = Duration::from_millis(250);

/// A running HTTP server that passes each request to a handler.
///
/// Accepted sockets inherit the timeouts of the listening socket. The read timeout
/// also applies to `accept`; periodic wake-up connections keep it from expiring.
/// `tiny_http` ends its accept loop on any error, such as running out of file
/// descriptors, so the server then starts a new one.
pub struct HttpServer {
    address: SocketAddr,
    activity: Arc<Activity>,
}

#[derive(Default)]
struct Activity {
    closed: AtomicBool,
    /// Requests received since the last wake-up connection.
    requests: AtomicUsize,
}

impl HttpServer {
    /// Binds `address` and starts serving.
    ///
    /// `handle` runs on the thread that receives requests and must not block for long.
    pub fn bind(
        address: SocketAddr,
        timeouts: SocketTimeouts,
        handle: Arc<dyn Fn(Request) + Send + Sync>,
    ) -> io::Result<HttpServer> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_tcp_nodelay(true)?;
        socket.set_read_timeout(Some(timeouts.read))?;
        socket.set_write_timeout(Some(timeouts.write))?;
        socket.bind(&address.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        let listener = TcpListener::from(socket);
        let address = listener.local_addr()?;
        let activity = Arc::new(Activity::default());
        spawn_server(listener, activity.clone(), handle)?;
        let wakeup_activity = activity.clone();
        let run = move || send_wakeups(address, timeouts.read / 3, &wakeup_activity);
        thread::Builder::new().name("pulse".into()).spawn(run)?;
        Ok(HttpServer { address, activity })
    }

    /// Returns the bound address, with the actual port if port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the wake-up connections and restarts of the accept loop, before the process exits.
    pub fn close(&self) {
        self.activity.closed.store(true, Ordering::Relaxed);
    }
}

/// Starts a thread that passes requests to `handle` and restarts the accept loop once it has failed.
fn spawn_server(
    listener: TcpListener,
    activity: Arc<Activity>,
    handle: Arc<dyn Fn(Request) + Send + Sync>,
) -> io::Result<()> {
    let server = Server::from_listener(listener.try_clone()?, None).map_err(io::Error::other)?;
    let mut listener = Some(listener);
    let run = move || {
        loop {
            match server.recv() {
                Ok(req) => {
                    activity.requests.fetch_add(1, Ordering::Relaxed);
                    handle(req);
                }
                Err(e) => {
                    log::debug!("accept loop ended: {e}");
                    let Some(listener) = listener.take() else { continue };
                    if activity.closed.load(Ordering::Relaxed) {
                        return;
                    }
                    thread::sleep(RESTART_DELAY);
                    // This loop continues to serve the connections that are already open.
                    if let Err(e) = spawn_server(listener, activity.clone(), handle.clone()) {
                        log::error!("cannot restart the accept loop: {e}");
                        return;
                    }
                }
            }
        }
    };
    thread::Builder::new().name("http".into()).spawn(run)?;
    Ok(())
}

/// Periodically opens and closes a connection to the server's own address.
///
/// `tiny_http` counts a pool thread as idle until it has woken up, so a burst can
/// queue a connection for a thread that is already assigned. The connection would
/// wait until another one closes. A wake-up connection makes the pool start a
/// thread that serves the queue.
/// `max_interval` also limits each connection attempt.
fn send_wakeups(address: SocketAddr, max_interval: Duration, activity: &Activity) {
    let mut target = address;
    if target.ip().is_unspecified() {
        target.set_ip(std::net::Ipv4Addr::LOCALHOST.into());
    }
    while !activity.closed.load(Ordering::Relaxed) {
        let busy = activity.requests.swap(0, Ordering::Relaxed) != 0;
        thread::sleep(if busy {
            BUSY_WAKEUP_INTERVAL
        } else {
            max_interval.min(IDLE_WAKEUP_INTERVAL)
        });
        if let Ok(socket) = TcpStream::connect_timeout(&target, max_interval) {
            // Closing with a reset avoids sockets in TIME_WAIT.
            let _ = Socket::from(socket).set_linger(Some(Duration::ZERO));
        }
    }
}
