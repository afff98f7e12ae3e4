//! The prompts that an endpoint has to read, and what part of its time that takes.
//!
//! An engine reads prompts in pieces between the tokens of all that runs there: every prompt
//! holds up every generation at its engine for as long as it takes to read.

use std::{collections::VecDeque, time::Duration};

use super::Ticket;
use crate::units::Instant;

/// Prompt tokens that an engine reads in a millisecond while it does nothing else, by the users'
/// sheets.
const ALONE_PER_MS: u64 = 14;
/// The same while it also makes tokens: pieces of 112 tokens take 8 ms and share their step with
/// 7 ms and more of decoding (measured: 3,000 tokens take 420 ms).
const BETWEEN_TOKENS_PER_MS: u64 = 7;
/// The part of the time spent on reading is smoothed over this long: a few prompts' worth at the
/// usual loads, and less than the life of a long generation.
const SMOOTHED_OVER: Duration = Duration::from_secs(2);

/// The same in a second, for endpoints whose speed was not measured.
const USUAL_SPEED: f64 = BETWEEN_TOKENS_PER_MS as f64 * 1_000.0;

/// Time that an engine takes to read a prompt of this length between the tokens of others.
pub fn prefill_time(prompt_tokens: u64) -> Duration {
    Duration::from_micros(prompt_tokens.saturating_mul(1_000) / BETWEEN_TOKENS_PER_MS)
}

/// Weight of the newest prompt in an endpoint's speed of reading: two or three tell a slow one.
/// Between 0.3 and 0.5 no difference was measured; 0.15 learns too late of engines that live for 20 s.
const SPEED_SMOOTHING: f64 = 0.5;
/// A prompt counts as read no faster and no slower than this many times the usual: one whose start
/// was cached, or whose first token was told late, says little of the endpoint.
const MOST_UNUSUAL: f64 = 3.0;
/// Of the prompt that is being read, this part counts as unread until its first token is told.
const LEAST_UNREAD: f64 = 0.05;

/// A prompt that an endpoint has not read, as far as is known.
#[derive(Debug, Clone, Copy)]
struct Unread {
    ticket: Ticket,
    tokens: u64,
    /// Whether it is known when it came.
    timed: bool,
}

/// What one endpoint has been given to read.
#[derive(Debug, Clone, Default)]
pub(crate) struct Reading {
    /// The prompts whose first tokens have not been told, the oldest first.
    unread: VecDeque<Unread>,
    /// Since when the first of them is being read.
    since: Instant,
    /// Prompt tokens read in a second, once that was measured.
    speed: Option<f64>,
    /// Seconds of reading for each second, smoothed, at the time of the last prompt.
    part: f64,
    noted: Instant,
}

impl Reading {
    /// Time that is still needed for the prompts given so far.
    pub(crate) fn left(&self, now: Instant) -> Duration {
        let Some(first) = self.unread.front() else { return Duration::ZERO };
        let all: u64 = self.unread.iter().map(|unread| unread.tokens).sum();
        let read = now.since(self.since).as_secs_f64() * self.speed();
        let most = first.tokens as f64 * (1.0 - LEAST_UNREAD);
        Duration::from_secs_f64((all as f64 - read.min(most)) / self.speed())
    }

    /// Requests whose first tokens have not been told.
    pub(crate) fn unread(&self) -> usize {
        self.unread.len()
    }

    /// Time that it takes to read a prompt of this length there.
    pub(crate) fn time_for(&self, prompt_tokens: u64) -> Duration {
        Duration::from_secs_f64(prompt_tokens as f64 / self.speed())
    }

    /// Time by which reading a prompt of this length holds up all else there.
    pub(crate) fn holds_up(&self, prompt_tokens: u64) -> Duration {
        let alone = ALONE_PER_MS as f64 / BETWEEN_TOKENS_PER_MS as f64;
        Duration::from_secs_f64(prompt_tokens as f64 / (self.speed() * alone))
    }

    /// Prompt tokens read in a second, once that was measured.
    pub(crate) fn measured_speed(&self) -> Option<f64> {
        self.speed
    }

    /// Prompt tokens read in a second.
    fn speed(&self) -> f64 {
        self.speed.unwrap_or(USUAL_SPEED)
    }

    /// Part of the time that goes to reading, smoothed.
    pub(crate) fn part(&self, now: Instant) -> f64 {
        let passed = now.since(self.noted).as_secs_f64() / SMOOTHED_OVER.as_secs_f64();
        self.part * (-passed).exp()
    }

    /// Notes that a request's prompt must be read.
    pub(crate) fn note(&mut self, ticket: Ticket, prompt_tokens: u64, now: Instant) {
        self.wait(Unread { ticket, tokens: prompt_tokens, timed: true }, now);
        let added = self.holds_up(prompt_tokens).as_secs_f64() / SMOOTHED_OVER.as_secs_f64();
        self.part = self.part(now) + added;
        self.noted = now;
    }

    /// Notes a prompt that was given to the endpoint at an unknown time and has not been read.
    pub(crate) fn adopt(&mut self, ticket: Ticket, prompt_tokens: u64, now: Instant) {
        self.wait(Unread { ticket, tokens: prompt_tokens, timed: false }, now);
    }

    fn wait(&mut self, unread: Unread, now: Instant) {
        if self.unread.is_empty() {
            self.since = now;
        }
        self.unread.push_back(unread);
    }

    /// Notes that a request's first token has come. Endpoints read one prompt after the other, so the
    /// time since the one before tells how fast.
    pub(crate) fn read(&mut self, ticket: Ticket, now: Instant) {
        let Some(Unread { tokens, timed, .. }) = self.forget(ticket) else { return };
        let took = now.since(self.since).as_secs_f64();
        self.since = now;
        if !timed || tokens == 0 {
            return;
        }
        let slowest = USUAL_SPEED / MOST_UNUSUAL;
        let speed =
            (tokens as f64 / took.max(f64::EPSILON)).clamp(slowest, USUAL_SPEED * MOST_UNUSUAL);
        let before = self.speed();
        self.speed = Some(before + SPEED_SMOOTHING * (speed - before));
    }

    /// Forgets a request whose prompt will not be read there.
    pub(crate) fn drop(&mut self, ticket: Ticket, now: Instant) {
        let was_first = self.unread.front().is_some_and(|first| first.ticket == ticket);
        if self.forget(ticket).is_some() && was_first {
            self.since = now;
        }
    }

    fn forget(&mut self, ticket: Ticket) -> Option<Unread> {
        let at = self.unread.iter().position(|unread| unread.ticket == ticket)?;
        self.unread.remove(at)
    }
}
