//! Policies that select an endpoint for the request at the head of the queue.

mod baselines;
mod forecast;
mod power_of_two;

use std::time::Duration;

pub use self::{
    baselines::{FirstFit, LeastOutstanding, RoundRobin},
    forecast::ForecastPolicy,
    power_of_two::PowerOfTwoChoices,
};
use super::{
    PrefixHash, Request,
    endpoint::{EndpointState, MemoryDemand},
    forecast::{LengthDistribution, generation_value},
};
use crate::units::Instant;

/// Resources that a request needs on its endpoint.
#[derive(Debug, Clone)]
pub struct Demand {
    /// Forecast KV cache use.
    pub(crate) memory: MemoryDemand,
    /// Prompt tokens to prefill; zero if the KV cache is copied from another endpoint.
    pub(crate) prompt_tokens: u64,
    /// Hash of the prompt prefix.
    pub(crate) prefix: PrefixHash,
    /// Expected number of output tokens.
    pub(crate) output: f64,
    /// Time left until the first token is due.
    pub(crate) ttft_target: Duration,
}

impl Demand {
    /// Demand of a request that has not started.
    pub(crate) fn new(req: &Request, distribution: &LengthDistribution) -> Demand {
        let output = distribution.expected_remaining(0, req.max_tokens);
        let mut memory = MemoryDemand::forecast(distribution, req.prompt_tokens, 0, req.max_tokens);
        memory.value = generation_value(req.prompt_tokens, output);
        Demand {
            memory,
            prompt_tokens: req.prompt_tokens,
            prefix: req.prefix,
            output,
            ttft_target: req.ttft_target,
        }
    }
}

/// Selects the endpoint of a request.
pub trait Policy: Send {
    /// Name used in reports.
    fn name(&self) -> &'static str;

    /// Returns the index of the selected endpoint, or `None` to keep the request queued.
    fn choose(
        &mut self,
        demand: &Demand,
        endpoints: &[&EndpointState],
        now: Instant,
    ) -> Option<usize>;
}

fn has_slot(endpoint: &EndpointState) -> bool {
    endpoint.load() < endpoint.spec.slots
}

/// Index of the endpoint with the lowest key among those that pass the filter.
fn argmin(
    endpoints: &[&EndpointState],
    fits: impl Fn(&EndpointState) -> bool,
    key: impl Fn(&EndpointState) -> f64,
) -> Option<usize> {
    let fitting = endpoints.iter().enumerate().filter(|(_, endpoint)| fits(endpoint));
    fitting.min_by(|a, b| key(a.1).total_cmp(&key(b.1))).map(|(i, _)| i)
}
