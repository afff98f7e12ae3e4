//! The requests of a deployment: kinds, lengths and arrivals from a seed, as the users' sheets say.

use std::time::Duration;

/// A length whose logarithm is normal.
#[derive(Debug, Clone, Copy)]
struct Length {
    mean: f64,
    /// Standard deviation of the logarithm.
    spread: f64,
    least: f64,
    most: f64,
}

impl Length {
    fn draw(self, rng: &mut fastrand::Rng) -> f64 {
        let normal: f64 = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
        let median = self.mean * (-self.spread * self.spread / 2.0).exp();
        (median * (normal * self.spread).exp()).clamp(self.least, self.most)
    }
}

/// A kind of generation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Kind {
    pub(crate) name: &'static str,
    /// Part of all arrivals.
    part: f64,
    /// Rank of its tier, 1 first.
    pub(crate) tier_rank: u64,
    /// What one of the mean size is worth when it is in time, and when it is late.
    worth: f64,
    late_worth: f64,
    /// Time within which the first event should come.
    pub(crate) target_latency: Duration,
    /// Longest time that its caller waits for the first event: several times the target.
    pub(crate) patience: Duration,
    prompt: Length,
    /// Events of the answer.
    events: Length,
}

/// Tokens that an event holds.
pub(crate) const TOKENS_PER_EVENT: u64 = 4;
/// A longer pause between two events makes an answer late.
pub(crate) const LONGEST_PAUSE: Duration = Duration::from_millis(190);

/// Chats and summaries, as the sheets of the largest deployment give them.
pub(crate) const KINDS: [Kind; 2] = [
    Kind {
        name: "chat",
        part: 0.588,
        tier_rank: 2,
        worth: 140.0,
        late_worth: 21.0,
        target_latency: Duration::from_millis(1_800),
        patience: Duration::from_millis(7_200),
        prompt: Length { mean: 3_000.0, spread: 0.35, least: 80.0, most: 6_000.0 },
        events: Length { mean: 117.0, spread: 0.84, least: 1.0, most: 276.0 },
    },
    Kind {
        name: "summary",
        part: 0.412,
        tier_rank: 1,
        worth: 30.0,
        late_worth: 4.5,
        target_latency: Duration::from_millis(1_500),
        patience: Duration::from_millis(6_000),
        prompt: Length { mean: 2_200.0, spread: 0.6, least: 350.0, most: 6_000.0 },
        events: Length { mean: 1.5, spread: 0.89, least: 1.0, most: 5.23 },
    },
];

impl Kind {
    /// What an answer of this size is worth.
    pub(crate) fn credit(&self, prompt: u64, output: u64, late: bool) -> f64 {
        /// Part of the worth that does not depend on the size, and the most that size can make.
        const FIXED: f64 = 0.3;
        const MOST: f64 = 4.0;
        let size = |prompt: f64, output: f64| prompt + 10.0 * output;
        let mean = size(self.prompt.mean, self.events.mean * TOKENS_PER_EVENT as f64);
        let part = FIXED + (1.0 - FIXED) * size(prompt as f64, output as f64) / mean;
        let worth = if late { self.late_worth } else { self.worth };
        worth * part.min(MOST)
    }
}

/// One request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    /// Time in microseconds.
    pub(crate) at: u64,
    /// Index into [`KINDS`].
    pub(crate) kind: usize,
    /// The entry that it comes to.
    pub(crate) entry: usize,
    /// Tokens of the prompt.
    pub(crate) prompt: u64,
    /// Tokens of the answer, which nobody knows beforehand.
    pub(crate) output: u64,
}

/// More traffic than usual for a time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Burst {
    /// When it begins.
    pub(crate) from: Duration,
    /// When it is over.
    pub(crate) until: Duration,
    /// Traffic in parts of the usual.
    pub(crate) times: f64,
}

/// Arrivals at a mean rate over some time, spread evenly over the entries.
pub(crate) fn arrivals(
    rate: f64,
    entries: usize,
    length: Duration,
    burst: Option<Burst>,
    seed: u64,
) -> Vec<Arrival> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut arrivals = Vec::new();
    let mut seconds = 0.0;
    loop {
        let inside = |b: &Burst| b.from.as_secs_f64() <= seconds && seconds < b.until.as_secs_f64();
        let times = burst.filter(inside).map_or(1.0, |burst| burst.times);
        seconds -= (1.0 - rng.f64()).ln() / (rate * times);
        if length.as_secs_f64() <= seconds {
            return arrivals;
        }
        let kind = usize::from(KINDS[0].part <= rng.f64());
        let Kind { prompt, events, .. } = KINDS[kind];
        arrivals.push(Arrival {
            at: (seconds * 1e6) as u64,
            kind,
            entry: rng.usize(..entries),
            prompt: prompt.draw(&mut rng) as u64,
            output: events.draw(&mut rng) as u64 * TOKENS_PER_EVENT,
        });
    }
}
