//! Placement by forecast of memory and by what a request holds up.
//!
//! Weighing the reading of prompts took the time between events of long answers from 36.3 to 34.9 ms
//! and the streams lost a day from 58.5 to 56.1 (48 paired days of 18 engines, a sixth of whose time
//! went to reading). With 122 engines, a third of whose time goes to reading, first events at p99 went
//! from 1.9 and 2.3 s to 1.1 and 1.0 s by the exact account of unread prompts, and chats as a whole from
//! 5.57 to 5.20 s by what follows from it (`trayswitch-lab fleet --leaving`, 8 seeds).

use std::time::Duration;

use super::{Demand, Policy, argmin, has_slot};
use crate::{
    mechanism::{Disabled, Mechanism},
    placement::{
        endpoint::EndpointState, forecast::HORIZONS, handover::HANDOVER_COST_SECONDS,
        speed_baseline::SpeedBaseline,
    },
    units::Instant,
};

/// Cost of a memory that is forecast to be full, in seconds by which a generation is held up. More
/// spreads long answers to engines that read (0.67: 0.05 s a chat, 2: 0.3 s).
const MEMORY_COST_SECONDS: f64 = 0.3;

/// A second until the first token counts for so many: a prompt also holds up those that come to its
/// queue after it. With 1 the median of the first event is 0.8 s in place of 0.5, with 5 chats take as
/// long as with 2.5.
const TTFT_WEIGHT: f64 = 2.5;

/// Cost of a first token that comes too late, in seconds by which a generation is held up: more than
/// any wait, so that it is avoided wherever that is possible.
const LATE_TTFT_COST_SECONDS: f64 = 10.0;

/// Part by which equal endpoints' paces differ: by how many run there, by progress that is told
/// in steps, and by prompts that are longer than reckoned. Without it, work is steered about by
/// noise (worth -0.003 in 48 paired days, within their interval).
const TOKEN_LATENCY_TOLERANCE: f64 = 0.5;

/// Admits while the forecast of memory stays under capacity with a margin, and
/// takes the endpoint where the least time is lost, by the request and by what runs there.
#[derive(Debug, Clone)]
pub struct ForecastPolicy {
    /// Standard deviations of forecast memory kept free.
    pub margin: f64,
    /// Value of a cached prefix, in parts of the prompt's memory.
    pub prefix_value: f64,
    /// Weight of the number of requests against that of memory.
    pub load_value: f64,
    /// Mechanisms that are switched off.
    pub disabled: Disabled,
}

/// What the endpoints to choose from have in common.
struct Baseline {
    speeds: SpeedBaseline,
    /// Seconds that a token takes where it takes least.
    min_token_seconds: f64,
}

impl Default for ForecastPolicy {
    fn default() -> ForecastPolicy {
        ForecastPolicy {
            margin: 2.5,
            prefix_value: 2.0,
            load_value: 0.3,
            disabled: Disabled::default(),
        }
    }
}

impl ForecastPolicy {
    /// The policy without these mechanisms.
    pub fn without(disabled: Disabled) -> ForecastPolicy {
        ForecastPolicy { disabled, ..ForecastPolicy::default() }
    }

    /// The fullest that the endpoint is forecast to be, in parts of its memory.
    fn memory_fraction(&self, demand: &Demand, endpoint: &EndpointState) -> f64 {
        let total = &endpoint.total;
        let margin = self.if_enabled(Mechanism::ForecastMargin, self.margin);
        let mut max_used = total.used + demand.memory.used;
        for i in 0..HORIZONS.len() {
            let mean = total.mean[i] + demand.memory.mean[i];
            let variance = (total.variance[i] + demand.memory.variance[i]).max(0.0);
            max_used = max_used.max(mean + margin * variance.sqrt());
        }
        max_used / endpoint.spec.kv_tokens as f64
    }

    /// Whether a request may be sent there: it has room, and the first token would come in time.
    pub(super) fn fits(&self, demand: &Demand, endpoint: &EndpointState, now: Instant) -> bool {
        let memory_fits =
            endpoint.spec.kv_tokens == 0 || self.memory_fraction(demand, endpoint) <= 1.0;
        // An empty endpoint takes even what the forecast finds too large.
        let has_room = has_slot(endpoint) && (memory_fits || endpoint.running == 0);
        has_room && meets_ttft_target(demand, endpoint, now)
    }

