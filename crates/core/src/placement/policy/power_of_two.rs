//! The better of two endpoints drawn at random.

use super::{Demand, ForecastPolicy, Policy};
use crate::{
    mechanism::{Disabled, Mechanism},
    placement::endpoint::EndpointState,
    units::Instant,
};

/// Draws two of the endpoints that have room and lets another policy choose between them. Many
/// daemons with equal knowledge then choose apart from each other.
#[derive(Debug)]
pub struct PowerOfTwoChoices {
    inner: ForecastPolicy,
    rng: fastrand::Rng,
}

impl PowerOfTwoChoices {
    /// The policy without these mechanisms; the seed must be another on each daemon.
    pub fn without(disabled: Disabled, seed: u64) -> PowerOfTwoChoices {
        // Slow endpoints are drawn less often; left to the choice, the others would get nearly all.
        let by_capacity = disabled.with(Mechanism::ReadingAvoidance).with(Mechanism::Pace);
        PowerOfTwoChoices {
            inner: ForecastPolicy::without(by_capacity),
            rng: fastrand::Rng::with_seed(seed),
        }
    }
}

impl Policy for PowerOfTwoChoices {
    fn name(&self) -> &'static str {
        "two-drawn"
    }

    fn choose(
        &mut self,
        demand: &Demand,
        endpoints: &[&EndpointState],
        now: Instant,
    ) -> Option<usize> {
        let has_room = |at: &usize| self.inner.fits(demand, endpoints[*at], now);
        let mut open: Vec<usize> = (0..endpoints.len()).filter(has_room).collect();
        let mut drawn = Vec::new();
        while drawn.len() < 2 && !open.is_empty() {
            let at = self.rng.usize(..open.len());
            // A slow endpoint reads fewer prompts in the same time.
            let is_last = open.len() == 1;
            if is_last || self.rng.f64() * endpoints[open[at]].reported_slowness(now) < 1.0 {
                drawn.push(open.swap_remove(at));
            }
        }
        let choices: Vec<&EndpointState> = drawn.iter().map(|at| endpoints[*at]).collect();
        self.inner.choose(demand, &choices, now).map(|at| drawn[at])
    }
}
