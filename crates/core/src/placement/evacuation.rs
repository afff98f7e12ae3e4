//! Moves running generations off endpoints that are leaving.
//!
//! Copies from one endpoint share its link, so each endpoint sends one generation at a time, the
//! one with the highest gain first, and receives one at a time. The daemon switches a generation
//! over only after its copy has arrived.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use super::{
    Scheduler, Ticket,
    endpoint::{EndpointState, Health},
    forecast::generation_value,
    scheduler::PlacedRequest,
};
use crate::{backoff::Admission, mechanism::Mechanism, units::Instant};

/// Time after which an unanswered move is abandoned. A copy takes up to half a second, and a leaving
/// endpoint stops about two seconds after its notice.
const MOVE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of failed moves per generation.
const MAX_MOVE_FAILURES: u32 = 20;
/// Delay before a failed move is retried.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Planning interval while moves are pending.
const PLANNING_INTERVAL: Duration = Duration::from_millis(20);
/// Generations with no more tokens left than this end before their copy would arrive.
const MIN_REMAINING_TOKENS: u64 = 32;
/// Tokens that a generation produces between the leave notice and the stop of its endpoint, assuming
/// the shortest notice of 1.5 s. Generations that end within them need no move.
const NOTICE_TOKENS: u64 = 150;
/// Fixed cost of a move (connection setup and restart), as the equivalent number of copied tokens.
/// Connections and the restart take 30 ms, in which a link of 19 Gbit/s copies 500 tokens.
const MOVE_OVERHEAD_TOKENS: u64 = 500;

/// A running generation to be moved to another endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relocation {
    /// The generation.
    pub ticket: Ticket,
    /// Current endpoint.
    pub from: Arc<str>,
    /// Destination endpoint.
    pub to: Arc<str>,
}

#[derive(Debug)]
struct ActiveMove {
    from: Arc<str>,
    to: Arc<str>,
    deadline: Instant,
}

#[derive(Debug, Clone, Default)]
struct FailedMoves {
    count: u32,
    not_before: Instant,
    /// Endpoints that refused a copy; they are likely to refuse again.
    refused_by: Vec<Arc<str>>,
}

/// Active and failed moves.
#[derive(Debug, Default)]
pub(super) struct MoveTracker {
    /// Leaving endpoints; a small subset that is examined after every input.
    pub(super) leaving: BTreeSet<Arc<str>>,
    active: HashMap<Ticket, ActiveMove>,
    failures: HashMap<Ticket, FailedMoves>,
    next_plan: Instant,
}

impl MoveTracker {
    /// Removes a generation that has ended.
    pub(super) fn forget(&mut self, ticket: Ticket) {
        self.active.remove(&ticket);
        self.failures.remove(&ticket);
    }

    pub(super) fn is_busy(&self, endpoint: &Arc<str>) -> bool {
        self.active.values().any(|m| m.from == *endpoint || m.to == *endpoint)
    }

    fn may_move(&self, ticket: &Ticket, now: Instant) -> bool {
        let retry_due = |failures: &FailedMoves| {
            failures.count < MAX_MOVE_FAILURES && failures.not_before <= now
        };
        !self.active.contains_key(ticket) && self.failures.get(ticket).is_none_or(retry_due)
    }
}

impl Scheduler {
    /// Returns the moves to start now.
    pub fn plan_relocations(&mut self, now: Instant) -> Vec<Relocation> {
        self.moves.next_plan = now.after(PLANNING_INTERVAL);
        self.expire_moves(now);
        let sources: Vec<Arc<str>> = self
            .draining_endpoints()
            .filter(|state| !self.moves.is_busy(&state.name))
            .map(|state| state.name.clone())
            .collect();
        let mut moves: Vec<Relocation> =
            sources.iter().filter_map(|source| self.start_next_move(source, now)).collect();
        moves.extend(self.plan_handovers(now));
        moves
    }

    /// Time at which [`Scheduler::plan_relocations`] must be called even without other input.
    pub(super) fn next_plan_at(&self) -> Option<Instant> {
        let waiting = self.draining_endpoints().next().is_some() || self.handover.has_waiting();
        waiting.then_some(self.moves.next_plan)
    }

    /// Leaving endpoints that still run generations that can be moved.
    fn draining_endpoints(&self) -> impl Iterator<Item = &EndpointState> {
        let enabled = self.limits.disabled.allows(Mechanism::Evacuation);
        let leaving = self.moves.leaving.iter().filter_map(|name| self.endpoints.get(name));
        // An endpoint that has returned at another address under the same name is not leaving.
        leaving.filter(move |state| {
            enabled
                && state.health == Health::Leaving
                && state.spec.supports_relocation
                && 0 < state.running
        })
    }

    /// Records the endpoint of a generation after a move; `done` is false if the move failed.
    pub fn on_relocated(&mut self, ticket: Ticket, at: &str, done: bool, now: Instant) {
        let at: Arc<str> = at.into();
        let ended = self.moves.active.remove(&ticket);
        if !self.placed.contains_key(&ticket) {
            return;
        }
        self.relocate(ticket, &at, now);
        if done {
            self.moves.failures.remove(&ticket);
            return;
        }
        let failures = self.moves.failures.entry(ticket).or_default();
        failures.count += 1;
        failures.not_before = now.after(RETRY_DELAY);
        failures.refused_by.extend(ended.map(|ended| ended.to));
    }

