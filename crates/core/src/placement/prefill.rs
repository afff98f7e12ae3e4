//! Prefill queue of an endpoint and the fraction of its time spent on prefill.
//!
//! Engines interleave chunks of prefill with decode steps, so every prompt delays all generations
//! on its engine while it is prefilled.

use std::{collections::VecDeque, time::Duration};

use super::Ticket;
use crate::units::Instant;

/// Prefill speed of an idle engine, in tokens per millisecond.
const IDLE_PREFILL_TOKENS_PER_MS: u64 = 14;
/// Prefill speed of an engine that also decodes, in tokens per millisecond. Pieces of 112 tokens
/// take 8 ms and share their step with 7 ms and more of decoding; 3,000 tokens were measured to
/// take 420 ms.
const MIXED_PREFILL_TOKENS_PER_MS: u64 = 7;
/// Time constant of the moving average of prefill utilization: several prompts at usual loads, but
/// less than the duration of a long generation.
const UTILIZATION_WINDOW: Duration = Duration::from_secs(2);

/// Prefill speed assumed for endpoints without measurements.
const DEFAULT_TOKENS_PER_SECOND: f64 = MIXED_PREFILL_TOKENS_PER_MS as f64 * 1_000.0;

/// Returns the time an engine needs to prefill a prompt of this length while it also decodes.
pub fn prefill_time(prompt_tokens: u64) -> Duration {
    Duration::from_micros(prompt_tokens.saturating_mul(1_000) / MIXED_PREFILL_TOKENS_PER_MS)
}

/// Weight of the latest prompt in the moving average of prefill speed. Two or three prompts reveal
/// a slow endpoint. From 0.3 to 0.5 no difference was measured; 0.15 reacts too late for engines
/// that live for 20 s.
const SPEED_EWMA_WEIGHT: f64 = 0.5;
/// Measured speeds are clamped to this factor around the default, to limit the effect of cached
/// prefixes and late progress reports.
const MAX_SPEED_RATIO: f64 = 3.0;
/// Fraction of the prompt in progress that counts as unread until its first token is reported.
const MIN_UNREAD_FRACTION: f64 = 0.05;

/// A prompt that has not produced its first token.
#[derive(Debug, Clone, Copy)]
struct PendingPrompt {
    ticket: Ticket,
    tokens: u64,
    /// Whether the time at which the endpoint received the prompt is known.
    start_known: bool,
}

/// Prompts pending on one endpoint and its prefill speed.
#[derive(Debug, Clone, Default)]
pub(crate) struct PrefillQueue {
    /// Prompts without a first token, oldest first.
    pending: VecDeque<PendingPrompt>,
    /// Start of prefill of the first pending prompt.
    head_started: Instant,
    /// Moving average of prefill speed, once measured.
    tokens_per_second: Option<f64>,
    /// Fraction of time spent on prefill, as of `utilization_at`.
    utilization: f64,
    utilization_at: Instant,
}

impl PrefillQueue {
    /// Estimated time to prefill all pending prompts.
    pub(crate) fn remaining_time(&self, now: Instant) -> Duration {
        let Some(first) = self.pending.front() else { return Duration::ZERO };
        let all: u64 = self.pending.iter().map(|pending| pending.tokens).sum();
        let read = now.since(self.head_started).as_secs_f64() * self.tokens_per_second();
        let max_read = first.tokens as f64 * (1.0 - MIN_UNREAD_FRACTION);
        Duration::from_secs_f64((all as f64 - read.min(max_read)) / self.tokens_per_second())
    }

    /// Number of pending prompts.
    pub(crate) fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Time to prefill a prompt of this length.
    pub(crate) fn time_for(&self, prompt_tokens: u64) -> Duration {
        Duration::from_secs_f64(prompt_tokens as f64 / self.tokens_per_second())
    }

    /// Time by which prefill of a prompt of this length delays other generations.
    pub(crate) fn stall_time(&self, prompt_tokens: u64) -> Duration {
        let idle_speedup = IDLE_PREFILL_TOKENS_PER_MS as f64 / MIXED_PREFILL_TOKENS_PER_MS as f64;
        Duration::from_secs_f64(prompt_tokens as f64 / (self.tokens_per_second() * idle_speedup))
    }

    /// Measured prefill speed, if any.
    pub(crate) fn measured_tokens_per_second(&self) -> Option<f64> {
        self.tokens_per_second
    }

    /// Measured prefill speed, or the default.
    fn tokens_per_second(&self) -> f64 {
        self.tokens_per_second.unwrap_or(DEFAULT_TOKENS_PER_SECOND)
    }

    /// Fraction of time spent on prefill, decayed to `now`.
    pub(crate) fn utilization(&self, now: Instant) -> f64 {
        let elapsed_windows =
            now.since(self.utilization_at).as_secs_f64() / UTILIZATION_WINDOW.as_secs_f64();
        self.utilization * (-elapsed_windows).exp()
    }

    /// Adds a prompt that is sent to the endpoint now.
    pub(crate) fn push(&mut self, ticket: Ticket, prompt_tokens: u64, now: Instant) {
        self.append(PendingPrompt { ticket, tokens: prompt_tokens, start_known: true }, now);
        let added = self.stall_time(prompt_tokens).as_secs_f64() / UTILIZATION_WINDOW.as_secs_f64();
        self.utilization = self.utilization(now) + added;
        self.utilization_at = now;
    }

    /// Adds a pending prompt that was sent to the endpoint at an unknown time.
    pub(crate) fn adopt(&mut self, ticket: Ticket, prompt_tokens: u64, now: Instant) {
        self.append(PendingPrompt { ticket, tokens: prompt_tokens, start_known: false }, now);
    }

    fn append(&mut self, pending: PendingPrompt, now: Instant) {
        if self.pending.is_empty() {
            self.head_started = now;
        }
        self.pending.push_back(pending);
    }

    /// Removes a prompt whose first token has arrived. Prompts are prefilled sequentially, so the time
    /// since the previous first token yields the prefill speed.
    pub(crate) fn on_first_token(&mut self, ticket: Ticket, now: Instant) {
        let Some(PendingPrompt { tokens, start_known, .. }) = self.take(ticket) else { return };
        let took = now.since(self.head_started).as_secs_f64();
        self.head_started = now;
        if !start_known || tokens == 0 {
            return;
        }
        let slowest = DEFAULT_TOKENS_PER_SECOND / MAX_SPEED_RATIO;
        let speed = (tokens as f64 / took.max(f64::EPSILON))
            .clamp(slowest, DEFAULT_TOKENS_PER_SECOND * MAX_SPEED_RATIO);
        let before = self.tokens_per_second();
        self.tokens_per_second = Some(before + SPEED_EWMA_WEIGHT * (speed - before));
    }

    /// Removes a prompt that will not be prefilled here.
    pub(crate) fn remove(&mut self, ticket: Ticket, now: Instant) {
        let was_first = self.pending.front().is_some_and(|first| first.ticket == ticket);
        if self.take(ticket).is_some() && was_first {
            self.head_started = now;
        }
    }

    fn take(&mut self, ticket: Ticket) -> Option<PendingPrompt> {
        let at = self.pending.iter().position(|pending| pending.ticket == ticket)?;
        self.pending.remove(at)
    }
}
