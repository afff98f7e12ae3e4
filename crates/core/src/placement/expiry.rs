//! Rejection of queued requests that have expired or cannot be served.

use std::time::Duration;

use super::{
    Action, Request, Ticket,
    endpoint::{EndpointState, Health},
    returns::{Capacity, unreserved_error},
    scheduler::{QueuePosition, Scheduler},
    target::TargetState,
};
use crate::{
    config::EndpointTarget,
    error::{ErrorKind, RequestError},
    units::Instant,
};

impl Scheduler {
    /// Rejects requests that have exceeded their maximum wait.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(expiry) = self.expiries.first().copied() {
            if now < expiry.at {
                break;
            }
            let ticket = expiry.ticket;
            let wait = self.queued.get(&ticket).map(|queued| self.expected_wait(queued));
            let wait = wait.unwrap_or_default();
            let waiting = self.dequeue(ticket);
            self.expiries.remove(&expiry);
            let message = "no endpoint became free in time";
            let error = match waiting {
                // Order of return: its return is reserved.
                Some(waiting) => self.reject(message, &waiting.req, wait, now),
                None => unreserved_error(message, wait),
            };
            actions.push(Action::GiveUp { ticket, error });
        }
        actions
    }

    fn expected_wait(&self, queued: &QueuePosition) -> Duration {
        let target = self.targets.get(&queued.target);
        target.map_or(Duration::ZERO, |target| target.expected_wait(queued.rank))
    }

    /// Error for a request that was or would be queued for too long, with the time to come back.
    pub(super) fn reject(
        &mut self,
        message: &str,
        req: &Request,
        wait: Duration,
        now: Instant,
    ) -> RequestError {
        let output = self.forecast.distribution(&req.workspace, &req.kind);
        let work = req.prompt_tokens as f64 + output.expected_remaining(0, req.max_tokens);
        let starts_per_second = self.targets.get(&req.target).map_or(0.0, TargetState::start_rate);
        let capacity = Capacity { wait, work, rate: starts_per_second * work };
        self.returns.reject(message, req, capacity, now)
    }

    /// Rejects requests for targets whose data halls are all out of service, since operators take
    /// minutes to restore them.
    pub(super) fn give_up_out_of_service(&mut self, now: Instant) -> Vec<Action> {
        let with_queue = self.targets.iter().filter(|(_, target)| 0 < target.queue.len());
        let out: Vec<EndpointTarget> = with_queue
            .map(|(name, _)| name.clone())
            .filter(|target| self.is_target_out_of_service(target))
            .collect();
        if out.is_empty() {
            return Vec::new();
        }
        let mut waiting: Vec<(Ticket, EndpointTarget)> = self
            .queued
            .iter()
            .filter(|(_, queued)| out.contains(&queued.target))
            .map(|(ticket, queued)| (*ticket, queued.target.clone()))
            .collect();
        waiting.sort_by_key(|(ticket, _)| *ticket);
        let mut actions = Vec::new();
        for (ticket, target) in waiting {
            self.cancel(ticket, now);
            actions.push(Action::GiveUp { ticket, error: self.no_endpoint_error(&target) });
        }
        actions
    }

    /// Whether every endpoint of a target, other than leaving ones, is in a data hall that is out of
    /// service.
    fn is_target_out_of_service(&self, target: &EndpointTarget) -> bool {
        let names = self.targets.get(target).map_or(&[][..], |target| &target.endpoints);
        let states = names.iter().filter_map(|name| self.endpoints.get(name));
        let mut staying = states.filter(|state| state.health != Health::Leaving).peekable();
        staying.peek().is_some() && staying.all(EndpointState::is_out_of_service)
    }

    /// Error for a request whose target has no usable endpoint.
    pub(super) fn no_endpoint_error(&self, target: &EndpointTarget) -> RequestError {
        let name = target.name();
        if self.is_target_out_of_service(target) {
            let message = format!("every data hall that serves {name} is out of service");
            return RequestError::new(ErrorKind::OutOfService, message);
        }
        RequestError::new(ErrorKind::NoEndpoint, format!("no live endpoint serves {name}"))
    }
}
