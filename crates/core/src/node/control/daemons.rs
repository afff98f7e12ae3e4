//! The daemons that poll this leader.

use std::{collections::BTreeSet, time::Duration};

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

/// What the leader knows of a daemon from its last poll.
#[derive(Debug, Clone, Copy)]
pub(super) struct DaemonState {
    pub(super) version: u64,
    pub(super) last_poll: Instant,
    pub(super) takes_callers: bool,
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
    counted_at: Option<Instant>,
    /// Counts of all daemons so far.
    #[cfg(test)]
    pub(super) counts: u64,
}

impl DaemonTable {
    /// Records a poll.
    pub(super) fn on_poll(&mut self, vm: &VmName, state: DaemonState, now: Instant) {
        let before = self.daemons.insert(vm.clone(), state);
        let is_same = before.is_some_and(|before| {
            before.takes_callers == state.takes_callers
                && before.stopping_since == state.stopping_since
                && before.is_live(now)
        });
        if before.is_none() && state.stopping_since.is_none() {
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
