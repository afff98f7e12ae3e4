//! Request admission: authentication, routing and the freshness of the configuration.

use std::{
    cell::{OnceCell, RefCell},
    sync::Arc,
    time::Duration,
};

use http::{header, request};
use hyper::body::Incoming;
use trayswitch_clock::Instant;
use trayswitch_core::{
    config::{Config, NamedRoute},
    error::{ErrorKind, RequestError},
    mechanism::Mechanism,
    node::ActiveConfig,
    placement,
    software_version::VersionConstraint,
};

use super::{
    QUEUE_TIME_DIVISOR, Relay,
    job::{Job, tier_rank},
};
use crate::edge::{ReadError, read_within};

const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// `Retry-After` of a daemon without a current configuration: the usual time to get one after a
/// start. Measured after a loss of power everywhere: 0.4 s.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Longest time for the body of a request without a deadline.
const MAX_BODY_TIME: Duration = Duration::from_secs(60);

/// A request that was refused before routing.
pub(super) struct RefusedRequest {
    pub(super) id: String,
    pub(super) error: RequestError,
}

impl Relay {
    /// Reads a request and resolves its route and workspace.
    pub(super) async fn admit(
        &self,
        head: request::Parts,
        body: Incoming,
    ) -> Result<Job, RefusedRequest> {
        let received_at = Instant::now();
        let refuse = |id: &str, error| RefusedRequest { id: id.to_owned(), error };
        check_framing(&head).map_err(|e| refuse("", e))?;
        let caller = self.protocol.decode_request(&head).map_err(|e| refuse("", e))?;
        let id = caller.id.clone();
        let limits = self.node.view().active_config().map(|f| f.config.limits.clone());
        let limits = limits.unwrap_or_default();
        // The body is read first, so that an early refusal leaves the connection usable.
        let time_left = caller.time_left.unwrap_or(MAX_BODY_TIME);
        let (max, silence) = (limits.max_body as usize, limits.idle_timeout);
        let body = read_within(body, max, silence, time_left, self.buffers.reservation());
        let body = self.before_last_refusal(body).await.map_err(|e| refuse(&id, e))?;
        let body = body.map_err(|e| refuse(&id, read_error(&e)))?;
        let max_wait =
            caller.time_left.unwrap_or(self.options.config_recovery_timeout) / QUEUE_TIME_DIVISOR;
        let max_wait =
            if self.is_enabled(Mechanism::StartPatience) { max_wait } else { Duration::ZERO };
        let config = self.before_last_refusal(self.current_config(received_at + max_wait)).await;
        let Some(config) = config.map_err(|e| refuse(&id, e))? else {
            let message = "this daemon has no current configuration";
            return Err(refuse(&id, not_ready(message, NOT_READY_RETRY_AFTER)));
        };
        let route = self.route(&config.config, &caller.host, head.uri.path());
        let route = route.map_err(|e| refuse(&id, e))?;
        let workspace = workspace(&config.config, &route, caller.key.as_deref());
        let workspace = workspace.map_err(|e| refuse(&id, e))?;
        let workspace_spec = workspace.as_ref().and_then(|name| config.config.workspaces.get(name));
        let tier = workspace_spec.map(|spec| spec.tier.as_str()).or(route.spec.tier.as_deref());
        let rank = tier_rank(&config.config, tier);
        let route_rank = tier_rank(&config.config, route.spec.tier.as_deref());
        let queue_rank = if self.is_enabled(Mechanism::RouteUrgency) {
            placement::rank_on_route(rank, route_rank)
        } else {
            placement::rank(rank, 1)
        };
        let service = route.spec.pick_service(fastrand::u64(..)).to_owned();
        let timeout = caller.time_left.unwrap_or(route.spec.timeout).min(route.spec.timeout);
        let deadline = received_at + timeout;
        let job = Job {
            head,
            body,
            caller,
            config,
            route,
            service,
            workspace,
            rank,
            queue_rank,
            received_at,
            deadline,
            in_progress: None,
            digest: OnceCell::new(),
            part_digests: OnceCell::new(),
            versions: RefCell::new(VersionConstraint::Any),
            unconfirmed: RefCell::default(),
        };
        self.admit_while_stopping(&job).map_err(|e| refuse(&id, e))?;
        Ok(job)
    }

