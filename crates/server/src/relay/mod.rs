//! Carries a request from its caller to an endpoint and the answer back.
//!
//! [`Relay`] takes a request, finds its route and workspace, and hands it to one of two ways:
//! [`call`] for plain calls, [`generation`] for streams of events. What is spoken on either
//! side is decoded and encoded by a [`Protocol`].

mod admission;
mod backoff;
mod call;
mod event_stream;
mod failed_attempt;
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
mod signals;
mod stream;
#[cfg(test)]
mod tests;

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
    placement::SenderRole,
};

use self::{
    failed_attempt::MAX_WATCHED_ENDPOINTS,
    job::Job,
    latency::LatencyEstimate,
    load_balancer::{ColdStartPolicy, LoadBalancer},
    retry_budget::RetryBudget,
};
pub use self::{
    local_placement::Reservation,
    protocol::{
        Attempt, CallerRequest, CopyCommand, CopyReply, KvCopy, Prompt, Protocol, RejectionReason,
        ReservationReply, ResponseClass,
    },
};
use crate::{
    edge::{self, Body, Bounds, Handler, LocalFuture},
    runtime::NodeHandle,
    telemetry::{EventId, Metrics},
};

/// Part of the time left that a request may wait before it is sent; the rest is for the answer.
const QUEUE_TIME_DIVISOR: u32 = 2;
/// Endpoints that may reject one request before its caller is told so.
const MAX_REJECTIONS: u32 = 3;

/// Bounds that the operators set for all entries.
#[derive(Debug, Clone, Copy)]
pub struct RelayOptions {
    /// The configuration must have been confirmed within this time for a request to run.
    pub max_config_age: Duration,
    /// Repeats that all entries together may send, as a part of the requests.
    pub retry_ratio: f64,
    /// Repeats that all entries together may send beside that in a window.
    pub retry_slack: f64,
    /// The window in which requests and repeats are counted.
    pub retry_window: Duration,
    /// Longest time until a connection to an endpoint is up.
    pub connect_timeout: Duration,
    /// Longest time for one copy of a generation's memory.
    pub copy_timeout: Duration,
    /// A daemon that has just become unable to confirm its configuration, by a start or by
    /// standing still, can again within this time: requests wait for it as long, and are refused
    /// at once after that.
    pub config_recovery_timeout: Duration,
    /// Mechanisms that are switched off.
    pub disabled: Disabled,
}

/// What a decision was made by.
#[derive(Debug, Clone, Copy)]
struct DecisionContext {
    /// Version of the configuration in force.
    config: u64,
    /// Time since it was last known to be current.
    config_age_ms: u64,
}

/// Serves callers.
pub struct Relay {
    node: NodeHandle,
    protocol: Box<dyn Protocol>,
    hall: Arc<str>,
    options: RelayOptions,
    load_balancer: LoadBalancer,
    budgets: RefCell<HashMap<String, RetryBudget>>,
    /// How long calls take, by service.
    latencies: RefCell<HashMap<String, LatencyEstimate>>,
    /// Until when leave at a service's limited endpoints is not asked for while others are free.
    permit_denied_until: RefCell<HashMap<String, Instant>>,
    /// Since when requests have found no configuration that is known to be current.
    unconfirmed_since: Cell<Option<Instant>>,
    /// Endpoints that are watched since an attempt there broke off.
    watch_permits: Arc<Semaphore>,
    /// Calls that were refused shortly one after the other, by service.
    refusals: RefCell<HashMap<String, RetrySpreader>>,
    metrics: Rc<Metrics>,
}

impl Relay {
    /// A relay for the entry of a data hall.
    pub fn new(
        node: NodeHandle,
        protocol: Box<dyn Protocol>,
        hall: Arc<str>,
        options: RelayOptions,
        metrics: Rc<Metrics>,
    ) -> Relay {
        Relay {
            node,
            protocol,
            hall,
            options,
            load_balancer: LoadBalancer::new(options.disabled),
            budgets: RefCell::default(),
            latencies: RefCell::default(),
            permit_denied_until: RefCell::default(),
            unconfirmed_since: Cell::new(Some(Instant::now())),
            watch_permits: Arc::new(Semaphore::new(MAX_WATCHED_ENDPOINTS)),
            refusals: RefCell::default(),
            metrics,
        }
    }

