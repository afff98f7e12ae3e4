//! What endpoints say of themselves in the heads of their answers.

use std::time::SystemTime;

use trayswitch_core::{backoff::RetryAfter, signals::EndpointSignals, throttle::RateLimit};
use ureq::Response;

/// How many requests a second it takes.
const LIMIT: &str = "X-Request-Limit";
/// Its state, where that is not the usual one.
const STATE: &str = "X-Endpoint-State";
/// The state of one that is about to end.
const LEAVING: &str = "leaving";
/// Statuses with which it may ask for back-off.
const OVERLOADED: [u16; 2] = [429, 503];

/// Reads the signals in an answer's head.
pub(super) fn read(response: &Response) -> EndpointSignals {
    let retry_after = if OVERLOADED.contains(&response.status()) {
        let values = response.all("Retry-After").into_iter();
        RetryAfter::from_values(values, response.header("Date"), SystemTime::now())
    } else {
        Ok(None)
    };
    EndpointSignals {
        limit: RateLimit::from_values(response.all(LIMIT).into_iter()),
        retry_after,
        leaving: Ok(response.header(STATE) == Some(LEAVING)),
        cold_for: Ok(None),
    }
}
