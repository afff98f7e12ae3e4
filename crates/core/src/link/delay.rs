//! By how much connections take longer than they can.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::units::Instant;

/// Age up to which connections count.
const WINDOW: Duration = Duration::from_millis(500);
/// Connections in the window that are kept.
const MAX_SAMPLES: usize = 256;
/// Peers whose least time is kept.
const MAX_PEERS: usize = 1_024;
/// Distinct peers in the window without which nothing is concluded.
const MIN_PEERS: usize = 2;
/// By this part of the difference the least time of a peer follows longer ones, since routes change.
const LEAST_GAIN: f64 = 1.0 / 256.0;

#[derive(Debug)]
struct Sample {
    at: Instant,
    peer: Arc<str>,
    excess: Duration,
    came_up: bool,
}

/// What the time of recent connections tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Delay {
    /// The least excess over the least time of the peer, among all recent connections.
    pub(super) least_excess: Duration,
    /// Whether any of them came up.
    pub(super) any_came_up: bool,
}

/// The time that connections take, against the least time of their peers.
#[derive(Debug, Default)]
pub(super) struct DelayTracker {
    least: HashMap<Arc<str>, Duration>,
    samples: VecDeque<Sample>,
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
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample { at: now, peer: peer.clone(), excess, came_up });
    }

    /// What the connections of the window tell; `None` if they are of too few peers.
    pub(super) fn recent(&mut self, now: Instant) -> Option<Delay> {
        while self.samples.front().is_some_and(|sample| WINDOW < now.since(sample.at)) {
            self.samples.pop_front();
        }
        let peers: HashSet<&str> = self.samples.iter().map(|sample| &*sample.peer).collect();
        if peers.len() < MIN_PEERS {
            return None;
        }
        let least_excess = self.samples.iter().map(|sample| sample.excess).min()?;
        let any_came_up = self.samples.iter().any(|sample| sample.came_up);
        Some(Delay { least_excess, any_came_up })
    }
}
