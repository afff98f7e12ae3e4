//! Quarantine of requests that are suspected of crashing endpoints.
//!
//! A crash interrupts every request that runs on the endpoint, so one crash says little about a
//! single request. A request that was running during several crashes is more suspect, most of all
//! if it was retried in a *trial*: as its only attempt anywhere and, if needed, isolated from other
//! requests. The cause may also be a part of the prompt that many different requests share. So
//! crashes are counted against *contents*: the whole request, and each part of a prompt that had not
//! begun to be answered. A request that is answered well clears its contents.
//!
//! - [`ContentDigest`] identifies a request, or a part of its prompt, across attempts and daemons;
//! - [`SuspectTable`] is the replicated table of suspects and their crashes;
//! - [`Verdict`] says how a request may be sent, by the crashes of its contents;
//! - `SuspectCache` is a daemon's copy of it;
//! - `TrialQueue` runs on the leader and serializes the attempts of each suspect.

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
mod verdict;
#[cfg(test)]
mod verdict_tests;

pub use self::{
    digest::{ContentDigest, ContentKind, DigestKey, PromptPart, RequestIdentity},
    errors::{MAX_TRIAL_WAIT, quarantined, trial_wait_expired},
    suspect_record::{CrashCounts, CrashedRun},
    suspect_table::{ClearRequest, CrashReport, Suspect, SuspectTable, SuspectUpdate},
    verdict::Verdict,
};
pub(crate) use self::{
    suspect_cache::SuspectCache,
    suspect_table::{EncodedSuspectTable, SuspectCacheState},
    trial_queue::{AttemptId, Trial, TrialDecision, TrialQueue},
    verdict::CrashHistory,
};
