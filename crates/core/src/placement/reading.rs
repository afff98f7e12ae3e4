//! The prompts that an endpoint has to read, and what part of its time that takes.
//!
//! An engine reads prompts in pieces between the tokens of all that runs there: every prompt
//! holds up every generation at its engine for as long as it takes to read.

use std::time::Duration;

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

/// Time by which reading a prompt of this length holds up all else at its engine.
pub(crate) fn holds_up(prompt_tokens: u64) -> Duration {
    Duration::from_micros(prompt_tokens * 1_000 / ALONE_PER_MS)
}

/// Time that an engine takes to read a prompt of this length between the tokens of others.
pub fn reading_time(prompt_tokens: u64) -> Duration {
    Duration::from_micros(prompt_tokens * 1_000 / BETWEEN_TOKENS_PER_MS)
}

/// What one endpoint has been given to read.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Reading {
    /// When all of it will have been read, by reckoning.
    until: Instant,
    /// Seconds of reading for each second, smoothed, at the time of the last prompt.
    part: f64,
    noted: Instant,
}

impl Reading {
    /// Time that is still needed for the prompts given so far.
    pub(crate) fn left(&self, now: Instant) -> Duration {
        self.until.since(now)
    }

    /// Part of the time that goes to reading, smoothed.
    pub(crate) fn part(&self, now: Instant) -> f64 {
        let passed = now.since(self.noted).as_secs_f64() / SMOOTHED_OVER.as_secs_f64();
        self.part * (-passed).exp()
    }

    /// Notes that a prompt of this length must be read.
    pub(crate) fn note(&mut self, prompt_tokens: u64, now: Instant) {
        self.until = self.until.max(now).after(reading_time(prompt_tokens));
        let added = holds_up(prompt_tokens).as_secs_f64() / SMOOTHED_OVER.as_secs_f64();
        self.part = self.part(now) + added;
        self.noted = now;
    }
}
