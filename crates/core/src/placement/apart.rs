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
const BEGUN_WELL: u64 = 32;
/// At most one in so many engines of a model is kept for such requests, so that the others are served; one
/// at least, if there are two.
const KEPT_PART: usize = 4;

/// A request that waits for an engine of its own.
#[derive(Debug)]
struct Waiting {
    req: Request,
    arrived: Instant,
}

/// The requests that run apart, and the engines that are kept for them.
#[derive(Debug, Default)]
pub(super) struct Apart {
    waiting: Vec<Waiting>,
    kept: HashMap<Ticket, Arc<str>>,
}

impl Apart {
    pub(super) fn push(&mut self, req: Request, arrived: Instant) {
        self.waiting.push(Waiting { req, arrived });
    }
}

impl Scheduler {
    /// Whether any request runs apart or waits for it: then the first tokens of others let it start, and its
    /// own let others.
    pub(crate) fn has_isolated(&self) -> bool {
        !self.apart.waiting.is_empty() || !self.apart.kept.is_empty()
    }

    /// Starts the requests that run apart and have an engine that is ready.
    pub(super) fn start_apart(&mut self, now: Instant) -> Vec<Action> {
        let tickets: Vec<Ticket> = self.apart.waiting.iter().map(|w| w.req.ticket).collect();
        tickets.into_iter().filter_map(|ticket| self.start_one_apart(ticket, now)).collect()
    }

    fn start_one_apart(&mut self, ticket: Ticket, now: Instant) -> Option<Action> {
        let at = self.apart.waiting.iter().position(|w| w.req.ticket == ticket)?;
        let endpoint = self.engine_for(ticket, &self.apart.waiting[at], now)?;
        self.keep(ticket, &endpoint);
        if !self.is_ready_for(at, &endpoint, now) {
            return None;
        }
        let Waiting { req, .. } = self.apart.waiting.remove(at);
        if let Some(queued) = self.queued.remove(&ticket) {
            self.no_longer_waits(&queued);
        }
        let priority = req.rank;
        self.place(req, &endpoint, now);
        Some(Action::Start { ticket, endpoint, priority })
    }

    /// The engine that is kept for a request, or could be.
    fn engine_for(&self, ticket: Ticket, waiting: &Waiting, now: Instant) -> Option<Arc<str>> {
        let target = self.targets.get(&waiting.req.target)?;
        let states = target.endpoints.iter().filter_map(|name| self.endpoints.get(name));
        let usable: Vec<&EndpointState> = states
            .filter(|state| state.is_usable(now) && self.throttle.takes(&state.name, now))
            .filter(|state| {
                let daemon = waiting.req.ticket.entry;
                self.backoffs.backs_off_until(&state.name, daemon, now).is_none()
            })
            .collect();
        let kept = self.apart.kept.get(&ticket);
        if let Some(kept) = usable.iter().find(|state| Some(&state.name) == kept) {
            return Some(kept.name.clone());
        }
        let most = (usable.len() / KEPT_PART).max(1);
        let is_reserved = |state: &&&EndpointState| state.reserved_for.is_some();
        if most <= usable.iter().filter(is_reserved).count() {
            return None;
        }
        let free = usable.iter().filter(|state| state.reserved_for.is_none());
        let avoided = |state: &EndpointState| waiting.req.avoid.contains(&state.name);
        let least =
            free.min_by_key(|state| (avoided(state), state.prefill.pending(), state.running()))?;
        Some(least.name.clone())
    }

    /// Keeps an engine for a request, unless it is the only one of its model.
    fn keep(&mut self, ticket: Ticket, endpoint: &Arc<str>) {
        if self.apart.kept.get(&ticket) == Some(endpoint) {
            return;
        }
        self.let_go(ticket);
        let Some(state) = self.endpoints.get(endpoint) else { return };
        let target = self.targets.get(&state.spec.target);
        if target.is_none_or(|target| target.endpoints.len() < 2) {
            return;
        }
        self.apart.kept.insert(ticket, endpoint.clone());
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.reserved_for = Some(ticket);
        }
    }

    /// Whether the request that waits at this place may start at the engine that is kept for it: it has
    /// room, and nothing else is about to begin there.
    fn is_ready_for(&mut self, at: usize, endpoint: &Arc<str>, now: Instant) -> bool {
        let Some(state) = self.endpoints.get(endpoint) else { return false };
        let waiting = &self.apart.waiting[at];
        let req = &waiting.req;
        let mut demand = Demand::new(req, self.forecast.distribution(&req.workspace, &req.kind));
        demand.ttft_target = req.ttft_target.saturating_sub(now.since(waiting.arrived));
        let is_alone = state.reserved_for.is_none() || state.prefill.pending() == 0;
        is_alone && self.policy.choose(&demand, &[state], now).is_some()
    }

    /// Notes the tokens of a request: once it has begun well, its engine takes others again.
    pub(super) fn note_begin_apart(&mut self, ticket: Ticket, tokens: u64) {
        if BEGUN_WELL <= tokens {
            self.let_go(ticket);
        }
    }

    /// Forgets a request that has ended, or waits no more.
    pub(super) fn forget_apart(&mut self, ticket: Ticket) {
        self.apart.waiting.retain(|waiting| waiting.req.ticket != ticket);
        self.let_go(ticket);
    }

    fn let_go(&mut self, ticket: Ticket) {
        let Some(endpoint) = self.apart.kept.remove(&ticket) else { return };
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.reserved_for.take_if(|reserved_for| *reserved_for == ticket);
        }
    }
}
