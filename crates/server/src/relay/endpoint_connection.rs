//! Connects to endpoints, directly or through another daemon, and records which of them this daemon
//! reaches.

use std::{io, rc::Rc, time::Duration};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::net::TcpStream;
use trayswitch_clock::Instant;
use trayswitch_core::{
    node::{Forwarders, Input},
    reachability::{Blame, Path, ReachabilityTracker},
    registry::RegisteredEndpoint,
    wire::HealthNews,
};

use super::{Relay, forwarding::Purpose};
use crate::{
    overload::MeteredSocket,
    telemetry::EventId,
    upstream::{LateResponse, OpenAnswer, SendError, connect_within, exchange_on},
};

/// While this daemon is late itself, connections have this many times the usual timeout.
const LATE_TIMEOUT_FACTOR: u32 = 4;

/// A request to be sent to an endpoint.
pub(super) struct EndpointRequest<'a> {
    pub(super) endpoint: &'a RegisteredEndpoint,
    pub(super) req: Request<Full<Bytes>>,
    /// The caller's id; empty if the request is the daemon's own.
    pub(super) id: &'a str,
    pub(super) purpose: Purpose,
    /// Whether the response is a stream of events.
    pub(super) is_stream: bool,
    pub(super) time_left: Duration,
}

/// Why there is no connection to an endpoint.
pub(super) enum ConnectError {
    /// This daemon is too late itself.
    Delayed(String),
    Failed(io::Error),
}

impl Relay {
    /// Sends a request to its endpoint, or through another daemon if only that one connects to it,
    /// and waits for the head of the response. `may_send` is asked once the connection is up.
    pub(super) async fn send(
        self: &Rc<Self>,
        send: EndpointRequest<'_>,
        may_send: impl Fn() -> Result<(), String>,
        late: LateResponse,
    ) -> Result<OpenAnswer, SendError> {
        let endpoint = send.endpoint;
        match self.path(endpoint) {
            Path::Direct => match self.connect(endpoint, send.time_left).await {
                Ok(socket) => {
                    let socket = self.metered(socket);
                    let intake = self.buffers.intake();
                    return exchange_on(socket, send.req, may_send, late, Some(intake)).await;
                }
                Err(ConnectError::Delayed(error)) => return Err(SendError::Delayed(error)),
                Err(ConnectError::Failed(error)) if !self.should_forward(endpoint) => {
                    return Err(SendError::NotSent(error.to_string()));
                }
                Err(ConnectError::Failed(_)) => {}
            },
            Path::Forwarded => {}
            Path::Down => {
                let message = "neither this daemon nor another one can connect to the endpoint";
                return Err(SendError::NotSent(message.into()));
            }
        }
        self.forward(&send, may_send, late).await
    }

    /// Sends one of the daemon's own requests to an endpoint.
    pub(super) async fn exchange(
        self: &Rc<Self>,
        endpoint: &RegisteredEndpoint,
        req: Request<Full<Bytes>>,
    ) -> Result<OpenAnswer, SendError> {
        let time_left = self.options.connect_timeout;
        let send = EndpointRequest {
            endpoint,
            req,
            id: "",
            purpose: Purpose::Control,
            is_stream: false,
            time_left,
        };
        self.send(send, || Ok(()), LateResponse::ignored()).await
    }

    /// Connects to an endpoint within `time_left`. On an error nothing was sent.
    pub(super) async fn connect(
        &self,
        endpoint: &RegisteredEndpoint,
        time_left: Duration,
    ) -> Result<TcpStream, ConnectError> {
        let is_late = self.overload.is_late();
        let timeout = self.options.connect_timeout * if is_late { LATE_TIMEOUT_FACTOR } else { 1 };
        let limit = timeout.min(time_left);
        let started_at = Instant::now();
        let connected = connect_within(&*self.connector, endpoint.address, limit).await;
        self.overload.link().on_connect(&endpoint.id, started_at.elapsed(), connected.is_ok());
        let error = match connected {
            Ok(socket) => {
                let now = self.node.now();
                self.update_reachability(|tracker| tracker.on_connected(&endpoint.id, now));
                return Ok(socket);
            }
            Err(error) => error,
        };
        let timed_out = error.kind() == io::ErrorKind::TimedOut;
        if timed_out && (is_late || self.overload.is_late()) {
            return Err(ConnectError::Delayed(error.to_string()));
        }
        // A connection that had less time may only have been slow.
        if self.options.connect_timeout <= limit {
            self.update_reachability(|tracker| {
                tracker.on_connect_failed(&endpoint.id, endpoint.started_at);
            });
        }
        Err(ConnectError::Failed(error))
    }

