//! Limits as endpoints write them, well and badly.

use std::time::Duration;

use googletest::prelude::*;

use super::{InvalidRateLimit, RateLimit, limit::MAX_INTERVAL};

fn read(text: &str) -> std::result::Result<f64, InvalidRateLimit> {
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
    expect_that!(read(""), err(eq(InvalidRateLimit::NotANumber)));
    expect_that!(read("2,9"), err(eq(InvalidRateLimit::NotANumber)));
    expect_that!(read("many"), err(eq(InvalidRateLimit::NotANumber)));
    expect_that!(read("-1"), err(eq(InvalidRateLimit::Negative)));
    expect_that!(read("NaN"), err(eq(InvalidRateLimit::NotFinite)));
    expect_that!(read("inf"), err(eq(InvalidRateLimit::NotFinite)));
    expect_that!(read("1e999"), err(eq(InvalidRateLimit::NotFinite)));
}

#[gtest]
fn of_two_none_holds() {
    expect_that!(
        RateLimit::from_values(["3", "4"].into_iter()),
        err(eq(InvalidRateLimit::Repeated))
    );
    expect_that!(RateLimit::from_values([].into_iter()), ok(none()));
}

#[gtest]
fn the_time_between_two_requests_follows_and_is_bounded() {
    let interval = |per_second| RateLimit::new(per_second).unwrap().interval();

    expect_that!(interval(4.0), eq(Duration::from_millis(250)));
    expect_that!(interval(0.0), eq(MAX_INTERVAL));
    expect_that!(interval(1e-300), eq(MAX_INTERVAL));
    expect_that!(interval(1e300), eq(Duration::ZERO));
}
