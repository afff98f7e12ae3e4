//! Arrivals from a seed: kinds, heavy-tailed lengths, shared prefixes, bursts.

use std::time::Duration;

/// Which of the users' workloads is modelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mix {
    /// Practice chats and lesson summaries.
    Magnolia,
    /// Order chats and route summaries, with cold-morning bursts.
    Abay,
}

/// One kind of request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KindModel {
    /// Name.
    pub(crate) name: &'static str,
    /// Part of all arrivals.
    pub(crate) part: f64,
    /// Weight in the service measure.
    pub(crate) weight: f64,
    /// Rank of its tier.
    pub(crate) rank: u64,
    /// Longest useful time to the first token.
    pub(crate) deadline: Duration,
    /// Median prompt in tokens.
    pub(crate) prompt: f64,
    /// Median output in tokens.
    pub(crate) output: f64,
    /// Spread of the output: standard deviation of its logarithm.
    pub(crate) spread: f64,
}

const LONGEST_OUTPUT: f64 = 20_000.0;
const WORKSPACES: usize = 10;
const PREFIXES: usize = 40;
const PREFIX_TOKENS: u64 = 256;

const MAGNOLIA: [KindModel; 2] = [
    KindModel {
        name: "practice-feedback",
        part: 0.8,
        weight: 5.0,
        rank: 1,
        deadline: Duration::from_secs(3),
        prompt: 350.0,
        output: 70.0,
        spread: 0.8,
    },
    KindModel {
        name: "lesson-summary",
        part: 0.2,
        weight: 2.0,
        rank: 2,
        deadline: Duration::from_secs(30),
        prompt: 2_500.0,
        output: 500.0,
        spread: 1.2,
    },
];

const ABAY: [KindModel; 2] = [
    KindModel {
        name: "order-chat",
        part: 0.75,
        weight: 5.0,
        rank: 1,
        deadline: Duration::from_secs(3),
        prompt: 500.0,
        output: 100.0,
        spread: 0.9,
    },
    KindModel {
        name: "route-summary",
        part: 0.25,
        weight: 3.0,
        rank: 2,
        deadline: Duration::from_secs(30),
        prompt: 1_800.0,
        output: 600.0,
        spread: 1.1,
    },
];

impl Mix {
    /// The kinds of the mix.
    pub(crate) fn kinds(self) -> &'static [KindModel] {
        match self {
            Mix::Magnolia => &MAGNOLIA,
            Mix::Abay => &ABAY,
        }
    }

    /// Rate at a time, in parts of the mean: steady, or with a burst in each minute.
    fn rate(self, seconds: f64) -> f64 {
        match self {
            Mix::Magnolia => 1.0,
            Mix::Abay if seconds % 60.0 < 15.0 => 1.75,
            Mix::Abay => 0.75,
        }
    }
}

/// One arrival.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    /// Time in microseconds.
    pub(crate) at: u64,
    /// Index into [`Mix::kinds`].
    pub(crate) kind: usize,
    /// Number of the workspace; low numbers are large ones.
    pub(crate) workspace: usize,
    /// Prompt in tokens.
    pub(crate) prompt: u64,
    /// Output in tokens, which the scheduler does not know.
    pub(crate) output: u64,
    /// Name of the shared prefix.
    pub(crate) prefix: u64,
    /// Its length in tokens.
    pub(crate) prefix_tokens: u64,
}

/// Arrivals at a mean rate over some time.
pub(crate) fn arrivals(mix: Mix, per_second: f64, length: Duration, seed: u64) -> Vec<Arrival> {
    const PEAK: f64 = 1.75;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut arrivals = Vec::new();
    let mut seconds = 0.0;
    loop {
        // Thinning: candidates at the peak rate, kept in the proportion of the rate.
        seconds -= (1.0 - rng.f64()).ln() / (per_second * PEAK);
        if length.as_secs_f64() <= seconds {
            return arrivals;
        }
        if rng.f64() * PEAK < mix.rate(seconds) {
            arrivals.push(arrival(mix, seconds, &mut rng));
        }
    }
}

fn arrival(mix: Mix, seconds: f64, rng: &mut fastrand::Rng) -> Arrival {
    let kinds = mix.kinds();
    let mut part = rng.f64();
    let last = kinds.len() - 1;
    let kind = kinds
        .iter()
        .position(|kind| {
            part -= kind.part;
            part < 0.0
        })
        .unwrap_or(last);
    let model = &kinds[kind];
    // A few workspaces are large: squaring favours low numbers.
    let workspace = ((rng.f64() * rng.f64()) * WORKSPACES as f64) as usize;
    let prompt = log_normal(rng, model.prompt, 0.5).max(PREFIX_TOKENS as f64 + 1.0);
    let output = log_normal(rng, model.output, model.spread).clamp(1.0, LONGEST_OUTPUT);
    let shared = (rng.f64() * rng.f64() * PREFIXES as f64) as u64;
    Arrival {
        at: (seconds * 1e6) as u64,
        kind,
        workspace,
        prompt: prompt as u64,
        output: output as u64,
        prefix: 1 + shared + kind as u64 * PREFIXES as u64,
        prefix_tokens: PREFIX_TOKENS,
    }
}

fn log_normal(rng: &mut fastrand::Rng, median: f64, spread: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
    median * (normal * spread).exp()
}
