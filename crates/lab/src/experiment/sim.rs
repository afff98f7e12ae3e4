//! One run in virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use trayswitch_core::{
    config::{Config, EndpointTarget, key_digest},
    placement::{
        Action, LoadReport, Policy, PrefixHash, Request, Scheduler, SchedulerLimits, Ticket, rank,
    },
    software_version::VersionConstraint,
    units::Instant,
};

use super::{
    Trouble,
    measure::Figures,
    trace::{Arrival, KindModel, Mix},
};
use crate::engine::{Engine, EngineSpec, Job, Produced, Step, StreamId};

/// The scheduler hears of tokens in steps of this many.
const PROGRESS_TOKENS: u64 = 16;
const REPORT_EVERY_US: u64 = 500_000;
const ORDINARY_LAG_US: u64 = 300_000;
const OLD_LAG_US: u64 = 10_000_000;
const MODEL: &str = "m";

/// What a run is given.
pub(crate) struct RunOptions<'a> {
    pub(crate) mix: Mix,
    pub(crate) engines: usize,
    pub(crate) spec: EngineSpec,
    pub(crate) arrivals: &'a [Arrival],
    pub(crate) length: Duration,
    /// Arrivals before this time are not counted.
    pub(crate) warm_up: Duration,
    pub(crate) trouble: Trouble,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    StepDone(usize),
    Report { engine: usize, report: Shown },
    Expire,
    Die(usize),
}

/// A load report on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Shown {
    at: u64,
    running: u64,
    waiting: u64,
    kv_used: u64,
}

struct SimEngine {
    engine: Engine,
    requests: HashMap<StreamId, usize>,
    /// The step that is running, with its outcome.
    step: Option<Step>,
    dead: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct State {
    tokens: u64,
    reported: u64,
    last_token: Option<u64>,
    first: Option<u64>,
}

struct Sim<'a> {
    options: &'a RunOptions<'a>,
    kinds: &'static [KindModel],
    scheduler: Scheduler,
    engines: Vec<SimEngine>,
    states: Vec<State>,
    heap: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    now: u64,
    figures: Figures,
}

/// Runs a trace to its end under a policy.
pub(crate) fn run(options: &RunOptions<'_>, policy: Box<dyn Policy>) -> Figures {
    let kinds = options.mix.kinds();
    let mut scheduler = Scheduler::new(SchedulerLimits::default(), policy);
    scheduler.configure(&config(options.engines, &options.spec).endpoints);
    let engine = |_| SimEngine {
        engine: Engine::new(options.spec),
        requests: HashMap::new(),
        step: None,
        dead: false,
    };
    let mut sim = Sim {
        options,
        kinds,
        scheduler,
        engines: (0..options.engines).map(engine).collect(),
        states: vec![State::default(); options.arrivals.len()],
        heap: BinaryHeap::new(),
        sequence: 0,
        now: 0,
        figures: Figures::new(kinds),
    };
    sim.run();
    sim.figures
}

pub(crate) fn config(engines: usize, spec: &EngineSpec) -> Config {
    let digest = key_digest("k");
    let mut text = format!(
        "[deployment]\nname = e\nversion = 1\n[hall h]\nregion = r\n[tier t]\nrank = 1\n\
         [kind k]\n[model {MODEL}]\nkind = k\n[workspace w]\ntier = t\nkey_sha256 = {digest}\n"
    );
    for i in 0..engines {
        text += &format!(
            "[endpoint e{i:05}]\nhall = h\naddress = 127.0.0.1:9\nmodel = {MODEL}\nslots = {}\n\
             kv_tokens = {}\n",
            spec.slots, spec.kv_tokens
        );
    }
    Config::parse("experiment", &text).expect("the text is sound")
}

