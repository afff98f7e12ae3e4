//! The scheduler that the leader runs for all daemons.
//!
//! Its state is soft. A new leader waits a moment for the daemons to tell what
//! runs and what waits before it grants anything.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{
    ByVm, Outbox, VmName, admit, broadcast::Broadcast, engines::Engines, load_report,
    permit_allocator::PermitAllocator,
};
use crate::{
    error::RequestError,
    mechanism::Disabled,
    placement::{Action, Relocation, Scheduler, Ticket},
    units::Instant,
    wire::{
        Admit, Body, GiveUp, Grant, Health, HealthNews, LastResort, LimitNews, LimitWord, Move,
        Moved, Overloaded, PermitQuery, Progress, Rejected, Report, SlowEndpoint, Watch,
    },
};

/// Time in which a new leader only listens.
const LISTEN: Duration = Duration::from_millis(300);

/// Slow endpoints that an answer to a daemon names: 80 bytes, 0.3 kB/s for each daemon, which hears of
/// 600 within 40 s.
const SLOW_AT_ONCE: usize = 4;
/// They are looked for this often, among all endpoints.
const LOOK_FOR_SLOW: Duration = Duration::from_millis(500);

/// The scheduler of all daemons.
pub(crate) struct Dispatcher {
    scheduler: Scheduler,
    open_at: Instant,
    numbers: ByVm<u64>,
    names: BTreeMap<u64, VmName>,
    leaving: BTreeMap<Arc<str>, Instant>,
    endpoints: Vec<String>,
    watches: ByVm<Vec<String>>,
    /// Whether the endpoints have changed since they were assigned.
    must_assign: bool,
    slow: SlowOnes,
    permits: PermitAllocator,
    /// Endpoints that reject requests, of which daemons are to be told.
    overloaded: Broadcast,
}

/// The endpoints that are slower than others, as they were when last looked for.
#[derive(Debug, Default)]
struct SlowOnes {
    found: Vec<SlowEndpoint>,
    /// The one that is told next.
    next: usize,
    /// They are looked for again after this.
    look: Instant,
}

impl Dispatcher {
    pub(crate) fn new(disabled: Disabled, now: Instant) -> Dispatcher {
        Dispatcher {
            scheduler: Scheduler::by_forecast(disabled),
            open_at: now.after(LISTEN),
            numbers: ByVm::new(),
            names: BTreeMap::new(),
            leaving: BTreeMap::new(),
            endpoints: Vec::new(),
            watches: ByVm::new(),
            must_assign: true,
            slow: SlowOnes::default(),
            permits: PermitAllocator::default(),
            overloaded: Broadcast::default(),
        }
    }

