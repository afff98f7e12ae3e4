//! Experiments: the scheduler's core against the engine model in virtual time.
//!
//! Arrivals are open-loop and come from a seed, so every policy meets the same
//! trace. Engines and arrivals are all that is modelled: no network, no VMs, no
//! agreement.

mod compare;
mod cost;
mod measure;
mod plot;
mod sim;
#[cfg(test)]
mod tests;
mod trace;

use std::{path::PathBuf, time::Duration};

pub(crate) use self::{compare::run, cost::decision_costs, trace::Mix};

/// Faults during an experiment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Trouble {
    /// None.
    None,
    /// One engine dies at half time.
    EngineDeath,
    /// Load reports are 10 s old.
    OldLoad,
}

/// What to compare.
#[derive(Debug, Clone)]
pub(crate) struct ExperimentOptions {
    /// Kinds of requests and their lengths.
    pub(crate) mix: Mix,
    /// Number of engines.
    pub(crate) engines: usize,
    /// Offered load in percent of capacity, one row each.
    pub(crate) loads: Vec<u64>,
    /// First seed; reporting uses seeds apart from those of tuning.
    pub(crate) first_seed: u64,
    /// Number of seeds.
    pub(crate) seeds: u64,
    /// Virtual time of each run.
    pub(crate) length: Duration,
    /// Names of the policies.
    pub(crate) policies: Vec<String>,
    /// Faults.
    pub(crate) trouble: Trouble,
    /// File for a plot.
    pub(crate) plot: Option<PathBuf>,
}
