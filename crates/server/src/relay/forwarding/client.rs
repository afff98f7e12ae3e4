//! Sends requests to forwarders.

use std::{rc::Rc, time::Duration};

use http::Request;
use http_body_util::Full;
use tokio::{net::TcpStream, time::timeout};
use trayswitch_core::{
    mechanism::Mechanism,
    node::{Forwarders, Input, VmName},
    reachability::Blame,
    registry::RegisteredEndpoint,
    wire::HealthNews,
};

use super::{
    Purpose,
    message::{Outcome, Target, take_backoff},
};
use crate::{
    relay::{Relay, endpoint_connection::EndpointRequest},
    telemetry::EventId,
    upstream::{LateResponse, OpenAnswer, SendError, connect_within, exchange_on},
};

/// Forwarders that one request is offered to.
const MAX_OFFERS: usize = 3;
/// Longest back-off that this daemon takes over from its forwarders: it may reach the endpoint by itself
/// again sooner.
const MAX_ADOPTED_BACKOFF: Duration = Duration::from_secs(1);
/// Forwarders that must fail to connect to an endpoint before it is taken to be down.
const MAX_CONNECT_FAILURES: usize = 2;
/// Largest reason of a forwarder that is read.
const MAX_REASON_BYTES: usize = 1_024;

/// What became of an offer to a forwarder.
enum Offer {
    Answered(OpenAnswer),
    /// The forwarder could not connect to the endpoint.
    NotSent(String),
    /// The forwarder did not take the request.
    NotTaken(String),
    /// The endpoint accepts no new requests of the forwarder, which may back off for this time.
    Withheld(String, Option<Duration>),
    /// The request must not be offered to another forwarder.
    Final(SendError),
}

impl Offer {
    fn name(&self) -> &'static str {
        match self {
            Offer::Answered(_) => Outcome::Answered.name(),
            Offer::NotSent(_) => Outcome::NotSent.name(),
            Offer::NotTaken(_) => Outcome::Unavailable.name(),
            Offer::Withheld(..) => Outcome::Withheld.name(),
            Offer::Final(SendError::Lost(_)) => Outcome::Lost.name(),
            Offer::Final(_) => Outcome::Withheld.name(),
        }
    }

    fn detail(&self) -> String {
        match self {
            Offer::Answered(_) => String::new(),
            Offer::NotSent(error) | Offer::NotTaken(error) | Offer::Withheld(error, _) => {
                error.clone()
            }
            Offer::Final(error) => error.to_string(),
        }
    }
}

impl Relay {
    /// Daemons that take requests for endpoints which this one cannot connect to.
    pub(in crate::relay) fn forwarders(&self) -> Forwarders {
        if self.is_enabled(Mechanism::Forwarding) {
            self.node.view().forwarders()
        } else {
            Forwarders::default()
        }
    }

    /// Sends a request to its endpoint through a forwarder.
    pub(in crate::relay) async fn forward(
        &self,
        send: &EndpointRequest<'_>,
        may_send: impl Fn() -> Result<(), String>,
        late: LateResponse,
    ) -> Result<OpenAnswer, SendError> {
        let endpoint = send.endpoint;
        let (mut late, mut tried, mut failures) = (Some(late), Vec::new(), 0);
        let mut error = "no other daemon takes requests for this endpoint".to_owned();
        // A back-off binds new requests of callers only.
        let bound = (send.purpose == Purpose::Caller).then_some(&endpoint.id);
        while tried.len() < MAX_OFFERS {
            let selected = self.forwarder_pool.borrow().select(&self.forwarders(), &tried, bound);
            let Some(vm) = selected else { break };
            tried.push(vm.clone());
            let late = late.take().unwrap_or_else(LateResponse::ignored);
            let offer = self.offer(&vm, send, &may_send, late).await;
            self.log_offer(&vm, send, &offer);
            match offer {
                Offer::Answered(open) => {
                    self.record_verdict(endpoint, true);
                    return Ok(open);
                }
                Offer::NotSent(e) => {
                    error = e;
                    failures += 1;
                    if MAX_CONNECT_FAILURES <= failures {
                        break;
                    }
                }
                Offer::NotTaken(e) | Offer::Withheld(e, None) => error = e,
                Offer::Withheld(e, Some(left)) => {
                    error = e;
                    self.forwarder_pool.borrow_mut().on_backoff(&vm, &endpoint.id, left);
                }
                Offer::Final(error) => return Err(error),
            }
        }
        if 0 < failures {
            self.record_verdict(endpoint, false);
        }
        if bound.is_some() && self.adopt_backoff(endpoint) {
            return Err(SendError::Withheld(error));
        }
        Err(SendError::NotSent(error))
    }

    /// Backs off from an endpoint if all forwarders do, as there is no way to it until then; returns whether
    /// they do.
    fn adopt_backoff(&self, endpoint: &RegisteredEndpoint) -> bool {
        let backoff = self.forwarder_pool.borrow().common_backoff(&self.forwarders(), &endpoint.id);
        if let Some(left) = backoff {
            self.report_rejection(endpoint, Some(left.min(MAX_ADOPTED_BACKOFF)));
        }
        backoff.is_some()
    }

