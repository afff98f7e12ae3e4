//! One admitted request.

use std::{cell::OnceCell, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, request};
use http_body_util::Full;
use trayswitch_clock::Instant;
use trayswitch_core::{
    config::{EndpointTarget, NamedRoute},
    node::ActiveConfig,
    placement::{self, PrefixHash, Ticket},
    quarantine::{RequestDigest, RequestIdentity},
};

use super::{Attempt, CallerRequest, InProgressGuard, KvCopy, Protocol, Relay};
use crate::telemetry::{EventId, Metrics};

/// Rank of requests whose tier is not known: after all others.
const UNKNOWN_TIER_RANK: u64 = 100;
/// Most urgent and least urgent priority that engines tell apart.
const LOWEST_ENGINE_PRIORITY: u64 = 9;
/// Left of the target time for the way to the endpoint and back.
const NETWORK_ROUND_TRIP: Duration = Duration::from_millis(20);

/// An admitted request.
pub(crate) struct Job {
    pub(super) head: request::Parts,
    pub(super) body: Bytes,
    pub(super) caller: CallerRequest,
    pub(super) config: Arc<ActiveConfig>,
    pub(super) route: NamedRoute,
    /// The service that it goes to.
    pub(super) service: String,
    pub(super) workspace: Option<Arc<str>>,
    /// Rank of its tier, 1 first.
    pub(super) rank: u64,
    pub(super) received_at: Instant,
    /// When the final answer is due.
    pub(super) deadline: Instant,
    pub(super) in_progress: Option<InProgressGuard>,
    /// Its digest, once anybody has asked for it.
    pub(super) digest: OnceCell<RequestDigest>,
}

/// How an attempt goes on with a generation.
#[derive(Debug, Clone, Default)]
pub(super) struct ResumeFrom {
    /// The last event that the caller has.
    pub(super) last_event_id: Option<u64>,
    /// Where the generation's memory lies.
    pub(super) kv_copy: Option<KvCopy>,
    /// The name of the place that the engine keeps.
    pub(super) reservation: Option<String>,
}

impl Job {
    /// Time until the final answer is due.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// The caller's own bound on an attempt: what is left of the time that it waits.
    fn caller_time_left(&self) -> Duration {
        let limit = self.caller.time_left.unwrap_or(self.route.spec.timeout);
        limit.min(self.route.spec.timeout).saturating_sub(self.received_at.elapsed())
    }

    /// Urgency for an engine, 0 first.
    pub(super) fn priority(&self) -> u64 {
        self.rank.saturating_sub(1).min(LOWEST_ENGINE_PRIORITY)
    }

    /// The name by which every daemon knows the request again, whichever try it is.
    pub(super) fn digest(&self, relay: &Relay) -> RequestDigest {
        *self.digest.get_or_init(|| relay.node.digest(&self.identity()))
    }

    /// What it has in common with other tries of the same request.
    fn identity(&self) -> RequestIdentity<'_> {
        RequestIdentity {
            method: self.head.method.as_str(),
            path: self.head.uri.path_and_query().map_or("", |path| path.as_str()),
            workspace: self.workspace.as_deref(),
            body: &self.body,
        }
    }

    /// The request to an endpoint.
    pub(super) fn request(
        &self,
        protocol: &dyn Protocol,
        endpoint: &str,
        address: SocketAddr,
        resume_from: &ResumeFrom,
    ) -> Request<Full<Bytes>> {
        let attempt = Attempt {
            endpoint,
            time_left: self.caller_time_left(),
            workspace: self.workspace.as_deref(),
            priority: self.route.spec.kind.is_generation().then(|| self.priority()),
            last_event_id: resume_from.last_event_id.or(self.caller.last_event_id),
            kv_copy: resume_from.kv_copy.as_ref(),
            reservation: resume_from.reservation.as_deref(),
        };
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.head.method.clone();
        *req.uri_mut() = self.head.uri.clone();
        *req.headers_mut() = protocol.attempt_headers(&self.head, &attempt);
        if !req.headers().contains_key(http::header::HOST)
            && let Ok(host) = http::HeaderValue::from_str(&address.to_string())
        {
            req.headers_mut().insert(http::header::HOST, host);
        }
        req
    }

    /// What the scheduler needs to know.
    pub(super) fn place_request(&self, avoid: Vec<Arc<str>>, isolated: bool) -> placement::Request {
        let prompt = self.caller.prompt.clone().unwrap_or_default();
        let unlimited = u64::MAX / 2;
        let spec = &self.route.spec;
        let workspace = self.workspace.as_ref();
        let workspace = workspace.and_then(|name| self.config.config.workspaces.get(name));
        // As long as it can still begin to answer in time.
        let elapsed = self.received_at.elapsed() + NETWORK_ROUND_TRIP;
        let ttft_target = spec.target_latency.saturating_sub(elapsed);
        let max_wait = ttft_target.saturating_sub(placement::prefill_time(prompt.tokens));
        placement::Request {
            ticket: Ticket { entry: 0, number: 0 },
            workspace: self.workspace.clone().unwrap_or_else(|| "-".into()),
            rank: placement::rank(self.rank, 1),
            share: workspace.map_or(1, |w| w.share),
            max_running: workspace.map_or(unlimited, |w| w.max_running),
            max_waiting: workspace.map_or(unlimited, |w| w.max_waiting),
            kind: self.route.name.clone(),
            target: EndpointTarget::Model(self.service.clone()),
            prompt_tokens: prompt.tokens,
            prefix: PrefixHash(prompt.shared_prefix_hash),
            max_tokens: prompt.max_output_tokens.max(1),
            max_wait: max_wait.min(self.time_left()),
            ttft_target,
            avoid,
            isolated,
        }
    }

    /// Writes the line and counts at the request's end.
    pub(super) fn log_end(&self, metrics: &Metrics, cause: &str, detail: &str) {
        let took = self.received_at.elapsed();
        let workspace = self.workspace.as_deref().unwrap_or("-");
        metrics.request(workspace, &self.route.name, cause, took);
        log::info!(
            event = EventId::RequestEnded.number(), id = self.caller.id.as_str(),
            cause = cause, detail = detail, route = &*self.route.name,
            service = self.service.as_str(), workspace = workspace,
            config = self.config.version, took_ms = took.as_millis() as u64;
            "a request ended"
        );
    }
}

/// The rank of a tier by its name; the last where there is none.
pub(super) fn tier_rank(config: &trayswitch_core::config::Config, tier: Option<&str>) -> u64 {
    tier.and_then(|tier| config.tiers.get(tier)).map_or(UNKNOWN_TIER_RANK, |tier| tier.rank)
}
