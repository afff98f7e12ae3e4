//! Whether this daemon can connect to endpoints, from its own connection attempts and from what
//! other daemons have found out for it.
//!
//! A connection that fails does not tell whose fault it is. If another daemon connects to the same
//! endpoint, the path from this daemon is broken; if that one fails as well, the endpoint is down.

#[cfg(test)]
mod tests;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::units::Instant;

/// How long an endpoint that another daemon could not connect to either is taken to be down. A
/// sound endpoint may be silent for a second.
const DOWN_VERDICT_TTL: Duration = Duration::from_millis(500);
/// Endpoints that must be unreachable before all others are assumed to be.
const CUT_OFF_THRESHOLD: usize = 2;
/// Unreachable endpoints that are tracked; the path to others is assumed to work.
const MAX_TRACKED_ENDPOINTS: usize = 1_024;

/// How an attempt should reach its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// By a connection of this daemon.
    Direct,
    /// Through another daemon.
    Forwarded,
    /// Not at all: neither this daemon nor another one could connect just now.
    Down,
}

/// What a failure to reach an endpoint is put down to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Blame {
    /// No other daemon could connect either, or this daemon has no difficulty to connect.
    Endpoint,
    /// Another daemon has connected.
    Path,
    /// No other daemon has tried yet.
    Undecided,
}

/// What another daemon has found out about an endpoint that this one cannot connect to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    /// No other daemon has tried yet.
    Unknown,
    /// Another daemon has connected.
    Up,
    /// Another daemon could not connect either, at this time.
    Down(Instant),
}

/// An endpoint to which the last connection attempt of this daemon failed.
#[derive(Debug, Clone, Copy)]
struct Unreachable {
    /// Start time of the endpoint's run.
    started_at: u64,
    verdict: Verdict,
    /// Whether the attempt failed after the last successful connection to any endpoint.
    since_connected: bool,
}

/// The reachability of endpoints from this daemon.
#[derive(Debug, Default)]
pub struct ReachabilityTracker {
    unreachable: BTreeMap<Arc<str>, Unreachable>,
    /// The endpoint that was probed last.
    last_probed: Option<Arc<str>>,
    last_connected: Option<Instant>,
    /// Whether a connection that was tried for comparison with a failed one has failed as well, and
    /// none has come up since.
    reaches_none: bool,
}

impl ReachabilityTracker {
    /// Records a successful connection to an endpoint.
    pub fn on_connected(&mut self, endpoint: &str, now: Instant) {
        self.last_connected = Some(now);
        self.reaches_none = false;
        if self.unreachable.is_empty() {
            return;
        }
        self.unreachable.remove(endpoint);
        for unreachable in self.unreachable.values_mut() {
            unreachable.since_connected = false;
        }
    }

    /// Records a failed connection attempt to the run of an endpoint that started at `started_at`.
    pub fn on_connect_failed(&mut self, endpoint: &Arc<str>, started_at: u64) {
        let known = self.unreachable.get_mut(endpoint);
        if let Some(known) = known.filter(|known| known.started_at == started_at) {
            known.since_connected = true;
            return;
        }
        if self.unreachable.len() < MAX_TRACKED_ENDPOINTS {
            let unreachable =
                Unreachable { started_at, verdict: Verdict::Unknown, since_connected: true };
            self.unreachable.insert(endpoint.clone(), unreachable);
        }
    }

    /// Records that neither an endpoint nor another one that was tried for comparison could be
    /// connected to.
    pub fn on_comparison_failed(&mut self) {
        self.reaches_none = true;
    }

    /// Whether a failure of this daemon to connect to an endpoint may be the daemon's own fault.
    pub fn is_in_doubt(&self) -> bool {
        self.reaches_none || self.is_cut_off()
    }

    /// Records whether another daemon could connect to an endpoint that this one could not reach.
    pub fn on_verdict(&mut self, endpoint: &str, is_up: bool, now: Instant) {
        if let Some(unreachable) = self.unreachable.get_mut(endpoint) {
            unreachable.verdict = if is_up { Verdict::Up } else { Verdict::Down(now) };
        }
    }

    /// How an attempt should reach the run of an endpoint that started at `started_at`.
    pub fn path(&self, endpoint: &str, started_at: u64, now: Instant) -> Path {
        let unreachable = self.unreachable.get(endpoint);
        match unreachable.filter(|unreachable| unreachable.started_at == started_at) {
            Some(Unreachable { verdict: Verdict::Up, .. }) => Path::Forwarded,
            Some(Unreachable { verdict: Verdict::Down(at), .. })
                if now.since(*at) < DOWN_VERDICT_TTL =>
            {
                Path::Down
            }
            _ if self.is_cut_off() => Path::Forwarded,
            _ => Path::Direct,
        }
    }

    /// Whether this daemon appears to reach no endpoint although others do: since its last
    /// connection several endpoints were unreachable, and another daemon has connected to one.
    pub fn is_cut_off(&self) -> bool {
        let failing = || self.unreachable.values().filter(|endpoint| endpoint.since_connected);
        CUT_OFF_THRESHOLD <= failing().count()
            && failing().any(|endpoint| endpoint.verdict == Verdict::Up)
    }

    /// Whether this is the only endpoint that has failed since the last connection to any other.
    pub fn is_isolated_failure(&self, endpoint: &str) -> bool {
        let mut failing = self.unreachable.iter().filter(|(_, known)| known.since_connected);
        self.last_connected.is_some() && failing.all(|(name, _)| **name == *endpoint)
    }

    /// Whether the last connection attempt to an endpoint failed.
    pub fn is_unreachable(&self, endpoint: &str) -> bool {
        self.unreachable.contains_key(endpoint)
    }

    /// What a failure to reach an endpoint is put down to.
    pub fn blame(&self, endpoint: &str) -> Blame {
        match self.unreachable.get(endpoint).map(|known| known.verdict) {
            Some(Verdict::Up) => Blame::Path,
            Some(Verdict::Unknown) if self.is_cut_off() => Blame::Path,
            Some(Verdict::Unknown) => Blame::Undecided,
            Some(Verdict::Down(_)) | None => Blame::Endpoint,
        }
    }

    /// Number of unreachable endpoints to which another daemon has connected.
    pub fn broken_paths(&self) -> usize {
        self.unreachable.values().filter(|endpoint| endpoint.verdict == Verdict::Up).count()
    }

    /// Number of endpoints to which the last connection attempt failed.
    pub fn unreachable(&self) -> usize {
        self.unreachable.len()
    }

    /// Time of the last successful connection to any endpoint.
    pub fn last_connected(&self) -> Option<Instant> {
        self.last_connected
    }

    /// The next unreachable endpoint to probe, in turn. Forgets endpoints for which `is_current`
    /// does not hold.
    pub fn next_probe(&mut self, is_current: impl Fn(&str, u64) -> bool) -> Option<Arc<str>> {
        self.unreachable.retain(|endpoint, known| is_current(endpoint, known.started_at));
        let after = |last: &Arc<str>| self.unreachable.keys().find(|endpoint| last < *endpoint);
        let next = self.last_probed.as_ref().and_then(after);
        let next = next.or_else(|| self.unreachable.keys().next()).cloned();
        self.last_probed.clone_from(&next);
        next
    }
}
