//! What endpoints say of themselves in the heads of their answers.

use std::time::SystemTime;

use http::{HeaderMap, HeaderValue, StatusCode, header};
use trayswitch_core::{backoff::RetryAfter, signals::EndpointSignals, throttle::RateLimit};

/// Its statement that it has not run a request.
pub(super) const NOT_RUN: &str = "X-Not-Run";
/// How many requests a second it takes.
const LIMIT: &str = "X-Request-Limit";
/// Its state, where that is not the usual one.
const STATE: &str = "X-Endpoint-State";
/// The state of one that is about to end.
const LEAVING: &str = "leaving";
/// Statuses with which it may ask for back-off.
const OVERLOADED: [u16; 2] = [429, 503];

/// Reads the signals in an answer's head.
pub(super) fn read_head(status: StatusCode, headers: &HeaderMap) -> EndpointSignals {
    let text = |value: &'_ HeaderValue| value.to_str().unwrap_or_default().to_owned();
    let first = |name: &str| headers.get(name).map(text);
    let all = |name: &str| headers.get_all(name).iter().map(text).collect::<Vec<String>>();
    let (date, state) = (first(header::DATE.as_str()), first(STATE));
    decode(status.as_u16(), date.as_deref(), state.as_deref(), all)
}

fn decode<T: AsRef<str>>(
    status: u16,
    date: Option<&str>,
    state: Option<&str>,
    all: impl Fn(&str) -> Vec<T>,
) -> EndpointSignals {
    let retry_after = if OVERLOADED.contains(&status) {
        let values = all("Retry-After");
        RetryAfter::from_values(values.iter().map(AsRef::as_ref), date, SystemTime::now())
    } else {
        Ok(None)
    };
    EndpointSignals {
        limit: RateLimit::from_values(all(LIMIT).iter().map(AsRef::as_ref)),
        retry_after,
        leaving: Ok(state == Some(LEAVING)),
        cold_for: Ok(None),
    }
}
