//! Requests that continue a stream, which can start only on engines of one software version.
//!
//! They wait beside the queue of their target, where they would hold up requests that may start on
//! any engine, and start before these, which have more engines to choose from.

use std::collections::HashSet;

use super::{
    Action, Request, Ticket,
    backoff::AdmissionGroups,
    endpoint::EndpointState,
    expiry::request_work,
    policy::Demand,
    queue::WaitingRequest,
    scheduler::{PlacedRequest, Scheduler},
};
use crate::{
    config::EndpointTarget,
    error::{ErrorKind, RequestError},
    software_version::VersionConstraint,
    units::Instant,
};

/// Requests that continue a stream and wait for an engine: by rank, then by arrival.
#[derive(Debug, Default)]
pub(super) struct ContinuationQueue {
    waiting: Vec<WaitingRequest>,
}

impl ContinuationQueue {
    fn push(&mut self, req: Request, arrived: Instant) {
        let at = self.waiting.partition_point(|waiting| waiting.req.rank <= req.rank);
        self.waiting.insert(at, WaitingRequest { req, arrived, order: None });
    }

    fn get(&self, ticket: Ticket) -> Option<&WaitingRequest> {
        self.waiting.iter().find(|waiting| waiting.req.ticket == ticket)
    }

    /// Removes a request.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<WaitingRequest> {
        let at = self.waiting.iter().position(|waiting| waiting.req.ticket == ticket)?;
        Some(self.waiting.remove(at))
    }
}

impl Scheduler {
    /// Software versions at which a running request may go on.
    pub(super) fn versions_of_running(&self, placed: &PlacedRequest) -> VersionConstraint {
        let endpoint = self.endpoints.get(&placed.endpoint);
        VersionConstraint::begun_at(endpoint.and_then(|at| at.spec.software_version.as_ref()))
    }

    /// The error for a request that continues a stream if no endpoint will run its software version.
    pub(super) fn version_error(&self, req: &Request) -> Option<RequestError> {
        let name = req.target.name();
        let version = match &req.versions {
            VersionConstraint::Any => return None,
            VersionConstraint::Only(version) => version,
            VersionConstraint::Unknown => {
                let message = "it is not known which software version began the stream";
                return Some(RequestError::new(ErrorKind::OriginUnknown, message));
            }
        };
        let target = self.targets.get(&req.target);
        let names = target.map_or(&[][..], |target| target.endpoints_of(&req.versions));
        let mut states = names.iter().filter_map(|name| self.endpoints.get(name));
        if states.any(EndpointState::is_staying) {
            return None;
        }
        let message = format!(
            "no live endpoint of {name} runs software version {version}, which began the stream"
        );
        Some(RequestError::new(ErrorKind::VersionUnavailable, message))
    }

    /// Queues a request that continues a stream.
    pub(super) fn queue_continuation(&mut self, req: Request, now: Instant) {
        self.record_queued(&req, req.max_wait, now);
        if req.isolated {
            self.isolated.push(req, now);
        } else {
            self.continuations.push(req, now);
        }
    }

    /// Starts the requests that continue a stream on engines with capacity, and rejects those
    /// whose software version has gone.
    pub(super) fn start_continuations(&mut self, now: Instant) -> Vec<Action> {
        let tickets: Vec<Ticket> =
            self.continuations.waiting.iter().map(|waiting| waiting.req.ticket).collect();
        let mut full: HashSet<(EndpointTarget, VersionConstraint)> = HashSet::new();
        let mut actions = Vec::new();
        for ticket in tickets {
            let Some(waiting) = self.continuations.get(ticket) else { continue };
            let req = &waiting.req;
            if let Some(error) = self.version_error(req) {
                self.cancel(ticket, now);
                actions.push(Action::GiveUp { ticket, error });
                continue;
            }
            let engines = (req.target.clone(), req.versions.clone());
            if full.contains(&engines) || self.is_at_limit(req) {
                continue;
            }
            match self.try_start_continuation(ticket, now) {
                Some(action) => actions.push(action),
                None => drop(full.insert(engines)),
            }
        }
        actions
    }

    fn is_at_limit(&self, req: &Request) -> bool {
        let running = self.counts.get(&req.workspace).map_or(0, |count| count.running);
        req.max_running <= running
    }

    fn try_start_continuation(&mut self, ticket: Ticket, now: Instant) -> Option<Action> {
        let req = &self.continuations.get(ticket)?.req;
        let target = self.targets.get(&req.target)?;
        self.sample_offset = self.sample_offset.wrapping_add(1);
        let sample = target.sample(self.sample_offset, req.prefix, &req.versions);
        let states = sample.filter_map(|name| self.endpoints.get(name));
        let open = AdmissionGroups::new(states, req, |endpoint| {
            self.admission(endpoint, req.ticket.entry, &req.versions, now)
        });
        let demand = Demand::new(req, self.forecast.distribution(&req.workspace, &req.kind));
        let endpoint = open.choose(&demand, &mut *self.policy, now)?;
        let WaitingRequest { req, .. } = self.continuations.remove(ticket)?;
        if let Some(queued) = self.queued.remove(&ticket) {
            self.on_dequeued(&queued);
        }
        let work = request_work(&self.forecast, &req);
        if let Some(target) = self.targets.get_mut(&req.target) {
            target.admission.on_started(work, now);
        }
        let priority = req.rank;
        self.place(req, &endpoint, now);
        Some(Action::Start { ticket, endpoint, priority })
    }
}
