//! Measurements of how endpoints are sent what they say they take, by who keeps the count.

mod play;
mod ways;
#[cfg(test)]
mod ways_tests;

pub(crate) use self::play::compare;
