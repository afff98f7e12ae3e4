//! Tests of the clock.

use std::{thread, time::Duration};

use googletest::prelude::*;

use super::{Instant, simulate_suspend};

#[gtest]
fn it_counts_the_time_in_which_the_vm_was_suspended() {
    let before = Instant::now();

    simulate_suspend(Duration::from_secs(5));

    expect_that!(before.elapsed(), ge(Duration::from_secs(5)));
}

#[gtest]
fn a_test_suspends_only_the_vm_of_its_own_thread() {
    let before = Instant::now();
    simulate_suspend(Duration::from_secs(3_600));

    let elsewhere = thread::spawn(Instant::now).join().unwrap();

    expect_that!(elsewhere - before, lt(Duration::from_secs(3_600)));
}
