//! Unary calls: load balancing, retries and hedging.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::{StreamExt, stream::FuturesUnordered};
use http::{Response, response};
use trayswitch_clock::Instant;
use trayswitch_core::{
    error::{ErrorKind, RequestError},
    mechanism::Mechanism,
    registry::RegisteredEndpoint,
    signals::EndpointSignals,
};

use super::{
    Job, MAX_REJECTIONS, RejectionReason, Relay, ResponseClass, delayed_error,
    endpoint_connection::EndpointRequest, failed_attempt::AttemptGuard, forwarding::Purpose,
    job::ResumeFrom, load_balancer::Outcome, no_response_error, quarantine_turn::QuarantineTurn,
    rate_limit::AttemptKind,
};
use crate::{
    edge::{self, Body, LocalFuture},
    telemetry::EventId,
    upstream::SendError,
};

/// Attempts that may be withheld just before sending, before the call fails.
const MAX_WITHHELD_ATTEMPTS: usize = 16;
/// Largest response body that is buffered.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Shortest time until a call that could not be hedged is looked at again.
const MIN_HEDGE_RECHECK: Duration = Duration::from_millis(10);

/// Whether a retry takes from the retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RetryCost {
    /// It does not: the attempt before arrived nowhere, so the retry adds no load.
    Free,
    Budgeted,
}

enum AttemptEnd {
    /// The endpoint's complete response.
    Response { head: response::Parts, body: Bytes, success: bool },
    /// Not sent: the endpoint accepts no new requests.
    Withheld(String),
    /// Not sent: no connection came up.
    NotSent(String),
    /// Not executed by the endpoint.
    NotRun(String),
    /// May have been executed.
    Unknown(String),
    /// Not sent: the request is quarantined, no endpoint is available or admission was revoked.
    Refused(RequestError),
}

impl AttemptEnd {
    /// The outcome and detail for the log line.
    fn describe(&self) -> (&'static str, String) {
        match self {
            AttemptEnd::Response { head, success: true, .. } => {
                ("answered", head.status.to_string())
            }
            AttemptEnd::Response { head, .. } => ("failed", head.status.to_string()),
            AttemptEnd::Withheld(error) => ("withheld", error.clone()),
            AttemptEnd::NotSent(error) | AttemptEnd::NotRun(error) => ("not_run", error.clone()),
            AttemptEnd::Unknown(error) => ("unknown", error.clone()),
            AttemptEnd::Refused(error) => ("refused", error.message.clone()),
        }
    }
}

/// Serves one call.
pub(super) async fn serve(relay: &Rc<Relay>, job: Job) -> Response<Body> {
    let mut call = Call::new(relay, &job);
    let result = relay.until_given_up(&job, call.run()).await;
    let result = result.map_err(|e| no_response_error(call.attempts, e)).flatten();
    match result {
        Ok((head, body)) => {
            let cause = if head.status.is_success() { "answered" } else { "endpoint_failed" };
            job.log_end(&relay.metrics, cause, head.status.as_str());
            relay.build_response(&head, edge::full(body))
        }
        Err(error) => relay.fail(&job, &error),
    }
}

struct Call<'a> {
    relay: &'a Rc<Relay>,
    job: &'a Job,
    running: FuturesUnordered<LocalFuture<'a, AttemptEnd>>,
    /// Endpoints that the call was sent to.
    tried: Rc<RefCell<Vec<Arc<str>>>>,
    /// Attempts that may have been executed or still may be.
    attempts: u32,
    rejections: u32,
    /// The latest error response of an endpoint, returned if no other attempt succeeds.
    failed_response: Option<(response::Parts, Bytes)>,
    /// Reported to the caller if no attempt gets a response.
    last_error: String,
}

