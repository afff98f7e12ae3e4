//! The time that an endpoint names in `Retry-After`.

use std::{
    fmt,
    time::{Duration, SystemTime},
};

/// Longest back-off that is believed. After it one request asks again, so that an endpoint which names years
/// by mistake is not lost until it restarts.
pub const LONGEST_BACKOFF: Duration = Duration::from_secs(300);

/// How long an endpoint wants nothing from the daemon that it answers: [`LONGEST_BACKOFF`] at most.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetryAfter(Duration);

/// Why a text is no [`RetryAfter`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BadRetryAfter {
    /// It is neither a decimal number of seconds nor an HTTP date.
    NotATime,
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
        RetryAfter(time.min(LONGEST_BACKOFF))
    }

    /// The only value among these, if there is any: seconds, fractions included, or an HTTP date (RFC 9110,
    /// section 10.2.3). A date counts from the answer's own `Date`, since the clocks of both sides may differ,
    /// or else from now.
    pub fn read<'a>(
        mut values: impl Iterator<Item = &'a str>,
        answered: Option<&str>,
        now: SystemTime,
    ) -> Result<Option<RetryAfter>, BadRetryAfter> {
        let Some(text) = values.next() else { return Ok(None) };
        if values.next().is_some() {
            return Err(BadRetryAfter::Repeated);
        }
        let text = text.trim();
        if let Ok(date) = httpdate::parse_http_date(text) {
            let answered = answered.and_then(|text| httpdate::parse_http_date(text).ok());
            let left = date.duration_since(answered.unwrap_or(now));
            return Ok(Some(RetryAfter::new(left.unwrap_or_default())));
        }
        from_seconds(text.parse().map_err(|_| BadRetryAfter::NotATime)?).map(Some)
    }

    /// The time itself.
    pub fn time(self) -> Duration {
        self.0
    }
}

fn from_seconds(seconds: f64) -> Result<RetryAfter, BadRetryAfter> {
    if !seconds.is_finite() {
        return Err(BadRetryAfter::NotFinite);
    }
    if seconds < 0.0 {
        return Err(BadRetryAfter::Negative);
    }
    Ok(RetryAfter::new(Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST_BACKOFF)))
}

impl fmt::Display for BadRetryAfter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BadRetryAfter::NotATime => "it is neither a number of seconds nor an HTTP date",
            BadRetryAfter::Negative => "it is below zero",
            BadRetryAfter::NotFinite => "it is not finite",
            BadRetryAfter::Repeated => "it is given more than once",
        })
    }
}
