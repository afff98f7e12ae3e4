//! Assignment of endpoints to the daemons that poll their load.
//!
//! Endpoints are hashed into partitions and each partition is assigned by rendezvous hashing, so
//! that few endpoints change their daemon when daemons come and go, and the work for an assignment
//! does not grow with the product of daemons and endpoints.

use std::{collections::BTreeSet, time::Duration};

use super::{ByVm, Outbox, VmName};
use crate::{
    placement::Scheduler,
    units::Instant,
    wire::{Body, Watch},
};

/// Number of partitions.
const PARTITIONS: u32 = 1_024;
/// Minimum interval between assignments.
const ASSIGN_INTERVAL: Duration = Duration::from_millis(100);

/// Endpoints whose load each daemon polls.
#[derive(Debug, Default)]
pub(super) struct Watches {
    assigned: ByVm<Vec<String>>,
    /// Daemon of each partition.
    partitions: Vec<VmName>,
    /// Whether the endpoints have changed since the last assignment.
    is_outdated: bool,
    next_assignment: Instant,
}

impl Watches {
    pub(super) fn on_endpoints_changed(&mut self) {
        self.is_outdated = true;
    }

    pub(super) fn remove_daemon(&mut self, vm: &VmName) {
        self.assigned.remove(vm);
    }

    /// Assigns the endpoints if they or the daemons have changed.
    pub(super) fn assign(
        &mut self,
        scheduler: &Scheduler,
        daemons: &BTreeSet<VmName>,
        now: Instant,
        out: &mut Outbox,
    ) {
        if now < self.next_assignment {
            return;
        }
        self.next_assignment = now.after(ASSIGN_INTERVAL);
        let same_daemons = self.assigned.keys().eq(daemons);
        if !self.is_outdated && same_daemons {
            return;
        }
        self.is_outdated = false;
        if !same_daemons {
            let watcher = |partition| daemons.iter().max_by_key(|vm| rendezvous(vm, partition));
            self.partitions = (0..PARTITIONS).filter_map(watcher).cloned().collect();
        }
        let mut assigned: ByVm<Vec<String>> =
            daemons.iter().map(|vm| (vm.clone(), Vec::new())).collect();
        for endpoint in scheduler.endpoints().into_keys() {
            let partition = crc32fast::hash(endpoint.as_bytes()) % PARTITIONS;
            let watcher = self.partitions.get(partition as usize);
            if let Some(list) = watcher.and_then(|vm| assigned.get_mut(vm)) {
                list.push(endpoint.to_owned());
            }
        }
        for (vm, endpoints) in &assigned {
            if self.assigned.get(vm) != Some(endpoints) {
                out.send(vm, Body::Watch(Watch { endpoints: endpoints.clone() }));
            }
        }
        self.assigned = assigned;
    }
}

fn rendezvous(vm: &str, partition: u32) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(vm.as_bytes());
    hasher.update(&partition.to_le_bytes());
    // CRCs of similar names are correlated; mix the bits.
    hasher.finalize().wrapping_mul(0x9e37_79b1).rotate_left(15).wrapping_mul(0x85eb_ca77)
}
