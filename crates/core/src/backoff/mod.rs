//! Endpoints that reject requests and ask for back-off.
//!
//! An endpoint that rejects a request may say for how long it wants nothing from the daemon that sent it. That
//! daemon keeps to it ([`BackoffTable::backs_off_until`]), whoever chooses where its requests go. To all other daemons the
//! endpoint is the last resort for that time: what one of them is told likely holds for the next as well. Once
//! the time is over the endpoint is not sent everything at once: one request that is not answered yet, then two, and so on.

mod circuit;
#[cfg(test)]
mod circuit_tests;
mod refusals;
mod rejection;
mod retry_after;
#[cfg(test)]
mod retry_after_tests;
mod table;
#[cfg(test)]
mod table_tests;

pub use self::{
    refusals::RetrySpreader,
    rejection::Rejection,
    retry_after::{InvalidRetryAfter, MAX_BACKOFF, RetryAfter},
    table::{Admission, BackoffTable, LOCAL_DAEMON},
};