impl<'a> Call<'a> {
    fn new(relay: &'a Rc<Relay>, job: &'a Job) -> Call<'a> {
        Call {
            relay,
            job,
            running: FuturesUnordered::new(),
            tried: Rc::default(),
            attempts: 0,
            rejections: 0,
            failed_response: None,
            last_error: String::new(),
        }
    }

    async fn run(&mut self) -> Result<(response::Parts, Bytes), RequestError> {
        self.start_attempt(AttemptKind::First);
        // A repeatable call that takes unusually long is hedged with a second attempt.
        let hedge_delay = self.relay.hedge_delay(&self.job.service);
        let hedge_timer = tokio::time::sleep(hedge_delay.unwrap_or_default());
        let mut hedge_timer = std::pin::pin!(hedge_timer);
        let may_hedge = self.is_repeatable() && self.relay.is_enabled(Mechanism::SecondAttempts);
        let mut hedged = !may_hedge || hedge_delay.is_none();
        loop {
            tokio::select! {
                Some(end) = self.running.next() => {
                    if let Some(response) = self.on_attempt_end(end)? {
                        return Ok(response);
                    }
                }
                () = hedge_timer.as_mut(), if !hedged => {
                    // An attempt that still waits to be sent, or a daemon that is late itself, says
                    // nothing about the endpoint's latency: the call is looked at again.
                    let is_sent = !self.tried.borrow().is_empty();
                    if !is_sent || self.relay.overload.is_late() {
                        let delay = hedge_delay.unwrap_or_default().max(MIN_HEDGE_RECHECK);
                        hedge_timer.as_mut().reset(tokio::time::Instant::now() + delay);
                        continue;
                    }
                    hedged = true;
                    // Attempts of a suspect request run one at a time, so a hedge would queue
                    // behind the first.
                    if !self.relay.is_suspect(self.job) {
                        self.start_retry(RetryCost::Budgeted);
                    }
                }
            }
        }
    }

    fn is_repeatable(&self) -> bool {
        self.job.route.spec.kind.is_repeatable()
    }

    /// Processes a finished attempt; returns the response if the call is complete.
    fn on_attempt_end(
        &mut self,
        end: AttemptEnd,
    ) -> Result<Option<(response::Parts, Bytes)>, RequestError> {
        match end {
            AttemptEnd::Response { head, body, success: true } => return Ok(Some((head, body))),
            AttemptEnd::Response { head, body, success: false } => {
                if !self.is_repeatable() {
                    return Ok(Some((head, body)));
                }
                self.failed_response = Some((head, body));
                self.start_retry(RetryCost::Budgeted);
            }
            AttemptEnd::NotSent(error) => self.on_not_run(error, RetryCost::Free),
            AttemptEnd::NotRun(error) | AttemptEnd::Withheld(error) => {
                self.on_not_run(error, RetryCost::Budgeted);
            }
            AttemptEnd::Unknown(error) => {
                self.last_error = error;
                if self.is_repeatable() {
                    self.start_retry(RetryCost::Budgeted);
                }
            }
            AttemptEnd::Refused(error) => {
                self.attempts -= 1;
                if self.attempts == 0 {
                    return Err(error);
                }
                self.last_error = error.message;
            }
        }
        if !self.running.is_empty() {
            return Ok(None);
        }
        match self.failed_response.take() {
            Some(response) => Ok(Some(response)),
            None => Err(no_response_error(self.attempts, &self.last_error)),
        }
    }

    /// Retries an attempt that no endpoint has executed, up to [`MAX_REJECTIONS`] times.
    fn on_not_run(&mut self, error: String, cost: RetryCost) {
        self.attempts -= 1;
        self.rejections += 1;
        self.last_error = error;
        if self.rejections < MAX_REJECTIONS {
            self.start_retry(cost);
        }
    }

    /// Starts another attempt if the route, the retry budget and the endpoints allow it.
    fn start_retry(&mut self, cost: RetryCost) {
        if self.job.route.spec.max_attempts <= self.attempts || self.job.time_left().is_zero() {
            return;
        }
        if self.relay.recheck_admission(self.job).is_err() {
            return;
        }
        let may_retry = || match cost {
            RetryCost::Free => true,
            RetryCost::Budgeted => self.relay.try_acquire_retry(&self.job.service),
        };
        if self.has_untried() && may_retry() {
            self.start_attempt(AttemptKind::Retry);
        }
    }

    /// Whether an admissible endpoint is left that the call was not sent to.
    fn has_untried(&self) -> bool {
        let open = self.relay.open_endpoints(self.job);
        let admitted = self.relay.admitted(open, AttemptKind::Retry, &self.tried.borrow());
        !admitted.endpoints.is_empty()
    }

    fn start_attempt(&mut self, kind: AttemptKind) {
        self.attempts += 1;
        let attempt = attempt(self.relay, self.job, kind, self.tried.clone());
        self.running.push(Box::pin(attempt));
    }
}

