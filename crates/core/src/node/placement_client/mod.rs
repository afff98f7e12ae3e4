//! Places this daemon's requests through the leader's scheduler, or with a local scheduler while no
//! leader answers.
//!
//! The local scheduler knows only this daemon's requests. It samples two endpoints per request; the
//! caller then compares their current load (see [`crate::placement::sort_by_cost`]).

mod backoff;
mod local;
mod returns;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{
    CallId, NodeOptions, NodeReply, Outbox, Output, Placement, VmName, admit,
    control_client::RemoteScheduler,
    engines::{EngineChange, Engines},
    load_report,
};
use crate::{
    backoff::BackoffTable,
    error::{ErrorKind, RequestError},
    placement::{Request, Scheduler, SenderRole, Ticket, max_wait_of_due},
    registry::Registry,
    state::HallsOut,
    throttle::Throttle,
    units::Instant,
    wire::{
        Admit, Body, GiveUp, Grant, Health, HealthNews, Move, Moved, Progress, Report,
        SlowEndpoint, Tokens,
    },
};

/// Interval between reports of token counts to the scheduler.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time past a request's maximum wait after which this daemon fails it if the scheduler has not
/// answered.
const GIVE_UP_GRACE: Duration = Duration::from_millis(500);

/// A request in a scheduler's queue.
#[derive(Debug)]
struct Waiting {
    req: Request,
    /// When its maximum wait is over, with grace.
    deadline: Instant,
    /// When this daemon fails it if the leader's scheduler has not answered. Later than `deadline`,
    /// since the scheduler lets a request wait longer that comes back when it was told to.
    fail_at: Instant,
    /// Whether it waits at the leader's scheduler.
    remote: bool,
}

impl Waiting {
    /// Message that requests a place from the leader's scheduler.
    fn admit_message(&self, call: CallId, now: Instant) -> Admit {
        admit::encode(call, &self.req, self.deadline.since(now).saturating_sub(GIVE_UP_GRACE))
    }
}

/// A request that runs on an endpoint.
#[derive(Debug)]
struct Running {
    req: Request,
    endpoint: Arc<str>,
    tokens: u64,
}

impl Running {
    /// Message that reports this request as already running.
    fn admit_message(&self, call: CallId) -> Admit {
        let mut admit = admit::encode(call, &self.req, Duration::ZERO);
        admit.running_at = Some(self.endpoint.to_string());
        admit.tokens = self.tokens;
        admit
    }
}

/// Tracks this daemon's requests that wait for a place or have one.
pub(crate) struct PlacementClient {
    local: Scheduler,
    /// Whether this daemon has requests to place, so that the local scheduler needs the engines.
    takes_callers: bool,
    /// Whether this daemon is late itself.
    is_late: bool,
    scheduler: Option<VmName>,
    /// The latest scheduler. While it is silent, it is still told which requests end: it counts them
    /// until then, and does not learn of them otherwise when it answers again.
    last_scheduler: Option<VmName>,
    waiting: BTreeMap<CallId, Waiting>,
    running: BTreeMap<CallId, Running>,
    /// Running requests with token counts that the scheduler has not been sent.
    unreported: BTreeSet<CallId>,
    next_report: Instant,
    /// Endpoints whose backoff was published and whose expiry was not published yet.
    backing_off: BTreeSet<Arc<str>>,
    next_backoff_expiry: Option<Instant>,
}

impl PlacementClient {
    /// Creates a client without requests or endpoints. The seed must differ between daemons.
    pub(crate) fn new(options: &NodeOptions) -> PlacementClient {
        PlacementClient {
            local: Scheduler::local(options.disabled, options.seed),
            takes_callers: options.takes_callers,
            is_late: false,
            scheduler: None,
            last_scheduler: None,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            unreported: BTreeSet::new(),
            next_report: Instant::default(),
            backing_off: BTreeSet::new(),
            next_backoff_expiry: None,
        }
    }

    /// The scheduler that is used while no leader answers.
    pub(crate) fn local(&self) -> &Scheduler {
        &self.local
    }

    /// The rate limits of endpoints known to this daemon.
    pub(crate) fn throttle_mut(&mut self) -> &mut Throttle {
        &mut self.local.throttle
    }

