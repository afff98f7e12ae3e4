//! State that endpoints report in response headers, whatever the request.

use std::{fmt, time::Duration};

use crate::{
    backoff::{InvalidRetryAfter, RetryAfter},
    throttle::{InvalidRateLimit, RateLimit, describe_limit},
};

/// Time within which daemons learn that an endpoint has restarted: one that hears no control VM for
/// longer sends nothing. A response does not name the run that sent it, so what was read within this
/// time before the news may come from the new run.
pub(crate) const RESTART_NEWS_DELAY: Duration = Duration::from_secs(5);

/// State that an endpoint reports in the headers of a response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointSignals {
    /// Rate limit for the requests of all daemons together.
    pub limit: Result<Option<RateLimit>, InvalidRateLimit>,
    /// Back-off requested by a rejection.
    pub retry_after: Result<Option<RetryAfter>, InvalidRetryAfter>,
    /// Whether the endpoint is about to end.
    pub leaving: Result<bool, InvalidFlag>,
    /// Remaining time for which the endpoint is slow after its start.
    pub cold_for: Result<Option<Duration>, InvalidMillis>,
}

impl Default for EndpointSignals {
    fn default() -> EndpointSignals {
        EndpointSignals {
            limit: Ok(None),
            retry_after: Ok(None),
            leaving: Ok(false),
            cold_for: Ok(None),
        }
    }
}

/// A flag that is neither `1` nor `0`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidFlag;

/// A value that is not a whole number of milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidMillis;

impl fmt::Display for InvalidFlag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("it is neither 1 nor 0")
    }
}

impl fmt::Display for InvalidMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("it is no whole number of milliseconds")
    }
}

impl EndpointSignals {
    /// Formats the rate limit for log fields; `-` if there is none.
    pub fn describe_limit(&self) -> String {
        describe_limit(self.limit.ok().flatten())
    }

    /// Formats the back-off in milliseconds for log fields; `-` if there is none.
    pub fn describe_backoff(&self) -> String {
        let backoff = self.backoff();
        backoff.map_or_else(|| "-".to_owned(), |backoff| backoff.as_millis().to_string())
    }

    /// The requested back-off, if any.
    pub fn backoff(&self) -> Option<Duration> {
        self.retry_after.ok().flatten().map(RetryAfter::duration)
    }

    /// Whether the endpoint reports that it is about to end.
    pub fn is_leaving(&self) -> bool {
        self.leaving.unwrap_or_default()
    }
}
