//! Discovery of control VMs, starting from the seeds in the settings.
//!
//! Each control VM announces to all linked daemons which control VMs it has links to. A daemon that
//! reaches one control VM thus discovers all of them and follows replacements.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{Outbox, Output, VmName};
use crate::{
    units::Instant,
    wire::{Body, Directory as DirectoryMessage},
};

/// Interval between announcements of a control VM. A new control VM is found this fast.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after which a control VM that no announcement names is removed. Longer than a VM takes to
/// restart, so that a restarted one is dialed at once.
const EXPIRE_AFTER: Duration = Duration::from_secs(30);

/// Control VMs known to this daemon.
pub(crate) struct Directory {
    vm: VmName,
    is_control: bool,
    /// Control VMs in the settings, which are always dialed.
    seeds: Vec<VmName>,
    /// When each control VM was last named in an announcement.
    last_named: BTreeMap<VmName, Instant>,
    links: BTreeSet<VmName>,
    known: Vec<VmName>,
    next_announcement: Instant,
}

impl Directory {
    pub(crate) fn new(vm: &VmName, seeds: &[VmName], is_control: bool, now: Instant) -> Directory {
        let mut directory = Directory {
            vm: vm.clone(),
            is_control,
            seeds: seeds.to_vec(),
            last_named: BTreeMap::new(),
            links: BTreeSet::new(),
            known: Vec::new(),
            next_announcement: now,
        };
        directory.known = directory.compute_known(now);
        directory
    }

    /// All control VMs, including this one if it is a control VM.
    pub(crate) fn known(&self) -> &[VmName] {
        &self.known
    }

    pub(crate) fn next_tick(&self) -> Instant {
        self.next_announcement
    }

    pub(crate) fn link_up(&mut self, vm: &VmName, out: &mut Outbox) {
        self.links.insert(vm.clone());
        if self.is_control {
            out.send(vm, Body::Directory(self.announcement()));
        }
    }

    pub(crate) fn link_down(&mut self, vm: &VmName) {
        self.links.remove(vm);
    }

    /// Replaces the seeds after a change of the settings.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<VmName>, now: Instant, out: &mut Outbox) {
        self.seeds = seeds;
        self.refresh(now, out);
    }

    /// Applies an announcement of a control VM.
    pub(crate) fn on_directory(
        &mut self,
        from: &VmName,
        message: DirectoryMessage,
        now: Instant,
        out: &mut Outbox,
    ) {
        let vms = message.vms.into_iter().map(VmName::from).chain([from.clone()]);
        for vm in vms {
            self.last_named.insert(vm, now);
        }
        self.refresh(now, out);
    }

    pub(crate) fn tick(&mut self, now: Instant, out: &mut Outbox) {
        if now < self.next_announcement {
            return;
        }
        self.next_announcement = now.after(ANNOUNCE_INTERVAL);
        self.last_named.retain(|_, at| now.since(*at) < EXPIRE_AFTER);
        self.refresh(now, out);
        if self.is_control {
            for vm in &self.links {
                out.send(vm, Body::Directory(self.announcement()));
            }
        }
    }

    /// Announces this VM and the control VMs that it has links to.
    fn announcement(&self) -> DirectoryMessage {
        let linked = self.known.iter().filter(|vm| self.links.contains(*vm) || **vm == self.vm);
        DirectoryMessage { vms: linked.map(|vm| vm.to_string()).collect() }
    }

    fn refresh(&mut self, now: Instant, out: &mut Outbox) {
        let known = self.compute_known(now);
        if known != self.known {
            self.known.clone_from(&known);
            out.push(Output::Dial(known));
        }
    }

    fn compute_known(&self, now: Instant) -> Vec<VmName> {
        let fresh = self.last_named.iter().filter(|(_, at)| now.since(**at) < EXPIRE_AFTER);
        let this_vm = self.is_control.then_some(&self.vm);
        let all: BTreeSet<&VmName> =
            fresh.map(|(vm, _)| vm).chain(&self.seeds).chain(this_vm).collect();
        all.into_iter().cloned().collect()
    }
}
