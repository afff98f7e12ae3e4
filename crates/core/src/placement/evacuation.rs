//! Moves running generations away from endpoints that are leaving.
//!
//! One planner serves all daemons. Copies from one endpoint queue up on its link, so it moves
//! one generation at a time, the dearest first, and each endpoint takes one at a time. A
//! generation leaves its endpoint only after its copy has arrived; that is the daemon's part.

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

/// A move that was not answered for this long is given up: a copy takes up to half a second,
/// and an endpoint that leaves is gone two seconds after it said so.
const MOVE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A generation is not asked to move more often than this.
const MAX_MOVE_FAILURES: u32 = 20;
/// A generation that failed to move is left alone for this long.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// How often the planner looks again while anything waits to be moved.
const PLANNING_INTERVAL: Duration = Duration::from_millis(20);
/// One with no more tokens than this to come ends before its copy would arrive.
const MIN_REMAINING_TOKENS: u64 = 32;
/// Tokens that a generation makes while its endpoint still serves after a notice: 1.5 s, the
/// shortest notice seen, at 9 ms a token. What ends within them needs no move.
const NOTICE_TOKENS: u64 = 150;
/// What a move costs beside its copy, in tokens copied: connections and the restart take 30 ms,
/// in which a link of 19 Gbit/s copies 500 tokens.
const MOVE_OVERHEAD_TOKENS: u64 = 500;

/// A running generation that is to go on elsewhere.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relocation {
    /// The generation.
    pub ticket: Ticket,
    /// Where it runs.
    pub from: Arc<str>,
    /// Where it is to go on.
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
    /// Endpoints that took no copy of it: those with room by the forecast that refuse once
    /// refuse again (measured: ten times in a row, until the generation was lost).
    refused_by: Vec<Arc<str>>,
}

/// Moves on their way and moves that failed.
#[derive(Debug, Default)]
pub(super) struct MoveTracker {
    /// The endpoints that leave: few of many, and looked at after every input.
    pub(super) leaving: BTreeSet<Arc<str>>,
    active: HashMap<Ticket, ActiveMove>,
    failures: HashMap<Ticket, FailedMoves>,
    next_plan: Instant,
}

impl MoveTracker {
    /// Forgets a generation that has ended.
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
    /// The moves to begin now.
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

    /// When [`Scheduler::plan_relocations`] must be called again even without other input.
    pub(super) fn next_plan_at(&self) -> Option<Instant> {
        let waiting = self.draining_endpoints().next().is_some() || self.handover.has_waiting();
        waiting.then_some(self.moves.next_plan)
    }

    /// Endpoints that leave and still run what can be moved.
    fn draining_endpoints(&self) -> impl Iterator<Item = &EndpointState> {
        let moves = self.limits.disabled.allows(Mechanism::Evacuation);
        let leaving = self.moves.leaving.iter().filter_map(|name| self.endpoints.get(name));
        // One that has come back under its name at another address no longer leaves.
        leaving.filter(move |state| {
            moves && state.health == Health::Leaving && state.spec.moves && 0 < state.running
        })
    }

    /// Notes where a generation runs after a move, which may have failed.
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

    /// Begins the move of one generation away from an endpoint.
    fn start_next_move(&mut self, source: &Arc<str>, now: Instant) -> Option<Relocation> {
        let ticket = self.most_valuable_at(source, now)?;
        let to = self.choose_destination(ticket, source, now)?;
        self.start_move(ticket, &to, now)
    }

    /// Begins a move.
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
        self.throttle.sent(to, now);
        let deadline = now.after(MOVE_TIMEOUT);
        self.moves
            .active
            .insert(ticket, ActiveMove { from: from.clone(), to: to.clone(), deadline });
        Some(Relocation { ticket, from, to: to.clone() })
    }

    /// The generation at an endpoint whose move saves most for the time that it takes.
    fn most_valuable_at(&self, source: &Arc<str>, now: Instant) -> Option<Ticket> {
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

    /// What moving a generation is expected to save, for each token copied: its worth when it
    /// ends, unless it ends by itself before its endpoint does.
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

    /// Where a generation can go on. A copy to another data hall takes twice as long, so an
    /// endpoint nearby is taken if it has room.
    fn choose_destination(
        &mut self,
        ticket: Ticket,
        source: &Arc<str>,
        now: Instant,
    ) -> Option<Arc<str>> {
        let placed = self.placed.get(&ticket)?;
        let (req, demand) = (&placed.req, self.remaining_demand(placed));
        let hall = self.endpoints.get(source).map(|state| &state.spec.hall);
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
                    && self.admission(state, ticket.entry, now) == Some(Admission::Open)
                    && !self.moves.is_busy(&state.name)
            })
            .collect();
        // Equal endpoints are told apart by name, so that a run can be repeated.
        open.sort_by(|a, b| a.name.cmp(&b.name));
        let is_near = |state: &EndpointState| {
            !disabled.allows(Mechanism::NearDestinations) || Some(&state.spec.hall) == hall
        };
        // One that refused a copy of it is asked again only if no other has room.
        for (by_near, by_refused) in [(true, false), (false, false), (true, true), (false, true)] {
            let group: Vec<&EndpointState> = open
                .iter()
                .copied()
                .filter(|state| is_near(state) || !by_near)
                .filter(|state| refused(&state.name) == by_refused)
                .collect();
            if let Some(at) = self.policy.choose(&demand, &group, now) {
                return Some(group[at].name.clone());
            }
        }
        None
    }
}
