//! Tests of the clock during simulated suspensions.

use std::{thread, time::Duration};

use googletest::prelude::*;

use super::{Instant, simulate_suspend};

#[gtest]
fn clock_includes_suspension() {
    let before = Instant::now();

    simulate_suspend(Duration::from_secs(5));

    expect_that!(before.elapsed(), ge(Duration::from_secs(5)));
}

#[gtest]
fn simulated_suspension_is_per_thread() {
    let before = Instant::now();
    simulate_suspend(Duration::from_secs(3_600));

    let other_thread_now = thread::spawn(Instant::now).join().unwrap();

    expect_that!(other_thread_now - before, lt(Duration::from_secs(3_600)));
}
