//! Forwards requests from callers to endpoints and streams the responses back.
//!
//! [`Relay`] admits a request, resolves its route and workspace, and dispatches it to `call`
//! (unary requests) or `generation` (event streams). A [`Protocol`] decodes and encodes the
//! messages on both sides.

mod admission;
mod backoff;
mod call;
mod endpoint_connection;
mod event_stream;
mod failed_attempt;
mod forwarding;
mod generation;
mod job;
mod latency;
mod load_balancer;
mod local_placement;
mod protocol;
mod quarantine_turn;
mod rate_limit;
mod relocation;
mod retry_budget;
mod run_confirmation;
mod signals;
mod software_version;
mod sound_parts;
mod staleness;
mod stopping;
mod stream;
#[cfg(test)]
mod tests;
mod unframed_response;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use http::{Request, Response, response};
use hyper::body::Incoming;
use tokio::sync::Semaphore;
use trayswitch_clock::Instant;
use trayswitch_core::{
    backoff::RetrySpreader,
    error::{ErrorKind, RequestError},
    mechanism::{Disabled, Mechanism},
    node::Input,
    placement::SenderRole,
    reachability::ReachabilityTracker,
};

use self::{
    failed_attempt::MAX_WATCHED_ENDPOINTS,
    forwarding::{ForwardedLoad, ForwarderPool},
    job::Job,
    latency::LatencyEstimate,
    load_balancer::{ColdStartPolicy, LoadBalancer},
    retry_budget::RetryBudget,
    run_confirmation::RunConfirmations,
    sound_parts::SoundParts,
    staleness::Staleness,
};
pub use self::{
    local_placement::Reservation,
    protocol::{
        Attempt, CallerRequest, CopyCommand, CopyReply, KvCopy, Prompt, Protocol, RejectionReason,
        ReservationReply, ResponseClass,
    },
};
use crate::{
    edge::{self, Body, Bounds, Handler, LocalFuture, TimeLeft},
    overload::{MemoryBudget, OverloadMonitor},
    runtime::{NodeHandle, PeerPort},
    telemetry::{EventId, Metrics},
    upstream::Connector,
};

/// A request may queue for at most its remaining time divided by this; the rest is for the
/// response.
const QUEUE_TIME_DIVISOR: u32 = 2;
/// Endpoints that may reject one request before the rejection is returned to its caller.
const MAX_REJECTIONS: u32 = 3;

/// `Retry-After` of a daemon that is late itself: a retry reaches another one.
const DELAYED_RETRY_AFTER: Duration = Duration::from_millis(10);

/// Operator settings that apply to all requests.
#[derive(Debug, Clone, Copy)]
pub struct RelayOptions {
    /// Maximum time since the configuration was last confirmed for a request to be served.
    pub max_config_age: Duration,
    /// Retries allowed across all daemons, as a fraction of their requests.
    pub retry_ratio: f64,
    /// Retries allowed across all daemons in a window, on top of `retry_ratio`.
    pub retry_slack: f64,
    /// Sliding window in which requests and retries are counted.
    pub retry_window: Duration,
    /// The port at which daemons take requests that others forward.
    pub forward_port: PeerPort,
    /// Timeout for connecting to an endpoint.
    pub connect_timeout: Duration,
    /// How long after a request was sent the head of its response is still read if the attempt is
    /// not needed any more. An endpoint may ask for back-off in it.
    pub late_response_timeout: Duration,
    /// Timeout for one copy of a generation's KV cache.
    pub copy_timeout: Duration,
    /// How long requests wait for a configuration after a start or a suspension before they are
    /// refused at once.
    pub config_recovery_timeout: Duration,
    /// Bytes of bodies and events that may be buffered at a time.
    pub max_buffered: usize,
    /// Mechanisms that are disabled.
    pub disabled: Disabled,
}

/// Configuration state recorded in the log line of an attempt.
#[derive(Debug, Clone, Copy)]
struct DecisionContext {
    /// Version of the active configuration.
    config: u64,
    /// Time since the active configuration was last confirmed.
    config_age_ms: u64,
}

