//! Rejection of queued requests that have expired or cannot be served.

use std::time::Duration;

use super::{
    Action, Ticket,
    endpoint::{EndpointState, Health},
    scheduler::Scheduler,
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
            let wait = self.queued.get(&expiry.ticket).map(|q| {
                let target = self.targets.get(&q.target);
                target.map_or(Duration::ZERO, |target| target.expected_wait(q.rank))
            });
            self.cancel(expiry.ticket, now);
            let error =
                overloaded_error("no endpoint became free in time", wait.unwrap_or_default());
            actions.push(Action::GiveUp { ticket: expiry.ticket, error });
        }
        actions
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

/// Error for a request that was or would be queued for too long.
pub(super) fn overloaded_error(message: &str, wait: Duration) -> RequestError {
    const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
    let mut error = RequestError::new(ErrorKind::Overloaded, message);
    error.retry_after = Some(wait.max(MIN_RETRY_AFTER));
    error
}
