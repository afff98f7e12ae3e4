//! Placement on endpoints that have rejected requests, and requests held until a back-off ends.

use std::{sync::Arc, time::Duration};

use super::{
    Action, Request, Ticket,
    endpoint::EndpointState,
    policy::{Demand, Policy},
    queue::WaitingRequest,
    scheduler::Scheduler,
};
use crate::{
    backoff::{Admission, LOCAL_DAEMON, Rejection},
    error::RequestError,
    mechanism::Mechanism,
    signals::RESTART_NEWS_DELAY,
    software_version::VersionConstraint,
    throttle::RateLimitReport,
    units::Instant,
};

/// Recheck interval for endpoints that have an unanswered probe request after a back-off.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A request that is held until the back-off of its daemon ends.
#[derive(Debug)]
pub(super) struct HeldRequest {
    waiting: WaitingRequest,
    until: Instant,
}

/// Endpoints that admit a request, in groups of decreasing preference.
pub(super) struct AdmissionGroups<'a> {
    open: Vec<&'a EndpointState>,
    last_resort: Vec<&'a EndpointState>,
    /// Endpoints that have rejected or failed this request; used only if the other groups are empty.
    avoided: Vec<&'a EndpointState>,
}

impl<'a> AdmissionGroups<'a> {
    pub(super) fn new(
        endpoints: impl Iterator<Item = &'a EndpointState>,
        req: &Request,
        admission: impl Fn(&EndpointState) -> Option<Admission>,
    ) -> AdmissionGroups<'a> {
        let mut groups =
            AdmissionGroups { open: Vec::new(), last_resort: Vec::new(), avoided: Vec::new() };
        for endpoint in endpoints {
            let group = match admission(endpoint) {
                Some(Admission::Allowed | Admission::LastResort)
                    if req.avoid.contains(&endpoint.name) =>
                {
                    &mut groups.avoided
                }
                Some(Admission::Allowed) => &mut groups.open,
                Some(Admission::LastResort) => &mut groups.last_resort,
                Some(Admission::Busy | Admission::BackedOff(_)) | None => continue,
            };
            group.push(endpoint);
        }
        groups
    }

    /// Whether the first token would be late on each of the endpoints even if it was idle.
    pub(super) fn is_late_on_all(&self, demand: &Demand) -> bool {
        let is_late = |state: &&EndpointState| {
            demand.ttft_target < state.prefill.time_for(demand.prompt_tokens)
        };
        let mut all = self.open.iter().chain(&self.last_resort).chain(&self.avoided).peekable();
        all.peek().is_some() && all.all(is_late)
    }

    /// Selects the best endpoint with capacity.
    pub(super) fn choose(
        &self,
        demand: &Demand,
        policy: &mut dyn Policy,
        now: Instant,
    ) -> Option<Arc<str>> {
        let only_avoided = self.open.is_empty() && self.last_resort.is_empty();
        let avoided = if only_avoided { &self.avoided[..] } else { &[] };
        let mut groups = [&self.open[..], &self.last_resort, avoided].into_iter();
        groups.find_map(|group| Some(group[policy.choose(demand, group, now)?].name.clone()))
    }
}

impl Scheduler {
    /// Records that an endpoint rejected a request of a daemon.
    pub fn on_rejection(&mut self, daemon: u64, rejection: &Rejection, now: Instant) {
        self.backoffs.on_rejection(daemon, rejection, now);
    }

    /// Whether an endpoint that rejects one daemon becomes the last resort for all daemons.
    pub(crate) fn shares_backoffs(&self) -> bool {
        self.limits.disabled.allows(Mechanism::SharedBackoff)
    }

    /// Applies the start times of the known runs of endpoints: rate limits and back-offs of earlier
    /// runs are discarded.
    pub(crate) fn update_runs(&mut self, started_at: impl Fn(&str) -> Option<u64>, now: Instant) {
        let is_current = |report: &RateLimitReport| {
            now.since(report.received_at) < RESTART_NEWS_DELAY
                || started_at(&report.endpoint) == Some(report.started_at)
        };
        self.throttle.retain(is_current, now);
        self.backoffs.update_runs(started_at, now);
    }

    /// Whether an endpoint admits requests of a daemon that may run at these software versions; `None`
    /// if it is unavailable for other reasons.
    pub(super) fn admission(
        &self,
        endpoint: &EndpointState,
        daemon: u64,
        versions: &VersionConstraint,
        now: Instant,
    ) -> Option<Admission> {
        if !endpoint.runs_any_of(versions) || !self.may_send(endpoint, now) {
            return None;
        }
        Some(self.admission_of(&endpoint.name, daemon, now))
    }

