//! Anti-entropy of the endpoint registry between a daemon and the control VMs that it subscribes to.
//!
//! A control VM answers a subscription with a digest of what it would send. The daemon fetches the
//! parts that differ, a few at a time and from one control VM after the other, so that it fetches
//! each part only once.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use super::{ByVm, Outbox, VmName};
use crate::{
    registry::{BUCKETS, RegistryDigest},
    units::Instant,
    wire::{Body, EndpointDigest, EndpointsWanted},
};

/// Maximum number of unanswered requests for parts.
const MAX_REQUESTS_IN_FLIGHT: usize = 4;
/// Endpoints that one request asks for, about 6 kB.
const ENDPOINTS_PER_REQUEST: usize = 48;
/// Delay before digests are compared, in which those of the other control VMs come.
const DIGEST_SETTLE_TIME: Duration = Duration::from_millis(5);
/// Time without a part after which another control VM is tried. Several times what a busy control
/// VM takes.
const PART_TIMEOUT: Duration = Duration::from_millis(500);

/// A fetch of parts from one control VM.
#[derive(Debug)]
struct PartFetch {
    from: VmName,
    /// Parts that were not requested yet.
    remaining: VecDeque<usize>,
    /// Parts that were requested and not received yet.
    in_flight: BTreeSet<usize>,
    parts_per_request: usize,
    requests_in_flight: usize,
    last_received: Instant,
}

/// Digest of a control VM.
#[derive(Debug)]
struct PeerDigest {
    digest: RegistryDigest,
    endpoints: usize,
}

/// Synchronization of a daemon's registry with the control VMs that it subscribes to.
#[derive(Debug, Default)]
pub(super) struct EndpointSync {
    /// The last digest of each control VM.
    digests: ByVm<PeerDigest>,
    /// Control VMs whose digest was not compared yet.
    uncompared: BTreeSet<VmName>,
    fetch: Option<PartFetch>,
    /// When the next control VM is chosen.
    next_choice: Option<Instant>,
    /// Parts that were received.
    updated_parts: BTreeSet<usize>,
    /// Timeouts of each control VM since its link came up.
    timeouts: ByVm<u32>,
}

impl EndpointSync {
    /// Stores the digest of a control VM. One with another number of parts is of another release and
    /// cannot be compared; changes still arrive as news.
    pub(super) fn on_digest(&mut self, vm: &VmName, digest: EndpointDigest, now: Instant) {
        let EndpointDigest { sums, endpoints } = digest;
        let Some(digest) = RegistryDigest::from_sums(sums) else { return };
        let endpoints = endpoints as usize;
        self.digests.insert(vm.clone(), PeerDigest { digest, endpoints });
        self.uncompared.insert(vm.clone());
        if self.fetch.is_none() {
            self.next_choice.get_or_insert(now.after(DIGEST_SETTLE_TIME));
        }
    }

    /// Drops the state of a control VM that this daemon does not subscribe to any more.
    pub(super) fn remove(&mut self, vm: &VmName, now: Instant) {
        self.digests.remove(vm);
        self.uncompared.remove(vm);
        self.timeouts.remove(vm);
        if self.fetch.take_if(|fetch| fetch.from == *vm).is_some() {
            self.next_choice = Some(now);
        }
    }

    /// Drops all digests, since this daemon asks for another sample. Their senders send new ones.
    pub(super) fn on_sample_change(&mut self) {
        self.digests.clear();
        self.uncompared.clear();
        self.fetch = None;
        self.next_choice = None;
    }

    /// Whether all digests were compared and all parts received.
    pub(super) fn is_idle(&self) -> bool {
        self.fetch.is_none() && self.next_choice.is_none()
    }

    /// Records received parts and requests the next.
    pub(super) fn on_parts(
        &mut self,
        from: &VmName,
        parts: &[u64],
        now: Instant,
        out: &mut Outbox,
    ) {
        self.updated_parts.extend(parts.iter().map(|part| *part as usize));
        let Some(fetch) = self.fetch.as_mut().filter(|fetch| fetch.from == *from) else {
            return;
        };
        for part in parts {
            fetch.in_flight.remove(&(*part as usize));
        }
        fetch.requests_in_flight = fetch.requests_in_flight.saturating_sub(1);
        fetch.last_received = now;
        fetch.request_parts(out);
        if fetch.in_flight.is_empty() {
            self.fetch = None;
            self.next_choice = Some(now);
        }
    }

    /// Time at which [`EndpointSync::tick`] is next needed.
    pub(super) fn next_tick(&self) -> Option<Instant> {
        let timeout = self.fetch.as_ref().map(|fetch| fetch.last_received.after(PART_TIMEOUT));
        timeout.or(self.next_choice)
    }

    /// Starts a fetch from the next control VM whose digest differs, those with the lowest
    /// `preference` first.
    pub(super) fn tick<K: Ord>(
        &mut self,
        digest: impl FnOnce() -> RegistryDigest,
        preference: impl Fn(&VmName) -> K,
        now: Instant,
        out: &mut Outbox,
    ) {
        if self.next_tick().is_none_or(|due| now < due) {
            return;
        }
        if let Some(timed_out) = self.fetch.take() {
            *self.timeouts.entry(timed_out.from.clone()).or_default() += 1;
            self.uncompared.insert(timed_out.from);
        }
        self.next_choice = None;
        let digest = digest();
        let mut candidates: Vec<VmName> =
            std::mem::take(&mut self.uncompared).into_iter().collect();
        candidates.sort_by_cached_key(|vm| {
            (self.timeouts.get(vm).copied().unwrap_or_default(), preference(vm))
        });
        let mut candidates = candidates.into_iter();
        for vm in candidates.by_ref() {
            let Some(theirs) = self.digests.get(&vm) else { continue };
            let remaining: VecDeque<usize> = theirs.digest.differing_buckets(&digest).collect();
            if remaining.is_empty() {
                continue;
            }
            let per_request = ENDPOINTS_PER_REQUEST * BUCKETS / theirs.endpoints.max(1);
            let mut fetch = PartFetch {
                from: vm,
                remaining,
                in_flight: BTreeSet::new(),
                parts_per_request: per_request.clamp(1, BUCKETS),
                requests_in_flight: 0,
                last_received: now,
            };
            fetch.request_parts(out);
            self.fetch = Some(fetch);
            break;
        }
        self.uncompared = candidates.collect();
    }

    /// Returns the received parts in which the leader's digest differs, once all control VMs are
    /// compared.
    pub(super) fn take_parts_unknown_to(
        &mut self,
        leader: &VmName,
        digest: impl FnOnce() -> RegistryDigest,
    ) -> Vec<usize> {
        if self.updated_parts.is_empty() || !self.is_idle() {
            return Vec::new();
        }
        let Some(known) = self.digests.get(leader) else { return Vec::new() };
        let differing: BTreeSet<usize> = known.digest.differing_buckets(&digest()).collect();
        let updated = std::mem::take(&mut self.updated_parts);
        updated.intersection(&differing).copied().collect()
    }
}

impl PartFetch {
    /// Requests parts up to the limit in flight.
    fn request_parts(&mut self, out: &mut Outbox) {
        while self.requests_in_flight < MAX_REQUESTS_IN_FLIGHT && !self.remaining.is_empty() {
            let count = self.parts_per_request.min(self.remaining.len());
            let parts: Vec<usize> = self.remaining.drain(..count).collect();
            self.requests_in_flight += 1;
            self.in_flight.extend(&parts);
            let parts = parts.into_iter().map(|part| part as u64).collect();
            out.send(&self.from, Body::EndpointsWanted(EndpointsWanted { parts }));
        }
    }
}
