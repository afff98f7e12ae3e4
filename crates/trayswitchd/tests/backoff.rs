//! Endpoints that ask daemons to back off, with real processes.

mod support;

use googletest::prelude::*;
use serde_json::json;
use support::{Site, Size};

/// More back-off than a test lasts.
const REJECTS: &str = "{\"fault\":\"backoff\",\"retry_after\":100}";
const TAKES: &str = "{\"fault\":\"backoff\",\"retry_after\":null}";
/// Requests, through one daemon after the other.
const REQUESTS: usize = 30;

/// Sends requests that are all answered while an endpoint rejects; returns how many have come there.
fn send_all(site: &Site, rejecting: &str, path: &str, body: &serde_json::Value) -> usize {
    site.fault(rejecting, REJECTS);
    for n in 0..REQUESTS {
        let (status, answer) = site.post(n % site.size.daemons + 1, path, body);
        assert_that!(status, eq(200), "{answer}");
    }
    site.turned_away(rejecting)
}

#[gtest]
fn no_daemon_sends_more_calls_to_an_endpoint_that_has_asked_it_to_back_off() {
    let site = Site::start(Size::default());

    let got = send_all(&site, "service-1", "/v1/services/booking-desk/confirm", &json!({}));

    expect_that!(got, le(site.size.daemons));
}

#[gtest]
fn no_daemon_sends_more_generations_to_an_engine_that_has_asked_it_to_back_off() {
    let site = Site::start(Size::default());
    let messages = json!([{ "role": "user", "content": "hello" }]);
    let body = json!({ "model": "tutor-llm", "messages": messages, "emulated_length": 3 });

    let got = send_all(&site, "engine-1", "/v1/chat/completions", &body);

    expect_that!(got, le(site.size.daemons));
}

#[gtest]
fn a_call_is_refused_at_once_where_every_endpoint_has_asked_for_back_off() {
    let site = Site::start(Size::default());
    let services: Vec<String> = (1..=site.size.services).map(|n| format!("service-{n}")).collect();
    services.iter().for_each(|name| site.fault(name, REJECTS));
    let path = "/v1/services/booking-desk/confirm";
    let first = site.post(1, path, &json!({}));
    let before: usize = services.iter().map(|name| site.turned_away(name)).sum();

    let (status, answer) = site.post(1, path, &json!({}));
    let after: usize = services.iter().map(|name| site.turned_away(name)).sum();
    services.iter().for_each(|name| site.fault(name, TAKES));

    expect_that!(first.0, eq(503));
    expect_that!(before, ge(1));
    expect_that!(status, eq(503), "{answer}");
    expect_that!(answer, contains_substring("overloaded"));
    expect_that!(after, eq(before));
}
