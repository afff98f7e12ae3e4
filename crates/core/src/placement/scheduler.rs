//! The scheduler: admission, queueing and endpoint selection.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use super::{
    Action, Request, SampledEndpoint, SenderRole, Ticket,
    backoff::{AdmissionGroups, HeldRequest},
    continuation::ContinuationQueue,
    endpoint::{EndpointState, MemoryDemand},
    evacuation::MoveTracker,
    expiry::request_work,
    forecast::LengthForecast,
    handover::HandoverQueue,
    isolation::IsolatedRequests,
    load_view::{LoadSnapshot, LoadView},
    policy::{Demand, ForecastPolicy, Policy, PowerOfTwoChoices},
    returns::ReturnSchedule,
    target::TargetState,
    token_latency::TokenLatencyMeter,
};
use crate::{
    backoff::{BackoffTable, RetrySpreader},
    config::EndpointTarget,
    mechanism::{Disabled, Mechanism},
    state::HallsOut,
    throttle::Throttle,
    units::Instant,
};

/// Limits of a scheduler.
#[derive(Debug, Clone, Copy)]
pub struct SchedulerLimits {
    /// Maximum number of queued requests per target.
    pub max_waiting: usize,
    /// Queueing time after which a request gains one tier of priority.
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
pub(super) struct PlacedRequest {
    pub(super) req: Request,
    pub(super) endpoint: Arc<str>,
    pub(super) memory: MemoryDemand,
    pub(super) tokens: u64,
    pub(super) meter: TokenLatencyMeter,
    /// Time of placement on the current endpoint.
    pub(super) at: Instant,
    /// Time of the start on its first endpoint; `None` if this scheduler did not start it.
    pub(super) started: Option<Instant>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Expiry {
    pub(super) at: Instant,
    pub(super) ticket: Ticket,
}

/// Request counts of one workspace.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct WorkspaceCounts {
    pub(super) running: u64,
    pub(super) waiting: u64,
}

/// Next decision for a queued request.
enum Step {
    /// Start it.
    Start(Selection),
    /// Hold it until this time, because every endpoint has asked its daemon to back off.
    Hold(Ticket, Instant),
}

/// A queued request and its selected endpoint.
struct Selection {
    rank: u64,
    workspace: Arc<str>,
    ticket: Ticket,
    endpoint: Arc<str>,
}

#[derive(Debug)]
pub(super) struct QueuePosition {
    pub(super) target: EndpointTarget,
    pub(super) rank: u64,
    pub(super) workspace: Arc<str>,
    pub(super) expiry: Expiry,
}

/// Schedules the requests of all its targets.
pub struct Scheduler {
    pub(super) limits: SchedulerLimits,
    pub(super) policy: Box<dyn Policy>,
    pub(super) forecast: LengthForecast,
    pub(super) targets: HashMap<EndpointTarget, TargetState>,
    pub(super) endpoints: HashMap<Arc<str>, EndpointState>,
    pub(super) queued: HashMap<Ticket, QueuePosition>,
    pub(super) expiries: BTreeSet<Expiry>,
    pub(super) placed: HashMap<Ticket, PlacedRequest>,
    pub(super) moves: MoveTracker,
    pub(super) handover: HandoverQueue,
    /// Entries that are late themselves.
    pub(super) late_entries: HashSet<u64>,
    pub(super) isolated: IsolatedRequests,
    pub(super) continuations: ContinuationQueue,
    pub(super) counts: HashMap<Arc<str>, WorkspaceCounts>,
    /// Data halls that are out of service.
    pub(super) halls_out: HallsOut,
    /// Endpoints that are cold or recently were; a small subset, so that lookups stay cheap.
    pub(super) cold: BTreeSet<Arc<str>>,
    /// Determines this scheduler's part of cold-start and rate limits shared with other senders.
    pub(super) sender_role: SenderRole,
    /// Rate limits reported by endpoints, including endpoints that are not placed by this scheduler.
    pub(crate) throttle: Throttle,
    /// Endpoints that recently rejected requests, and the daemons that they asked to back off.
    pub(crate) backoffs: BackoffTable,
    /// Requests held until the back-off of their daemon ends.
    pub(super) held: Vec<HeldRequest>,
    pub(super) retry_spreader: RetrySpreader,
    /// When rejected requests are to come back.
    pub(crate) returns: ReturnSchedule,
    pub(crate) load_view: LoadView,
    /// Seed of a daemon-local scheduler; `None` for the central scheduler.
    pub(super) local_seed: Option<u64>,
    /// Time of the last call to [`Scheduler::decide`].
    pub(super) last_decision: Instant,
    /// Offset of the next endpoint sample.
    pub(super) sample_offset: usize,
}

impl Scheduler {
    /// Creates a scheduler without endpoints.
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
            moves: MoveTracker::default(),
            handover: HandoverQueue::default(),
            late_entries: HashSet::new(),
            isolated: IsolatedRequests::default(),
            continuations: ContinuationQueue::default(),
            counts: HashMap::new(),
            halls_out: HallsOut::default(),
            cold: BTreeSet::new(),
            sender_role: SenderRole::Scheduler,
            throttle: Throttle::new(SenderRole::Scheduler, 0),
            backoffs: BackoffTable::default(),
            held: Vec::new(),
            retry_spreader: RetrySpreader::default(),
            returns: ReturnSchedule::new(limits.disabled),
            load_view: LoadView::new(true),
            local_seed: None,
            last_decision: Instant::default(),
            sample_offset: 0,
        }
    }

    /// Creates a scheduler that uses [`ForecastPolicy`] without the disabled mechanisms.
    pub(crate) fn with_forecast(disabled: Disabled) -> Scheduler {
        let limits = SchedulerLimits { disabled, ..SchedulerLimits::default() };
        Scheduler::new(limits, Box::new(ForecastPolicy::without(disabled)))
    }

    /// Creates the scheduler that a daemon uses for its own requests while no central scheduler
    /// answers. The seed must differ between daemons. Hand-overs are disabled, since the daemon
    /// does not know the prefill load of the engines, and so is admission control, since it sees only
    /// its own requests.
    pub fn local(disabled: Disabled, seed: u64) -> Scheduler {
        let disabled = disabled.with(Mechanism::Handover).with(Mechanism::AdmissionForecast);
        let limits = SchedulerLimits { disabled, ..SchedulerLimits::default() };
        let policy = Box::new(PowerOfTwoChoices::without(disabled, seed));
        let sender_role = SenderRole::one_of(0);
        let (sample_offset, local_seed) = (seed as usize, Some(seed));
        let throttle = Throttle::new(sender_role, seed);
        let returns = ReturnSchedule::recognising(disabled);
        Scheduler {
            returns,
            sample_offset,
            local_seed,
            sender_role,
            throttle,
            load_view: LoadView::new(false),
            ..Scheduler::new(limits, policy)
        }
    }

    /// Returns the endpoint of a placed request and an alternative endpoint with capacity, if any.
    pub fn sampled_endpoints(&mut self, ticket: Ticket, now: Instant) -> Vec<SampledEndpoint> {
        let first = self.placed.get(&ticket).map(|placed| placed.endpoint.clone());
        let other = self.alternative_for(ticket, now);
        let sampled = |endpoint: Arc<str>| {
            let slowness = self.endpoints.get(&endpoint).map_or(1.0, |e| e.reported_slowness(now));
            SampledEndpoint { endpoint, slowness }
        };
        first.into_iter().chain(other).map(sampled).collect()
    }

    fn alternative_for(&mut self, ticket: Ticket, now: Instant) -> Option<Arc<str>> {
        let placed = self.placed.get(&ticket)?;
        let target = self.targets.get(&placed.req.target)?;
        self.sample_offset = self.sample_offset.wrapping_add(1);
        let req = &placed.req;
        let others = target
            .sample(self.sample_offset, req.prefix, &req.versions)
            .filter(|name| **name != placed.endpoint)
            .filter_map(|name| self.endpoints.get(name));
        let open = AdmissionGroups::new(others, req, |endpoint| {
            self.admission(endpoint, req.ticket.entry, &req.versions, now)
        });
        let demand = Demand::new(req, self.forecast.distribution(&req.workspace, &req.kind));
        open.choose(&demand, &mut *self.policy, now)
    }

    /// Returns the endpoint with this name.
    pub fn endpoint(&self, name: &str) -> Option<&EndpointState> {
        self.endpoints.get(name)
    }

    /// Returns all endpoints by name.
    pub fn endpoints(&self) -> BTreeMap<&str, &EndpointState> {
        self.endpoints.iter().map(|(name, state)| (&**name, state)).collect()
    }

    /// The load as operators see it.
    pub(crate) fn load_snapshot(&self, now: Instant) -> LoadSnapshot {
        self.load_view.snapshot(self.endpoints.values(), now)
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queued.len()
    }

    /// Number of granted and unfinished requests.
    pub fn running(&self) -> usize {
        self.placed.len()
    }

    /// Makes all decisions that are possible now.
    pub fn decide(&mut self, now: Instant) -> Vec<Action> {
        self.last_decision = now;
        let mut actions = self.expire(now);
        actions.extend(self.give_up_out_of_service(now));
        actions.extend(self.start_isolated(now));
        actions.extend(self.start_continuations(now));
        self.requeue_held(now);
        let targets: Vec<EndpointTarget> = self
            .targets
            .iter()
            .filter(|(_, target)| 0 < target.queue.len() || target.admission.next_check().is_some())
            .map(|(name, _)| name.clone())
            .collect();
        for target in targets {
            while let Some(next) = self.next_step(&target, now) {
                actions.extend(match next {
                    Step::Start(selection) => self.start(&target, selection, now),
                    Step::Hold(ticket, until) => self.hold_until(ticket, until, now),
                });
            }
            actions.extend(self.shed_overdue(&target, now));
        }
        self.load_view.on_decided(&actions, &self.targets, now);
        actions
    }

    /// Time at which the next queued request expires.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expiries.first().map(|expiry| expiry.at)
    }

    /// Time at which [`Scheduler::decide`] and [`Scheduler::plan_relocations`] must be called even
    /// without other input.
    pub fn next_decision(&self) -> Option<Instant> {
        let next = self.next_expiry().into_iter().chain(self.next_plan_at());
        next.chain(self.next_cold_send())
            .chain(self.next_rate_limit_slot())
            .chain(self.next_backoff_change())
            .chain(self.targets.values().filter_map(|target| target.admission.next_check()).min())
            .min()
    }

    /// Whether an endpoint may be sent a request now, not considering rejections.
    pub(super) fn may_send(&self, endpoint: &EndpointState, now: Instant) -> bool {
        endpoint.is_available(now) && self.throttle.may_send(&endpoint.name, now)
    }

    /// Time at which the next rate-limited endpoint accepts a request, if any request is queued.
    fn next_rate_limit_slot(&self) -> Option<Instant> {
        if self.queued.is_empty() || self.throttle.is_empty() {
            return None;
        }
        let limited = self.throttle.reports().map(|word| &word.endpoint);
        let limited = limited.filter(|name| self.endpoints.contains_key(*name));
        let slots = limited.map(|name| self.throttle.next_send_at(name, self.last_decision));
        slots.filter(|at| self.last_decision < *at).min()
    }

    /// Time at which the next cold endpoint accepts a request, if any request is queued.
    fn next_cold_send(&self) -> Option<Instant> {
        if self.queued.is_empty() {
            return None;
        }
        let cold = self.cold.iter().filter_map(|name| self.endpoints.get(name));
        cold.filter_map(EndpointState::next_cold_send).filter(|at| self.last_decision < *at).min()
    }

    fn start(
        &mut self,
        target: &EndpointTarget,
        selection: Selection,
        now: Instant,
    ) -> Option<Action> {
        let Selection { rank, workspace, ticket, endpoint } = selection;
        let state = self.targets.get_mut(target)?;
        let waiting = state.queue.remove(rank, &workspace, ticket)?;
        if waiting.order.is_none() {
            // Returning requests are selected in another order than that of the service.
            state.queue.advance_virtual_time(rank, &workspace);
        }
        state.record_start(now);
        let work = request_work(&self.forecast, &waiting.req);
        state.admission.on_started(work, now);
        state.admission.on_left_queue(&waiting, true, now);
        if let Some(queued) = self.queued.remove(&ticket) {
            self.on_dequeued(&queued);
        }
        self.place(waiting.req, &endpoint, now);
        Some(Action::Start { ticket, endpoint, priority: rank })
    }

    /// Decides on the next queued request. While the head of a rank waits for capacity, only requests
    /// of better ranks may overtake it. Requests that would be late on any endpoint come after all others.
    fn next_step(&mut self, target: &EndpointTarget, now: Instant) -> Option<Step> {
        let state = self.targets.get(target)?;
        let defers_late = self.limits.disabled.allows(Mechanism::AdmissionForecast);
        let (mut blocked, mut deferred) = (u64::MAX, None);
        let ages = self.limits.disabled.allows(Mechanism::Ageing);
        let ageing = if ages { self.limits.ageing } else { Duration::MAX };
        for waiting in state.queue.heads(now, ageing) {
            let req = &waiting.req;
            if blocked <= req.rank {
                continue;
            }
            let mut demand =
                Demand::new(req, self.forecast.distribution(&req.workspace, &req.kind));
            demand.ttft_target = req.ttft_target.saturating_sub(now.since(waiting.arrived));
            self.sample_offset = self.sample_offset.wrapping_add(1);
            let sample = state.sample(self.sample_offset, req.prefix, &req.versions);
            let open = sample.filter_map(|name| self.endpoints.get(name));
            let open = AdmissionGroups::new(open, req, |endpoint| {
                self.admission(endpoint, req.ticket.entry, &req.versions, now)
            });
            let defer = defers_late && open.is_late_on_all(&demand);
            if let Some(endpoint) = open.choose(&demand, &mut *self.policy, now) {
                let start = Step::Start(Selection {
                    rank: req.rank,
                    workspace: req.workspace.clone(),
                    ticket: req.ticket,
                    endpoint,
                });
                if !defer {
                    return Some(start);
                }
                deferred.get_or_insert(start);
            }
            if defer {
                continue;
            }
            if let Some(until) = self.backed_off_until(req, now) {
                return Some(Step::Hold(req.ticket, until));
            }
            blocked = req.rank;
        }
        // No request that could be in time waits for capacity.
        deferred.filter(|_| blocked == u64::MAX)
    }
}
