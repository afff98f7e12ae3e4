//! Measurements of what daemons make of endpoints that reject requests and ask for back-off.

mod play;
#[cfg(test)]
mod play_tests;
mod ways;

pub(crate) use self::play::compare;
