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
    scheduler::Placed,
};
use crate::{backoff::Admission, mechanism::Mechanism, units::Instant};

/// A move that was not answered for this long is given up: a copy takes up to half a second,
/// and an endpoint that leaves is gone two seconds after it said so.
const LONGEST_MOVE: Duration = Duration::from_millis(1_500);
/// A generation is not asked to move more often than this.
const MAX_TRIES: u32 = 20;
/// A generation that failed to move is left alone for this long.
const PAUSE: Duration = Duration::from_millis(60);
/// How often the planner looks again while anything waits to be moved.
const LOOK: Duration = Duration::from_millis(20);
/// One with no more tokens than this to come ends before its copy would arrive.
const FEW_TOKENS: u64 = 32;
/// Tokens that a generation makes while its endpoint still serves after a notice: 1.5 s, the
/// shortest notice seen, at 9 ms a token. What ends within them needs no move.
const TOKENS_OF_NOTICE: u64 = 150;
/// What a move costs beside its copy, in tokens copied: connections and the restart take 30 ms,
/// in which a link of 19 Gbit/s copies 500 tokens.
const TOKENS_OF_OVERHEAD: u64 = 500;

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
struct Move {
    from: Arc<str>,
    to: Arc<str>,
    until: Instant,
}

#[derive(Debug, Clone, Default)]
struct Tries {
    count: u32,
    not_before: Instant,
    /// Endpoints that took no copy of it: those with room by the forecast that refuse once
    /// refuse again (measured: ten times in a row, until the generation was lost).
    refused_by: Vec<Arc<str>>,
}

/// Moves on their way and moves that failed.
#[derive(Debug, Default)]
pub(super) struct Evacuation {
    /// The endpoints that leave: few of many, and looked at after every input.
    pub(super) leaving: BTreeSet<Arc<str>>,
    moves: HashMap<Ticket, Move>,
    tries: HashMap<Ticket, Tries>,
    next_look: Instant,
}

impl Evacuation {
    /// Forgets a generation that has ended.
    pub(super) fn forget(&mut self, ticket: Ticket) {
        self.moves.remove(&ticket);
        self.tries.remove(&ticket);
    }

    pub(super) fn is_busy(&self, endpoint: &Arc<str>) -> bool {
        self.moves.values().any(|m| m.from == *endpoint || m.to == *endpoint)
    }

    fn may_move(&self, ticket: &Ticket, now: Instant) -> bool {
        let rested = |tries: &Tries| tries.count < MAX_TRIES && tries.not_before <= now;
        !self.moves.contains_key(ticket) && self.tries.get(ticket).is_none_or(rested)
    }
}

impl Scheduler {
    /// The moves to begin now.
    pub fn plan_relocations(&mut self, now: Instant) -> Vec<Relocation> {
        self.evacuation.next_look = now.after(LOOK);
        self.give_up_moves(now);
        let sources: Vec<Arc<str>> = self
            .must_empty()
            .filter(|state| !self.evacuation.is_busy(&state.name))
            .map(|state| state.name.clone())
            .collect();
        let mut moves: Vec<Relocation> =
            sources.iter().filter_map(|source| self.move_next(source, now)).collect();
        moves.extend(self.hand_over(now));
        moves
    }

    /// When [`Scheduler::plan_relocations`] must be called again even without other input.
    pub(super) fn next_evacuation(&self) -> Option<Instant> {
        let waiting = self.must_empty().next().is_some() || self.handover.is_waiting();
        waiting.then_some(self.evacuation.next_look)
    }

    /// Endpoints that leave and still run what can be moved.
    fn must_empty(&self) -> impl Iterator<Item = &EndpointState> {
        let moves = self.limits.disabled.allows(Mechanism::Evacuation);
        let leaving = self.evacuation.leaving.iter().filter_map(|name| self.endpoints.get(name));
        // One that has come back under its name at another address no longer leaves.
        leaving.filter(move |state| {
            moves && state.health == Health::Leaving && state.spec.moves && 0 < state.running
        })
    }

