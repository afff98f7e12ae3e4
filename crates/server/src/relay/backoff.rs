//! Endpoints that accept no new requests because they asked this daemon to back off or are leaving.
//! Checked when an endpoint is selected and again just before sending.

use std::{sync::Arc, time::Duration};

use trayswitch_core::{
    backoff::Admission,
    error::{ErrorKind, RequestError},
    registry::RegisteredEndpoint,
    units,
};

use super::{Job, Relay, call::no_endpoint_error, rate_limit::AttemptKind};
use crate::runtime::NodeHandle;

/// How soon to recheck an endpoint with an unanswered probe request.
const RECHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The admissible endpoints of a service.
pub(super) struct AdmittedEndpoints {
    /// Endpoints that a call may be sent to; last-resort ones only if there are no others.
    pub(super) endpoints: Vec<RegisteredEndpoint>,
    /// When the next endpoint becomes admissible.
    next_open_at: Option<units::Instant>,
}

impl Relay {
    /// Whether a new request may be sent to an endpoint now.
    pub(super) fn may_send(&self, endpoint: &RegisteredEndpoint) -> Result<(), String> {
        if self.backoff_left(endpoint).is_some() {
            return Err("the endpoint has asked this daemon to back off".into());
        }
        match self.current_run(endpoint) {
            Some(known) if !known.hall_out && !known.available => {
                Err("the endpoint accepts no new requests".into())
            }
            _ => self.may_resume(endpoint),
        }
    }

    /// For how long this daemon backs off from an endpoint.
    pub(super) fn backoff_left(&self, endpoint: &RegisteredEndpoint) -> Option<Duration> {
        let until = self.node.admission(&endpoint.id).backoff_until()?;
        Some(until.since(self.node.now()))
    }

    /// Whether a generation may resume on the endpoint that holds its KV cache.
    pub(super) fn may_resume(&self, endpoint: &RegisteredEndpoint) -> Result<(), String> {
        match self.current_run(endpoint) {
            None => Err("the endpoint is no longer registered".into()),
            Some(known) if known.hall_out => {
                Err("the endpoint's data hall is out of service".into())
            }
            Some(_) => Ok(()),
        }
    }

    /// Whether an endpoint may be asked to copy KV caches. A leaving endpoint is asked even while
    /// it backs off, since its generations are lost otherwise.
    pub(super) fn may_request_copies(&self, endpoint: &RegisteredEndpoint) -> bool {
        self.backoff_left(endpoint).is_none() || !endpoint.available
    }

    fn current_run(&self, endpoint: &RegisteredEndpoint) -> Option<RegisteredEndpoint> {
        let known = self.node.view().endpoint(&endpoint.id)?;
        (known.started_at == endpoint.started_at).then_some(known)
    }

    /// The endpoints that an attempt may go to; waits until there is one.
    pub(super) async fn admitted_endpoints(
        &self,
        job: &Job,
        kind: AttemptKind,
        tried: &[Arc<str>],
    ) -> Result<Vec<RegisteredEndpoint>, RequestError> {
        loop {
            let open = self.open_endpoints(job);
            if open.is_empty() {
                return Err(no_endpoint_error(self, &job.service));
            }
            let admitted = self.admitted(open, kind, tried);
            if !admitted.endpoints.is_empty() {
                return Ok(admitted.endpoints);
            }
            self.wait_for_admission(job, kind, &admitted).await?;
        }
    }

    /// Filters `endpoints` to those that an attempt may go to.
    pub(super) fn admitted(
        &self,
        endpoints: Vec<RegisteredEndpoint>,
        kind: AttemptKind,
        tried: &[Arc<str>],
    ) -> AdmittedEndpoints {
        let (mut open, mut last_resort, mut next_open_at) = (Vec::new(), Vec::new(), None);
        for endpoint in endpoints {
            if kind == AttemptKind::Retry && tried.contains(&endpoint.id) {
                continue;
            }
            let opens_at = match self.node.admission(&endpoint.id) {
                Admission::Allowed => {
                    open.push(endpoint);
                    continue;
                }
                Admission::LastResort => {
                    last_resort.push(endpoint);
                    continue;
                }
                Admission::Busy => self.node.now().after(RECHECK_INTERVAL),
                Admission::BackedOff(until) => until,
            };
            next_open_at =
                Some(next_open_at.map_or(opens_at, |at: units::Instant| at.min(opens_at)));
        }
        let endpoints = if open.is_empty() { last_resort } else { open };
        AdmittedEndpoints { endpoints, next_open_at }
    }

    /// Waits until an endpoint becomes admissible, or refuses the call if that is too late to meet
    /// its target latency.
    async fn wait_for_admission(
        &self,
        job: &Job,
        kind: AttemptKind,
        admitted: &AdmittedEndpoints,
    ) -> Result<(), RequestError> {
        let now = self.node.now();
        let wait = admitted.next_open_at.map_or(Duration::MAX, |at| at.since(now));
        if kind == AttemptKind::First && wait <= self.max_queue_time(job) {
            tokio::time::sleep(wait.max(Duration::from_millis(1))).await;
            return Ok(());
        }
        let endpoints = self.node.view().open_endpoints(&job.service).len();
        let mut retry_spreaders = self.retry_spreaders.borrow_mut();
        let retry_spreader = retry_spreaders.entry(job.service.clone()).or_default();
        let wait = wait.min(trayswitch_core::backoff::MAX_BACKOFF)
            + retry_spreader.next_delay(endpoints, now);
        let message = format!(
            "all endpoints of {} have asked this daemon to back off; retry after {} ms",
            job.service,
            wait.as_millis()
        );
        let mut error = RequestError::new(ErrorKind::Overloaded, message);
        error.retry_after = Some(wait);
        Err(error)
    }

    /// Tracks a call as unanswered if its endpoint has a back-off entry.
    pub(super) fn track_unanswered(&self, endpoint: &Arc<str>) -> Option<UnansweredGuard> {
        let mut marked_at = None;
        self.node.with_backoffs(|backoffs, now| {
            if backoffs.started_at(endpoint).is_some() {
                backoffs.on_sent(endpoint, now);
                marked_at = Some(now);
            }
        });
        let sent_at = marked_at?;
        Some(UnansweredGuard {
            node: self.node.clone(),
            endpoint: endpoint.clone(),
            sent_at,
            answered: false,
        })
    }
}

/// Counts a call as unanswered until dropped.
pub(super) struct UnansweredGuard {
    node: NodeHandle,
    endpoint: Arc<str>,
    sent_at: units::Instant,
    answered: bool,
}

impl UnansweredGuard {
    /// Marks the call as answered.
    pub(super) fn mark_answered(mut self) {
        self.answered = true;
    }
}

impl Drop for UnansweredGuard {
    fn drop(&mut self) {
        let UnansweredGuard { endpoint, sent_at, answered, .. } = self;
        self.node
            .with_backoffs(|backoffs, now| backoffs.on_end(endpoint, *sent_at, *answered, now));
    }
}
