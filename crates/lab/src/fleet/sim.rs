//! One play of a deployment.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use trayswitch_core::{
    placement::{Action, Candidate, Relocation, SampledEndpoint, sort_by_cost},
    units::Instant,
};

use super::{
    Alone, FleetOptions,
    deciders::{Deciders, Grant},
    engines::FleetEngine,
    figures::{Course, Figures},
    leaving::FIRST_LEAVE,
    load::{Arrival, KINDS, TOKENS_PER_EVENT, arrivals},
};
use crate::engine::Produced;

/// From an entry to the scheduler and back, decision included.
const ASK: u64 = 3_000;
/// From an entry to an engine, with a new connection.
const SEND: u64 = 4_000;
/// Asking an engine for its load, or for a place.
const INQUIRE: u64 = 6_000;
/// From an entry to the scheduler.
pub(super) const NEWS: u64 = 1_500;
/// The scheduler hears of a stream in steps of this many events, after the first.
const NEWS_EVENTS: u64 = 16;
/// Load reports tell what was so long ago.
const REPORT_AGE: u64 = 500_000;
const SAMPLE_EVERY: u64 = 50_000;
const TICK: u64 = 10_000;
/// Pause before a request that found no place looks again.
const LOOK_AGAIN: u64 = 20_000;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    /// A request comes to its entry, or looks for a place again.
    Arrives(usize),
    /// Its question reaches the scheduler.
    Asked(usize),
    /// Its caller gives up if nothing has come.
    GivesUp(usize),
    /// It reaches an engine.
    Reaches {
        i: usize,
        engine: usize,
        priority: u64,
    },
    StepDone(usize),
    /// The scheduler hears of its tokens.
    Told {
        i: usize,
        tokens: u64,
    },
    /// The scheduler hears that it ended.
    Ended {
        i: usize,
        whole: bool,
    },
    /// An engine goes on with what was moved to it.
    Resumes(usize),
    /// A copy has arrived.
    Copied {
        i: usize,
        from: usize,
        to: usize,
        tokens: u64,
    },
    Leave,
    Leaves(usize),
    Gone(usize),
    Comes,
    Sample,
    Tick,
    SchedulerLost,
    SchedulerBack,
}

/// The state of one play.
pub(super) struct Sim<'a> {
    pub(super) options: &'a FleetOptions,
    pub(super) arrivals: Vec<Arrival>,
    pub(super) courses: Vec<Course>,
    /// The engine that each request runs at.
    pub(super) at: Vec<Option<usize>>,
    /// Requests that are being moved.
    pub(super) moving: HashMap<usize, usize>,
    pub(super) engines: Vec<FleetEngine>,
    pub(super) by_name: HashMap<String, usize>,
    pub(super) deciders: Deciders,
    pub(super) rng: fastrand::Rng,
    heap: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    pub(super) now: u64,
    pub(super) preempted: u64,
    pub(super) moved: u64,
    pub(super) moves_refused: u64,
}

