//! The retry budget: this daemon's share of the retries that all daemons may send.

use std::{collections::VecDeque, time::Duration};

use trayswitch_core::units::Instant;

use super::RelayOptions;

/// Fraction of the budget that is used. Leaves room for unaligned windows and for daemons that
/// forget their retries in a restart.
const USED_FRACTION: f64 = 0.75;
/// Number of daemons sharing the budget while it is unknown.
const ASSUMED_DAEMON_COUNT: u64 = 16;

/// Requests and retries of one service within the window.
#[derive(Debug, Default)]
pub(super) struct RetryBudget {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Records a caller's request.
    pub(super) fn record_request(&mut self, options: &RelayOptions, now: Instant) {
        evict_expired(&mut self.requests, options.retry_window, now);
        self.requests.push_back(now);
    }

    /// Takes a retry from the budget, if one is left.
    pub(super) fn try_acquire(
        &mut self,
        options: &RelayOptions,
        daemons: u64,
        now: Instant,
    ) -> bool {
        evict_expired(&mut self.requests, options.retry_window, now);
        evict_expired(&mut self.retries, options.retry_window, now);
        let daemons = if daemons == 0 { ASSUMED_DAEMON_COUNT } else { daemons };
        let by_requests = options.retry_ratio * self.requests.len() as f64;
        let allowed = USED_FRACTION * (by_requests + options.retry_slack / daemons as f64);
        let acquired = (self.retries.len() + 1) as f64 <= allowed;
        if acquired {
            self.retries.push_back(now);
        }
        acquired
    }
}

fn evict_expired(times: &mut VecDeque<Instant>, window: Duration, now: Instant) {
    while times.front().is_some_and(|at| window <= now.since(*at)) {
        times.pop_front();
    }
}
