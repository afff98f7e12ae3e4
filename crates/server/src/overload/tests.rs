//! The memory budget.

use bytes::Bytes;
use googletest::prelude::*;

use super::{BudgetExhausted, MemoryBudget};
use crate::telemetry::Metrics;

const KB: usize = 1_024;

fn budget(limit: usize) -> std::sync::Arc<MemoryBudget> {
    MemoryBudget::new(limit, Metrics::new().unwrap().buffers())
}

fn bytes(len: usize) -> Bytes {
    Bytes::from(vec![0; len])
}

#[gtest]
fn large_buffers_leave_half_of_the_budget_to_small_ones() {
    let budget = budget(1_000 * KB);
    let mut large = budget.reservation();

    let first = large.resize(500 * KB);
    let grown = large.resize(501 * KB);
    let small: Vec<_> = (0..8).map(|_| budget.hold(bytes(64 * KB)).is_ok()).collect();

    expect_that!(first, ok(anything()));
    expect_that!(grown, err(eq(BudgetExhausted)));
    expect_that!(small.iter().filter(|is_held| **is_held).count(), eq(8));
}

#[gtest]
fn budget_is_never_exceeded() {
    let budget = budget(100 * KB);

    let held: Vec<_> = (0..30).filter_map(|_| budget.hold(bytes(9 * KB)).ok()).collect();

    expect_that!(held.len(), eq(11));
}

#[gtest]
fn bytes_count_until_the_last_part_of_them_is_dropped() {
    let budget = budget(10 * KB);
    let held = budget.hold(bytes(10 * KB)).unwrap();
    let part = held.slice(..1);

    drop(held);
    let while_part_is_kept = budget.hold(bytes(1)).is_ok();
    drop(part);
    let after = budget.hold(bytes(10 * KB)).is_ok();

    expect_that!((while_part_is_kept, after), eq((false, true)));
}
