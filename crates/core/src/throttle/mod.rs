//! Endpoints that name how many requests a second they take, from all daemons together.
//!
//! An endpoint in need says so in its answers, for as long as the need lasts.

mod limit;
#[cfg(test)]
mod limit_tests;

pub use self::limit::{BadLimit, RateLimit};