    pub(crate) fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }

    /// Takes the engines, and which of them must get no new work.
    pub(crate) fn configure(&mut self, engines: &Engines, now: Instant) {
        let endpoints = engines.all();
        self.scheduler.configure(&endpoints);
        self.scheduler.set_halls_out(&engines.halls_out);
        for (name, until) in &engines.cold {
            self.scheduler.endpoint_cold(name, *until, now);
        }
        self.endpoints = endpoints.keys().cloned().collect();
        self.must_assign = true;
        for endpoint in endpoints.keys() {
            self.scheduler.endpoint_leaving(endpoint, engines.draining.contains(endpoint.as_str()));
        }
        for endpoint in self.leaving.keys() {
            self.scheduler.endpoint_leaving(endpoint, true);
        }
    }

    pub(crate) fn next_tick(&self) -> Option<Instant> {
        let next = self.scheduler.next_decision().map(|at| at.max(self.open_at));
        let news = self.permits.next_tick().into_iter().chain(self.overloaded.next_tick());
        next.into_iter().chain(news).min()
    }

    /// Takes what became of a move.
    pub(crate) fn on_relocated(
        &mut self,
        from: &VmName,
        moved: &Moved,
        now: Instant,
        out: &mut Outbox,
    ) {
        let ticket = Ticket { entry: self.number(from), number: moved.number };
        self.scheduler.on_relocated(ticket, &moved.at, moved.done, now);
        self.decide(now, out);
    }

    pub(crate) fn admit(&mut self, from: &VmName, admit: Admit, now: Instant, out: &mut Outbox) {
        let ticket = Ticket { entry: self.number(from), number: admit.number };
        let running_at = admit.running_at.clone();
        let tokens = admit.tokens;
        let req = admit::decode(ticket, admit);
        if let Some(endpoint) = running_at {
            self.scheduler.adopt(req, &endpoint, tokens, now);
            return;
        }
        if let Err(error) = self.scheduler.enqueue(req, now) {
            out.send(from, Body::GiveUp(give_up(ticket, error)));
            return;
        }
        self.decide(now, out);
    }

    pub(crate) fn on_progress(
        &mut self,
        from: &VmName,
        progress: Progress,
        now: Instant,
        out: &mut Outbox,
    ) {
        let entry = self.number(from);
        let ticket = |number| Ticket { entry, number };
        for tokens in progress.running {
            self.scheduler.progress(ticket(tokens.number), tokens.tokens, now);
        }
        let freed = !progress.finished.is_empty()
            || !progress.ended.is_empty()
            || self.scheduler.has_isolated()
            || !self.scheduler.backoffs.is_empty();
        for tokens in progress.finished {
            self.scheduler.finish(ticket(tokens.number), tokens.tokens, true, now);
        }
        for tokens in progress.ended {
            self.scheduler.progress(ticket(tokens.number), tokens.tokens, now);
            self.scheduler.cancel(ticket(tokens.number), now);
        }
        if freed {
            self.decide(now, out);
        }
    }

    pub(crate) fn remove_daemon(&mut self, vm: &VmName, now: Instant, out: &mut Outbox) {
        let Some(entry) = self.numbers.remove(vm) else { return };
        self.names.remove(&entry);
        self.watches.remove(vm);
        self.permits.remove_daemon(vm);
        self.scheduler.forget_entry(entry, now);
        self.decide(now, out);
    }

    /// Takes news that a daemon has seen and passes on what is new.
    pub(crate) fn on_health(
        &mut self,
        from: &VmName,
        health: Health,
        daemons: &BTreeSet<VmName>,
        now: Instant,
        out: &mut Outbox,
    ) {
        match health.news() {
            HealthNews::Failed => self.scheduler.endpoint_failed(&health.endpoint, now),
            HealthNews::Leaving => {
                let endpoint: Arc<str> = health.endpoint.as_str().into();
                self.scheduler.endpoint_leaving(&endpoint, true);
                let known = self.leaving.insert(endpoint, now).is_some();
                if !known {
                    tell_others(from, &health, daemons, out);
                }
            }
            HealthNews::Returned => {}
        }
    }

    /// Takes a load report. One that is younger than the news that the endpoint was leaving
    /// tells whether it still is.
    pub(crate) fn on_load_report(
        &mut self,
        from: &VmName,
        report: Report,
        daemons: &BTreeSet<VmName>,
        now: Instant,
        out: &mut Outbox,
    ) {
        let load = load_report(&report, now);
        self.scheduler.endpoint_report(&report.endpoint, load);
        let news =
            |news: HealthNews| Health { endpoint: report.endpoint.clone(), news: news.into() };
        let noticed = self.leaving.get(report.endpoint.as_str()).copied();
        match (report.leaving, noticed) {
            (true, _) => self.on_health(from, news(HealthNews::Leaving), daemons, now, out),
            (false, Some(noticed)) if noticed < load.at => {
                self.leaving.remove(report.endpoint.as_str());
                self.scheduler.endpoint_leaving(&report.endpoint, false);
                tell_others(from, &news(HealthNews::Returned), daemons, out);
                self.decide(now, out);
            }
            (false, _) => {}
        }
    }

    pub(crate) fn tick(&mut self, daemons: &BTreeSet<VmName>, now: Instant, out: &mut Outbox) {
        self.decide(now, out);
        self.assign_watches(daemons, out);
        self.permits.tick(daemons, &mut self.scheduler.throttle, now, out);
        self.tell_overloaded(daemons, now, out);
        self.scheduler.backoffs.expire(now);
    }

    /// Takes word that an endpoint has rejected a request of a daemon.
    pub(crate) fn on_rejection(&mut self, from: &VmName, rejected: Rejected, now: Instant) {
        let rejection = rejected.decode();
        let daemon = self.number(from);
        self.scheduler.on_rejection(daemon, &rejection, now);
        let must_tell = self.scheduler.shares_backoffs()
            && self.scheduler.backoffs.take_news(&rejection.endpoint, now);
        if must_tell {
            self.overloaded.add(&rejection.endpoint, now);
        }
    }

    fn tell_overloaded(&mut self, daemons: &BTreeSet<VmName>, now: Instant, out: &mut Outbox) {
        let backoffs = &self.scheduler.backoffs;
        let due = self.overloaded.take_due(daemons.len(), now);
        let endpoints = due.iter().filter_map(|name| {
            let until = backoffs.last_resort_until(name, now)?;
            Some(LastResort::new(name, backoffs.started_at(name)?, until, now))
        });
        let news = Overloaded { endpoints: endpoints.collect() };
        if news.endpoints.is_empty() {
            return;
        }
        for vm in daemons {
            out.send(vm, Body::Overloaded(news.clone()));
        }
    }

    /// Takes what a daemon has read of the limits that endpoints name.
    pub(crate) fn on_rate_limits(&mut self, news: LimitNews, now: Instant) {
        self.permits.on_rate_limits(news, &mut self.scheduler.throttle, now);
    }

    /// Takes a daemon's request for a permit at endpoints that name limits.
    pub(crate) fn on_permit_query(
        &mut self,
        from: &VmName,
        query: PermitQuery,
        now: Instant,
        out: &mut Outbox,
    ) {
        self.permits.on_query(from, query, &mut self.scheduler.throttle, now, out);
    }

    /// Some of the limits that endpoints name, the next ones at each call.
    pub(crate) fn next_rate_limits(&mut self, now: Instant) -> Vec<LimitWord> {
        self.permits.next_limits(&self.scheduler.throttle, now)
    }

    /// Forgets what runs of endpoints have said that are not there any more.
    pub(crate) fn retain_runs(&mut self, is_there: impl Fn(&str, u64) -> bool, now: Instant) {
        self.scheduler.retain_runs(is_there, now);
    }

    /// Some of the endpoints that are slower than others, the next ones at each call.
    pub(crate) fn next_slow_endpoints(&mut self, now: Instant) -> Vec<SlowEndpoint> {
        let slow = &mut self.slow;
        if slow.look <= now {
            let of = |(name, slowness): (Arc<str>, f64)| {
                let percent = (slowness * 100.0) as u32;
                SlowEndpoint { name: name.to_string(), percent }
            };
            slow.look = now.after(LOOK_FOR_SLOW);
            slow.found = self.scheduler.slow_endpoints().into_iter().map(of).collect();
        }
        let count = slow.found.len();
        let told =
            (0..SLOW_AT_ONCE.min(count)).map(|n| slow.found[(slow.next + n) % count].clone());
        let told = told.collect();
        slow.next = slow.next.wrapping_add(SLOW_AT_ONCE);
        told
    }

    /// Grants, gives up and moves what can be now.
    pub(crate) fn decide(&mut self, now: Instant, out: &mut Outbox) {
        if now < self.open_at {
            return;
        }
        for Relocation { ticket, from, to } in self.scheduler.plan_relocations(now) {
            let Some(vm) = self.names.get(&ticket.entry) else { continue };
            let (from, to) = (from.to_string(), to.to_string());
            out.send(vm, Body::Move(Move { number: ticket.number, from, to }));
        }
        for action in self.scheduler.decide(now) {
            match action {
                Action::Start { ticket, endpoint, priority } => {
                    let Some(vm) = self.names.get(&ticket.entry) else { continue };
                    let endpoint = endpoint.to_string();
                    out.send(vm, Body::Grant(Grant { number: ticket.number, endpoint, priority }));
                }
                Action::GiveUp { ticket, error } => {
                    let Some(vm) = self.names.get(&ticket.entry) else { continue };
                    out.send(vm, Body::GiveUp(give_up(ticket, error)));
                }
            }
        }
    }

    /// Each endpoint is asked for its load by one daemon, chosen by rendezvous hashing, so
    /// that a change of daemons moves few endpoints. Only a change is worth the look at all of them.
    fn assign_watches(&mut self, daemons: &BTreeSet<VmName>, out: &mut Outbox) {
        if !self.must_assign && self.watches.keys().eq(daemons) {
            return;
        }
        self.must_assign = false;
        let mut assigned: ByVm<Vec<String>> =
            daemons.iter().map(|vm| (vm.clone(), Vec::new())).collect();
        for endpoint in &self.endpoints {
            let chosen = daemons.iter().max_by_key(|vm| rendezvous(vm, endpoint));
            if let Some(list) = chosen.and_then(|vm| assigned.get_mut(vm)) {
                list.push(endpoint.clone());
            }
        }
        for (vm, endpoints) in &assigned {
            if self.watches.get(vm) != Some(endpoints) {
                out.send(vm, Body::Watch(Watch { endpoints: endpoints.clone() }));
            }
        }
        self.watches = assigned;
    }

    fn number(&mut self, vm: &VmName) -> u64 {
        if let Some(number) = self.numbers.get(vm) {
            return *number;
        }
        let number = self.names.keys().next_back().map_or(1, |last| last + 1);
        self.numbers.insert(vm.clone(), number);
        self.names.insert(number, vm.clone());
        number
    }
}

fn rendezvous(vm: &str, endpoint: &str) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(vm.as_bytes());
    hasher.update(&[0]);
    hasher.update(endpoint.as_bytes());
    // The checksum of texts that differ in one place only is close; spread it.
    hasher.finalize().wrapping_mul(0x9e37_79b1).rotate_left(15).wrapping_mul(0x85eb_ca77)
}

fn tell_others(from: &VmName, health: &Health, daemons: &BTreeSet<VmName>, out: &mut Outbox) {
    for vm in daemons.iter().filter(|vm| *vm != from) {
        out.send(vm, Body::Health(health.clone()));
    }
}

fn give_up(ticket: Ticket, error: RequestError) -> GiveUp {
    GiveUp {
        number: ticket.number,
        kind: error.kind.number(),
        retry_after_ms: error.retry_after().unwrap_or_default().as_millis() as u64,
        message: error.message,
    }
}
