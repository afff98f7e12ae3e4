//! Parsing of valid and invalid rate limits.

use std::time::Duration;

use googletest::prelude::*;

use super::{InvalidRateLimit, RateLimit, limit::MAX_INTERVAL};

fn parse(text: &str) -> std::result::Result<f64, InvalidRateLimit> {
    text.parse::<RateLimit>().map(RateLimit::per_second)
}

#[gtest]
fn decimal_numbers_are_parsed() {
    expect_that!(parse("2.9"), ok(eq(2.9)));
    expect_that!(parse(" 12 "), ok(eq(12.0)));
    expect_that!(parse("0"), ok(eq(0.0)));
    expect_that!(parse("1e300"), ok(eq(1e300)));
}

#[gtest]
fn invalid_limits_are_rejected_with_a_reason() {
    expect_that!(parse(""), err(eq(InvalidRateLimit::NotANumber)));
    expect_that!(parse("2,9"), err(eq(InvalidRateLimit::NotANumber)));
    expect_that!(parse("many"), err(eq(InvalidRateLimit::NotANumber)));
    expect_that!(parse("-1"), err(eq(InvalidRateLimit::Negative)));
    expect_that!(parse("NaN"), err(eq(InvalidRateLimit::NotFinite)));
    expect_that!(parse("inf"), err(eq(InvalidRateLimit::NotFinite)));
    expect_that!(parse("1e999"), err(eq(InvalidRateLimit::NotFinite)));
}

#[gtest]
fn repeated_values_are_rejected() {
    expect_that!(
        RateLimit::from_values(["3", "4"].into_iter()),
        err(eq(InvalidRateLimit::Repeated))
    );
    expect_that!(RateLimit::from_values([].into_iter()), ok(none()));
}

#[gtest]
fn interval_is_the_inverse_rate_within_bounds() {
    let interval = |per_second| RateLimit::new(per_second).unwrap().interval();

    expect_that!(interval(4.0), eq(Duration::from_millis(250)));
    expect_that!(interval(0.0), eq(MAX_INTERVAL));
    expect_that!(interval(1e-300), eq(MAX_INTERVAL));
    expect_that!(interval(1e300), eq(Duration::ZERO));
}
