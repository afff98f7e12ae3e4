//! Bursts of long responses on a scaled-down deployment, in virtual time.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use googletest::prelude::*;

use super::{
    Action, ForecastPolicy, Request, Scheduler, SchedulerLimits, Ticket,
    admission_control::AdmissionControl,
    fixture::{engines, ms, request},
    prefill::prefill_time,
    queue::Queue,
    reserved_work::NothingReserved,
};
use crate::{
    error::RequestError,
    mechanism::{Disabled, Mechanism},
};

const ENGINES: usize = 8;
const TICK_MS: u64 = 5;

/// A kind of response; `per_second` is for all engines together.
#[derive(Clone, Copy)]
struct Kind {
    rank: u64,
    prompt: u64,
    output: u64,
    target_ms: u64,
    per_second: f64,
}

const LONG: Kind =
    Kind { rank: 230, prompt: 3_000, output: 752, target_ms: 4_000, per_second: 3.3 };
const SHORT: Kind = Kind { rank: 210, prompt: 2_200, output: 8, target_ms: 1_500, per_second: 6.5 };

/// What became of the requests of one kind that arrived in the observed time.
#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    asked: u64,
    in_time: u64,
    late: u64,
    /// Rejected within a quarter of the target latency.
    rejected_early: u64,
    /// Rejected after that: queued in vain.
    rejected_late: u64,
}

/// An engine that prefills one prompt at a time and decodes the rest in steps.
struct Engine {
    speed: f64,
    prompts: VecDeque<(u64, f64)>,
    decoding: Vec<(u64, f64)>,
}

impl Engine {
    /// Returns the requests that produced a first token and those that ended.
    fn run(&mut self, output: impl Fn(u64) -> u64) -> (Vec<u64>, Vec<u64>) {
        let is_prefilling = !self.prompts.is_empty();
        let (mut first, mut ended) = (Vec::new(), Vec::new());
        let step_ms =
            (7.0 + 0.12 * self.decoding.len() as f64) * if is_prefilling { 2.0 } else { 1.0 };
        for (number, tokens) in &mut self.decoding {
            *tokens += TICK_MS as f64 * self.speed / step_ms;
            if output(*number) as f64 <= *tokens {
                ended.push(*number);
            }
        }
        self.decoding.retain(|(number, _)| !ended.contains(number));
        if let Some((number, left)) = self.prompts.front_mut() {
            *left -= 7.0 * TICK_MS as f64 * self.speed;
            if *left <= 0.0 {
                first.push(*number);
                self.decoding.push((*number, 4.0));
                self.prompts.pop_front();
            }
        }
        (first, ended)
    }
}

struct Play {
    scheduler: Scheduler,
    engines: Vec<Engine>,
    kinds: BTreeMap<u64, (Kind, u64)>,
    outcomes: BTreeMap<u64, Outcome>,
    observed: std::ops::Range<u64>,
    random: u64,
    number: u64,
}

impl Play {
    fn new(disabled: Disabled, observed: std::ops::Range<u64>) -> Play {
        let limits = SchedulerLimits { disabled, ..SchedulerLimits::default() };
        let mut scheduler = Scheduler::new(limits, Box::new(ForecastPolicy::without(disabled)));
        scheduler.configure(&engines(&["h"; ENGINES], 26_924));
        let speed = |i| if i % 4 == 0 { 0.55 } else { 1.2 };
        let engine = |i| Engine { speed: speed(i), prompts: VecDeque::new(), decoding: Vec::new() };
        Play {
            scheduler,
            engines: (0..ENGINES).map(engine).collect(),
            kinds: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            observed,
            random: 7,
            number: 0,
        }
    }

