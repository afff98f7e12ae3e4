//! Policies that choose an endpoint for the request at the head of the queue.

use super::{
    Request,
    endpoint::{EndpointState, Share},
    forecast::HORIZONS,
};
use crate::units::Instant;

/// An endpoint that may be chosen, with the request's forecast there.
pub struct Candidate<'a> {
    pub(crate) endpoint: &'a EndpointState,
    pub(crate) share: &'a Share,
}

/// Chooses where a request runs.
pub trait Policy: Send {
    /// Name in reports.
    fn name(&self) -> &'static str;

    /// Index of the chosen candidate, or `None` to let the request wait.
    fn choose(
        &mut self,
        req: &Request,
        candidates: &[Candidate<'_>],
        now: Instant,
    ) -> Option<usize>;
}

/// Cost of a second of prompts that an endpoint still has to read, in parts of its memory:
/// all that runs there is held up by them, so they are spread first.
const READING_VALUE: f64 = 1.5;

/// Cost of an endpoint that takes twice the fastest's time for a token, in parts of its memory.
/// A generation there lives longer, and more of them meet the end of an engine.
const PACE_VALUE: f64 = 1.0;

/// A request is small when it is forecast to fill no more than this part of the memory.
const SMALL: f64 = 0.025;

fn has_slot(candidate: &Candidate<'_>) -> bool {
    candidate.endpoint.load() < candidate.endpoint.spec.slots
}

/// Index of the least key among candidates that pass the filter.
fn least(
    candidates: &[Candidate<'_>],
    fits: impl Fn(&Candidate<'_>) -> bool,
    key: impl Fn(&Candidate<'_>) -> f64,
) -> Option<usize> {
    let fitting = candidates.iter().enumerate().filter(|(_, c)| fits(c));
    fitting.min_by(|a, b| key(a.1).total_cmp(&key(b.1))).map(|(i, _)| i)
}

/// Baseline: the next endpoint in turn that has a free slot.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Policy for RoundRobin {
    fn name(&self) -> &'static str {
        "round-robin"
    }

    fn choose(&mut self, _: &Request, candidates: &[Candidate<'_>], _: Instant) -> Option<usize> {
        let n = candidates.len();
        let chosen = (0..n).map(|i| (self.next + i) % n).find(|i| has_slot(&candidates[*i]))?;
        self.next = chosen + 1;
        Some(chosen)
    }
}

/// Baseline: the endpoint with the fewest requests.
#[derive(Debug, Default)]
pub struct LeastOutstanding;

impl Policy for LeastOutstanding {
    fn name(&self) -> &'static str {
        "least-outstanding"
    }

    fn choose(&mut self, _: &Request, candidates: &[Candidate<'_>], _: Instant) -> Option<usize> {
        least(candidates, has_slot, |c| c.endpoint.load() as f64)
    }
}

/// Baseline: the first endpoint whose memory holds the prompt now, without forecast.
#[derive(Debug, Default)]
pub struct FirstFit;

impl Policy for FirstFit {
    fn name(&self) -> &'static str {
        "first-fit"
    }

    fn choose(&mut self, _: &Request, candidates: &[Candidate<'_>], _: Instant) -> Option<usize> {
        candidates.iter().position(|c| {
            let room = c.endpoint.spec.kv_tokens as f64 - c.endpoint.kv_used();
            has_slot(c) && c.share.used <= room
        })
    }
}

/// Admits while the forecast of memory stays under capacity with a margin, and
/// takes the endpoint that will be least full, less what a cached prefix saves.
#[derive(Debug, Clone)]
pub struct ForecastPolicy {
    /// Standard deviations of forecast memory kept free.
    pub margin: f64,
    /// Value of a cached prefix, in parts of the prompt's memory.
    pub prefix_value: f64,
    /// Weight of the number of requests against that of memory.
    pub load_value: f64,
    /// Part of its memory by which an endpoint may be forecast too full for a small request,
    /// which does little harm if the forecast comes true.
    pub small_excess: f64,
}

impl Default for ForecastPolicy {
    fn default() -> ForecastPolicy {
        ForecastPolicy { margin: 2.5, prefix_value: 2.0, load_value: 0.3, small_excess: 0.25 }
    }
}

impl ForecastPolicy {
    /// Part of the memory that a request may fill.
    fn limit(&self, c: &Candidate<'_>) -> f64 {
        let most = c.share.mean.iter().copied().fold(c.share.used, f64::max);
        let small = most <= SMALL * c.endpoint.spec.kv_tokens as f64;
        if small { 1.0 + self.small_excess } else { 1.0 }
    }

    /// The fullest that the endpoint is forecast to be, in parts of its memory.
    fn fullness(&self, c: &Candidate<'_>) -> f64 {
        let total = &c.endpoint.total;
        let mut most = total.used + c.share.used;
        for i in 0..HORIZONS.len() {
            let mean = total.mean[i] + c.share.mean[i];
            let variance = (total.variance[i] + c.share.variance[i]).max(0.0);
            most = most.max(mean + self.margin * variance.sqrt());
        }
        most / c.endpoint.spec.kv_tokens as f64
    }
}

impl Policy for ForecastPolicy {
    fn name(&self) -> &'static str {
        "forecast"
    }

    fn choose(
        &mut self,
        req: &Request,
        candidates: &[Candidate<'_>],
        now: Instant,
    ) -> Option<usize> {
        let fits = |c: &Candidate<'_>| {
            let memory = c.endpoint.spec.kv_tokens == 0 || self.fullness(c) <= self.limit(c);
            // An empty endpoint takes even what the forecast finds too large.
            has_slot(c) && (memory || c.endpoint.running == 0)
        };
        let paces = candidates.iter().filter_map(|c| c.endpoint.pace.per_token(now));
        let fastest = paces.min_by(f64::total_cmp);
        let cost = |c: &Candidate<'_>| {
            let load = c.endpoint.load() as f64 / c.endpoint.spec.slots as f64;
            if c.endpoint.spec.kv_tokens == 0 {
                return load;
            }
            let kv = c.endpoint.spec.kv_tokens as f64;
            let cached = c.endpoint.has_prefix(req.prefix, now);
            let saved = if cached { req.prompt_tokens as f64 / kv } else { 0.0 };
            let reading = READING_VALUE * c.endpoint.reading(now).as_secs_f64();
            let slow = PACE_VALUE * c.endpoint.pace.slowdown(fastest, now);
            self.fullness(c) + self.load_value * load + reading + slow - self.prefix_value * saved
        };
        least(candidates, fits, cost)
    }
}
