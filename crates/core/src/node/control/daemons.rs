//! The daemons that poll this leader.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::{
    node::{ByVm, VmName, control_client::EntryDaemons},
    quarantine::SuspectCacheState,
    units::Instant,
};

/// A daemon that has not polled for this long counts as dead.
const DAEMON_TIMEOUT: Duration = Duration::from_secs(3);
/// A stopping daemon still receives callers for this long: load balancers probe once a second and
/// drop a target after two failed probes.
const DRAIN_PERIOD: Duration = Duration::from_millis(2_500);
/// Minimum interval between counts of all daemons, so that a poll costs the same in any fleet.
const COUNT_INTERVAL: Duration = Duration::from_millis(100);

/// Forwarders that are named to a daemon at a time, in its data hall and in others.
const MAX_NAMED_FORWARDERS: usize = 2;

/// Names of daemons that take forwarded requests.
#[derive(Debug, Default)]
pub(super) struct NamedForwarders {
    pub(super) near: Vec<String>,
    pub(super) far: Vec<String>,
}

/// What the leader knows of a daemon from its last poll.
#[derive(Debug, Clone, Copy)]
pub(super) struct DaemonState {
    pub(super) version: u64,
    pub(super) last_poll: Instant,
    pub(super) takes_callers: bool,
    /// Whether it takes forwarded requests.
    pub(super) accepts_forwarded: bool,
    /// How current its copy of the suspects is.
    pub(super) suspects: SuspectCacheState,
    /// When it first reported its planned stop.
    pub(super) stopping_since: Option<Instant>,
}

impl DaemonState {
    fn is_live(&self, now: Instant) -> bool {
        now.since(self.last_poll) < DAEMON_TIMEOUT
    }
}

/// All daemons that have polled this leader, and which of them are live.
#[derive(Debug, Default)]
pub(super) struct DaemonTable {
    daemons: ByVm<DaemonState>,
    live: BTreeSet<VmName>,
    entries: EntryDaemons,
    halls: BTreeMap<VmName, Arc<str>>,
    /// Live daemons that take forwarded requests, by data hall.
    forwarders: BTreeMap<Arc<str>, Vec<VmName>>,
    /// Rotates the forwarders that are named to daemons.
    next_forwarder: usize,
    counted_at: Option<Instant>,
    /// Counts of all daemons so far.
    #[cfg(test)]
    pub(super) counts: u64,
}

impl DaemonTable {
    /// Records a poll.
    pub(super) fn on_poll(&mut self, vm: &VmName, state: DaemonState, hall: &str, now: Instant) {
        if self.halls.get(vm).is_none_or(|known| **known != *hall) {
            self.halls.insert(vm.clone(), hall.into());
        }
        let before = self.daemons.insert(vm.clone(), state);
        let is_same = before.is_some_and(|before| {
            before.takes_callers == state.takes_callers
                && before.accepts_forwarded == state.accepts_forwarded
                && before.stopping_since == state.stopping_since
                && before.is_live(now)
        });
        if before.is_none() && state.stopping_since.is_none() && !state.accepts_forwarded {
            self.live.insert(vm.clone());
            self.entries.accepting += u64::from(state.takes_callers);
        } else if !is_same {
            self.counted_at = None;
        }
    }

    pub(super) fn get(&self, vm: &VmName) -> Option<&DaemonState> {
        self.daemons.get(vm)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&VmName, &DaemonState)> {
        self.daemons.iter()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (&VmName, &mut DaemonState)> {
        self.daemons.iter_mut()
    }

    pub(super) fn len(&self) -> usize {
        self.daemons.len()
    }

    pub(super) fn clear(&mut self) {
        *self = DaemonTable::default();
    }

    /// The live daemons.
    pub(super) fn live(&mut self, now: Instant) -> &BTreeSet<VmName> {
        self.count_if_due(now);
        &self.live
    }

    /// Live daemons that load balancers send callers to.
    pub(super) fn entries(&mut self, now: Instant) -> EntryDaemons {
        self.count_if_due(now);
        self.entries
    }

    /// Some daemons to which `vm` in `hall` may forward requests; others each time.
    pub(super) fn next_forwarders(
        &mut self,
        vm: &VmName,
        hall: &str,
        now: Instant,
    ) -> NamedForwarders {
        self.count_if_due(now);
        self.next_forwarder = self.next_forwarder.wrapping_add(1);
        let turn = self.next_forwarder;
        let near = self.forwarders.get(hall).into_iter().flat_map(|vms| rotated(vms, turn));
        let far_halls: Vec<_> =
            self.forwarders.iter().filter(|(name, _)| ***name != *hall).collect();
        let far = rotated(&far_halls, turn).filter_map(|(_, vms)| rotated(vms, turn).next());
        let names = |vms: &mut dyn Iterator<Item = &VmName>| {
            let others = vms.filter(|name| *name != vm).take(MAX_NAMED_FORWARDERS);
            others.map(|name| name.to_string()).collect()
        };
        NamedForwarders { near: names(&mut near.into_iter()), far: names(&mut far.into_iter()) }
    }

    fn count_if_due(&mut self, now: Instant) {
        if self.counted_at.is_some_and(|at| now.since(at) < COUNT_INTERVAL) {
            return;
        }
        self.counted_at = Some(now);
        #[cfg(test)]
        {
            self.counts += 1;
        }
        let live = self.daemons.iter().filter(|(_, daemon)| daemon.is_live(now));
        self.live = live.clone().map(|(vm, _)| vm.clone()).collect();
        self.forwarders.clear();
        for (vm, _) in live.clone().filter(|(_, daemon)| daemon.accepts_forwarded) {
            let hall = self.halls.get(vm).cloned().unwrap_or_default();
            self.forwarders.entry(hall).or_default().push(vm.clone());
        }
        self.entries = EntryDaemons::default();
        for (_, daemon) in live.filter(|(_, daemon)| daemon.takes_callers) {
            match daemon.stopping_since {
                None => self.entries.accepting += 1,
                Some(since) if now.since(since) < DRAIN_PERIOD => self.entries.stopping += 1,
                Some(_) => {}
            }
        }
    }
}

/// All items, beginning with another one each turn.
fn rotated<T>(items: &[T], turn: usize) -> impl Iterator<Item = &T> {
    let (head, tail) = items.split_at(turn.checked_rem(items.len()).unwrap_or(0));
    tail.iter().chain(head)
}
