//! Rate limits that endpoints report in their responses, and the permits that calls request for
//! them.

use std::{sync::Arc, time::Duration};

use trayswitch_clock::Instant;
use trayswitch_core::{
    error::{ErrorKind, RequestError},
    node::Input,
    registry::RegisteredEndpoint,
    signals::EndpointSignals,
    throttle::{Permit, RateLimitReport, describe_limit},
    units,
};

use super::{Job, QUEUE_TIME_DIVISOR, Relay, call::no_endpoint_error};
use crate::telemetry::EventId;

/// Endpoints in one permit request: as many as fit into one packet.
const MAX_CANDIDATES: usize = 16;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptKind {
    /// May wait, and may go to any endpoint.
    First,
    /// Never waits, and goes to an endpoint that was not tried.
    Retry,
}

impl Relay {
    /// Reports the rate limit in the response to a request sent at `sent_at`. An invalid one is
    /// logged and ignored.
    pub(super) fn report_rate_limit(
        &self,
        service: &str,
        endpoint: &RegisteredEndpoint,
        sent_at: units::Instant,
        signals: &EndpointSignals,
    ) {
        let limit = match signals.limit {
            Ok(limit) => limit,
            Err(error) => {
                self.metrics.limit_read(service, "unreadable");
                log::warn!(
                    event = EventId::LimitChanged.number(), endpoint = &*endpoint.id,
                    end = "unreadable", detail = error.to_string().as_str();
                    "an endpoint reported an invalid rate limit"
                );
                return;
            }
        };
        if limit.is_some() {
            self.metrics.limit_read(service, "named");
        }
        if limit.is_some() || self.node.limit(&endpoint.id).is_some() {
            let report = RateLimitReport {
                endpoint: endpoint.id.clone(),
                started_at: endpoint.started_at,
                limit,
                sent_at,
                received_at: self.node.now(),
            };
            self.node.input(Input::RateLimitReported(report));
        }
    }

    /// Open endpoints of the request's service that are not held back by cold-start pacing; rate
    /// limits are not considered.
    pub(super) fn open_endpoints(&self, job: &Job) -> Vec<RegisteredEndpoint> {
        let endpoints = self.node.view().open_endpoints(&job.service);
        self.load_balancer.retain_sendable(endpoints, self.cold_start_policy(job).as_ref())
    }

    /// Selects the endpoint for an attempt. If the cheapest one is rate limited, requests a permit;
    /// without a permit the cheapest unlimited endpoint is next. A first attempt waits for a permit
    /// only if all endpoints are rate limited.
    pub(super) async fn select_endpoint(
        &self,
        job: &Job,
        kind: AttemptKind,
        tried: &[Arc<str>],
    ) -> Result<RegisteredEndpoint, RequestError> {
        let open = self.admitted_endpoints(job, kind, tried).await?;
        let Some(cheapest) = self.load_balancer.select(&open, tried, &self.hall) else {
            return Err(no_endpoint_error(self, &job.service));
        };
        if self.node.limit(&cheapest.id).is_none() {
            return Ok(cheapest);
        }
        let (mut limited, unlimited): (Vec<_>, Vec<_>) =
            open.into_iter().partition(|endpoint| self.node.limit(&endpoint.id).is_some());
        self.load_balancer.sort_by_cost(&mut limited, &self.hall);
        let max_wait = match kind {
            AttemptKind::First if unlimited.is_empty() => self.max_queue_time(job),
            AttemptKind::First | AttemptKind::Retry => Duration::ZERO,
        };
        let started_at = Instant::now();
        let permit = self.request_permit(job, &limited, max_wait, unlimited.is_empty()).await;
        let (end, selected) = match permit {
            Permit::Granted(endpoint) => ("granted", self.granted_endpoint(job, &endpoint)),
            Permit::Denied { retry_after } => {
                match self.load_balancer.select(&unlimited, tried, &self.hall) {
                    Some(endpoint) => ("elsewhere", Ok(endpoint)),
                    None => ("refused", Err(rate_limited_error(&job.service, retry_after))),
                }
            }
        };
        self.log_permit(job, &cheapest, end, started_at.elapsed());
        selected
    }

    /// Requests a permit at one of the `limited` endpoints.
    async fn request_permit(
        &self,
        job: &Job,
        limited: &[RegisteredEndpoint],
        max_wait: Duration,
        is_only_option: bool,
    ) -> Permit {
        let now = Instant::now();
        let not_before = self.permit_denied_until.borrow().get(&job.service).copied();
        if let Some(until) = not_before.filter(|until| now < *until && !is_only_option) {
            return Permit::Denied { retry_after: until.saturating_duration_since(now) };
        }
        let candidates = limited.iter().take(MAX_CANDIDATES).map(|endpoint| endpoint.id.clone());
        let permit = self.node.permit(&job.service, candidates.collect(), max_wait).await;
        if let Permit::Denied { retry_after } = permit {
            let until = Instant::now() + retry_after;
            self.permit_denied_until.borrow_mut().insert(job.service.clone(), until);
        }
        permit
    }

    /// The endpoint that a permit was granted for, if it is still open.
    fn granted_endpoint(
        &self,
        job: &Job,
        endpoint: &str,
    ) -> Result<RegisteredEndpoint, RequestError> {
        let mut open = self.open_endpoints(job).into_iter();
        let still_open = open.find(|open| *open.id == *endpoint);
        still_open.ok_or_else(|| no_endpoint_error(self, &job.service))
    }

    /// How long a call may queue and still meet its target latency.
    pub(super) fn max_queue_time(&self, job: &Job) -> Duration {
        let elapsed = job.received_at.elapsed() + self.mean_latency(&job.service);
        let within_target = job.route.spec.target_latency.saturating_sub(elapsed);
        within_target.min(job.time_left() / QUEUE_TIME_DIVISOR)
    }

    fn log_permit(&self, job: &Job, endpoint: &RegisteredEndpoint, end: &str, took: Duration) {
        self.metrics.permit(&job.service, end);
        log::info!(
            event = EventId::PermitRequested.number(), id = job.caller.id.as_str(),
            endpoint = &*endpoint.id, end = end, took_ms = took.as_millis() as u64,
            limit = describe_limit(self.node.limit(&endpoint.id)).as_str();
            "the preferred endpoint is rate limited"
        );
    }
}

/// The error for a call that no endpoint accepts in time.
fn rate_limited_error(service: &str, retry_after: Duration) -> RequestError {
    let millis = retry_after.as_millis();
    let message = format!("all endpoints of {service} are rate limited; retry after {millis} ms");
    let mut error = RequestError::new(ErrorKind::Overloaded, message);
    error.retry_after = Some(retry_after);
    error
}
