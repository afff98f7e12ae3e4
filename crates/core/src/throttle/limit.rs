//! Parsing of rate limits.

use std::{fmt, str::FromStr, time::Duration};

/// Longest interval between requests to an endpoint, whatever its limit: an endpoint that receives
/// no requests cannot report that its limit is lifted.
pub const MAX_INTERVAL: Duration = Duration::from_secs(10);

/// Requests per second that an endpoint accepts from all daemons together: finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RateLimit(f64);

/// Why a value is not a rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InvalidRateLimit {
    /// Not a decimal number.
    NotANumber,
    /// Negative.
    Negative,
    /// Infinite or NaN.
    NotFinite,
    /// More than one value was given.
    Repeated,
}

impl RateLimit {
    /// Creates a limit from requests per second.
    pub fn new(per_second: f64) -> Result<RateLimit, InvalidRateLimit> {
        if !per_second.is_finite() {
            return Err(InvalidRateLimit::NotFinite);
        }
        if per_second < 0.0 {
            return Err(InvalidRateLimit::Negative);
        }
        Ok(RateLimit(per_second))
    }

    /// Parses the values of a header that may be given at most once.
    pub fn from_values<'a>(
        mut texts: impl Iterator<Item = &'a str>,
    ) -> Result<Option<RateLimit>, InvalidRateLimit> {
        let Some(text) = texts.next() else { return Ok(None) };
        if texts.next().is_some() {
            return Err(InvalidRateLimit::Repeated);
        }
        text.parse().map(Some)
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Interval between requests at this rate, at most `MAX_INTERVAL`.
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

/// Formats a limit for log fields; `-` if there is none.
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