    /// Counts the bytes of a connection as load of the VM's link.
    pub(super) fn metered(&self, socket: TcpStream) -> MeteredSocket {
        MeteredSocket::new(socket, Some(self.overload.link().clone()))
    }

    /// How a request should reach an endpoint now.
    pub(super) fn path(&self, endpoint: &RegisteredEndpoint) -> Path {
        let tracker = self.reachability.borrow();
        tracker.path(&endpoint.id, endpoint.started_at, self.node.now())
    }

    /// Whether a request that could not be sent directly should be forwarded rather than sent to
    /// another endpoint. If not, it is found out in the background whose fault it is.
    fn should_forward(self: &Rc<Self>, endpoint: &RegisteredEndpoint) -> bool {
        if self.forwarders() == Forwarders::default() {
            return false;
        }
        let tracker = self.reachability.borrow();
        let open = self.node.view().open_endpoints(&endpoint.service);
        let has_alternative = open.iter().any(|other| !tracker.is_unreachable(&other.id));
        let should_forward = !has_alternative || !tracker.is_isolated_failure(&endpoint.id);
        drop(tracker);
        if !should_forward {
            self.spawn_verdict(endpoint);
        }
        should_forward
    }

    /// Tells the schedulers that an endpoint has failed, unless this daemon is late itself, or only the
    /// path from here is broken or that is still being found out.
    pub(super) fn report_failure(&self, endpoint: &RegisteredEndpoint) {
        if self.overload.is_late() {
            return;
        }
        let is_to_blame = match self.reachability.borrow().blame(&endpoint.id) {
            Blame::Endpoint => true,
            Blame::Path => false,
            Blame::Undecided => self.forwarders() == Forwarders::default(),
        };
        if is_to_blame {
            self.node.input(Input::Health(endpoint.id.clone(), HealthNews::Failed));
        }
    }

    /// Time since this daemon last connected to any endpoint, for log lines; `-` if it never has.
    pub(super) fn describe_last_connected(&self) -> String {
        let last = self.reachability.borrow().last_connected();
        let age = last.map(|at| self.node.now().since(at).as_millis().to_string());
        age.unwrap_or_else(|| "-".to_owned())
    }

    /// Updates the reachability of endpoints. Logs a change, and tells other daemons whether this
    /// one takes the requests that they forward.
    pub(super) fn update_reachability(&self, update: impl FnOnce(&mut ReachabilityTracker)) {
        let mut tracker = self.reachability.borrow_mut();
        let state = |tracker: &ReachabilityTracker| {
            let (unreachable, broken_paths) = (tracker.unreachable(), tracker.broken_paths());
            (unreachable, broken_paths, tracker.is_cut_off(), tracker.is_in_doubt())
        };
        let before = state(&tracker);
        update(&mut tracker);
        let after = state(&tracker);
        drop(tracker);
        if before == after {
            return;
        }
        let (unreachable, broken_paths, cut_off, in_doubt) = after;
        self.metrics.unreachable_endpoints(unreachable, broken_paths);
        log::info!(
            event = EventId::ReachabilityChanged.number(), unreachable = unreachable,
            broken_paths = broken_paths, cut_off = cut_off, in_doubt = in_doubt;
            "other endpoints than before can be reached"
        );
        let (.., was_in_doubt) = before;
        if was_in_doubt != in_doubt && self.is_forwarder.get() {
            self.node.input(Input::AcceptsForwarded(!in_doubt));
        }
    }
}
