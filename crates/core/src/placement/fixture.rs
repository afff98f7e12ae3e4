//! Shared fixtures of the placement tests.

use std::time::Duration;

use super::{ForecastPolicy, PrefixHash, Request, Scheduler, SchedulerLimits, Ticket};
use crate::{
    config::{EndpointSpec, EndpointTarget, Endpoints},
    software_version::{SoftwareVersion, VersionConstraint},
    units::Instant,
};

/// Time in milliseconds since the start of the test.
pub(super) fn ms(ms: u64) -> Instant {
    Instant(ms * 1_000)
}

/// A software version.
pub(super) fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::parse(name).unwrap()
}

/// Engines `e0`, `e1`, ..., one per entry of `halls`.
pub(super) fn engines(halls: &[&str], kv_tokens: u64) -> Endpoints {
    let spec = |(i, hall): (usize, &&str)| {
        let spec = EndpointSpec {
            is_registered: false,
            started_at: 0,
            hall: (*hall).to_owned(),
            address: format!("10.0.0.{}:80", i + 1).parse().unwrap(),
            target: EndpointTarget::Model("m".into()),
            slots: 48,
            kv_tokens,
            checks_fence: false,
            supports_relocation: true,
            cold_start: None,
            software_version: Some(version("v1")),
        };
        (format!("e{i}"), spec)
    };
    halls.iter().enumerate().map(spec).collect()
}

/// A chat request for the model that every engine serves.
pub(super) fn request(number: u64, prompt_tokens: u64, max_tokens: u64) -> Request {
    Request {
        ticket: Ticket { entry: 1, number },
        workspace: "w".into(),
        rank: 1,
        share: 1,
        max_running: 1_000_000,
        max_waiting: 1_000_000,
        kind: "chat".into(),
        target: EndpointTarget::Model("m".into()),
        prompt_tokens,
        prefix: PrefixHash(number),
        max_tokens,
        max_wait: Duration::from_secs(1),
        ttft_target: Duration::from_secs(1),
        avoid: Vec::new(),
        isolated: false,
        versions: VersionConstraint::Any,
        time_left: Duration::from_secs(60),
        longest_gap: Duration::ZERO,
        digest: None,
    }
}

/// Changes the software version of an engine that runs nothing yet.
pub(super) fn set_version(scheduler: &mut Scheduler, name: &str, version_name: &str) {
    let mut spec = scheduler.endpoint(name).unwrap().spec().clone();
    spec.software_version = Some(version(version_name));
    scheduler.set_endpoint(&name.into(), &spec);
}

/// A scheduler with one engine per entry of `halls`, each with `kv_tokens` of KV cache.
pub(super) fn scheduler(halls: &[&str], kv_tokens: u64) -> Scheduler {
    let policy = Box::new(ForecastPolicy::default());
    let mut scheduler = Scheduler::new(SchedulerLimits::default(), policy);
    scheduler.configure(&engines(halls, kv_tokens));
    scheduler
}
