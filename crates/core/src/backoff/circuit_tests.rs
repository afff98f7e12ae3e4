//! Recovery of an endpoint's circuit after rejections.

use std::time::Duration;

use googletest::prelude::*;

use super::circuit::Circuit;
use crate::units::Instant;

fn ms(ms: u64) -> Instant {
    Instant(1_000_000 + ms * 1_000)
}

/// A circuit with a rejection at time 0 that named this back-off.
fn rejected(retry_after_ms: u64) -> Circuit {
    let mut circuit = Circuit::new();
    circuit.on_rejection(Some(Duration::from_millis(retry_after_ms)), ms(0));
    circuit
}

/// Requests that may be sent before one is answered.
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
fn endpoint_is_a_last_resort_during_its_back_off() {
    let circuit = rejected(3_000);

    expect_true!(circuit.is_last_resort(ms(2_999)));
    expect_false!(circuit.is_last_resort(ms(3_000)));
}

#[gtest]
fn default_back_off_doubles_up_to_a_maximum() {
    let mut circuit = Circuit::new();
    let mut backoffs = Vec::new();
    let mut now = ms(0);

    for _ in 0..7 {
        circuit.on_rejection(None, now);
        backoffs.push(circuit.until().since(now).as_millis());
        now = circuit.until();
    }

    expect_that!(
        backoffs,
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
fn unanswered_limit_doubles_with_each_answer() {
    let mut circuit = rejected(100);
    let mut admitted_at_once = vec![admitted(circuit, ms(100))];

    for step in 0..5 {
        let now = ms(100 + step);
        circuit.on_sent(now);
        circuit.on_end(now, true);
        admitted_at_once.push(admitted(circuit, now));
    }

    expect_that!(admitted_at_once, elements_are![eq(&1), eq(&2), eq(&4), eq(&8), eq(&16), eq(&16)]);
    expect_true!(circuit.is_reset(ms(200)));
}

#[gtest]
fn unanswered_request_that_ends_admits_one_more() {
    let mut circuit = sent(rejected(100), ms(150));

    circuit.on_end(ms(150), false);

    expect_that!(admitted(circuit, ms(160)), eq(1));
}

#[gtest]
fn answers_to_requests_before_the_rejection_are_ignored() {
    let mut circuit = Circuit::new();
    circuit.on_sent(ms(0));
    circuit.on_rejection(Some(Duration::from_secs(1)), ms(10));
    circuit.on_sent(ms(20));

    circuit.on_end(ms(0), true);

    expect_false!(circuit.admits(ms(30)));
}

#[gtest]
fn lost_responses_block_requests_for_a_limited_time() {
    let circuit = sent(rejected(100), ms(100));

    expect_false!(circuit.admits(ms(10_099)));
    expect_true!(circuit.admits(ms(10_100)));
}

#[gtest]
fn circuit_resets_after_a_time() {
    let circuit = rejected(100);

    expect_false!(circuit.is_reset(ms(30_099)));
    expect_true!(circuit.is_reset(ms(30_100)));
}
