//! A listener whose accept loop outlives errors and whose connections are bounded in time.

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

/// Longest silences that a connection may have.
#[derive(Debug, Clone, Copy)]
pub struct SocketTimeouts {
    /// Longest wait for the next bytes of a request.
    pub read: Duration,
    /// Longest wait for the peer to take bytes of an answer.
    pub write: Duration,
}

impl Default for SocketTimeouts {
    fn default() -> SocketTimeouts {
        SocketTimeouts { read: Duration::from_secs(30), write: Duration::from_secs(20) }
    }
}

const BACKLOG: i32 = 1024;
const REOPEN_PAUSE: Duration = Duration::from_millis(50);
/// Interval of pulses while requests come.
const FAST_PULSE: Duration = Duration::from_millis(10);
/// Interval of pulses while none come.
const SLOW_PULSE: Duration = Duration::from_millis(250);

/// A running HTTP server; each request is handed to the handler.
///
/// The bounds are set on the listening socket, from which accepted sockets
/// inherit them. That makes `accept` itself time out when no connection comes;
/// short connections to the own address prevent it. The accept loop is opened
/// anew after an error (out of file descriptors, for example), which `tiny_http`
/// takes as the end.
pub struct HttpServer {
    address: SocketAddr,
    activity: Arc<Activity>,
}

#[derive(Default)]
struct Activity {
    closed: AtomicBool,
    /// Requests since the last pulse.
    requests: AtomicUsize,
}

impl HttpServer {
    /// Binds the address and serves it; `handle` must not block for long.
    pub fn bind(
        address: SocketAddr,
        bounds: SocketTimeouts,
        handle: Arc<dyn Fn(Request) + Send + Sync>,
    ) -> io::Result<HttpServer> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_tcp_nodelay(true)?;
        socket.set_read_timeout(Some(bounds.read))?;
        socket.set_write_timeout(Some(bounds.write))?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        let listener = TcpListener::from(socket);
        let address = listener.local_addr()?;
        let activity = Arc::new(Activity::default());
        serve(listener, activity.clone(), handle)?;
        let pulsed = activity.clone();
        let run = move || pulse(address, bounds.read / 3, &pulsed);
        thread::Builder::new().name("pulse".into()).spawn(run)?;
        Ok(HttpServer { address, activity })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops opening the listener anew; the process is about to exit.
    pub fn close(&self) {
        self.activity.closed.store(true, Ordering::Relaxed);
    }
}

fn serve(
    listener: TcpListener,
    activity: Arc<Activity>,
    handle: Arc<dyn Fn(Request) + Send + Sync>,
) -> io::Result<()> {
    let server = Server::from_listener(listener.try_clone()?, None).map_err(io::Error::other)?;
    let mut listener = Some(listener);
    let work = move || {
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
                    thread::sleep(REOPEN_PAUSE);
                    // Requests of connections already open still arrive here.
                    if let Err(e) = serve(listener, activity.clone(), handle.clone()) {
                        log::error!("cannot open the listener anew: {e}");
                        return;
                    }
                }
            }
        }
    };
    thread::Builder::new().name("http".into()).spawn(work)?;
    Ok(())
}

/// Connects to the own address and leaves at once, again and again.
///
/// `tiny_http` counts a pool thread as idle until it has woken up. In a burst a
/// connection can so be queued for a thread that is already taken, and it would
/// wait until some other connection closes. Each short connection makes the pool
/// start a thread that takes what is queued.
fn pulse(address: SocketAddr, slowest: Duration, activity: &Activity) {
    let mut target = address;
    if target.ip().is_unspecified() {
        target.set_ip(std::net::Ipv4Addr::LOCALHOST.into());
    }
    while !activity.closed.load(Ordering::Relaxed) {
        let busy = activity.requests.swap(0, Ordering::Relaxed) != 0;
        thread::sleep(if busy { FAST_PULSE } else { slowest.min(SLOW_PULSE) });
        if let Ok(socket) = TcpStream::connect_timeout(&target, slowest) {
            // Closing with a reset leaves no socket behind in TIME_WAIT.
            let _ = Socket::from(socket).set_linger(Some(Duration::ZERO));
        }
    }
}
