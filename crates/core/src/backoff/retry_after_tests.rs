//! `Retry-After` as endpoints write it, well and badly.

use std::time::{Duration, SystemTime};

use googletest::prelude::*;

use super::{InvalidRetryAfter, MAX_BACKOFF, RetryAfter};

/// Sunday, 6 November 1994, 08:49:37 UTC.
const NOW: Duration = Duration::from_secs(784_111_777);

fn read(values: &[&str]) -> std::result::Result<Option<Duration>, InvalidRetryAfter> {
    read_answered(values, None)
}

fn read_answered(
    values: &[&str],
    answered: Option<&str>,
) -> std::result::Result<Option<Duration>, InvalidRetryAfter> {
    let now = SystemTime::UNIX_EPOCH + NOW;
    let read = RetryAfter::from_values(values.iter().copied(), answered, now)?;
    Ok(read.map(RetryAfter::duration))
}

#[gtest]
fn seconds_are_read_with_fractions() {
    expect_that!(read(&["3"]), ok(some(eq(Duration::from_secs(3)))));
    expect_that!(read(&[" 0.25 "]), ok(some(eq(Duration::from_millis(250)))));
    expect_that!(read(&["0"]), ok(some(eq(Duration::ZERO))));
    expect_that!(read(&[]), ok(none()));
}

#[gtest]
fn a_date_counts_from_that_of_the_answer_or_from_now() {
    let later = read(&["Sun, 06 Nov 1994 08:49:40 GMT"]);
    let past = read(&["Sun, 06 Nov 1994 08:49:30 GMT"]);
    let slow_clock =
        read_answered(&["Sun, 06 Nov 1994 07:00:02 GMT"], Some("Sun, 06 Nov 1994 07:00:00 GMT"));

    expect_that!(later, ok(some(eq(Duration::from_secs(3)))));
    expect_that!(past, ok(some(eq(Duration::ZERO))));
    expect_that!(slow_clock, ok(some(eq(Duration::from_secs(2)))));
}

#[gtest]
fn no_more_than_the_longest_back_off_is_believed() {
    expect_that!(read(&["3600"]), ok(some(eq(MAX_BACKOFF))));
    expect_that!(read(&["1e300"]), ok(some(eq(MAX_BACKOFF))));
    expect_that!(read(&["Sat, 06 Nov 2094 08:49:37 GMT"]), ok(some(eq(MAX_BACKOFF))));
}

#[gtest]
fn what_is_no_time_is_told_apart() {
    expect_that!(read(&[""]), err(eq(InvalidRetryAfter::InvalidFormat)));
    expect_that!(read(&["soon"]), err(eq(InvalidRetryAfter::InvalidFormat)));
    expect_that!(read(&["-1"]), err(eq(InvalidRetryAfter::Negative)));
    expect_that!(read(&["NaN"]), err(eq(InvalidRetryAfter::NotFinite)));
    expect_that!(read(&["inf"]), err(eq(InvalidRetryAfter::NotFinite)));
    expect_that!(read(&["1e999"]), err(eq(InvalidRetryAfter::NotFinite)));
    expect_that!(read(&["3", "3"]), err(eq(InvalidRetryAfter::Repeated)));
}
