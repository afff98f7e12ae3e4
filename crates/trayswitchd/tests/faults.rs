//! Once, whole and true: with real processes that are killed, frozen, cut and stopped.

mod support;

use googletest::prelude::*;
use serde_json::{Value, json};
use support::{Site, Size, report, violations};

const MIXED: [&str; 8] =
    ["--streams", "150", "--calls", "150", "--concurrency", "60", "--length", "120"];

fn answered(report: &Value, what: &str) -> u64 {
    report[what]["answered"].as_u64().unwrap_or(0)
}

/// Waits until load has reached the endpoints.
fn wait_for_load(site: &Site) {
    site.wait("requests are in progress", |site| {
        (1..=site.size.daemons).any(|i| site.status(i).is_some_and(|s| s["requests"] != 0))
    });
}

#[gtest]
fn cut_streams_are_resumed_without_a_token_lost_or_doubled() {
    let site = Site::start(Size::default());
    let load = site.start_load(&[1, 2, 3], &MIXED);
    wait_for_load(&site);
    site.fault("engine-1", "{\"fault\":\"cut\",\"count\":40}");
    site.fault("engine-2", "{\"fault\":\"cut\",\"count\":40}");

    let report = report(load);

    expect_that!(violations(&report).len(), eq(0), "{report}");
    expect_that!(answered(&report, "chats"), eq(150), "{report}");
}

#[gtest]
fn a_killed_engine_ends_shown_streams_with_an_error_and_nothing_else_is_lost() {
    let mut site = Site::start(Size::default());
    let load = site.start_load(&[1, 2, 3], &MIXED);
    wait_for_load(&site);
    site.kill("engine-1");

    let report = report(load);

    expect_that!(violations(&report).len(), eq(0), "{report}");
    expect_that!(answered(&report, "calls"), eq(150), "{report}");
    let cut_off = report["chats"]["cut_off"].as_u64().unwrap_or(0);
    expect_that!(answered(&report, "chats") + cut_off, eq(150), "{report}");
}

#[gtest]
fn a_leaving_engine_finishes_what_it_runs_and_gets_nothing_new() {
    let site = Site::start(Size::default());
    let load = site.start_load(&[1, 2, 3], &MIXED);
    wait_for_load(&site);
    site.fault("engine-1", "{\"fault\":\"leave\"}");

    let report = report(load);

    expect_that!(violations(&report).len(), eq(0), "{report}");
    expect_that!(answered(&report, "chats"), eq(150), "{report}");
}

#[gtest]
fn a_call_that_may_not_be_repeated_runs_once_though_answers_are_dropped() {
    let site = Site::start(Size::default());
    site.fault("service-1", "{\"fault\":\"drop_answer\",\"count\":30}");
    site.fault("service-2", "{\"fault\":\"refuse\",\"count\":30}");

    let report = site.load(&[1, 2, 3], &["--calls", "300", "--concurrency", "30"]);

    expect_that!(violations(&report).len(), eq(0), "{report}");
    expect_that!(report["calls"]["unknown"], eq(&json!(30)), "{report}");
    expect_that!(answered(&report, "calls"), eq(270), "{report}");
}

#[gtest]
fn a_killed_leader_doubles_no_call_and_no_token() {
    let mut site = Site::start(Size { daemons: 5, ..Size::default() });
    let leader = site.leader().unwrap();
    let load = site.start_load(&[4, 5], &MIXED);
    wait_for_load(&site);
    site.kill(&format!("vm-{leader}"));

    let report = report(load);

    expect_that!(violations(&report).len(), eq(0), "{report}");
    expect_that!(answered(&report, "chats"), eq(150), "{report}");
}

#[gtest]
fn a_killed_entry_daemon_doubles_no_call_though_callers_resend_elsewhere() {
    let mut site = Site::start(Size { daemons: 5, ..Size::default() });
    let load = site.start_load(&[4, 5], &MIXED);
    wait_for_load(&site);
    site.kill("vm-4");

    let report = report(load);

    expect_that!(violations(&report).len(), eq(0), "{report}");
}

#[gtest]
fn a_planned_stop_of_the_leader_cuts_off_nothing() {
    let mut site = Site::start(Size::default());
    let leader = site.leader().unwrap();
    let load =
        site.start_load(&[leader], &["--streams", "40", "--concurrency", "40", "--length", "400"]);
    site.wait("all streams run", |site| site.status(leader).is_some_and(|s| s["requests"] == 40));
    site.signal(&format!("vm-{leader}"), "TERM");

    let report = report(load);

    expect_that!(site.wait_for_end(&format!("vm-{leader}")), eq(true));
    expect_that!(violations(&report).len(), eq(0), "{report}");
    expect_that!(answered(&report, "chats"), eq(40), "{report}");
}

#[gtest]
fn a_generation_that_is_gone_ends_in_an_explicit_error_after_its_tokens() {
    let site = Site::start(Size {
        daemons: 1,
        replicas: 1,
        engines: 1,
        step_us: 20_000,
        ..Size::default()
    });
    let load =
        site.start_load(&[1], &["--streams", "10", "--concurrency", "10", "--length", "400"]);
    site.wait("all streams have tokens", |site| {
        site.status(1).is_some_and(|s| s["classes"][0]["first_token_ms"]["count"] == 10)
    });
    site.fault("engine-1", "{\"fault\":\"forget\"}");

    let report = report(load);

    expect_that!(report["chats"], eq(&json!({ "cut_off": 10 })), "{report}");
    expect_that!(report["codes"], eq(&json!({ "generation_lost": 10 })), "{report}");
    expect_that!(report["retry_after"], eq(&json!(10)), "{report}");
    expect_that!(violations(&report).len(), eq(0), "{report}");
}

#[gtest]
fn stopping_and_starting_every_daemon_in_turn_cuts_off_nothing() {
    let mut site = Site::start(Size { daemons: 4, step_us: 4_000, ..Size::default() });
    let load = site.start_load(
        &[1, 2, 3, 4],
        &[
            "--balance",
            "--streams",
            "700",
            "--calls",
            "700",
            "--concurrency",
            "30",
            "--length",
            "60",
        ],
    );
    wait_for_load(&site);
    for i in 1..=4 {
        let name = format!("vm-{i}");
        site.signal(&name, "TERM");
        expect_that!(site.wait_for_end(&name), eq(true), "{name}");
        site.start_daemon(i);
        site.wait("it is ready again", |site| site.ready(i));
    }

    let report = report(load);

    expect_that!(violations(&report).len(), eq(0), "{report}");
    expect_that!(answered(&report, "chats"), eq(700), "{report}");
    expect_that!(answered(&report, "calls"), eq(700), "{report}");
}
