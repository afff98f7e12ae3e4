//! Learned distributions of output length, conditional on the tokens produced so far.

use std::{collections::HashMap, sync::Arc};

/// Look-ahead distances of the memory forecast, in output tokens of one stream. At 24 tokens a
/// second these are about 1, 5, 21 and 85 seconds.
pub const HORIZONS: [u64; 4] = [32, 128, 512, 2048];

/// Histogram resolution: four buckets per doubling of length.
const BUCKETS_PER_OCTAVE: f64 = 4.0;
const BUCKETS: usize = 72;
/// Initial count per bucket: a weak prior, uniform over the logarithm of length.
const PRIOR_COUNT: f64 = 0.05;
/// All counts are halved when their sum reaches this, so that old lengths decay.
const DECAY_THRESHOLD: f64 = 4_000.0;
/// Number of samples from which a workspace's own distribution is used.
const MIN_CLASS_SAMPLES: f64 = 50.0;

/// Value of an output token relative to a prompt token.
const OUTPUT_TOKEN_WEIGHT: f64 = 10.0;

/// Value of a generation of this size, in prompt tokens.
pub(crate) fn generation_value(prompt_tokens: u64, output: f64) -> f64 {
    prompt_tokens as f64 + OUTPUT_TOKEN_WEIGHT * output
}

fn bucket(tokens: u64) -> usize {
    let bucket = ((tokens.max(1) as f64).log2() * BUCKETS_PER_OCTAVE) as usize;
    bucket.min(BUCKETS - 1)
}

/// First length above the bucket of `tokens`.
fn bucket_end(tokens: u64) -> u64 {
    let end = ((bucket(tokens) + 1) as f64 / BUCKETS_PER_OCTAVE).exp2().ceil() as u64;
    end.max(tokens + 1)
}

/// Histogram of output lengths.
#[derive(Debug, Clone)]
pub struct LengthDistribution {
    counts: [f64; BUCKETS],
    /// Suffix sums of `counts`.
    above: [f64; BUCKETS + 1],
}

impl Default for LengthDistribution {
    fn default() -> LengthDistribution {
        let mut distribution =
            LengthDistribution { counts: [PRIOR_COUNT; BUCKETS], above: [0.0; BUCKETS + 1] };
        distribution.recompute_sums();
        distribution
    }
}

impl LengthDistribution {
    /// Number of recorded lengths, after decay.
    pub fn weight(&self) -> f64 {
        self.above[0]
    }

    /// Records the length of one complete response.
    pub fn record(&mut self, tokens: u64) {
        let bucket = bucket(tokens);
        self.counts[bucket] += 1.0;
        for above in &mut self.above[..=bucket] {
            *above += 1.0;
        }
        if DECAY_THRESHOLD <= self.weight() {
            for count in &mut self.counts {
                *count /= 2.0;
            }
            self.recompute_sums();
        }
    }

    /// Probability that a response with `so_far` tokens exceeds `so_far + ahead` tokens.
    pub fn probability_beyond(&self, so_far: u64, ahead: u64) -> f64 {
        let current = self.weight_at_least(so_far);
        if current <= 0.0 { 0.0 } else { (self.weight_at_least(so_far + ahead) / current).min(1.0) }
    }

    /// Expected number of further tokens of a response with `so_far` tokens, which ends at `max_tokens` at
    /// the latest.
    pub(crate) fn expected_remaining(&self, so_far: u64, max_tokens: u64) -> f64 {
        let current = self.weight_at_least(so_far);
        if current <= 0.0 {
            return 0.0;
        }
        let mut sum = 0.0;
        let mut from = so_far;
        while from < max_tokens {
            let to = bucket_end(from).min(max_tokens);
            sum +=
                (to - from) as f64 * (self.weight_at_least(from) + self.weight_at_least(to)) / 2.0;
            from = to;
        }
        sum / current
    }

    /// Weight of lengths of at least `tokens`, interpolated within the bucket.
    fn weight_at_least(&self, tokens: u64) -> f64 {
        let position = (tokens.max(1) as f64).log2() * BUCKETS_PER_OCTAVE;
        let bucket = bucket(tokens);
        let fraction = (position - bucket as f64).clamp(0.0, 1.0);
        self.above[bucket] - self.counts[bucket] * fraction
    }

    fn recompute_sums(&mut self) {
        for i in (0..BUCKETS).rev() {
            self.above[i] = self.above[i + 1] + self.counts[i];
        }
    }
}

/// Key of a distribution per workspace and kind.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LengthClass {
    workspace: Arc<str>,
    kind: Arc<str>,
}

/// Length distributions per kind, and per workspace and kind once there are enough samples.
#[derive(Debug, Default)]
pub struct LengthForecast {
    by_kind: HashMap<Arc<str>, LengthDistribution>,
    by_class: HashMap<LengthClass, LengthDistribution>,
    prior: LengthDistribution,
}

impl LengthForecast {
    /// Records the length of one complete response.
    pub fn record(&mut self, workspace: &Arc<str>, kind: &Arc<str>, tokens: u64) {
        self.by_kind.entry(kind.clone()).or_default().record(tokens);
        let class = LengthClass { workspace: workspace.clone(), kind: kind.clone() };
        self.by_class.entry(class).or_default().record(tokens);
    }

    /// Returns the most specific distribution with enough samples.
    pub fn distribution(&self, workspace: &Arc<str>, kind: &Arc<str>) -> &LengthDistribution {
        let class = LengthClass { workspace: workspace.clone(), kind: kind.clone() };
        match self.by_class.get(&class) {
            Some(own) if MIN_CLASS_SAMPLES <= own.weight() => own,
            _ => self.by_kind.get(kind).unwrap_or(&self.prior),
        }
    }
}
