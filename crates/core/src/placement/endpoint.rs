//! The scheduler's state of one endpoint.

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
use crate::{config::EndpointSpec, software_version::VersionConstraint, units::Instant};

/// Time after which a prompt prefix is assumed to be evicted from the cache.
const PREFIX_TTL: Duration = Duration::from_secs(60);
/// Lifetime of a slowness report. Exceeds the time the scheduler needs to broadcast all slow
/// endpoints in turn.
const SLOWNESS_REPORT_TTL: Duration = Duration::from_secs(60);
const MAX_PREFIXES: usize = 512;
const MAX_LOAD_CHANGES: usize = 256;

/// Health of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Accepts new requests.
    Live,
    /// Draining: running requests continue, new ones are not sent.
    Leaving,
    /// Failed; may be retried at this time.
    Down(Instant),
}

/// Load reported by an endpoint, as of some time ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadReport {
    /// Time the report describes.
    pub at: Instant,
    /// Running requests.
    pub running: u64,
    /// Requests queued at the endpoint.
    pub waiting: u64,
    /// KV cache in use, in tokens.
    pub kv_used: u64,
}

/// Forecast KV cache use of one stream, at each of the [`HORIZONS`].
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct MemoryDemand {
    pub(crate) mean: [f64; HORIZONS.len()],
    pub(crate) variance: [f64; HORIZONS.len()],
    /// KV cache in use now, in tokens.
    pub(crate) used: f64,
    /// Expected value of the whole generation; see `generation_value`.
    pub(crate) value: f64,
}

impl MemoryDemand {
    /// Forecast for a stream with `prompt + so_far` tokens in the KV cache.
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
            let probability = distribution.probability_beyond(so_far, ahead);
            let size = (prompt + so_far + ahead) as f64;
            memory.mean[i] = probability * size;
            memory.variance[i] = probability * (1.0 - probability) * size * size;
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

/// Slowness of an endpoint as reported by a scheduler.
#[derive(Debug, Clone, Copy)]
struct ReportedSlowness {
    slowness: f64,
    at: Instant,
}

/// A grant or release since the last load report.
#[derive(Debug, Clone, Copy)]
struct LoadChange {
    at: Instant,
    delta: i64,
}

/// State of one endpoint: limits, health, granted requests and memory forecast.
#[derive(Debug)]
pub struct EndpointState {
    pub(crate) name: Arc<str>,
    pub(crate) spec: EndpointSpec,
    pub(crate) health: Health,
    /// Whether its data hall is out of service.
    hall_out: bool,
    cold: Option<ColdPacer>,
    /// Requests granted and not yet finished.
    pub(crate) running: u64,
    pub(crate) total: MemoryDemand,
    pub(crate) report: LoadReport,
    /// Grants and releases after the time of the last report.
    changes_since_report: VecDeque<LoadChange>,
    prefixes: HashMap<PrefixHash, Instant>,
    failures: u32,
    /// Prompts granted to the endpoint and not yet prefilled.
    pub(crate) prefill: PrefillQueue,
    /// Measured time per output token.
    pub(crate) token_latency: TokenLatency,
    slowness_report: Option<ReportedSlowness>,
    /// Isolated request for which the endpoint is reserved; no other request is placed there.
    pub(crate) reserved_for: Option<Ticket>,
}

impl EndpointState {
    /// Creates a live endpoint without load.
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

    /// Configured limits and address.
    pub fn spec(&self) -> &EndpointSpec {
        &self.spec
    }

    /// Current health.
    pub fn health(&self) -> Health {
        self.health
    }

    /// Whether its data hall is out of service.
    pub fn is_out_of_service(&self) -> bool {
        self.hall_out
    }

    /// Marks the endpoint as cold until `until`. `phase` is the fraction of the send interval before
    /// the first request.
    pub(crate) fn set_cold(&mut self, until: Instant, role: SenderRole, phase: f64, now: Instant) {
        let Some(cold_start) = self.spec.cold_start else { return };
        match &mut self.cold {
            Some(cold) if !cold.is_over(now) => cold.extend(until),
            cold => {
                *cold = Some(ColdPacer::new(until, cold_interval(role, cold_start), phase, now))
            }
        }
    }

    /// Records that a request was sent to the endpoint.
    pub(crate) fn on_sent(&mut self, role: SenderRole, now: Instant) {
        if let (Some(cold), Some(cold_start)) = (&mut self.cold, self.spec.cold_start) {
            cold.on_sent(cold_interval(role, cold_start), now);
        }
    }

