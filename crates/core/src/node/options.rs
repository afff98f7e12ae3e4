//! Identity and timing of a node.

use std::time::Duration;

use super::VmName;
use crate::{
    agreement,
    mechanism::Disabled,
    units::{Instant, UnixMillis},
};

/// Identity and settings of a node.
#[derive(Debug, Clone)]
pub struct NodeOptions {
    /// Name of its VM.
    pub vm: VmName,
    /// Its data hall; control VMs there are preferred as sources. Empty if unknown.
    pub hall: String,
    /// Names of control VMs that are contacted first, to discover the others.
    pub seeds: Vec<VmName>,
    /// Names of the control VMs that bootstrap the control group; the first one writes the first log
    /// entry. Empty on a VM that joins an existing group.
    pub founders: Vec<VmName>,
    /// Maximum number of voting control replicas.
    pub max_voters: usize,
    /// Whether callers are sent to this daemon.
    pub takes_callers: bool,
    /// Whether daemons poll the load of endpoints for the scheduler.
    pub polls_loads: bool,
    /// Interval between heartbeats of endpoints that register themselves.
    pub endpoint_heartbeat: Duration,
    /// Intervals and timeouts.
    pub timing: NodeTiming,
    /// Random number, different in each run of each daemon.
    pub seed: u64,
    /// Mechanisms that are disabled.
    pub disabled: Disabled,
}

/// Intervals and timeouts of a node.
#[derive(Debug, Clone, Copy)]
pub struct NodeTiming {
    /// Intervals and timeouts of the control replica.
    pub agreement: agreement::Timing,
    /// Interval between polls of the leader.
    pub poll: Duration,
    /// Time without confirmation after which the configuration is stale.
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
    /// Wall-clock time, used only for timestamps in replicated records.
    pub wall: UnixMillis,
}
