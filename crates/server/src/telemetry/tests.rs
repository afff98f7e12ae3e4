//! Tests of log lines and metrics.

use std::{io::Write, sync::mpsc::sync_channel, time::Duration};

use googletest::prelude::*;

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

    let text = metrics.text().unwrap();

    for line in text.lines().filter_map(|line| line.strip_prefix("# HELP ")) {
        let name = line.split(' ').next().unwrap();
        expect_that!(catalogue, contains_substring(format!("`{name}`")));
    }
}
