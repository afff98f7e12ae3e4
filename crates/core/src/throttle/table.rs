//! Known rate limits of endpoints and the pacing of requests to them.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use super::{RateLimit, RateLimitReport, pacer::Pacer};
use crate::{
    placement::{RateSplit, SenderRole},
    units::Instant,
};

/// Shares of a limit. The scheduler leaves a margin for varying delivery times; while only some
/// daemons reach it, the two shares add up to 1.45 times the limit.
const RATE_SPLIT: RateSplit = RateSplit { scheduler: 0.95, daemons: 0.5 };
/// Changes of a limit by less than this fraction are not announced.
const MIN_CHANGE_FRACTION: f64 = 0.1;
/// How long a lifted limit is remembered, so that an older report cannot restore it.
const LIFTED_LIMIT_TTL: Duration = Duration::from_secs(60);

/// Effect of a report on the announced limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitChange {
    /// Nothing to announce.
    None,
    /// The endpoint now has a limit.
    Set,
    /// The limit changed.
    Updated,
    /// The limit was lifted.
    Lifted,
}

impl LimitChange {
    /// Name in log fields.
    pub fn as_str(self) -> &'static str {
        match self {
            LimitChange::None => "none",
            LimitChange::Set => "named",
            LimitChange::Updated => "other",
            LimitChange::Lifted => "lifted",
        }
    }
}

/// State of one endpoint.
#[derive(Debug)]
struct Endpoint {
    report: RateLimitReport,
    /// The last announced limit.
    announced: Option<RateLimit>,
    pacer: Pacer,
}

/// Rate limits of endpoints, and the pacing of one sender's requests.
#[derive(Debug)]
pub struct Throttle {
    senders: SenderRole,
    /// Varies the phase of the pacing between daemons.
    seed: u64,
    known: HashMap<Arc<str>, Endpoint>,
}

impl Throttle {
    /// Creates a table without limits. Daemons that send without a scheduler need different seeds.
    pub fn new(senders: SenderRole, seed: u64) -> Throttle {
        Throttle { senders, seed, known: HashMap::new() }
    }

    /// Whether no endpoint has reported a limit.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// The limit of an endpoint, if it has one.
    pub fn limit(&self, endpoint: &str) -> Option<RateLimit> {
        self.known.get(endpoint)?.report.limit
    }

    /// Number of endpoints with a limit.
    pub fn limited_endpoints(&self) -> usize {
        self.reports().count()
    }

    /// Latest reports of all endpoints with a limit.
    pub fn reports(&self) -> impl Iterator<Item = &RateLimitReport> {
        self.known.values().map(|known| &known.report).filter(|report| report.limit.is_some())
    }

    /// Latest report of an endpoint that has a limit or had one recently.
    pub fn report(&self, endpoint: &str) -> Option<&RateLimitReport> {
        self.known.get(endpoint).map(|known| &known.report)
    }

    /// Applies a report, unless a newer one is known.
    pub fn on_report(&mut self, report: RateLimitReport, now: Instant) -> LimitChange {
        let Some(known) = self.known.get_mut(&report.endpoint) else {
            let Some(limit) = report.limit else { return LimitChange::None };
            let interval = self.senders.interval(limit.interval(), RATE_SPLIT);
            let pacer = Pacer::new(interval, self.senders.has_peers(), self.phase(&report), now);
            let known = Endpoint { announced: report.limit, pacer, report };
            self.known.insert(known.report.endpoint.clone(), known);
            return LimitChange::Set;
        };
        if !report.supersedes(&known.report) {
            return LimitChange::None;
        }
        if let Some(limit) = report.limit {
            let interval = self.senders.interval(limit.interval(), RATE_SPLIT);
            known.pacer.set_interval(interval, self.senders.has_peers(), now);
        }
        known.report = report;
        let change = match (known.announced, known.report.limit) {
            (None, None) => LimitChange::None,
            (None, Some(_)) => LimitChange::Set,
            (Some(_), None) => LimitChange::Lifted,
            (Some(announced), Some(limit)) if is_significant_change(announced, limit) => {
                LimitChange::Updated
            }
            (Some(_), Some(_)) => LimitChange::None,
        };
        if change != LimitChange::None {
            known.announced = known.report.limit;
        }
        change
    }

    /// Changes the share of each limit that this sender may use.
    pub fn set_sender_role(&mut self, senders: SenderRole, now: Instant) {
        if self.senders == senders {
            return;
        }
        self.senders = senders;
        for known in self.known.values_mut() {
            let Some(limit) = known.report.limit else { continue };
            let interval = senders.interval(limit.interval(), RATE_SPLIT);
            known.pacer.set_interval(interval, senders.has_peers(), now);
        }
    }

    /// Removes endpoints that `is_current` rejects, and limits that were lifted long ago.
    pub fn retain(&mut self, is_current: impl Fn(&RateLimitReport) -> bool, now: Instant) {
        self.known.retain(|_, Endpoint { report, .. }| {
            let is_old = LIFTED_LIMIT_TTL < now.since(report.received_at);
            is_current(report) && (report.limit.is_some() || !is_old)
        });
    }

    /// Whether the limit of an endpoint allows a request now.
    pub fn may_send(&self, endpoint: &str, now: Instant) -> bool {
        self.pacer(endpoint).is_none_or(|pacer| pacer.is_ready(now))
    }

    /// Earliest time at which the limit of an endpoint allows a request.
    pub fn next_send_at(&self, endpoint: &str, now: Instant) -> Instant {
        self.pacer(endpoint).map_or(now, |pacer| pacer.next_send_at(now))
    }

    /// Requests per second that this sender may send to a limited endpoint.
    pub(super) fn rate(&self, endpoint: &str) -> Option<f64> {
        self.pacer(endpoint).map(Pacer::rate)
    }

    /// Counts a request that is sent to an endpoint.
    pub fn on_sent(&mut self, endpoint: &str, now: Instant) {
        if let Some(known) = self.known.get_mut(endpoint) {
            known.pacer.on_sent(now);
        }
    }

    fn pacer(&self, endpoint: &str) -> Option<&Pacer> {
        let known = self.known.get(endpoint)?;
        known.report.limit.map(|_| &known.pacer)
    }

    /// Fraction of the interval after which the first request is due. The scheduler waits a whole
    /// interval, since daemons may just have sent requests without knowing the limit; daemons use
    /// random phases, so that their requests spread evenly.
    fn phase(&self, report: &RateLimitReport) -> f64 {
        if !self.senders.has_peers() {
            return 1.0;
        }
        let mut hasher = DefaultHasher::new();
        (self.seed, &report.endpoint, report.received_at.0).hash(&mut hasher);
        hasher.finish() as f64 / u64::MAX as f64
    }
}

/// Whether a limit differs enough from the announced one.
fn is_significant_change(announced: RateLimit, limit: RateLimit) -> bool {
    let (announced, limit) = (announced.per_second(), limit.per_second());
    announced.max(limit) * MIN_CHANGE_FRACTION < (announced - limit).abs()
}
