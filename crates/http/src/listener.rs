//! A listener whose accept loop outlives errors and whose connections are bounded in time.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use socket2::{Domain, Protocol, Socket, Type};
use tiny_http::{Request, Server};

/// Longest silences that a connection may have.
#[derive(Debug, Clone, Copy)]
pub struct SocketBounds {
    /// Longest wait for the next bytes of a request.
    pub read: Duration,
    /// Longest wait for the peer to take bytes of an answer.
    pub write: Duration,
}

impl Default for SocketBounds {
    fn default() -> SocketBounds {
        SocketBounds { read: Duration::from_secs(30), write: Duration::from_secs(20) }
    }
}

const BACKLOG: i32 = 1024;
const REOPEN_PAUSE: Duration = Duration::from_millis(50);

/// A running HTTP server; each request is handed to the handler.
///
/// The bounds are set on the listening socket, from which accepted sockets
/// inherit them. That makes `accept` itself time out, so a connection to the
/// own address is made now and then, and the accept loop is opened anew after
/// an error (out of file descriptors, for example), which `tiny_http` takes as
/// the end.
pub struct HttpServer {
    address: SocketAddr,
    closed: Arc<AtomicBool>,
}

impl HttpServer {
    /// Binds the address and serves it; `handle` must not block for long.
    pub fn bind(
        address: SocketAddr,
        bounds: SocketBounds,
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
        let closed = Arc::new(AtomicBool::new(false));
        serve(listener, closed.clone(), handle)?;
        keep_awake(address, bounds.read / 3, closed.clone());
        Ok(HttpServer { address, closed })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops opening the listener anew; the process is about to exit.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }
}

fn serve(
    listener: TcpListener,
    closed: Arc<AtomicBool>,
    handle: Arc<dyn Fn(Request) + Send + Sync>,
) -> io::Result<()> {
    let server = Server::from_listener(listener.try_clone()?, None).map_err(io::Error::other)?;
    let mut listener = Some(listener);
    let work = move || {
        loop {
            match server.recv() {
                Ok(req) => handle(req),
                Err(e) => {
                    log::debug!("accept loop ended: {e}");
                    let Some(listener) = listener.take() else { continue };
                    if closed.load(Ordering::Relaxed) {
                        return;
                    }
                    thread::sleep(REOPEN_PAUSE);
                    // Requests of connections already open still arrive here.
                    if let Err(e) = serve(listener, closed.clone(), handle.clone()) {
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

fn keep_awake(address: SocketAddr, every: Duration, closed: Arc<AtomicBool>) {
    let mut target = address;
    if target.ip().is_unspecified() {
        target.set_ip(std::net::Ipv4Addr::LOCALHOST.into());
    }
    thread::spawn(move || {
        while !closed.load(Ordering::Relaxed) {
            thread::sleep(every);
            let _ = TcpStream::connect_timeout(&target, every);
        }
    });
}
