//! Endpoints that have rejected requests: who may still be sent to them, and what waits for them.

use std::{sync::Arc, time::Duration};

use super::{
    Action, Request, Ticket,
    endpoint::EndpointState,
    expiry::overloaded_error,
    policy::{Demand, Policy},
    scheduler::Scheduler,
};
use crate::{
    backoff::{Admission, LOCAL_DAEMON, Rejection},
    config::EndpointTarget,
    error::RequestError,
    mechanism::Mechanism,
    units::Instant,
};

/// Pause between two looks at an endpoint that has yet to answer another request.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A request that waits until an endpoint takes requests of its daemon again.
#[derive(Debug)]
pub(super) struct HeldRequest {
    req: Request,
    arrived: Instant,
    until: Instant,
}

/// The endpoints that a request may be sent to now, the better ones apart from others.
pub(super) struct AdmissionGroups<'a> {
    open: Vec<&'a EndpointState>,
    last_resort: Vec<&'a EndpointState>,
    /// Those that have rejected it, or failed: used if there are no others, whether these have room or not.
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
                Some(Admission::Open | Admission::LastResort)
                    if req.avoid.contains(&endpoint.name) =>
                {
                    &mut groups.avoided
                }
                Some(Admission::Open) => &mut groups.open,
                Some(Admission::LastResort) => &mut groups.last_resort,
                Some(Admission::Busy | Admission::BackedOff(_)) | None => continue,
            };
            group.push(endpoint);
        }
        groups
    }

    /// The best one with room.
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
    /// Takes what an endpoint has rejected of a daemon's requests.
    pub fn on_rejection(&mut self, daemon: u64, rejection: &Rejection, now: Instant) {
        self.backoffs.on_rejection(daemon, rejection, now);
    }

    /// Whether an endpoint that rejects one daemon is the last resort of all.
    pub(crate) fn shares_backoffs(&self) -> bool {
        self.limits.disabled.allows(Mechanism::SharedBackoff)
    }

    /// Forgets what runs of endpoints have said in answers that are not there any more.
    pub(crate) fn retain_runs(&mut self, is_current: impl Fn(&str, u64) -> bool, now: Instant) {
        self.throttle.retain(|word| is_current(&word.endpoint, word.born), now);
        self.backoffs.retain(is_current, now);
    }

    /// Whether a request of a daemon may be sent to an endpoint now; nothing if it takes none for other reasons.
    pub(super) fn admission(
        &self,
        endpoint: &EndpointState,
        daemon: u64,
        now: Instant,
    ) -> Option<Admission> {
        if !self.may_send(endpoint, now) {
            return None;
        }
        Some(self.admission_of(&endpoint.name, daemon, now))
    }

    fn admission_of(&self, endpoint: &str, daemon: u64, now: Instant) -> Admission {
        let admission = self.backoffs.admission(endpoint, daemon, now);
        let is_own = matches!(admission, Admission::BackedOff(_));
        if is_own || self.shares_backoffs() { admission } else { Admission::Open }
    }

    /// The same for a request that a daemon sends by itself.
    pub(crate) fn local_admission(&self, endpoint: &str, now: Instant) -> Admission {
        self.admission_of(endpoint, LOCAL_DAEMON, now)
    }

    /// When to look again at a request if every endpoint that could be used takes none of its daemon: all have asked
    /// it to back off, but for those that have yet to answer another request.
    pub(super) fn backed_off_until(&self, req: &Request, now: Instant) -> Option<Instant> {
        if self.backoffs.is_empty() {
            return None;
        }
        let target = self.targets.get(&req.target)?;
        let usable = target.endpoints.iter().filter_map(|name| self.endpoints.get(name));
        let (mut earliest, mut any_backed_off) = (None::<Instant>, false);
        for endpoint in usable.filter(|endpoint| endpoint.is_usable(now)) {
            let until = match self.admission_of(&endpoint.name, req.ticket.entry, now) {
                Admission::Open | Admission::LastResort => return None,
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

    /// Takes a request that no endpoint takes before then out of the queue, so that it holds up nobody, and lets
    /// it wait beside the queue if it can.
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
            self.held.push(HeldRequest { req: waiting.req, arrived: waiting.arrived, until });
            return None;
        }
        let error = self.backed_off_error(&waiting.req.target, until, now);
        self.cancel(ticket, now);
        Some(Action::GiveUp { ticket, error })
    }

    /// Puts requests whose wait is over back into the queue.
    pub(super) fn requeue_held(&mut self, now: Instant) {
        for held in std::mem::take(&mut self.held) {
            if now < held.until {
                self.held.push(held);
            } else if let Some(target) = self.targets.get_mut(&held.req.target) {
                target.queue.push(held.req, held.arrived);
            }
        }
    }

    /// Forgets a request that waits no more.
    pub(super) fn remove_held(&mut self, ticket: Ticket) {
        self.held.retain(|held| held.req.ticket != ticket);
    }

    /// When an endpoint that has rejected requests becomes more open, while any wait.
    pub(super) fn next_backoff_change(&self) -> Option<Instant> {
        if self.queued.is_empty() {
            return None;
        }
        let held = self.held.iter().map(|held| held.until);
        held.chain(self.backoffs.next_change(self.last_decision)).min()
    }

    /// The error for a request whose daemon every endpoint has asked to back off until then at least. The more are
    /// refused at the same time, the later they are told to come back.
    pub(super) fn backed_off_error(
        &mut self,
        target: &EndpointTarget,
        until: Instant,
        now: Instant,
    ) -> RequestError {
        let endpoints = self.targets.get(target).map_or(0, |target| target.endpoints.len());
        let wait: Duration = until.since(now) + self.refusals.add(endpoints, now);
        let message = format!(
            "all endpoints of {} have asked this daemon to back off; retry after {} ms",
            target.name(),
            wait.as_millis()
        );
        overloaded_error(&message, wait)
    }
}
