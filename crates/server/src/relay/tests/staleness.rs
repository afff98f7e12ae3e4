//! The periods in which requests wait for a current configuration.

use std::time::Duration;

use googletest::prelude::*;
use trayswitch_clock::Instant;
use trayswitch_core::units;

use crate::relay::staleness::Staleness;

const CONFIRMED: Option<units::Instant> = Some(units::Instant(1));

#[gtest]
fn start_counts_as_stale() {
    let start = Instant::now();
    let staleness = Staleness::starting_at(start);

    let since = staleness.since(false, None, start + Duration::from_secs(1));

    expect_that!(since, some(eq(start)));
}

#[gtest]
fn confirmation_between_two_requests_ends_the_period() {
    let start = Instant::now();
    let staleness = Staleness::starting_at(start);
    let suspended = start + Duration::from_secs(60);

    let since = staleness.since(false, CONFIRMED, suspended);
    let later = staleness.since(false, CONFIRMED, suspended + Duration::from_secs(1));

    expect_that!(since, some(eq(suspended)));
    expect_that!(later, some(eq(suspended)));
}

#[gtest]
fn current_config_ends_the_period() {
    let start = Instant::now();
    let staleness = Staleness::starting_at(start);
    let lost = start + Duration::from_secs(30);

    let current = staleness.since(true, CONFIRMED, start + Duration::from_secs(1));
    let since = staleness.since(false, CONFIRMED, lost);

    expect_that!(current, none());
    expect_that!(since, some(eq(lost)));
}
