//! One model or service: its queue, its endpoints and how fast places come free there.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::{PrefixHash, queue::Queue};
use crate::units::Instant;

/// Of more endpoints than this, a decision looks at a sample.
const MAX_SAMPLE: usize = 32;
/// Of more starts of prompts than this, all are forgotten, against growth without end.
const MAX_PREFIXES: usize = 50_000;

/// All of a few; of many an even sample, another one for each number.
pub(super) fn even_sample<T>(items: &[T], number: usize) -> impl Iterator<Item = &T> {
    let step = items.len().div_ceil(MAX_SAMPLE).max(1);
    items.iter().skip(number % step).step_by(step)
}

/// What waits for one model or service, and where it may go.
#[derive(Debug, Default)]
pub(super) struct TargetState {
    pub(super) queue: Queue,
    pub(super) endpoints: Vec<Arc<str>>,
    /// The endpoint that a prompt's start was last sent to.
    prefix_endpoints: HashMap<PrefixHash, Arc<str>>,
    /// Smoothed time between starts, in seconds; zero while unknown.
    start_interval: f64,
    last_queued_start: Option<Instant>,
}

impl TargetState {
    /// Endpoints to choose from: all of a few; of many, an even sample whose offset moves on,
    /// and the one that may have the prefix. So the cost of a decision stays flat.
    pub(super) fn sample(
        &self,
        number: usize,
        prefix: PrefixHash,
    ) -> impl Iterator<Item = &Arc<str>> {
        let is_whole = self.endpoints.len() <= MAX_SAMPLE;
        let with_prefix = self.prefix_endpoints.get(&prefix).filter(|_| !is_whole);
        even_sample(&self.endpoints, number).chain(with_prefix)
    }

    /// Notes where a prompt's start will be cached.
    pub(super) fn record_prefix(&mut self, prefix: PrefixHash, endpoint: &Arc<str>) {
        if MAX_PREFIXES <= self.prefix_endpoints.len() {
            self.prefix_endpoints.clear();
        }
        self.prefix_endpoints.insert(prefix, endpoint.clone());
    }

    /// Learns how fast places come free. Only between starts out of a queue does the gap tell.
    pub(super) fn record_start(&mut self, now: Instant) {
        const EWMA_WEIGHT: f64 = 0.05;
        if let Some(last) = self.last_queued_start {
            let interval = now.since(last).as_secs_f64();
            self.start_interval += EWMA_WEIGHT * (interval - self.start_interval);
        }
        self.last_queued_start = (0 < self.queue.len()).then_some(now);
    }

    /// Time until a new request of this rank would start.
    pub(super) fn expected_wait(&self, rank: u64) -> Duration {
        Duration::from_secs_f64(self.start_interval * self.queue.ahead_of(rank) as f64)
    }
}
