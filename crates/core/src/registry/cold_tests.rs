//! Cold starts that endpoints report or that follow a return to service.

use googletest::prelude::*;

use super::{
    Registry,
    tests::{HEARTBEAT, record, seconds},
};
use crate::{config::Config, units::Instant, wire::EndpointRecord};

#[gtest]
fn endpoint_is_cold_as_long_as_reported() {
    let mut registry = Registry::new(HEARTBEAT);
    let cold = EndpointRecord { cold_ms: 900, ..record("a", 1, false) };

    registry.apply(cold, seconds(1));

    let until: Vec<Instant> = registry.cold_endpoints().map(|(_, until)| until).collect();
    expect_that!(until, elements_are![eq(&Instant(1_900_000))]);
}

#[gtest]
fn only_a_new_cold_start_is_forwarded() {
    let mut registry = Registry::new(HEARTBEAT);
    let with = |sequence, cold_ms| EndpointRecord { cold_ms, ..record("a", sequence, false) };
    registry.apply(with(1, 1_500), seconds(0));

    let warming = registry.apply(with(2, 350), Instant(1_200_000));
    let warm = registry.apply(with(3, 0), Instant(2_400_000));
    let again = registry.apply(with(4, 1_000), Instant(3_600_000));

    expect_that!(warming, none());
    expect_that!(warm, none());
    expect_that!(again, some(anything()));
    let until: Vec<Instant> = registry.cold_endpoints().map(|(_, until)| until).collect();
    expect_that!(until, elements_are![eq(&Instant(4_600_000))]);
}

#[gtest]
fn endpoints_of_a_restored_hall_are_cold() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply(record("a", 1, false), seconds(0));
    let text = "[deployment]\nname = d\nversion = 1\n[tier t]\nrank = 1\n\
                [service s]\ncold_start = 2s\ncold_interval = 50ms\n";
    let config = Config::parse("c.ini", text).unwrap();

    registry.on_hall_restored("elsewhere", &config, seconds(9));
    let other = registry.cold_endpoints().count();
    registry.on_hall_restored("h", &config, seconds(9));

    expect_that!(other, eq(0));
    let until: Vec<Instant> = registry.cold_endpoints().map(|(_, until)| until).collect();
    expect_that!(until, elements_are![eq(&seconds(11))]);
}

#[gtest]
fn cold_start_applies_to_the_reporting_run_only() {
    let mut registry = Registry::new(HEARTBEAT);
    let run = EndpointRecord { born: 5, ..record("a", 1, false) };
    registry.apply(run, seconds(1));
    let before = registry.revision();

    registry.mark_cold("a", 4, seconds(3));
    let of_another = registry.cold_endpoints().count();
    registry.mark_cold("a", 5, seconds(3));

    expect_that!(of_another, eq(0));
    let until: Vec<Instant> = registry.cold_endpoints().map(|(_, until)| until).collect();
    expect_that!(until, elements_are![eq(&seconds(3))]);
    expect_that!(registry.revision(), eq(before + 1));
}
