//! Endpoints that are cold, by their own word or since their data hall is back.

use googletest::prelude::*;

use super::{
    Registry,
    tests::{HEARTBEAT, record, seconds},
};
use crate::{config::Config, units::Instant, wire::EndpointRecord};

#[gtest]
fn an_endpoint_is_cold_for_as_long_as_its_heartbeat_says() {
    let mut registry = Registry::new(HEARTBEAT);
    let cold = EndpointRecord { cold_ms: 900, ..record("a", 1, false) };

    registry.apply(cold, seconds(1));

    let until: Vec<Instant> = registry.cold_endpoints().map(|(_, until)| until).collect();
    expect_that!(until, elements_are![eq(&Instant(1_900_000))]);
}

#[gtest]
fn an_endpoint_that_becomes_cold_again_is_news_and_one_that_warms_up_is_not() {
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
fn the_endpoints_of_a_hall_that_is_back_are_taken_for_cold() {
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
fn what_an_endpoint_says_in_an_answer_holds_for_the_run_that_says_it() {
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
