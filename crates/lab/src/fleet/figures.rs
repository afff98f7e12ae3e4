//! What callers get.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::load::{Arrival, KINDS, LONGEST_PAUSE, TOKENS_PER_EVENT};

const LONGEST_US: u64 = 60_000_000;

/// How one request went.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Course {
    /// When its first event came.
    pub(crate) first: Option<u64>,
    /// When its last token came.
    last: Option<u64>,
    /// Longest time between two tokens.
    longest_gap: u64,
    /// Tokens that its caller has.
    pub(crate) tokens: u64,
    /// When the whole answer was there.
    pub(crate) ended: Option<u64>,
    /// When it was refused.
    pub(crate) refused: Option<u64>,
    /// When its caller gave up because nothing had come.
    pub(crate) left: Option<u64>,
    /// When its endpoint ended under it.
    pub(crate) cut: Option<u64>,
}

impl Course {
    /// Notes a token.
    pub(crate) fn token(&mut self, now: u64) {
        self.tokens += 1;
        if let Some(last) = self.last.replace(now) {
            self.longest_gap = self.longest_gap.max(now - last);
        }
        if self.tokens == 1 {
            self.first = Some(now);
        }
    }

    /// Whether nobody waits for it any more.
    pub(crate) fn is_over(&self) -> bool {
        self.refused.is_some() || self.left.is_some()
    }

    fn is_late(&self, arrival: &Arrival) -> bool {
        let first = Duration::from_micros(self.first.unwrap_or(u64::MAX) - arrival.at);
        let gap = Duration::from_micros(self.longest_gap);
        KINDS[arrival.kind].target_latency < first || LONGEST_PAUSE < gap
    }
}

/// Figures of the requests that arrived in a span of time.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Figures {
    /// Requests.
    pub(crate) asked: u64,
    /// Those answered whole, but late.
    pub(crate) late: u64,
    /// Those refused.
    pub(crate) refused: u64,
    /// Those whose callers gave up because nothing had come.
    pub(crate) left: u64,
    /// Those whose endpoint ended under them.
    pub(crate) cut: u64,
    /// Part of the worth that was served.
    pub(crate) served: f64,
    /// Milliseconds to the first event, by kind: median and 99%.
    pub(crate) first_ms: Vec<[f64; 2]>,
    /// Milliseconds between events of answers of 20 events and more.
    pub(crate) pace_ms: f64,
    /// Mean of the seconds from arrival to end, weighed by worth, of the first kind.
    pub(crate) whole_s: f64,
}

impl Figures {
    /// Counts what arrived between two times, in microseconds.
    pub(crate) fn of(arrivals: &[Arrival], courses: &[Course], from: u64, until: u64) -> Figures {
        let histogram = || Histogram::<u64>::new_with_bounds(1, LONGEST_US, 3).expect("valid");
        let mut first: Vec<_> = KINDS.iter().map(|_| histogram()).collect();
        let mut figures = Figures {
            asked: 0,
            late: 0,
            refused: 0,
            left: 0,
            cut: 0,
            served: 0.0,
            first_ms: Vec::new(),
            pace_ms: 0.0,
            whole_s: 0.0,
        };
        let (mut owed, mut pace, mut paced, mut whole, mut weight) = (0.0, 0.0, 0.0, 0.0, 0.0);
        let inside = |(arrival, _): &(&Arrival, &Course)| (from..until).contains(&arrival.at);
        for (arrival, course) in arrivals.iter().zip(courses).filter(inside) {
            let kind = &KINDS[arrival.kind];
            let credit = kind.credit(arrival.prompt, arrival.output, false);
            figures.asked += 1;
            owed += credit;
            figures.refused += u64::from(course.refused.is_some());
            figures.left += u64::from(course.left.is_some());
            figures.cut += u64::from(course.cut.is_some());
            if let Some(at) = course.first {
                first[arrival.kind].saturating_record(at - arrival.at);
            }
            let (Some(begun), Some(ended)) = (course.first, course.ended) else { continue };
            let late = course.is_late(arrival);
            figures.late += u64::from(late);
            figures.served += kind.credit(arrival.prompt, arrival.output, late);
            if arrival.kind == 0 {
                whole += credit * (ended - arrival.at) as f64 / 1e6;
                weight += credit;
            }
            const LONG: u64 = 20 * TOKENS_PER_EVENT;
            if LONG <= arrival.output {
                let token = (ended - begun) as f64 / (arrival.output - 1) as f64;
                pace += token * TOKENS_PER_EVENT as f64 / 1e3;
                paced += 1.0;
            }
        }
        figures.served /= f64::max(owed, 1.0);
        figures.pace_ms = pace / f64::max(paced, 1.0);
        figures.whole_s = whole / f64::max(weight, 1.0);
        let quantiles =
            |h: &Histogram<u64>| [0.5, 0.99].map(|q| h.value_at_quantile(q) as f64 / 1e3);
        figures.first_ms = first.iter().map(quantiles).collect();
        figures
    }
}
