//! By how much connections take longer than they can.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::units::Instant;

/// Excess over the least time of the peer from which a connection is late.
const LATE: Duration = Duration::from_millis(20);
/// Late connections in a row, to more than one peer, from which the link is late.
const MIN_RUN: usize = 3;
/// Age of the last connection up to which something is concluded.
const MAX_AGE: Duration = Duration::from_secs(1);
/// Peers whose least time is kept.
const MAX_PEERS: usize = 1_024;
/// By this part of the difference the least time of a peer follows longer ones, since routes change.
const LEAST_GAIN: f64 = 1.0 / 256.0;

/// Late connections since the last one in time.
#[derive(Debug, Clone)]
struct LateRun {
    first_peer: Arc<str>,
    has_other_peer: bool,
    connections: usize,
    delay: Delay,
}

/// What late connections to several peers tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Delay {
    /// The least excess over the least time of the peer among them.
    pub(super) least_excess: Duration,
    /// Whether any of them came up.
    pub(super) any_came_up: bool,
}

/// The time that connections take, against the least time of their peers.
#[derive(Debug, Default)]
pub(super) struct DelayTracker {
    least: HashMap<Arc<str>, Duration>,
    late_run: Option<LateRun>,
    latest: Instant,
}

impl DelayTracker {
    /// Records a connection that took this long until it came up, or until it was given up.
    pub(super) fn record(&mut self, peer: &Arc<str>, took: Duration, came_up: bool, now: Instant) {
        let Some(least) = self.least.get_mut(peer) else {
            if came_up && self.least.len() < MAX_PEERS {
                self.least.insert(peer.clone(), took);
            }
            return;
        };
        let excess = took.saturating_sub(*least);
        if came_up {
            *least = took.min(*least + excess.mul_f64(LEAST_GAIN));
        }
        if MAX_AGE < now.since(self.latest) || excess < LATE {
            self.late_run = None;
        }
        self.latest = now;
        if excess < LATE {
            return;
        }
        let run = self.late_run.get_or_insert_with(|| LateRun {
            first_peer: peer.clone(),
            has_other_peer: false,
            connections: 0,
            delay: Delay { least_excess: excess, any_came_up: false },
        });
        run.connections += 1;
        run.has_other_peer |= run.first_peer != *peer;
        run.delay.least_excess = run.delay.least_excess.min(excess);
        run.delay.any_came_up |= came_up;
    }

    /// By how much all recent connections are late; `None` if they are not.
    pub(super) fn recent(&self, now: Instant) -> Option<Delay> {
        let run = self.late_run.as_ref().filter(|_| now.since(self.latest) <= MAX_AGE)?;
        (MIN_RUN <= run.connections && run.has_other_peer).then_some(run.delay)
    }
}