impl Sim<'_> {
    fn run(&mut self) {
        for (i, arrival) in self.options.arrivals.iter().enumerate() {
            self.at(arrival.at, Event::Arrive(i));
        }
        for engine in 0..self.engines.len() {
            self.send_report(engine);
        }
        if self.options.trouble == Trouble::EngineDeath {
            self.at(self.options.length.as_micros() as u64 / 2, Event::Die(0));
        }
        // After the last arrival, all that runs goes on to its end.
        while let Some(Reverse((at, _, event))) = self.heap.pop() {
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(i) => self.arrive(i),
            Event::StepDone(engine) => self.step_done(engine),
            Event::Report { engine, report } => {
                let load = LoadReport {
                    at: Instant(report.at),
                    running: report.running,
                    waiting: report.waiting,
                    kv_used: report.kv_used,
                };
                self.scheduler.endpoint_report(&name(engine), load);
                self.send_report(engine);
            }
            Event::Expire => self.decide(),
            Event::Die(engine) => self.die(engine),
        }
    }

    fn arrive(&mut self, i: usize) {
        let arrival = &self.options.arrivals[i];
        let kind = &self.kinds[arrival.kind];
        if self.is_counted(i) {
            self.figures.kinds[arrival.kind].arrived += 1;
        }
        let req = Request {
            ticket: ticket(i),
            workspace: format!("w{}", arrival.workspace).into(),
            rank: rank(kind.rank, kind.weight as u64),
            share: 1,
            max_running: 1_000_000,
            max_waiting: 1_000_000,
            kind: kind.name.into(),
            target: EndpointTarget::Model(MODEL.into()),
            prompt_tokens: arrival.prompt,
            prefix: PrefixHash(arrival.prefix),
            max_tokens: 32_768,
            max_wait: kind.deadline,
            ttft_target: kind.deadline,
            avoid: Vec::new(),
            isolated: false,
            versions: VersionConstraint::Any,
            time_left: Duration::from_secs(60),
            longest_gap: Duration::ZERO,
            digest: None,
        };
        if self.scheduler.enqueue(req, Instant(self.now)).is_err() {
            self.give_up(i);
            return;
        }
        self.at(self.now + kind.deadline.as_micros() as u64, Event::Expire);
        self.decide();
    }

    fn decide(&mut self) {
        for action in self.scheduler.decide(Instant(self.now)) {
            match action {
                Action::Start { ticket, endpoint, priority } => {
                    let engine = endpoint[1..].parse().expect("engines are numbered");
                    self.start(ticket.number as usize, engine, priority);
                }
                Action::GiveUp { ticket, .. } => self.give_up(ticket.number as usize),
            }
        }
    }

    fn start(&mut self, i: usize, engine: usize, priority: u64) {
        if self.engines[engine].dead {
            // The endpoint refuses the connection; the daemon tries again elsewhere.
            self.scheduler.finish(ticket(i), 0, false, Instant(self.now));
            self.scheduler.endpoint_failed(&name(engine), Instant(self.now));
            return self.arrive_again(i);
        }
        let arrival = &self.options.arrivals[i];
        let stream = self.engines[engine].engine.submit(Job {
            prompt: arrival.prompt,
            length: arrival.output,
            priority,
            prefix: arrival.prefix,
            prefix_tokens: arrival.prefix_tokens,
        });
        self.engines[engine].requests.insert(stream, i);
        self.step(engine);
    }

    fn step(&mut self, engine: usize) {
        let sim = &mut self.engines[engine];
        if sim.step.is_some() || sim.dead {
            return;
        }
        let step = sim.engine.step();
        if step.idle {
            return;
        }
        let done = self.now + step.duration.as_micros() as u64;
        sim.step = Some(step);
        self.at(done, Event::StepDone(engine));
    }

    fn step_done(&mut self, engine: usize) {
        let Some(step) = self.engines[engine].step.take() else { return };
        self.figures.preemptions += step.preempted.len() as u64;
        for token in &step.tokens {
            self.token(engine, token);
        }
        self.decide();
        self.step(engine);
    }

    fn token(&mut self, engine: usize, token: &Produced) {
        let Some(i) = self.engines[engine].requests.get(&token.id).copied() else { return };
        let kind = self.options.arrivals[i].kind;
        let counted = self.is_counted(i);
        let state = &mut self.states[i];
        state.tokens = token.position;
        state.first.get_or_insert(self.now);
        if let Some(last) = state.last_token.replace(self.now)
            && counted
        {
            self.figures.gap(kind, Duration::from_micros(self.now - last));
        }
        if token.last {
            self.engines[engine].requests.remove(&token.id);
            self.scheduler.finish(ticket(i), token.position, true, Instant(self.now));
            self.completed(i);
        } else if PROGRESS_TOKENS <= token.position - state.reported {
            state.reported = token.position;
            self.scheduler.progress(ticket(i), token.position, Instant(self.now));
        }
    }

    fn completed(&mut self, i: usize) {
        self.figures.completed += 1;
        if !self.is_counted(i) {
            return;
        }
        let arrival = &self.options.arrivals[i];
        let waited = self.states[i].first.unwrap_or(self.now) - arrival.at;
        let figures = &mut self.figures.kinds[arrival.kind];
        figures.first.saturating_record(waited);
        let deadline = self.kinds[arrival.kind].deadline.as_micros() as u64;
        figures.in_time += u64::from(waited <= deadline);
    }

    fn give_up(&mut self, i: usize) {
        if self.is_counted(i) {
            self.figures.given_up += 1;
        }
    }

    fn die(&mut self, engine: usize) {
        let sim = &mut self.engines[engine];
        sim.dead = true;
        sim.step = None;
        let lost: Vec<usize> = sim.requests.drain().map(|(_, i)| i).collect();
        for i in lost {
            self.scheduler.finish(ticket(i), self.states[i].tokens, false, Instant(self.now));
            self.scheduler.endpoint_failed(&name(engine), Instant(self.now));
            if self.states[i].tokens == 0 {
                self.arrive_again(i);
            } else if self.is_counted(i) {
                self.figures.cut_off += 1;
            }
        }
    }

    /// Places a request afresh without counting it a second time.
    fn arrive_again(&mut self, i: usize) {
        let kind = self.options.arrivals[i].kind;
        if self.is_counted(i) {
            self.figures.kinds[kind].arrived -= 1;
        }
        self.arrive(i);
    }

    fn send_report(&mut self, engine: usize) {
        if self.options.length.as_micros() as u64 <= self.now {
            return;
        }
        let sim = &self.engines[engine];
        let report = Shown {
            at: self.now.max(1),
            running: sim.engine.running() as u64,
            waiting: sim.engine.waiting() as u64,
            kv_used: sim.engine.kv_used(),
        };
        let lag = match self.options.trouble {
            Trouble::OldLoad => OLD_LAG_US,
            Trouble::None | Trouble::EngineDeath => ORDINARY_LAG_US,
        };
        self.at(self.now + lag.max(REPORT_EVERY_US), Event::Report { engine, report });
    }

    fn is_counted(&self, i: usize) -> bool {
        self.options.warm_up.as_micros() as u64 <= self.options.arrivals[i].at
    }

    fn at(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.heap.push(Reverse((time, self.sequence, event)));
    }
}

fn ticket(i: usize) -> Ticket {
    Ticket { entry: 0, number: i as u64 }
}

fn name(engine: usize) -> String {
    format!("e{engine:05}")
}