impl<'a> Sim<'a> {
    /// Plays a deployment until nothing runs any more.
    pub(super) fn play(options: &'a FleetOptions, seed: u64) -> Sim<'a> {
        let FleetOptions { rate, entries, length, burst, .. } = *options;
        let arrivals = arrivals(rate, entries, length, burst, seed);
        let engines: Vec<FleetEngine> = (0..options.engines).map(FleetEngine::new).collect();
        let mut sim = Sim {
            options,
            courses: vec![Course::default(); arrivals.len()],
            at: vec![None; arrivals.len()],
            arrivals,
            moving: HashMap::new(),
            by_name: engines.iter().enumerate().map(|(i, e)| (e.name.to_string(), i)).collect(),
            engines,
            deciders: Deciders::new(options, seed),
            rng: fastrand::Rng::with_seed(seed),
            heap: BinaryHeap::new(),
            sequence: 0,
            now: 0,
            preempted: 0,
            moved: 0,
            moves_refused: 0,
        };
        sim.begin();
        while let Some(Reverse((at, _, event))) = sim.heap.pop() {
            sim.now = at;
            sim.handle(event);
        }
        sim
    }

    /// What callers got who came in a span of time.
    pub(super) fn figures(&self, from: Duration, until: Duration) -> Figures {
        let micros = |time: Duration| time.as_micros() as u64;
        Figures::of(&self.arrivals, &self.courses, micros(from), micros(until))
    }

    fn begin(&mut self) {
        self.configure();
        for i in 0..self.arrivals.len() {
            let Arrival { at, kind, .. } = self.arrivals[i];
            self.at(at, Event::Arrives(i));
            self.at(at + KINDS[kind].patience.as_micros() as u64, Event::GivesUp(i));
        }
        self.at(0, Event::Sample);
        self.at(0, Event::Tick);
        if self.options.leaving {
            self.at(FIRST_LEAVE, Event::Leave);
        }
        if let Some((from, until)) = self.options.lost {
            self.at(from.as_micros() as u64, Event::SchedulerLost);
            self.at(until.as_micros() as u64, Event::SchedulerBack);
        }
    }

    /// Whether requests still come; what is periodic ends then, but for what ends the play.
    fn is_open(&self) -> bool {
        /// Time for what runs to end.
        const REST: u64 = 15_000_000;
        self.now < self.options.length.as_micros() as u64 + REST
    }

    fn handle(&mut self, event: Event) {
        let now = Instant(self.now);
        match event {
            Event::Arrives(i) => self.arrives(i),
            Event::Asked(i) => {
                if let Err(()) = self.deciders.ask(i, &self.arrivals[i], now) {
                    self.look_again(i);
                }
                self.decide();
            }
            Event::GivesUp(i) => self.gives_up(i),
            Event::Reaches { i, engine, priority } => self.reaches(i, engine, priority),
            Event::StepDone(engine) => self.step_done(engine),
            Event::Told { i, tokens } => self.deciders.told(i, &self.arrivals[i], tokens, now),
            Event::Ended { i, whole } => {
                let tokens = self.courses[i].tokens;
                self.deciders.ended(i, &self.arrivals[i], tokens, whole, now);
                self.decide();
            }
            Event::Copied { i, from, to, tokens } => self.copied(i, from, to, tokens),
            Event::Resumes(engine) => self.step(engine),
            Event::Leave => self.leave(),
            Event::Leaves(engine) => {
                self.deciders.leaving(&self.engines[engine].name);
                self.decide();
            }
            Event::Gone(engine) => self.gone(engine),
            Event::Comes => self.comes(),
            Event::Sample => {
                self.engines.iter_mut().for_each(|engine| engine.sample(self.now));
                self.again(SAMPLE_EVERY, Event::Sample);
            }
            Event::Tick => {
                self.decide();
                self.again(TICK, Event::Tick);
            }
            Event::SchedulerLost => self.deciders.lose_scheduler(now),
            Event::SchedulerBack => {
                let runs = |i: &usize| self.at[*i].is_some();
                let running: Vec<(usize, String, u64)> = (0..self.arrivals.len())
                    .filter(runs)
                    .map(|i| (i, self.name_at(i), self.courses[i].tokens))
                    .collect();
                self.deciders.find_scheduler(&self.endpoints(), &self.leaving(), now);
                for (i, engine, tokens) in running {
                    self.deciders.adopt(i, &self.arrivals[i], &engine, tokens, now);
                }
            }
        }
    }

    fn arrives(&mut self, i: usize) {
        if self.courses[i].is_over() {
            return;
        }
        if self.deciders.is_alone() {
            return self.place_alone(i);
        }
        self.after(ASK / 2, Event::Asked(i));
    }

    /// An entry finds a place for its request by itself.
    fn place_alone(&mut self, i: usize) {
        let now = Instant(self.now);
        let arrival = self.arrivals[i];
        let Some(Grant { drawn, priority }) = self.deciders.place_alone(i, &arrival, now) else {
            return self.look_again(i);
        };
        let inquired = !matches!(self.options.alone, Alone::Share | Alone::TwoDrawn);
        let candidates = self.candidates(drawn, arrival.prompt, inquired);
        let confirms = self.options.alone == Alone::Reserved;
        let is_open = |(drawn, _): &&Candidate| {
            let engine = &self.engines[self.by_name[&*drawn.endpoint]];
            !engine.gone && (!confirms || engine.engine.has_room(arrival.prompt))
        };
        let chosen = candidates.iter().find(is_open);
        let chosen = chosen.map(|(drawn, _)| self.by_name[&*drawn.endpoint]);
        let Some(chosen) = chosen else {
            self.deciders.ended_alone(i, &arrival, now);
            return self.look_again(i);
        };
        self.deciders.placed_elsewhere(i, &arrival, &self.engines[chosen].name, now);
        let asked = INQUIRE * (u64::from(inquired) + u64::from(confirms));
        self.after(asked + SEND, Event::Reaches { i, engine: chosen, priority });
    }

    /// The engines that were drawn in the order in which to try them, by what is known of their loads.
    fn candidates(
        &self,
        drawn: Vec<SampledEndpoint>,
        prompt: u64,
        inquired: bool,
    ) -> Vec<Candidate> {
        let known = match (self.options.alone, self.options.lost) {
            (Alone::LastKnown, Some((lost, _))) => lost.as_micros() as u64,
            _ => self.now.saturating_sub(REPORT_AGE),
        };
        let load = |drawn: SampledEndpoint| {
            let load = self.engines[self.by_name[&*drawn.endpoint]].load_at(known);
            (drawn, load)
        };
        let mut candidates: Vec<Candidate> = drawn.into_iter().map(load).collect();
        if inquired {
            sort_by_cost(&mut candidates, prompt);
        }
        candidates
    }

    /// A request that found no place looks again, until it could not begin in time any more.
    fn look_again(&mut self, i: usize) {
        let arrival = &self.arrivals[i];
        let waits = Duration::from_micros(self.now - arrival.at);
        if self.deciders.longest_wait(arrival) < waits {
            self.courses[i].refused = Some(self.now);
            return;
        }
        self.after(LOOK_AGAIN, Event::Arrives(i));
    }

    fn gives_up(&mut self, i: usize) {
        let course = &mut self.courses[i];
        if course.first.is_some() || course.refused.is_some() {
            return;
        }
        course.left = Some(self.now);
        if let Some(engine) = self.at[i].take()
            && let Some(stream) = self.engines[engine].stream_of(i)
        {
            self.engines[engine].engine.cancel(stream);
            self.engines[engine].requests.remove(&stream);
        }
        self.after(NEWS, Event::Ended { i, whole: false });
    }

    /// Lets the scheduler, or the entries, decide and move.
    fn decide(&mut self) {
        let now = Instant(self.now);
        for Relocation { ticket, from, to } in self.deciders.moves(now) {
            self.order_move(ticket, &from, &to);
        }
        for action in self.deciders.decide(now) {
            match action {
                Action::Start { ticket, endpoint, priority } => {
                    let (i, engine) = (ticket.number as usize, self.by_name[&*endpoint]);
                    self.deciders.granted(i, &self.arrivals[i], &endpoint, now);
                    self.after(ASK / 2 + SEND, Event::Reaches { i, engine, priority });
                }
                Action::GiveUp { ticket, .. } => {
                    self.courses[ticket.number as usize].refused = Some(self.now);
                }
            }
        }
    }

    fn reaches(&mut self, i: usize, engine: usize, priority: u64) {
        if self.courses[i].is_over() {
            return;
        }
        if self.engines[engine].gone {
            self.after(NEWS, Event::Ended { i, whole: false });
            return self.look_again(i);
        }
        self.at[i] = Some(engine);
        let Arrival { prompt, output, .. } = self.arrivals[i];
        self.engines[engine].submit(i, prompt, output, priority);
        self.step(engine);
    }

    pub(super) fn step(&mut self, engine: usize) {
        if let Some(took) = self.engines[engine].begin_step() {
            self.after(took, Event::StepDone(engine));
        }
    }

    fn step_done(&mut self, engine: usize) {
        let Some(step) = self.engines[engine].step.take() else { return };
        self.preempted += step.preempted.len() as u64;
        for token in &step.tokens {
            self.token(engine, token);
        }
        self.step(engine);
    }

    fn token(&mut self, engine: usize, token: &Produced) {
        let Some(i) = self.engines[engine].requests.get(&token.id).copied() else { return };
        let course = &mut self.courses[i];
        course.token(self.now);
        let tokens = course.tokens;
        if token.last {
            course.ended = Some(self.now);
            self.engines[engine].requests.remove(&token.id);
            self.at[i] = None;
            return self.after(NEWS, Event::Ended { i, whole: true });
        }
        if tokens == 1 || tokens.is_multiple_of(NEWS_EVENTS * TOKENS_PER_EVENT) {
            self.after(NEWS, Event::Told { i, tokens });
        }
    }

    pub(super) fn name_at(&self, i: usize) -> String {
        self.at[i].map_or_else(String::new, |engine| self.engines[engine].name.to_string())
    }

    pub(super) fn again(&mut self, pause: u64, event: Event) {
        if self.is_open() {
            self.after(pause, event);
        }
    }

    pub(super) fn after(&mut self, pause: u64, event: Event) {
        self.at(self.now + pause, event);
    }

    pub(super) fn at(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.heap.push(Reverse((time, self.sequence, event)));
    }
}
