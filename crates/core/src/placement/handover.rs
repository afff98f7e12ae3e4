//! Hand-over of generations after prefill, from endpoints with a high prefill load to
//! endpoints with a lower one.
//!
//! Generations are handed over only right after their first token, when the KV cache is smallest
//! and the gain largest. Evacuations of leaving endpoints take precedence on every link.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use super::{
    Scheduler, Ticket,
    endpoint::{EndpointState, Health},
    evacuation::Relocation,
    speed_baseline::SpeedBaseline,
    target::even_sample,
};
use crate::{backoff::Admission, units::Instant};

/// Minimum decode delay in seconds that a hand-over must save, to outweigh the pause, the link
/// usage and the risk that the destination leaves. With 0.1 a quarter more generations are moved
/// and long responses take 0.1 s longer; with 0.8 a third are moved and they take 0.25 s longer.
pub(super) const HANDOVER_COST_SECONDS: f64 = 0.4;
/// Maximum wait for a free link.
const MAX_LINK_WAIT: Duration = Duration::from_millis(400);

/// A generation that has just been prefilled and may be handed over.
#[derive(Debug, Clone, Copy)]
struct HandoverCandidate {
    ticket: Ticket,
    until: Instant,
}

/// Candidates for a hand-over, oldest first.
#[derive(Debug, Default)]
pub(super) struct HandoverQueue {
    waiting: VecDeque<HandoverCandidate>,
}

impl HandoverQueue {
    /// Adds a generation that has produced its first token.
    pub(super) fn on_first_token(&mut self, ticket: Ticket, now: Instant) {
        self.waiting.push_back(HandoverCandidate { ticket, until: now.after(MAX_LINK_WAIT) });
    }

    pub(super) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }
}

impl Scheduler {
    /// Returns the hand-overs to start now.
    pub(super) fn plan_handovers(&mut self, now: Instant) -> Vec<Relocation> {
        let mut started = Vec::new();
        for _ in 0..self.handover.waiting.len() {
            let Some(candidate) = self.handover.waiting.pop_front() else { break };
            match self.handover_decision(candidate.ticket, now) {
                Decision::Stay => {}
                Decision::Wait if candidate.until <= now => {}
                Decision::Wait => self.handover.waiting.push_back(candidate),
                Decision::Move(to) => started.extend(self.start_move(candidate.ticket, &to, now)),
            }
        }
        started
    }

    /// Decides whether a generation should continue on another endpoint.
    fn handover_decision(&mut self, ticket: Ticket, now: Instant) -> Decision {
        let Some(placed) = self.placed.get(&ticket) else { return Decision::Stay };
        let Some(source) = self.endpoints.get(&placed.endpoint) else { return Decision::Stay };
        if source.health == Health::Leaving
            || !source.spec.supports_relocation
            || placed.req.isolated
        {
            return Decision::Stay;
        }
        let demand = self.remaining_demand(placed);
        let versions = self.versions_of_running(placed);
        let Some(target) = self.targets.get(&placed.req.target) else { return Decision::Stay };
        let is_eligible = |state: &&EndpointState| {
            state.spec.hall == source.spec.hall
                && state.name != source.name
                && self.admission(state, ticket.entry, &versions, now) == Some(Admission::Allowed)
        };
        let all = target.endpoints.iter().filter_map(|name| self.endpoints.get(name));
        let near: Vec<&EndpointState> = all.filter(is_eligible).collect();
        let near: Vec<&EndpointState> = even_sample(&near, self.sample_offset).copied().collect();
        let baseline = SpeedBaseline::of(&near, now);
        let source_token_seconds = baseline.expected_token_seconds(source, now);
        let gain = |state: &EndpointState| {
            demand.output * (source_token_seconds - baseline.expected_token_seconds(state, now))
        };
        let gaining: Vec<&EndpointState> =
            near.iter().copied().filter(|state| HANDOVER_COST_SECONDS < gain(state)).collect();
        if gaining.is_empty() {
            return Decision::Stay;
        }
        if self.moves.is_busy(&source.name) {
            return Decision::Wait;
        }
        let free: Vec<&EndpointState> =
            gaining.iter().copied().filter(|state| !self.moves.is_busy(&state.name)).collect();
        match self.policy.choose(&demand, &free, now) {
            Some(at) => Decision::Move(free[at].name.clone()),
            None => Decision::Wait,
        }
    }
}

/// Decision on a hand-over candidate.
enum Decision {
    /// Continue on the current endpoint.
    Stay,
    /// Retry when the links are free.
    Wait,
    /// Continue on this endpoint.
    Move(Arc<str>),
}