    /// Whether another daemon connects to an endpoint; `None` if none has answered.
    pub(in crate::relay) async fn ask_forwarders(
        &self,
        endpoint: &RegisteredEndpoint,
    ) -> Option<bool> {
        let probe = EndpointRequest {
            endpoint,
            req: Request::new(Full::default()),
            id: "",
            purpose: Purpose::Probe,
            is_stream: false,
            time_left: self.options.connect_timeout,
        };
        let answer = self.forward(&probe, || Ok(()), LateResponse::ignored()).await;
        match self.reachability.borrow().blame(&endpoint.id) {
            _ if answer.is_ok() => Some(true),
            Blame::Endpoint => Some(false),
            Blame::Path | Blame::Undecided => None,
        }
    }

    /// Finds out in the background whose fault it is that an endpoint cannot be reached; the
    /// schedulers are told if it is the endpoint's.
    pub(in crate::relay) fn spawn_verdict(self: &Rc<Self>, endpoint: &RegisteredEndpoint) {
        let (relay, endpoint) = (self.clone(), endpoint.clone());
        tokio::task::spawn_local(async move {
            let is_up = relay.ask_forwarders(&endpoint).await == Some(true);
            if !is_up && relay.reachability.borrow().blame(&endpoint.id) != Blame::Path {
                let news = Input::Health(endpoint.id.clone(), HealthNews::Failed);
                relay.node.input(news);
            }
        });
    }

    fn record_verdict(&self, endpoint: &RegisteredEndpoint, is_up: bool) {
        let now = self.node.now();
        self.update_reachability(|tracker| tracker.on_verdict(&endpoint.id, is_up, now));
    }

    async fn offer(
        &self,
        vm: &VmName,
        send: &EndpointRequest<'_>,
        may_send: impl Fn() -> Result<(), String>,
        late: LateResponse,
    ) -> Offer {
        let guard = self.forwarder_pool.borrow_mut().start(vm);
        let not_taken = |error: String| {
            if !self.overload.is_late() {
                self.forwarder_pool.borrow_mut().on_failure(vm);
            }
            Offer::NotTaken(error)
        };
        let socket = match self.connect_forwarder(vm, send.time_left).await {
            Ok(socket) => socket,
            Err(error) => return not_taken(error),
        };
        let mut req = send.req.clone();
        let target = Target {
            endpoint: send.endpoint.id.to_string(),
            started_at: send.endpoint.started_at,
            request_id: send.id.to_owned(),
            purpose: send.purpose,
            is_stream: send.is_stream,
        };
        target.write(req.headers_mut());
        if !req.headers().contains_key(http::header::HOST)
            && let Ok(host) = http::HeaderValue::from_str(vm)
        {
            req.headers_mut().insert(http::header::HOST, host);
        }
        let socket = self.metered(socket);
        let mut open =
            match exchange_on(socket, req, may_send, late, Some(self.buffers.intake())).await {
                Ok(open) => open,
                Err(SendError::NotSent(error)) => return not_taken(error),
                Err(SendError::Lost(error)) => {
                    self.forwarder_pool.borrow_mut().on_failure(vm);
                    return Offer::Final(SendError::Lost(error));
                }
                Err(error) => return Offer::Final(error),
            };
        let outcome = Outcome::take(&mut open.head.headers);
        let backoff = take_backoff(&mut open.head.headers);
        if outcome == Some(Outcome::Answered) {
            open.body.hold(guard);
            return Offer::Answered(open);
        }
        let reason = open.body.collect_within(MAX_REASON_BYTES, self.buffers.reservation()).await;
        let reason = reason.unwrap_or_default();
        let reason = String::from_utf8_lossy(&reason).into_owned();
        match outcome {
            Some(Outcome::NotSent) => Offer::NotSent(reason),
            Some(Outcome::Unavailable) => not_taken(reason),
            Some(Outcome::Withheld) => Offer::Withheld(reason, backoff),
            Some(Outcome::Lost) => Offer::Final(SendError::Lost(reason)),
            Some(Outcome::Answered) | None => {
                Offer::Final(SendError::Lost("the forwarder's response is malformed".into()))
            }
        }
    }

    /// Connects to a forwarder and proves the key.
    async fn connect_forwarder(
        &self,
        vm: &VmName,
        time_left: Duration,
    ) -> Result<TcpStream, String> {
        let address = self.options.forward_port.address(vm);
        let address = address.ok_or_else(|| format!("\"{vm}\" is not an IP number"))?;
        let limit = self.options.connect_timeout.min(time_left);
        let connected = connect_within(&crate::upstream::TcpConnector, address, limit).await;
        let socket = connected.map_err(|e| e.to_string())?;
        match timeout(limit, self.node.authenticate(socket, true)).await {
            Ok(Ok(socket)) => Ok(socket),
            Ok(Err(e)) => Err(format!("{e:#}")),
            Err(_) => Err(format!("no handshake within {limit:?}")),
        }
    }

    fn log_offer(&self, vm: &VmName, send: &EndpointRequest<'_>, offer: &Offer) {
        self.metrics.forwarded(&send.endpoint.service, offer.name());
        log::info!(
            event = EventId::RequestForwarded.number(), id = send.id, peer = &**vm,
            endpoint = &*send.endpoint.id, purpose = send.purpose.name(), end = offer.name(),
            detail = offer.detail().as_str();
            "a request was sent through another daemon"
        );
    }
}
