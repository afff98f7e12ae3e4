//! What the outside world has seen of the nodes, and the checks on it.

use std::collections::{BTreeMap, BTreeSet};

use super::hall_observations::HallObservations;
use crate::{
    config::ContentHash,
    node::{ActiveConfig, CallId, NodeReply, Placement, TrialAnswer, VmName},
    once::ClaimResult,
    state::HallsOut,
    throttle::Permit,
    units::Instant,
};

/// A version that an operator was told is accepted.
#[derive(Debug, Clone, Copy)]
struct Acknowledged {
    at: Instant,
    version: u64,
}

/// The key of a claim and who asked for it.
#[derive(Debug, Clone, Copy)]
struct Claimed {
    key: u8,
    owner: u64,
}

/// What the outside world has seen.
#[derive(Default)]
pub(crate) struct Observations {
    /// Hash of each version that was in force or accepted anywhere.
    hashes: BTreeMap<u64, ContentHash>,
    /// The highest version in force on each VM, over all its runs.
    in_force: BTreeMap<VmName, u64>,
    /// The highest version that any operator was told is accepted.
    pub(crate) accepted: u64,
    /// When each of these was told, in the order of time.
    acknowledged: Vec<Acknowledged>,
    /// The version of each file that was submitted.
    submitted: BTreeMap<CallId, u64>,
    /// What each claim asked for.
    claims: BTreeMap<CallId, Claimed>,
    /// Owners that were granted each key.
    granted: BTreeMap<u8, BTreeSet<u64>>,
    /// Requests that were placed and have not been finished.
    pub(crate) placed: Vec<CallId>,
    /// Where requests were placed.
    pub(crate) placements: Vec<Placement>,
    /// Codes of the errors of requests that were not placed.
    pub(crate) refused: Vec<&'static str>,
    /// Orders about data halls.
    pub(crate) halls: HallObservations,
    /// What those who asked were told to be out of service.
    pub(crate) halls_read: Vec<Option<HallsOut>>,
    /// What tries of suspects were told.
    pub(crate) trials: BTreeMap<CallId, TrialAnswer>,
    /// What requests for permits were told.
    pub(crate) permits: BTreeMap<CallId, Permit>,
    /// Whether those were suspects that operators have cleared.
    pub(crate) cleared: Vec<Option<bool>>,
    /// Questions that were answered.
    pub(crate) answered: BTreeSet<CallId>,
}

impl Observations {
    /// Notes the version of a file before it is submitted.
    pub(super) fn record_submission(&mut self, call: CallId, version: u64) {
        self.submitted.insert(call, version);
    }

    /// Notes what a claim asks for, before it is asked.
    pub(super) fn record_claim(&mut self, call: CallId, key: u8, owner: u64) {
        self.claims.insert(call, Claimed { key, owner });
    }

    /// Checks a configuration that has come into force on a VM: it is no older than the one
    /// before, and every version is one file.
    pub(super) fn check_in_force(&mut self, vm: &VmName, active_config: &ActiveConfig) {
        let known = self.hashes.entry(active_config.version).or_insert(active_config.hash);
        assert_eq!(*known, active_config.hash, "two files in force as one version");
        let highest = self.in_force.entry(vm.clone()).or_default();
        assert!(*highest <= active_config.version, "the configuration in force reverted");
        *highest = active_config.version;
    }

    /// Checks the version in force on a VM that takes it for confirmed as of `at`: it covers
    /// all that was accepted before the VM asked; the daemon may have been frozen or cut off
    /// since.
    pub(super) fn check_confirmed(&self, vm: &VmName, in_force: u64, at: Instant) {
        let before = self.acknowledged.iter().take_while(|told| told.at < at);
        let newest = before.map(|told| told.version).max().unwrap_or_default();
        assert!(newest <= in_force, "{vm} has {in_force} confirmed after {newest} was accepted");
    }

    /// Checks an answer: every accepted version is one file, and a claim has one owner.
    pub(super) fn check_answer(&mut self, call: CallId, answer: NodeReply, now: Instant) {
        self.answered.insert(call);
        match answer {
            NodeReply::Submitted(Ok(accepted)) => {
                assert_eq!(accepted.version, self.submitted[&call], "another file was accepted");
                let hash = ContentHash::from_slice(&accepted.hash).unwrap();
                let known = self.hashes.entry(accepted.version).or_insert(hash);
                assert_eq!(*known, hash, "two files accepted as one version");
                self.accepted = self.accepted.max(accepted.current);
                let told = Acknowledged { at: now, version: accepted.current };
                self.acknowledged.push(told);
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
            NodeReply::Placed(Err(error)) => self.refused.push(error.kind.answer().code),
            NodeReply::Placed(Ok(placement)) => {
                self.placed.push(call);
                self.placements.push(placement);
            }
            _ => {}
        }
    }
}
