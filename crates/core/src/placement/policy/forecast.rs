//! Placement by forecast of memory and by what a request holds up.
//!
//! Weighing the reading of prompts took the time between events of long answers from 36.3 to 34.9 ms
//! and the streams lost a day from 58.5 to 56.1 (48 paired days of 18 engines, a sixth of whose time
//! went to reading).

use super::{Policy, Work, has_slot, least};
use crate::{
    mechanism::{Disabled, Mechanism},
    placement::{endpoint::EndpointState, forecast::HORIZONS, handover::HANDOVER_COST, pace},
    units::Instant,
};

/// Cost of a memory that is forecast to be full, in seconds by which a generation is held up. A
/// second of prompts to read was worth 1.5 memories before both were counted in seconds.
const MEMORY_VALUE: f64 = 0.67;

/// Cost of a first token that comes too late, in seconds by which a generation is held up: more than
/// any wait, so that it is avoided wherever that is possible.
const LATE_VALUE: f64 = 10.0;

/// Part by which equal endpoints' paces differ: by how many run there, by progress that is told
/// in steps, and by prompts that are longer than reckoned. Without it, work is steered about by
/// noise (worth -0.003 in 48 paired days, within their interval).
const USUAL_SPREAD: f64 = 0.5;

/// Beyond this part of its time spent on reading, an endpoint's slowness is all put down to it.
const MOST_READING: f64 = 0.9;

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
struct Usual {
    /// Seconds for a token at the fastest, if known.
    fastest: Option<f64>,
    /// The same, or the usual speed.
    token_time: f64,
    /// Least part of the time that one spends on reading.
    least_reading: f64,
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
    fn fullness(&self, work: &Work, endpoint: &EndpointState) -> f64 {
        let total = &endpoint.total;
        let margin = self.if_on(Mechanism::ForecastMargin, self.margin);
        let mut most = total.used + work.share.used;
        for i in 0..HORIZONS.len() {
            let mean = total.mean[i] + work.share.mean[i];
            let variance = (total.variance[i] + work.share.variance[i]).max(0.0);
            most = most.max(mean + margin * variance.sqrt());
        }
        most / endpoint.spec.kv_tokens as f64
    }

    pub(super) fn fits(&self, work: &Work, endpoint: &EndpointState) -> bool {
        let memory = endpoint.spec.kv_tokens == 0 || self.fullness(work, endpoint) <= 1.0;
        // An empty endpoint takes even what the forecast finds too large.
        has_slot(endpoint) && (memory || endpoint.running == 0)
    }

    /// Seconds lost at this endpoint.
    fn cost(&self, work: &Work, endpoint: &EndpointState, all: &Usual, now: Instant) -> f64 {
        let load = endpoint.load() as f64 / endpoint.spec.slots as f64;
        if endpoint.spec.kv_tokens == 0 {
            return load;
        }
        let kv = endpoint.spec.kv_tokens as f64;
        let cached = endpoint.has_prefix(work.prefix, now);
        let saved = if cached { work.prompt_tokens as f64 / kv } else { 0.0 };
        let crowded = self.fullness(work, endpoint) + self.load_value * load
            - self.if_on(Mechanism::PrefixAffinity, self.prefix_value * saved);
        let own = MEMORY_VALUE * crowded
            + self.time_to_first(work, endpoint, now)
            + self.time_to_last(work, endpoint, all, now);
        let holds_up = endpoint.reading.holds_up(work.prompt_tokens).as_secs_f64();
        if !self.disabled.allows(Mechanism::WorthWeights) {
            let others = endpoint.running as f64 * holds_up;
            return own + self.if_on(Mechanism::ReadingHarm, others);
        }
        let others = endpoint.total.worth * holds_up;
        work.share.worth * own + self.if_on(Mechanism::ReadingHarm, others)
    }

    /// Seconds lost before the first token.
    fn time_to_first(&self, work: &Work, endpoint: &EndpointState, now: Instant) -> f64 {
        let waits = endpoint.reading.left(now).as_secs_f64();
        let first = waits + endpoint.reading.time_for(work.prompt_tokens).as_secs_f64();
        let within = work.first_within.as_secs_f64();
        let late = LATE_VALUE * (2.0 * first / within - 1.0).clamp(0.0, 1.0).powi(2);
        self.if_on(Mechanism::ReadingWait, waits) + self.if_on(Mechanism::LateFirstToken, late)
    }

    /// Seconds lost between the tokens.
    fn time_to_last(
        &self,
        work: &Work,
        endpoint: &EndpointState,
        all: &Usual,
        now: Instant,
    ) -> f64 {
        let making = work.output * all.token_time;
        let part = endpoint.reading.part(now);
        // What the prompts that it reads do not explain.
        let by_reading = part / (1.0 - part.min(MOST_READING));
        let unexplained = endpoint.pace.slowdown(all.fastest, now) - by_reading - USUAL_SPREAD;
        let slow = making * unexplained.max(0.0);
        let stays = making * part;
        let goes_on = HANDOVER_COST + making * all.least_reading;
        let moves = endpoint.spec.moves && self.disabled.allows(Mechanism::Handover);
        let held_up = if moves && 0 < work.prompt_tokens { stays.min(goes_on) } else { stays };
        self.if_on(Mechanism::ReadingAvoidance, held_up) + self.if_on(Mechanism::Pace, slow)
    }

    /// A part of the cost, unless its mechanism is switched off.
    fn if_on(&self, mechanism: Mechanism, cost: f64) -> f64 {
        if self.disabled.allows(mechanism) { cost } else { 0.0 }
    }
}

impl Policy for ForecastPolicy {
    fn name(&self) -> &'static str {
        "forecast"
    }

    fn choose(&mut self, work: &Work, endpoints: &[&EndpointState], now: Instant) -> Option<usize> {
        let least_reading = endpoints.iter().map(|endpoint| endpoint.reading.part(now));
        let fastest = pace::fastest(endpoints, now);
        let all = Usual {
            fastest,
            token_time: fastest.unwrap_or(pace::USUAL),
            least_reading: least_reading.min_by(f64::total_cmp).unwrap_or(0.0),
        };
        let fits = |endpoint: &EndpointState| self.fits(work, endpoint);
        least(endpoints, fits, |endpoint| self.cost(work, endpoint, &all, now))
    }
}
