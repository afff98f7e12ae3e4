//! Anti-entropy of the endpoint registry between a daemon and the control VMs that it links to.
//!
//! When a link comes up, the control VM sends a digest of its registry. The daemon fetches the parts
//! that differ, a few at a time and from one control VM after the other, so that it fetches each part
//! only once. Each daemon starts with another control VM, which spreads the load when many daemons
//! restart at the same time.

use std::{
    collections::{BTreeSet, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use super::{ByVm, Outbox, VmName};
use crate::{
    registry::RegistryDigest,
    units::Instant,
    wire::{Body, EndpointsWanted},
};

/// Maximum number of requested parts; 25 kB at 3,000 endpoints.
const MAX_PARTS_IN_FLIGHT: usize = 4;
/// Delay before a control VM is chosen, in which the links to the others come up.
const LINK_SETTLE_TIME: Duration = Duration::from_millis(20);
/// Time without a part after which another control VM is tried.
const PART_TIMEOUT: Duration = Duration::from_millis(500);

/// A fetch of parts from one control VM.
#[derive(Debug)]
struct PartFetch {
    from: VmName,
    /// Parts that were not requested yet.
    remaining: VecDeque<usize>,
    /// Parts that were requested and not received yet.
    in_flight: BTreeSet<usize>,
    last_received: Instant,
}

/// Synchronization of a daemon's registry with the control VMs that it has links to.
#[derive(Debug, Default)]
pub(super) struct EndpointSync {
    /// Digest of each control VM when its link came up.
    digests: ByVm<RegistryDigest>,
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
    /// Stores the digest of a control VM.
    pub(super) fn on_digest(&mut self, vm: &VmName, digest: RegistryDigest, now: Instant) {
        self.digests.insert(vm.clone(), digest);
        self.uncompared.insert(vm.clone());
        if self.fetch.is_none() {
            self.next_choice.get_or_insert(now.after(LINK_SETTLE_TIME));
        }
    }

    /// Drops the state of a control VM whose link is down.
    pub(super) fn link_down(&mut self, vm: &VmName, now: Instant) {
        self.digests.remove(vm);
        self.uncompared.remove(vm);
        self.timeouts.remove(vm);
        if self.fetch.take_if(|fetch| fetch.from == *vm).is_some() {
            self.next_choice = Some(now);
        }
    }

    /// Records a received part and requests the next.
    pub(super) fn on_part(&mut self, from: &VmName, part: usize, now: Instant, out: &mut Outbox) {
        self.updated_parts.insert(part);
        let Some(fetch) = self.fetch.as_mut().filter(|fetch| fetch.from == *from) else {
            return;
        };
        fetch.in_flight.remove(&part);
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

    /// Starts a fetch from the next control VM whose digest differs.
    pub(super) fn tick(
        &mut self,
        own_vm: &VmName,
        digest: &RegistryDigest,
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
        let mut candidates: Vec<VmName> =
            std::mem::take(&mut self.uncompared).into_iter().collect();
        candidates.sort_by_cached_key(|vm| {
            let mut hasher = DefaultHasher::new();
            (own_vm, vm).hash(&mut hasher);
            (self.timeouts.get(vm).copied().unwrap_or_default(), hasher.finish())
        });
        let mut candidates = candidates.into_iter();
        for vm in candidates.by_ref() {
            let Some(theirs) = self.digests.get(&vm) else { continue };
            let remaining: VecDeque<usize> = theirs.differing_buckets(digest).collect();
            if remaining.is_empty() {
                continue;
            }
            let mut fetch =
                PartFetch { from: vm, remaining, in_flight: BTreeSet::new(), last_received: now };
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
        digest: &RegistryDigest,
    ) -> Vec<usize> {
        let is_done = self.fetch.is_none() && self.next_choice.is_none();
        let Some(known) =
            self.digests.get(leader).filter(|_| is_done && !self.updated_parts.is_empty())
        else {
            return Vec::new();
        };
        let differing: BTreeSet<usize> = known.differing_buckets(digest).collect();
        let updated = std::mem::take(&mut self.updated_parts);
        updated.intersection(&differing).copied().collect()
    }
}

impl PartFetch {
    /// Requests parts up to the limit in flight.
    fn request_parts(&mut self, out: &mut Outbox) {
        while self.in_flight.len() < MAX_PARTS_IN_FLIGHT
            && let Some(part) = self.remaining.pop_front()
        {
            self.in_flight.insert(part);
            out.send(&self.from, Body::EndpointsWanted(EndpointsWanted { part: part as u64 }));
        }
    }
}
