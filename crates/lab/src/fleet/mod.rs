//! A whole deployment in virtual time: hundreds of entries, engines that leave, copies that queue on
//! their links, load reports that are old when they come, and a scheduler that may be lost.
//!
//! The decisions are those of the daemons; what is modelled is everything around them. One seed
//! gives one result.

mod deciders;
mod engines;
mod figures;
mod leaving;
mod load;
mod moving;
mod sim;
#[cfg(test)]
mod tests;

use std::{thread, time::Duration};

use serde::Serialize;
use trayswitch_core::mechanism::Disabled;

use self::sim::Sim;
pub(crate) use self::{figures::Figures, load::Burst};

/// How an entry finds a place while no scheduler answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Alone {
    /// By what it knows itself, within its share of each engine.
    Share,
    /// The better of two engines drawn at random, by what it knows itself.
    TwoDrawn,
    /// The better of two drawn at random, by their load reports.
    Reports,
    /// The same, and the engine confirms that it has room.
    Reserved,
    /// The better of two drawn at random, by what the scheduler knew when it was lost.
    LastKnown,
    /// A scheduler on another VM goes on at once with all that the lost one knew.
    Standby,
}

impl Alone {
    /// All of them.
    pub(crate) const ALL: [Alone; 6] = [
        Alone::Share,
        Alone::TwoDrawn,
        Alone::Reports,
        Alone::Reserved,
        Alone::LastKnown,
        Alone::Standby,
    ];

    /// Its name in arguments and tables.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Alone::Share => "share",
            Alone::TwoDrawn => "two-drawn",
            Alone::Reports => "reports",
            Alone::Reserved => "reserved",
            Alone::LastKnown => "last-known",
            Alone::Standby => "standby",
        }
    }
}

/// A deployment and what happens in it.
#[derive(Debug, Clone)]
pub(crate) struct FleetOptions {
    /// Entry VMs.
    pub(crate) entries: usize,
    /// Engines.
    pub(crate) engines: usize,
    /// Generations a second.
    pub(crate) rate: f64,
    /// Virtual time in which requests come.
    pub(crate) length: Duration,
    /// Requests that come before this are not counted.
    pub(crate) warm_up: Duration,
    /// More traffic for a time.
    pub(crate) burst: Option<Burst>,
    /// When no scheduler can be reached.
    pub(crate) lost: Option<(Duration, Duration)>,
    /// What entries do then.
    pub(crate) alone: Alone,
    /// Whether a sixth of the engines leaves every 3.3 s.
    pub(crate) leaving: bool,
    /// Mechanisms that are switched off.
    pub(crate) disabled: Disabled,
    /// First seed.
    pub(crate) first_seed: u64,
    /// Number of seeds.
    pub(crate) seeds: u64,
}

/// What callers got in one span of time, over all seeds.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Row {
    /// The span, in seconds.
    pub(crate) span: [f64; 2],
    /// One for each seed.
    pub(crate) seeds: Vec<Figures>,
}

impl Row {
    /// The mean of a figure over the seeds.
    pub(crate) fn mean(&self, figure: impl Fn(&Figures) -> f64) -> f64 {
        self.seeds.iter().map(figure).sum::<f64>() / self.seeds.len() as f64
    }
}

/// What callers got, and what the engines did for it.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Report {
    /// By span of time.
    pub(crate) rows: Vec<Row>,
    /// Generations pushed aside by engines, a seed.
    pub(crate) preempted: f64,
    /// Generations moved, a seed.
    pub(crate) moved: f64,
    /// Moves that an engine refused, a seed.
    pub(crate) moves_refused: f64,
}

impl Report {
    /// The means as text.
    pub(crate) fn table(&self) -> String {
        let mut text = String::new();
        for row in &self.rows {
            let [from, until] = row.span;
            let first = |kind: usize, at: usize| row.mean(|f| f.first_ms[kind][at]);
            let line = format!(
                "{from:>5} to {until:>4} s: served {:.3} of {:.0}, late {:.1}, refused {:.1}, given up {:.1}, cut {:.1}; \
                 first event p50 {:.0} and {:.0} ms, p99 {:.0} and {:.0} ms; event {:.1} ms, chat {:.2} s\n",
                row.mean(|f| f.served),
                row.mean(|f| f.asked as f64),
                row.mean(|f| f.late as f64),
                row.mean(|f| f.refused as f64),
                row.mean(|f| f.left as f64),
                row.mean(|f| f.cut as f64),
                first(0, 0),
                first(1, 0),
                first(0, 1),
                first(1, 1),
                row.mean(|f| f.pace_ms),
                row.mean(|f| f.whole_s),
            );
            text += &line;
        }
        let Report { preempted, moved, moves_refused, .. } = self;
        text + &format!(
            "preempted {preempted:.1}, moved {moved:.0}, refused moves {moves_refused:.0}\n"
        )
    }
}

/// Plays a deployment with all its seeds; spans end where something begins or ends.
pub(crate) fn run(options: &FleetOptions) -> Report {
    let seeds: Vec<u64> = (options.first_seed..).take(options.seeds as usize).collect();
    let threads = thread::available_parallelism().map_or(1, usize::from).min(seeds.len());
    let played: Vec<Sim> = thread::scope(|scope| {
        let play = |seeds: &[u64]| {
            let seeds = seeds.to_vec();
            let play_one = move |seed| Sim::play(options, seed);
            scope.spawn(move || seeds.into_iter().map(play_one).collect::<Vec<Sim>>())
        };
        let parts: Vec<_> = seeds.chunks(seeds.len().div_ceil(threads)).map(play).collect();
        parts.into_iter().flat_map(|part| part.join().expect("a run does not panic")).collect()
    });
    let spans = spans(options);
    let row = |(from, until): &(Duration, Duration)| Row {
        span: [from.as_secs_f64(), until.as_secs_f64()],
        seeds: played.iter().map(|sim| sim.figures(*from, *until)).collect(),
    };
    let mean = |count: fn(&Sim) -> u64| {
        played.iter().map(|sim| count(sim) as f64).sum::<f64>() / played.len() as f64
    };
    Report {
        rows: spans.iter().map(row).collect(),
        preempted: mean(|sim| sim.preempted),
        moved: mean(|sim| sim.moved),
        moves_refused: mean(|sim| sim.moves_refused),
    }
}

fn spans(options: &FleetOptions) -> Vec<(Duration, Duration)> {
    let mut ends = vec![options.warm_up, options.length];
    ends.extend(options.burst.iter().flat_map(|burst| [burst.from, burst.until]));
    ends.extend(options.lost.iter().flat_map(|(from, until)| [*from, *until]));
    ends.retain(|at| (options.warm_up..=options.length).contains(at));
    ends.sort();
    ends.dedup();
    ends.windows(2).map(|pair| (pair[0], pair[1])).collect()
}
