//! The limit itself, as an endpoint names it.

use std::{fmt, str::FromStr, time::Duration};

/// An endpoint that takes fewer requests than one in this time is sent one all the same: one that gets no
/// request can never say that its need is over.
pub const MAX_INTERVAL: Duration = Duration::from_secs(10);

/// Requests a second that an endpoint takes, from all daemons together. Zero or more, and finite.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RateLimit(f64);

/// Why a text names no limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InvalidRateLimit {
    /// It is no decimal number.
    NotANumber,
    /// It is below zero.
    Negative,
    /// It is infinite, or not a number by its own word.
    NotFinite,
    /// More than one is named.
    Repeated,
}

impl RateLimit {
    /// A limit of so many requests a second.
    pub fn new(per_second: f64) -> Result<RateLimit, InvalidRateLimit> {
        if !per_second.is_finite() {
            return Err(InvalidRateLimit::NotFinite);
        }
        if per_second < 0.0 {
            return Err(InvalidRateLimit::Negative);
        }
        Ok(RateLimit(per_second))
    }

    /// The only limit that is named by these texts, if any is.
    pub fn from_values<'a>(
        mut texts: impl Iterator<Item = &'a str>,
    ) -> Result<Option<RateLimit>, InvalidRateLimit> {
        let Some(text) = texts.next() else { return Ok(None) };
        if texts.next().is_some() {
            return Err(InvalidRateLimit::Repeated);
        }
        text.parse().map(Some)
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Time between two requests at this rate, which is bounded by [`MAX_INTERVAL`].
    pub fn interval(self) -> Duration {
        let interval = Duration::try_from_secs_f64(1.0 / self.0).unwrap_or(MAX_INTERVAL);
        interval.min(MAX_INTERVAL)
    }
}

impl FromStr for RateLimit {
    type Err = InvalidRateLimit;

    fn from_str(text: &str) -> Result<RateLimit, InvalidRateLimit> {
        RateLimit::new(text.trim().parse().map_err(|_| InvalidRateLimit::NotANumber)?)
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.0)
    }
}

/// A limit as log lines tell it, if there is one.
pub fn describe_limit(limit: Option<RateLimit>) -> String {
    limit.map_or_else(|| "-".to_owned(), |limit| limit.to_string())
}

impl fmt::Display for InvalidRateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            InvalidRateLimit::NotANumber => "it is no decimal number",
            InvalidRateLimit::Negative => "it is below zero",
            InvalidRateLimit::NotFinite => "it is not finite",
            InvalidRateLimit::Repeated => "more than one is named",
        })
    }
}
