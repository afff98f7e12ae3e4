//! Tests of how operations are sent again.

use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;

use super::{
    CallId, Outbox, Output, VmName,
    operations::{Operations, SUBMIT_LIMIT},
};
use crate::{
    state::ConfigChange,
    units::Instant,
    wire::{Body, OperationKind, Submit},
};

const NOW: Instant = Instant(1_000_000);

/// Operations of a daemon that has asked the leader to accept a change of this size.
struct Asked {
    operations: Operations,
    leader: VmName,
    out: Outbox,
}

impl Asked {
    fn with_change_of(bytes: usize) -> Asked {
        let delta = Bytes::from(vec![0; bytes]);
        let command = ConfigChange { version: 1, base: 0, hash: Bytes::new(), delta };
        let kind = OperationKind::Submit(Submit { command, ..Submit::default() });
        let leader: VmName = "leader".into();
        let mut asked =
            Asked { operations: Operations::numbered_from(1), leader, out: Outbox::default() };
        let (operations, leader) = (&mut asked.operations, Some(&asked.leader));
        operations.start(CallId(1), kind, SUBMIT_LIMIT, leader, NOW, &mut asked.out);
        asked
    }

    /// How often it was sent until then, with a tick every 50 ms.
    fn sent_within(&mut self, time: Duration) -> usize {
        let steps = time.as_millis() / 50;
        for step in 1..=steps {
            let now = NOW.after(Duration::from_millis(50) * step as u32);
            self.operations.tick(Some(&self.leader), now, &mut self.out);
        }
        let is_sent = |output: &&Output| matches!(output, Output::Send(_, Body::Operation(_)));
        self.out.outputs.iter().filter(is_sent).count()
    }
}

#[gtest]
fn a_small_file_that_is_not_answered_is_sent_again_soon() {
    let mut asked = Asked::with_change_of(1_000);

    expect_that!(asked.sent_within(Duration::from_millis(800)), eq(2));
}

#[gtest]
fn a_large_file_is_not_sent_again_while_it_may_be_on_its_way() {
    let mut asked = Asked::with_change_of(645_000);

    expect_that!(asked.sent_within(Duration::from_millis(1_600)), eq(1));
    expect_that!(asked.sent_within(Duration::from_millis(2_000)), eq(2));
}
