//! How an endpoint is opened again after it has rejected requests.

use std::time::Duration;

use googletest::prelude::*;

use super::circuit::Circuit;
use crate::units::Instant;

fn ms(ms: u64) -> Instant {
    Instant(1_000_000 + ms * 1_000)
}

/// One that rejected a request at the start and named this many milliseconds.
fn rejected(retry_after_ms: u64) -> Circuit {
    let mut circuit = Circuit::new();
    circuit.on_rejection(Some(Duration::from_millis(retry_after_ms)), ms(0));
    circuit
}

/// Requests that may be sent at the same time before one is answered.
fn admitted(mut circuit: Circuit, now: Instant) -> usize {
    let mut count = 0;
    while circuit.admits(now) && count < 100 {
        circuit.on_sent(now);
        count += 1;
    }
    count
}

fn sent(mut circuit: Circuit, now: Instant) -> Circuit {
    circuit.on_sent(now);
    circuit
}

#[gtest]
fn it_is_the_last_resort_for_the_time_that_it_names() {
    let circuit = rejected(3_000);

    expect_true!(circuit.is_last_resort(ms(2_999)));
    expect_false!(circuit.is_last_resort(ms(3_000)));
}

#[gtest]
fn without_a_time_each_rejection_in_a_row_doubles_the_pause_up_to_a_bound() {
    let mut circuit = Circuit::new();
    let mut pauses = Vec::new();
    let mut now = ms(0);

    for _ in 0..7 {
        circuit.on_rejection(None, now);
        pauses.push(circuit.until().since(now).as_millis());
        now = circuit.until();
    }

    expect_that!(
        pauses,
        elements_are![
            eq(&250),
            eq(&500),
            eq(&1_000),
            eq(&2_000),
            eq(&4_000),
            eq(&4_000),
            eq(&4_000)
        ]
    );
}

#[gtest]
fn once_the_time_is_over_it_is_sent_one_request_and_twice_as_many_after_each_answer() {
    let mut circuit = rejected(100);
    let mut admitted_at_once = vec![admitted(circuit, ms(100))];

    for step in 0..5 {
        let now = ms(100 + step);
        circuit.on_sent(now);
        circuit.on_end(now, true);
        admitted_at_once.push(admitted(circuit, now));
    }

    expect_that!(admitted_at_once, elements_are![eq(&1), eq(&2), eq(&4), eq(&8), eq(&16), eq(&16)]);
    expect_true!(circuit.is_over(ms(200)));
}

#[gtest]
fn a_request_that_ends_without_an_answer_makes_room_for_one_other() {
    let mut circuit = sent(rejected(100), ms(150));

    circuit.on_end(ms(150), false);

    expect_that!(admitted(circuit, ms(160)), eq(1));
}

#[gtest]
fn an_answer_to_a_request_from_before_the_rejection_says_nothing() {
    let mut circuit = Circuit::new();
    circuit.on_sent(ms(0));
    circuit.on_rejection(Some(Duration::from_secs(1)), ms(10));
    circuit.on_sent(ms(20));

    circuit.on_end(ms(0), true);

    expect_false!(circuit.admits(ms(30)));
}

#[gtest]
fn a_request_whose_end_is_never_told_keeps_no_other_away_for_long() {
    let circuit = sent(rejected(100), ms(100));

    expect_false!(circuit.admits(ms(10_099)));
    expect_true!(circuit.admits(ms(10_100)));
}

#[gtest]
fn nothing_is_left_of_a_rejection_after_a_while() {
    let circuit = rejected(100);

    expect_false!(circuit.is_over(ms(30_099)));
    expect_true!(circuit.is_over(ms(30_100)));
}
