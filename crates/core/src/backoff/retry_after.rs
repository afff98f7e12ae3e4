//! The time that an endpoint names in `Retry-After`.

use std::{
    fmt,
    time::{Duration, SystemTime},
};

/// Longest back-off that is believed. After it one request asks again, so that an endpoint which names years
/// by mistake is not lost until it restarts.
pub const MAX_BACKOFF: Duration = Duration::from_secs(300);

/// How long an endpoint wants nothing from the daemon that it answers: [`MAX_BACKOFF`] at most.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetryAfter(Duration);

/// Why a text is no [`RetryAfter`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InvalidRetryAfter {
    /// It is neither a decimal number of seconds nor an HTTP date.
    InvalidFormat,
    /// It is below zero.
    Negative,
    /// It is infinite or not a number.
    NotFinite,
    /// It is given more than once.
    Repeated,
}

impl RetryAfter {
    /// This time, or the longest that is believed.
    pub fn new(time: Duration) -> RetryAfter {
        RetryAfter(time.min(MAX_BACKOFF))
    }

    /// The only value among these, if there is any: seconds, fractions included, or an HTTP date (RFC 9110,
    /// section 10.2.3). A date counts from the answer's own `Date`, since the clocks of both sides may differ,
    /// or else from now.
    pub fn from_values<'a>(
        mut values: impl Iterator<Item = &'a str>,
        answered: Option<&str>,
        now: SystemTime,
    ) -> Result<Option<RetryAfter>, InvalidRetryAfter> {
        let Some(text) = values.next() else { return Ok(None) };
        if values.next().is_some() {
            return Err(InvalidRetryAfter::Repeated);
        }
        let text = text.trim();
        if let Ok(date) = httpdate::parse_http_date(text) {
            let answered = answered.and_then(|text| httpdate::parse_http_date(text).ok());
            let left = date.duration_since(answered.unwrap_or(now));
            return Ok(Some(RetryAfter::new(left.unwrap_or_default())));
        }
        from_seconds(text.parse().map_err(|_| InvalidRetryAfter::InvalidFormat)?).map(Some)
    }

    /// The time itself.
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
