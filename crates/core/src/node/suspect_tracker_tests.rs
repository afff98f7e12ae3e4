//! How many suspects a daemon says that it knows of.

use googletest::prelude::*;

use super::{
    FailedAttempt, Outbox, Output, ProbeOutcome,
    operations::Operations,
    suspect_tracker::{Context, SuspectTracker},
};
use crate::{
    quarantine::RequestDigest,
    registry::Registry,
    units::{Instant, UnixMillis},
    wire::{SuspectChange, SuspectNews, SuspectsReply},
};

const HEARTBEAT: std::time::Duration = std::time::Duration::from_secs(1);
const REQUEST: [u8; 16] = [7; 16];
/// The number of the first operation, and of the change by which the end is put on record.
const OPERATION: u64 = 1;
const CHANGE: u64 = 1;

/// A daemon that has seen an endpoint end under a request, and what it has told so far.
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
        let broke_off = FailedAttempt {
            request: RequestDigest::from_slice(&REQUEST).unwrap(),
            endpoint: "e".into(),
            started_at: Some(0),
            probe: ProbeOutcome::ConnectionRefused,
            trial: None,
        };
        daemon.with(|suspects, cx, out| suspects.on_failed_attempt(broke_off, cx, out));
        daemon
    }

    fn with(&mut self, act: impl FnOnce(&mut SuspectTracker, &mut Context<'_>, &mut Outbox)) {
        let mut cx = Context {
            leader: None,
            operations: &mut self.operations,
            registry: &self.registry,
            now: Instant(1),
            wall: UnixMillis(1),
        };
        act(&mut self.suspects, &mut cx, &mut self.out);
    }

    /// The leader's answer: the end is on record.
    fn is_answered(&mut self) {
        let reply = SuspectsReply { number: CHANGE, changed: true };
        self.with(|suspects, cx, out| suspects.on_crash_recorded(OPERATION, reply, cx, out));
    }

    /// The leader's word to all daemons.
    fn is_told(&mut self) {
        let request = REQUEST.to_vec().into();
        let changes = vec![SuspectChange { request, ended: 1, in_trials: 0 }];
        let news = SuspectNews { after: 0, up_to: CHANGE, reset: false, more: false, changes };
        self.with(|suspects, _, out| suspects.on_news(&news, out));
    }

    /// The number of suspects that it has told last.
    fn last_told(&self) -> Option<usize> {
        let told = |output: &Output| match output {
            Output::Suspects { suspects, .. } => Some(*suspects),
            _ => None,
        };
        self.out.outputs.iter().rev().find_map(told)
    }
}

#[gtest]
fn suspect_counts_once_in_any_message_order() {
    let mut answered_first = Daemon::with_reported_crash();
    answered_first.is_answered();
    answered_first.is_told();
    let mut told_first = Daemon::with_reported_crash();
    told_first.is_told();
    let between = told_first.last_told();
    told_first.is_answered();

    expect_that!(answered_first.last_told(), some(eq(1)));
    expect_that!(between, some(eq(1)));
    expect_that!(told_first.last_told(), some(eq(1)));
}
