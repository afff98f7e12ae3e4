//! Tests of the published number of suspects.

use googletest::prelude::*;

use super::{
    FailedAttempt, Outbox, Output, ProbeOutcome,
    operations::Operations,
    suspect_tracker::{Context, SuspectTracker},
};
use crate::{
    quarantine::ContentDigest,
    registry::Registry,
    units::{Instant, UnixMillis},
    wire::{SuspectChange, SuspectNews},
};

const HEARTBEAT: std::time::Duration = std::time::Duration::from_secs(1);
const REQUEST: [u8; 16] = [7; 16];
/// Number of the first operation, and revision of the records that includes the crash.
const OPERATION: u64 = 1;
const CHANGE: u64 = 1;

/// A daemon that has reported a crash, and its outputs so far.
struct Daemon {
    suspects: SuspectTracker,
    operations: Operations,
    registry: Registry,
    out: Outbox,
}

impl Daemon {
    fn with_reported_crash() -> Daemon {
        let mut daemon = Daemon {
            suspects: SuspectTracker::default(),
            operations: Operations::numbered_from(OPERATION - 1),
            registry: Registry::new(HEARTBEAT),
            out: Outbox::default(),
        };
        let attempt = FailedAttempt {
            request: ContentDigest::from_slice(&REQUEST).unwrap(),
            parts: Vec::new(),
            endpoint: "e".into(),
            started_at: Some(0),
            probe: ProbeOutcome::ConnectionRefused,
            trial: None,
            trial_of: None,
        };
        daemon.with(|suspects, cx, out| suspects.on_failed_attempt(attempt, cx, out));
        daemon
    }

    fn with(&mut self, act: impl FnOnce(&mut SuspectTracker, &mut Context<'_>, &mut Outbox)) {
        let mut cx = Context {
            leader: None,
            operations: &mut self.operations,
            registry: &self.registry,
            is_control: false,
            now: Instant(1),
            wall: UnixMillis(1),
        };
        act(&mut self.suspects, &mut cx, &mut self.out);
    }

    /// Receives the leader's reply that the crash is recorded.
    fn receive_reply(&mut self) {
        self.with(|suspects, cx, out| suspects.on_crash_recorded(OPERATION, cx, out));
    }

    /// Receives the news that the leader broadcasts.
    fn receive_news(&mut self) {
        let request = REQUEST.to_vec().into();
        let changes = vec![SuspectChange { request, ended: 1, ..SuspectChange::default() }];
        let news = SuspectNews { after: 0, up_to: CHANGE, reset: false, more: false, changes };
        self.with(|suspects, _, out| suspects.on_news(&news, out));
    }

    /// The last published number of suspects.
    fn last_published(&self) -> Option<usize> {
        let suspects = |output: &Output| match output {
            Output::Suspects { suspects, .. } => Some(*suspects),
            _ => None,
        };
        self.out.outputs.iter().rev().find_map(suspects)
    }
}

#[gtest]
fn suspect_counts_once_in_any_message_order() {
    let mut reply_first = Daemon::with_reported_crash();
    reply_first.receive_reply();
    reply_first.receive_news();
    let mut news_first = Daemon::with_reported_crash();
    news_first.receive_news();
    let between = news_first.last_published();
    news_first.receive_reply();

    expect_that!(reply_first.last_published(), some(eq(1)));
    expect_that!(between, some(eq(1)));
    expect_that!(news_first.last_published(), some(eq(1)));
}
