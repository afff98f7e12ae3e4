//! Request placement: chooses an endpoint for each request, queues it or rejects it.
//!
//! [`Scheduler`] holds the queues, endpoints and running requests of its targets.
//! Its state is soft and can be rebuilt from the reports of the daemons.

mod accounting;
mod admission_control;
#[cfg(test)]
mod admission_control_tests;
mod arrival;
mod backoff;
#[cfg(test)]
mod backoff_tests;
mod cold_start;
#[cfg(test)]
mod cold_start_tests;
mod continuation;
#[cfg(test)]
mod continuation_tests;
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
mod load_view;
#[cfg(test)]
mod load_view_tests;
mod policy;
mod prefill;
#[cfg(test)]
mod prefill_tests;
mod queue;
mod queued_work;
mod release_forecast;
mod reserved_work;
mod return_queue;
#[cfg(test)]
mod return_tests;
mod returns;
mod scheduler;
mod sender_role;
mod service_curve;
mod service_rate;
mod speed_baseline;
mod target;
#[cfg(test)]
mod tests;
mod token_latency;
#[cfg(test)]
mod token_latency_tests;
#[cfg(test)]
mod ttft_tests;
mod wait_calibration;

use std::{sync::Arc, time::Duration};

use crate::{
    config::EndpointTarget, error::RequestError, quarantine::ContentDigest,
    software_version::VersionConstraint,
};

pub use self::{
    cold_start::{ColdPacer, cold_interval},
    endpoint::{EndpointState, Health, LoadReport},
    engine_choice::{Candidate, EngineLoad, SampledEndpoint, sort_by_cost},
    evacuation::Relocation,
    forecast::{HORIZONS, LengthDistribution, LengthForecast},
    load_view::{
        LoadSnapshot, Refusal, RejectionContext, RequestLoad, ServiceLoad, WINDOW_SECONDS,
    },
    policy::{
        Demand, FirstFit, ForecastPolicy, LeastOutstanding, Policy, PowerOfTwoChoices, RoundRobin,
    },
    prefill::prefill_time,
    scheduler::{Scheduler, SchedulerLimits},
    sender_role::SenderRole,
};
pub(crate) use self::{
    returns::{PromisedReturn, max_wait_of_due},
    sender_role::RateSplit,
};

/// Ranks per tier; request kinds are ordered within a tier.
pub const RANKS_PER_TIER: u64 = 100;

/// Returns the queue rank of a request: tier first, then the weight of its kind. Ageing outweighs
/// the difference between kinds, so no kind starves.
pub fn rank(tier_rank: u64, kind_weight: u64) -> u64 {
    tier_rank * RANKS_PER_TIER + RANKS_PER_TIER - kind_weight.min(RANKS_PER_TIER)
}

/// Ranks between two tiers of routes, so that the ten tiers of a platform with priorities 0 to 9 fit
/// into one tier of workspaces. Ageing outweighs one of them after a tenth of its time for a whole
/// tier, which is longer than the usual wait for an engine.
const RANKS_PER_ROUTE_TIER: u64 = 10;

/// Returns the queue rank of a request on a route that has a tier of its own: the tier of the
/// workspace decides first, the tier of the route within it.
pub fn rank_on_route(workspace_tier_rank: u64, route_tier_rank: u64) -> u64 {
    let within_tier = route_tier_rank.saturating_mul(RANKS_PER_ROUTE_TIER).min(RANKS_PER_TIER - 1);
    workspace_tier_rank * RANKS_PER_TIER + within_tier
}

/// Identifies a request at the scheduler, unique per incarnation of the entry daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// Link of the entry daemon that sent the request.
    pub entry: u64,
    /// Number assigned by that daemon.
    pub number: u64,
}

/// Hash of a prompt prefix; requests with equal hashes can share cached KV blocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct PrefixHash(pub u64);

/// The properties of a request that placement depends on.
#[derive(Debug, Clone)]
pub struct Request {
    /// Identifier of the request.
    pub ticket: Ticket,
    /// Workspace that the request belongs to.
    pub workspace: Arc<str>,
    /// Queue rank; lower ranks are served first. See [`rank`].
    pub rank: u64,
    /// Fair-share weight of the workspace within its tier.
    pub share: u64,
    /// Maximum number of concurrently running requests of the workspace.
    pub max_running: u64,
    /// Maximum number of queued requests of the workspace.
    pub max_waiting: u64,
    /// Request kind; output lengths are learned per workspace and kind.
    pub kind: Arc<str>,
    /// Requested model or service.
    pub target: EndpointTarget,
    /// Estimated prompt length in tokens; zero for services.
    pub prompt_tokens: u64,
    /// Hash of the prompt prefix.
    pub prefix: PrefixHash,
    /// Upper bound on the output length in tokens.
    pub max_tokens: u64,
    /// Maximum time in the queue.
    pub max_wait: Duration,
    /// Target time to first token, counted from the same instant as `max_wait`.
    pub ttft_target: Duration,
    /// Time left until the caller's deadline, counted from the same instant as `max_wait`.
    pub time_left: Duration,
    /// Longest pause between two events that the caller accepts; zero if any is acceptable.
    pub longest_gap: Duration,
    /// Identifies the request in all its tries, on every daemon.
    pub digest: Option<ContentDigest>,
    /// Endpoints that rejected or failed this request; used only if no other endpoint is admissible.
    pub avoid: Vec<Arc<str>>,
    /// Whether no other request may start on its endpoint at the same time, because endpoints
    /// have crashed while running it.
    pub isolated: bool,
    /// Software versions at which it may start.
    pub versions: VersionConstraint,
}

/// A scheduling decision.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Run the request on this endpoint.
    Start {
        /// The request.
        ticket: Ticket,
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// Scheduling priority on the engine; lower numbers are preempted last.
        priority: u64,
    },
    /// Return an error to the caller without running the request.
    GiveUp {
        /// The request.
        ticket: Ticket,
        /// Error for the caller.
        error: RequestError,
    },
}
