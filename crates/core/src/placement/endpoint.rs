//! What the scheduler knows of one endpoint.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use super::{
    PrefixHash, SenderRole, Ticket,
    cold_start::{ColdPacer, cold_interval},
    forecast::{HORIZONS, LengthDistribution},
    prefill::PrefillQueue,
    token_latency::TokenLatency,
};
use crate::{config::EndpointSpec, units::Instant};

/// A cached prefix is believed for this long.
const PREFIX_TTL: Duration = Duration::from_secs(60);
/// A scheduler's word that an endpoint is slow is believed for this long. Each daemon is told of all
/// slow ones in turn, of 600 within 40 s.
const SLOWNESS_REPORT_TTL: Duration = Duration::from_secs(60);
const MAX_PREFIXES: usize = 512;
const MAX_LOAD_CHANGES: usize = 256;

/// Whether an endpoint may get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It may.
    Live,
    /// It is leaving: what runs there goes on, nothing new is sent.
    Leaving,
    /// It failed; it may be tried again at this time.
    Down(Instant),
}

/// A load report of an endpoint, true some time ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadReport {
    /// When the report was true.
    pub at: Instant,
    /// Requests running.
    pub running: u64,
    /// Requests waiting inside the endpoint.
    pub waiting: u64,
    /// Memory in use, in tokens.
    pub kv_used: u64,
}

/// Forecast of one stream's memory at each horizon.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct MemoryDemand {
    pub(crate) mean: [f64; HORIZONS.len()],
    pub(crate) variance: [f64; HORIZONS.len()],
    /// Memory in use now, in tokens.
    pub(crate) used: f64,
    /// What the whole answer is expected to be worth, in tokens read; see [`worth`].
    pub(crate) value: f64,
}

impl MemoryDemand {
    /// The forecast for a stream with `prompt + so_far` tokens in memory.
    pub(crate) fn forecast(
        distribution: &LengthDistribution,
        prompt: u64,
        so_far: u64,
        max_tokens: u64,
    ) -> MemoryDemand {
        let mut memory = MemoryDemand { used: (prompt + so_far) as f64, ..MemoryDemand::default() };
        for (i, ahead) in HORIZONS.iter().copied().enumerate() {
            if max_tokens <= so_far + ahead {
                continue;
            }
            let chance = distribution.probability_beyond(so_far, ahead);
            let size = (prompt + so_far + ahead) as f64;
            memory.mean[i] = chance * size;
            memory.variance[i] = chance * (1.0 - chance) * size * size;
        }
        memory
    }

    fn add(&mut self, other: &MemoryDemand, sign: f64) {
        self.used += sign * other.used;
        self.value += sign * other.value;
        for i in 0..HORIZONS.len() {
            self.mean[i] += sign * other.mean[i];
            self.variance[i] += sign * other.variance[i];
        }
    }
}

/// How much slower than others an endpoint is, as a scheduler has told.
#[derive(Debug, Clone, Copy)]
struct ReportedSlowness {
    slowness: f64,
    at: Instant,
}

/// A grant or a release of one request.
#[derive(Debug, Clone, Copy)]
struct LoadChange {
    at: Instant,
    delta: i64,
}

/// One endpoint: its limits, health, granted work and forecast.
#[derive(Debug)]
pub struct EndpointState {
    pub(crate) name: Arc<str>,
    pub(crate) spec: EndpointSpec,
    pub(crate) health: Health,
    /// Its data hall is out of service.
    hall_out: bool,
    cold: Option<ColdPacer>,
    /// Requests granted and not yet finished.
    pub(crate) running: u64,
    pub(crate) total: MemoryDemand,
    pub(crate) report: LoadReport,
    /// Grants and releases since the last report was true.
    changes_since_report: VecDeque<LoadChange>,
    prefixes: HashMap<PrefixHash, Instant>,
    failures: u32,
    /// The prompts that were granted to it.
    pub(crate) prefill: PrefillQueue,
    /// How fast it makes tokens.
    pub(crate) token_latency: TokenLatency,
    slowness_report: Option<ReportedSlowness>,
    /// The request that runs apart for which it is kept, and takes no other work.
    pub(crate) reserved_for: Option<Ticket>,
}

impl EndpointState {
    /// A live endpoint without work.
    pub fn new(name: Arc<str>, spec: EndpointSpec) -> EndpointState {
        EndpointState {
            name,
            spec,
            health: Health::Live,
            hall_out: false,
            cold: None,
            running: 0,
            total: MemoryDemand::default(),
            report: LoadReport::default(),
            changes_since_report: VecDeque::new(),
            prefixes: HashMap::new(),
            failures: 0,
            prefill: PrefillQueue::default(),
            token_latency: TokenLatency::default(),
            slowness_report: None,
            reserved_for: None,
        }
    }

    /// Its limits and address.
    pub fn spec(&self) -> &EndpointSpec {
        &self.spec
    }

    /// Its health.
    pub fn health(&self) -> Health {
        self.health
    }

    /// Whether its data hall is out of service.
    pub fn is_out_of_service(&self) -> bool {
        self.hall_out
    }

    /// Notes that it is cold until then; its first request is due after this part of the time between
    /// two.
    pub(crate) fn set_cold(&mut self, until: Instant, role: SenderRole, phase: f64, now: Instant) {
        let Some(cold_start) = self.spec.cold_start else { return };
        match &mut self.cold {
            Some(cold) if !cold.is_over(now) => cold.extend(until),
            cold => {
                *cold = Some(ColdPacer::new(until, cold_interval(role, cold_start), phase, now))
            }
        }
    }

