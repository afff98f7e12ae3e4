//! A whole control plane in virtual time: hundreds of daemons, thousands of endpoints that
//! register themselves, and few requests.
//!
//! Every daemon runs the real state machine. Links, disks and processors are modelled. The report
//! shows what each role costs: processor time by input, bytes by message, memory, and how long a
//! change takes until all daemons have it.

mod costs;
mod endpoints;
mod host;
mod load;
mod memory;
mod network;
mod sim;
#[cfg(test)]
mod tests;

use std::time::Duration;

use serde::Serialize;

use self::sim::Sim;
pub(crate) use self::{costs::RoleCosts, memory::MemoryUse};

/// A deployment and the length of its phases.
#[derive(Debug, Clone)]
pub(crate) struct ControlPlaneOptions {
    /// Entry VMs.
    pub(crate) entries: usize,
    /// Control VMs.
    pub(crate) control: usize,
    /// Model engines.
    pub(crate) engines: usize,
    /// Endpoints of a plain service.
    pub(crate) plain: usize,
    /// Interval of the endpoints' heartbeats.
    pub(crate) heartbeat: Duration,
    /// Time in which all endpoints start, evenly spread.
    pub(crate) start: Duration,
    /// Length of each phase after the start.
    pub(crate) phase: Duration,
    /// Generations a second, over all entries.
    pub(crate) rate: f64,
    /// Share of the endpoints that is replaced in the phase `replacement`.
    pub(crate) replaced: f64,
    /// Workspaces and routes in the configuration.
    pub(crate) workspaces: usize,
    /// Seed of all random choices.
    pub(crate) seed: u64,
}

/// What happens in a phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Phase {
    /// All daemons and endpoints start.
    Start,
    /// Requests come and nothing else happens.
    Steady,
    /// A configuration is accepted each second.
    Changes,
    /// Endpoints leave and others come in their place.
    Replacement,
    /// The leader's process ends and returns after some seconds.
    LeaderLoss,
}

impl Phase {
    /// All phases, in order.
    pub(crate) const ALL: [Phase; 5] =
        [Phase::Start, Phase::Steady, Phase::Changes, Phase::Replacement, Phase::LeaderLoss];
}

/// How long something took to reach the daemons that need it, in milliseconds.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct Spread {
    /// Median.
    pub(crate) p50: f64,
    /// 99th percentile.
    pub(crate) p99: f64,
    /// Last daemon.
    pub(crate) last: f64,
    /// Number of measurements.
    pub(crate) count: usize,
    /// Daemons that were not reached by the end of the phase.
    pub(crate) missing: usize,
}

impl Spread {
    /// Summarizes these delays in microseconds.
    pub(crate) fn of(mut delays: Vec<u64>, missing: usize) -> Spread {
        delays.sort_unstable();
        let at = |part: f64| {
            let index = ((delays.len() as f64 * part) as usize).min(delays.len().saturating_sub(1));
            delays.get(index).map_or(0.0, |us| *us as f64 / 1_000.0)
        };
        Spread { p50: at(0.5), p99: at(0.99), last: at(1.0), count: delays.len(), missing }
    }
}

/// What one phase has cost and how fast news spread in it.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct PhaseReport {
    /// The phase.
    pub(crate) phase: Phase,
    /// Its length in seconds of virtual time.
    pub(crate) seconds: f64,
    /// Costs of the leader, the other control VMs and the entries.
    pub(crate) roles: Vec<RoleCosts>,
    /// From the request of a place to its grant.
    pub(crate) grants: Spread,
    /// From the acceptance of a configuration until it is active on all daemons.
    pub(crate) changes: Spread,
    /// From an endpoint's notice until the last daemon that lists the endpoint sends it nothing more.
    pub(crate) notices: Spread,
    /// From the leader's end until all daemons know the next one.
    pub(crate) leaders: Spread,
}

/// The result of a play.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Report {
    /// The phases, in order.
    pub(crate) phases: Vec<PhaseReport>,
    /// Memory of one daemon of each role, at the end.
    pub(crate) memory: MemoryUse,
}

/// Plays a deployment.
pub(crate) fn run(options: &ControlPlaneOptions) -> Report {
    let mut sim = Sim::new(options);
    let phases = Phase::ALL.into_iter().map(|phase| sim.play(phase)).collect();
    Report { phases, memory: sim.measure_memory() }
}

impl Report {
    /// The report as text.
    pub(crate) fn table(&self) -> String {
        let mut text = String::new();
        for phase in &self.phases {
            text += &format!("{:?}, {:.0} s\n", phase.phase, phase.seconds);
            for role in &phase.roles {
                text += &role.table();
            }
            let spreads = [
                ("grants", phase.grants),
                ("changes in force", phase.changes),
                ("leaving known", phase.notices),
                ("next leader known", phase.leaders),
            ];
            for (name, spread) in spreads.into_iter().filter(|(_, s)| 0 < s.count + s.missing) {
                let Spread { p50, p99, last, count, missing } = spread;
                text += &format!(
                    "  {name}: p50 {p50:.1}, p99 {p99:.1}, last {last:.1} ms of {count}, {missing} missing\n"
                );
            }
        }
        text += &self.memory.table();
        text
    }
}
