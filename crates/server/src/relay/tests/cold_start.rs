//! Cold-start rate limiting of calls across many daemons.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use googletest::prelude::*;
use trayswitch_core::{
    config::ColdStart, mechanism::Disabled, placement::SenderRole, registry::RegisteredEndpoint,
    units::Instant,
};

use crate::relay::load_balancer::{ColdStartPolicy, LoadBalancer, Outcome};

/// The rate that a cold endpoint is configured for, and the one that overloads it, in requests per
/// second.
const COLD_RPS: u32 = 20;
const OVERLOAD_RPS: usize = 35;
const SECOND: Duration = Duration::from_secs(1);

fn endpoint(n: usize, cold_until: Option<Instant>) -> RegisteredEndpoint {
    RegisteredEndpoint {
        id: format!("e{n}").into(),
        service: "desk".into(),
        address: format!("10.0.0.{}:80", n + 1).parse().unwrap(),
        hall: "h".into(),
        available: true,
        hall_out: false,
        cold_until,
        started_at: 0,
        sequence: 1,
        software_version: None,
    }
}

fn policy(daemons: u64, now: Instant) -> ColdStartPolicy {
    let limits = ColdStart { duration: SECOND, min_interval: SECOND / COLD_RPS };
    ColdStartPolicy { limits, senders: SenderRole::one_of(daemons), now }
}

/// Sends a request if an endpoint may take it; returns the endpoint.
fn send(
    load_balancer: &LoadBalancer,
    endpoints: &[RegisteredEndpoint],
    policy: &ColdStartPolicy,
) -> Option<Arc<str>> {
    let open = load_balancer.retain_sendable(endpoints.to_vec(), Some(policy));
    let selected = load_balancer.select(&open, &[], "h")?;
    drop(load_balancer.start_request(&selected.id, Some(policy)));
    Some(selected.id)
}

fn most_in_a_second(sent_at: &[Instant]) -> usize {
    let mut window = VecDeque::new();
    let mut most = 0;
    for at in sent_at {
        window.push_back(*at);
        while window.front().is_some_and(|first: &Instant| first.after(SECOND) <= *at) {
            window.pop_front();
        }
        most = most.max(window.len());
    }
    most
}

#[gtest]
fn cold_rate_limit_holds_across_daemons() {
    fastrand::seed(7);
    for daemons in [1, 7, 64, 300] {
        let all: Vec<LoadBalancer> =
            (0..daemons).map(|_| LoadBalancer::new(Disabled::default())).collect();
        let endpoints = [endpoint(0, Some(Instant(0).after(SECOND * 5)))];
        let mut sent_at = Vec::new();
        for at in 0..500 {
            let now = Instant(at * 10_000);
            for load_balancer in &all {
                sent_at.extend(send(load_balancer, &endpoints, &policy(daemons, now)).map(|_| now));
            }
        }

        expect_that!(most_in_a_second(&sent_at), le(OVERLOAD_RPS), "{daemons} daemons");
        expect_that!(sent_at.len(), ge(25), "{daemons} daemons: used in 5 s");
    }
}

#[gtest]
fn warm_endpoint_is_selected_while_cold_one_is_paced() {
    fastrand::seed(8);
    let load_balancer = LoadBalancer::new(Disabled::default());
    let endpoints = [endpoint(0, Some(Instant(0).after(SECOND))), endpoint(1, None)];
    let selected: Vec<Arc<str>> =
        (0..50).filter_map(|_| send(&load_balancer, &endpoints, &policy(64, Instant(0)))).collect();

    expect_that!(selected.len(), eq(50));
    expect_that!(selected.iter().filter(|id| &***id == "e0").count(), le(1));
}

#[gtest]
fn unreachable_endpoint_is_cold_on_retry() {
    fastrand::seed(9);
    let load_balancer = LoadBalancer::new(Disabled::default());
    let endpoints = [endpoint(0, None)];
    load_balancer.record_outcome(&"e0".into(), Outcome::Unreachable);

    let selected =
        (0..50).filter_map(|_| send(&load_balancer, &endpoints, &policy(64, Instant(0))));

    expect_that!(selected.count(), le(1));
}

#[gtest]
fn warm_endpoint_is_not_paced() {
    fastrand::seed(10);
    let load_balancer = LoadBalancer::new(Disabled::default());
    let endpoints = [endpoint(0, Some(Instant(0).after(SECOND)))];
    send(&load_balancer, &endpoints, &policy(64, Instant(0)));

    let warm = policy(64, Instant(0).after(SECOND));
    let selected = (0..50).filter_map(|_| send(&load_balancer, &endpoints, &warm));

    expect_that!(selected.count(), eq(50));
}