    fn random(&mut self) -> f64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.random >> 33) as f64 / (1u64 << 31) as f64
    }

    fn outcome(&mut self, number: u64) -> Option<(&mut Outcome, Kind, u64)> {
        let (kind, arrived) = self.kinds[&number];
        let observed = self.observed.contains(&arrived);
        observed.then(|| (self.outcomes.entry(kind.rank).or_default(), kind, arrived))
    }

    fn arrive(&mut self, kind: Kind, workspace: &str, now: u64) {
        self.number += 1;
        let number = self.number;
        self.kinds.insert(number, (kind, now));
        self.outcome(number).into_iter().for_each(|(outcome, ..)| outcome.asked += 1);
        let ttft_target = Duration::from_millis(kind.target_ms);
        let req = Request {
            workspace: workspace.into(),
            rank: kind.rank,
            kind: format!("{}", kind.rank).into(),
            max_wait: ttft_target.saturating_sub(prefill_time(kind.prompt)),
            ttft_target,
            ..request(number, kind.prompt, kind.output * 4 / 3)
        };
        if let Err(error) = self.scheduler.enqueue(req, ms(now)) {
            self.on_rejected(number, &error, now);
        }
    }

    fn on_rejected(&mut self, number: u64, error: &RequestError, now: u64) {
        assert!(error.retry_after().is_some());
        let Some((outcome, kind, arrived)) = self.outcome(number) else { return };
        let early = now - arrived <= kind.target_ms / 4;
        *(if early { &mut outcome.rejected_early } else { &mut outcome.rejected_late }) += 1;
    }

    fn decide(&mut self, now: u64) {
        for action in self.scheduler.decide(ms(now)) {
            match action {
                Action::Start { ticket, endpoint, .. } => {
                    let at: usize = endpoint[1..].parse().unwrap();
                    let prompt = self.kinds[&ticket.number].0.prompt as f64;
                    self.engines[at].prompts.push_back((ticket.number, prompt));
                }
                Action::GiveUp { ticket, error } => self.on_rejected(ticket.number, &error, now),
            }
        }
    }

    fn run_engines(&mut self, now: u64) {
        let ticket = |number| Ticket { entry: 1, number };
        for at in 0..self.engines.len() {
            let kinds = &self.kinds;
            let (first, ended) = self.engines[at].run(|number| kinds[&number].0.output);
            for number in first {
                self.scheduler.progress(ticket(number), 4, ms(now));
                let Some((outcome, kind, arrived)) = self.outcome(number) else { continue };
                let late = kind.target_ms < now - arrived;
                *(if late { &mut outcome.late } else { &mut outcome.in_time }) += 1;
            }
            for number in ended {
                let output = self.kinds[&number].0.output;
                self.scheduler.finish(ticket(number), output, true, ms(now));
            }
            if now.is_multiple_of(500) {
                for (number, tokens) in &self.engines[at].decoding {
                    self.scheduler.progress(ticket(*number), *tokens as u64, ms(now));
                }
            }
        }
    }

    /// Plays the load from the first to the last time, in ms. `factor` multiplies the arrivals of a
    /// kind at a time.
    fn run(&mut self, kinds: &[Kind], until: u64, factor: impl Fn(&Kind, u64) -> f64) {
        for now in (0..until).step_by(TICK_MS as usize) {
            self.run_engines(now);
            for kind in kinds {
                let expected = kind.per_second * factor(kind, now) * TICK_MS as f64 / 1_000.0;
                if self.random() < expected {
                    let workspace = if self.random() < 0.5 { "a" } else { "b" };
                    self.arrive(*kind, workspace, now);
                }
            }
            self.decide(now);
        }
    }
}

fn without() -> Disabled {
    Disabled::default().with(Mechanism::AdmissionForecast)
}

const BURST: std::ops::Range<u64> = 20_000..28_000;

const LONG_2: Kind = Kind { rank: 220, target_ms: 1_800, per_second: 3.9, ..LONG };
const SHORT_2: Kind = Kind { per_second: 4.4, ..SHORT };

/// Plays a burst with four seeds. Returns the sums for long and short responses that arrived in
/// `observed`.
fn play(
    kinds: [Kind; 2],
    factors: [f64; 2],
    disabled: Disabled,
    observed: std::ops::Range<u64>,
) -> [Outcome; 2] {
    let mut sums = [Outcome::default(); 2];
    for seed in 0..4 {
        let mut play = Play::new(disabled, observed.clone());
        play.random = seed * 1_000_003 + 7;
        play.run(&kinds, 42_000, |kind, now| {
            let factor = if kind.rank == kinds[0].rank { factors[0] } else { factors[1] };
            if BURST.contains(&now) { factor } else { 1.0 }
        });
        for (sum, kind) in sums.iter_mut().zip(kinds) {
            let outcome = play.outcomes[&kind.rank];
            sum.asked += outcome.asked;
            sum.in_time += outcome.in_time;
            sum.late += outcome.late;
            sum.rejected_early += outcome.rejected_early;
            sum.rejected_late += outcome.rejected_late;
        }
    }
    sums
}

/// Guards against requests that are held until their wait is over, and against rejections of
/// requests that would have been served: the same load without the mechanism shows how many could be.
#[gtest]
fn burst_is_rejected_early_and_costs_few_served_requests() {
    let all = 20_000..30_000;
    for (kinds, factors) in [
        ([LONG, SHORT], [4.0, 1.0]),
        ([LONG, SHORT], [3.0, 3.0]),
        ([LONG_2, SHORT_2], [4.0, 1.0]),
        ([LONG_2, SHORT_2], [3.0, 3.0]),
    ] {
        let [long, short] = play(kinds, factors, Disabled::default(), all.clone());
        let [long_without, short_without] = play(kinds, factors, without(), all.clone());

        expect_that!(long.in_time * 100, ge(long_without.in_time * 90));
        expect_that!(long.rejected_late * 100, le(long_without.rejected_late * 65));
        expect_that!(short.in_time * 100, ge(short.asked * 99));
        expect_that!(short.in_time * 100, ge(short_without.in_time * 99));
    }
}

