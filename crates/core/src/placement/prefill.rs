//! The prompts that an endpoint has to read, and what part of its time that takes.
//!
//! An engine reads prompts in pieces between the tokens of all that runs there: every prompt
//! holds up every generation at its engine for as long as it takes to read.

use std::{collections::VecDeque, time::Duration};

use super::Ticket;
use crate::units::Instant;

/// Prompt tokens that an engine reads in a millisecond while it does nothing else, by the users'
/// sheets.
const IDLE_PREFILL_TOKENS_PER_MS: u64 = 14;
/// The same while it also makes tokens: pieces of 112 tokens take 8 ms and share their step with
/// 7 ms and more of decoding (measured: 3,000 tokens take 420 ms).
const MIXED_PREFILL_TOKENS_PER_MS: u64 = 7;
/// The part of the time spent on reading is smoothed over this long: a few prompts' worth at the
/// usual loads, and less than the life of a long generation.
const UTILIZATION_WINDOW: Duration = Duration::from_secs(2);

/// The same in a second, for endpoints whose speed was not measured.
const DEFAULT_TOKENS_PER_SECOND: f64 = MIXED_PREFILL_TOKENS_PER_MS as f64 * 1_000.0;

/// Time that an engine takes to read a prompt of this length between the tokens of others.
pub fn prefill_time(prompt_tokens: u64) -> Duration {
    Duration::from_micros(prompt_tokens.saturating_mul(1_000) / MIXED_PREFILL_TOKENS_PER_MS)
}

/// Weight of the newest prompt in an endpoint's speed of reading: two or three tell a slow one.
/// Between 0.3 and 0.5 no difference was measured; 0.15 learns too late of engines that live for 20 s.
const SPEED_EWMA_WEIGHT: f64 = 0.5;
/// A prompt counts as read no faster and no slower than this many times the usual: one whose start
/// was cached, or whose first token was told late, says little of the endpoint.
const MAX_SPEED_RATIO: f64 = 3.0;
/// Of the prompt that is being read, this part counts as unread until its first token is told.
const MIN_UNREAD_FRACTION: f64 = 0.05;

/// A prompt that an endpoint has not read, as far as is known.
#[derive(Debug, Clone, Copy)]
struct PendingPrompt {
    ticket: Ticket,
    tokens: u64,
    /// Whether it is known when it came.
    start_known: bool,
}

/// What one endpoint has been given to read.
#[derive(Debug, Clone, Default)]
pub(crate) struct PrefillQueue {
    /// The prompts whose first tokens have not been told, the oldest first.
    pending: VecDeque<PendingPrompt>,
    /// Since when the first of them is being read.
    head_started: Instant,
    /// Prompt tokens read in a second, once that was measured.
    tokens_per_second: Option<f64>,
    /// Seconds of reading for each second, smoothed, at the time of the last prompt.
    utilization: f64,
    utilization_at: Instant,
}

impl PrefillQueue {
    /// Time that is still needed for the prompts given so far.
    pub(crate) fn remaining_time(&self, now: Instant) -> Duration {
        let Some(first) = self.pending.front() else { return Duration::ZERO };
        let all: u64 = self.pending.iter().map(|pending| pending.tokens).sum();
        let read = now.since(self.head_started).as_secs_f64() * self.tokens_per_second();
        let max_read = first.tokens as f64 * (1.0 - MIN_UNREAD_FRACTION);
        Duration::from_secs_f64((all as f64 - read.min(max_read)) / self.tokens_per_second())
    }

    /// Requests whose first tokens have not been told.
    pub(crate) fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Time that it takes to read a prompt of this length there.
    pub(crate) fn time_for(&self, prompt_tokens: u64) -> Duration {
        Duration::from_secs_f64(prompt_tokens as f64 / self.tokens_per_second())
    }

    /// Time by which reading a prompt of this length holds up all else there.
    pub(crate) fn stall_time(&self, prompt_tokens: u64) -> Duration {
        let idle_speedup = IDLE_PREFILL_TOKENS_PER_MS as f64 / MIXED_PREFILL_TOKENS_PER_MS as f64;
        Duration::from_secs_f64(prompt_tokens as f64 / (self.tokens_per_second() * idle_speedup))
    }

    /// Prompt tokens read in a second, once that was measured.
    pub(crate) fn measured_tokens_per_second(&self) -> Option<f64> {
        self.tokens_per_second
    }

    /// Prompt tokens read in a second.
    fn tokens_per_second(&self) -> f64 {
        self.tokens_per_second.unwrap_or(DEFAULT_TOKENS_PER_SECOND)
    }

    /// Part of the time that goes to reading, smoothed.
    pub(crate) fn utilization(&self, now: Instant) -> f64 {
        let elapsed_windows =
            now.since(self.utilization_at).as_secs_f64() / UTILIZATION_WINDOW.as_secs_f64();
        self.utilization * (-elapsed_windows).exp()
    }

    /// Notes that a request's prompt must be read.
    pub(crate) fn push(&mut self, ticket: Ticket, prompt_tokens: u64, now: Instant) {
        self.append(PendingPrompt { ticket, tokens: prompt_tokens, start_known: true }, now);
        let added = self.stall_time(prompt_tokens).as_secs_f64() / UTILIZATION_WINDOW.as_secs_f64();
        self.utilization = self.utilization(now) + added;
        self.utilization_at = now;
    }

    /// Notes a prompt that was given to the endpoint at an unknown time and has not been read.
    pub(crate) fn adopt(&mut self, ticket: Ticket, prompt_tokens: u64, now: Instant) {
        self.append(PendingPrompt { ticket, tokens: prompt_tokens, start_known: false }, now);
    }

    fn append(&mut self, pending: PendingPrompt, now: Instant) {
        if self.pending.is_empty() {
            self.head_started = now;
        }
        self.pending.push_back(pending);
    }

    /// Notes that a request's first token has come. Endpoints read one prompt after the other, so the
    /// time since the one before tells how fast.
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

    /// Forgets a request whose prompt will not be read there.
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
