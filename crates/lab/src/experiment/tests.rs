//! Tests of the experiment tool.

use std::time::Duration;

use googletest::prelude::*;

use super::{
    Trouble,
    compare::policy,
    sim::{self, RunOptions},
    trace::{Mix, arrivals},
};
use crate::engine::EngineSpec;

const LENGTH: Duration = Duration::from_secs(30);

fn options(arrivals: &[super::trace::Arrival], trouble: Trouble) -> RunOptions<'_> {
    RunOptions {
        mix: Mix::Magnolia,
        engines: 2,
        spec: EngineSpec::default(),
        arrivals,
        length: LENGTH,
        warm_up: Duration::ZERO,
        trouble,
    }
}

#[gtest]
fn one_seed_gives_one_result() {
    let trace = arrivals(Mix::Magnolia, 8.0, LENGTH, 3);
    let run = || sim::run(&options(&trace, Trouble::None), policy("forecast").unwrap());

    let (a, b) = (run(), run());

    expect_that!(a.completed, eq(b.completed));
    expect_that!(a.gap_ms(0.99), eq(b.gap_ms(0.99)));
    expect_that!(a.stall_seconds, eq(b.stall_seconds));
}

#[gtest]
fn every_arrival_is_completed_given_up_or_cut_off() {
    let trace = arrivals(Mix::Abay, 30.0, LENGTH, 4);
    for name in ["forecast", "round-robin", "least-outstanding", "first-fit"] {
        let options = options(&trace, Trouble::EngineDeath);
        let figures = sim::run(&options, policy(name).unwrap());
        let ended = figures.completed + figures.given_up + figures.cut_off;
        expect_that!(ended, eq(trace.len() as u64), "{name}");
    }
}
