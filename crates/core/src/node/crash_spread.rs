//! Tells other daemons of crashes that no leader has recorded, by way of the control VMs.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{Outbox, VmName};
use crate::{
    quarantine::CrashReport,
    units::Instant,
    wire::{Body, CrashSeen},
};

/// A crash that no leader has recorded for this long is told; several times what a leader that answers
/// takes.
const SPREAD_DELAY: Duration = Duration::from_millis(150);

/// A crash that is to be told unless a leader records it.
#[derive(Debug)]
struct UnrecordedCrash {
    report: CrashReport,
    spread_at: Instant,
}

/// Crashes that are not known to be recorded, and the daemons to tell.
#[derive(Debug, Default)]
pub(super) struct CrashSpread {
    /// By the number of the operation that reports the crash to the leader.
    unrecorded: BTreeMap<u64, UnrecordedCrash>,
    /// Linked daemons: on an entry the control VMs, on a control VM all.
    links: BTreeSet<VmName>,
}

impl CrashSpread {
    pub(super) fn link_up(&mut self, vm: &VmName) {
        self.links.insert(vm.clone());
    }

    pub(super) fn link_down(&mut self, vm: &VmName) {
        self.links.remove(vm);
    }

    /// Tells of a crash at once if there is no leader, or else if none records it in time.
    pub(super) fn on_reported(
        &mut self,
        operation: u64,
        report: CrashReport,
        has_leader: bool,
        is_control: bool,
        now: Instant,
        out: &mut Outbox,
    ) {
        if has_leader {
            let spread_at = now.after(SPREAD_DELAY);
            self.unrecorded.insert(operation, UnrecordedCrash { report, spread_at });
        } else {
            self.spread(report, is_control, out);
        }
    }

    pub(super) fn on_recorded(&mut self, operation: u64) {
        self.unrecorded.remove(&operation);
    }

    /// Passes on, on a control VM, what a daemon has told.
    pub(super) fn pass_on(&self, from: &VmName, report: &CrashReport, out: &mut Outbox) {
        let seen = CrashSeen { report: report.clone(), forwarded: true };
        for vm in self.links.iter().filter(|vm| *vm != from) {
            out.send(vm, Body::CrashSeen(seen.clone()));
        }
    }

    pub(super) fn next_tick(&self) -> Option<Instant> {
        self.unrecorded.values().map(|crash| crash.spread_at).min()
    }

    pub(super) fn tick(&mut self, is_control: bool, now: Instant, out: &mut Outbox) {
        let is_due = |crash: &UnrecordedCrash| crash.spread_at <= now;
        for crash in self.unrecorded.values().filter(|crash| is_due(crash)) {
            self.spread(crash.report.clone(), is_control, out);
        }
        self.unrecorded.retain(|_, crash| !is_due(crash));
    }

    fn spread(&self, report: CrashReport, is_control: bool, out: &mut Outbox) {
        let seen = CrashSeen { report, forwarded: is_control };
        for vm in &self.links {
            out.send(vm, Body::CrashSeen(seen.clone()));
        }
    }
}
