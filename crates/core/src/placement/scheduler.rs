//! The scheduler: queue, admission and accounting of running streams.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use super::{
    Action, Request, Ticket,
    endpoint::{EndpointState, Share},
    evacuation::Evacuation,
    forecast::LengthForecast,
    handover::Handover,
    pace::{self, PaceMeter},
    policy::{Policy, Work},
    reading::reading_time,
    target::Target,
};
use crate::{
    config::EndpointTarget,
    error::{ErrorKind, RequestError},
    mechanism::{Disabled, Mechanism},
    units::Instant,
};

/// A request is turned away at once when its expected wait is this many times too long; the
/// expectation is too rough to turn away on less.
const HOPELESS: u32 = 2;

/// Bounds of a scheduler.
#[derive(Debug, Clone, Copy)]
pub struct SchedulerLimits {
    /// Most requests waiting for one target.
    pub max_waiting: usize,
    /// Time after which a waiting request has gained a whole tier.
    pub ageing: Duration,
    /// Mechanisms that are switched off.
    pub disabled: Disabled,
}

impl Default for SchedulerLimits {
    fn default() -> SchedulerLimits {
        SchedulerLimits {
            max_waiting: 10_000,
            ageing: Duration::from_secs(20),
            disabled: Disabled::default(),
        }
    }
}

/// A request that was granted an endpoint and has not finished.
#[derive(Debug)]
pub(super) struct Placed {
    pub(super) req: Request,
    pub(super) endpoint: Arc<str>,
    share: Share,
    pub(super) tokens: u64,
    meter: PaceMeter,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Instant,
    ticket: Ticket,
}

/// Requests of one workspace.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    running: u64,
    waiting: u64,
}

/// A request and the endpoint chosen for it.
struct Chosen {
    rank: u64,
    workspace: Arc<str>,
    ticket: Ticket,
    endpoint: Arc<str>,
}

#[derive(Debug)]
struct Queued {
    target: EndpointTarget,
    rank: u64,
    workspace: Arc<str>,
    expiry: Expiry,
}

/// Queue, endpoints and running streams of the targets of one scheduler.
pub struct Scheduler {
    pub(super) limits: SchedulerLimits,
    pub(super) policy: Box<dyn Policy>,
    pub(super) forecast: LengthForecast,
    pub(super) targets: HashMap<EndpointTarget, Target>,
    pub(super) endpoints: HashMap<Arc<str>, EndpointState>,
    queued: HashMap<Ticket, Queued>,
    expiries: BTreeSet<Expiry>,
    pub(super) placed: HashMap<Ticket, Placed>,
    pub(super) evacuation: Evacuation,
    pub(super) handover: Handover,
    counts: HashMap<Arc<str>, Count>,
    /// Number of samples of endpoints taken.
    pub(super) samples: usize,
}

impl Scheduler {
    /// A scheduler without endpoints.
    pub fn new(limits: SchedulerLimits, policy: Box<dyn Policy>) -> Scheduler {
        Scheduler {
            limits,
            policy,
            forecast: LengthForecast::default(),
            targets: HashMap::new(),
            endpoints: HashMap::new(),
            queued: HashMap::new(),
            expiries: BTreeSet::new(),
            placed: HashMap::new(),
            evacuation: Evacuation::default(),
            handover: Handover::default(),
            counts: HashMap::new(),
            samples: 0,
        }
    }

    /// The endpoint of this name.
    pub fn endpoint(&self, name: &str) -> Option<&EndpointState> {
        self.endpoints.get(name)
    }

    /// All endpoints by name.
    pub fn endpoints(&self) -> BTreeMap<&str, &EndpointState> {
        self.endpoints.iter().map(|(name, state)| (&**name, state)).collect()
    }

    /// Requests waiting for any target.
    pub fn waiting(&self) -> usize {
        self.queued.len()
    }

    /// Requests granted and not finished.
    pub fn running(&self) -> usize {
        self.placed.len()
    }

