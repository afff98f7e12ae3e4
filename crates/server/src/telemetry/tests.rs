//! Tests of log lines and metrics.

use std::{io::Write, sync::mpsc::sync_channel, time::Duration};

use googletest::prelude::*;
use trayswitch_core::placement::{LoadSnapshot, RequestLoad, ServiceLoad};

use super::{
    Metrics,
    lines::{Budgets, LINES_PER_EVENT, Queue},
};

#[gtest]
fn a_reader_that_stalls_holds_up_no_line() {
    let (tx, rx) = sync_channel(2);
    let mut queue = Queue { tx };

    for _ in 0..10_000 {
        queue.write_all(b"a line\n").unwrap();
    }

    expect_that!(rx.try_iter().count(), eq(2));
}

#[gtest]
fn an_event_has_a_budget_for_each_second() {
    let mut budgets = Budgets::default();

    let first = (0..1_000).filter(|_| budgets.take(310, 1)).count();
    let other = budgets.take(311, 1);
    let next_second = budgets.take(310, 2);

    expect_that!(first, eq(LINES_PER_EVENT as usize));
    expect_that!((other, next_second), eq((true, true)));
}

#[gtest]
fn metrics_are_told_in_the_common_text_form() {
    let metrics = Metrics::new().unwrap();

    metrics.request("w", "chat", "answered", Duration::from_millis(80));
    metrics.moved("moved");
    let text = metrics.text().unwrap();

    let request = r#"trayswitch_requests_total{cause="answered",kind="chat",workspace="w"} 1"#;
    expect_that!(text, contains_substring(request));
    expect_that!(text, contains_substring(r#"trayswitch_moves_total{end="moved"} 1"#));
    expect_that!(text, contains_substring("trayswitch_request_seconds_bucket"));
}

#[gtest]
fn every_metric_is_in_the_catalogue() {
    let catalogue = include_str!("../../../../docs/METRICS.md");
    let metrics = Metrics::new().unwrap();
    metrics.request("w", "k", "c", Duration::ZERO);
    metrics.attempt("s", "e");
    metrics.moved("e");
    metrics.first_event("k", Duration::ZERO);
    metrics.node_input("i", Duration::ZERO);
    metrics.timer_late(Duration::ZERO);
    metrics.change_sent("h", 1, 1);
    metrics.link_write(Duration::ZERO);
    metrics.load(&load());

    let text = metrics.text().unwrap();

    for line in text.lines().filter_map(|line| line.strip_prefix("# HELP ")) {
        let name = line.split(' ').next().unwrap();
        expect_that!(catalogue, contains_substring(format!("`{name}`")));
    }
}

/// A load with one row of each table, and a request that was rejected.
fn load() -> LoadSnapshot {
    let requests = RequestLoad {
        service: "m".into(),
        kind: "chat".into(),
        workspace: "w".into(),
        rejected: 3,
        next_return_ms: Some(600),
        ..RequestLoad::default()
    };
    let services =
        ServiceLoad { service: "m".into(), hall: "a".into(), full: 2, ..ServiceLoad::default() };
    LoadSnapshot { window_s: 10, requests: vec![requests], services: vec![services] }
}

/// Guards against a former leader that goes on showing its last load.
#[gtest]
fn the_load_is_shown_until_the_next_one() {
    let metrics = Metrics::new().unwrap();

    metrics.load(&load());
    let leading = metrics.text().unwrap();
    metrics.load(&LoadSnapshot::default());
    let after = metrics.text().unwrap();

    let rejected =
        r#"trayswitch_load_requests{kind="chat",service="m",what="rejected",workspace="w"} 3"#;
    let full = r#"trayswitch_load_endpoints{hall="a",service="m",state="full"} 2"#;
    expect_that!(leading, contains_substring(rejected));
    expect_that!(leading, contains_substring(full));
    expect_that!(leading, contains_substring("trayswitch_load_next_return_ms"));
    expect_that!(after, not(contains_substring("trayswitch_load_")));
}
