//! Brings the endpoints that a daemon knows up to those of control VMs that it is linked to anew.
//!
//! A control VM tells a digest of what it knows. The daemon asks for the parts that differ, a few at a
//! time, from one control VM after the other: what it has from the first it need not ask the next for.
//! Each daemon begins with a control VM of its own choice. Sent whole by each control VM to each daemon,
//! 3,000 endpoints for 295 entries that started at once cost two leaders their lead, and no entry had a
//! configuration that was confirmed for 3.6 s (`node::tests::recovery`).

use std::{
    collections::{BTreeSet, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use super::{ByVm, Outbox, VmName};
use crate::{
    registry::Digest,
    units::Instant,
    wire::{Body, EndpointsWanted},
};

/// Parts that are requested ahead: 25 kB at 3,000 endpoints, 20 ms on a link of 10 Mbit/s.
const MAX_PARTS_IN_FLIGHT: usize = 4;
/// Time in which the links to all control VMs come up, before one of them is chosen.
const LINK_SETTLE_TIME: Duration = Duration::from_millis(20);
/// Without a part for this long, another control VM is asked: several times what a busy one takes.
const PART_TIMEOUT: Duration = Duration::from_millis(500);

/// Parts that a control VM is asked for.
#[derive(Debug)]
struct PartFetch {
    from: VmName,
    /// Those that have not been asked for.
    remaining: VecDeque<usize>,
    /// Those that were asked for and have not come.
    in_flight: BTreeSet<usize>,
    last_received: Instant,
}

/// What a daemon still has to compare with the control VMs that it is linked to.
#[derive(Debug, Default)]
pub(super) struct EndpointSync {
    /// What each knew when the link came up.
    digests: ByVm<Digest>,
    /// Those that were not compared with.
    uncompared: BTreeSet<VmName>,
    fetch: Option<PartFetch>,
    /// Nothing is asked for before this.
    next_choice: Option<Instant>,
    /// The parts in which something came.
    updated_parts: BTreeSet<usize>,
    /// How often each did not send what it was asked for since it was linked.
    timeouts: ByVm<u32>,
}

impl EndpointSync {
    /// Takes what a control VM knows.
    pub(super) fn on_digest(&mut self, vm: &VmName, digest: Digest, now: Instant) {
        self.digests.insert(vm.clone(), digest);
        self.uncompared.insert(vm.clone());
        if self.fetch.is_none() {
            self.next_choice.get_or_insert(now.after(LINK_SETTLE_TIME));
        }
    }

    /// A link is down.
    pub(super) fn link_down(&mut self, vm: &VmName, now: Instant) {
        self.digests.remove(vm);
        self.uncompared.remove(vm);
        self.timeouts.remove(vm);
        if self.fetch.take_if(|fetch| fetch.from == *vm).is_some() {
            self.next_choice = Some(now);
        }
    }

    /// Notes that a part has come, and asks for the next.
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

    /// When [`EndpointSync::tick`] next has something to do.
    pub(super) fn next_tick(&self) -> Option<Instant> {
        let patience = self.fetch.as_ref().map(|fetch| fetch.last_received.after(PART_TIMEOUT));
        patience.or(self.next_choice)
    }

    /// Asks the next control VM that knows something else than this daemon.
    pub(super) fn tick(
        &mut self,
        own: &VmName,
        digest: impl FnOnce() -> Digest,
        now: Instant,
        out: &mut Outbox,
    ) {
        if self.next_tick().is_none_or(|due| now < due) {
            return;
        }
        if let Some(silent) = self.fetch.take() {
            *self.timeouts.entry(silent.from.clone()).or_default() += 1;
            self.uncompared.insert(silent.from);
        }
        self.next_choice = None;
        let digest = digest();
        let mut waiting: Vec<VmName> = std::mem::take(&mut self.uncompared).into_iter().collect();
        waiting.sort_by_cached_key(|vm| {
            let mut hasher = DefaultHasher::new();
            (own, vm).hash(&mut hasher);
            (self.timeouts.get(vm).copied().unwrap_or_default(), hasher.finish())
        });
        let mut waiting = waiting.into_iter();
        for vm in waiting.by_ref() {
            let Some(told) = self.digests.get(&vm) else { continue };
            let remaining: VecDeque<usize> = told.differs_in(&digest).collect();
            if remaining.is_empty() {
                continue;
            }
            let mut fetch =
                PartFetch { from: vm, remaining, in_flight: BTreeSet::new(), last_received: now };
            fetch.request_parts(out);
            self.fetch = Some(fetch);
            break;
        }
        self.uncompared = waiting.collect();
    }

    /// The parts in which something came that the leader did not know, once all control VMs were
    /// compared with.
    pub(super) fn take_parts_unknown_to(
        &mut self,
        leader: &VmName,
        digest: impl FnOnce() -> Digest,
    ) -> Vec<usize> {
        let is_done = self.fetch.is_none() && self.next_choice.is_none();
        let Some(known) =
            self.digests.get(leader).filter(|_| is_done && !self.updated_parts.is_empty())
        else {
            return Vec::new();
        };
        let differing: BTreeSet<usize> = known.differs_in(&digest()).collect();
        let learned = std::mem::take(&mut self.updated_parts);
        learned.intersection(&differing).copied().collect()
    }
}

impl PartFetch {
    /// Asks for as many parts as may be on their way.
    fn request_parts(&mut self, out: &mut Outbox) {
        while self.in_flight.len() < MAX_PARTS_IN_FLIGHT
            && let Some(part) = self.remaining.pop_front()
        {
            self.in_flight.insert(part);
            out.send(&self.from, Body::EndpointsWanted(EndpointsWanted { part: part as u64 }));
        }
    }
}
