//! Plays calls against endpoints some of which reject most of them.

use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;
use trayswitch_core::units::Instant;

use super::ways::{Daemons, WAYS, Way};

/// Endpoints of the service.
const ENDPOINTS: usize = 8;
/// Calls a second for each endpoint, and the time that one takes.
const RATE: f64 = 20.0;
const CALL: Duration = Duration::from_millis(60);
/// How long calls are played, and what comes before it is measured.
const LASTS: Duration = Duration::from_secs(80);
const WARM_UP: Duration = Duration::from_secs(20);
/// The back-off that a rejecting endpoint asks for.
const RETRY_AFTER: Duration = Duration::from_secs(3);
/// Requests of a daemon that are under way when it is asked do not count.
const OBEYED: Duration = Duration::from_millis(500);
/// Endpoints that may reject a call.
const MAX_REJECTIONS: usize = 3;

/// Which endpoints reject how many of their requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Trouble {
    /// Half of them reject nine in ten.
    HalfNearlyAll,
    /// All of them reject four in ten.
    AllSome,
}

impl Trouble {
    /// The part of its requests that an endpoint rejects.
    fn rejects(self, endpoint: usize) -> f64 {
        match self {
            Trouble::HalfNearlyAll if endpoint < ENDPOINTS / 2 => 0.9,
            Trouble::HalfNearlyAll => 0.0,
            Trouble::AllSome => 0.4,
        }
    }
}

/// What came of one way.
#[derive(Debug, Serialize)]
pub(crate) struct Outcome {
    /// Who keeps away.
    pub(crate) way: Way,
    /// Daemons.
    pub(crate) daemons: usize,
    /// What the endpoints do.
    pub(crate) trouble: Trouble,
    /// Calls that are answered, as a part of those that come.
    pub(crate) served: f64,
    /// Rejections for each call that comes.
    pub(crate) rejected: f64,
    /// Most requests that an endpoint got of a daemon while it wanted none, half a second after it had said so.
    pub(crate) most: usize,
}

/// A call on its way to an endpoint's answer.
struct Sent {
    daemon: usize,
    endpoint: usize,
    at: Instant,
}

/// Plays every way with so many daemons.
pub(crate) fn compare(daemons: &[usize]) -> Vec<Outcome> {
    let mut all = Vec::new();
    for daemons in daemons.iter().copied() {
        for trouble in [Trouble::HalfNearlyAll, Trouble::AllSome] {
            all.extend(WAYS.map(|way| play(way, daemons, trouble)));
        }
    }
    all
}

/// Plays one way.
pub(super) fn play(way: Way, daemons: usize, trouble: Trouble) -> Outcome {
    let mut run = Run::new(way, daemons, trouble);
    let mut now = Instant(0);
    while now.since(Instant(0)) < LASTS {
        let pause = -(1.0 - run.rng.f64()).ln() / (RATE * ENDPOINTS as f64);
        now = now.after(Duration::from_secs_f64(pause));
        run.pass_time(now);
        run.come(now);
    }
    Outcome {
        way,
        daemons,
        trouble,
        served: run.served as f64 / run.came as f64,
        rejected: run.rejected as f64 / run.came as f64,
        most: run.asked.most,
    }
}

struct Run {
    rng: fastrand::Rng,
    trouble: Trouble,
    count: usize,
    daemons: Daemons,
    /// Calls by when they are answered.
    under_way: BTreeMap<(Instant, usize), Sent>,
    asked: Asked,
    came: usize,
    served: usize,
    rejected: usize,
}

impl Run {
    fn new(way: Way, daemons: usize, trouble: Trouble) -> Run {
        Run {
            rng: fastrand::Rng::with_seed(7),
            trouble,
            count: daemons,
            daemons: Daemons::new(way, daemons, ENDPOINTS),
            under_way: BTreeMap::new(),
            asked: Asked::default(),
            came: 0,
            served: 0,
            rejected: 0,
        }
    }

    fn pass_time(&mut self, now: Instant) {
        while let Some(first) = self.under_way.first_entry().filter(|first| first.key().0 <= now) {
            let ((at, _), Sent { daemon, endpoint, at: sent }) = first.remove_entry();
            self.daemons.on_answer(daemon, endpoint, sent, at);
        }
        self.daemons.hear(now);
    }

    /// A call comes to some daemon.
    fn come(&mut self, now: Instant) {
        let daemon = self.rng.usize(..self.count);
        let is_measured = WARM_UP <= now.since(Instant(0));
        self.came += usize::from(is_measured);
        let mut tried = Vec::new();
        while tried.len() < MAX_REJECTIONS {
            let [open, last_resort] = self.daemons.candidates(daemon, &tried, now);
            let group = if open.is_empty() { last_resort } else { open };
            if group.is_empty() {
                return;
            }
            let endpoint = group[self.rng.usize(..group.len())];
            self.asked.note_request(daemon, endpoint, now);
            self.daemons.on_sent(daemon, endpoint, now);
            if self.trouble.rejects(endpoint) <= self.rng.f64() {
                let sent = Sent { daemon, endpoint, at: now };
                self.under_way.insert((now.after(CALL), self.came + self.under_way.len()), sent);
                self.served += usize::from(is_measured);
                return;
            }
            self.rejected += usize::from(is_measured);
            self.asked.note_rejection(daemon, endpoint, now);
            self.daemons.on_rejection(daemon, endpoint, RETRY_AFTER, now);
            tried.push(endpoint);
        }
    }
}

/// What endpoints have asked daemons for, and what they got all the same.
#[derive(Default)]
struct Asked {
    /// By daemon and endpoint: when it was asked, and how many requests came since.
    windows: BTreeMap<(usize, usize), Vec<(Instant, usize)>>,
    most: usize,
}

impl Asked {
    fn note_rejection(&mut self, daemon: usize, endpoint: usize, now: Instant) {
        self.windows.entry((daemon, endpoint)).or_default().push((now, 0));
    }

    fn note_request(&mut self, daemon: usize, endpoint: usize, now: Instant) {
        let Some(windows) = self.windows.get_mut(&(daemon, endpoint)) else { return };
        windows.retain(|(asked, _)| now.since(*asked) < RETRY_AFTER);
        for (_, got) in windows.iter_mut().filter(|(asked, _)| OBEYED < now.since(*asked)) {
            *got += 1;
            self.most = self.most.max(*got);
        }
    }
}
