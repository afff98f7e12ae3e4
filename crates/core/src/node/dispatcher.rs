//! The scheduler that the leader runs for the requests of all daemons.
//!
//! Its state is not replicated: a new leader rebuilds it from the daemons, which resend their running
//! and waiting requests, and grants nothing until [`RECOVERY_TIME`] has passed.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{
    ByVm, Outbox, Output, VmName, admit,
    broadcast::Broadcast,
    engines::{EngineChange, Engines},
    load_report,
    permit_allocator::PermitAllocator,
    watches::Watches,
};
use crate::{
    error::RequestError,
    mechanism::Disabled,
    placement::{Action, Relocation, Scheduler, Ticket},
    state::HallsOut,
    units::Instant,
    wire::{
        Admit, Body, EndpointRecord, GiveUp, Grant, Health, HealthNews, LastResort, LimitNews,
        LimitWord, Move, Moved, Overloaded, PermitQuery, Progress, Rejected, Report, Returns,
        SlowEndpoint,
    },
};

/// Time in which a new leader collects the state of the daemons before it grants anything.
const RECOVERY_TIME: Duration = Duration::from_millis(300);

/// Slow endpoints in one poll reply, about 80 bytes. Each daemon receives 0.3 kB/s and hears of 600
/// slow endpoints within 40 s.
const SLOW_PER_POLL_REPLY: usize = 4;
/// Interval between scans of all endpoints for slow ones.
const SLOW_SCAN_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between reports of the load for metrics: half of the window that they cover, so that no
/// count is missed between two of them.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Settings of a dispatcher.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DispatcherOptions {
    /// Whether daemons poll the load of endpoints.
    pub(crate) polls_loads: bool,
    /// Mechanisms that are disabled.
    pub(crate) disabled: Disabled,
}

/// Schedules the requests of all daemons.
pub(crate) struct Dispatcher {
    scheduler: Scheduler,
    /// Nothing is granted before this.
    ready_at: Instant,
    /// Numbers by which tickets identify daemons.
    daemon_numbers: ByVm<u64>,
    daemon_names: BTreeMap<u64, VmName>,
    /// Endpoints that are leaving, and since when that is known.
    leaving: BTreeMap<Arc<str>, Instant>,
    /// Endpoints whose load each daemon polls; `None` if daemons poll none.
    watches: Option<Watches>,
    slow: SlowEndpoints,
    permits: PermitAllocator,
    /// Endpoints that reject requests, to be broadcast to the daemons.
    overloaded: Broadcast,
    next_load_report: Instant,
}

/// Endpoints that are slower than others, as of the last scan.
#[derive(Debug, Default)]
struct SlowEndpoints {
    found: Vec<SlowEndpoint>,
    /// Index of the first endpoint in the next poll reply.
    next: usize,
    next_scan: Instant,
}

impl Dispatcher {
    pub(crate) fn new(options: DispatcherOptions, now: Instant) -> Dispatcher {
        Dispatcher {
            scheduler: Scheduler::with_forecast(options.disabled),
            ready_at: now.after(RECOVERY_TIME),
            daemon_numbers: ByVm::new(),
            daemon_names: BTreeMap::new(),
            leaving: BTreeMap::new(),
            watches: options.polls_loads.then(Watches::default),
            slow: SlowEndpoints::default(),
            permits: PermitAllocator::default(),
            overloaded: Broadcast::default(),
            next_load_report: now,
        }
    }

