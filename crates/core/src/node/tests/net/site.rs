//! The VMs of a test and what is on each.

use std::collections::VecDeque;

use crate::{
    agreement::Persist,
    node::{Node, VmName},
    testing::Disk,
};

/// Which VMs there are.
#[derive(Debug, Clone)]
pub(crate) struct Site {
    /// Control replicas; the first three found the group.
    pub(crate) replicas: Vec<VmName>,
    /// Daemons without a disk.
    pub(crate) entries: Vec<VmName>,
}

impl Site {
    /// Replicas `vm-1` and so on, followed by entries.
    pub(crate) fn new(replicas: usize, entries: usize) -> Site {
        let names = |from: usize, to: usize| (from..=to).map(|n| format!("vm-{n}").into());
        Site {
            replicas: names(1, replicas).collect(),
            entries: names(replicas + 1, replicas + entries).collect(),
        }
    }

    /// The replicas that found the group, named to all daemons.
    pub(crate) fn seeds(&self) -> Vec<VmName> {
        self.replicas.iter().take(3).cloned().collect()
    }
}

/// A VM with its disk and the daemon on it.
pub(crate) struct Host {
    /// The daemon's node, while the daemon runs.
    pub(crate) node: Option<Node>,
    /// What it holds once synced; it outlives the daemon.
    pub(super) disk: Disk,
    /// Writes that were handed out and are not synced.
    pub(super) writes: VecDeque<(u64, Persist)>,
    /// Whether the daemon is suspended: it gets no messages and no ticks.
    pub(crate) suspended: bool,
    /// How many disks were lost before this one.
    pub(super) incarnation: u64,
    /// Whether it runs a control replica.
    pub(super) replica: bool,
    /// Whether it was there when the system first started.
    pub(crate) bootstraps: bool,
}

impl Host {
    /// A VM with an empty disk whose daemon does not run yet.
    pub(super) fn new(replica: bool, bootstraps: bool) -> Host {
        Host {
            node: None,
            disk: Disk::default(),
            writes: VecDeque::new(),
            suspended: false,
            incarnation: 0,
            replica,
            bootstraps,
        }
    }
}
