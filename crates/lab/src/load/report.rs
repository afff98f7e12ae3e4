//! Figures of a load run.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::{Checked, Seen, call::CallEnd};

const LONGEST_US: u64 = 3_600_000_000;

/// Quantiles in milliseconds.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct Quantiles {
    count: u64,
    p50: f64,
    p95: f64,
    p99: f64,
    max: f64,
}

/// A histogram of microseconds.
struct Times(Histogram<u64>);

impl Times {
    fn new() -> Times {
        let bounds = Histogram::new_with_bounds(1, LONGEST_US, 3);
        Times(bounds.expect("the bounds and three digits are valid"))
    }

    fn add(&mut self, time: Duration) {
        self.0.saturating_record(time.as_micros() as u64);
    }

    fn quantiles(&self) -> Quantiles {
        let at = |q| self.0.value_at_quantile(q) as f64 / 1_000.0;
        let max = self.0.max() as f64 / 1_000.0;
        Quantiles { count: self.0.len(), p50: at(0.5), p95: at(0.95), p99: at(0.99), max }
    }
}

/// What a load run measured.
#[derive(Serialize)]
pub(crate) struct LoadReport {
    seconds: f64,
    tokens: u64,
    /// Generations by how they ended.
    chats: BTreeMap<String, u64>,
    /// Calls by how their last attempt ended.
    calls: BTreeMap<String, u64>,
    /// Errors of generations by code.
    codes: BTreeMap<String, u64>,
    /// Errors with a Retry-After among generations.
    retry_after: u64,
    first_token_ms: Option<Quantiles>,
    gap_ms: Option<Quantiles>,
    call_ms: Option<Quantiles>,
    checked: Checked,
    #[serde(skip)]
    first: Times,
    #[serde(skip)]
    gap: Times,
    #[serde(skip)]
    call: Times,
}

impl LoadReport {
    pub(super) fn new(took: Duration) -> LoadReport {
        LoadReport {
            seconds: took.as_secs_f64(),
            tokens: 0,
            chats: BTreeMap::new(),
            calls: BTreeMap::new(),
            codes: BTreeMap::new(),
            retry_after: 0,
            first_token_ms: None,
            gap_ms: None,
            call_ms: None,
            checked: Checked::default(),
            first: Times::new(),
            gap: Times::new(),
            call: Times::new(),
        }
    }

    pub(super) fn add(&mut self, seen: &Seen) {
        match seen {
            Seen::Chat(chat) => {
                self.tokens += chat.tokens.len() as u64;
                chat.first.into_iter().for_each(|time| self.first.add(time));
                chat.gaps.iter().for_each(|time| self.gap.add(*time));
                self.retry_after += u64::from(chat.retry_after);
                if let Some(code) = &chat.code {
                    *self.codes.entry(code.clone()).or_default() += 1;
                }
                let end = match (&chat.outcome, chat.count) {
                    (Some(outcome), _) => outcome.clone(),
                    (None, Some(_)) => "answered".into(),
                    (None, None) => "connection_lost".into(),
                };
                *self.chats.entry(end).or_default() += 1;
            }
            Seen::Call(call) => {
                self.call.add(call.total);
                let end = match call.ends.last() {
                    Some(CallEnd::Answered(_)) => "answered".into(),
                    Some(CallEnd::Outcome(outcome)) => outcome.clone(),
                    Some(CallEnd::Nothing) | None => "connection_lost".into(),
                };
                *self.calls.entry(end).or_default() += 1;
            }
        }
    }

    pub(super) fn finish(&mut self, checked: Checked) {
        self.first_token_ms = Some(self.first.quantiles());
        self.gap_ms = Some(self.gap.quantiles());
        self.call_ms = Some(self.call.quantiles());
        self.checked = checked;
    }

    /// Number of broken promises.
    pub(crate) fn violations(&self) -> usize {
        self.checked.violations.len()
    }
}
