//! Takes requests from daemons that cannot connect to the endpoints themselves.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::{Rc, Weak},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use eyre::Result;
use http::{HeaderMap, Request, Response, StatusCode, Version, header};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::{net::TcpStream, sync::mpsc};
use trayswitch_core::{
    node::Input,
    reachability::{Path, ReachabilityTracker},
    registry::RegisteredEndpoint,
};

use super::message::{Outcome, Purpose, Target, remove_hop_by_hop, write_backoff};
use crate::{
    edge::{self, AnswerError, Body, Bounds, Gate, Handler, LocalFuture, Server, read_whole},
    overload::{LinkMonitor, MemoryBudget},
    relay::{
        Relay,
        endpoint_connection::ConnectError,
        unframed_response::{CALL_CLOSE_DELAY, CRASHED, STREAM_CLOSE_DELAY, is_unframed},
    },
    upstream::{AnswerBody, LateResponse, OpenAnswer, SendError, exchange_on},
};

/// Requests of other daemons that are served at a time.
const MAX_FORWARDED: u32 = 256;
/// Bytes of their bodies that are held at a time.
const MAX_FORWARDED_BYTES: usize = 8 * 1024 * 1024;
/// Pieces of a response that are buffered for a slow daemon.
const MAX_BUFFERED_PIECES: usize = 16;
/// Room for the headers that a forwarded request has beside the caller's.
const EXTRA_HEADER_BYTES: usize = 1_024;

/// A connection that came up so lately shows that this daemon is not cut off.
const RECENT_CONNECTION: Duration = Duration::from_millis(100);
const REACHES_NONE: &str = "this daemon connects to no endpoint";

/// What is being served for other daemons.
#[derive(Debug, Default)]
pub(in crate::relay) struct ForwardedLoad {
    requests: Cell<u32>,
    bytes: Cell<usize>,
}

/// Counts a forwarded request until dropped.
struct LoadGuard {
    relay: Rc<Relay>,
    bytes: usize,
}

impl LoadGuard {
    /// Takes room for a request with a body of this size, if there is any.
    fn acquire(relay: &Rc<Relay>, bytes: usize) -> Option<LoadGuard> {
        let load = &relay.forwarded_load;
        if MAX_FORWARDED <= load.requests.get() || MAX_FORWARDED_BYTES < load.bytes.get() + bytes {
            return None;
        }
        load.requests.set(load.requests.get() + 1);
        load.bytes.set(load.bytes.get() + bytes);
        Some(LoadGuard { relay: relay.clone(), bytes })
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let load = &self.relay.forwarded_load;
        load.requests.set(load.requests.get() - 1);
        load.bytes.set(load.bytes.get() - self.bytes);
    }
}

/// Why a forwarded request gets no response of its endpoint.
struct Failure {
    outcome: Outcome,
    reason: String,
    /// For how long this daemon backs off from the endpoint.
    backoff: Option<Duration>,
}

impl Failure {
    fn new(outcome: Outcome, reason: impl Into<String>) -> Failure {
        Failure { outcome, reason: reason.into(), backoff: None }
    }

    fn into_response(self) -> Response<Body> {
        let mut res = Response::new(edge::full(self.reason));
        *res.status_mut() = StatusCode::BAD_GATEWAY;
        self.outcome.write(res.headers_mut());
        if let Some(left) = self.backoff {
            write_backoff(res.headers_mut(), left);
        }
        res
    }
}

impl Relay {
    /// Takes requests that other daemons forward, and makes this known to them.
    pub fn accept_forwarded(self: &Rc<Self>, address: SocketAddr) -> Result<Server> {
        let gate = Rc::new(DaemonGate { relay: Rc::downgrade(self) });
        let server = edge::bind_gated(address, Rc::new(Forwarder(self.clone())), gate)?;
        self.is_forwarder.set(true);
        self.node.input(Input::AcceptsForwarded(true));
        Ok(server)
    }

    /// Whether this daemon, which could not connect to an endpoint, connects to another one. If not, the
    /// failure tells nothing about the endpoint.
    async fn connects_elsewhere(&self, endpoint: &RegisteredEndpoint) -> bool {
        let last = self.reachability.borrow().last_connected();
        if last.is_some_and(|at| self.node.now().since(at) < RECENT_CONNECTION) {
            return true;
        }
        let Some(other) = self.comparison(endpoint) else { return true };
        let connected = self.connect(&other, self.options.connect_timeout).await;
        if let Err(ConnectError::Failed(_)) = connected {
            self.update_reachability(ReachabilityTracker::on_comparison_failed);
        }
        connected.is_ok()
    }

