//! Accepts connections and serves HTTP/1.1 on them.

use std::{cell::Cell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use eyre::{Result, WrapErr};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use super::{
    Gate, Handler, LocalFuture, TimeLeft,
    connection::{Activity, Phase, TrackedBody, WatchedSocket},
};
use crate::{overload::MeteredSocket, telemetry::EventId, upstream::socket};

/// Pause after a failed accept, for example while there are no free descriptors.
const PAUSE: Duration = Duration::from_millis(20);
/// The HTTP library's smallest buffer.
const MIN_BUFFER: usize = 8 * 1024;

/// A listening server.
pub struct Server {
    address: SocketAddr,
    closing: watch::Sender<bool>,
    open: Rc<Cell<usize>>,
}

impl Server {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no more connections; closes those that rest, and each other after its answer.
    pub fn close(&self) {
        // Without a connection there is nobody to tell.
        let _ = self.closing.send(true);
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }
}

/// Listens and answers with `handler`.
pub fn bind(address: SocketAddr, handler: Rc<dyn Handler>) -> Result<Server> {
    bind_gated(address, handler, Rc::new(OpenGate))
}

/// The same for connections that `gate` lets in.
pub fn bind_gated(
    address: SocketAddr,
    handler: Rc<dyn Handler>,
    gate: Rc<dyn Gate>,
) -> Result<Server> {
    let listener =
        socket::listen(address).wrap_err_with(|| format!("cannot listen on {address}"))?;
    let address = listener.local_addr()?;
    let (closing, closed) = watch::channel(false);
    let open = Rc::new(Cell::new(0));
    tokio::task::spawn_local(accept(listener, handler, gate, closed, open.clone()));
    Ok(Server { address, closing, open })
}

async fn accept(
    listener: TcpListener,
    handler: Rc<dyn Handler>,
    gate: Rc<dyn Gate>,
    closed: watch::Receiver<bool>,
    open: Rc<Cell<usize>>,
) {
    let mut closes = closed.clone();
    let mut takes = gate.takes_connections();
    let Ok(address) = listener.local_addr() else { return };
    let mut listener = Some(listener);
    loop {
        let Some(current) = &listener else {
            tokio::select! {
                () = wait_for(&mut takes, true) => listener = listen_again(address).await,
                _ = closes.wait_for(|closing| *closing) => return,
            }
            continue;
        };
        let accepted = tokio::select! {
            accepted = current.accept() => accepted,
            () = wait_for(&mut takes, false) => {
                listener = None;
                continue;
            }
            // New connections are refused from here on, so that callers go elsewhere.
            _ = closes.wait_for(|closing| *closing) => return,
        };
        match accepted {
            Ok((socket, _)) => {
                let guard = Counted::new(&open);
                let (handler, gate, closed) = (handler.clone(), gate.clone(), closed.clone());
                tokio::task::spawn_local(async move {
                    match admit(socket, &*gate).await {
                        Ok(socket) => {
                            let socket = MeteredSocket::new(socket, gate.link());
                            serve(socket, handler, gate, closed, guard).await;
                        }
                        Err(e) => log::debug!("a connection ended before it began: {e:#}"),
                    }
                });
            }
            Err(e) => {
                log::warn!(event = EventId::CallerRefused.number(); "cannot accept: {e}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Listens at an address that was left for a while; pauses if it cannot.
async fn listen_again(address: SocketAddr) -> Option<TcpListener> {
    match socket::listen(address) {
        Ok(listener) => Some(listener),
        Err(e) => {
            log::warn!(event = EventId::CallerRefused.number(); "cannot listen on {address} again: {e}");
            tokio::time::sleep(PAUSE).await;
            None
        }
    }
}

/// Waits until the gate takes connections, or takes none.
async fn wait_for(takes: &mut watch::Receiver<bool>, value: bool) {
    if takes.wait_for(|takes| *takes == value).await.is_err() {
        // A gate without a sender never changes.
        std::future::pending::<()>().await;
    }
}

/// Counts a connection as open while it lives.
struct Counted(Rc<Cell<usize>>);

impl Counted {
    fn new(count: &Rc<Cell<usize>>) -> Counted {
        count.set(count.get() + 1);
        Counted(count.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Lets every connection in.
struct OpenGate;

impl Gate for OpenGate {
    fn admit(&self, socket: TcpStream) -> LocalFuture<'static, Result<TcpStream>> {
        Box::pin(async { Ok(socket) })
    }
}

async fn admit(socket: TcpStream, gate: &dyn Gate) -> Result<TcpStream> {
    socket::tune_for_slow_reader(&socket)?;
    gate.admit(socket).await
}

async fn serve(
    socket: MeteredSocket,
    handler: Rc<dyn Handler>,
    gate: Rc<dyn Gate>,
    mut closing: watch::Receiver<bool>,
    _open: Counted,
) {
    let activity = Activity::new();
    let io = TokioIo::new(WatchedSocket {
        socket,
        activity: activity.clone(),
        gate,
        has_been_read: false,
    });
    let answer = service_fn(|req| {
        activity.begin();
        let (handler, activity) = (handler.clone(), activity.clone());
        async move {
            let answer = handler.handle(req).await;
            activity.set_time_left(answer.extensions().get::<TimeLeft>().copied());
            Ok::<_, Infallible>(answer.map(|body| TrackedBody { body, activity }))
        }
    });
    let max_header = handler.bounds().max_header.max(MIN_BUFFER);
    let connection = http1::Builder::new()
        .half_close(false)
        .header_read_timeout(None)
        .max_buf_size(max_header)
        .serve_connection(io, answer);
    let mut connection = std::pin::pin!(connection);
    let mut told = false;
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(e) = ended {
                    log::debug!("a connection ended: {e}");
                }
                return;
            }
            phase = activity.overdue(|| handler.bounds()), if !told => {
                if let Phase::Head(_) = phase {
                    log::info!(event = EventId::CallerRefused.number(); "a head took too long");
                    return;
                }
                told = true;
                connection.as_mut().graceful_shutdown();
            }
            () = activity.stalled(|| handler.bounds()) => {
                log::info!(event = EventId::CallerRefused.number(); "a response was not read");
                return;
            }
            _ = closing.wait_for(|closing| *closing), if !told => {
                told = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}
