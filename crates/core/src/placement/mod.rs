//! Placement: which request runs where, and which one waits or is given up.
//!
//! [`Scheduler`] keeps the queue, the endpoints and the running streams of its
//! targets. It is soft state: it can be rebuilt from what daemons report.

mod accounting;
mod backoff;
#[cfg(test)]
mod backoff_tests;
mod cold_start;
#[cfg(test)]
mod cold_start_tests;
mod endpoint;
mod endpoint_updates;
mod engine_choice;
#[cfg(test)]
mod engine_choice_tests;
mod evacuation;
#[cfg(test)]
mod evacuation_tests;
mod expiry;
#[cfg(test)]
mod fixture;
mod forecast;
#[cfg(test)]
mod hall_tests;
mod handover;
#[cfg(test)]
mod handover_tests;
mod isolation;
#[cfg(test)]
mod isolation_tests;
mod policy;
mod prefill;
#[cfg(test)]
mod prefill_tests;
mod queue;
mod scheduler;
mod sender_role;
mod speed_baseline;
mod target;
#[cfg(test)]
mod tests;
mod token_latency;
#[cfg(test)]
mod token_latency_tests;
#[cfg(test)]
mod ttft_tests;

use std::{sync::Arc, time::Duration};

use crate::{config::EndpointTarget, error::RequestError};

pub(crate) use self::sender_role::RateSplit;
pub use self::{
    cold_start::{ColdPacer, cold_interval},
    endpoint::{EndpointState, Health, LoadReport},
    engine_choice::{Candidate, EngineLoad, SampledEndpoint, sort_by_cost},
    evacuation::Relocation,
    forecast::{HORIZONS, LengthDistribution, LengthForecast},
    policy::{
        Demand, FirstFit, ForecastPolicy, LeastOutstanding, Policy, PowerOfTwoChoices, RoundRobin,
    },
    prefill::prefill_time,
    scheduler::{Scheduler, SchedulerLimits},
    sender_role::SenderRole,
};

/// Ranks that one tier takes up; kinds of request are told apart within them.
pub const RANKS_PER_TIER: u64 = 100;

/// The rank of a request: first by its tier, then by the weight of its kind, so that within a
/// tier a long summary yields to chats. The difference between kinds is small against the
/// ageing of waiting requests, and no kind starves.
pub fn rank(tier_rank: u64, kind_weight: u64) -> u64 {
    tier_rank * RANKS_PER_TIER + RANKS_PER_TIER - kind_weight.min(RANKS_PER_TIER)
}

/// Names one request at the scheduler; unique per entry daemon incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// The daemon (its link) that asks.
    pub entry: u64,
    /// Number given by that daemon.
    pub number: u64,
}

/// Hash of the start of a prompt; equal prefixes may share cached memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct PrefixHash(pub u64);

/// What the scheduler needs to know of one request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its name.
    pub ticket: Ticket,
    /// Who asks.
    pub workspace: Arc<str>,
    /// Place in the order of service; a lower rank is served first. See [`rank`].
    pub rank: u64,
    /// Fair share of the workspace within its tier.
    pub share: u64,
    /// Most requests of the workspace that run at once.
    pub max_running: u64,
    /// Most requests of the workspace that wait at once.
    pub max_waiting: u64,
    /// Kind of request; lengths are learned by kind and workspace.
    pub kind: Arc<str>,
    /// The model or service asked for.
    pub target: EndpointTarget,
    /// Length of the prompt in tokens, estimated; zero for services.
    pub prompt_tokens: u64,
    /// Hash of the prompt's start.
    pub prefix: PrefixHash,
    /// Most tokens that the answer may have.
    pub max_tokens: u64,
    /// Longest time in the queue.
    pub max_wait: Duration,
    /// Time within which its first token should come, counted as `max_wait` is.
    pub ttft_target: Duration,
    /// Endpoints that it should not be sent to again: they have rejected it, or failed.
    pub avoid: Vec<Arc<str>>,
    /// Whether it runs apart from others, since endpoints have ended under it.
    pub isolated: bool,
}

/// A decision of the scheduler.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Run the request at this endpoint.
    Start {
        /// The request.
        ticket: Ticket,
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// Priority for the engine; a lower number yields last.
        priority: u64,
    },
    /// Tell the caller at once that the request is not run.
    GiveUp {
        /// The request.
        ticket: Ticket,
        /// The answer.
        error: RequestError,
    },
}
