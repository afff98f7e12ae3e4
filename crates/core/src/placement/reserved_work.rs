//! Work that is promised to rejected requests that were told when to come back.

use crate::{config::EndpointTarget, units::Instant};

/// Work that admission must leave room for.
pub(crate) trait ReservedWork {
    /// Tokens of returning requests of this rank or better that are due before `until`.
    fn reserved(&self, target: &EndpointTarget, rank: u64, until: Instant) -> f64;
}

/// No request was told to come back.
#[cfg(test)]
pub(crate) struct NothingReserved;

#[cfg(test)]
impl ReservedWork for NothingReserved {
    fn reserved(&self, _target: &EndpointTarget, _rank: u64, _until: Instant) -> f64 {
        0.0
    }
}
