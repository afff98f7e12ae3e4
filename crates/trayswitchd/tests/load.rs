//! What operators see of the load, with real processes.

mod support;

use googletest::prelude::*;
use serde_json::{Value, json};
use support::{Site, Size};

/// Sends one generation through each daemon.
fn chat_everywhere(site: &Site) {
    let messages = json!([{ "role": "user", "content": "hello" }]);
    let body = json!({ "model": "tutor-llm", "messages": messages, "emulated_length": 3 });
    for daemon in 1..=site.size.daemons {
        let (status, answer) = site.post(daemon, "/v1/chat/completions", &body);
        assert_that!(status, eq(200), "{answer}");
    }
}

/// Guards against a view that misses requests of other daemons, or that daemons without the lead give.
#[gtest]
fn the_leader_shows_the_requests_of_all_daemons_and_others_show_none() {
    let site = Site::start(Size::default());
    let leader = site.leader().unwrap();

    chat_everywhere(&site);
    let (status, load) = site.operate(leader, "GET", "/v1/load");
    let table = site.cli(leader, &["load"]);
    let (refused, message) = site.operate(leader % 3 + 1, "GET", "/v1/load");

    let rows: Vec<&Value> = load["requests"]
        .as_array()
        .unwrap()
        .iter()
        .filter(|r| r["service"] == "tutor-llm")
        .collect();
    let total = |key: &str| rows.iter().map(|row| row[key].as_u64().unwrap()).sum::<u64>();
    expect_that!(status, eq(200), "{load}");
    expect_that!((total("asked"), total("started")), eq((3, 3)), "{load}");
    expect_that!((total("rejected"), total("waiting")), eq((0, 0)), "{load}");
    let engines = load["services"].as_array().unwrap().iter().find(|s| s["service"] == "tutor-llm");
    expect_that!(engines.map(|s| s["endpoints"].as_u64()), some(some(ge(1))), "{load}");
    let text = String::from_utf8_lossy(&table.stdout);
    expect_that!(text, contains_regex("tutor-llm .* 3 +3 +0 "), "{text}");
    expect_that!(refused, eq(409));
    expect_that!(
        message["error"]["message"].as_str().unwrap(),
        contains_substring("does not lead")
    );
}
