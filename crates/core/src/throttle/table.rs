//! What a sender knows of the limits that endpoints name, and when it may send to them.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use super::{RateLimit, RateLimitReport, turns::Turns};
use crate::{
    placement::{RateSplit, SenderRole},
    units::Instant,
};

/// Who sends which part of what an endpoint takes. What the scheduler leaves bears the differences of the ways
/// that requests take; while some daemons reach it and others do not, both parts together are 1.45 times the limit.
const RATE_SPLIT: RateSplit = RateSplit { scheduler: 0.95, daemons: 0.5 };
/// A limit that differs from the one that was told by less than this part is no news.
const NO_NEWS: f64 = 0.1;
/// For so long it is known that an endpoint names no limit any more, against old word of one.
const LIFTED_LIFE: Duration = Duration::from_secs(60);

/// What came of an endpoint's word.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitChange {
    /// Nothing that others need to know.
    None,
    /// It names a limit for the first time.
    Set,
    /// It names another one.
    Updated,
    /// It names none any more.
    Lifted,
}

impl LimitChange {
    /// Its name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            LimitChange::None => "none",
            LimitChange::Set => "named",
            LimitChange::Updated => "other",
            LimitChange::Lifted => "lifted",
        }
    }
}

/// What is known of one endpoint.
#[derive(Debug)]
struct Known {
    word: RateLimitReport,
    /// The limit that others were last told.
    told: Option<RateLimit>,
    turns: Turns,
}

/// The limits of endpoints, as one sender knows them.
#[derive(Debug)]
pub struct Throttle {
    senders: SenderRole,
    /// Random number of a daemon that sends by itself.
    seed: u64,
    known: HashMap<Arc<str>, Known>,
}

impl Throttle {
    /// No limits yet; the seed must be another one on each daemon that sends by itself.
    pub fn new(senders: SenderRole, seed: u64) -> Throttle {
        Throttle { senders, seed, known: HashMap::new() }
    }

    /// Whether no endpoint has named a limit.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// The limit that an endpoint names.
    pub fn limit(&self, endpoint: &str) -> Option<RateLimit> {
        self.known.get(endpoint)?.word.limit
    }

    /// Number of the endpoints that name one.
    pub fn limited_endpoints(&self) -> usize {
        self.reports().count()
    }

    /// The word of every endpoint that names one.
    pub fn reports(&self) -> impl Iterator<Item = &RateLimitReport> {
        self.known.values().map(|known| &known.word).filter(|word| word.limit.is_some())
    }

    /// What was last heard of an endpoint that names a limit, or has done so lately.
    pub fn report(&self, endpoint: &str) -> Option<&RateLimitReport> {
        self.known.get(endpoint).map(|known| &known.word)
    }

    /// Takes an endpoint's word.
    pub fn on_report(&mut self, word: RateLimitReport, now: Instant) -> LimitChange {
        let Some(known) = self.known.get_mut(&word.endpoint) else {
            let Some(limit) = word.limit else { return LimitChange::None };
            let interval = self.senders.interval(limit.interval(), RATE_SPLIT);
            let turns = Turns::new(interval, self.senders.has_peers(), self.phase(&word), now);
            let known = Known { told: word.limit, turns, word };
            self.known.insert(known.word.endpoint.clone(), known);
            return LimitChange::Set;
        };
        if !word.replaces(&known.word) {
            return LimitChange::None;
        }
        if let Some(limit) = word.limit {
            let interval = self.senders.interval(limit.interval(), RATE_SPLIT);
            known.turns.space(interval, self.senders.has_peers(), now);
        }
        known.word = word;
        let change = match (known.told, known.word.limit) {
            (None, None) => LimitChange::None,
            (None, Some(_)) => LimitChange::Set,
            (Some(_), None) => LimitChange::Lifted,
            (Some(told), Some(limit)) if is_news(told, limit) => LimitChange::Updated,
            (Some(_), Some(_)) => LimitChange::None,
        };
        if change != LimitChange::None {
            known.told = known.word.limit;
        }
        change
    }

    /// Takes with whom it shares what endpoints take.
    pub fn set_sender_role(&mut self, senders: SenderRole, now: Instant) {
        if self.senders == senders {
            return;
        }
        self.senders = senders;
        for known in self.known.values_mut() {
            let Some(limit) = known.word.limit else { continue };
            let interval = senders.interval(limit.interval(), RATE_SPLIT);
            known.turns.space(interval, senders.has_peers(), now);
        }
    }

    /// Forgets the word of endpoints that are not there any more, and of those that have named no limit for long.
    pub fn retain(&mut self, is_there: impl Fn(&RateLimitReport) -> bool, now: Instant) {
        self.known.retain(|_, Known { word, .. }| {
            let is_old = LIFTED_LIFE < now.since(word.received_at);
            is_there(word) && (word.limit.is_some() || !is_old)
        });
    }

    /// Whether an endpoint may be sent a request now.
    pub fn may_send(&self, endpoint: &str, now: Instant) -> bool {
        self.turns(endpoint).is_none_or(|turns| turns.has_come(now))
    }

    /// When an endpoint may be sent a request, at the earliest.
    pub fn next_send_at(&self, endpoint: &str, now: Instant) -> Instant {
        self.turns(endpoint).map_or(now, |turns| turns.next(now))
    }

    /// Requests a second that this sender may send to an endpoint that names a limit.
    pub(super) fn rate(&self, endpoint: &str) -> Option<f64> {
        self.turns(endpoint).map(Turns::rate)
    }

    /// Notes that an endpoint is sent a request.
    pub fn on_sent(&mut self, endpoint: &str, now: Instant) {
        if let Some(known) = self.known.get_mut(endpoint) {
            known.turns.sent(now);
        }
    }

    fn turns(&self, endpoint: &str) -> Option<&Turns> {
        let known = self.known.get(endpoint)?;
        known.word.limit.map(|_| &known.turns)
    }

    /// The part of the time between two requests after which the first one is due. A scheduler waits for all of
    /// it, since daemons have just sent what they did not know of; daemons draw one each, so that together they
    /// send evenly.
    fn phase(&self, word: &RateLimitReport) -> f64 {
        if !self.senders.has_peers() {
            return 1.0;
        }
        let mut hasher = DefaultHasher::new();
        (self.seed, &word.endpoint, word.received_at.0).hash(&mut hasher);
        hasher.finish() as f64 / u64::MAX as f64
    }
}

/// Whether a limit differs enough from the one that was told.
fn is_news(told: RateLimit, limit: RateLimit) -> bool {
    let (told, limit) = (told.per_second(), limit.per_second());
    told.max(limit) * NO_NEWS < (told - limit).abs()
}
