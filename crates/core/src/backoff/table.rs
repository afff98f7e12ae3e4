//! Back-off state of endpoints that recently rejected requests.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use super::{Rejection, circuit::Circuit};
use crate::units::Instant;

/// Maximum endpoints in the table. More rejecting at once indicate a network fault.
const MAX_ENDPOINTS: usize = 4_096;

/// Minimum extension of a back-off that is announced to other daemons; an announcement reaches all
/// of them in a third of this time.
const MIN_ANNOUNCED_EXTENSION: Duration = Duration::from_millis(600);

/// Key of the daemon itself in its own table.
pub const LOCAL_DAEMON: u64 = 0;

/// Whether an endpoint may be sent a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Requests are allowed.
    Allowed,
    /// Only if no other endpoint is available: it asked another daemon to back off.
    LastResort,
    /// Not until an unanswered request is answered.
    Busy,
    /// Not before this time: it asked this daemon to back off.
    BackedOff(Instant),
}

/// State of one endpoint.
#[derive(Debug)]
struct Endpoint {
    started_at: u64,
    circuit: Circuit,
    /// End of the back-off that was last announced.
    announced: Instant,
    /// End of the back-off of each daemon that was asked to back off.
    backoffs: BTreeMap<u64, Instant>,
}

/// Endpoints that recently rejected requests. A daemon keeps one table for itself, under
/// [`LOCAL_DAEMON`]; the leader keeps one for all daemons by number.
#[derive(Debug, Default)]
pub struct BackoffTable {
    known: HashMap<Arc<str>, Endpoint>,
}

impl BackoffTable {
    /// Whether no endpoint rejected a request recently.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Records a rejection of a daemon's request. Rejections of earlier runs are ignored.
    pub fn on_rejection(&mut self, daemon: u64, rejection: &Rejection, now: Instant) {
        let Some(known) = self.current_run(&rejection.endpoint, rejection.started_at, now) else {
            return;
        };
        known.circuit.on_rejection(rejection.retry_after, now);
        if let Some(retry_after) = rejection.retry_after.filter(|time| !time.is_zero()) {
            let until = now.after(retry_after);
            // Each rejection asks for a back-off of its own, so the latest end applies.
            let end = known.backoffs.entry(daemon).or_default();
            *end = until.max(*end);
        }
    }

    /// Applies another daemon's report that an endpoint is a last resort for the time `remaining`.
    pub fn on_report(
        &mut self,
        endpoint: &Arc<str>,
        started_at: u64,
        remaining: Duration,
        now: Instant,
    ) {
        let until = now.after(remaining);
        if let Some(known) = self.current_run(endpoint, started_at, now)
            && known.circuit.until() < until
        {
            known.circuit.trip_until(until, now);
        }
    }

    /// Removes endpoints whose circuit has reset.
    pub fn expire(&mut self, now: Instant) {
        self.retain(|_, _| true, now);
    }

    /// Like [`BackoffTable::expire`], and removes runs that `is_current` rejects.
    pub fn retain(&mut self, is_current: impl Fn(&str, u64) -> bool, now: Instant) {
        self.known.retain(|endpoint, known| {
            known.backoffs.retain(|_, until| now < *until);
            let is_reset = known.backoffs.is_empty() && known.circuit.is_reset(now);
            !is_reset && is_current(endpoint, known.started_at)
        });
    }

    /// Removes a daemon that is gone.
    pub fn remove_daemon(&mut self, daemon: u64) {
        for known in self.known.values_mut() {
            known.backoffs.remove(&daemon);
        }
    }

    /// Whether this daemon may send a request to an endpoint.
    pub fn admission(&self, endpoint: &str, daemon: u64, now: Instant) -> Admission {
        let Some(known) = self.known.get(endpoint) else { return Admission::Allowed };
        match known.backoffs.get(&daemon) {
            Some(until) if now < *until => Admission::BackedOff(*until),
            _ if !known.circuit.admits(now) => Admission::Busy,
            _ if known.circuit.is_last_resort(now) => Admission::LastResort,
            _ => Admission::Allowed,
        }
    }