/// The error for a call to a service without an available endpoint.
pub(super) fn no_endpoint_error(relay: &Relay, service: &str) -> RequestError {
    let view = relay.node.view();
    if !view.open_endpoints(service).is_empty() {
        // All are cold and at their rate limit.
        let message = format!("all endpoints of {service} are starting up and at their rate limit");
        return RequestError::new(ErrorKind::Overloaded, message);
    }
    if view.is_out_of_service(service) {
        let message = format!("every data hall that serves {service} is out of service");
        return RequestError::new(ErrorKind::OutOfService, message);
    }
    RequestError::new(ErrorKind::NoEndpoint, format!("no live endpoint serves {service}"))
}

/// Makes one attempt; if it is withheld just before sending, selects another endpoint.
async fn attempt(
    relay: &Rc<Relay>,
    job: &Job,
    kind: AttemptKind,
    tried: Rc<RefCell<Vec<Arc<str>>>>,
) -> AttemptEnd {
    loop {
        match try_once(relay, job, kind, &tried).await {
            AttemptEnd::Withheld(error) if MAX_WITHHELD_ATTEMPTS <= tried.borrow().len() => {
                return AttemptEnd::NotRun(error);
            }
            AttemptEnd::Withheld(_) => {}
            end => return end,
        }
    }
}

async fn try_once(
    relay: &Rc<Relay>,
    job: &Job,
    kind: AttemptKind,
    tried: &RefCell<Vec<Arc<str>>>,
) -> AttemptEnd {
    let turn = relay.wait_unless_stopping(job, relay.quarantine_turn(job)).await;
    let mut turn = match turn {
        Ok(turn) => turn,
        Err(error) => return AttemptEnd::Refused(error),
    };
    let already_tried = tried.borrow().clone();
    let selected = relay.select_endpoint(job, kind, &already_tried);
    let endpoint = match relay.wait_unless_stopping(job, selected).await {
        Ok(endpoint) => endpoint,
        Err(error) => return AttemptEnd::Refused(error),
    };
    tried.borrow_mut().push(endpoint.id.clone());
    // The configuration or the key may have changed while the attempt waited.
    if let Err(error) = relay.recheck_admission(job) {
        return AttemptEnd::Refused(error);
    }
    let started_at = Instant::now();
    let context = relay.decision_context();
    let in_flight = relay.load_balancer.in_flight(&endpoint.id);
    let in_flight_guard =
        relay.load_balancer.start_request(&endpoint.id, relay.cold_start_policy(job).as_ref());
    let unanswered_guard = relay.track_unanswered(&endpoint.id);
    let guard = AttemptGuard::new(relay, job, &turn, &endpoint);
    let AttemptReport { end, outcome, signals } = send(relay, job, &turn, &endpoint).await;
    guard.complete();
    drop(in_flight_guard);
    if let (Some(unanswered_guard), AttemptEnd::Response { .. }) = (unanswered_guard, &end) {
        unanswered_guard.mark_answered();
    }
    if !matches!(end, AttemptEnd::Withheld(_) | AttemptEnd::Refused(_)) {
        relay.load_balancer.record_outcome(&endpoint.id, outcome);
    }
    if outcome == Outcome::Success {
        if !relay.overload.is_late() {
            relay.record_latency(&job.service, started_at.elapsed());
        }
        relay.on_response_complete(job, &mut turn);
    }
    let (name, detail) = end.describe();
    relay.metrics.attempt(&job.service, name);
    log::info!(
        event = EventId::AttemptEnded.number(), id = job.caller.id.as_str(),
        endpoint = &*endpoint.id, end = name, detail = detail.as_str(),
        config = context.config, config_age_ms = context.config_age_ms,
        sequence = endpoint.sequence, own_running = in_flight,
        limit = signals.describe_limit().as_str(),
        backoff_ms = signals.describe_backoff().as_str(), leaving = signals.is_leaving(),
        reached_ms = relay.describe_last_connected().as_str(),
        took_ms = started_at.elapsed().as_millis() as u64;
        "an attempt ended"
    );
    end
}

