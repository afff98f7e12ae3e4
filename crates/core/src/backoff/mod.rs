//! Endpoints that reject requests and ask for back-off.
//!
//! An endpoint that rejects a request may say for how long it wants nothing from the daemon that sent it. That
//! daemon keeps to it ([`BackoffTable::backoff_until`]), whoever chooses where its requests go. To all other daemons the
//! endpoint is the last resort for that time: what one of them is told likely holds for the next as well. Once
//! the time is over the endpoint is not sent everything at once: one request that is not answered yet, then two, and so on.

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