    /// Notes where a generation runs after a move, which may have failed.
    pub fn on_relocated(&mut self, ticket: Ticket, at: &str, done: bool, now: Instant) {
        let at: Arc<str> = at.into();
        let ended = self.evacuation.moves.remove(&ticket);
        if !self.placed.contains_key(&ticket) {
            return;
        }
        self.relocate(ticket, &at, now);
        if done {
            self.evacuation.tries.remove(&ticket);
            return;
        }
        let tries = self.evacuation.tries.entry(ticket).or_default();
        tries.count += 1;
        tries.not_before = now.after(PAUSE);
        tries.refused_by.extend(ended.map(|ended| ended.to));
    }

    fn give_up_moves(&mut self, now: Instant) {
        let overdue: Vec<Ticket> = self
            .evacuation
            .moves
            .iter()
            .filter(|(_, m)| m.until <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in overdue {
            if let Some(Move { from, .. }) = self.evacuation.moves.remove(&ticket) {
                self.relocate(ticket, &from, now);
                self.evacuation.tries.entry(ticket).or_default().count += 1;
            }
        }
    }

    /// Begins the move of one generation away from an endpoint.
    fn move_next(&mut self, source: &Arc<str>, now: Instant) -> Option<Relocation> {
        let ticket = self.dearest_at(source, now)?;
        let to = self.choose_destination(ticket, source, now)?;
        self.begin_move(ticket, &to, now)
    }

    /// Begins a move.
    pub(super) fn begin_move(
        &mut self,
        ticket: Ticket,
        to: &Arc<str>,
        now: Instant,
    ) -> Option<Relocation> {
        let from = self.placed.get(&ticket)?.endpoint.clone();
        self.relocate(ticket, to, now);
        if let Some(state) = self.endpoints.get_mut(to) {
            state.on_sent(self.senders, now);
        }
        self.throttle.sent(to, now);
        let until = now.after(LONGEST_MOVE);
        self.evacuation.moves.insert(ticket, Move { from: from.clone(), to: to.clone(), until });
        Some(Relocation { ticket, from, to: to.clone() })
    }

    /// The generation at an endpoint whose move saves most for the time that it takes.
    fn dearest_at(&self, source: &Arc<str>, now: Instant) -> Option<Ticket> {
        let goes_on = |placed: &Placed| placed.tokens + FEW_TOKENS < placed.req.max_tokens;
        self.placed
            .iter()
            .filter(|(ticket, placed)| {
                placed.endpoint == *source
                    && !placed.req.isolated
                    && goes_on(placed)
                    && self.evacuation.may_move(ticket, now)
            })
            .map(|(ticket, placed)| (self.gain_of_move(placed), *ticket))
            .max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
            .map(|(_, ticket)| ticket)
    }

    /// What moving a generation is expected to save, for each token copied: its worth when it
    /// ends, unless it ends by itself before its endpoint does.
    fn gain_of_move(&self, placed: &Placed) -> f64 {
        if !self.limits.disabled.allows(Mechanism::MoveOrder) {
            return 0.0;
        }
        let req = &placed.req;
        let distribution = self.forecast.distribution(&req.workspace, &req.kind);
        let left = distribution.expected_remaining(placed.tokens, req.max_tokens);
        let value = generation_value(req.prompt_tokens, placed.tokens as f64 + left);
        let outlives = distribution.probability_beyond(placed.tokens, TOKENS_OF_NOTICE);
        let copied = req.prompt_tokens + placed.tokens + TOKENS_OF_OVERHEAD;
        value * outlives / copied as f64
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
        let (req, demand) = (&placed.req, self.rest_of(placed));
        let hall = self.endpoints.get(source).map(|state| &state.spec.hall);
        let tries = self.evacuation.tries.get(&ticket);
        let disabled = self.limits.disabled;
        let refused = |name| {
            disabled.allows(Mechanism::RefusedDestinations)
                && tries.is_some_and(|tries| tries.refused_by.contains(name))
        };
        let mut open: Vec<&EndpointState> = self
            .endpoints
            .values()
            .filter(|state| {
                state.spec.target == req.target
                    && self.admission(state, ticket.entry, now) == Some(Admission::Open)
                    && !self.evacuation.is_busy(&state.name)
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