/// Forwards callers' requests to endpoints.
pub struct Relay {
    node: NodeHandle,
    protocol: Box<dyn Protocol>,
    hall: Arc<str>,
    options: RelayOptions,
    connector: Box<dyn Connector>,
    overload: Rc<OverloadMonitor>,
    /// Memory for bodies and events on their way.
    buffers: Arc<MemoryBudget>,
    /// Which endpoints this daemon can connect to.
    reachability: RefCell<ReachabilityTracker>,
    /// Whether this daemon takes requests that others forward.
    is_forwarder: Cell<bool>,
    forwarder_pool: RefCell<ForwarderPool>,
    forwarded_load: ForwardedLoad,
    load_balancer: LoadBalancer,
    retry_budgets: RefCell<HashMap<String, RetryBudget>>,
    /// Call latency by service.
    latencies: RefCell<HashMap<String, LatencyEstimate>>,
    /// Until when, by service, no permit is requested at rate-limited endpoints while others are
    /// free.
    permit_denied_until: RefCell<HashMap<String, Instant>>,
    /// How long the active configuration has been missing or unconfirmed.
    staleness: Staleness,
    /// Parts of prompts that requests were recently answered well with.
    sound_parts: RefCell<SoundParts>,
    /// One permit for each endpoint that is watched after a failed attempt.
    watch_permits: Arc<Semaphore>,
    run_confirmations: RunConfirmations,
    /// Spreads the retries of callers refused together, by service.
    retry_spreaders: RefCell<HashMap<String, RetrySpreader>>,
    metrics: Rc<Metrics>,
}

impl Relay {
    /// Starts the relay of a daemon in data hall `hall`, which reaches endpoints with `connector`.
    pub fn spawn(
        node: NodeHandle,
        protocol: Box<dyn Protocol>,
        hall: Arc<str>,
        options: RelayOptions,
        metrics: Rc<Metrics>,
        connector: Box<dyn Connector>,
        overload: Rc<OverloadMonitor>,
    ) -> Rc<Relay> {
        let relay = Rc::new(Relay {
            node,
            protocol,
            hall,
            options,
            connector,
            overload,
            buffers: MemoryBudget::new(options.max_buffered, metrics.buffers()),
            reachability: RefCell::default(),
            is_forwarder: Cell::default(),
            forwarder_pool: RefCell::default(),
            forwarded_load: ForwardedLoad::default(),
            load_balancer: LoadBalancer::new(options.disabled),
            retry_budgets: RefCell::default(),
            latencies: RefCell::default(),
            permit_denied_until: RefCell::default(),
            staleness: Staleness::starting_at(Instant::now()),
            sound_parts: RefCell::new(SoundParts::starting_at(Instant::now())),
            watch_permits: Arc::new(Semaphore::new(MAX_WATCHED_ENDPOINTS)),
            run_confirmations: RunConfirmations::default(),
            retry_spreaders: RefCell::default(),
            metrics,
        });
        forwarding::spawn_probes(Rc::downgrade(&relay));
        let (node, mut late) = (relay.node.clone(), relay.overload.watch_late());
        tokio::task::spawn_local(async move {
            while late.changed().await.is_ok() {
                let is_late = *late.borrow_and_update();
                node.input(Input::OwnDelay(is_late));
            }
        });
        relay
    }

    /// Takes a retry from the budget of `service`, if one is left.
    fn try_acquire_retry(&self, service: &str) -> bool {
        let (now, daemons) = (self.node.now(), self.node.view().daemons());
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let budget = retry_budgets.entry(service.to_owned()).or_default();
        budget.try_acquire(&self.options, daemons, now)
    }

    fn decision_context(&self) -> DecisionContext {
        let view = self.node.view();
        let age = view.confirmed().map(|at| self.node.now().since(at));
        DecisionContext {
            config: view.active_config().map_or(0, |f| f.version),
            config_age_ms: age.map_or(0, |age| age.as_millis() as u64),
        }
    }

    /// The cold-start limits of a request's service, if it has any.
    fn cold_start_policy(&self, job: &Job) -> Option<ColdStartPolicy> {
        let service = job.config.config.services.get(&job.service)?;
        let senders = SenderRole::one_of(self.node.view().daemons());
        Some(ColdStartPolicy { limits: service.cold_start?, senders, now: self.node.now() })
    }

