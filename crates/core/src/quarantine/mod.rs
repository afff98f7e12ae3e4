//! Requests that endpoints end under.
//!
//! An endpoint that ends takes all with it that runs there, so its end says little of one request.
//! A request that has been at several ends says more, and most where it ran again under watch: as the
//! only try of it anywhere, and with as little beside it as can be. Such a run is a *trial*.
//!
//! - [`RequestDigest`] names a request, whichever try and whichever daemon it comes through;
//! - [`Records`] is what the control VMs agree on: under which requests endpoints have ended;
//! - [`Known`] is a daemon's copy of it;
//! - [`Trials`] lets one try of a suspect run at a time, on the leader.

mod digest;
#[cfg(test)]
mod digest_tests;
mod known;
mod record;
mod records;
#[cfg(test)]
mod records_tests;
mod trials;
#[cfg(test)]
mod trials_tests;
mod turn;

pub use self::{
    digest::{DigestKey, RequestDigest, RequestIdentity},
    record::{EndedRun, Standing},
    records::{Change, ClearRequest, EndedUnder, Records, Suspect},
    turn::{PATIENCE, no_turn, quarantined},
};
pub(crate) use self::{
    known::Known,
    records::{CopyState, EncodedRecords},
    trials::{Asker, Permission, Trials},
};
