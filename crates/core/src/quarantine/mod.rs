//! Requests that endpoints end under.
//!
//! An endpoint that ends takes all with it that runs there, so its end says little of one request.
//! A request that has been at several ends says more, and most where it ran again under watch: as the
//! only try of it anywhere, and with as little beside it as can be. Such a run is a *trial*.
//!
//! - [`RequestDigest`] names a request, whichever try and whichever daemon it comes through;
//! - [`SuspectTable`] is what the control VMs agree on: under which requests endpoints have ended;
//! - [`SuspectCache`] is a daemon's copy of it;
//! - [`TrialQueue`] lets one try of a suspect run at a time, on the leader.

mod digest;
#[cfg(test)]
mod digest_tests;
mod errors;
mod suspect_cache;
mod suspect_record;
mod suspect_table;
#[cfg(test)]
mod suspect_table_tests;
mod trial_queue;
#[cfg(test)]
mod trial_queue_tests;

pub use self::{
    digest::{DigestKey, RequestDigest, RequestIdentity},
    errors::{MAX_TRIAL_WAIT, quarantined, trial_wait_expired},
    suspect_record::{CrashCounts, CrashedRun},
    suspect_table::{ClearRequest, CrashReport, Suspect, SuspectTable, SuspectUpdate},
};
pub(crate) use self::{
    suspect_cache::SuspectCache,
    suspect_table::{EncodedSuspectTable, SuspectCacheState},
    trial_queue::{AttemptId, TrialDecision, TrialQueue},
};
