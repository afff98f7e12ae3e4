//! The choice of an engine by a daemon that no scheduler answers.
//!
//! Answers the load of hundreds of daemons that place at the same time, none of which knows what the
//! others send. A share of each engine for each daemon is less than one prompt there, and the best
//! engine by equal knowledge is the same one for all. So each daemon draws two engines at random for
//! each request, asks both for their loads, takes the better one, and lets it confirm that it has
//! room. docs/DECISIONS.md has the ways that were weighed.

use super::reading::reading_time;

/// Cost of a full memory, in seconds of waiting for prompts to be read: engines with much free memory
/// push nothing aside. Between 0.2 and 2 s no difference beyond 0.01 of the worth was measured.
const MEMORY_VALUE: f64 = 0.4;
/// An engine whose memory would be fuller than this comes last: what runs there grows.
const NEARLY_FULL: f64 = 0.9;

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
}

impl EngineLoad {
    /// Seconds lost by a prompt of this length there.
    fn cost(&self, prompt_tokens: u64) -> f64 {
        let unread = reading_time(self.unread_tokens).as_secs_f64();
        let memory = (self.kv_used + prompt_tokens) as f64 / self.kv_tokens.max(1) as f64;
        unread + MEMORY_VALUE * memory
    }

    /// Whether a prompt of this length would have to wait there for memory.
    fn is_full(&self, prompt_tokens: u64) -> bool {
        self.kv_tokens as f64 * NEARLY_FULL < (self.kv_used + prompt_tokens) as f64
    }
}

/// In which order to ask engines for a place, by their positions: the better one first. One whose
/// load is not known comes before those that are full.
pub fn order(loads: &[Option<EngineLoad>], prompt_tokens: u64) -> Vec<usize> {
    let key = |at: &usize| match &loads[*at] {
        Some(load) => (load.is_full(prompt_tokens), false, load.cost(prompt_tokens)),
        None => (false, true, 0.0),
    };
    let mut order: Vec<usize> = (0..loads.len()).collect();
    order.sort_by(|a, b| {
        let (a, b) = (key(a), key(b));
        (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2))
    });
    order
}
