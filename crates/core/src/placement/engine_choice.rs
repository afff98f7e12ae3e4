//! Engine selection by a daemon while no scheduler is available.
//!
//! Hundreds of daemons may place requests concurrently without knowledge of each other, and would
//! all pick the same best engine. Each daemon therefore uses the power of two choices: it samples
//! two engines per request, slow ones less often, queries their loads and takes the cheaper one. If
//! memory is short there, it reserves a slot first.

use std::sync::Arc;

use super::prefill::prefill_time;

/// Cost of a full KV cache, in seconds of prefill wait. Engines with much free memory preempt
/// nothing. Values from 0.2 to 2 s made no measurable difference.
const MEMORY_COST_SECONDS: f64 = 0.4;
/// Engines whose KV cache would be fuller than this come last, since running requests still grow.
const FULL_FRACTION: f64 = 0.9;
/// Engines whose KV cache would be fuller than this need a reservation, since load reports are up
/// to half a second old. Lower values let reservations delay requests that queue for prefill. A
/// request with a reservation goes ahead of all that queue for prefill; with reservations at every
/// engine, earlier requests waited.
const RESERVATION_FRACTION: f64 = 0.7;

/// Load reported by an engine, a few hundred milliseconds old.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EngineLoad {
    /// Generations in the batch.
    pub running: u64,
    /// Generations queued for the batch.
    pub waiting: u64,
    /// Prompt tokens that await prefill, as far as reported.
    pub unread_tokens: u64,
    /// KV cache of running and queued generations, in tokens.
    pub kv_used: u64,
    /// KV cache capacity, in tokens.
    pub kv_tokens: u64,
    /// Start time of the reporting engine run; zero if not reported.
    pub started_at: u64,
}

/// An engine sampled by a daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct SampledEndpoint {
    /// Name of the engine.
    pub endpoint: Arc<str>,
    /// How many times slower than its peers it is, as last reported by a scheduler.
    pub slowness: f64,
}

impl EngineLoad {
    /// Estimated delay of a prompt of this length, in seconds.
    fn cost(&self, prompt_tokens: u64, slowness: f64) -> f64 {
        let prefill = prefill_time(self.unread_tokens).as_secs_f64() * slowness;
        prefill + MEMORY_COST_SECONDS * self.memory_fraction(prompt_tokens)
    }

    /// Whether a prompt of this length would have to wait for KV cache.
    fn is_full(&self, prompt_tokens: u64) -> bool {
        FULL_FRACTION < self.memory_fraction(prompt_tokens)
    }

    /// Whether a slot must be reserved before sending a prompt of this length.
    pub fn needs_reservation(&self, prompt_tokens: u64) -> bool {
        RESERVATION_FRACTION < self.memory_fraction(prompt_tokens)
    }

    fn memory_fraction(&self, prompt_tokens: u64) -> f64 {
        self.kv_used.saturating_add(prompt_tokens) as f64 / self.kv_tokens.max(1) as f64
    }
}

/// A sampled engine and its load, if reported.
pub type Candidate = (SampledEndpoint, Option<EngineLoad>);

/// Sorts engines by estimated cost, cheapest first. Engines with unknown load come before full ones.
pub fn sort_by_cost(candidates: &mut [Candidate], prompt_tokens: u64) {
    let key = |(sampled, load): &Candidate| match load {
        Some(load) => {
            (load.is_full(prompt_tokens), false, load.cost(prompt_tokens, sampled.slowness))
        }
        None => (false, true, 0.0),
    };
    candidates.sort_by(|a, b| {
        let (a, b) = (key(a), key(b));
        (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2))
    });
}
