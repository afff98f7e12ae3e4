//! Who a daemon is and how it is timed.

use std::time::Duration;

use super::VmName;
use crate::{
    agreement,
    mechanism::Disabled,
    units::{Instant, UnixMillis},
};

/// Who this daemon is.
#[derive(Debug, Clone)]
pub struct NodeOptions {
    /// Name of its VM.
    pub vm: VmName,
    /// Names of control VMs through which the others are found.
    pub seeds: Vec<VmName>,
    /// Names of the control VMs that found the group, the one that writes its first entry
    /// first. Empty on a VM that came later, which founds nothing.
    pub founders: Vec<VmName>,
    /// Most control replicas that vote.
    pub max_voters: usize,
    /// Whether callers are sent to this daemon.
    pub takes_callers: bool,
    /// How often endpoints that register themselves send a heartbeat.
    pub endpoint_heartbeat: Duration,
    /// Time bounds.
    pub timing: NodeTiming,
    /// Random number of this run of the daemon.
    pub seed: u64,
    /// Mechanisms that are switched off.
    pub disabled: Disabled,
}

/// Time bounds of a node.
#[derive(Debug, Clone, Copy)]
pub struct NodeTiming {
    /// Time bounds of the control replica.
    pub agreement: agreement::Timing,
    /// Interval between polls.
    pub poll: Duration,
    /// Time without confirmation after which the configuration counts as stale.
    pub stale_after: Duration,
}

impl Default for NodeTiming {
    fn default() -> NodeTiming {
        NodeTiming {
            agreement: agreement::Timing {
                heartbeat: Duration::from_millis(75),
                election: Duration::from_millis(400),
            },
            poll: Duration::from_millis(500),
            stale_after: Duration::from_secs(5),
        }
    }
}

/// The monotonic and the wall clock, read together.
#[derive(Debug, Clone, Copy)]
pub struct Clocks {
    /// Monotonic time.
    pub now: Instant,
    /// Wall time; used only to date entries of the log.
    pub wall: UnixMillis,
}