/// Guards against any decision that changes without overload, and against rates of a burst that are
/// used after it.
#[gtest]
fn nothing_is_rejected_without_overload_or_after_it() {
    let calm = play([LONG, SHORT], [1.0, 1.0], Disabled::default(), 0..42_000);
    let after = play([LONG, SHORT], [4.0, 1.0], Disabled::default(), 32_000..42_000);

    for outcome in calm.into_iter().chain(after) {
        expect_that!(outcome.rejected_early + outcome.rejected_late, eq(0), "{outcome:?}");
    }
}

/// Requests of 1,000 tokens of which ten per second start while 30 of workspace `big` are queued.
fn steady_overload() -> (AdmissionControl, Queue) {
    let (mut control, mut queue) = (AdmissionControl::default(), Queue::default());
    let new = |number| Request { workspace: "big".into(), ..request(number, 900, 100) };
    for number in 0..30 {
        queue.push(new(number), ms(0), None);
    }
    for number in 0..30 {
        let now = ms(number * 100);
        control.on_arrival(&new(number), 1_000.0, now);
        control.on_decided(true, now);
        control.on_started(1_000.0, now);
    }
    control.on_decided(true, ms(3_000));
    (control, queue)
}

/// Guards against a retry time that has nothing to do with the work ahead and the rate, and against a
/// flood of one workspace that delays others.
#[gtest]
fn wait_follows_rate_and_share() {
    let (control, queue) = steady_overload();
    let wait = |workspace: &str, rank| {
        let req = Request { workspace: workspace.into(), rank, ..request(99, 900, 100) };
        control.expected_wait(&queue, &req, &NothingReserved, ms(3_000)).unwrap().as_secs_f64()
    };

    expect_that!(wait("big", 1), all!(ge(2.6), le(3.4)));
    expect_that!(wait("small", 1), eq(0.0));
    expect_that!(wait("big", 0), eq(0.0));
    // More urgent arrivals take the whole rate.
    expect_that!(wait("big", 2), all!(ge(20.0), le(60.0)));
}

/// Guards against rejections by a new leader that has not measured anything.
#[gtest]
fn wait_is_unknown_at_first() {
    let (mut control, mut queue) = (AdmissionControl::default(), Queue::default());
    control.on_arrival(&request(0, 900, 100), 1_000.0, ms(0));
    queue.push(request(0, 900, 100), ms(0), None);
    control.on_decided(true, ms(0));

    let wait = control.expected_wait(&queue, &request(1, 900, 100), &NothingReserved, ms(500));

    expect_that!(wait, none());
    expect_that!(control.overdue(&queue, &NothingReserved, ms(500)), is_empty());
}

/// Guards against all of the queue being shed where shedding a part of it lets the rest be in time.
#[gtest]
fn only_the_excess_is_shed() {
    let (mut control, queue) = steady_overload();

    // All have waited for 0.5 s of 2 s, of which 15 can start at ten per second.
    let of_wait = |max_wait_ms| {
        let mut queue = Queue::default();
        for number in 0..30 {
            let max_wait = Duration::from_millis(max_wait_ms);
            let ttft_target = Duration::from_secs(3);
            queue.push(
                Request { max_wait, ttft_target, ..request(number, 900, 100) },
                ms(2_500),
                None,
            );
        }
        queue
    };
    let shed = control.overdue(&of_wait(2_000), &NothingReserved, ms(3_000));
    let numbers: Vec<u64> = shed.iter().map(|(ticket, _)| ticket.number).collect();

    expect_that!(queue.rank_work(1).requests, eq(30));
    expect_that!(numbers.len(), all!(ge(9), le(14)));
    expect_that!(numbers, each(ge(&16)));
    expect_that!(control.overdue(&of_wait(100), &NothingReserved, ms(3_050)), is_empty());
}

/// Guards against a prompt that is late on any engine and holds up one that is in time.
#[gtest]
fn late_request_comes_after_those_in_time() {
    let mut scheduler = super::fixture::scheduler(&["h"], 1_000_000);
    for number in 10..13 {
        scheduler.adopt(request(number, 2_100, 100), "e0", 0, ms(0));
    }
    let late = Request { rank: 0, ..request(1, 10_500, 100) };
    scheduler.enqueue(late, ms(0)).unwrap();
    scheduler.enqueue(request(2, 1_400, 100), ms(0)).unwrap();

    let at_once = scheduler.decide(ms(0));
    scheduler.progress(Ticket { entry: 1, number: 10 }, 1, ms(150));
    let later = scheduler.decide(ms(150));

    expect_that!(at_once, is_empty());
    let order: Vec<u64> = later.iter().filter_map(started).collect();
    expect_that!(order, elements_are![eq(&2), eq(&1)]);
}

fn started(action: &Action) -> Option<u64> {
    match action {
        Action::Start { ticket, .. } => Some(ticket.number),
        Action::GiveUp { .. } => None,
    }
}