    /// End of this daemon's back-off from an endpoint, unless it has passed.
    pub fn backoff_until(&self, endpoint: &str, daemon: u64, now: Instant) -> Option<Instant> {
        match self.admission(endpoint, daemon, now) {
            Admission::BackedOff(until) => Some(until),
            Admission::Allowed | Admission::LastResort | Admission::Busy => None,
        }
    }

    /// End of the time for which an endpoint is a last resort for all daemons, unless it has
    /// passed.
    pub fn last_resort_until(&self, endpoint: &str, now: Instant) -> Option<Instant> {
        let circuit = self.known.get(endpoint)?.circuit;
        circuit.is_last_resort(now).then(|| circuit.until())
    }

    /// Whether a new back-off end must be announced to other daemons; marks it as announced.
    pub fn take_pending_report(&mut self, endpoint: &str, now: Instant) -> bool {
        let Some(known) = self.known.get_mut(endpoint) else { return false };
        let until = known.circuit.until();
        let is_extended = known.announced.max(now).after(MIN_ANNOUNCED_EXTENSION) <= until;
        if is_extended {
            known.announced = until;
        }
        is_extended
    }

    /// Start time of the run of an endpoint that recently rejected a request.
    pub fn started_at(&self, endpoint: &str) -> Option<u64> {
        self.known.get(endpoint).map(|known| known.started_at)
    }

    /// Current back-offs of a daemon, as rejections with the remaining time.
    pub fn active_backoffs(&self, daemon: u64, now: Instant) -> impl Iterator<Item = Rejection> {
        self.known.iter().filter_map(move |(endpoint, known)| {
            let until = known.backoffs.get(&daemon).filter(|until| now < **until)?;
            let (endpoint, retry_after) = (endpoint.clone(), Some(until.since(now)));
            Some(Rejection { endpoint, started_at: known.started_at, retry_after })
        })
    }

    /// Next time at which the admission of an endpoint changes by expiry.
    pub fn next_change(&self, now: Instant) -> Option<Instant> {
        let ends = |known: &Endpoint| {
            let backoffs = known.backoffs.values().copied();
            backoffs.chain([known.circuit.until()]).filter(|at| now < *at).min()
        };
        self.known.values().filter_map(ends).min()
    }

    /// Counts a request that is sent to an endpoint.
    pub fn on_sent(&mut self, endpoint: &str, now: Instant) {
        if let Some(known) = self.known.get_mut(endpoint) {
            known.circuit.on_sent(now);
        }
    }

    /// A request sent at `sent` ended without a rejection; `answered` if the endpoint began to
    /// respond.
    pub fn on_end(&mut self, endpoint: &str, sent: Instant, answered: bool, now: Instant) {
        let Some(known) = self.known.get_mut(endpoint) else { return };
        known.circuit.on_end(sent, answered);
        known.backoffs.retain(|_, until| now < *until);
        if known.backoffs.is_empty() && known.circuit.is_reset(now) {
            self.known.remove(endpoint);
        }
    }

    /// State of this run of an endpoint, created if needed; `None` if a later run is known or the
    /// table is full.
    fn current_run(
        &mut self,
        endpoint: &Arc<str>,
        started_at: u64,
        now: Instant,
    ) -> Option<&mut Endpoint> {
        if MAX_ENDPOINTS <= self.known.len() && !self.known.contains_key(endpoint) {
            self.expire(now);
            if MAX_ENDPOINTS <= self.known.len() {
                return None;
            }
        }
        let new = || Endpoint {
            started_at,
            circuit: Circuit::new(),
            announced: Instant::default(),
            backoffs: BTreeMap::new(),
        };
        let known = self.known.entry(endpoint.clone()).or_insert_with(new);
        if started_at < known.started_at {
            return None;
        }
        if known.started_at < started_at {
            *known = new();
        }
        Some(known)
    }
}
