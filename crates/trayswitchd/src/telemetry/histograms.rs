//! Histograms for each workspace and kind of request.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use hdrhistogram::Histogram;
use serde::Serialize;

/// Workspaces and kinds beyond this many share one entry, to bound memory.
const MAX_CLASSES: usize = 512;
const LONGEST_US: u64 = 3_600_000_000;
const DIGITS: u8 = 2;
const OTHERS: &str = "(others)";

/// What is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Measure {
    /// From arrival to the first token or the whole answer of a call.
    FirstToken,
    /// Between consecutive tokens.
    Gap,
    /// From arrival to the end.
    Total,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Class {
    workspace: String,
    kind: String,
}

#[derive(Debug)]
struct ClassHistograms {
    first_token: Histogram<u32>,
    gap: Histogram<u32>,
    total: Histogram<u32>,
    outcomes: BTreeMap<&'static str, u64>,
}

impl ClassHistograms {
    fn new() -> ClassHistograms {
        let histogram = || {
            let mut histogram = Histogram::new(DIGITS).expect("the number of digits is valid");
            histogram.auto(true);
            histogram
        };
        ClassHistograms {
            first_token: histogram(),
            gap: histogram(),
            total: histogram(),
            outcomes: BTreeMap::new(),
        }
    }
}

/// Quantiles of one measure, in milliseconds.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct Quantiles {
    count: u64,
    p50: f64,
    p95: f64,
    p99: f64,
    max: f64,
}

/// What is known of one workspace and kind.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct ClassReport {
    workspace: String,
    kind: String,
    first_token_ms: Quantiles,
    gap_ms: Quantiles,
    total_ms: Quantiles,
    outcomes: BTreeMap<&'static str, u64>,
}

/// All histograms of a daemon.
#[derive(Debug, Default)]
pub(crate) struct Histograms {
    classes: Mutex<BTreeMap<Class, ClassHistograms>>,
}

impl Histograms {
    /// Records one duration.
    pub(crate) fn record(&self, workspace: &str, kind: &str, measure: Measure, value: Duration) {
        self.record_all(workspace, kind, measure, &[value]);
    }

    /// Records several durations of one measure.
    pub(crate) fn record_all(
        &self,
        workspace: &str,
        kind: &str,
        measure: Measure,
        values: &[Duration],
    ) {
        self.with_class(workspace, kind, |class| {
            let histogram = match measure {
                Measure::FirstToken => &mut class.first_token,
                Measure::Gap => &mut class.gap,
                Measure::Total => &mut class.total,
            };
            for value in values {
                // Not `saturating_record`: that one never lets the histogram grow.
                let recorded = histogram.record((value.as_micros() as u64).min(LONGEST_US));
                debug_assert!(recorded.is_ok(), "the histogram grows by itself");
            }
        });
    }

    /// Counts how a request ended.
    pub(crate) fn count(&self, workspace: &str, kind: &str, outcome: &'static str) {
        self.with_class(workspace, kind, |class| {
            *class.outcomes.entry(outcome).or_default() += 1;
        });
    }

    /// A report for each workspace and kind.
    pub(crate) fn report(&self) -> Vec<ClassReport> {
        let report = |(class, histograms): (&Class, &ClassHistograms)| ClassReport {
            workspace: class.workspace.clone(),
            kind: class.kind.clone(),
            first_token_ms: quantiles(&histograms.first_token),
            gap_ms: quantiles(&histograms.gap),
            total_ms: quantiles(&histograms.total),
            outcomes: histograms.outcomes.clone(),
        };
        self.classes().iter().map(report).collect()
    }

    fn with_class(&self, workspace: &str, kind: &str, change: impl FnOnce(&mut ClassHistograms)) {
        let mut classes = self.classes();
        let mut class = Class { workspace: workspace.to_owned(), kind: kind.to_owned() };
        if MAX_CLASSES <= classes.len() && !classes.contains_key(&class) {
            class.workspace = OTHERS.to_owned();
        }
        change(classes.entry(class).or_insert_with(ClassHistograms::new));
    }

    fn classes(&self) -> MutexGuard<'_, BTreeMap<Class, ClassHistograms>> {
        self.classes.lock().expect("no recorder panics")
    }
}

fn quantiles(histogram: &Histogram<u32>) -> Quantiles {
    let millis = |us: u64| us as f64 / 1_000.0;
    let at = |quantile| millis(histogram.value_at_quantile(quantile));
    Quantiles {
        count: histogram.len(),
        p50: at(0.50),
        p95: at(0.95),
        p99: at(0.99),
        max: millis(histogram.max()),
    }
}
