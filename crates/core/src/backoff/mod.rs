//! Back-off from endpoints that reject requests.
//!
//! A rejection may name a time for which the daemon that sent the request must back off. That
//! daemon sends nothing until then ([`BackoffTable::backoff_until`]), wherever its requests are
//! placed. Other daemons use the endpoint only as a last resort for that time, since they would
//! likely be rejected as well. After the back-off the number of unanswered requests is limited: one
//! at first, doubled with each answer.

mod circuit;
#[cfg(test)]
mod circuit_tests;
mod rejection;
mod retry_after;
#[cfg(test)]
mod retry_after_tests;
mod retry_spreader;
mod table;
#[cfg(test)]
mod table_tests;

pub use self::{
    rejection::Rejection,
    retry_after::{InvalidRetryAfter, MAX_BACKOFF, RetryAfter},
    retry_spreader::RetrySpreader,
    table::{Admission, BackoffTable, LOCAL_DAEMON},
};
