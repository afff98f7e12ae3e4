//! What an experiment measures.

use std::time::Duration;

use hdrhistogram::Histogram;

use super::trace::KindModel;

/// A gap between tokens counts as a stall beyond this.
pub(crate) const STALL_FROM: Duration = Duration::from_millis(200);
const LONGEST_US: u64 = 3_600_000_000;

/// Figures of one kind of request.
pub(crate) struct KindFigures {
    /// Requests that arrived in the measured time.
    pub(crate) arrived: u64,
    /// Requests answered whole, the first token within the deadline.
    pub(crate) in_time: u64,
    /// Times between tokens in microseconds.
    pub(crate) gaps: Histogram<u64>,
    /// Times to the first token in microseconds.
    pub(crate) first: Histogram<u64>,
}

/// Figures of one run.
pub(crate) struct Figures {
    /// By kind, in the order of the mix.
    pub(crate) kinds: Vec<KindFigures>,
    /// Sum of all gaps beyond [`STALL_FROM`], in seconds.
    pub(crate) stall_seconds: f64,
    /// Streams pushed aside by engines.
    pub(crate) preemptions: u64,
    /// Requests given up by the scheduler.
    pub(crate) given_up: u64,
    /// Requests cut off by the death of an engine after tokens were shown.
    pub(crate) cut_off: u64,
    /// Requests that completed.
    pub(crate) completed: u64,
}

impl Figures {
    pub(crate) fn new(kinds: &[KindModel]) -> Figures {
        let histogram = || Histogram::new_with_bounds(1, LONGEST_US, 3).expect("valid bounds");
        let figures = |_: &KindModel| KindFigures {
            arrived: 0,
            in_time: 0,
            gaps: histogram(),
            first: histogram(),
        };
        Figures {
            kinds: kinds.iter().map(figures).collect(),
            stall_seconds: 0.0,
            preemptions: 0,
            given_up: 0,
            cut_off: 0,
            completed: 0,
        }
    }

    /// Records a gap between two tokens.
    pub(crate) fn gap(&mut self, kind: usize, gap: Duration) {
        self.kinds[kind].gaps.saturating_record(gap.as_micros() as u64);
        self.stall_seconds += gap.saturating_sub(STALL_FROM).as_secs_f64();
    }

    /// Gaps of all kinds together, at a quantile, in milliseconds.
    pub(crate) fn gap_ms(&self, quantile: f64) -> f64 {
        let mut all: Histogram<u64> =
            Histogram::new_with_bounds(1, LONGEST_US, 3).expect("valid bounds");
        for kind in &self.kinds {
            all.add(&kind.gaps).expect("the bounds are equal");
        }
        all.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Part of the weight of all arrivals that was answered whole and in time.
    pub(crate) fn weighted_service(&self, kinds: &[KindModel]) -> f64 {
        let sum = |count: &dyn Fn(&KindFigures) -> u64| -> f64 {
            self.kinds.iter().zip(kinds).map(|(f, k)| count(f) as f64 * k.weight).sum()
        };
        sum(&|f| f.in_time) / sum(&|f| f.arrived).max(1.0)
    }

    /// Part of one kind that was answered whole and in time.
    pub(crate) fn service(&self, kind: usize) -> f64 {
        let figures = &self.kinds[kind];
        figures.in_time as f64 / figures.arrived.max(1) as f64
    }
}
