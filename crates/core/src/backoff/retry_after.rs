//! Parsing of the `Retry-After` header.

use std::{
    fmt,
    time::{Duration, SystemTime},
};

/// Longest back-off that is honoured, so that an endpoint which names an excessive time by mistake
/// is retried.
pub const MAX_BACKOFF: Duration = Duration::from_secs(300);

/// Back-off that an endpoint requests, at most [`MAX_BACKOFF`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetryAfter(Duration);

/// Why a value is not a valid `Retry-After`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InvalidRetryAfter {
    /// Neither a decimal number of seconds nor an HTTP date.
    InvalidFormat,
    /// Negative.
    Negative,
    /// Infinite or NaN.
    NotFinite,
    /// More than one value was given.
    Repeated,
}

impl RetryAfter {
    /// Limits a time to [`MAX_BACKOFF`].
    pub fn new(time: Duration) -> RetryAfter {
        RetryAfter(time.min(MAX_BACKOFF))
    }

    /// Parses the values of the header, which may be given at most once: seconds with optional
    /// fractions, or an HTTP date (RFC 9110, section 10.2.3). A date is relative to the response's
    /// `Date` header if it has one, since clocks may differ, or else to `now`.
    pub fn from_values<'a>(
        mut values: impl Iterator<Item = &'a str>,
        response_date: Option<&str>,
        now: SystemTime,
    ) -> Result<Option<RetryAfter>, InvalidRetryAfter> {
        let Some(text) = values.next() else { return Ok(None) };
        if values.next().is_some() {
            return Err(InvalidRetryAfter::Repeated);
        }
        let text = text.trim();
        if let Ok(date) = httpdate::parse_http_date(text) {
            let response_date = response_date.and_then(|text| httpdate::parse_http_date(text).ok());
            let remaining = date.duration_since(response_date.unwrap_or(now));
            return Ok(Some(RetryAfter::new(remaining.unwrap_or_default())));
        }
        from_seconds(text.parse().map_err(|_| InvalidRetryAfter::InvalidFormat)?).map(Some)
    }

    /// The back-off.
    pub fn duration(self) -> Duration {
        self.0
    }
}

fn from_seconds(seconds: f64) -> Result<RetryAfter, InvalidRetryAfter> {
    if !seconds.is_finite() {
        return Err(InvalidRetryAfter::NotFinite);
    }
    if seconds < 0.0 {
        return Err(InvalidRetryAfter::Negative);
    }
    Ok(RetryAfter::new(Duration::try_from_secs_f64(seconds).unwrap_or(MAX_BACKOFF)))
}

impl fmt::Display for InvalidRetryAfter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            InvalidRetryAfter::InvalidFormat => {
                "it is neither a number of seconds nor an HTTP date"
            }
            InvalidRetryAfter::Negative => "it is below zero",
            InvalidRetryAfter::NotFinite => "it is not finite",
            InvalidRetryAfter::Repeated => "it is given more than once",
        })
    }
}
