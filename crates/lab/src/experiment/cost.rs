//! The cost of a decision by number of endpoints and running streams.

use std::time::Instant as Clock;

use serde::Serialize;
use trayswitch_core::{
    config::EndpointTarget,
    placement::{Action, ForecastPolicy, PrefixHash, Request, Scheduler, SchedulerLimits, Ticket},
    software_version::VersionConstraint,
    units::Instant,
};

use super::sim::config;
use crate::engine::EngineSpec;

/// Decisions that are timed.
const DECISIONS: u64 = 20_000;
const STREAMS_PER_ENDPOINT: u64 = 26;

/// Cost at one size.
#[derive(Debug, Serialize)]
pub(crate) struct Cost {
    /// Endpoints of one model.
    pub(crate) endpoints: usize,
    /// Streams that run meanwhile.
    pub(crate) streams: u64,
    /// Microseconds for one request: arrival, decision, one report of tokens, end.
    pub(crate) micros: f64,
}

/// Times decisions at several sizes.
pub(crate) fn decision_costs(sizes: &[usize]) -> Vec<Cost> {
    sizes.iter().map(|size| cost(*size)).collect()
}

fn cost(endpoints: usize) -> Cost {
    let spec = EngineSpec { kv_tokens: 60_000, ..EngineSpec::default() };
    let policy = Box::new(ForecastPolicy::default());
    let mut scheduler = Scheduler::new(SchedulerLimits::default(), policy);
    scheduler.configure(&config(endpoints, &spec).endpoints);
    let streams = endpoints as u64 * STREAMS_PER_ENDPOINT;
    let now = Instant(1);
    for number in 0..streams {
        place(&mut scheduler, number, now);
    }
    let began = Clock::now();
    for i in 0..DECISIONS {
        let number = streams + i;
        place(&mut scheduler, number, now);
        scheduler.progress(ticket(number), 16, now);
        scheduler.finish(ticket(i), 60, true, now);
    }
    let micros = began.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64;
    Cost { endpoints, streams, micros }
}

fn place(scheduler: &mut Scheduler, number: u64, now: Instant) {
    let req = Request {
        ticket: ticket(number),
        workspace: format!("w{}", number % 18_000).into(),
        rank: 1,
        share: 1,
        max_running: 1_000_000,
        max_waiting: 1_000_000,
        kind: "chat".into(),
        target: EndpointTarget::Model("m".into()),
        prompt_tokens: 300,
        prefix: PrefixHash(number % 4_000),
        max_tokens: 2_000,
        max_wait: std::time::Duration::from_secs(10),
        ttft_target: std::time::Duration::from_secs(10),
        avoid: Vec::new(),
        isolated: false,
        versions: VersionConstraint::Any,
        time_left: std::time::Duration::from_secs(60),
        longest_gap: std::time::Duration::ZERO,
        digest: None,
    };
    scheduler.enqueue(req, now).expect("there is room");
    let actions = scheduler.decide(now);
    assert!(matches!(actions[..], [Action::Start { .. }]), "there is room: {actions:?}");
}

fn ticket(number: u64) -> Ticket {
    Ticket { entry: 1, number }
}
