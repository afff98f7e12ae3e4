//! Placement by forecast KV cache use and by the delay that a request causes and incurs.

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

/// Cost of a KV cache that is forecast to be full, in seconds of delay. Higher values move long
/// responses to engines that are busy with prefill.
const MEMORY_COST_SECONDS: f64 = 0.3;

/// Weight of a second of time to first token. Above 1 because a prompt also delays the prompts
/// queued after it. With 1 the median first event comes after 0.8 s instead of 0.5 s; with 5 long
/// responses take as long as with 2.5.
const TTFT_WEIGHT: f64 = 2.5;

/// Cost in seconds of missing the TTFT target; exceeds any wait, so that it is avoided if possible.
const LATE_TTFT_COST_SECONDS: f64 = 10.0;

/// Relative difference in token latency that is tolerated as noise: load, stepwise progress reports
/// and errors in prompt length estimates. Without it noise steers the placement.
const TOKEN_LATENCY_TOLERANCE: f64 = 0.5;

/// Admits a request if the forecast KV cache use stays below capacity by a margin, and selects the
/// endpoint with the lowest total delay for the request and the generations running there.
#[derive(Debug, Clone)]
pub struct ForecastPolicy {
    /// Safety margin in standard deviations of the forecast KV cache use.
    pub margin: f64,
    /// Value of a cached prefix, relative to the KV cache fraction it occupies.
    pub prefix_value: f64,
    /// Weight of slot utilization relative to KV cache utilization.
    pub load_value: f64,
    /// Mechanisms that are switched off.
    pub disabled: Disabled,
}

/// Best speeds among the candidate endpoints.
struct Baseline {
    speeds: SpeedBaseline,
    /// Lowest expected seconds per token.
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
    /// Creates the policy without the disabled mechanisms.
    pub fn without(disabled: Disabled) -> ForecastPolicy {
        ForecastPolicy { disabled, ..ForecastPolicy::default() }
    }

    /// Peak KV cache utilization of the endpoint over all horizons, including this request.
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

    /// Whether the endpoint has capacity and would meet the TTFT target.
    pub(super) fn fits(&self, demand: &Demand, endpoint: &EndpointState, now: Instant) -> bool {
        let memory_fits =
            endpoint.spec.kv_tokens == 0 || self.memory_fraction(demand, endpoint) <= 1.0;
        // An idle endpoint accepts requests of any forecast size.
        let has_room = has_slot(endpoint) && (memory_fits || endpoint.running == 0);
        has_room && meets_ttft_target(demand, endpoint, now)
    }

    /// Cost of placing the request on this endpoint: the load for services, otherwise the delay in
    /// seconds, weighted by generation value if that mechanism is enabled.
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
        let utilization = self.memory_fraction(demand, endpoint) + self.load_value * load
            - self.if_enabled(Mechanism::PrefixAffinity, self.prefix_value * saved);
        let own = MEMORY_COST_SECONDS * utilization
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

    /// Cost of the time to first token.
    fn ttft_cost(&self, demand: &Demand, endpoint: &EndpointState, now: Instant) -> f64 {
        let first = expected_ttft(demand, endpoint, now).as_secs_f64();
        let target = demand.ttft_target.as_secs_f64();
        let late = LATE_TTFT_COST_SECONDS * (2.0 * first / target - 1.0).clamp(0.0, 1.0).powi(2);
        self.if_enabled(Mechanism::ReadingWait, TTFT_WEIGHT * first)
            + self.if_enabled(Mechanism::LateFirstToken, late)
    }

    /// Cost of slow decoding, in seconds.
    fn decode_cost(
        &self,
        demand: &Demand,
        endpoint: &EndpointState,
        baseline: &Baseline,
        now: Instant,
    ) -> f64 {
        let token_seconds = baseline.speeds.expected_token_seconds(endpoint, now);
        let slow_decode = demand.output * (token_seconds - baseline.min_token_seconds).max(0.0);
        let can_move =
            endpoint.spec.supports_relocation && self.disabled.allows(Mechanism::Handover);
        let decode_delay = if can_move && 0 < demand.prompt_tokens {
            slow_decode.min(HANDOVER_COST_SECONDS)
        } else {
            slow_decode
        };
        // Slowdown that neither prefill load nor inherent speed explains.
        let explained = baseline.speeds.slowness(endpoint, now) - 1.0;
        let slowdown = endpoint.token_latency.slowdown(baseline.speeds.token_seconds, now);
        let unexplained = (slowdown - explained - TOKEN_LATENCY_TOLERANCE).max(0.0);
        let slow = demand.output * baseline.min_token_seconds * unexplained;
        self.if_enabled(Mechanism::ReadingAvoidance, decode_delay)
            + self.if_enabled(Mechanism::Pace, slow)
    }

    /// Returns `cost`, or zero if its mechanism is disabled.
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

/// Whether the first token would arrive in time, or would be late even on an idle endpoint.
fn meets_ttft_target(demand: &Demand, endpoint: &EndpointState, now: Instant) -> bool {
    let target = demand.ttft_target;
    let always_late = target < endpoint.prefill.time_for(demand.prompt_tokens);
    demand.prompt_tokens == 0 || always_late || expected_ttft(demand, endpoint, now) <= target
}

/// Expected time to first token of a request that is sent now.
fn expected_ttft(demand: &Demand, endpoint: &EndpointState, now: Instant) -> Duration {
    endpoint.prefill.remaining_time(now) + endpoint.prefill.time_for(demand.prompt_tokens)
}
