//! What daemons may make of endpoints that reject requests.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use serde::Serialize;
use trayswitch_core::{
    backoff::{Admission, BackoffTable, LOCAL_DAEMON, Rejection},
    units::Instant,
};

/// Time until all daemons know what one has told the leader.
const TOLD_AFTER: Duration = Duration::from_millis(200);

/// Who keeps away from an endpoint that has rejected a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Way {
    /// Only the request that was rejected.
    Request,
    /// The daemon that was asked to back off.
    Daemon,
    /// All daemons, for as long as the one that was asked.
    All,
    /// The daemon that was asked; the others send there if there is no other.
    LastResort,
}

pub(super) const WAYS: [Way; 4] = [Way::Request, Way::Daemon, Way::All, Way::LastResort];

/// Word of an endpoint on its way to the daemons.
struct Told {
    at: Instant,
    endpoint: usize,
    until: Instant,
}

/// What all daemons know.
pub(super) struct Daemons {
    way: Way,
    names: Vec<Arc<str>>,
    tables: Vec<BackoffTable>,
    told: VecDeque<Told>,
    /// Until when all keep away from each endpoint.
    closed: Vec<Instant>,
}

impl Daemons {
    pub(super) fn new(way: Way, daemons: usize, endpoints: usize) -> Daemons {
        Daemons {
            way,
            names: (0..endpoints).map(|n| format!("e{n}").into()).collect(),
            tables: (0..daemons).map(|_| BackoffTable::default()).collect(),
            told: VecDeque::new(),
            closed: vec![Instant(0); endpoints],
        }
    }

    /// The endpoints that a daemon may send a request to which these have rejected, the better ones first.
    pub(super) fn candidates(
        &self,
        daemon: usize,
        tried: &[usize],
        now: Instant,
    ) -> [Vec<usize>; 2] {
        let mut groups = [Vec::new(), Vec::new()];
        for endpoint in (0..self.names.len()).filter(|endpoint| !tried.contains(endpoint)) {
            let own = self.tables[daemon].admission(&self.names[endpoint], LOCAL_DAEMON, now);
            let group = match (self.way, own) {
                (Way::Request, _) => 0,
                (_, Admission::BackedOff(_)) => continue,
                (Way::All, _) if now < self.closed[endpoint] => continue,
                (Way::Daemon | Way::All, _) | (_, Admission::Allowed) => 0,
                (_, Admission::LastResort) => 1,
                (_, Admission::Busy) => continue,
            };
            groups[group].push(endpoint);
        }
        groups
    }

    pub(super) fn on_sent(&mut self, daemon: usize, endpoint: usize, now: Instant) {
        self.tables[daemon].on_sent(&self.names[endpoint], now);
    }

    pub(super) fn on_answer(
        &mut self,
        daemon: usize,
        endpoint: usize,
        sent: Instant,
        now: Instant,
    ) {
        self.tables[daemon].on_end(&self.names[endpoint], sent, true, now);
    }

    pub(super) fn on_rejection(
        &mut self,
        daemon: usize,
        endpoint: usize,
        retry_after: Duration,
        now: Instant,
    ) {
        let rejection = Rejection {
            endpoint: self.names[endpoint].clone(),
            started_at: 0,
            retry_after: Some(retry_after),
        };
        self.tables[daemon].on_rejection(LOCAL_DAEMON, &rejection, now);
        let (at, until) = (now.after(TOLD_AFTER), now.after(retry_after));
        self.told.push_back(Told { at, endpoint, until });
    }

    /// Lets word arrive that is due.
    pub(super) fn hear(&mut self, now: Instant) {
        while self.told.front().is_some_and(|told| told.at <= now) {
            let Some(Told { endpoint, until, .. }) = self.told.pop_front() else { return };
            self.closed[endpoint] = self.closed[endpoint].max(until);
            for table in &mut self.tables {
                table.on_report(&self.names[endpoint], 0, until.since(now), now);
            }
        }
    }
}