    fn admission_of(&self, endpoint: &str, daemon: u64, now: Instant) -> Admission {
        let admission = self.backoffs.admission(endpoint, daemon, now);
        let own_backoff = matches!(admission, Admission::BackedOff(_));
        if own_backoff || self.shares_backoffs() { admission } else { Admission::Allowed }
    }

    /// Like [`Scheduler::admission`], for requests that this daemon sends itself.
    pub(crate) fn local_admission(&self, endpoint: &str, now: Instant) -> Admission {
        self.admission_of(endpoint, LOCAL_DAEMON, now)
    }

    /// Returns when to retry a request if no usable endpoint admits its daemon and at least one has
    /// asked it to back off.
    pub(super) fn backed_off_until(&self, req: &Request, now: Instant) -> Option<Instant> {
        if self.backoffs.is_empty() {
            return None;
        }
        let target = self.targets.get(&req.target)?;
        let usable = target.endpoints.iter().filter_map(|name| self.endpoints.get(name));
        let (mut earliest, mut any_backed_off) = (None::<Instant>, false);
        let usable = usable.filter(|endpoint| endpoint.runs_any_of(&req.versions));
        for endpoint in usable.filter(|endpoint| endpoint.is_usable(now)) {
            let until = match self.admission_of(&endpoint.name, req.ticket.entry, now) {
                Admission::Allowed | Admission::LastResort => return None,
                Admission::Busy => now.after(RECHECK_INTERVAL),
                Admission::BackedOff(until) => {
                    any_backed_off = true;
                    until
                }
            };
            earliest = Some(earliest.map_or(until, |earliest| earliest.min(until)));
        }
        earliest.filter(|_| any_backed_off)
    }

    /// Moves a request that no endpoint admits before `until` out of the queue, so that it does not
    /// block others. Rejects it if it would expire first.
    pub(super) fn hold_until(
        &mut self,
        ticket: Ticket,
        until: Instant,
        now: Instant,
    ) -> Option<Action> {
        let queued = self.queued.get(&ticket)?;
        let (rank, expires) = (queued.rank, queued.expiry.at);
        let target = self.targets.get_mut(&queued.target)?;
        let waiting = target.queue.remove(rank, &queued.workspace, ticket)?;
        if until <= expires {
            self.held.push(HeldRequest { waiting, until });
            return None;
        }
        self.cancel(ticket, now);
        self.returns.on_withdrawn(&waiting.req, now);
        let error = self.backed_off_error(&waiting.req, until, now);
        Some(Action::GiveUp { ticket, error })
    }

    /// Puts held requests whose back-off has ended back into the queue.
    pub(super) fn requeue_held(&mut self, now: Instant) {
        for held in std::mem::take(&mut self.held) {
            if now < held.until {
                self.held.push(held);
            } else if let Some(target) = self.targets.get_mut(&held.waiting.req.target) {
                let WaitingRequest { req, arrived, order } = held.waiting;
                target.queue.push(req, arrived, order);
            }
        }
    }

    /// Removes a held request.
    pub(super) fn remove_held(&mut self, ticket: Ticket) -> Option<WaitingRequest> {
        let at = self.held.iter().position(|held| held.waiting.req.ticket == ticket)?;
        Some(self.held.remove(at).waiting)
    }

    /// Time at which a back-off next changes or a held request is due, if any request is queued.
    pub(super) fn next_backoff_change(&self) -> Option<Instant> {
        if self.queued.is_empty() {
            return None;
        }
        let held = self.held.iter().map(|held| held.until);
        held.chain(self.backoffs.next_change(self.last_decision)).min()
    }

    /// Error for a request whose daemon all endpoints have asked to back off until `until`. Retry times
    /// are spread over requests that are rejected at the same time.
    pub(super) fn backed_off_error(
        &mut self,
        req: &Request,
        until: Instant,
        now: Instant,
    ) -> RequestError {
        let target = &req.target;
        let endpoints = self.targets.get(target).map_or(0, |target| target.endpoints.len());
        let wait: Duration = until.since(now) + self.retry_spreader.next_delay(endpoints, now);
        let at_version = req.versions.version().map(|v| format!(" at software version {v}"));
        let message = format!(
            "all endpoints of {}{} have asked this daemon to back off",
            target.name(),
            at_version.unwrap_or_default()
        );
        self.reject(&message, req, wait, false, now)
    }
}