    pub(crate) fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }

    /// Replaces the engines and applies which of them are draining.
    pub(crate) fn configure(&mut self, engines: &Engines, now: Instant) {
        let endpoints = engines.all();
        self.scheduler.configure(&endpoints);
        self.scheduler.set_halls_out(&engines.halls_out);
        for (name, until) in &engines.cold {
            self.scheduler.endpoint_cold(name, *until, now);
        }
        self.on_endpoints_changed();
        for endpoint in endpoints.keys() {
            self.scheduler.endpoint_leaving(endpoint, engines.draining.contains(endpoint.as_str()));
        }
        for endpoint in self.leaving.keys() {
            self.scheduler.endpoint_leaving(endpoint, true);
        }
    }

    /// Applies the data halls that are out of service.
    pub(crate) fn set_halls_out(&mut self, halls: &HallsOut) {
        self.scheduler.set_halls_out(halls);
    }

    /// Applies changes of registered engines.
    pub(crate) fn update_engines(&mut self, changes: &[EngineChange], now: Instant) {
        for change in changes {
            change.apply(&mut self.scheduler, now);
            if self.leaving.contains_key(&change.name) {
                self.scheduler.endpoint_leaving(&change.name, true);
            }
        }
        if !changes.is_empty() {
            self.on_endpoints_changed();
        }
    }

    fn on_endpoints_changed(&mut self) {
        if let Some(watches) = &mut self.watches {
            watches.on_endpoints_changed();
        }
    }

    pub(crate) fn next_tick(&self) -> Option<Instant> {
        let next = self.scheduler.next_decision().map(|at| at.max(self.ready_at));
        let news = self.permits.next_tick().into_iter().chain(self.overloaded.next_tick());
        next.into_iter().chain(news).min()
    }

    /// Applies the result of a relocation.
    pub(crate) fn on_relocated(
        &mut self,
        from: &VmName,
        moved: &Moved,
        now: Instant,
        out: &mut Outbox,
    ) {
        let ticket = Ticket { entry: self.daemon_number(from), number: moved.number };
        self.scheduler.on_relocated(ticket, &moved.at, moved.done, now);
        self.decide(now, out);
    }

    pub(crate) fn admit(&mut self, from: &VmName, admit: Admit, now: Instant, out: &mut Outbox) {
        let ticket = Ticket { entry: self.daemon_number(from), number: admit.number };
        let running_at = admit.running_at.clone();
        let tokens = admit.tokens;
        let req = admit::decode(ticket, admit);
        if let Some(endpoint) = running_at {
            self.scheduler.adopt(req, &endpoint, tokens, now);
            return;
        }
        if let Err(error) = self.scheduler.enqueue(req, now) {
            out.send(from, Body::GiveUp(give_up_message(ticket, error)));
            self.report_refusals(now, out);
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
        let entry = self.daemon_number(from);
        let ticket = |number| Ticket { entry, number };
        self.scheduler.set_late(entry, progress.late);
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
        let Some(entry) = self.daemon_numbers.remove(vm) else { return };
        self.daemon_names.remove(&entry);
        if let Some(watches) = &mut self.watches {
            watches.remove_daemon(vm);
        }
        self.permits.remove_daemon(vm);
        self.scheduler.forget_entry(entry, now);
        self.decide(now, out);
    }

    /// Applies a health event from a daemon and forwards new ones to the other daemons.
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
                let is_known = self.leaving.insert(endpoint, now).is_some();
                if !is_known {
                    forward_health(from, &health, daemons, out);
                }
            }
            HealthNews::Returned => {}
        }
    }

    /// Applies a load report. A report newer than the leaving event decides whether the endpoint is
    /// still leaving.
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
        let leaving_since = self.leaving.get(report.endpoint.as_str()).copied();
        match (report.leaving, leaving_since) {
            (true, _) => self.on_health(from, news(HealthNews::Leaving), daemons, now, out),
            (false, Some(since)) if since < load.at => {
                self.leaving.remove(report.endpoint.as_str());
                self.scheduler.endpoint_leaving(&report.endpoint, false);
                forward_health(from, &news(HealthNews::Returned), daemons, out);
                self.decide(now, out);
            }
            (false, _) => {}
        }
    }

    pub(crate) fn tick(&mut self, daemons: &BTreeSet<VmName>, now: Instant, out: &mut Outbox) {
        self.decide(now, out);
        if let Some(watches) = &mut self.watches {
            watches.assign(&self.scheduler, daemons, now, out);
        }
        self.permits.tick(daemons, &mut self.scheduler.throttle, now, out);
        self.broadcast_overloaded(daemons, now, out);
        self.scheduler.backoffs.expire(now);
        self.report_refusals(now, out);
        if self.next_load_report <= now {
            self.next_load_report = now.after(LOAD_REPORT_INTERVAL);
            out.push(Output::Load(self.scheduler.load_snapshot(now)));
        }
    }

    /// Hands out the rejections that are due for the log.
    fn report_refusals(&mut self, now: Instant, out: &mut Outbox) {
        let (refusals, omitted) = self.scheduler.load_view.take_refusals(now);
        for refusal in refusals {
            let Some(entry) = self.daemon_names.get(&refusal.ticket.entry) else { continue };
            out.push(Output::Refused { entry: entry.clone(), refusal: Box::new(refusal) });
        }
        if 0 < omitted {
            out.push(Output::RefusalsOmitted(omitted));
        }
    }

    /// Applies a rejection that a daemon reports.
    pub(crate) fn on_rejection(&mut self, from: &VmName, rejected: Rejected, now: Instant) {
        let rejection = rejected.decode();
        let daemon = self.daemon_number(from);
        self.scheduler.on_rejection(daemon, &rejection, now);
        let must_broadcast = self.scheduler.shares_backoffs()
            && self.scheduler.backoffs.take_pending_report(&rejection.endpoint, now);
        if must_broadcast {
            self.overloaded.add(&rejection.endpoint, now);
        }
    }

    /// Adds the times of return that a daemon passed on for an earlier leader.
    pub(crate) fn on_returns(&mut self, returns: Returns, now: Instant) {
        for promised in returns.returns.into_iter().filter_map(|promised| promised.decode(now)) {
            self.scheduler.returns.restore(promised, now);
        }
    }

    fn broadcast_overloaded(&mut self, daemons: &BTreeSet<VmName>, now: Instant, out: &mut Outbox) {
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

    /// Applies rate limits that a daemon reports.
    pub(crate) fn on_rate_limits(&mut self, news: LimitNews, now: Instant) {
        self.permits.on_rate_limits(news, &mut self.scheduler.throttle, now);
    }

    /// Handles a daemon's request for a permit.
    pub(crate) fn on_permit_query(
        &mut self,
        from: &VmName,
        query: PermitQuery,
        now: Instant,
        out: &mut Outbox,
    ) {
        self.permits.on_query(from, query, &mut self.scheduler.throttle, now, out);
    }

    /// The next few rate limits, in rotation, for a poll reply.
    pub(crate) fn next_rate_limits(&mut self, now: Instant) -> Vec<LimitWord> {
        self.permits.next_limits(&self.scheduler.throttle, now)
    }

    /// Applies the start times of the known runs of endpoints.
    pub(crate) fn update_runs(&mut self, started_at: impl Fn(&str) -> Option<u64>, now: Instant) {
        self.scheduler.update_runs(started_at, now);
    }

    /// The next few slow endpoints, in rotation, for a poll reply.
    pub(crate) fn next_slow_endpoints(&mut self, now: Instant) -> Vec<SlowEndpoint> {
        let slow = &mut self.slow;
        if slow.next_scan <= now {
            let encode = |(name, slowness): (Arc<str>, f64)| {
                let percent = (slowness * 100.0) as u32;
                SlowEndpoint { name: name.to_string(), percent }
            };
            slow.next_scan = now.after(SLOW_SCAN_INTERVAL);
            slow.found = self.scheduler.slow_endpoints().into_iter().map(encode).collect();
        }
        let count = slow.found.len();
        let batch = (0..SLOW_PER_POLL_REPLY.min(count))
            .map(|n| slow.found[(slow.next + n) % count].clone());
        let batch = batch.collect();
        slow.next = slow.next.wrapping_add(SLOW_PER_POLL_REPLY);
        batch
    }

    /// Sends the grants, rejections and relocations that the scheduler decides now.
    pub(crate) fn decide(&mut self, now: Instant, out: &mut Outbox) {
        if now < self.ready_at {
            return;
        }
        for Relocation { ticket, from, to } in self.scheduler.plan_relocations(now) {
            let Some(vm) = self.daemon_names.get(&ticket.entry) else { continue };
            let record = record_of(&self.scheduler, &to);
            let (from, to) = (from.to_string(), to.to_string());
            out.send(vm, Body::Move(Move { number: ticket.number, from, to, record }));
        }
        for action in self.scheduler.decide(now) {
            match action {
                Action::Start { ticket, endpoint, priority } => {
                    let Some(vm) = self.daemon_names.get(&ticket.entry) else { continue };
                    let record = record_of(&self.scheduler, &endpoint);
                    let (number, endpoint) = (ticket.number, endpoint.to_string());
                    out.send(vm, Body::Grant(Grant { number, endpoint, priority, record }));
                }
                Action::GiveUp { ticket, error } => {
                    let Some(vm) = self.daemon_names.get(&ticket.entry) else { continue };
                    out.send(vm, Body::GiveUp(give_up_message(ticket, error)));
                }
            }
        }
        self.report_refusals(now, out);
    }

    fn daemon_number(&mut self, vm: &VmName) -> u64 {
        if let Some(number) = self.daemon_numbers.get(vm) {
            return *number;
        }
        let number = self.daemon_names.keys().next_back().map_or(1, |last| last + 1);
        self.daemon_numbers.insert(vm.clone(), number);
        self.daemon_names.insert(number, vm.clone());
        number
    }
}

/// What a daemon needs to know of an engine that registered itself; `None` if the configuration lists
/// it.
fn record_of(scheduler: &Scheduler, name: &Arc<str>) -> Option<EndpointRecord> {
    let spec = scheduler.endpoint(name)?.spec();
    spec.is_registered.then(|| EndpointRecord {
        id: name.to_string(),
        service: spec.target.name().to_owned(),
        address: spec.address.to_string(),
        hall: spec.hall.clone(),
        slots: spec.slots,
        born: spec.started_at,
        software_version: spec
            .software_version
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        ..EndpointRecord::default()
    })
}

fn forward_health(from: &VmName, health: &Health, daemons: &BTreeSet<VmName>, out: &mut Outbox) {
    for vm in daemons.iter().filter(|vm| *vm != from) {
        out.send(vm, Body::Health(health.clone()));
    }
}

fn give_up_message(ticket: Ticket, error: RequestError) -> GiveUp {
    GiveUp {
        number: ticket.number,
        kind: error.kind.number(),
        retry_after_ms: error.retry_after().unwrap_or_default().as_millis() as u64,
        reserved_work: error.reserved_work,
        message: error.message,
    }
}
