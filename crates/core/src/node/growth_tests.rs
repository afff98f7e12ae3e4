//! Work and traffic of a node in fleets of several sizes. Guards against costs that grow faster than
//! the fleet.

use googletest::prelude::*;

use super::{
    Input, Node, Output,
    endpoint_tests::{clocks, leader},
};
use crate::wire::{Body, Poll};

/// Lets this many daemons poll a leader four times each within a short time; returns the counts of
/// all daemons.
fn counts_for_polls(daemons: usize) -> u64 {
    let mut node: Node = leader();
    let counts = |node: &Node| node.control.as_ref().map_or(0, |control| control.daemon_counts());
    let before = counts(&node);
    let mut replies = 0;
    for round in 0..4 {
        for n in 0..daemons {
            let poll = Poll { nonce: round, takes_callers: true, ..Poll::default() };
            let input =
                Input::Message(format!("10.9.{}.{}", n / 250, n % 250).into(), Body::Poll(poll));
            let outputs = node.handle(input, clocks(3_000 + round));
            let is_reply = |output: &&Output| matches!(output, Output::Send(_, Body::PollReply(_)));
            replies += outputs.iter().filter(is_reply).count();
        }
    }
    assert_that!(replies, eq(daemons * 4));
    counts(&node) - before
}

/// A leader that counts all daemons for each poll spends time in proportion to their square.
#[gtest]
fn polls_do_not_count_all_daemons_each_time() {
    for daemons in [10, 100, 1_000] {
        expect_that!(counts_for_polls(daemons), le(2), "{daemons} daemons");
    }
}
