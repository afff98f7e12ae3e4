//! Measurements of how requests are handled that endpoints end under.

mod cost;
mod ways;
#[cfg(test)]
mod ways_tests;

pub(crate) use self::{cost::costs, ways::ends};
