//! Tests of what becomes of requests that share a crashing part of their prompts.

use googletest::prelude::*;

use super::parts::{Counts, Play, Rule};

fn play(rule: Rule) -> Counts {
    Play::new(rule, 7, 8.0, 1).run()
}

#[gtest]
fn presence_alone_refuses_more_sound_requests_than_with_innocence() {
    expect_that!(play(Rule::Presence).refused, gt(4 * play(Rule::SharedInnocence).refused));
}

#[gtest]
fn trials_end_the_series_without_refusing_sound_requests() {
    let counts = play(Rule::Trials);

    expect_that!(counts.crashes, le(6));
    expect_that!(counts.refused, le(counts.sound / 100));
}