    /// Backoff state of endpoints known to this daemon.
    pub(crate) fn backoffs_mut(&mut self) -> &mut BackoffTable {
        &mut self.local.backoffs
    }

    /// Replaces the engines that the local scheduler may use.
    pub(crate) fn configure(&mut self, engines: &Engines, now: Instant) {
        if !self.takes_callers {
            return;
        }
        self.local.configure(&engines.all());
        self.local.set_halls_out(&engines.halls_out);
        for (name, until) in &engines.cold {
            self.local.endpoint_cold(name, *until, now);
        }
        for name in engines.registered.keys() {
            self.local.endpoint_leaving(name, engines.draining.contains(name.as_str()));
        }
    }

    /// Applies changes of registered engines.
    pub(crate) fn update_engines(&mut self, changes: &[EngineChange], now: Instant) {
        if !self.takes_callers {
            return;
        }
        changes.iter().for_each(|change| change.apply(&mut self.local, now));
    }

    /// Applies the data halls that are out of service.
    pub(crate) fn set_halls_out(&mut self, halls: &HallsOut) {
        self.local.set_halls_out(halls);
    }

    /// Endpoints that registered themselves and run requests of this daemon, with the start of the run.
    pub(crate) fn endpoints_in_use(&self, registry: &Registry) -> Vec<(Arc<str>, u64)> {
        let running = self.running.values().map(|running| &running.endpoint);
        running.filter_map(|id| Some((id.clone(), registry.started_at(id)?))).collect()
    }

    /// Starts a relocation, unless the request has left the endpoint that the scheduler assumes.
    pub(crate) fn on_move(&self, order: &Move, out: &mut Outbox) {
        let call = CallId(order.number);
        let runs_there = self.running.get(&call).is_some_and(|r| *r.endpoint == *order.from);
        if runs_there {
            let (from, to) = (order.from.as_str().into(), order.to.as_str().into());
            out.push(Output::Move { call, from, to });
        }
    }

    /// Applies and reports the result of a relocation.
    pub(crate) fn on_relocated(
        &mut self,
        call: CallId,
        at: &Arc<str>,
        done: bool,
        now: Instant,
        out: &mut Outbox,
    ) {
        let Some(running) = self.running.get_mut(&call) else { return };
        running.endpoint = at.clone();
        self.local.on_relocated(ticket(call), at, done, now);
        if done && self.scheduler.is_none() {
            // It moved to the other sampled endpoint, whose rate limit must count it.
            self.local.throttle.on_sent(at, now);
        }
        if let Some(scheduler) = &self.scheduler {
            let moved = Moved { number: call.0, at: at.to_string(), done };
            out.send(scheduler, Body::Moved(moved));
        }
        self.schedule_locally(now, out);
    }

    pub(crate) fn next_tick(&self) -> Instant {
        let deadlines = self.waiting.values().map(|w| w.fail_at);
        let local = self.local.next_decision().filter(|_| self.scheduler.is_none());
        deadlines
            .chain([self.next_report])
            .chain(local)
            .chain(self.next_backoff_expiry)
            .min()
            .unwrap_or(self.next_report)
    }

    pub(crate) fn place(
        &mut self,
        call: CallId,
        mut req: Request,
        scheduler: Option<&RemoteScheduler>,
        now: Instant,
        out: &mut Outbox,
    ) {
        req.ticket = ticket(call);
        let deadline = now.after(req.max_wait + GIVE_UP_GRACE);
        let remote = scheduler.is_some();
        match scheduler {
            Some(scheduler) => {
                let fail_at = fail_time(&req, now);
                let waiting = Waiting { req, deadline, fail_at, remote };
                out.send(&scheduler.vm, Body::Admit(waiting.admit_message(call, now)));
                self.waiting.insert(call, waiting);
            }
            None => self.place_locally(call, req, deadline, now, out),
        }
    }

