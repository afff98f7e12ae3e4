//! The choice of an engine by a daemon that no scheduler answers.
//!
//! Answers the load of hundreds of daemons that place at the same time, none of which knows what the
//! others send. A share of each engine for each daemon is less than one prompt there, and the best
//! engine by equal knowledge is the same one for all. So each daemon draws two engines at random for
//! each request, slow ones less often, asks both for their loads, takes the better one, and lets it
//! confirm that it has room if that is in doubt. docs/DECISIONS.md has the ways that were weighed.

use std::sync::Arc;

use super::prefill::prefill_time;

/// Cost of a full memory, in seconds of waiting for prompts to be read: engines with much free memory
/// push nothing aside. Between 0.2 and 2 s no difference beyond 0.01 of the worth was measured.
const MEMORY_COST_SECONDS: f64 = 0.4;
/// An engine whose memory would be fuller than this comes last: what runs there grows.
const FULL_FRACTION: f64 = 0.9;
/// An engine whose memory would be fuller than this is asked to keep a place: its report is half a second
/// old, and it may have none. What has a place goes ahead of all that waits to be read; with places at
/// every engine the earlier requests waited (worth served in a burst 0.92 in place of 0.89).
const RESERVATION_FRACTION: f64 = 0.7;

/// What an engine tells of its load; true some hundred milliseconds ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EngineLoad {
    /// Generations in its batch.
    pub running: u64,
    /// Generations that wait for the batch.
    pub waiting: u64,
    /// Prompt tokens that it has not read yet, as far as it tells.
    pub unread_tokens: u64,
    /// Memory of what runs and waits, in tokens.
    pub kv_used: u64,
    /// Its memory, in tokens.
    pub kv_tokens: u64,
    /// When the run that tells it was started; zero where engines do not tell.
    pub started_at: u64,
}

/// An engine that a daemon has drawn.
#[derive(Debug, Clone, PartialEq)]
pub struct SampledEndpoint {
    /// Its name.
    pub endpoint: Arc<str>,
    /// How many times as long as others it takes, as far as a scheduler has told.
    pub slowness: f64,
}

impl EngineLoad {
    /// Seconds lost by a prompt of this length there.
    fn cost(&self, prompt_tokens: u64, slowness: f64) -> f64 {
        let prefill = prefill_time(self.unread_tokens).as_secs_f64() * slowness;
        prefill + MEMORY_COST_SECONDS * self.memory_fraction(prompt_tokens)
    }

    /// Whether a prompt of this length would have to wait there for memory.
    fn is_full(&self, prompt_tokens: u64) -> bool {
        FULL_FRACTION < self.memory_fraction(prompt_tokens)
    }

    /// Whether it must be asked for a place before a prompt of this length is sent there.
    pub fn needs_reservation(&self, prompt_tokens: u64) -> bool {
        RESERVATION_FRACTION < self.memory_fraction(prompt_tokens)
    }

    fn memory_fraction(&self, prompt_tokens: u64) -> f64 {
        self.kv_used.saturating_add(prompt_tokens) as f64 / self.kv_tokens.max(1) as f64
    }
}

/// An engine that was drawn, and its load if it tells.
pub type Candidate = (SampledEndpoint, Option<EngineLoad>);

/// Brings engines into the order in which to ask them for a place: the better one first. One whose
/// load is not known comes before those that are full.
pub fn sort_by_cost(candidates: &mut [Candidate], prompt_tokens: u64) {
    let key = |(drawn, load): &Candidate| match load {
        Some(load) => {
            (load.is_full(prompt_tokens), false, load.cost(prompt_tokens, drawn.slowness))
        }
        None => (false, true, 0.0),
    };
    candidates.sort_by(|a, b| {
        let (a, b) = (key(a), key(b));
        (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2))
    });
}
