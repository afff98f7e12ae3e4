//! Rate limits that endpoints report for the requests of all daemons together.
//!
//! An overloaded endpoint names a limit in its responses until it recovers. [`Throttle`] stores
//! these limits and paces the requests to each endpoint. The scheduler shared by all daemons has
//! one and counts the requests that it places; its [`PermitQueue`] grants permits for requests that
//! daemons send without it, so that both draw on the same limit. A daemon that cannot reach a
//! scheduler uses its own [`Throttle`] with its share of each limit.

mod limit;
#[cfg(test)]
mod limit_tests;
mod pacer;
#[cfg(test)]
mod pacer_tests;
mod queue;
#[cfg(test)]
mod queue_tests;
mod report;
mod table;
#[cfg(test)]
mod table_tests;

pub use self::{
    limit::{InvalidRateLimit, RateLimit, describe_limit},
    queue::{Permit, PermitQueue, PermitRequest},
    report::RateLimitReport,
    table::{LimitChange, Throttle},
};
