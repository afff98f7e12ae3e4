//! Tests of retrying operations.

use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;

use super::{
    CallId, Outbox, Output, VmName,
    operations::{Operations, SUBMIT_TIMEOUT},
};
use crate::{
    state::ConfigChange,
    units::Instant,
    wire::{Body, OperationKind, Submit},
};

const NOW: Instant = Instant(1_000_000);

/// A daemon that has submitted a configuration change to the leader.
struct Submission {
    operations: Operations,
    leader: VmName,
    out: Outbox,
}

impl Submission {
    fn with_size(bytes: usize) -> Submission {
        let delta = Bytes::from(vec![0; bytes]);
        let command = ConfigChange { version: 1, base: 0, hash: Bytes::new(), delta };
        let kind = OperationKind::Submit(Submit { command, ..Submit::default() });
        let leader: VmName = "leader".into();
        let mut submission =
            Submission { operations: Operations::numbered_from(1), leader, out: Outbox::default() };
        let (operations, leader) = (&mut submission.operations, Some(&submission.leader));
        operations.start(CallId(1), kind, SUBMIT_TIMEOUT, leader, NOW, &mut submission.out);
        submission
    }

    /// Number of times it is sent within this time, with a tick every 50 ms.
    fn sends_within(&mut self, time: Duration) -> usize {
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
fn small_file_is_retried_soon() {
    let mut submission = Submission::with_size(1_000);

    expect_that!(submission.sends_within(Duration::from_millis(800)), eq(2));
}

#[gtest]
fn large_file_is_retried_after_transfer_time() {
    let mut submission = Submission::with_size(645_000);

    expect_that!(submission.sends_within(Duration::from_millis(1_600)), eq(1));
    expect_that!(submission.sends_within(Duration::from_millis(2_000)), eq(2));
}
