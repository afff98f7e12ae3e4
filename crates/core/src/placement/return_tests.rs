//! Order of return in the scheduler, in virtual time: callers are rejected, and come back.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use googletest::prelude::*;

use super::{
    fixture::{engines, ms, request},
    *,
};
use crate::{
    mechanism::{Disabled, Mechanism},
    units::Instant,
};

/// One engine with this many slots and time per response starts ten requests per second.
const SLOTS: u64 = 4;
const SERVICE_TIME: Duration = Duration::from_millis(400);
const START_INTERVAL: Duration = Duration::from_millis(100);
/// Start of the test load, after the scheduler has learned the start interval.
const T0: u64 = 20_000;

/// What a caller does after a rejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Caller {
    /// Comes back when it was told to.
    Honours,
    /// Comes back every 50 ms.
    Repeats,
    /// Does not come back.
    Leaves,
}

/// A scheduler with one engine and callers that are identified by numbers.
struct Play {
    scheduler: Scheduler,
    callers: BTreeMap<u64, (Caller, Request)>,
    /// The caller of a burst that repeats.
    repeater: Option<u64>,
    arrivals: BTreeSet<(Instant, u64)>,
    ends: BTreeSet<(Instant, Ticket)>,
    caller_of: HashMap<Ticket, u64>,
    next_ticket: u64,
    started: Vec<(u64, Instant)>,
    /// Times that callers were told, in order of the rejections.
    told: Vec<(u64, Instant)>,
}

impl Play {
    /// A play whose scheduler has learned the start interval.
    fn new(disabled: Disabled) -> Play {
        let limits = SchedulerLimits { disabled, ..SchedulerLimits::default() };
        let mut scheduler = Scheduler::new(limits, Box::new(ForecastPolicy::default()));
        let mut engines = engines(&["h"], 1_000_000);
        engines.values_mut().for_each(|spec| spec.slots = SLOTS);
        scheduler.configure(&engines);
        let mut play = Play {
            scheduler,
            callers: BTreeMap::new(),
            repeater: None,
            arrivals: BTreeSet::new(),
            ends: BTreeSet::new(),
            caller_of: HashMap::new(),
            next_ticket: 0,
            started: Vec::new(),
            told: Vec::new(),
        };
        for caller in 1_000_000..1_000_204 {
            play.arrive(caller, Caller::Leaves, ms(0), |req| {
                req.max_wait = Duration::from_secs(60)
            });
        }
        play.run(ms(T0));
        play.started.clear();
        play
    }

    fn arrive(&mut self, caller: u64, kind: Caller, at: Instant, change: impl Fn(&mut Request)) {
        let mut req = request(0, 10, 100);
        req.digest = ContentDigest::from_slice(&u128::from(caller).to_be_bytes());
        change(&mut req);
        self.callers.insert(caller, (kind, req));
        self.arrivals.insert((at, caller));
    }

    /// Runs until a time.
    fn run(&mut self, until: Instant) {
        loop {
            let arrival = self.arrivals.first().map(|(at, _)| *at);
            let end = self.ends.first().map(|(at, _)| *at);
            let next = self.scheduler.next_expiry();
            let Some(now) = arrival.into_iter().chain(end).chain(next).min() else { return };
            if until < now {
                return;
            }
            if end == Some(now) {
                let (_, ticket) = self.ends.pop_first().unwrap();
                self.scheduler.finish(ticket, 100, true, now);
            } else if arrival == Some(now) {
                let (_, caller) = self.arrivals.pop_first().unwrap();
                self.enqueue(caller, now);
            }
            for action in self.scheduler.decide(now) {
                match action {
                    Action::Start { ticket, .. } => {
                        self.scheduler.progress(ticket, 1, now);
                        // The first responses are shorter, so that starts are evenly spaced.
                        let time = SERVICE_TIME.min(START_INTERVAL * ticket.number as u32);
                        self.ends.insert((now.after(time), ticket));
                        self.started.push((self.caller_of[&ticket], now));
                    }
                    Action::GiveUp { ticket, error } => {
                        self.on_rejected(self.caller_of[&ticket], &error, now);
                    }
                }
            }
        }
    }

    fn enqueue(&mut self, caller: u64, now: Instant) {
        self.next_ticket += 1;
        let ticket = Ticket { entry: 1, number: self.next_ticket };
        self.caller_of.insert(ticket, caller);
        let req = Request { ticket, ..self.callers[&caller].1.clone() };
        if let Err(error) = self.scheduler.enqueue(req, now) {
            self.on_rejected(caller, &error, now);
        }
    }

    fn on_rejected(&mut self, caller: u64, error: &RequestError, now: Instant) {
        let due = now.after(error.retry_after().unwrap());
        self.told.push((caller, due));
        match self.callers[&caller].0 {
            Caller::Honours => self.arrivals.insert((due, caller)),
            Caller::Repeats => self.arrivals.insert((now.after(Duration::from_millis(50)), caller)),
            Caller::Leaves => false,
        };
    }

    fn rejections(&self, caller: u64) -> usize {
        self.told.iter().filter(|(rejected, _)| *rejected == caller).count()
    }

    fn started_at(&self, caller: u64) -> Option<Instant> {
        self.started.iter().find(|(started, _)| *started == caller).map(|(_, at)| *at)
    }