    fn expire_moves(&mut self, now: Instant) {
        let overdue: Vec<Ticket> = self
            .moves
            .active
            .iter()
            .filter(|(_, m)| m.deadline <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in overdue {
            if let Some(ActiveMove { from, .. }) = self.moves.active.remove(&ticket) {
                self.relocate(ticket, &from, now);
                self.moves.failures.entry(ticket).or_default().count += 1;
            }
        }
    }

    /// Starts the move of one generation off an endpoint.
    fn start_next_move(&mut self, source: &Arc<str>, now: Instant) -> Option<Relocation> {
        let ticket = self.best_candidate_at(source, now)?;
        let to = self.choose_destination(ticket, source, now)?;
        self.start_move(ticket, &to, now)
    }

    /// Starts a move.
    pub(super) fn start_move(
        &mut self,
        ticket: Ticket,
        to: &Arc<str>,
        now: Instant,
    ) -> Option<Relocation> {
        let from = self.placed.get(&ticket)?.endpoint.clone();
        self.relocate(ticket, to, now);
        if let Some(state) = self.endpoints.get_mut(to) {
            state.on_sent(self.sender_role, now);
        }
        self.throttle.on_sent(to, now);
        let deadline = now.after(MOVE_TIMEOUT);
        self.moves
            .active
            .insert(ticket, ActiveMove { from: from.clone(), to: to.clone(), deadline });
        Some(Relocation { ticket, from, to: to.clone() })
    }

    /// Returns the generation on an endpoint with the highest gain per copied token.
    fn best_candidate_at(&self, source: &Arc<str>, now: Instant) -> Option<Ticket> {
        let has_enough_left =
            |placed: &PlacedRequest| placed.tokens + MIN_REMAINING_TOKENS < placed.req.max_tokens;
        self.placed
            .iter()
            .filter(|(ticket, placed)| {
                placed.endpoint == *source
                    && !placed.req.isolated
                    && has_enough_left(placed)
                    && self.moves.may_move(ticket, now)
            })
            .map(|(ticket, placed)| (self.move_gain(placed), *ticket))
            .max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
            .map(|(_, ticket)| ticket)
    }

    /// Expected gain of a move per copied token: the value of the completed generation, weighted by the
    /// probability that it outlives its endpoint.
    fn move_gain(&self, placed: &PlacedRequest) -> f64 {
        if !self.limits.disabled.allows(Mechanism::MoveOrder) {
            return 0.0;
        }
        let req = &placed.req;
        let distribution = self.forecast.distribution(&req.workspace, &req.kind);
        let remaining = distribution.expected_remaining(placed.tokens, req.max_tokens);
        let value = generation_value(req.prompt_tokens, placed.tokens as f64 + remaining);
        let outlives_notice = distribution.probability_beyond(placed.tokens, NOTICE_TOKENS);
        let copied = req.prompt_tokens + placed.tokens + MOVE_OVERHEAD_TOKENS;
        value * outlives_notice / copied as f64
    }

    /// Selects the destination of a generation. Endpoints in the same data hall are preferred, since
    /// copies to other halls take about twice as long.
    fn choose_destination(
        &mut self,
        ticket: Ticket,
        source: &Arc<str>,
        now: Instant,
    ) -> Option<Arc<str>> {
        let placed = self.placed.get(&ticket)?;
        let (req, demand) = (&placed.req, self.remaining_demand(placed));
        let hall = self.endpoints.get(source).map(|state| &state.spec.hall);
        let versions = self.versions_of_running(placed);
        let failures = self.moves.failures.get(&ticket);
        let disabled = self.limits.disabled;
        let refused = |name| {
            disabled.allows(Mechanism::RefusedDestinations)
                && failures.is_some_and(|failures| failures.refused_by.contains(name))
        };
        let mut open: Vec<&EndpointState> = self
            .endpoints
            .values()
            .filter(|state| {
                state.spec.target == req.target
                    && self.admission(state, ticket.entry, &versions, now)
                        == Some(Admission::Allowed)
                    && !self.moves.is_busy(&state.name)
            })
            .collect();
        // Sort for deterministic runs.
        open.sort_by(|a, b| a.name.cmp(&b.name));
        let is_near = |state: &EndpointState| {
            !disabled.allows(Mechanism::NearDestinations) || Some(&state.spec.hall) == hall
        };
        // Endpoints that refused a copy are retried only if no other has capacity.
        for (near_only, refused_only) in
            [(true, false), (false, false), (true, true), (false, true)]
        {
            let group: Vec<&EndpointState> = open
                .iter()
                .copied()
                .filter(|state| is_near(state) || !near_only)
                .filter(|state| refused(&state.name) == refused_only)
                .collect();
            if let Some(at) = self.policy.choose(&demand, &group, now) {
                return Some(group[at].name.clone());
            }
        }
        None
    }
}