    /// Seconds lost at this endpoint.
    fn cost(
        &self,
        demand: &Demand,
        endpoint: &EndpointState,
        baseline: &Baseline,
        now: Instant,
    ) -> f64 {
        let load = endpoint.load() as f64 / endpoint.spec.slots as f64;
        if endpoint.spec.kv_tokens == 0 {
            return load;
        }
        let kv = endpoint.spec.kv_tokens as f64;
        let cached = endpoint.has_prefix(demand.prefix, now);
        let saved = if cached { demand.prompt_tokens as f64 / kv } else { 0.0 };
        let load_cost = self.memory_fraction(demand, endpoint) + self.load_value * load
            - self.if_enabled(Mechanism::PrefixAffinity, self.prefix_value * saved);
        let own = MEMORY_COST_SECONDS * load_cost
            + self.ttft_cost(demand, endpoint, now)
            + self.decode_cost(demand, endpoint, baseline, now);
        let stall = endpoint.prefill.stall_time(demand.prompt_tokens).as_secs_f64();
        if !self.disabled.allows(Mechanism::WorthWeights) {
            let others = endpoint.running as f64 * stall;
            return own + self.if_enabled(Mechanism::ReadingHarm, others);
        }
        let others = endpoint.total.value * stall;
        demand.memory.value * own + self.if_enabled(Mechanism::ReadingHarm, others)
    }

    /// Seconds lost before the first token.
    fn ttft_cost(&self, demand: &Demand, endpoint: &EndpointState, now: Instant) -> f64 {
        let first = expected_ttft(demand, endpoint, now).as_secs_f64();
        let target = demand.ttft_target.as_secs_f64();
        let late = LATE_TTFT_COST_SECONDS * (2.0 * first / target - 1.0).clamp(0.0, 1.0).powi(2);
        self.if_enabled(Mechanism::ReadingWait, TTFT_WEIGHT * first)
            + self.if_enabled(Mechanism::LateFirstToken, late)
    }

    /// Seconds lost between the tokens.
    fn decode_cost(
        &self,
        demand: &Demand,
        endpoint: &EndpointState,
        baseline: &Baseline,
        now: Instant,
    ) -> f64 {
        let token_seconds = baseline.speeds.expected_token_seconds(endpoint, now);
        let slow_decode = demand.output * (token_seconds - baseline.min_token_seconds).max(0.0);
        let can_move = endpoint.spec.moves && self.disabled.allows(Mechanism::Handover);
        let decode_delay = if can_move && 0 < demand.prompt_tokens {
            slow_decode.min(HANDOVER_COST_SECONDS)
        } else {
            slow_decode
        };
        // What neither the prompts that it reads nor its own speed explain.
        let explained = baseline.speeds.slowness(endpoint, now) - 1.0;
        let slowdown = endpoint.token_latency.slowdown(baseline.speeds.token_seconds, now);
        let unexplained = (slowdown - explained - TOKEN_LATENCY_TOLERANCE).max(0.0);
        let slow = demand.output * baseline.min_token_seconds * unexplained;
        self.if_enabled(Mechanism::ReadingAvoidance, decode_delay)
            + self.if_enabled(Mechanism::Pace, slow)
    }

    /// A part of the cost, unless its mechanism is switched off.
    fn if_enabled(&self, mechanism: Mechanism, cost: f64) -> f64 {
        if self.disabled.allows(mechanism) { cost } else { 0.0 }
    }
}

impl Policy for ForecastPolicy {
    fn name(&self) -> &'static str {
        "forecast"
    }

    fn choose(
        &mut self,
        demand: &Demand,
        endpoints: &[&EndpointState],
        now: Instant,
    ) -> Option<usize> {
        let speeds = SpeedBaseline::of(endpoints, now);
        let token_seconds =
            endpoints.iter().map(|endpoint| speeds.expected_token_seconds(endpoint, now));
        let min_token_seconds = token_seconds.min_by(f64::total_cmp).unwrap_or_default();
        let baseline = Baseline { speeds, min_token_seconds };
        let fits = |endpoint: &EndpointState| self.fits(demand, endpoint, now);
        argmin(endpoints, fits, |endpoint| self.cost(demand, endpoint, &baseline, now))
    }
}

/// Whether the first token would come in time, or late wherever it is sent.
fn meets_ttft_target(demand: &Demand, endpoint: &EndpointState, now: Instant) -> bool {
    let target = demand.ttft_target;
    let always_late = target < endpoint.prefill.time_for(demand.prompt_tokens);
    demand.prompt_tokens == 0 || always_late || expected_ttft(demand, endpoint, now) <= target
}

/// Time until the first token of a request that is sent there now (measured: 90% come within 1.3 times
/// this, also where engines read all the time).
fn expected_ttft(demand: &Demand, endpoint: &EndpointState, now: Instant) -> Duration {
    endpoint.prefill.remaining_time(now) + endpoint.prefill.time_for(demand.prompt_tokens)
}