    /// Notes that a request is sent to it.
    pub(crate) fn on_sent(&mut self, role: SenderRole, now: Instant) {
        if let (Some(cold), Some(cold_start)) = (&mut self.cold, self.spec.cold_start) {
            cold.on_sent(cold_interval(role, cold_start), now);
        }
    }

    /// When it may be sent the next request while it is cold.
    pub(crate) fn next_cold_send(&self) -> Option<Instant> {
        self.cold.map(|cold| cold.next_send_at())
    }

    pub(crate) fn set_hall_out(&mut self, hall_out: bool) {
        self.hall_out = hall_out;
    }

    /// Requests granted and not yet finished.
    pub fn running(&self) -> u64 {
        self.running
    }

    /// Whether new work may be sent now.
    pub fn is_available(&self, now: Instant) -> bool {
        self.reserved_for.is_none() && self.is_usable(now)
    }

    /// Whether new work may be sent now, or could be if the endpoint were not kept for a request that
    /// runs apart.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        match self.health {
            _ if self.hall_out => false,
            _ if self.cold.is_some_and(|cold| !cold.may_send(now)) => false,
            Health::Live => true,
            Health::Leaving => false,
            Health::Down(until) => until <= now,
        }
    }

    /// Requests believed to be at the endpoint: the greater of what was granted
    /// here and what it reported, corrected by grants and releases since then.
    pub fn load(&self) -> u64 {
        if self.report.at == Instant::default() {
            return self.running;
        }
        let reported = (self.report.running + self.report.waiting) as i64;
        let since: i64 = self.changes_since_report.iter().map(|change| change.delta).sum();
        self.running.max((reported + since).max(0) as u64)
    }

    /// Memory in use now, in tokens, by the scheduler's own account.
    pub fn kv_used(&self) -> f64 {
        self.total.used
    }

    /// Takes a lagged report: grants made after it are counted on top.
    pub fn on_report(&mut self, report: LoadReport) {
        if report.at < self.report.at {
            return;
        }
        self.report = report;
        while self.changes_since_report.front().is_some_and(|change| change.at <= report.at) {
            self.changes_since_report.pop_front();
        }
    }

    /// Notes that it takes so many times as long as others for everything.
    pub(crate) fn set_reported_slowness(&mut self, slowness: f64, now: Instant) {
        self.slowness_report = Some(ReportedSlowness { slowness, at: now });
    }

    /// How many times as long as others it takes, as far as a scheduler has told lately.
    pub(crate) fn reported_slowness(&self, now: Instant) -> f64 {
        let report =
            self.slowness_report.filter(|report| now.since(report.at) < SLOWNESS_REPORT_TTL);
        report.map_or(1.0, |report| report.slowness)
    }

    /// Whether the prefix is believed to be cached.
    pub fn has_prefix(&self, prefix: PrefixHash, now: Instant) -> bool {
        self.prefixes.get(&prefix).is_some_and(|at| now.since(*at) < PREFIX_TTL)
    }

    /// Notes that the prefix is cached here.
    pub fn record_prefix(&mut self, prefix: PrefixHash, now: Instant) {
        if MAX_PREFIXES <= self.prefixes.len() {
            self.prefixes.retain(|_, at| now.since(*at) < PREFIX_TTL);
        }
        if MAX_PREFIXES <= self.prefixes.len() {
            self.prefixes.clear();
        }
        self.prefixes.insert(prefix, now);
    }

    /// Opens the circuit after a failure, for longer after each in a row. Returns until when, if new
    /// work may be sent then.
    pub(crate) fn on_failure(&mut self, now: Instant) -> Option<Instant> {
        const INITIAL_PAUSE: Duration = Duration::from_millis(500);
        const MAX_PAUSE: Duration = Duration::from_secs(30);
        self.failures = (self.failures + 1).min(10);
        let pause = INITIAL_PAUSE * 2u32.pow(self.failures - 1);
        if self.health == Health::Leaving {
            return None;
        }
        let until = now.after(pause.min(MAX_PAUSE));
        self.health = Health::Down(until);
        Some(until)
    }

    /// Closes the circuit after a success.
    pub(crate) fn on_success(&mut self) {
        self.failures = 0;
        if matches!(self.health, Health::Down(_)) {
            self.health = Health::Live;
        }
    }

    pub(crate) fn grant(&mut self, memory: &MemoryDemand, now: Instant) {
        self.running += 1;
        self.record_change(LoadChange { at: now, delta: 1 });
        self.total.add(memory, 1.0);
    }

    pub(crate) fn update(&mut self, old: &MemoryDemand, new: &MemoryDemand) {
        self.total.add(old, -1.0);
        self.total.add(new, 1.0);
    }

    pub(crate) fn release(&mut self, memory: &MemoryDemand, now: Instant) {
        self.running -= 1;
        self.record_change(LoadChange { at: now, delta: -1 });
        self.total.add(memory, -1.0);
        if self.running == 0 {
            // Drop what rounding left behind.
            self.total = MemoryDemand::default();
        }
    }

    fn record_change(&mut self, change: LoadChange) {
        if MAX_LOAD_CHANGES <= self.changes_since_report.len() {
            // Reports have stopped; what was granted here is the better account.
            self.report = LoadReport::default();
            self.changes_since_report.clear();
        }
        self.changes_since_report.push_back(change);
    }
}