    /// An endpoint to compare another one with: of another service, or else any, not known to be unreachable.
    fn comparison(&self, endpoint: &RegisteredEndpoint) -> Option<RegisteredEndpoint> {
        let (view, tracker) = (self.node.view(), self.reachability.borrow());
        let is_other = |other: &RegisteredEndpoint| other.id != endpoint.id;
        let is_unknown = |other: &RegisteredEndpoint| !tracker.is_unreachable(&other.id);
        let is_of_other_service = |other: &RegisteredEndpoint| other.service != endpoint.service;
        view.sample_endpoint(|other| is_of_other_service(other) && is_unknown(other))
            .or_else(|| view.sample_endpoint(|other| is_other(other) && is_unknown(other)))
            .or_else(|| view.sample_endpoint(is_other))
    }
}

/// Lets only daemons in that know the key.
struct DaemonGate {
    relay: Weak<Relay>,
}

impl Gate for DaemonGate {
    fn admit(&self, socket: TcpStream) -> LocalFuture<'static, Result<TcpStream>> {
        let relay = self.relay.upgrade();
        Box::pin(async move {
            let relay = relay.ok_or_else(|| eyre::eyre!("the daemon is ending"))?;
            relay.node.authenticate(socket, false).await
        })
    }

    fn link(&self) -> Option<Rc<LinkMonitor>> {
        self.relay.upgrade().map(|relay| relay.overload.link().clone())
    }
}

/// Serves the requests of other daemons.
struct Forwarder(Rc<Relay>);

impl Handler for Forwarder {
    fn handle(self: Rc<Self>, req: Request<Incoming>) -> LocalFuture<'static, Response<Body>> {
        Box::pin(async move {
            let relay = &self.0;
            let result = serve(relay, req).await;
            let outcome = result.as_ref().err().map_or(Outcome::Answered, |e| e.outcome);
            relay.metrics.forwarded_for_others(outcome.name());
            result.unwrap_or_else(Failure::into_response)
        })
    }

    fn bounds(&self) -> Bounds {
        let bounds = self.0.bounds();
        Bounds { max_header: bounds.max_header + EXTRA_HEADER_BYTES, ..bounds }
    }
}

async fn serve(relay: &Rc<Relay>, req: Request<Incoming>) -> Result<Response<Body>, Failure> {
    let unavailable = |reason: &str| Failure::new(Outcome::Unavailable, reason);
    let (mut head, body) = req.into_parts();
    let target = Target::take(&mut head.headers)
        .map_err(|e| Failure::new(Outcome::Unavailable, e.to_string()))?;
    if relay.node.view().stopping() {
        return Err(unavailable("this daemon is stopping"));
    }
    let endpoint = relay.node.view().endpoint(&target.endpoint);
    let endpoint = endpoint.filter(|endpoint| endpoint.started_at == target.started_at);
    let endpoint = endpoint.ok_or_else(|| unavailable("this daemon does not know the endpoint"))?;
    if relay.path(&endpoint) == Path::Forwarded {
        return Err(unavailable("this daemon cannot connect to the endpoint either"));
    }
    if relay.reachability.borrow().is_in_doubt() {
        return Err(unavailable(REACHES_NONE));
    }
    if relay.overload.is_late() || !relay.overload.link().accept_request() {
        return Err(unavailable("this daemon is overloaded"));
    }
    let guard = LoadGuard::acquire(relay, content_length(&head.headers));
    let guard = guard.ok_or_else(|| unavailable("too many forwarded requests"))?;
    let silence = relay.bounds().idle_timeout;
    let body = relay.before_last_refusal(read_whole(body, guard.bytes, silence)).await;
    let body = body.map_err(|e| unavailable(&e.message))?;
    let body = body.map_err(|_| unavailable("the body did not arrive"))?;
    let socket = relay.before_last_refusal(connect(relay, &endpoint)).await;
    let socket = socket.map_err(|e| unavailable(&e.message))??;
    if target.purpose == Purpose::Probe {
        let mut res = Response::new(edge::empty());
        Outcome::Answered.write(res.headers_mut());
        return Ok(res);
    }
    remove_hop_by_hop(&mut head.headers);
    let req = Request::from_parts(head, Full::new(body));
    let in_flight = relay.load_balancer.start_request(&endpoint.id, None);
    let open = exchange(relay, &target, &endpoint, socket, req).await?;
    let OpenAnswer { mut head, body } = open;
    let is_unframed = is_unframed(&head);
    let close_delay = if target.is_stream { STREAM_CLOSE_DELAY } else { CALL_CLOSE_DELAY };
    remove_hop_by_hop(&mut head.headers);
    // Earlier versions have no chunks: the body would end with this daemon's connection.
    head.version = Version::HTTP_11;
    Outcome::Answered.write(&mut head.headers);
    let (tx, rx) = mpsc::channel(MAX_BUFFERED_PIECES);
    let relay = relay.clone();
    tokio::task::spawn_local(async move {
        let is_whole = pass_on(body, &tx, &relay.buffers).await;
        if is_whole
            && is_unframed
            && !relay.is_unframed_response_complete(&endpoint, close_delay).await
        {
            // The daemon that wants it then sees it broken off.
            let _ = tx.send(Err(AnswerError(CRASHED.to_owned()))).await;
        }
        drop(tx);
        drop((in_flight, guard));
    });
    Ok(Response::from_parts(head, edge::streamed(rx)))
}

