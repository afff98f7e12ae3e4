//! What becomes of different requests that share a part of their prompts which crashes endpoints, and of
//! sound requests that share all else, by who tells whom of sound answers and what is done.
//!
//! A queue model of one service: a request waits, begins, and is answered. One with the crashing part
//! takes its endpoint with it, and all that runs there.

use std::collections::BTreeMap;

use serde::Serialize;

/// Endpoints of the service, and the time until one is back, in ms.
const ENDPOINTS: usize = 9;
const RESTART: u64 = 2_500;
/// Time from a request's start to its first events, from those to the proof that it is sound or to the
/// crash, and to its end, in ms.
const BEGINS: u64 = 300;
const PROVEN: u64 = 150;
const CRASHES: u64 = 60;
const ENDS: u64 = 1_500;
/// Time until all daemons are told, in ms.
const TOLD: u64 = 10;
/// Crashing requests a second, and how long all is played, in ms.
const CRASHING: f64 = 1.5;
const LASTS: u64 = 60_000;
/// Parts that requests begin with, and popular ones that follow.
const FIRST: u64 = 3;
const POPULAR: u64 = 20;
const CRASHING_PART: u64 = 1_000;
/// Crashes after which a part is refused, and longest wait for a trial, in ms.
const REFUSED_FROM: usize = 3;
const TRIAL_WAIT: u64 = 1_500;

/// What is known, and what is done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Rule {
    /// A part is refused after three crashes, told to all.
    Presence,
    /// The same, but each daemon forgets crashes of a part that it saw answered well itself.
    OwnInnocence,
    /// The same, but all daemons are told of sound answers.
    SharedInnocence,
    /// Sound answers are shared, and a part with a crash is tried by one request at a time.
    Trials,
}

const RULES: [Rule; 4] = [Rule::Presence, Rule::OwnInnocence, Rule::SharedInnocence, Rule::Trials];

/// Outcome of one rule, on the mean of many plays.
#[derive(Debug, Serialize)]
pub(crate) struct Outcome {
    pub(crate) rule: Rule,
    pub(crate) daemons: usize,
    /// Sound requests a second.
    pub(crate) sound: f64,
    /// Endpoints that crashed.
    pub(crate) crashes: f64,
    /// Part of the sound requests that was refused, and that was held for a trial.
    pub(crate) refused: f64,
    pub(crate) held: f64,
}

/// Plays every rule with so many daemons.
pub(crate) fn outcomes(daemons: &[usize]) -> Vec<Outcome> {
    const PLAYS: u64 = 60;
    let mut all = Vec::new();
    for (daemons, sound) in daemons.iter().flat_map(|count| [(*count, 8.0), (*count, 60.0)]) {
        for rule in RULES {
            let plays = (0..PLAYS).map(|seed| Play::new(rule, daemons, sound, seed).run());
            let total = plays.fold(Counts::default(), |total, counts| total.plus(&counts));
            let share = |count: usize| count as f64 / total.sound.max(1) as f64;
            all.push(Outcome {
                rule,
                daemons,
                sound,
                crashes: total.crashes as f64 / PLAYS as f64,
                refused: share(total.refused),
                held: share(total.held),
            });
        }
    }
    all
}

/// What is counted in a play.
#[derive(Debug, Clone, Default)]
pub(crate) struct Counts {
    pub(crate) crashes: usize,
    pub(crate) sound: usize,
    pub(crate) refused: usize,
    pub(crate) held: usize,
}

impl Counts {
    fn plus(&self, other: &Counts) -> Counts {
        Counts {
            crashes: self.crashes + other.crashes,
            sound: self.sound + other.sound,
            refused: self.refused + other.refused,
            held: self.held + other.held,
        }
    }
}

#[derive(Debug, Clone)]
struct Request {
    parts: [u64; 2],
    daemon: usize,
    arrived: u64,
    started: u64,
    endpoint: usize,
    /// The part that it is a trial of.
    trial: Option<u64>,
    is_held: bool,
}

impl Request {
    fn is_crashing(&self) -> bool {
        self.parts[1] == CRASHING_PART
    }
}

/// Crashes of one part since it was last answered well, as one daemon or all see it.
#[derive(Debug, Clone, Copy, Default)]
struct History {
    crashes: usize,
    in_trials: usize,
    told_at: u64,
}

pub(crate) struct Play {
    rule: Rule,
    daemons: usize,
    sound: f64,
    rng: fastrand::Rng,
    /// By daemon, or by 0 if all are told the same, and by part.
    histories: BTreeMap<(usize, u64), History>,
    running: Vec<Request>,
    waiting: Vec<Request>,
    down_until: [u64; ENDPOINTS],
    counts: Counts,
}

impl Play {
    pub(crate) fn new(rule: Rule, daemons: usize, sound: f64, seed: u64) -> Play {
        Play {
            rule,
            daemons,
            sound,
            rng: fastrand::Rng::with_seed(seed),
            histories: BTreeMap::new(),
            running: Vec::new(),
            waiting: Vec::new(),
            down_until: [0; ENDPOINTS],
            counts: Counts::default(),
        }
    }