    pub(crate) fn on_grant(&mut self, from: &VmName, grant: Grant, now: Instant, out: &mut Outbox) {
        let call = CallId(grant.number);
        let Some(waiting) = self.waiting.remove(&call) else {
            // The caller has disconnected, or the local scheduler has placed it meanwhile.
            if !self.running.contains_key(&call) {
                out.send(from, Body::Progress(self.end_message(call)));
            }
            return;
        };
        let endpoint: Arc<str> = grant.endpoint.into();
        self.local.cancel(ticket(call), now);
        self.local.adopt(waiting.req.clone(), &endpoint, 0, now);
        let placement = Placement::granted(endpoint.clone(), grant.priority);
        self.running.insert(call, Running { req: waiting.req, endpoint, tokens: 0 });
        out.reply(call, NodeReply::Placed(Ok(placement)));
    }

    pub(crate) fn on_give_up(&mut self, give_up: GiveUp, now: Instant, out: &mut Outbox) {
        let call = CallId(give_up.number);
        let Some(waiting) = self.waiting.remove(&call) else { return };
        self.remember_return(&waiting.req, &give_up, now);
        let kind = ErrorKind::from_number(give_up.kind).unwrap_or(ErrorKind::Overloaded);
        let mut error = RequestError::new(kind, give_up.message);
        error.retry_after = Some(Duration::from_millis(give_up.retry_after_ms));
        out.reply(call, NodeReply::Placed(Err(error)));
    }

    /// Records a token count. The first is reported at once, since the prefill is done and the
    /// generation can be relocated.
    pub(crate) fn on_progress(
        &mut self,
        call: CallId,
        tokens: u64,
        now: Instant,
        out: &mut Outbox,
    ) {
        let Some(running) = self.running.get_mut(&call) else { return };
        let first = running.tokens == 0;
        running.tokens = tokens;
        self.local.progress(ticket(call), tokens, now);
        if self.local.has_isolated() {
            self.schedule_locally(now, out);
        }
        match &self.scheduler {
            Some(scheduler) if first => {
                let running = vec![Tokens { number: call.0, tokens }];
                let progress = Progress { running, late: self.is_late, ..Progress::default() };
                out.send(scheduler, Body::Progress(progress));
            }
            _ => {
                self.unreported.insert(call);
            }
        }
    }

    /// Records whether this daemon is late itself.
    pub(crate) fn set_late(&mut self, is_late: bool) {
        self.is_late = is_late;
        self.local.set_late(ticket(CallId(0)).entry, is_late);
    }

    pub(crate) fn on_finished(
        &mut self,
        call: CallId,
        tokens: u64,
        complete: bool,
        now: Instant,
        out: &mut Outbox,
    ) {
        self.running.remove(&call);
        self.unreported.remove(&call);
        self.local.finish(ticket(call), tokens, complete, now);
        if let Some(scheduler) = &self.last_scheduler {
            let tokens = Tokens { number: call.0, tokens };
            let progress = if complete {
                Progress { finished: vec![tokens], late: self.is_late, ..Progress::default() }
            } else {
                Progress { ended: vec![tokens], late: self.is_late, ..Progress::default() }
            };
            out.send(scheduler, Body::Progress(progress));
        }
        self.schedule_locally(now, out);
    }

    pub(crate) fn cancel(&mut self, call: CallId, now: Instant, out: &mut Outbox) {
        if let Some(waiting) = self.waiting.remove(&call) {
            self.local.cancel(ticket(call), now);
            if let (true, Some(scheduler)) = (waiting.remote, &self.scheduler) {
                out.send(scheduler, Body::Progress(self.end_message(call)));
            }
            return;
        }
        self.on_finished(call, 0, false, now, out);
    }

    /// Applies a health event; one that this daemon has observed is forwarded to the scheduler.
    pub(crate) fn on_health(
        &mut self,
        endpoint: &Arc<str>,
        news: HealthNews,
        now: Instant,
        observed_here: bool,
        out: &mut Outbox,
    ) {
        match news {
            HealthNews::Failed => self.local.endpoint_failed(endpoint, now),
            HealthNews::Leaving => self.local.endpoint_leaving(endpoint, true),
            HealthNews::Returned => self.local.endpoint_leaving(endpoint, false),
        }
        if let (true, Some(scheduler)) = (observed_here, &self.scheduler) {
            let health = Health { endpoint: endpoint.to_string(), news: news.into() };
            out.send(scheduler, Body::Health(health));
        }
    }

