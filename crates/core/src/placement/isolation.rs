//! Isolated requests: each starts on an engine where no other request starts at the same time.
//!
//! A request that has crashed engines before may crash the next one and all that runs there. It is
//! placed on the least loaded engine once no other request there awaits its first token, so that a
//! crash can be attributed to it. The engine accepts other requests after `ESTABLISHED_TOKENS` tokens.

use std::{collections::HashMap, sync::Arc};

use super::{
    Action, Request, Ticket, endpoint::EndpointState, policy::Demand, scheduler::Scheduler,
};
use crate::units::Instant;

/// Output tokens after which a request is considered safe: eight events of four tokens. Known
/// crashes happen before the first event.
const ESTABLISHED_TOKENS: u64 = 32;
/// At most one in this many usable engines is reserved at a time, but at least one. Keeps engines
/// for all other requests.
const ENGINES_PER_RESERVATION: usize = 4;

/// An isolated request that is queued for an engine.
#[derive(Debug)]
struct WaitingRequest {
    req: Request,
    arrived: Instant,
}

/// Queued isolated requests and engine reservations.
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
    /// Whether isolated requests are queued or hold a reservation. If so, first tokens can unblock
    /// queued requests and require a new decision.
    pub(crate) fn has_isolated(&self) -> bool {
        !self.isolated.waiting.is_empty() || !self.isolated.reservations.is_empty()
    }

    /// Starts the queued isolated requests whose engine is ready.
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

    /// Returns the engine reserved for a request, or the best one to reserve.
    fn isolation_engine(
        &self,
        ticket: Ticket,
        waiting: &WaitingRequest,
        now: Instant,
    ) -> Option<Arc<str>> {
        let target = self.targets.get(&waiting.req.target)?;
        let states = target.endpoints.iter().filter_map(|name| self.endpoints.get(name));
        let usable: Vec<&EndpointState> = states
            .filter(|state| state.runs_any_of(&waiting.req.versions))
            .filter(|state| state.is_usable(now) && self.throttle.may_send(&state.name, now))
            .filter(|state| {
                let daemon = waiting.req.ticket.entry;
                self.backoffs.backoff_until(&state.name, daemon, now).is_none()
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

    /// Reserves an engine for a request, unless it is the only one of its model.
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

    /// Whether the queued request at this index may start on its engine: there is capacity and no
    /// other request awaits its first token.
    fn is_ready_for_isolated(&mut self, at: usize, endpoint: &Arc<str>, now: Instant) -> bool {
        let Some(state) = self.endpoints.get(endpoint) else { return false };
        let waiting = &self.isolated.waiting[at];
        let req = &waiting.req;
        let mut demand = Demand::new(req, self.forecast.distribution(&req.workspace, &req.kind));
        demand.ttft_target = req.ttft_target.saturating_sub(now.since(waiting.arrived));
        let is_exclusive = state.reserved_for.is_none() || state.prefill.pending() == 0;
        is_exclusive && self.policy.choose(&demand, &[state], now).is_some()
    }

    /// Releases the reservation of a request once it has produced enough tokens.
    pub(super) fn on_isolated_progress(&mut self, ticket: Ticket, tokens: u64) {
        if ESTABLISHED_TOKENS <= tokens {
            self.release_reservation(ticket);
        }
    }

    /// Removes a request that has ended or left the queue.
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
