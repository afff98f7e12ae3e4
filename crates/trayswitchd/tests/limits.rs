//! Endpoints that name how many requests a second they take, with real processes.

mod support;

use std::time::Instant;

use googletest::prelude::*;
use serde_json::{Value, json};
use support::{Site, Size};

/// What the first endpoint takes in a second: so little that hardly any other comes while a test lasts.
const LIMIT: f64 = 0.2;
const IN_NEED: &str = "{\"fault\":\"limit\",\"per_second\":0.2}";
/// Requests, through one daemon after the other.
const REQUESTS: usize = 30;

/// Sends requests that are all answered; returns how many the endpoint in need has got, and how many it may.
fn send_all(site: &Site, needy: &str, path: &str, body: &Value) -> (usize, usize) {
    site.fault(needy, IN_NEED);
    let began = Instant::now();
    for n in 0..REQUESTS {
        let (status, answer) = site.post(n % site.size.daemons + 1, path, body);
        assert_that!(status, eq(200), "{answer}");
    }
    // The one that was told of it, one at once, and what the limit allows.
    (site.runs(needy), 2 + (LIMIT * began.elapsed().as_secs_f64()) as usize)
}

#[gtest]
fn calls_through_all_daemons_keep_to_the_limit_that_an_endpoint_names() {
    let site = Site::start(Size::default());

    let (got, allowed) =
        send_all(&site, "service-1", "/v1/services/booking-desk/confirm", &json!({}));

    expect_that!(got, le(allowed));
}

#[gtest]
fn generations_through_all_daemons_keep_to_the_limit_that_an_engine_names() {
    let site = Site::start(Size::default());
    let messages = json!([{ "role": "user", "content": "hello" }]);
    let body = json!({ "model": "tutor-llm", "messages": messages, "emulated_length": 3 });

    let (got, allowed) = send_all(&site, "engine-1", "/v1/chat/completions", &body);

    expect_that!(got, le(allowed));
}
