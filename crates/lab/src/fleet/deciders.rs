//! Who decides: the scheduler, or each entry by itself while there is none.

use std::time::Duration;

use trayswitch_core::{
    config::{EndpointTarget, Endpoints},
    mechanism::Disabled,
    placement::{
        Action, ForecastPolicy, PrefixHash, Relocation, Request, SampledEndpoint, Scheduler,
        SchedulerLimits, Ticket, prefill_time, rank,
    },
    software_version::VersionConstraint,
    units::Instant,
};

use super::{
    Alone, FleetOptions,
    engines::MODEL,
    load::{Arrival, KINDS},
};

/// Time in which a new scheduler only listens.
const LISTEN: Duration = Duration::from_millis(300);
/// Left of the target for the way to the engine and back.
const WAY_BACK: Duration = Duration::from_millis(20);
/// Most tokens of an answer.
const MAX_TOKENS: u64 = 1_104;

/// A place that an entry has found by itself.
pub(super) struct Grant {
    /// The engines that were drawn.
    pub(super) drawn: Vec<SampledEndpoint>,
    pub(super) priority: u64,
}

/// The scheduler and the entries' own ones.
pub(super) struct Deciders {
    alone: Alone,
    entries: usize,
    disabled: Disabled,
    scheduler: Option<Scheduler>,
    /// The scheduler grants nothing before this.
    open_at: Instant,
    own: Vec<Scheduler>,
}

impl Deciders {
    pub(super) fn new(options: &FleetOptions, seed: u64) -> Deciders {
        let FleetOptions { alone, entries, disabled, .. } = *options;
        let own = |entry: u64| match alone {
            Alone::Share => by_forecast(disabled),
            _ => Scheduler::local(disabled, seed << 32 | entry),
        };
        Deciders {
            alone,
            entries,
            disabled,
            scheduler: Some(by_forecast(disabled)),
            open_at: Instant::default(),
            own: (0..entries as u64).map(own).collect(),
        }
    }

    /// Whether entries find places by themselves.
    pub(super) fn is_alone(&self) -> bool {
        self.scheduler.is_none()
    }

    /// The longest time that a request waits for a place.
    pub(super) fn longest_wait(&self, arrival: &Arrival) -> Duration {
        let within = KINDS[arrival.kind].target_latency.saturating_sub(WAY_BACK);
        within.saturating_sub(prefill_time(arrival.prompt))
    }

    pub(super) fn configure(&mut self, endpoints: &Endpoints, leaving: &[String]) {
        let mut share = endpoints.clone();
        if self.alone == Alone::Share {
            let entries = self.entries as u64;
            for spec in share.values_mut() {
                spec.slots = spec.slots.div_ceil(entries);
                spec.kv_tokens /= entries;
            }
        }
        let own = self.own.iter_mut().map(|scheduler| (scheduler, &share));
        for (scheduler, endpoints) in own.chain(self.scheduler.iter_mut().map(|s| (s, endpoints))) {
            scheduler.configure(endpoints);
            for engine in leaving {
                scheduler.endpoint_leaving(engine, true);
            }
        }
    }

    pub(super) fn leaving(&mut self, engine: &str) {
        for scheduler in self.own.iter_mut().chain(&mut self.scheduler) {
            scheduler.endpoint_leaving(engine, true);
        }
    }

    /// The scheduler is gone; entries have been told which engines are slow.
    pub(super) fn lose_scheduler(&mut self, now: Instant) {
        if self.alone == Alone::Standby {
            return;
        }
        let Some(lost) = self.scheduler.take() else { return };
        for (engine, slowness) in lost.slow_endpoints() {
            self.own.iter_mut().for_each(|own| own.endpoint_slow(&engine, slowness, now));
        }
    }

    /// Another scheduler begins; it knows what runs once it was told.
    pub(super) fn find_scheduler(
        &mut self,
        endpoints: &Endpoints,
        leaving: &[String],
        now: Instant,
    ) {
        if self.alone == Alone::Standby {
            return;
        }
        let mut scheduler = by_forecast(self.disabled);
        scheduler.configure(endpoints);
        leaving.iter().for_each(|engine| scheduler.endpoint_leaving(engine, true));
        self.scheduler = Some(scheduler);
        self.open_at = now.after(LISTEN);
    }

    /// Tells the scheduler of a request that runs.
    pub(super) fn adopt(
        &mut self,
        i: usize,
        arrival: &Arrival,
        engine: &str,
        tokens: u64,
        now: Instant,
    ) {
        if let Some(scheduler) = self.scheduler.as_mut().filter(|_| self.alone != Alone::Standby) {
            scheduler.adopt(request(i, arrival, now), engine, tokens, now);
        }
    }

    /// Asks the scheduler for a place; fails if it takes the request for hopeless.
    pub(super) fn ask(&mut self, i: usize, arrival: &Arrival, now: Instant) -> Result<(), ()> {
        let scheduler = self.scheduler.as_mut().ok_or(())?;
        scheduler.enqueue(request(i, arrival, now), now).map_err(|_| ())
    }

