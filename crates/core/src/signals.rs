//! What endpoints say of themselves in the heads of their answers, whatever was asked.

use std::{fmt, time::Duration};

use crate::{
    backoff::{InvalidRetryAfter, RetryAfter},
    throttle::{InvalidRateLimit, RateLimit, describe_limit},
};

/// What an endpoint says of itself in the head of an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointSignals {
    /// How many requests a second it takes from all daemons together.
    pub limit: Result<Option<RateLimit>, InvalidRateLimit>,
    /// How long it wants nothing from this daemon, where it rejects a request.
    pub retry_after: Result<Option<RetryAfter>, InvalidRetryAfter>,
    /// Whether it is about to end.
    pub leaving: Result<bool, InvalidFlag>,
    /// For how much longer it is slow after its start.
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

/// A text that is no whole number of milliseconds.
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
    /// The limit that it names, as lines of the log tell it.
    pub fn describe_limit(&self) -> String {
        describe_limit(self.limit.ok().flatten())
    }

    /// The back-off that it asks for in milliseconds, as lines of the log tell it.
    pub fn describe_backoff(&self) -> String {
        let backoff = self.backoff();
        backoff.map_or_else(|| "-".to_owned(), |backoff| backoff.as_millis().to_string())
    }

    /// The back-off that it asks for.
    pub fn backoff(&self) -> Option<Duration> {
        self.retry_after.ok().flatten().map(RetryAfter::duration)
    }

    /// Whether it says that it is about to end.
    pub fn is_leaving(&self) -> bool {
        self.leaving.unwrap_or_default()
    }
}
