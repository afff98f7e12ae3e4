//! Power of two choices: the better of two randomly sampled endpoints.

use super::{Demand, ForecastPolicy, Policy};
use crate::{
    mechanism::{Disabled, Mechanism},
    placement::endpoint::EndpointState,
    units::Instant,
};

/// Samples two endpoints with capacity and lets [`ForecastPolicy`] choose between them. Keeps many
/// daemons with equal information from selecting the same endpoint.
#[derive(Debug)]
pub struct PowerOfTwoChoices {
    inner: ForecastPolicy,
    rng: fastrand::Rng,
}

impl PowerOfTwoChoices {
    /// Creates the policy without the disabled mechanisms. The seed must differ between daemons.
    pub fn without(disabled: Disabled, seed: u64) -> PowerOfTwoChoices {
        // Slowness is handled by sampling; in the choice it would shift nearly all load to fast endpoints.
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
        let mut sampled = Vec::new();
        while sampled.len() < 2 && !open.is_empty() {
            let at = self.rng.usize(..open.len());
            // Sample slow endpoints with lower probability, in proportion to their speed.
            let is_last = open.len() == 1;
            if is_last || self.rng.f64() * endpoints[open[at]].reported_slowness(now) < 1.0 {
                sampled.push(open.swap_remove(at));
            }
        }
        let choices: Vec<&EndpointState> = sampled.iter().map(|at| endpoints[*at]).collect();
        self.inner.choose(demand, &choices, now).map(|at| sampled[at])
    }
}
