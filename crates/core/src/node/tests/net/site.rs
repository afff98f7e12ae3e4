//! VMs of a test.

use std::collections::VecDeque;

use crate::{
    agreement::Persist,
    node::{Node, VmName},
    testing::Disk,
};

/// Names of the VMs of a test.
#[derive(Debug, Clone)]
pub(crate) struct Site {
    /// Control replicas; the first three bootstrap the group.
    pub(crate) replicas: Vec<VmName>,
    /// Daemons without a control replica.
    pub(crate) entries: Vec<VmName>,
}

impl Site {
    /// Names the replicas `vm-1` and so on, followed by the entries.
    pub(crate) fn new(replicas: usize, entries: usize) -> Site {
        let names = |from: usize, to: usize| (from..=to).map(|n| format!("vm-{n}").into());
        Site {
            replicas: names(1, replicas).collect(),
            entries: names(replicas + 1, replicas + entries).collect(),
        }
    }

    /// Replicas that bootstrap the group and that all daemons know.
    pub(crate) fn seeds(&self) -> Vec<VmName> {
        self.replicas.iter().take(3).cloned().collect()
    }
}

/// A VM with its disk and its daemon.
pub(crate) struct Host {
    /// The daemon, while it runs.
    pub(crate) node: Option<Node>,
    /// Synced content, which survives restarts.
    pub(super) disk: Disk,
    /// Writes that are not synced yet.
    pub(super) writes: VecDeque<(u64, Persist)>,
    /// Whether the daemon is suspended and gets no messages or ticks.
    pub(crate) suspended: bool,
    /// Number of disks lost before this one.
    pub(super) incarnation: u64,
    /// Whether it runs a control replica.
    pub(super) replica: bool,
    /// Whether its settings let it bootstrap the group.
    pub(crate) bootstraps: bool,
}

impl Host {
    /// A VM with an empty disk and no running daemon.
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
