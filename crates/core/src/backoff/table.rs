//! What is known of the endpoints that have rejected requests lately.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use super::{Rejection, circuit::Circuit};
use crate::units::Instant;

/// Endpoints that are remembered at a time; more than that reject nothing together but by a fault of the network.
const MAX_ENDPOINTS: usize = 4_096;

/// Others are told that an endpoint is the last resort if it is so for this much longer than they know: the word
/// takes a third of that to reach them all.
const WORTH_TELLING: Duration = Duration::from_millis(600);

/// Number of the daemon itself in a table of its own.
pub const LOCAL_DAEMON: u64 = 0;

/// Whether an endpoint may be sent a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Like any other.
    Allowed,
    /// If there is no other: it has asked another daemon to back off.
    LastResort,
    /// Not before one that is on its way is answered.
    Busy,
    /// Not before this time: it has asked this daemon to back off.
    BackedOff(Instant),
}

/// One endpoint.
#[derive(Debug)]
struct Known {
    started_at: u64,
    circuit: Circuit,
    /// Until when it is the last resort, as others were last told.
    told: Instant,
    /// The daemons that it has asked to back off, and until when.
    asked: BTreeMap<u64, Instant>,
}

/// The endpoints that have rejected requests lately. A daemon has one for itself, as number zero, and the leader
/// one for all daemons by their numbers.
#[derive(Debug, Default)]
pub struct BackoffTable {
    known: HashMap<Arc<str>, Known>,
}

impl BackoffTable {
    /// Whether no endpoint has rejected anything lately.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Notes that an endpoint has rejected a request of a daemon. What a former run has said is no news.
    pub fn on_rejection(&mut self, daemon: u64, rejection: &Rejection, now: Instant) {
        let Some(known) = self.known_run(&rejection.endpoint, rejection.started_at, now) else {
            return;
        };
        known.circuit.on_rejection(rejection.retry_after, now);
        if let Some(retry_after) = rejection.retry_after.filter(|time| !time.is_zero()) {
            let until = now.after(retry_after);
            // Every rejection is a request of its own, so the latest end holds.
            let asked = known.asked.entry(daemon).or_default();
            *asked = until.max(*asked);
        }
    }

    /// Takes another daemon's word that an endpoint rejects requests: it is the last resort for this long.
    pub fn on_report(
        &mut self,
        endpoint: &Arc<str>,
        started_at: u64,
        left: Duration,
        now: Instant,
    ) {
        let until = now.after(left);
        if let Some(known) = self.known_run(endpoint, started_at, now)
            && known.circuit.until() < until
        {
            known.circuit.close_until(until, now);
        }
    }

    /// Forgets the endpoints of which nothing is left to know.
    pub fn expire(&mut self, now: Instant) {
        self.retain(|_, _| true, now);
    }

    /// The same, and forgets the runs of endpoints that are not there any more.
    pub fn retain(&mut self, is_there: impl Fn(&str, u64) -> bool, now: Instant) {
        self.known.retain(|endpoint, known| {
            known.asked.retain(|_, until| now < *until);
            let is_over = known.asked.is_empty() && known.circuit.is_over(now);
            !is_over && is_there(endpoint, known.started_at)
        });
    }

    /// Forgets a daemon that is gone.
    pub fn remove_daemon(&mut self, daemon: u64) {
        for known in self.known.values_mut() {
            known.asked.remove(&daemon);
        }
    }

    /// Whether an endpoint may be sent a request of this daemon.
    pub fn admission(&self, endpoint: &str, daemon: u64, now: Instant) -> Admission {
        let Some(known) = self.known.get(endpoint) else { return Admission::Allowed };
        match known.asked.get(&daemon) {
            Some(until) if now < *until => Admission::BackedOff(*until),
            _ if !known.circuit.admits(now) => Admission::Busy,
            _ if known.circuit.is_last_resort(now) => Admission::LastResort,
            _ => Admission::Allowed,
        }
    }

    /// Until when an endpoint wants nothing from this daemon, if that is not over.
    pub fn backoff_until(&self, endpoint: &str, daemon: u64, now: Instant) -> Option<Instant> {
        match self.admission(endpoint, daemon, now) {
            Admission::BackedOff(until) => Some(until),
            Admission::Allowed | Admission::LastResort | Admission::Busy => None,
        }
    }

    /// Until when an endpoint is the last resort of everybody, if that is not over.
    pub fn last_resort_until(&self, endpoint: &str, now: Instant) -> Option<Instant> {
        let circuit = self.known.get(endpoint)?.circuit;
        circuit.is_last_resort(now).then(|| circuit.until())
    }

    /// Whether others must be told until when an endpoint is the last resort; they count as told then.
    pub fn take_pending_report(&mut self, endpoint: &str, now: Instant) -> bool {
        let Some(known) = self.known.get_mut(endpoint) else { return false };
        let until = known.circuit.until();
        let is_news = known.told.max(now).after(WORTH_TELLING) <= until;
        if is_news {
            known.told = until;
        }
        is_news
    }

    /// When the run of an endpoint was started that has rejected something lately.
    pub fn started_at(&self, endpoint: &str) -> Option<u64> {
        self.known.get(endpoint).map(|known| known.started_at)
    }

    /// The endpoints that want nothing from this daemon now, as they would have to be told of.
    pub fn active_backoffs(&self, daemon: u64, now: Instant) -> impl Iterator<Item = Rejection> {
        self.known.iter().filter_map(move |(endpoint, known)| {
            let until = known.asked.get(&daemon).filter(|until| now < **until)?;
            let (endpoint, retry_after) = (endpoint.clone(), Some(until.since(now)));
            Some(Rejection { endpoint, started_at: known.started_at, retry_after })
        })
    }

    /// When an endpoint first becomes more open than it is.
    pub fn next_change(&self, now: Instant) -> Option<Instant> {
        let ends = |known: &Known| {
            let asked = known.asked.values().copied();
            asked.chain([known.circuit.until()]).filter(|at| now < *at).min()
        };
        self.known.values().filter_map(ends).min()
    }

    /// Notes that an endpoint is sent a request.
    pub fn on_sent(&mut self, endpoint: &str, now: Instant) {
        if let Some(known) = self.known.get_mut(endpoint) {
            known.circuit.on_sent(now);
        }
    }

    /// Notes that a request which was sent to an endpoint then has ended without a rejection; `answered` if the
    /// endpoint has begun to answer it.
    pub fn on_end(&mut self, endpoint: &str, sent: Instant, answered: bool, now: Instant) {
        let Some(known) = self.known.get_mut(endpoint) else { return };
        known.circuit.on_end(sent, answered);
        known.asked.retain(|_, until| now < *until);
        if known.asked.is_empty() && known.circuit.is_over(now) {
            self.known.remove(endpoint);
        }
    }

    /// What is known of this run of an endpoint; nothing if a later one is known.
    fn known_run(
        &mut self,
        endpoint: &Arc<str>,
        started_at: u64,
        now: Instant,
    ) -> Option<&mut Known> {
        if MAX_ENDPOINTS <= self.known.len() && !self.known.contains_key(endpoint) {
            self.expire(now);
            if MAX_ENDPOINTS <= self.known.len() {
                return None;
            }
        }
        let new = || Known {
            started_at,
            circuit: Circuit::new(),
            told: Instant::default(),
            asked: BTreeMap::new(),
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
