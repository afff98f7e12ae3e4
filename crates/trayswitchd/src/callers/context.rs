//! What the threads of all requests share.

use std::{
    collections::HashMap,
    fmt,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use eyre::Result;
use tiny_http::Request;
use trayswitch_core::{
    backoff::Rejection,
    error::{ErrorKind, Outcome, RequestError},
    node::{ActiveConfig, CallId, Input, NodeCall, NodeReply, Placement},
    placement,
    quarantine::{ContentDigest, DigestKey, RequestIdentity},
    retry_budget::RetryBudget,
    signals::EndpointSignals,
    throttle::{RateLimit, RateLimitReport},
    units,
    wire::HealthNews,
};
use trayswitch_http::{BodyError, header, read_body};

use crate::{
    endpoint::{EndpointError, Engine, HttpEngine, HttpService, Reply, Service},
    node::{NodeHandle, random},
    settings::Settings,
    telemetry::{EventId, Histograms, Measure, Metrics},
};

/// Longer than any queue lets a request wait; the node always answers earlier.
const PLACE_LIMIT: Duration = Duration::from_secs(3_600);
/// The configuration lists endpoints without their runs.
const UNKNOWN_RUN: u64 = 0;

/// Shared by all request threads.
pub(crate) struct Callers {
    settings: Settings,
    node: NodeHandle,
    engine: Box<dyn Engine>,
    service: Box<dyn Service>,
    histograms: Histograms,
    metrics: Metrics,
    budgets: Mutex<HashMap<String, RetryBudget>>,
    digest_key: DigestKey,
    /// Makes request ids unique over restarts.
    run: u64,
    requests: AtomicU64,
}

/// A request whose caller is known.
pub(super) struct Admitted {
    pub(super) active_config: Arc<ActiveConfig>,
    pub(super) workspace: String,
}

impl Callers {
    /// Everything that requests need.
    pub(crate) fn new(settings: Settings, node: NodeHandle) -> Result<Callers> {
        let metrics = Metrics::open(settings.statsd)?;
        Ok(Callers {
            engine: Box::new(HttpEngine::new(settings.timing.idle)),
            service: Box::new(HttpService),
            digest_key: DigestKey::new(&settings.keys.peer),
            settings,
            node,
            histograms: Histograms::default(),
            metrics,
            budgets: Mutex::default(),
            run: random()?,
            requests: AtomicU64::new(0),
        })
    }

    pub(crate) fn settings(&self) -> &Settings {
        &self.settings
    }

    pub(crate) fn node(&self) -> &NodeHandle {
        &self.node
    }

    pub(crate) fn engine(&self) -> &dyn Engine {
        &*self.engine
    }

    pub(super) fn service(&self) -> &dyn Service {
        &*self.service
    }

    pub(crate) fn histograms(&self) -> &Histograms {
        &self.histograms
    }

    pub(super) fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The name by which every daemon knows a request again.
    pub(super) fn digest(&self, req: &Request, workspace: &str, body: &[u8]) -> ContentDigest {
        let method = req.method().to_string();
        self.digest_key.digest(&RequestIdentity {
            method: &method,
            path: req.url(),
            workspace: Some(workspace),
            body,
        })
    }

    /// A name for a request in logs and in the endpoints' records.
    pub(super) fn request_id(&self) -> String {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:08x}-{number}", self.settings.vm, self.run as u32)
    }

    /// Finds out who asks, and whether this daemon may serve.
    pub(super) fn admit(&self, req: &Request) -> Result<Admitted, RequestError> {
        let view = self.node.view();
        if view.draining() {
            return Err(not_ready("this daemon is stopping"));
        }
        let active_config = view.active_config().filter(|_| view.fresh());
        let Some(active_config) = active_config else {
            return Err(not_ready("this daemon has no configuration that is known to be current"));
        };
        let key = header(req, "Authorization").and_then(|value| value.strip_prefix("Bearer "));
        let Some(key) = key else {
            let message = "send the workspace key as \"Authorization: Bearer KEY\"";
            return Err(RequestError::new(ErrorKind::Unauthorized, message));
        };
        let Some(workspace) = active_config.config.workspace_of_key(key.trim()) else {
            let message = "no workspace has this key";
            return Err(RequestError::new(ErrorKind::Unauthorized, message));
        };
        let workspace = workspace.to_owned();
        self.budget(&workspace, RetryBudget::on_request);
        Ok(Admitted { active_config, workspace })
    }

    /// Takes what an endpoint has said of itself in an answer to a request that was sent at `asked`.
    pub(super) fn note_answer<T>(
        &self,
        endpoint: &Arc<str>,
        asked: units::Instant,
        reply: &Reply<T>,
    ) {
        let Some(signals) = &reply.signals else { return };
        if let Ok(limit) = signals.limit {
            self.note_limit(endpoint, asked, limit);
        }
        let is_rejected = matches!(reply.result, Err(EndpointError::RefusedNotRun { .. }));
        self.note_signals(endpoint, signals, is_rejected);
    }

    /// The same of an answer to a question of this daemon's own. An endpoint may name its limit to requests only,
    /// so one that is not named here still holds.
    pub(crate) fn note_own_answer<T>(&self, endpoint: &Arc<str>, reply: &Reply<T>) {
        let Some(signals) = &reply.signals else { return };
        if let Ok(limit @ Some(_)) = signals.limit {
            self.note_limit(endpoint, self.node.now(), limit);
        }
        self.note_signals(endpoint, signals, false);
    }

    fn note_signals(&self, endpoint: &Arc<str>, signals: &EndpointSignals, is_rejected: bool) {
        let unreadable = |what: &str, problem: &dyn fmt::Display| {
            log::warn!("{} {endpoint}: {what}: {problem}", EventId::SignalUnreadable);
        };
        if let Err(problem) = signals.limit {
            unreadable("limit", &problem);
        }
        if let Err(problem) = signals.retry_after {
            unreadable("backoff", &problem);
        }
        if signals.is_leaving() {
            log::info!("{} {endpoint} is leaving", EventId::EndpointLeaving);
            self.node.input(Input::Health(endpoint.clone(), HealthNews::Leaving));
        }
        if is_rejected || signals.backoff().is_some() {
            let (endpoint, retry_after) = (endpoint.clone(), signals.backoff());
            let rejection = Rejection { endpoint, started_at: UNKNOWN_RUN, retry_after };
            self.node.input(Input::Rejected(rejection));
        }
    }

    fn note_limit(&self, endpoint: &Arc<str>, asked: units::Instant, limit: Option<RateLimit>) {
        if limit.is_some() || self.node.view().has_limits() {
            let (endpoint, born) = (endpoint.clone(), UNKNOWN_RUN);
            let word = RateLimitReport {
                endpoint,
                started_at: born,
                limit,
                sent_at: asked,
                received_at: self.node.now(),
            };
            self.node.input(Input::RateLimitReported(word));
        }
    }

    /// Whether an endpoint may be sent a request that was placed there.
    pub(super) fn may_send(&self, endpoint: &str) -> Result<(), EndpointError> {
        if self.node.view().is_backing_off(endpoint) {
            Err(EndpointError::Withheld)
        } else {
            Ok(())
        }
    }

    /// Whether the workspace may retry once more.
    pub(super) fn may_retry(&self, workspace: &str) -> bool {
        let may = self.budget(workspace, RetryBudget::take_retry);
        if !may {
            self.metrics.count("retries_denied");
        }
        may
    }

    fn budget<T>(&self, workspace: &str, change: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.lock().expect("no request thread panics here");
        change(budgets.entry(workspace.to_owned()).or_default())
    }

    /// Reads the body within the limit.
    pub(super) fn body(&self, req: &mut Request) -> Result<Vec<u8>, RequestError> {
        let limit = self.settings.max_body;
        read_body(req, limit).map_err(|e| match e {
            BodyError::TooLarge => {
                let message = format!("the body is larger than {limit} bytes");
                RequestError::new(ErrorKind::TooLarge, message)
            }
            BodyError::Io(e) => {
                RequestError::new(ErrorKind::BadRequest, format!("the body ended early: {e}"))
            }
        })
    }

    /// Waits for a place.
    pub(super) fn place(
        &self,
        call: CallId,
        req: placement::Request,
    ) -> Result<Placement, RequestError> {
        match self.node.ask_as(call, NodeCall::Place(req), PLACE_LIMIT) {
            Ok(NodeReply::Placed(Ok(_))) if !self.node.view().fresh() => {
                // The VM may have been suspended while the request waited.
                self.node.input(Input::Finished { call, tokens: 0, complete: false });
                Err(not_ready("no control VM has confirmed the configuration lately"))
            }
            Ok(NodeReply::Placed(placed)) => placed,
            Ok(_) | Err(_) => Err(not_ready("the daemon's scheduler did not answer")),
        }
    }

    /// Address of an endpoint, unless it was just removed.
    pub(super) fn address(&self, endpoint: &str) -> Option<SocketAddr> {
        let active_config = self.node.view().active_config()?;
        active_config.config.endpoints.get(endpoint).map(|spec| spec.address)
    }

    /// Tells the node about a failure that a request has met.
    pub(super) fn report(&self, endpoint: &Arc<str>, error: &EndpointError) {
        let failure = match error {
            // Alive, only full, leaving or without this one generation.
            EndpointError::RefusedNotRun { .. } | EndpointError::Gone | EndpointError::Withheld => {
                return;
            }
            error => error,
        };
        log::warn!("{} {endpoint}: {failure}", EventId::EndpointFailed);
        self.metrics.count("endpoint_failures");
        self.node.input(Input::Health(endpoint.clone(), HealthNews::Failed));
    }

    /// Records how a request ended.
    pub(super) fn ended(&self, workspace: &str, kind: &str, outcome: Outcome, total: Duration) {
        let name = outcome.name();
        self.histograms.count(workspace, kind, name);
        self.histograms.record(workspace, kind, Measure::Total, total);
        self.metrics.ended(kind, name, total);
    }
}

fn not_ready(message: &str) -> RequestError {
    RequestError::new(ErrorKind::NotReady, message)
}