    /// A burst of callers 1 to `size` at [`T0`], while newcomers ask for more than there is.
    fn burst(&mut self, size: u64) {
        for caller in 1..=size {
            let repeats = self.repeater == Some(caller);
            let kind = if repeats { Caller::Repeats } else { Caller::Honours };
            self.arrive(caller, kind, ms(T0), |_| {});
        }
        for n in 1..=60 {
            self.arrive(1_000 + n, Caller::Honours, ms(T0 + n * 80), |_| {});
        }
        self.run(ms(T0 + 30_000));
    }
}

/// Guards against callers who come back as told and are refused again, or served out of order.
#[gtest]
fn burst_comes_back_in_order_and_nobody_is_refused_twice() {
    let mut play = Play::new(Disabled::default());

    play.burst(40);

    let told: Vec<u64> = play.told.iter().map(|(caller, _)| *caller).collect();
    let mut served: Vec<u64> = play.started.iter().map(|(caller, _)| *caller).collect();
    expect_that!(served.len(), eq(100));
    served.retain(|caller| told.contains(caller));
    expect_that!(told.len(), ge(60));
    expect_that!(served, eq(&told), "in order of the first rejection, which is the only one");
    for (caller, due) in &play.told {
        let late = play.started_at(*caller).unwrap().since(*due);
        expect_that!(late, le(START_INTERVAL * 5), "caller {caller}");
    }
}

/// The same burst without the mechanism: callers are refused again. Guards against a test that shows
/// nothing.
#[gtest]
fn burst_without_order_of_return_is_refused_again() {
    let mut play = Play::new(Disabled::default().with(Mechanism::ReturnOrder));

    play.burst(40);

    expect_that!((1..=40).filter(|caller| 1 < play.rejections(*caller)).count(), ge(5));
}

/// Guards against callers who gain a better place, or take that of others, by coming early and often.
#[gtest]
fn repeater_gains_and_loses_nothing() {
    const REPEATER: u64 = 35;
    let (mut patient, mut impatient) =
        (Play::new(Disabled::default()), Play::new(Disabled::default()));
    impatient.repeater = Some(REPEATER);

    patient.burst(40);
    impatient.burst(40);

    expect_that!(impatient.rejections(REPEATER), ge(10));
    for caller in 1..=40 {
        let (with, without) = (impatient.started_at(caller), patient.started_at(caller));
        let (with, without) = (with.unwrap(), without.unwrap());
        let apart = with.since(without).max(without.since(with));
        expect_that!(apart, le(EARLY_GAIN), "caller {caller}");
    }
}

/// A returning caller counts as due up to this much before its time.
const EARLY_GAIN: Duration = Duration::from_millis(100);

/// Guards against room that is kept for callers who never come back.
#[gtest]
fn newcomers_are_served_when_nobody_comes_back() {
    let mut play = Play::new(Disabled::default());
    for caller in 1..=100 {
        play.arrive(caller, Caller::Leaves, ms(T0), |_| {});
    }
    for n in 0..100 {
        play.arrive(1_000 + n, Caller::Leaves, ms(T0 + 2_000 + n * 120), |_| {});
    }

    play.run(ms(T0 + 20_000));

    let newcomers = (1_000..1_100).filter(|caller| play.started_at(*caller).is_some());
    expect_that!(newcomers.count(), eq(100));
}

/// Guards against an early caller that is refused while there is capacity, and against one that
/// overtakes those who wait.
#[gtest]
fn early_caller_is_served_only_from_free_capacity() {
    for waiting in [0, 8] {
        let mut play = Play::new(Disabled::default());
        for caller in 1..=40 {
            play.arrive(caller, Caller::Leaves, ms(T0), |_| {});
        }
        play.run(ms(T0 + 2_000));
        let (caller, due) = play.told[19];
        for newcomer in 1_000..1_000 + waiting {
            play.arrive(newcomer, Caller::Leaves, ms(T0 + 2_000), |_| {});
        }

        play.arrive(caller, Caller::Leaves, ms(T0 + 2_001), |_| {});
        play.run(ms(T0 + 10_000));

        expect_that!(due, ge(ms(T0 + 2_600)));
        expect_that!(play.started_at(caller).is_some(), eq(waiting == 0));
        let told = play.told.iter().filter(|(told, _)| *told == caller);
        let told: Vec<Instant> = told.map(|(_, due)| *due).collect();
        expect_true!(told.iter().all(|again| *again == due), "the time does not move");
    }
}

/// Guards against a returning request of a workspace at its limit that blocks those behind it, and
/// against one that is served beyond the limit.
#[gtest]
fn returning_request_respects_the_limit_of_its_workspace() {
    let mut play = Play::new(Disabled::default());
    let limited = |req: &mut Request| {
        req.workspace = "limited".into();
        req.max_running = 1;
    };
    for caller in 1..=40 {
        play.arrive(caller, Caller::Honours, ms(T0), |req| {
            if caller % 2 == 0 {
                limited(req);
            }
        });
    }

    play.run(ms(T0 + 30_000));

    let of_limited = (1..=40).filter(|caller| caller % 2 == 0);
    let mut starts: Vec<Instant> =
        of_limited.filter_map(|caller| play.started_at(caller)).collect();
    starts.sort();
    expect_that!(play.started.len(), eq(40));
    for pair in starts.windows(2) {
        expect_that!(pair[1].since(pair[0]), ge(SERVICE_TIME));
    }
}