    /// Finds the route of a request.
    fn route(&self, config: &Config, host: &str, path: &str) -> Result<NamedRoute, RequestError> {
        let Some(route) = config.routes.find(host, path) else {
            let message = format!("no route matches {host}{path}");
            return Err(RequestError::new(ErrorKind::NotFound, message));
        };
        Ok(route.clone())
    }

    /// The active configuration, once it is current; `None` if it is not by `until`.
    async fn current_config(&self, until: Instant) -> Option<Arc<ActiveConfig>> {
        loop {
            let current = self.node.view().active_config().filter(|_| self.is_config_current());
            let now = Instant::now();
            let confirmed = self.node.view().confirmed();
            let Some(since) = self.staleness.since(current.is_some(), confirmed, now) else {
                return current;
            };
            if until.min(since + self.options.config_recovery_timeout) <= now {
                return None;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Whether the active configuration was confirmed recently enough. Checked before each attempt,
    /// since the VM may have been suspended in between.
    fn is_config_current(&self) -> bool {
        let confirmed = self.node.view().confirmed();
        confirmed.is_some_and(|at| self.node.now().since(at) < self.options.max_config_age)
    }

    /// Checks again, before sending, that the configuration is current and that a workspace still holds
    /// the key, where the route needs one.
    pub(super) fn recheck_admission(&self, job: &Job) -> Result<(), RequestError> {
        let config = self.node.view().active_config().filter(|_| self.is_config_current());
        let Some(config) = config else {
            let message =
                "the configuration is not current: no control VM has confirmed it recently";
            return Err(RequestError::new(ErrorKind::NotReady, message));
        };
        // A request keeps the workspace that it was admitted for, whichever holds the key later.
        if job.workspace.is_none() {
            return Ok(());
        }
        let holder = workspace(&config.config, &job.route, job.caller.key.as_deref());
        holder.map(drop).map_err(|_| {
            let message = "the workspace key was revoked while the request was queued";
            RequestError::new(ErrorKind::Unauthorized, message)
        })
    }
}

/// The workspace that holds the key. `None` if no workspace holds it on a public route, or if no key
/// was sent and the deployment requires none.
fn workspace(
    config: &Config,
    route: &NamedRoute,
    key: Option<&str>,
) -> Result<Option<Arc<str>>, RequestError> {
    let workspace = key.and_then(|key| config.workspace_of_key(key));
    // A key that was sent must be valid even where none is required: it may have been revoked.
    let needs_key = config.deployment.keys_required || key.is_some();
    if needs_key && !route.spec.public && workspace.is_none() {
        return Err(RequestError::new(
            ErrorKind::Unauthorized,
            "the key is missing or belongs to no workspace",
        ));
    }
    Ok(workspace.map(Into::into))
}

pub(super) fn not_ready(message: &str, retry_after: Duration) -> RequestError {
    let mut error = RequestError::new(ErrorKind::NotReady, message);
    error.retry_after = Some(retry_after);
    error
}

/// Rejects ambiguous framing, which enables request smuggling.
fn check_framing(head: &request::Parts) -> Result<(), RequestError> {
    let bad_request = |message: &str| Err(RequestError::new(ErrorKind::BadRequest, message));
    let lengths = head.headers.get_all(header::CONTENT_LENGTH).iter().count();
    let encodings: Vec<_> = head.headers.get_all(header::TRANSFER_ENCODING).iter().collect();
    if 0 < lengths && !encodings.is_empty() {
        return bad_request("Content-Length and Transfer-Encoding are both present");
    }
    if 1 < lengths {
        return bad_request("duplicate Content-Length header");
    }
    let chunked = |value: &http::HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"chunked");
    if 1 < encodings.len() || !encodings.iter().all(|value| chunked(value)) {
        return bad_request("the only supported Transfer-Encoding is chunked");
    }
    if head.headers.get_all(header::HOST).iter().count() != 1 {
        return bad_request("exactly one Host header is required");
    }
    Ok(())
}

fn read_error(error: &ReadError) -> RequestError {
    match error {
        ReadError::TooLarge => {
            RequestError::new(ErrorKind::TooLarge, "the request body exceeds the size limit")
        }
        ReadError::TooSlow => {
            RequestError::new(ErrorKind::BadRequest, "timed out reading the request body")
        }
        ReadError::NoRoom => {
            let message = "this daemon's memory for request bodies is used up";
            RequestError::new(ErrorKind::Overloaded, message)
        }
        ReadError::Broken(error) => RequestError::new(
            ErrorKind::BadRequest,
            format!("failed to read the request body: {error}"),
        ),
    }
}
