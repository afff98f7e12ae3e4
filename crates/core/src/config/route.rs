//! Routes: which service answers a host and path, and on what terms.

use std::{sync::Arc, time::Duration};

use super::reader::SectionReader;

const MAX_WEIGHT: u64 = 1_000_000;
const MAX_ATTEMPTS: u64 = 100;
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_TARGET: Duration = Duration::from_secs(1);
const DEFAULT_LONGEST_GAP: Duration = Duration::from_millis(200);

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A call that may run more than once.
    Repeatable,
    /// A call that may run at most once.
    Single,
    /// A generation that may run at most once.
    Generation,
    /// A generation that another endpoint may go on with after any event.
    ResumableGeneration,
}

impl RouteKind {
    /// Whether a request may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RouteKind::Repeatable | RouteKind::ResumableGeneration)
    }

    /// Whether the answer is a stream of events.
    pub fn is_generation(self) -> bool {
        matches!(self, RouteKind::Generation | RouteKind::ResumableGeneration)
    }
}

/// A service that a route leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the other targets.
    pub weight: u64,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteSpec {
    /// Host that callers name.
    pub host: String,
    /// Start of the paths that it takes; begins and ends with a slash.
    pub path_prefix: String,
    /// Where it leads; at least one weight is above zero.
    pub targets: Vec<RouteTarget>,
    /// How often a request may run.
    pub kind: RouteKind,
    /// Longest time until the final answer.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is wanted.
    pub target_latency: Duration,
    /// Longest pause between the events of a stream that callers accept.
    pub longest_gap: Duration,
    /// Most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Tier of requests without a workspace.
    pub tier: Option<String>,
}

impl RouteSpec {
    /// The target that a number drawn evenly from all 64-bit values leads to.
    pub fn pick_service(&self, draw: u64) -> &str {
        let sum: u64 = self.targets.iter().map(|target| target.weight).sum();
        let mut at = draw % sum.max(1);
        for target in &self.targets {
            if at < target.weight {
                return &target.service;
            }
            at -= target.weight;
        }
        &self.targets[0].service
    }
}

/// A route and its name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedRoute {
    /// Name of the route.
    pub name: Arc<str>,
    /// Its terms.
    pub spec: Arc<RouteSpec>,
}

/// Start of the names of sections of routes.
pub(super) const ROUTE: &str = "route ";

/// Reads a route.
pub(super) fn read(r: &mut SectionReader<'_>) -> Option<RouteSpec> {
    let host = r.text("host");
    let path_prefix = r.text("path_prefix");
    if !path_prefix.starts_with('/') || !path_prefix.ends_with('/') {
        r.add_error("path_prefix", "must begin and end with a slash");
    }
    let targets = targets(r);
    let kind = kind(r);
    let timeout = r.duration("timeout", Some(DEFAULT_TIMEOUT));
    if timeout.is_zero() {
        r.add_error("timeout", "must be above zero");
    }
    let spec = RouteSpec {
        host,
        path_prefix,
        targets: targets?,
        kind: kind?,
        timeout,
        target_latency: r.duration("target_latency", Some(DEFAULT_TARGET)),
        longest_gap: r.duration("longest_gap", Some(DEFAULT_LONGEST_GAP)),
        max_attempts: r.number("max_attempts", Some(1), 1, MAX_ATTEMPTS) as u32,
        public: r.flag("public", Some(false)),
        tier: r.raw("tier").map(str::to_owned),
    };
    Some(spec)
}

fn kind(r: &mut SectionReader<'_>) -> Option<RouteKind> {
    match r.raw("kind") {
        Some("repeatable") => Some(RouteKind::Repeatable),
        Some("single") => Some(RouteKind::Single),
        Some("generation") => Some(RouteKind::Generation),
        Some("resumable_generation") => Some(RouteKind::ResumableGeneration),
        _ => {
            let expected = "expected repeatable, single, generation or resumable_generation";
            r.add_error("kind", expected);
            None
        }
    }
}

fn targets(r: &mut SectionReader<'_>) -> Option<Vec<RouteTarget>> {
    let list = r.text("services");
    let mut targets = Vec::new();
    for item in list.split(',').map(str::trim).filter(|item| !item.is_empty()) {
        let target = item.rsplit_once(':').and_then(|(service, weight)| {
            let weight = weight.parse().ok().filter(|weight| *weight <= MAX_WEIGHT)?;
            Some(RouteTarget { service: service.to_owned(), weight })
        });
        match target {
            Some(target) => targets.push(target),
            None => r.add_error("services", format!("\"{item}\" is not SERVICE:WEIGHT")),
        }
    }
    if targets.iter().all(|target| target.weight == 0) {
        r.add_error("services", "at least one service must have a weight above zero");
        return None;
    }
    Some(targets)
}
