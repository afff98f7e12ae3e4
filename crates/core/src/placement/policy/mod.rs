//! Policies that choose an endpoint for the request at the head of the queue.

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

/// What a request needs of the endpoint that is to run it.
#[derive(Debug, Clone)]
pub struct Demand {
    /// Forecast of its memory.
    pub(crate) memory: MemoryDemand,
    /// Prompt tokens that must be read there; none where the memory is moved.
    pub(crate) prompt_tokens: u64,
    /// Start of the prompt.
    pub(crate) prefix: PrefixHash,
    /// Tokens that it is expected to make.
    pub(crate) output: f64,
    /// Time within which its first token should come.
    pub(crate) ttft_target: Duration,
}

impl Demand {
    /// The work of a request that begins.
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

/// Chooses where a request runs.
pub trait Policy: Send {
    /// Name in reports.
    fn name(&self) -> &'static str;

    /// Index of the chosen endpoint, or `None` to let the request wait.
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

/// Index of the least key among endpoints that pass the filter.
fn argmin(
    endpoints: &[&EndpointState],
    fits: impl Fn(&EndpointState) -> bool,
    key: impl Fn(&EndpointState) -> f64,
) -> Option<usize> {
    let fitting = endpoints.iter().enumerate().filter(|(_, endpoint)| fits(endpoint));
    fitting.min_by(|a, b| key(a.1).total_cmp(&key(b.1))).map(|(i, _)| i)
}
