//! Observations of operators, callers and daemons, and the invariants on them.

use std::collections::{BTreeMap, BTreeSet};

use super::hall_observations::HallObservations;
use crate::{
    config::ContentHash,
    node::{ActiveConfig, CallId, NodeReply, Placement, TrialAnswer, VmName},
    once::ClaimResult,
    placement::{LoadSnapshot, Refusal},
    state::HallsOut,
    throttle::Permit,
    units::Instant,
};

/// An acceptance that was acknowledged to an operator.
#[derive(Debug, Clone, Copy)]
struct Acknowledged {
    at: Instant,
    version: u64,
}

/// Key and owner of a claim.
#[derive(Debug, Clone, Copy)]
struct Claimed {
    key: u8,
    owner: u64,
}

/// Observations during a test.
#[derive(Default)]
pub(crate) struct Observations {
    /// Hash of each version that was active or accepted anywhere.
    hashes: BTreeMap<u64, ContentHash>,
    /// Highest version that was active on each VM, across restarts.
    active: BTreeMap<VmName, u64>,
    /// Highest version whose acceptance was acknowledged.
    pub(crate) accepted: u64,
    /// Acknowledged acceptances, in order of time.
    acknowledged: Vec<Acknowledged>,
    /// Version of each submitted file.
    submitted: BTreeMap<CallId, u64>,
    claims: BTreeMap<CallId, Claimed>,
    /// Owners to which each key was granted.
    granted: BTreeMap<u8, BTreeSet<u64>>,
    /// Requests that were placed and have not finished.
    pub(crate) placed: Vec<CallId>,
    /// Placements of requests, in order.
    pub(crate) placements: Vec<Placement>,
    /// Error codes of requests that were not placed.
    pub(crate) rejected: Vec<&'static str>,
    /// Orders about data halls.
    pub(crate) halls: HallObservations,
    /// Results of reads of the data halls out of service.
    pub(crate) halls_read: Vec<Option<HallsOut>>,
    /// Decisions on trials of suspects.
    pub(crate) trials: BTreeMap<CallId, TrialAnswer>,
    /// Decisions on permit requests.
    pub(crate) permits: BTreeMap<CallId, Permit>,
    /// Whether each cleared request was a suspect.
    pub(crate) cleared: Vec<Option<bool>>,
    /// The last load that each VM has reported.
    pub(crate) loads: BTreeMap<VmName, LoadSnapshot>,
    /// Rejections for the log, with the VM that logs them and the entry.
    pub(crate) refused: Vec<(VmName, VmName, Refusal)>,
    /// How often a daemon has begun anew because another one had forgotten what it knew.
    pub(crate) sessions_renewed: u64,
    /// Calls that were answered.
    pub(crate) answered: BTreeSet<CallId>,
}

impl Observations {
    /// Records the version of a file before it is submitted.
    pub(super) fn record_submission(&mut self, call: CallId, version: u64) {
        self.submitted.insert(call, version);
    }

    /// Records a claim before it is sent.
    pub(super) fn record_claim(&mut self, call: CallId, key: u8, owner: u64) {
        self.claims.insert(call, Claimed { key, owner });
    }

    /// Checks a configuration that was activated on a VM: it is not older than the one before, and
    /// each version is one file.
    pub(super) fn check_activation(&mut self, vm: &VmName, active_config: &ActiveConfig) {
        let known = self.hashes.entry(active_config.version).or_insert(active_config.hash);
        assert_eq!(*known, active_config.hash, "two files active as one version");
        let highest = self.active.entry(vm.clone()).or_default();
        assert!(*highest <= active_config.version, "the active configuration reverted");
        *highest = active_config.version;
    }

    /// Checks that a version confirmed as of `at` includes all that was accepted before then.
    pub(super) fn check_confirmed(&self, vm: &VmName, active: u64, at: Instant) {
        let before = self.acknowledged.iter().take_while(|acknowledged| acknowledged.at < at);
        let newest = before.map(|acknowledged| acknowledged.version).max().unwrap_or_default();
        assert!(newest <= active, "{vm} has {active} confirmed after {newest} was accepted");
    }

    /// Checks and records a reply: each accepted version is one file, and each claim has one owner.
    pub(super) fn check_reply(&mut self, call: CallId, reply: NodeReply, now: Instant) {
        self.answered.insert(call);
        match reply {
            NodeReply::Submitted(Ok(accepted)) => {
                assert_eq!(accepted.version, self.submitted[&call], "another file was accepted");
                let hash = ContentHash::from_slice(&accepted.hash).unwrap();
                let known = self.hashes.entry(accepted.version).or_insert(hash);
                assert_eq!(*known, hash, "two files accepted as one version");
                self.accepted = self.accepted.max(accepted.current);
                let acknowledged = Acknowledged { at: now, version: accepted.current };
                self.acknowledged.push(acknowledged);
            }
            NodeReply::Claimed(Some(ClaimResult::Granted)) => {
                let Claimed { key, owner } = self.claims[&call];
                let owners = self.granted.entry(key).or_default();
                owners.insert(owner);
                assert!(owners.len() <= 1, "a claim was granted to two owners");
            }
            NodeReply::Trial(answer) => {
                self.trials.insert(call, answer);
            }
            NodeReply::Permit(permit) => {
                self.permits.insert(call, permit);
            }
            NodeReply::SuspectCleared(cleared) => self.cleared.push(cleared),
            NodeReply::HallChange(Some(result)) => self.halls.record_reply(call, result, now),
            NodeReply::HallsOut(halls) => self.halls_read.push(halls),
            NodeReply::Placed(Err(error)) => self.rejected.push(error.kind.answer().code),
            NodeReply::Placed(Ok(placement)) => {
                self.placed.push(call);
                self.placements.push(placement);
            }
            _ => {}
        }
    }
}