    /// Takes a new request; it waits until [`Scheduler::decide`] places it. One that is known
    /// is not taken again: a daemon tells what waits whenever it finds the scheduler anew.
    pub fn arrive(&mut self, req: Request, now: Instant) -> Result<(), RequestError> {
        if self.queued.contains_key(&req.ticket) || self.placed.contains_key(&req.ticket) {
            return Ok(());
        }
        let waiting = self.counts.get(&req.workspace).map_or(0, |count| count.waiting);
        if req.max_waiting <= waiting {
            let message = "the workspace has as many requests waiting as it may";
            return Err(RequestError::new(ErrorKind::WorkspaceLimit, message));
        }
        let Some(target) = self.targets.get_mut(&req.target) else {
            return Err(no_endpoint(&req.target));
        };
        let live = target.endpoints.iter().any(|name| self.endpoints[name].takes_work(now));
        if !live {
            return Err(no_endpoint(&req.target));
        }
        let wait = target.expected_wait(req.rank);
        let hopeless =
            self.limits.disabled.allows(Mechanism::EarlyRefusal) && req.max_wait * HOPELESS < wait;
        if self.limits.max_waiting <= target.queue.len() || hopeless {
            return Err(overloaded("the queue is too long for this kind of request", wait));
        }
        let expiry = Expiry { at: now.after(req.max_wait), ticket: req.ticket };
        self.expiries.insert(expiry);
        let queued = Queued {
            target: req.target.clone(),
            rank: req.rank,
            workspace: req.workspace.clone(),
            expiry,
        };
        self.counts.entry(req.workspace.clone()).or_default().waiting += 1;
        self.queued.insert(req.ticket, queued);
        target.queue.push(req, now);
        Ok(())
    }

    /// Takes over a request that already runs, as reported by its entry daemon. Its prompt has been
    /// read, or soon will be: nothing is held up by it any more.
    pub fn adopt(&mut self, req: Request, endpoint: &str, tokens: u64, now: Instant) {
        if self.placed.contains_key(&req.ticket) || !self.endpoints.contains_key(endpoint) {
            return;
        }
        let ticket = req.ticket;
        self.run_at(req, &endpoint.into(), now);
        self.count_tokens(ticket, tokens, now);
    }

    /// The chance that an answer to this request would end within this time.
    pub(crate) fn chance_to_end(&self, req: &Request, within: Duration, now: Instant) -> f64 {
        let making = within.saturating_sub(reading_time(req.prompt_tokens)).as_secs_f64();
        let paces = self.endpoints.values().filter_map(|endpoint| endpoint.pace.per_token(now));
        let slowest = paces.max_by(f64::total_cmp).unwrap_or(pace::USUAL);
        let tokens = (making / slowest) as u64;
        if req.max_tokens <= tokens {
            return 1.0;
        }
        1.0 - self.forecast.survival(&req.workspace, &req.kind).chance_beyond(0, tokens)
    }

    /// Decides all that can be decided now.
    pub fn decide(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = self.expire(now);
        let targets: Vec<EndpointTarget> = self
            .targets
            .iter()
            .filter(|(_, target)| 0 < target.queue.len())
            .map(|(name, _)| name.clone())
            .collect();
        for target in targets {
            while let Some(action) = self.start_next(&target, now) {
                actions.push(action);
            }
        }
        actions
    }

