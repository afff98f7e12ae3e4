//! Endpoints that reject requests and ask for back-off.
//!
//! An endpoint that rejects a request may say for how long it wants nothing from the daemon that sent it.

mod retry_after;
#[cfg(test)]
mod retry_after_tests;

pub use self::retry_after::{BadRetryAfter, LONGEST_BACKOFF, RetryAfter};
