//! Endpoints that name how many requests a second they take, from all daemons together.
//!
//! An endpoint in need says so in its answers, for as long as the need lasts. A [`Throttle`] knows these limits
//! and when each endpoint may be sent the next request. The scheduler of all daemons has one, and counts what
//! it places itself; a [`PermitQueue`] beside it gives permits for what daemons send without it. So one place counts
//! the whole. A daemon that reaches no scheduler has both of its own, and keeps to a share.

mod limit;
#[cfg(test)]
mod limit_tests;
mod queue;
#[cfg(test)]
mod queue_tests;
mod report;
mod table;
#[cfg(test)]
mod table_tests;
mod turns;
#[cfg(test)]
mod turns_tests;

pub use self::{
    limit::{InvalidRateLimit, RateLimit, describe_limit},
    queue::{Permit, PermitQueue, PermitRequest},
    report::RateLimitReport,
    table::{LimitChange, Throttle},
};