    /// What the scheduler grants and gives up now.
    pub(super) fn decide(&mut self, now: Instant) -> Vec<Action> {
        let scheduler = self.scheduler.as_mut().filter(|_| self.open_at <= now);
        scheduler.map_or_else(Vec::new, |scheduler| scheduler.decide(now))
    }

    /// The moves to begin now.
    pub(super) fn moves(&mut self, now: Instant) -> Vec<Relocation> {
        match &mut self.scheduler {
            Some(scheduler) if self.open_at <= now => scheduler.plan_relocations(now),
            Some(_) => Vec::new(),
            None => self.own.iter_mut().flat_map(|own| own.plan_relocations(now)).collect(),
        }
    }

    /// Finds a place for a request at its entry.
    pub(super) fn place_alone(
        &mut self,
        i: usize,
        arrival: &Arrival,
        now: Instant,
    ) -> Option<Grant> {
        let own = &mut self.own[arrival.entry];
        own.enqueue(request(i, arrival, now), now).ok()?;
        let ticket = ticket(i, arrival);
        for action in own.decide(now) {
            match action {
                Action::Start { ticket: started, priority, .. } if started == ticket => {
                    return Some(Grant { drawn: own.sampled_endpoints(ticket, now), priority });
                }
                Action::Start { ticket, .. } => own.cancel(ticket, now),
                Action::GiveUp { .. } => {}
            }
        }
        own.cancel(ticket, now);
        None
    }

    /// Notes that a request was sent to another engine than its entry had placed it at.
    pub(super) fn placed_elsewhere(
        &mut self,
        i: usize,
        arrival: &Arrival,
        engine: &str,
        now: Instant,
    ) {
        self.own[arrival.entry].on_relocated(ticket(i, arrival), engine, true, now);
    }

    /// Notes that a request found no place by itself.
    pub(super) fn ended_alone(&mut self, i: usize, arrival: &Arrival, now: Instant) {
        self.own[arrival.entry].cancel(ticket(i, arrival), now);
    }

    pub(super) fn told(&mut self, i: usize, arrival: &Arrival, tokens: u64, now: Instant) {
        let own = &mut self.own[arrival.entry];
        for scheduler in self.scheduler.iter_mut().chain([own]) {
            scheduler.progress(ticket(i, arrival), tokens, now);
        }
    }

    pub(super) fn ended(
        &mut self,
        i: usize,
        arrival: &Arrival,
        tokens: u64,
        whole: bool,
        now: Instant,
    ) {
        let own = &mut self.own[arrival.entry];
        for scheduler in self.scheduler.iter_mut().chain([own]) {
            scheduler.finish(ticket(i, arrival), tokens, whole, now);
        }
    }

    /// Tells where a request runs after a move.
    pub(super) fn moved(
        &mut self,
        i: usize,
        arrival: &Arrival,
        engine: &str,
        done: bool,
        now: Instant,
    ) {
        let own = &mut self.own[arrival.entry];
        for scheduler in self.scheduler.iter_mut().chain([own]) {
            scheduler.on_relocated(ticket(i, arrival), engine, done, now);
        }
    }

    /// Notes at its entry that the scheduler has placed a request.
    pub(super) fn granted(&mut self, i: usize, arrival: &Arrival, engine: &str, now: Instant) {
        self.own[arrival.entry].adopt(request(i, arrival, now), engine, 0, now);
    }
}

fn by_forecast(disabled: Disabled) -> Scheduler {
    let limits = SchedulerLimits { disabled, ..SchedulerLimits::default() };
    Scheduler::new(limits, Box::new(ForecastPolicy::without(disabled)))
}

/// The scheduler's name of a request.
fn ticket(i: usize, arrival: &Arrival) -> Ticket {
    Ticket { entry: arrival.entry as u64 + 1, number: i as u64 }
}

fn request(i: usize, arrival: &Arrival, now: Instant) -> Request {
    let kind = &KINDS[arrival.kind];
    let waited = now.since(Instant(arrival.at)) + WAY_BACK;
    let ttft_target = kind.target_latency.saturating_sub(waited);
    Request {
        ticket: ticket(i, arrival),
        workspace: "w".into(),
        rank: rank(kind.tier_rank, 1),
        share: 1,
        max_running: u64::MAX / 2,
        max_waiting: u64::MAX / 2,
        kind: kind.name.into(),
        target: EndpointTarget::Model(MODEL.into()),
        prompt_tokens: arrival.prompt,
        prefix: PrefixHash(i as u64),
        max_tokens: MAX_TOKENS,
        max_wait: ttft_target.saturating_sub(prefill_time(arrival.prompt)),
        ttft_target,
        avoid: Vec::new(),
        isolated: false,
        versions: VersionConstraint::Any,
        time_left: Duration::from_secs(60),
        longest_gap: Duration::ZERO,
        digest: None,
    }
}
