//! Routes: the services, limits and latency targets of a host and path prefix.

use std::{sync::Arc, time::Duration};

use super::reader::SectionReader;

const MAX_SERVICE_WEIGHT: u64 = 1_000_000;
const MAX_ATTEMPTS: u64 = 100;
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_TARGET_LATENCY: Duration = Duration::from_secs(1);
const DEFAULT_LONGEST_GAP: Duration = Duration::from_millis(200);

/// Type of the requests of a route; decides whether they may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// An idempotent call.
    Repeatable,
    /// A call that must run at most once.
    Single,
    /// A generation that must run at most once.
    Generation,
    /// A generation that another endpoint can resume after any event.
    ResumableGeneration,
}

impl RouteKind {
    /// Whether a request may be executed more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RouteKind::Repeatable | RouteKind::ResumableGeneration)
    }

    /// Whether the response is a stream of events.
    pub fn is_generation(self) -> bool {
        matches!(self, RouteKind::Generation | RouteKind::ResumableGeneration)
    }
}

/// A service that a route sends requests to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Fraction of the requests, relative to the weights of the other targets.
    pub weight: u64,
}

/// Settings of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteSpec {
    /// Host of the request.
    pub host: String,
    /// Prefix of the request path; starts and ends with a slash.
    pub path_prefix: String,
    /// Services to choose from; at least one weight is positive.
    pub targets: Vec<RouteTarget>,
    /// Type of the requests.
    pub kind: RouteKind,
    /// Maximum time until the response is complete.
    pub timeout: Duration,
    /// Target time to the response, or to the first event of a stream.
    pub target_latency: Duration,
    /// Maximum acceptable time between two events of a stream.
    pub longest_gap: Duration,
    /// Maximum number of attempts of a request, each on one endpoint.
    pub max_attempts: u32,
    /// Whether requests without a workspace key are accepted.
    pub public: bool,
    /// Tier of requests that belong to no workspace.
    pub tier: Option<String>,
}

impl RouteSpec {
    /// Selects a service in proportion to the weights; `draw` is a uniform random number.
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
    /// Settings of the route.
    pub spec: Arc<RouteSpec>,
}

/// Prefix of the section names of routes.
pub(super) const ROUTE_PREFIX: &str = "route ";

/// Reads a `[route NAME]` section; `None` if the services or the kind are invalid.
pub(super) fn read(r: &mut SectionReader<'_>) -> Option<RouteSpec> {
    let host = r.text("host");
    let path_prefix = r.text("path_prefix");
    if !path_prefix.starts_with('/') || !path_prefix.ends_with('/') {
        r.add_error("path_prefix", "must start and end with a slash");
    }
    let targets = read_targets(r);
    let kind = read_kind(r);
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
        target_latency: r.duration("target_latency", Some(DEFAULT_TARGET_LATENCY)),
        longest_gap: r.duration("longest_gap", Some(DEFAULT_LONGEST_GAP)),
        max_attempts: r.number("max_attempts", Some(1), 1, MAX_ATTEMPTS) as u32,
        public: r.flag("public", Some(false)),
        tier: r.raw("tier").map(str::to_owned),
    };
    Some(spec)
}

fn read_kind(r: &mut SectionReader<'_>) -> Option<RouteKind> {
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

fn read_targets(r: &mut SectionReader<'_>) -> Option<Vec<RouteTarget>> {
    let list = r.text("services");
    let mut targets = Vec::new();
    for item in list.split(',').map(str::trim).filter(|item| !item.is_empty()) {
        let target = item.rsplit_once(':').and_then(|(service, weight)| {
            let weight = weight.parse().ok().filter(|weight| *weight <= MAX_SERVICE_WEIGHT)?;
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