/// The result of one attempt.
struct AttemptReport {
    end: AttemptEnd,
    /// Reported to the load balancer.
    outcome: Outcome,
    /// Signals in the endpoint's response.
    signals: EndpointSignals,
}

impl AttemptReport {
    /// An attempt without signals from the endpoint.
    fn new(end: AttemptEnd, outcome: Outcome) -> AttemptReport {
        AttemptReport { end, outcome, signals: EndpointSignals::default() }
    }
}

/// Sends the request and reads the complete response.
async fn send(
    relay: &Rc<Relay>,
    job: &Job,
    turn: &QuarantineTurn,
    endpoint: &RegisteredEndpoint,
) -> AttemptReport {
    let protocol = &*relay.protocol;
    let req = job.request(protocol, &endpoint.id, endpoint.address, &ResumeFrom::default());
    let sent_at = relay.node.now();
    let may_send = || relay.may_send(endpoint);
    let late = relay.late_response(job, endpoint, sent_at);
    let send = EndpointRequest {
        endpoint,
        req,
        id: &job.caller.id,
        purpose: Purpose::Caller,
        is_stream: false,
        time_left: job.time_left(),
    };
    let open = match relay.send(send, may_send, late).await {
        Ok(open) => open,
        Err(SendError::Withheld(error)) => {
            return AttemptReport::new(AttemptEnd::Withheld(error), Outcome::Error);
        }
        Err(SendError::Delayed(error)) => {
            let refused = AttemptEnd::Refused(delayed_error(&error));
            return AttemptReport::new(refused, Outcome::Error);
        }
        Err(SendError::NotSent(error)) => {
            return AttemptReport::new(AttemptEnd::NotSent(error), Outcome::Unreachable);
        }
        Err(SendError::Lost(error)) => {
            relay.on_attempt_failed(job, turn, endpoint, 0).await;
            return AttemptReport::new(AttemptEnd::Unknown(error), Outcome::Unreachable);
        }
    };
    let success = match protocol.classify_response(&job.caller.id, &open.head) {
        ResponseClass::Executed { success } => success,
        ResponseClass::Rejected(RejectionReason::Overloaded) => {
            let signals = relay.on_rejection(&job.service, endpoint, sent_at, &open.head);
            let end = AttemptEnd::NotRun("the endpoint rejected the request: overloaded".into());
            return AttemptReport { end, outcome: Outcome::Error, signals };
        }
        ResponseClass::Rejected(RejectionReason::WrongEndpoint) => {
            let end = AttemptEnd::NotRun("the address belongs to another endpoint run".into());
            return AttemptReport::new(end, Outcome::Unreachable);
        }
        ResponseClass::Invalid(error) => {
            relay.on_control_response(&job.service, endpoint, sent_at, &open.head);
            return AttemptReport::new(AttemptEnd::Unknown(error.into()), Outcome::Error);
        }
    };
    let signals = relay.on_response(&job.service, endpoint, sent_at, &open.head);
    let head = open.head.clone();
    match relay.read_whole_body(endpoint, open, MAX_RESPONSE_BYTES).await {
        Ok(body) => {
            let outcome = if success { Outcome::Success } else { Outcome::Error };
            AttemptReport { end: AttemptEnd::Response { head, body, success }, outcome, signals }
        }
        Err(error) => {
            relay.on_attempt_failed(job, turn, endpoint, 0).await;
            AttemptReport { end: AttemptEnd::Unknown(error), outcome: Outcome::Error, signals }
        }
    }
}