    pub(crate) fn run(mut self) -> Counts {
        for now in 0..LASTS {
            if self.rng.f64() < CRASHING / 1_000.0 {
                self.arrive(CRASHING_PART, now);
            }
            if self.rng.f64() < self.sound / 1_000.0 {
                let middle = 100 + self.rng.u64(..POPULAR).min(self.rng.u64(..POPULAR));
                self.counts.sound += 1;
                self.arrive(middle, now);
            }
            self.progress(now);
            for req in std::mem::take(&mut self.waiting) {
                self.admit(req, now);
            }
        }
        self.counts
    }

    fn arrive(&mut self, middle: u64, now: u64) {
        // Requests with the crashing part are of one kind.
        let first = if middle == CRASHING_PART { 0 } else { self.rng.u64(..FIRST) };
        let parts = [first, middle];
        let daemon = self.rng.usize(..self.daemons);
        let (started, endpoint, trial) = (0, 0, None);
        let req = Request { parts, daemon, arrived: now, started, endpoint, trial, is_held: false };
        self.admit(req, now);
    }

    fn viewer(&self, daemon: usize) -> usize {
        if self.rule == Rule::OwnInnocence { daemon } else { 0 }
    }

    fn history(&self, daemon: usize, part: u64, now: u64) -> History {
        let history = self.histories.get(&(self.viewer(daemon), part)).copied();
        history.filter(|history| history.told_at <= now).unwrap_or_default()
    }

    fn admit(&mut self, mut req: Request, now: u64) {
        let worst = req.parts.map(|part| (self.history(req.daemon, part, now), part));
        let (history, part) =
            if worst[0].0.crashes <= worst[1].0.crashes { worst[1] } else { worst[0] };
        let is_trial = self.rule == Rule::Trials && 0 < history.crashes;
        let is_refused = match self.rule {
            Rule::Trials => {
                let needed = if 5 <= history.crashes { 1 } else { 2 };
                REFUSED_FROM <= history.crashes && needed <= history.in_trials
            }
            _ => REFUSED_FROM <= history.crashes,
        };
        let is_late = req.arrived + TRIAL_WAIT <= now;
        if is_refused || is_late {
            self.counts.refused += usize::from(!req.is_crashing());
            return;
        }
        if is_trial && self.running.iter().any(|running| running.trial == Some(part)) {
            self.counts.held += usize::from(!req.is_held && !req.is_crashing());
            req.is_held = true;
            self.waiting.push(req);
            return;
        }
        let up: Vec<usize> = (0..ENDPOINTS).filter(|e| self.down_until[*e] <= now).collect();
        let Some(endpoint) = self.rng.choice(up) else {
            self.counts.sound -= usize::from(!req.is_crashing());
            return;
        };
        req.trial = is_trial.then_some(part);
        (req.started, req.endpoint) = (now, endpoint);
        self.running.push(req);
    }

    fn progress(&mut self, now: u64) {
        let age = |req: &Request| now - req.started;
        for req in &mut self.running {
            if !req.is_crashing() && age(req) == BEGINS + PROVEN {
                req.trial = None;
                let viewer = if self.rule == Rule::OwnInnocence { req.daemon } else { 0 };
                if self.rule != Rule::Presence {
                    req.parts.iter().for_each(|part| {
                        self.histories.remove(&(viewer, *part));
                    });
                }
            }
        }
        let crashed = self.running.iter().filter(|req| req.is_crashing());
        let crashed = crashed.filter(|req| age(req) == BEGINS + CRASHES);
        for endpoint in crashed.map(|req| req.endpoint).collect::<Vec<_>>() {
            self.crash(endpoint, now);
        }
        self.running.retain(|req| age(req) < ENDS);
    }

    fn crash(&mut self, endpoint: usize, now: u64) {
        if now < self.down_until[endpoint] {
            return;
        }
        self.down_until[endpoint] = now + RESTART;
        self.counts.crashes += 1;
        let all = std::mem::take(&mut self.running).into_iter();
        let (lost, running): (Vec<Request>, Vec<Request>) =
            all.partition(|req| req.endpoint == endpoint);
        self.running = running;
        let mut counted = Vec::new();
        for req in lost.iter().filter(|req| now - req.started < BEGINS + PROVEN) {
            for part in req.parts {
                let in_trial = usize::from(req.trial == Some(part));
                if !counted.contains(&part) {
                    counted.push(part);
                    self.count(part, in_trial, now);
                }
            }
        }
    }

    fn count(&mut self, part: u64, in_trial: usize, now: u64) {
        let viewers = if self.rule == Rule::OwnInnocence { self.daemons } else { 1 };
        for viewer in 0..viewers {
            let history = self.histories.entry((viewer, part)).or_default();
            history.crashes += 1;
            history.in_trials += in_trial;
            if history.crashes == 1 {
                history.told_at = now + TOLD;
            }
        }
    }
}
