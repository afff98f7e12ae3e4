//! Measurements of how requests are handled that endpoints end under.

mod cost;
mod parts;
#[cfg(test)]
mod parts_tests;
mod ways;
#[cfg(test)]
mod ways_tests;

pub(crate) use self::{cost::costs, parts::outcomes, ways::ends};
