//! An admitted request.

use std::{
    cell::{OnceCell, RefCell},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http::{Request, request};
use http_body_util::Full;
use trayswitch_clock::Instant;
use trayswitch_core::{
    config::{EndpointTarget, NamedRoute},
    node::ActiveConfig,
    placement::{self, PrefixHash, Ticket},
    quarantine::{ContentDigest, PromptPart, RequestIdentity},
    registry::RegisteredEndpoint,
    software_version::{SoftwareVersion, VersionConstraint},
    stream_origin::StreamKey,
};

use super::{Attempt, CallerRequest, InProgressGuard, KvCopy, Prompt, Protocol, Relay};
use crate::telemetry::{EventId, Metrics};

/// Rank of a request with an unknown tier: after all others.
const UNKNOWN_TIER_RANK: u64 = 100;
/// Priorities of engines are 0 (most urgent) to this.
const LOWEST_ENGINE_PRIORITY: u64 = 9;
/// Reserved from the target latency for the round trip to the endpoint.
const NETWORK_ROUND_TRIP: Duration = Duration::from_millis(20);

/// An admitted request with its route, deadline and configuration.
pub(crate) struct Job {
    pub(super) head: request::Parts,
    pub(super) body: Bytes,
    pub(super) caller: CallerRequest,
    pub(super) config: Arc<ActiveConfig>,
    pub(super) route: NamedRoute,
    /// The service that it is routed to.
    pub(super) service: String,
    pub(super) workspace: Option<Arc<str>>,
    /// Rank of its tier; 1 is served first.
    pub(super) rank: u64,
    /// Rank in the queue of the scheduler, which also depends on the route.
    pub(super) queue_rank: u64,
    pub(super) received_at: Instant,
    /// When the response must be complete.
    pub(super) deadline: Instant,
    pub(super) in_progress: Option<InProgressGuard>,
    /// Computed on first use.
    pub(super) digest: OnceCell<ContentDigest>,
    /// Computed on first use.
    pub(super) part_digests: OnceCell<Vec<ContentDigest>>,
    /// Software versions at which it may run.
    pub(super) versions: RefCell<VersionConstraint>,
    /// The run that has begun its stream, until that is confirmed.
    pub(super) unconfirmed: RefCell<Option<BegunAt>>,
}

/// The run that a stream's first event is held to come from, and when the event came.
#[derive(Debug, Clone)]
pub(super) struct BegunAt {
    pub(super) run: RegisteredEndpoint,
    pub(super) at: Instant,
}

/// State from which an attempt resumes a generation.
#[derive(Debug, Clone, Default)]
pub(super) struct ResumeFrom {
    /// The last event that the caller received.
    pub(super) last_event_id: Option<u64>,
    /// The copy of the KV cache to resume from.
    pub(super) kv_copy: Option<KvCopy>,
    /// The engine's id of the reservation.
    pub(super) reservation: Option<String>,
}

impl Job {
    /// Time until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// What is left of the caller's timeout, capped by the route's.
    fn caller_time_left(&self) -> Duration {
        let limit = self.caller.time_left.unwrap_or(self.route.spec.timeout);
        limit.min(self.route.spec.timeout).saturating_sub(self.received_at.elapsed())
    }

    /// Priority for engines; 0 is the most urgent.
    pub(super) fn priority(&self) -> u64 {
        self.rank.saturating_sub(1).min(LOWEST_ENGINE_PRIORITY)
    }

    /// The digest that identifies the request on all daemons, across retries.
    pub(super) fn digest(&self, relay: &Relay) -> ContentDigest {
        *self.digest.get_or_init(|| relay.node.digest(&self.identity()))
    }

    /// The parts of its prompt that other requests may share.
    pub(super) fn shared_parts(&self) -> &[PromptPart] {
        self.caller.prompt.as_ref().map_or(&[], |prompt| &prompt.shared_parts)
    }

    /// The digests that identify those parts on all daemons, in the same order.
    pub(super) fn part_digests(&self, relay: &Relay) -> &[ContentDigest] {
        self.part_digests.get_or_init(|| {
            self.shared_parts().iter().map(|part| relay.node.part_digest(*part)).collect()
        })
    }

    /// The digests of the whole request and of those parts.
    pub(super) fn contents(&self, relay: &Relay) -> Vec<ContentDigest> {
        let parts = self.part_digests(relay).iter().copied();
        std::iter::once(self.digest(relay)).chain(parts).collect()
    }

    /// Software versions at which it may run now.
    pub(super) fn versions(&self) -> VersionConstraint {
        self.versions.borrow().clone()
    }

    /// Binds the stream to a software version; to none if it is not known which began it.
    pub(super) fn bind_version(&self, version: Option<&SoftwareVersion>) {
        *self.versions.borrow_mut() = VersionConstraint::begun_at(version);
    }

    /// Whether the caller has received nothing, so that any software version may run it.
    pub(super) fn has_no_version(&self) -> bool {
        *self.versions.borrow() == VersionConstraint::Any
    }

    /// Whether its caller takes up a stream that an earlier request began.
    pub(super) fn takes_up_stream(&self) -> bool {
        self.caller.last_event_id.is_some() || self.caller.resumes.is_some()
    }

    /// Names the stream that the request `id` of the same caller on the same path began: by its key,
    /// which may be passed on to another workspace, and by its workspace, which may get other keys.
    pub(super) fn stream_keys(&self, relay: &Relay, id: &str) -> Vec<StreamKey> {
        /// Separate these digests from those of requests, whose method these cannot be.
        const METHOD: &str = "(stream)";
        const METHOD_OF_KEY: &str = "(stream of a key)";
        let name = |method, owner| {
            let (identity, body) = (self.identity(), id.as_bytes());
            relay.node.digest(&RequestIdentity { method, workspace: owner, body, ..identity })
        };
        let key = self.caller.key.as_deref().filter(|_| self.workspace.is_some());
        let by_key = key.map(|key| name(METHOD_OF_KEY, Some(key)));
        by_key.into_iter().chain([name(METHOD, self.workspace.as_deref())]).collect()
    }

    /// The parts of a request that are equal in all its retries.
    fn identity(&self) -> RequestIdentity<'_> {
        RequestIdentity {
            method: self.head.method.as_str(),
            path: self.head.uri.path_and_query().map_or("", |path| path.as_str()),
            workspace: self.workspace.as_deref(),
            body: &self.body,
        }
    }

    /// Builds the request for an endpoint.
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

    /// Builds the placement request for the scheduler, without the digest.
    pub(super) fn placement_request(
        &self,
        avoid: Vec<Arc<str>>,
        isolated: bool,
    ) -> placement::Request {
        let default = Prompt::default();
        let prompt = self.caller.prompt.as_ref().unwrap_or(&default);
        let unlimited = u64::MAX / 2;
        let spec = &self.route.spec;
        let workspace = self.workspace.as_ref();
        let workspace = workspace.and_then(|name| self.config.config.workspaces.get(name));
        // Queueing is limited so that the target latency can still be met.
        let elapsed = self.received_at.elapsed() + NETWORK_ROUND_TRIP;
        let ttft_target = spec.target_latency.saturating_sub(elapsed);
        let max_wait = ttft_target.saturating_sub(placement::prefill_time(prompt.tokens));
        placement::Request {
            ticket: Ticket { entry: 0, number: 0 },
            workspace: self.workspace.clone().unwrap_or_else(|| "-".into()),
            rank: self.queue_rank,
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
            versions: self.versions(),
            time_left: self.time_left(),
            longest_gap: spec.longest_gap,
            digest: None,
        }
    }

    /// Logs and counts the end of the request.
    pub(super) fn log_end(&self, metrics: &Metrics, cause: &str, detail: &str) {
        let elapsed = self.received_at.elapsed();
        let workspace = self.workspace.as_deref().unwrap_or("-");
        metrics.request(workspace, &self.route.name, cause, elapsed);
        let digest = self.digest.get().map(ContentDigest::to_string).unwrap_or_default();
        log::info!(
            event = EventId::RequestEnded.number(), id = self.caller.id.as_str(),
            cause = cause, detail = detail, route = &*self.route.name,
            service = self.service.as_str(), workspace = workspace,
            config = self.config.version, took_ms = elapsed.as_millis() as u64,
            request = digest.as_str();
            "a request ended"
        );
    }
}

/// The rank of a tier; [`UNKNOWN_TIER_RANK`] if it does not exist.
pub(super) fn tier_rank(config: &trayswitch_core::config::Config, tier: Option<&str>) -> u64 {
    tier.and_then(|tier| config.tiers.get(tier)).map_or(UNKNOWN_TIER_RANK, |tier| tier.rank)
}
