//! Simple policies that serve as baselines in comparisons.

use super::{Demand, Policy, argmin, has_slot};
use crate::{placement::endpoint::EndpointState, units::Instant};

/// Takes the next endpoint in turn that has a free slot.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Policy for RoundRobin {
    fn name(&self) -> &'static str {
        "round-robin"
    }

    fn choose(&mut self, _: &Demand, endpoints: &[&EndpointState], _: Instant) -> Option<usize> {
        let n = endpoints.len();
        let chosen = (0..n).map(|i| (self.next + i) % n).find(|i| has_slot(endpoints[*i]))?;
        self.next = chosen + 1;
        Some(chosen)
    }
}

/// Takes the endpoint with the fewest requests.
#[derive(Debug, Default)]
pub struct LeastOutstanding;

impl Policy for LeastOutstanding {
    fn name(&self) -> &'static str {
        "least-outstanding"
    }

    fn choose(&mut self, _: &Demand, endpoints: &[&EndpointState], _: Instant) -> Option<usize> {
        argmin(endpoints, has_slot, |endpoint| endpoint.load() as f64)
    }
}

/// Takes the first endpoint whose free KV cache holds the prompt, without a forecast.
#[derive(Debug, Default)]
pub struct FirstFit;

impl Policy for FirstFit {
    fn name(&self) -> &'static str {
        "first-fit"
    }

    fn choose(
        &mut self,
        demand: &Demand,
        endpoints: &[&EndpointState],
        _: Instant,
    ) -> Option<usize> {
        endpoints.iter().position(|endpoint| {
            let room = endpoint.spec.kv_tokens as f64 - endpoint.kv_used();
            has_slot(endpoint) && demand.memory.used <= room
        })
    }
}
