//! Repeats that this entry may send, as its share of what all entries may.

use std::{collections::VecDeque, time::Duration};

use trayswitch_core::units::Instant;

use super::RelayOptions;

/// Part of the operators' bound that is used: entries count in windows that begin at other
/// moments, and one that starts anew has forgotten what it sent.
const USED: f64 = 0.75;
/// Daemons that are assumed to share the bound while their number is not known.
const ASSUMED_DAEMONS: u64 = 16;

/// Requests and repeats of one service in the last window.
#[derive(Debug, Default)]
pub(super) struct RepeatBudget {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl RepeatBudget {
    /// Counts a caller's request.
    pub(super) fn note_request(&mut self, options: &RelayOptions, now: Instant) {
        forget(&mut self.requests, options.retry_window, now);
        self.requests.push_back(now);
    }

    /// Counts a repeat if there may be one more.
    pub(super) fn take(&mut self, options: &RelayOptions, daemons: u64, now: Instant) -> bool {
        forget(&mut self.requests, options.retry_window, now);
        forget(&mut self.repeats, options.retry_window, now);
        let daemons = if daemons == 0 { ASSUMED_DAEMONS } else { daemons };
        let by_requests = options.retry_ratio * self.requests.len() as f64;
        let allowed = USED * (by_requests + options.retry_slack / daemons as f64);
        let taken = (self.repeats.len() + 1) as f64 <= allowed;
        if taken {
            self.repeats.push_back(now);
        }
        taken
    }
}

fn forget(times: &mut VecDeque<Instant>, window: Duration, now: Instant) {
    while times.front().is_some_and(|at| window <= now.since(*at)) {
        times.pop_front();
    }
}
