//! Requests that end whatever engine runs them, with real processes.

mod support;

use googletest::prelude::*;
use serde_json::{Value, json};
use support::{KEY, Site, Size};

/// Engines end under a request with this text.
const DEADLY: &str = "{\"fault\":\"die_under\",\"text\":\"deadly\"}";
/// Tries of it; each may be sent to several engines.
const TRIES: usize = 9;

fn chat(site: &Site, daemon: usize, text: &str) -> (u16, Value) {
    let messages = json!([{ "role": "user", "content": text }]);
    let body = json!({ "model": "tutor-llm", "messages": messages, "emulated_length": 3 });
    let url = format!("{}/v1/chat/completions", site.callers(daemon));
    let result = ureq::post(&url)
        .set("Authorization", &format!("Bearer {KEY}"))
        .send_string(&body.to_string());
    let response = match result {
        Ok(response) | Err(ureq::Error::Status(_, response)) => response,
        Err(e) => panic!("{e}"),
    };
    (response.status(), response.into_json().unwrap_or_default())
}

/// A site whose engines end under a marked request.
fn site() -> Site {
    let site = Site::start(Size { engines: 4, ..Size::default() });
    for i in 1..=site.size.engines {
        site.fault(&format!("engine-{i}"), DEADLY);
    }
    site
}

/// Sends the deadly request through one daemon after the other; returns how many engines ended.
fn insist(site: &mut Site, tries: usize) -> usize {
    let mut ended = 0;
    for n in 0..tries {
        chat(site, n % site.size.daemons + 1, "deadly");
        ended += site.restart_engines(DEADLY);
    }
    ended
}

fn suspects(site: &Site, daemon: usize) -> Value {
    let output = site.cli(daemon, &["--json", "suspects", "list"]);
    serde_json::from_slice(&output.stdout).unwrap()
}

#[gtest]
fn a_request_under_which_three_engines_have_ended_is_sent_to_none_any_more() {
    let mut site = site();

    let ended = insist(&mut site, TRIES);

    expect_that!(ended, eq(3));
    for daemon in 1..=3 {
        let (status, answer) = chat(&site, daemon, "deadly");
        expect_that!(status, eq(503), "{answer}");
        expect_that!(answer["error"]["code"], eq(&json!("quarantined")));
        expect_that!(answer["error"]["outcome"], eq(&json!("not_run")));
        let (status, answer) = chat(&site, daemon, "harmless");
        expect_that!(status, eq(200), "{answer}");
    }
}

#[gtest]
fn an_operator_sees_it_and_clears_it() {
    let mut site = site();
    insist(&mut site, TRIES);
    let listed = suspects(&site, 1);
    expect_that!(listed[0]["quarantined"], eq(&json!(true)), "{listed}");
    let request = listed[0]["request"].as_str().unwrap().to_owned();

    let cleared = site.cli(2, &["suspects", "clear", &request]);
    let again = site.cli(2, &["suspects", "clear", &request]);
    let ended = insist(&mut site, 1);

    let text = |output: &std::process::Output| String::from_utf8_lossy(&output.stdout).into_owned();
    expect_that!(text(&cleared), contains_substring("may be sent to endpoints again"));
    expect_that!(text(&again), contains_substring("nothing has changed"));
    expect_that!(ended, gt(0));
}

#[gtest]
fn a_request_that_an_engine_ended_under_is_not_told_that_it_has_not_run() {
    let site = Site::start(Size { engines: 1, ..Size::default() });
    site.fault("engine-1", DEADLY);

    let (status, answer) = chat(&site, 1, "deadly");

    expect_that!(status, eq(502), "{answer}");
    expect_that!(answer["error"]["outcome"], eq(&json!("unknown")), "{answer}");
}

#[gtest]
fn what_operators_send_wrongly_changes_nothing_and_is_told_so() {
    let site = Site::start(Size { daemons: 1, replicas: 1, ..Size::default() });
    let cases = [
        ("POST", "/v1/suspects", 405, "send GET"),
        ("DELETE", "/v1/suspects/5f0c", 422, "32 hexadecimal digits"),
        ("GET", "/v1/suspects/00000000000000000000000000000000", 405, "send DELETE"),
        ("GET", "/v1/suspectsx", 404, "there is no"),
    ];
    for (method, path, status, message) in cases {
        let (got, answer) = site.operate(1, method, path);

        expect_that!(got, eq(status), "{method} {path} {answer}");
        expect_that!(answer["error"]["message"].as_str().unwrap(), contains_substring(message));
    }
}