    /// Earliest time of the next request to a cold endpoint.
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

    /// Whether it runs one of these software versions.
    pub(super) fn runs_any_of(&self, versions: &VersionConstraint) -> bool {
        versions.allows(self.spec.software_version.as_ref())
    }

    /// Whether it is neither leaving nor out of service, so that it accepts requests now or soon.
    pub(super) fn is_staying(&self) -> bool {
        !self.hall_out && self.health != Health::Leaving
    }

    /// Whether the endpoint accepts new requests now.
    pub fn is_available(&self, now: Instant) -> bool {
        self.reserved_for.is_none() && self.is_usable(now)
    }

    /// Whether the endpoint accepts requests now, ignoring a reservation for an isolated request.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        match self.health {
            _ if self.hall_out => false,
            _ if self.cold.is_some_and(|cold| !cold.may_send(now)) => false,
            Health::Live => true,
            Health::Leaving => false,
            Health::Down(until) => until <= now,
        }
    }

    /// Estimated number of requests at the endpoint: the larger of the granted requests and the last
    /// report adjusted by later grants and releases.
    pub fn load(&self) -> u64 {
        if self.report.at == Instant::default() {
            return self.running;
        }
        let reported = (self.report.running + self.report.waiting) as i64;
        let since: i64 = self.changes_since_report.iter().map(|change| change.delta).sum();
        self.running.max((reported + since).max(0) as u64)
    }

    /// KV cache in use according to granted requests, in tokens.
    pub fn kv_used(&self) -> f64 {
        self.total.used
    }

    /// Applies a delayed load report; older reports are ignored.
    pub fn on_report(&mut self, report: LoadReport) {
        if report.at < self.report.at {
            return;
        }
        self.report = report;
        while self.changes_since_report.front().is_some_and(|change| change.at <= report.at) {
            self.changes_since_report.pop_front();
        }
    }

    /// Stores how many times slower than its peers the endpoint is, as reported by a scheduler.
    pub(crate) fn set_reported_slowness(&mut self, slowness: f64, now: Instant) {
        self.slowness_report = Some(ReportedSlowness { slowness, at: now });
    }

    /// Slowness from the last report; 1.0 if it has expired.
    pub(crate) fn reported_slowness(&self, now: Instant) -> f64 {
        let report =
            self.slowness_report.filter(|report| now.since(report.at) < SLOWNESS_REPORT_TTL);
        report.map_or(1.0, |report| report.slowness)
    }

    /// Whether the prefix is assumed to be in the endpoint's cache.
    pub fn has_prefix(&self, prefix: PrefixHash, now: Instant) -> bool {
        self.prefixes.get(&prefix).is_some_and(|at| now.since(*at) < PREFIX_TTL)
    }

    /// Records that the prefix is cached on the endpoint.
    pub fn record_prefix(&mut self, prefix: PrefixHash, now: Instant) {
        if MAX_PREFIXES <= self.prefixes.len() {
            self.prefixes.retain(|_, at| now.since(*at) < PREFIX_TTL);
        }
        if MAX_PREFIXES <= self.prefixes.len() {
            self.prefixes.clear();
        }
        self.prefixes.insert(prefix, now);
    }

    /// Opens the circuit breaker with exponential backoff. Returns the time of the next attempt,
    /// or `None` if the endpoint is leaving. Failures that daemons report while it is open belong to
    /// the same outage.
    pub(crate) fn on_failure(&mut self, now: Instant) -> Option<Instant> {
        const INITIAL_PAUSE: Duration = Duration::from_millis(500);
        const MAX_PAUSE: Duration = Duration::from_secs(30);
        if let Health::Down(until) = self.health
            && now < until
        {
            return Some(until);
        }
        self.failures = (self.failures + 1).min(10);
        let pause = INITIAL_PAUSE * 2u32.pow(self.failures - 1);
        if self.health == Health::Leaving {
            return None;
        }
        let until = now.after(pause.min(MAX_PAUSE));
        self.health = Health::Down(until);
        Some(until)
    }

    /// Closes the circuit breaker.
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
            // Discard accumulated rounding errors.
            self.total = MemoryDemand::default();
        }
    }

    fn record_change(&mut self, change: LoadChange) {
        if MAX_LOAD_CHANGES <= self.changes_since_report.len() {
            // Load reports have stopped; fall back to counting grants.
            self.report = LoadReport::default();
            self.changes_since_report.clear();
        }
        self.changes_since_report.push_back(change);
    }
}
