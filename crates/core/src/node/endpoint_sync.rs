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

/// Parts that are asked for ahead: 25 kB at 3,000 endpoints, 20 ms on a link of 10 Mbit/s.
const AHEAD: usize = 4;
/// Time in which the links to all control VMs come up, before one of them is chosen.
const CHOOSE_AFTER: Duration = Duration::from_millis(20);
/// Without a part for this long, another control VM is asked: several times what a busy one takes.
const PATIENCE: Duration = Duration::from_millis(500);

/// Parts that a control VM is asked for.
#[derive(Debug)]
struct Fetching {
    from: VmName,
    /// Those that have not been asked for.
    wanted: VecDeque<usize>,
    /// Those that were asked for and have not come.
    asked: BTreeSet<usize>,
    heard: Instant,
}

/// What a daemon still has to compare with the control VMs that it is linked to.
#[derive(Debug, Default)]
pub(super) struct EndpointSync {
    /// What each knew when the link came up.
    told: ByVm<Digest>,
    /// Those that were not compared with.
    waiting: BTreeSet<VmName>,
    fetching: Option<Fetching>,
    /// Nothing is asked for before this.
    choose_at: Option<Instant>,
    /// The parts in which something came.
    learned: BTreeSet<usize>,
    /// How often each did not send what it was asked for since it was linked.
    unanswered: ByVm<u32>,
}

impl EndpointSync {
    /// Takes what a control VM knows.
    pub(super) fn told(&mut self, vm: &VmName, digest: Digest, now: Instant) {
        self.told.insert(vm.clone(), digest);
        self.waiting.insert(vm.clone());
        if self.fetching.is_none() {
            self.choose_at.get_or_insert(now.after(CHOOSE_AFTER));
        }
    }

    /// A link is down.
    pub(super) fn link_down(&mut self, vm: &VmName, now: Instant) {
        self.told.remove(vm);
        self.waiting.remove(vm);
        self.unanswered.remove(vm);
        if self.fetching.take_if(|fetching| fetching.from == *vm).is_some() {
            self.choose_at = Some(now);
        }
    }

    /// Notes that a part has come, and asks for the next.
    pub(super) fn came(&mut self, from: &VmName, part: usize, now: Instant, out: &mut Outbox) {
        self.learned.insert(part);
        let Some(fetching) = self.fetching.as_mut().filter(|fetching| fetching.from == *from)
        else {
            return;
        };
        fetching.asked.remove(&part);
        fetching.heard = now;
        fetching.ask(out);
        if fetching.asked.is_empty() {
            self.fetching = None;
            self.choose_at = Some(now);
        }
    }

    /// When [`EndpointSync::tick`] next has something to do.
    pub(super) fn next_tick(&self) -> Option<Instant> {
        let patience = self.fetching.as_ref().map(|fetching| fetching.heard.after(PATIENCE));
        patience.or(self.choose_at)
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
        if let Some(silent) = self.fetching.take() {
            *self.unanswered.entry(silent.from.clone()).or_default() += 1;
            self.waiting.insert(silent.from);
        }
        self.choose_at = None;
        let digest = digest();
        let mut waiting: Vec<VmName> = std::mem::take(&mut self.waiting).into_iter().collect();
        waiting.sort_by_cached_key(|vm| {
            let mut hasher = DefaultHasher::new();
            (own, vm).hash(&mut hasher);
            (self.unanswered.get(vm).copied().unwrap_or_default(), hasher.finish())
        });
        let mut waiting = waiting.into_iter();
        for vm in waiting.by_ref() {
            let Some(told) = self.told.get(&vm) else { continue };
            let wanted: VecDeque<usize> = told.differs_in(&digest).collect();
            if wanted.is_empty() {
                continue;
            }
            let mut fetching = Fetching { from: vm, wanted, asked: BTreeSet::new(), heard: now };
            fetching.ask(out);
            self.fetching = Some(fetching);
            break;
        }
        self.waiting = waiting.collect();
    }

    /// The parts in which something came that the leader did not know, once all control VMs were
    /// compared with.
    pub(super) fn take_unknown_to(
        &mut self,
        leader: &VmName,
        digest: impl FnOnce() -> Digest,
    ) -> Vec<usize> {
        let is_done = self.fetching.is_none() && self.choose_at.is_none();
        let Some(known) = self.told.get(leader).filter(|_| is_done && !self.learned.is_empty())
        else {
            return Vec::new();
        };
        let differing: BTreeSet<usize> = known.differs_in(&digest()).collect();
        let learned = std::mem::take(&mut self.learned);
        learned.intersection(&differing).copied().collect()
    }
}

impl Fetching {
    /// Asks for as many parts as may be on their way.
    fn ask(&mut self, out: &mut Outbox) {
        while self.asked.len() < AHEAD
            && let Some(part) = self.wanted.pop_front()
        {
            self.asked.insert(part);
            out.send(&self.from, Body::EndpointsWanted(EndpointsWanted { part: part as u64 }));
        }
    }
}