    /// Records the latency of an answered call.
    fn record_latency(&self, service: &str, latency: Duration) {
        let mut latencies = self.latencies.borrow_mut();
        latencies.entry(service.to_owned()).or_default().record(latency);
    }

    /// How long a call may run before it is hedged; `None` while there are too few samples.
    fn hedge_delay(&self, service: &str) -> Option<Duration> {
        self.latencies.borrow().get(service).and_then(LatencyEstimate::hedge_delay)
    }

    /// Mean call latency of `service`; zero before the first sample.
    fn mean_latency(&self, service: &str) -> Duration {
        self.latencies.borrow().get(service).map_or(Duration::ZERO, LatencyEstimate::mean)
    }

    fn is_enabled(&self, mechanism: Mechanism) -> bool {
        self.options.disabled.allows(mechanism)
    }

    fn record_request(&self, service: &str) {
        let now = self.node.now();
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        retry_budgets.entry(service.to_owned()).or_default().record_request(&self.options, now);
    }

    async fn serve(self: Rc<Self>, req: Request<Incoming>) -> Response<Body> {
        let (head, body) = req.into_parts();
        let mut job = match self.admit(head, body).await {
            Ok(job) => job,
            Err(refused) => return self.refuse(&refused.id, &refused.error),
        };
        self.metrics.config_version(job.config.version);
        self.record_request(&job.service);
        self.metrics.in_progress(1);
        job.in_progress = Some(InProgressGuard(self.metrics.clone()));
        let deadline = job.deadline;
        let mut res = if job.route.spec.kind.is_generation() {
            let resolved = self.before_last_refusal(self.resolve_origin(&mut job)).await;
            match resolved.flatten() {
                Ok(()) => generation::serve(self, job).await,
                Err(error) => self.fail(&job, &error),
            }
        } else {
            call::serve(&self, job).await
        };
        res.extensions_mut().insert(TimeLeft(deadline.saturating_duration_since(Instant::now())));
        res
    }

    /// Builds the caller's response from an endpoint's.
    fn build_response(&self, head: &response::Parts, body: Body) -> Response<Body> {
        let mut res = Response::new(body);
        *res.status_mut() = head.status;
        *res.headers_mut() = self.protocol.response_headers(head);
        res
    }

    /// Refuses a request that was not admitted.
    fn refuse(&self, id: &str, error: &RequestError) -> Response<Body> {
        log::info!(
            event = EventId::CallerRefused.number(), id = id, cause = error.kind.answer().code;
            "request refused before routing: {}", error.message
        );
        self.protocol.error_response(id, error).map(edge::full)
    }

    /// Ends an admitted request with an error.
    fn fail(&self, job: &Job, error: &RequestError) -> Response<Body> {
        job.log_end(&self.metrics, error.kind.answer().code, &error.message);
        self.protocol.error_response(&job.caller.id, error).map(edge::full)
    }
}

/// The error when no endpoint responded; the outcome is unknown if any attempt may have run.
fn no_response_error(attempts: u32, error: &str) -> RequestError {
    let kind = if attempts == 0 { ErrorKind::EndpointRefused } else { ErrorKind::OutcomeUnknown };
    RequestError::new(kind, error)
}

/// The error of a request that this daemon is too late to send. Other daemons may be in time.
fn delayed_error(error: &str) -> RequestError {
    let message = format!("this daemon is overloaded: {error}");
    let mut refusal = RequestError::new(ErrorKind::Overloaded, message);
    refusal.retry_after = Some(DELAYED_RETRY_AFTER);
    refusal
}

/// Counts a request as in progress until dropped.
pub(crate) struct InProgressGuard(Rc<Metrics>);

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.in_progress(-1);
    }
}

impl Handler for Relay {
    fn handle(self: Rc<Self>, req: Request<Incoming>) -> LocalFuture<'static, Response<Body>> {
        Box::pin(self.serve(req))
    }

    fn bounds(&self) -> Bounds {
        let limits =
            self.node.view().active_config().map(|f| f.config.limits.clone()).unwrap_or_default();
        Bounds {
            max_header: limits.max_header as usize,
            header_timeout: limits.header_timeout,
            idle_timeout: limits.idle_timeout,
        }
    }
}