    /// Sets the number of daemons that share rate limits and the capacity of cold endpoints.
    pub(crate) fn set_daemons(&mut self, daemons: u64, now: Instant) {
        self.local.set_sender_role(SenderRole::one_of(daemons), now);
    }

    /// Applies the leader's list of slow endpoints.
    pub(crate) fn on_slow_endpoints(&mut self, slow: &[SlowEndpoint], now: Instant) {
        for SlowEndpoint { name, percent } in slow {
            self.local.endpoint_slow(name, f64::from(*percent) / 100.0, now);
        }
    }

    pub(crate) fn on_load_report(&mut self, report: Report, now: Instant, out: &mut Outbox) {
        self.local.endpoint_leaving(&report.endpoint, report.leaving);
        self.local.endpoint_report(&report.endpoint, load_report(&report, now));
        if let Some(scheduler) = &self.scheduler {
            out.send(scheduler, Body::Report(report));
        }
    }

    pub(crate) fn tick(
        &mut self,
        scheduler: Option<&RemoteScheduler>,
        now: Instant,
        out: &mut Outbox,
    ) {
        match (scheduler, &self.scheduler) {
            (None, _) => {
                self.scheduler = None;
                self.reclaim_waiting(now, out);
            }
            // The scheduler answers again.
            (Some(_), None) => self.on_scheduler_change(scheduler, now, out),
            (Some(_), Some(_)) => {}
        }
        self.fail_overdue(now, out);
        self.expire_backoffs(now, out);
        self.schedule_locally(now, out);
        if self.next_report <= now {
            self.next_report = now.after(REPORT_INTERVAL);
            self.local.backoffs.expire(now);
            self.report_progress(out);
        }
    }

    /// Sends a new scheduler the running and waiting requests of this daemon.
    pub(crate) fn on_scheduler_change(
        &mut self,
        scheduler: Option<&RemoteScheduler>,
        now: Instant,
        out: &mut Outbox,
    ) {
        self.scheduler = scheduler.map(|s| s.vm.clone());
        let Some(scheduler) = &self.scheduler else { return };
        self.last_scheduler = Some(scheduler.clone());
        self.send_backoffs(scheduler, now, out);
        self.send_returns(scheduler, now, out);
        for (call, running) in &self.running {
            out.send(scheduler, Body::Admit(running.admit_message(*call)));
        }
        for (call, waiting) in self.waiting.iter().filter(|(_, w)| w.remote) {
            out.send(scheduler, Body::Admit(waiting.admit_message(*call, now)));
        }
    }

    fn fail_overdue(&mut self, now: Instant, out: &mut Outbox) {
        let overdue: Vec<CallId> = self
            .waiting
            .iter()
            .filter(|(_, w)| w.remote && w.fail_at <= now)
            .map(|(call, _)| *call)
            .collect();
        for call in overdue {
            self.cancel(call, now, out);
            let message = "no endpoint became free in time";
            let error = RequestError::new(ErrorKind::Overloaded, message);
            out.reply(call, NodeReply::Placed(Err(error)));
        }
    }

    /// Tells that a request is no longer wanted.
    fn end_message(&self, call: CallId) -> Progress {
        let ended = vec![Tokens { number: call.0, tokens: 0 }];
        Progress { ended, late: self.is_late, ..Progress::default() }
    }

    fn report_progress(&mut self, out: &mut Outbox) {
        let unreported = std::mem::take(&mut self.unreported);
        let Some(scheduler) = &self.scheduler else { return };
        let tokens = |call: &CallId| {
            let running = self.running.get(call)?;
            Some(Tokens { number: call.0, tokens: running.tokens })
        };
        let running: Vec<Tokens> = unreported.iter().filter_map(tokens).collect();
        if !running.is_empty() {
            let progress = Progress { running, late: self.is_late, ..Progress::default() };
            out.send(scheduler, Body::Progress(progress));
        }
    }
}

/// When this daemon fails a request that the leader's scheduler has not answered.
fn fail_time(req: &Request, now: Instant) -> Instant {
    let max_wait = if req.digest.is_some() { max_wait_of_due(req) } else { req.max_wait };
    now.after(max_wait + GIVE_UP_GRACE)
}

fn ticket(call: CallId) -> Ticket {
    Ticket { entry: 0, number: call.0 }
}
