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
