//! The whole path: callers, daemons, endpoints, operators.

mod support;

use googletest::prelude::*;
use serde_json::{Value, json};
use support::{KEY, Site, Size, violations};

#[gtest]
fn two_hundred_streams_at_once_are_delivered_whole_through_one_daemon() {
    let site = Site::start(Size { daemons: 1, replicas: 1, ..Size::default() });

    let report = site.load(
        &[1],
        &["--streams", "200", "--calls", "50", "--concurrency", "250", "--length", "40"],
    );

    expect_that!(report["chats"]["answered"], eq(&json!(200)), "{report}");
    expect_that!(report["calls"]["answered"], eq(&json!(50)), "{report}");
    expect_that!(violations(&report).len(), eq(0), "{report}");
}

fn post(site: &Site, path: &str, key: &str, body: &str) -> (u16, Value) {
    let url = format!("{}{path}", site.callers(1));
    let result = ureq::post(&url).set("Authorization", &format!("Bearer {key}")).send_string(body);
    let response = match result {
        Ok(response) | Err(ureq::Error::Status(_, response)) => response,
        Err(e) => panic!("{e}"),
    };
    (response.status(), response.into_json().unwrap_or_default())
}

#[gtest]
fn bad_input_gets_a_clear_error_and_loses_nothing() {
    let site = Site::start(Size { daemons: 1, replicas: 1, ..Size::default() });
    let chat = "/v1/chat/completions";
    let messages = json!([{ "role": "user", "content": "hello" }]);
    let good = json!({ "model": "tutor-llm", "messages": messages, "emulated_length": 3 });
    let mut unknown = good.clone();
    unknown["model"] = json!("nobody");
    let large = "x".repeat((1 << 20) + 1);
    let cases = [
        (chat, "wrong", good.to_string(), 401, "unauthorized"),
        (chat, KEY, unknown.to_string(), 404, "not_found"),
        (chat, KEY, "{".into(), 400, "bad_request"),
        (
            chat,
            KEY,
            json!({ "model": "tutor-llm", "messages": [] }).to_string(),
            400,
            "bad_request",
        ),
        (chat, KEY, large, 413, "too_large"),
        ("/v1/services/booking-desk/nothing", KEY, "{}".into(), 404, "not_found"),
        ("/nowhere", KEY, "{}".into(), 404, "not_found"),
    ];
    for (path, key, body, status, code) in cases {
        let (got, answer) = post(&site, path, key, &body);
        expect_that!(got, eq(status), "{path} {answer}");
        expect_that!(answer["error"]["code"], eq(&json!(code)), "{answer}");
        expect_that!(answer["error"]["outcome"], eq(&json!("refused")), "{answer}");
    }

    let (status, answer) = post(&site, chat, KEY, &good.to_string());
    expect_that!(status, eq(200), "{answer}");
    expect_that!(answer["usage"]["completion_tokens"], eq(&json!(3)));
}

#[gtest]
fn a_faulty_file_is_refused_whole_with_every_fault_named() {
    let site = Site::start(Size { daemons: 1, replicas: 1, ..Size::default() });
    let file = site.config(2, "a");
    let text = std::fs::read_to_string(&file).unwrap();
    let broken = text.replace("rank = 1", "rang = 1").replace("weight = 5", "weight = many");
    std::fs::write(&file, broken).unwrap();

    let output = site.submit(1, &file);

    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    expect_that!(output.status.code(), some(eq(3)));
    for part in ["[tier gold] rank:", "[tier gold] rang: unknown key", "[kind chat] weight:"] {
        expect_that!(message, contains_substring(part));
    }
    expect_that!(site.version(1), eq(1));
}