    /// Whether a repeat for this service may be sent now; counts it if so.
    fn try_acquire_retry(&self, service: &str) -> bool {
        let (now, daemons) = (self.node.now(), self.node.view().daemons());
        let mut budgets = self.budgets.borrow_mut();
        let retry_budget = budgets.entry(service.to_owned()).or_default();
        retry_budget.try_acquire(&self.options, daemons, now)
    }

    /// What a decision is made by now, for its log line.
    fn decision_context(&self) -> DecisionContext {
        let view = self.node.view();
        let age = view.confirmed().map(|at| self.node.now().since(at));
        DecisionContext {
            config: view.active_config().map_or(0, |f| f.version),
            config_age_ms: age.map_or(0, |age| age.as_millis() as u64),
        }
    }

    /// What cold endpoints of a request's service bear, if they bear less than others.
    fn cold_start_policy(&self, job: &Job) -> Option<ColdStartPolicy> {
        let service = job.config.config.services.get(&job.service)?;
        let senders = SenderRole::one_of(self.node.view().daemons());
        Some(ColdStartPolicy { limits: service.cold_start?, senders, now: self.node.now() })
    }

    /// Notes how long an answered call took.
    fn record_latency(&self, service: &str, took: Duration) {
        let mut latencies = self.latencies.borrow_mut();
        latencies.entry(service.to_owned()).or_default().record(took);
    }

    /// The time after which a call to this service takes unusually long, once that is known.
    fn hedge_delay(&self, service: &str) -> Option<Duration> {
        self.latencies.borrow().get(service).and_then(LatencyEstimate::hedge_delay)
    }

    /// The time that a call to this service takes; none before any was answered.
    fn mean_latency(&self, service: &str) -> Duration {
        self.latencies.borrow().get(service).map_or(Duration::ZERO, LatencyEstimate::mean)
    }

    /// Whether a mechanism is in use.
    fn is_enabled(&self, mechanism: Mechanism) -> bool {
        self.options.disabled.allows(mechanism)
    }

    fn record_request(&self, service: &str) {
        let now = self.node.now();
        let mut budgets = self.budgets.borrow_mut();
        budgets.entry(service.to_owned()).or_default().record_request(&self.options, now);
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
        if job.route.spec.kind.is_generation() {
            generation::serve(self, job).await
        } else {
            call::serve(&self, job).await
        }
    }

    /// An endpoint's answer as its caller sees it.
    fn answer(&self, head: &response::Parts, body: Body) -> Response<Body> {
        let mut answer = Response::new(body);
        *answer.status_mut() = head.status;
        *answer.headers_mut() = self.protocol.response_headers(head);
        answer
    }

    /// The answer to a request that ends in an error, without an endpoint's answer.
    fn refuse(&self, id: &str, error: &RequestError) -> Response<Body> {
        log::info!(
            event = EventId::CallerRefused.number(), id = id, cause = error.kind.answer().code;
            "refused before routing: {}", error.message
        );
        self.protocol.error_response(id, error).map(edge::full)
    }

    /// Ends a job with an error.
    fn fail(&self, job: &Job, error: &RequestError) -> Response<Body> {
        job.log_end(&self.metrics, error.kind.answer().code, &error.message);
        self.protocol.error_response(&job.caller.id, error).map(edge::full)
    }
}

/// The error when no answer will come, after so many attempts that may have run.
fn no_response_error(starts: u32, problem: &str) -> RequestError {
    let kind = if starts == 0 { ErrorKind::EndpointRefused } else { ErrorKind::OutcomeUnknown };
    RequestError::new(kind, problem)
}

/// Counts a request as in progress while it lives.
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
