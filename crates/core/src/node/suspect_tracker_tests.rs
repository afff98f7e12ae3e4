//! Tests of the published number of suspects and of the order of news.

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
        self.receive_reply_to(OPERATION, CHANGE);
    }

    /// Receives the leader's reply that an operation made this revision of the records.
    fn receive_reply_to(&mut self, operation: u64, revision: u64) {
        self.with(|suspects, cx, out| suspects.on_recorded(operation, revision, cx, out));
    }

    /// Receives the news of the crash that the leader broadcasts.
    fn receive_news(&mut self) {
        self.receive_news_of(CHANGE, 1);
    }

    /// Receives the news that the request had so many crashes as of this revision.
    fn receive_news_of(&mut self, revision: u64, ended: u32) {
        let request = REQUEST.to_vec().into();
        let changes = vec![SuspectChange { request, ended, ..SuspectChange::default() }];
        let (after, up_to) = (revision - 1, revision);
        let news = SuspectNews { after, up_to, reset: false, more: false, changes };
        self.with(|suspects, _, out| suspects.on_news(&news, out));
    }

    /// An endpoint answers the request well.
    fn answer_well(&mut self) {
        let request = ContentDigest::from_slice(&REQUEST).unwrap();
        self.with(|suspects, cx, out| suspects.on_sound_contents(&[request], cx, out));
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

#[gtest]
fn news_from_before_a_sound_answer_does_not_make_its_content_suspect_again() {
    let mut daemon = Daemon::with_reported_crash();

    daemon.answer_well();
    daemon.receive_news();

    expect_that!(daemon.last_published(), some(eq(0)));
}

#[gtest]
fn crash_after_a_sound_answer_counts() {
    let mut daemon = Daemon::with_reported_crash();
    daemon.answer_well();
    daemon.receive_news();

    daemon.receive_reply_to(OPERATION + 1, CHANGE + 1);
    daemon.receive_news_of(CHANGE + 1, 0);
    daemon.receive_news_of(CHANGE + 2, 1);

    expect_that!(daemon.last_published(), some(eq(1)));
}
