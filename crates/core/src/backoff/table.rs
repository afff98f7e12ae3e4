//! Back-off state of endpoints that recently rejected requests.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use super::{Rejection, circuit::Circuit};
use crate::{signals::RESTART_NEWS_DELAY, units::Instant};

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

impl Admission {
    /// End of the back-off that the endpoint asked this daemon for.
    pub fn backoff_until(self) -> Option<Instant> {
        match self {
            Admission::BackedOff(until) => Some(until),
            Admission::Allowed | Admission::LastResort | Admission::Busy => None,
        }
    }
}

/// State of one endpoint.
#[derive(Debug)]
struct Endpoint {
    started_at: u64,
    circuit: Circuit,
    /// End of the back-off that was last announced.
    announced: Instant,
    /// Back-offs of each daemon that was asked to back off.
    backoffs: BTreeMap<u64, Backoffs>,
}

impl Endpoint {
    fn new(started_at: u64) -> Endpoint {
        Endpoint {
            started_at,
            circuit: Circuit::new(),
            announced: Instant::default(),
            backoffs: BTreeMap::new(),
        }
    }

    /// Replaces the run by a later one, which may have sent the latest rejections.
    fn set_run(&mut self, started_at: u64, now: Instant) {
        let is_recent = |asked_at: Instant| now.since(asked_at) < RESTART_NEWS_DELAY;
        self.started_at = started_at;
        if !is_recent(self.circuit.rejected_at()) {
            self.circuit = Circuit::new();
            self.announced = Instant::default();
        }
        self.backoffs.retain(|_, backoffs| {
            backoffs.0.retain(|backoff| is_recent(backoff.asked_at));
            !backoffs.0.is_empty()
        });
    }

    /// Removes back-offs that have ended; returns whether nothing is left to remember.
    fn is_reset(&mut self, now: Instant) -> bool {
        self.backoffs.retain(|_, backoffs| backoffs.end().is_some_and(|end| now < end));
        self.backoffs.is_empty() && self.circuit.is_reset(now)
    }
}

/// A back-off that an endpoint asked a daemon for.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    asked_at: Instant,
    until: Instant,
}

/// The back-offs that an endpoint asked one daemon for, from the longest to the latest. Each one
/// applies, so the longest counts until it ends or its run is replaced.
#[derive(Debug, Default)]
struct Backoffs(Vec<Backoff>);

impl Backoffs {
    /// Adds a back-off and drops earlier ones that end no later.
    fn add(&mut self, backoff: Backoff) {
        self.0.retain(|earlier| backoff.until < earlier.until);
        self.0.push(backoff);
    }

    /// When the last of them ends.
    fn end(&self) -> Option<Instant> {
        self.0.first().map(|longest| longest.until)
    }
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

    /// Records a rejection of a daemon's request. It counts for the latest known run, since a daemon
    /// that names an earlier one has not heard of the restart.
    pub fn on_rejection(&mut self, daemon: u64, rejection: &Rejection, now: Instant) {
        let Some(known) = self.latest_run(&rejection.endpoint, rejection.started_at, now) else {
            return;
        };
        known.circuit.on_rejection(rejection.retry_after, now);
        if let Some(retry_after) = rejection.retry_after.filter(|time| !time.is_zero()) {
            let backoff = Backoff { asked_at: now, until: now.after(retry_after) };
            known.backoffs.entry(daemon).or_default().add(backoff);
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
        if let Some(known) = self.latest_run(endpoint, started_at, now)
            && known.started_at == started_at
            && known.circuit.until() < until
        {
            known.circuit.trip_until(until, now);
        }
    }

    /// Removes endpoints whose circuit has reset.
    pub fn expire(&mut self, now: Instant) {
        self.known.retain(|_, known| !known.is_reset(now));
    }

    /// Like [`BackoffTable::expire`], and applies the start times of the known runs of endpoints.
    pub fn update_runs(&mut self, started_at: impl Fn(&str) -> Option<u64>, now: Instant) {
        for (endpoint, known) in &mut self.known {
            if let Some(started_at) = started_at(endpoint).filter(|at| known.started_at < *at) {
                known.set_run(started_at, now);
            }
        }
        self.expire(now);
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
        match known.backoffs.get(&daemon).and_then(Backoffs::end) {
            Some(until) if now < until => Admission::BackedOff(until),
            _ if !known.circuit.admits(now) => Admission::Busy,
            _ if known.circuit.is_last_resort(now) => Admission::LastResort,
            _ => Admission::Allowed,
        }
    }

    /// End of this daemon's back-off from an endpoint, unless it has passed.
    pub fn backoff_until(&self, endpoint: &str, daemon: u64, now: Instant) -> Option<Instant> {
        self.admission(endpoint, daemon, now).backoff_until()
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
            let until = known.backoffs.get(&daemon)?.end().filter(|until| now < *until)?;
            let (endpoint, retry_after) = (endpoint.clone(), Some(until.since(now)));
            Some(Rejection { endpoint, started_at: known.started_at, retry_after })
        })
    }

    /// Next time at which the admission of an endpoint changes by expiry.
    pub fn next_change(&self, now: Instant) -> Option<Instant> {
        let ends = |known: &Endpoint| {
            let backoffs = known.backoffs.values().filter_map(Backoffs::end);
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
        if known.is_reset(now) {
            self.known.remove(endpoint);
        }
    }

    /// State of the latest known run of an endpoint, created if needed; `None` if the table is full.
    fn latest_run(
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
        let known = self.known.entry(endpoint.clone()).or_insert_with(|| Endpoint::new(started_at));
        if known.started_at < started_at {
            known.set_run(started_at, now);
        }
        Some(known)
    }
}
