//! Requests that run apart from others: the scheduler keeps an engine for each while it begins.
//!
//! A request under which engines have ended may end the next one too, with all that runs there. It goes
//! to the engine where the fewest others would be lost, once nothing else is about to begin there, so that
//! the engine's end says which request it was. Until it has begun well nothing else is sent there.

use std::{collections::HashMap, sync::Arc};

use super::{
    Action, Request, Ticket, endpoint::EndpointState, policy::Demand, scheduler::Scheduler,
};
use crate::units::Instant;

/// Tokens after which a request has begun well: eight events of four tokens. Engines that ended under
/// a request did so before its first event; a second of tokens is many times that.
const ESTABLISHED_TOKENS: u64 = 32;
/// At most one in so many engines of a model is kept for such requests, so that the others are served; one
/// at least, if there are two.
const ENGINES_PER_RESERVATION: usize = 4;

/// A request that waits for an engine of its own.
#[derive(Debug)]
struct WaitingRequest {
    req: Request,
    arrived: Instant,
}

/// The requests that run apart, and the engines that are kept for them.
#[derive(Debug, Default)]
pub(super) struct IsolatedRequests {
    waiting: Vec<WaitingRequest>,
    reservations: HashMap<Ticket, Arc<str>>,
}

impl IsolatedRequests {
    pub(super) fn push(&mut self, req: Request, arrived: Instant) {
        self.waiting.push(WaitingRequest { req, arrived });
    }
}

impl Scheduler {
    /// Whether any request runs apart or waits for it: then the first tokens of others let it start, and its
    /// own let others.
    pub(crate) fn has_isolated(&self) -> bool {
        !self.isolated.waiting.is_empty() || !self.isolated.reservations.is_empty()
    }

    /// Starts the requests that run apart and have an engine that is ready.
    pub(super) fn start_isolated(&mut self, now: Instant) -> Vec<Action> {
        let tickets: Vec<Ticket> = self.isolated.waiting.iter().map(|w| w.req.ticket).collect();
        tickets.into_iter().filter_map(|ticket| self.try_start_isolated(ticket, now)).collect()
    }

    fn try_start_isolated(&mut self, ticket: Ticket, now: Instant) -> Option<Action> {
        let at = self.isolated.waiting.iter().position(|w| w.req.ticket == ticket)?;
        let endpoint = self.isolation_engine(ticket, &self.isolated.waiting[at], now)?;
        self.reserve(ticket, &endpoint);
        if !self.is_ready_for_isolated(at, &endpoint, now) {
            return None;
        }
        let WaitingRequest { req, .. } = self.isolated.waiting.remove(at);
        if let Some(queued) = self.queued.remove(&ticket) {
            self.on_dequeued(&queued);
        }
        let priority = req.rank;
        self.place(req, &endpoint, now);
        Some(Action::Start { ticket, endpoint, priority })
    }

    /// The engine that is kept for a request, or could be.
    fn isolation_engine(
        &self,
        ticket: Ticket,
        waiting: &WaitingRequest,
        now: Instant,
    ) -> Option<Arc<str>> {
        let target = self.targets.get(&waiting.req.target)?;
        let states = target.endpoints.iter().filter_map(|name| self.endpoints.get(name));
        let usable: Vec<&EndpointState> = states
            .filter(|state| state.is_usable(now) && self.throttle.takes(&state.name, now))
            .filter(|state| {
                let daemon = waiting.req.ticket.entry;
                self.backoffs.backs_off_until(&state.name, daemon, now).is_none()
            })
            .collect();
        let reserved = self.isolated.reservations.get(&ticket);
        if let Some(reserved) = usable.iter().find(|state| Some(&state.name) == reserved) {
            return Some(reserved.name.clone());
        }
        let max_reserved = (usable.len() / ENGINES_PER_RESERVATION).max(1);
        let is_reserved = |state: &&&EndpointState| state.reserved_for.is_some();
        if max_reserved <= usable.iter().filter(is_reserved).count() {
            return None;
        }
        let free = usable.iter().filter(|state| state.reserved_for.is_none());
        let avoided = |state: &EndpointState| waiting.req.avoid.contains(&state.name);
        let least_loaded =
            free.min_by_key(|state| (avoided(state), state.prefill.pending(), state.running()))?;
        Some(least_loaded.name.clone())
    }

    /// Keeps an engine for a request, unless it is the only one of its model.
    fn reserve(&mut self, ticket: Ticket, endpoint: &Arc<str>) {
        if self.isolated.reservations.get(&ticket) == Some(endpoint) {
            return;
        }
        self.release_reservation(ticket);
        let Some(state) = self.endpoints.get(endpoint) else { return };
        let target = self.targets.get(&state.spec.target);
        if target.is_none_or(|target| target.endpoints.len() < 2) {
            return;
        }
        self.isolated.reservations.insert(ticket, endpoint.clone());
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.reserved_for = Some(ticket);
        }
    }

    /// Whether the request that waits at this place may start at the engine that is kept for it: it has
    /// room, and nothing else is about to begin there.
    fn is_ready_for_isolated(&mut self, at: usize, endpoint: &Arc<str>, now: Instant) -> bool {
        let Some(state) = self.endpoints.get(endpoint) else { return false };
        let waiting = &self.isolated.waiting[at];
        let req = &waiting.req;
        let mut demand = Demand::new(req, self.forecast.distribution(&req.workspace, &req.kind));
        demand.ttft_target = req.ttft_target.saturating_sub(now.since(waiting.arrived));
        let is_exclusive = state.reserved_for.is_none() || state.prefill.pending() == 0;
        is_exclusive && self.policy.choose(&demand, &[state], now).is_some()
    }

    /// Notes the tokens of a request: once it has begun well, its engine takes others again.
    pub(super) fn on_isolated_progress(&mut self, ticket: Ticket, tokens: u64) {
        if ESTABLISHED_TOKENS <= tokens {
            self.release_reservation(ticket);
        }
    }

    /// Forgets a request that has ended, or waits no more.
    pub(super) fn forget_isolated(&mut self, ticket: Ticket) {
        self.isolated.waiting.retain(|waiting| waiting.req.ticket != ticket);
        self.release_reservation(ticket);
    }

    fn release_reservation(&mut self, ticket: Ticket) {
        let Some(endpoint) = self.isolated.reservations.remove(&ticket) else { return };
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.reserved_for.take_if(|reserved_for| *reserved_for == ticket);
        }
    }
}
