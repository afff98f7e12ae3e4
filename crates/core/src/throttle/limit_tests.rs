//! Limits as endpoints write them, well and badly.

use std::time::Duration;

use googletest::prelude::*;

use super::{BadLimit, RateLimit, limit::LONGEST_INTERVAL};

fn read(text: &str) -> std::result::Result<f64, BadLimit> {
    text.parse::<RateLimit>().map(RateLimit::per_second)
}

#[gtest]
fn decimal_numbers_are_read() {
    expect_that!(read("2.9"), ok(eq(2.9)));
    expect_that!(read(" 12 "), ok(eq(12.0)));
    expect_that!(read("0"), ok(eq(0.0)));
    expect_that!(read("1e300"), ok(eq(1e300)));
}

#[gtest]
fn what_is_no_limit_is_told_apart() {
    expect_that!(read(""), err(eq(BadLimit::NoNumber)));
    expect_that!(read("2,9"), err(eq(BadLimit::NoNumber)));
    expect_that!(read("many"), err(eq(BadLimit::NoNumber)));
    expect_that!(read("-1"), err(eq(BadLimit::Negative)));
    expect_that!(read("NaN"), err(eq(BadLimit::NotFinite)));
    expect_that!(read("inf"), err(eq(BadLimit::NotFinite)));
    expect_that!(read("1e999"), err(eq(BadLimit::NotFinite)));
}

#[gtest]
fn of_two_none_holds() {
    expect_that!(RateLimit::read(["3", "4"].into_iter()), err(eq(BadLimit::Several)));
    expect_that!(RateLimit::read([].into_iter()), ok(none()));
}

#[gtest]
fn the_time_between_two_requests_follows_and_is_bounded() {
    let interval = |per_second| RateLimit::new(per_second).unwrap().interval();

    expect_that!(interval(4.0), eq(Duration::from_millis(250)));
    expect_that!(interval(0.0), eq(LONGEST_INTERVAL));
    expect_that!(interval(1e-300), eq(LONGEST_INTERVAL));
    expect_that!(interval(1e300), eq(Duration::ZERO));
}