    /// When [`Scheduler::decide`] must be called even without other input.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expiries.first().map(|expiry| expiry.at)
    }

    /// When [`Scheduler::decide`] and [`Scheduler::evacuate`] must be called even without
    /// other input.
    pub fn next_decision(&self) -> Option<Instant> {
        self.next_expiry().into_iter().chain(self.next_evacuation()).min()
    }

    /// Notes the number of tokens that a running stream has produced.
    pub fn progress(&mut self, ticket: Ticket, tokens: u64, now: Instant) {
        let Some(placed) = self.placed.get(&ticket) else { return };
        if placed.tokens == 0 && 0 < tokens && self.limits.disabled.allows(Mechanism::Handover) {
            self.handover.begun(ticket, now);
        }
        self.count_tokens(ticket, tokens, now);
    }

    fn count_tokens(&mut self, ticket: Ticket, tokens: u64, now: Instant) {
        let Some(placed) = self.placed.get_mut(&ticket) else { return };
        if tokens <= placed.tokens {
            return;
        }
        let req = &placed.req;
        let survival = self.forecast.survival(&req.workspace, &req.kind);
        let mut share = Share::forecast(survival, req.prompt_tokens, tokens, req.max_tokens);
        share.worth = placed.share.worth;
        if let Some(endpoint) = self.endpoints.get_mut(&placed.endpoint) {
            endpoint.update(&placed.share, &share);
            placed.meter.measure(tokens, now, &mut endpoint.pace);
        }
        if let Some(target) = self.targets.get_mut(&req.target) {
            target.queue.charge(req.rank, &req.workspace, req.share, tokens - placed.tokens);
        }
        placed.share = share;
        placed.tokens = tokens;
    }

    /// Notes that a running request ended, whole or not.
    pub fn finish(&mut self, ticket: Ticket, tokens: u64, whole: bool, now: Instant) {
        self.progress(ticket, tokens, now);
        let Some(placed) = self.placed.remove(&ticket) else { return };
        self.evacuation.forget(ticket);
        self.count_running(&placed.req, -1);
        if let Some(endpoint) = self.endpoints.get_mut(&placed.endpoint) {
            endpoint.release(&placed.share, now);
            if whole {
                endpoint.on_success();
            }
        }
        if whole {
            self.forecast.learn(&placed.req.workspace, &placed.req.kind, tokens);
        }
    }

    /// Forgets a waiting or running request whose caller has left.
    pub fn cancel(&mut self, ticket: Ticket, now: Instant) {
        if let Some(queued) = self.queued.remove(&ticket) {
            self.no_longer_waits(&queued);
            if let Some(target) = self.targets.get_mut(&queued.target) {
                target.queue.remove(queued.rank, &queued.workspace, ticket);
            }
        }
        self.finish(ticket, 0, false, now);
    }

    /// Forgets every request of an entry daemon that is gone.
    pub fn forget_entry(&mut self, entry: u64, now: Instant) {
        let queued = self.queued.keys().filter(|t| t.entry == entry);
        let placed = self.placed.keys().filter(|t| t.entry == entry);
        let tickets: Vec<Ticket> = queued.chain(placed).copied().collect();
        for ticket in tickets {
            self.cancel(ticket, now);
        }
    }

    fn expire(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(expiry) = self.expiries.first().copied() {
            if now < expiry.at {
                break;
            }
            let wait = self.queued.get(&expiry.ticket).map(|q| {
                let target = self.targets.get(&q.target);
                target.map_or(Duration::ZERO, |target| target.expected_wait(q.rank))
            });
            self.cancel(expiry.ticket, now);
            let error = overloaded("no endpoint became free in time", wait.unwrap_or_default());
            actions.push(Action::GiveUp { ticket: expiry.ticket, error });
        }
        actions
    }

    fn start_next(&mut self, target: &EndpointTarget, now: Instant) -> Option<Action> {
        let Chosen { rank, workspace, ticket, endpoint } = self.choose_next(target, now)?;
        let state = self.targets.get_mut(target)?;
        state.queue.chosen(rank, &workspace);
        let waiting = state.queue.remove(rank, &workspace, ticket)?;
        state.note_start(now);
        if let Some(queued) = self.queued.remove(&ticket) {
            self.no_longer_waits(&queued);
        }
        self.place(waiting.req, &endpoint, now);
        Some(Action::Start { ticket, endpoint, priority: rank })
    }

    /// The next request that can be placed. While the head of a rank waits for room, only
    /// better ranks may go before it.
    fn choose_next(&mut self, target: &EndpointTarget, now: Instant) -> Option<Chosen> {
        let state = self.targets.get(target)?;
        let mut blocked = u64::MAX;
        let ages = self.limits.disabled.allows(Mechanism::Ageing);
        let ageing = if ages { self.limits.ageing } else { Duration::MAX };
        for waiting in state.queue.heads(now, ageing) {
            let req = &waiting.req;
            if blocked <= req.rank {
                continue;
            }
            let work = Work::new(req, self.forecast.survival(&req.workspace, &req.kind));
            self.samples = self.samples.wrapping_add(1);
            let mut open: Vec<&EndpointState> = state
                .sample(self.samples, req.prefix)
                .filter_map(|name| self.endpoints.get(name))
                .filter(|endpoint| endpoint.takes_work(now))
                .collect();
            if let (Some(avoid), true) = (&req.avoid, 1 < open.len()) {
                open.retain(|endpoint| endpoint.name != *avoid);
            }
            if let Some(at) = self.policy.choose(&work, &open, now) {
                return Some(Chosen {
                    rank: req.rank,
                    workspace: req.workspace.clone(),
                    ticket: req.ticket,
                    endpoint: open[at].name.clone(),
                });
            }
            blocked = req.rank;
        }
        None
    }

    /// Accounts for a running request at another endpoint from now on.
    pub(super) fn relocate(&mut self, ticket: Ticket, to: &Arc<str>, now: Instant) {
        let Some(placed) = self.placed.get_mut(&ticket) else { return };
        if placed.endpoint == *to {
            return;
        }
        if let Some(from) = self.endpoints.get_mut(&placed.endpoint) {
            from.release(&placed.share, now);
        }
        placed.endpoint = to.clone();
        placed.meter = PaceMeter::default();
        if let Some(state) = self.endpoints.get_mut(to) {
            state.grant(&placed.share, now);
        }
    }

    /// What a running request still needs of an endpoint that goes on with it.
    pub(super) fn rest_of(&self, placed: &Placed) -> Work {
        let req = &placed.req;
        let survival = self.forecast.survival(&req.workspace, &req.kind);
        Work {
            share: placed.share,
            prompt_tokens: 0,
            prefix: req.prefix,
            output: survival.expected_beyond(placed.tokens, req.max_tokens),
            first_within: Duration::MAX,
        }
    }

    fn no_longer_waits(&mut self, queued: &Queued) {
        self.expiries.remove(&queued.expiry);
        if let Some(count) = self.counts.get_mut(&queued.workspace) {
            count.waiting -= 1;
        }
        self.forget_idle(&queued.workspace);
    }

    /// Counts a request as running or no longer so, and holds its workspace back at the limit.
    pub(super) fn count_running(&mut self, req: &Request, change: i64) {
        let count = self.counts.entry(req.workspace.clone()).or_default();
        count.running = count.running.saturating_add_signed(change);
        let hold = req.max_running <= count.running;
        for target in self.targets.values_mut() {
            target.queue.hold(&req.workspace, hold);
        }
        self.forget_idle(&req.workspace);
    }

    fn forget_idle(&mut self, workspace: &Arc<str>) {
        let idle = |count: &Count| count.running == 0 && count.waiting == 0;
        if self.counts.get(workspace).is_some_and(idle) {
            self.counts.remove(workspace);
        }
    }

    fn place(&mut self, req: Request, endpoint: &Arc<str>, now: Instant) {
        if let Some(target) = self.targets.get_mut(&req.target) {
            target.note_prefix(req.prefix, endpoint);
        }
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.reading.note(req.prompt_tokens, now);
            state.note_prefix(req.prefix, now);
        }
        self.run_at(req, endpoint, now);
    }

    /// Accounts for a request that runs at an endpoint from now on.
    fn run_at(&mut self, req: Request, endpoint: &Arc<str>, now: Instant) {
        let Some(state) = self.endpoints.get_mut(endpoint) else { return };
        let share = Work::new(&req, self.forecast.survival(&req.workspace, &req.kind)).share;
        state.grant(&share, now);
        self.count_running(&req, 1);
        let meter = PaceMeter::default();
        let placed = Placed { endpoint: endpoint.clone(), share, tokens: 0, meter, req };
        self.placed.insert(placed.req.ticket, placed);
    }
}

fn no_endpoint(target: &EndpointTarget) -> RequestError {
    let message = format!("no live endpoint serves {}", target.name());
    RequestError::new(ErrorKind::NoEndpoint, message)
}

fn overloaded(message: &str, wait: Duration) -> RequestError {
    const LEAST: Duration = Duration::from_secs(1);
    let mut error = RequestError::new(ErrorKind::Overloaded, message);
    error.retry_after = Some(wait.max(LEAST));
    error
}
