//! Parsing of valid and invalid `Retry-After` values.

use std::time::{Duration, SystemTime};

use googletest::prelude::*;

use super::{InvalidRetryAfter, MAX_BACKOFF, RetryAfter};

/// Sunday, 6 November 1994, 08:49:37 UTC.
const NOW: Duration = Duration::from_secs(784_111_777);

fn parse(values: &[&str]) -> std::result::Result<Option<Duration>, InvalidRetryAfter> {
    parse_with_date(values, None)
}

fn parse_with_date(
    values: &[&str],
    response_date: Option<&str>,
) -> std::result::Result<Option<Duration>, InvalidRetryAfter> {
    let now = SystemTime::UNIX_EPOCH + NOW;
    let parsed = RetryAfter::from_values(values.iter().copied(), response_date, now)?;
    Ok(parsed.map(RetryAfter::duration))
}

#[gtest]
fn fractional_seconds_are_parsed() {
    expect_that!(parse(&["3"]), ok(some(eq(Duration::from_secs(3)))));
    expect_that!(parse(&[" 0.25 "]), ok(some(eq(Duration::from_millis(250)))));
    expect_that!(parse(&["0"]), ok(some(eq(Duration::ZERO))));
    expect_that!(parse(&[]), ok(none()));
}

#[gtest]
fn dates_are_relative_to_the_response_date_or_now() {
    let later = parse(&["Sun, 06 Nov 1994 08:49:40 GMT"]);
    let past = parse(&["Sun, 06 Nov 1994 08:49:30 GMT"]);
    let slow_clock =
        parse_with_date(&["Sun, 06 Nov 1994 07:00:02 GMT"], Some("Sun, 06 Nov 1994 07:00:00 GMT"));

    expect_that!(later, ok(some(eq(Duration::from_secs(3)))));
    expect_that!(past, ok(some(eq(Duration::ZERO))));
    expect_that!(slow_clock, ok(some(eq(Duration::from_secs(2)))));
}

#[gtest]
fn back_off_is_capped() {
    expect_that!(parse(&["3600"]), ok(some(eq(MAX_BACKOFF))));
    expect_that!(parse(&["1e300"]), ok(some(eq(MAX_BACKOFF))));
    expect_that!(parse(&["Sat, 06 Nov 2094 08:49:37 GMT"]), ok(some(eq(MAX_BACKOFF))));
}

#[gtest]
fn invalid_values_are_rejected_with_a_reason() {
    expect_that!(parse(&[""]), err(eq(InvalidRetryAfter::InvalidFormat)));
    expect_that!(parse(&["soon"]), err(eq(InvalidRetryAfter::InvalidFormat)));
    expect_that!(parse(&["-1"]), err(eq(InvalidRetryAfter::Negative)));
    expect_that!(parse(&["NaN"]), err(eq(InvalidRetryAfter::NotFinite)));
    expect_that!(parse(&["inf"]), err(eq(InvalidRetryAfter::NotFinite)));
    expect_that!(parse(&["1e999"]), err(eq(InvalidRetryAfter::NotFinite)));
    expect_that!(parse(&["3", "3"]), err(eq(InvalidRetryAfter::Repeated)));
}
