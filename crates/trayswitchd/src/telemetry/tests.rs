//! Tests of telemetry.

use std::time::Duration;

use googletest::prelude::*;

use super::*;

#[gtest]
fn every_event_is_in_the_catalogue() {
    let catalogue = include_str!("../../../../docs/EVENTS.md");

    for (id, meaning) in EventId::ALL {
        expect_that!(catalogue, contains_substring(format!("| {id} | {meaning} |")));
    }
}

#[gtest]
fn histograms_are_bounded_in_number() {
    let histograms = Histograms::default();
    for i in 0..2_000 {
        histograms.record(&format!("w{i}"), "chat", Measure::Total, Duration::from_millis(5));
    }

    expect_that!(histograms.report().len(), le(513));
}

#[gtest]
fn a_long_time_is_recorded_as_long() {
    let histograms = Histograms::default();
    histograms.record("w", "chat", Measure::Total, Duration::from_secs(90));

    let report = serde_json::to_value(histograms.report()).unwrap();

    expect_that!(report[0]["total_ms"]["max"].as_f64().unwrap(), ge(89_000.0));
}