/// Connects to an endpoint. Says that it cannot be reached only if another one can.
async fn connect(relay: &Relay, endpoint: &RegisteredEndpoint) -> Result<TcpStream, Failure> {
    let error = match relay.connect(endpoint, relay.options.connect_timeout).await {
        Ok(socket) => return Ok(socket),
        Err(ConnectError::Delayed(reason)) => {
            return Err(Failure::new(Outcome::Unavailable, reason));
        }
        Err(ConnectError::Failed(error)) => error,
    };
    if relay.connects_elsewhere(endpoint).await {
        Err(Failure::new(Outcome::NotSent, error.to_string()))
    } else {
        Err(Failure::new(Outcome::Unavailable, REACHES_NONE))
    }
}

/// Sends the request to the endpoint and reads the signals in its response.
async fn exchange(
    relay: &Rc<Relay>,
    target: &Target,
    endpoint: &RegisteredEndpoint,
    socket: TcpStream,
    req: Request<Full<Bytes>>,
) -> Result<OpenAnswer, Failure> {
    let may_send = || match target.purpose {
        Purpose::Caller => relay.may_send(endpoint),
        Purpose::Resume => relay.may_resume(endpoint),
        Purpose::Control | Purpose::Probe => Ok(()),
    };
    let sent_at = relay.node.now();
    let (socket, intake) = (relay.metered(socket), relay.buffers.intake());
    let open = exchange_on(socket, req, may_send, LateResponse::ignored(), Some(intake)).await;
    let open = open.map_err(|error| match error {
        SendError::NotSent(reason) => Failure::new(Outcome::NotSent, reason),
        SendError::Delayed(reason) => Failure::new(Outcome::Unavailable, reason),
        SendError::Withheld(reason) => Failure {
            backoff: relay.backoff_left(endpoint),
            ..Failure::new(Outcome::Withheld, reason)
        },
        SendError::Lost(reason) => Failure::new(Outcome::Lost, reason),
    })?;
    if target.purpose == Purpose::Control {
        relay.on_control_response(&endpoint.service, endpoint, sent_at, &open.head);
    } else {
        let id = &target.request_id;
        relay.on_unclassified_response(id, &endpoint.service, endpoint, sent_at, &open.head);
    }
    Ok(open)
}

/// Passes the body of a response on until it ends or the daemon that wants it leaves; returns whether
/// it ended without an error.
async fn pass_on(
    mut body: AnswerBody,
    tx: &mpsc::Sender<Result<Bytes, AnswerError>>,
    buffers: &Arc<MemoryBudget>,
) -> bool {
    loop {
        let piece = tokio::select! {
            piece = body.next() => piece,
            () = tx.closed() => return false,
        };
        let Some(piece) = piece else { return true };
        let piece = piece.and_then(|bytes| buffers.hold(bytes).map_err(|e| e.to_string()));
        let is_last = piece.is_err();
        if tx.send(piece.map_err(AnswerError)).await.is_err() || is_last {
            return false;
        }
    }
}

fn content_length(headers: &HeaderMap) -> usize {
    let length = headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    length.and_then(|length| length.parse().ok()).unwrap_or(0)
}
