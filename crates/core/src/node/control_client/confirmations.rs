//! As of when the active configuration is current, by the leader's replies to polls.

use std::{collections::VecDeque, time::Duration};

use crate::{node::VersionHash, units::Instant};

/// Versions that are kept until this daemon has them. Without the oldest ones less is confirmed, never more.
const MAX_AHEAD: usize = 32;

/// The newest version at some time after a poll was sent.
#[derive(Debug, Clone, Copy)]
struct ConfirmedVersion {
    current: VersionHash,
    poll_sent_at: Instant,
}

/// What the leader's replies confirm.
///
/// A version that is superseded before this daemon has it confirms as well, or changes in quick succession would
/// leave a slow daemon unconfirmed; but for a shorter time, in which an accepted change may be missing.
#[derive(Debug)]
pub(super) struct Confirmations {
    /// The versions of replies, oldest first, from the active one on. Each has the last poll that it answered.
    versions: VecDeque<ConfirmedVersion>,
    as_of: Option<Instant>,
    /// By how much less a superseded version confirms.
    superseded_penalty: Duration,
}

impl Confirmations {
    /// For a daemon whose configuration is stale after this time without confirmation.
    pub(super) fn new(stale_after: Duration) -> Confirmations {
        let (versions, as_of) = Default::default();
        Confirmations { versions, as_of, superseded_penalty: stale_after / 2 }
    }

    /// Notes the reply to a poll that was sent at this time.
    pub(super) fn on_reply(&mut self, current: VersionHash, poll_sent_at: Instant) {
        match self.versions.back_mut() {
            Some(last) if last.current == current => last.poll_sent_at = poll_sent_at,
            _ => self.versions.push_back(ConfirmedVersion { current, poll_sent_at }),
        }
        if MAX_AHEAD < self.versions.len() {
            self.versions.pop_front();
        }
    }

    /// The last time as of which the active configuration is confirmed to be current.
    pub(super) fn as_of(&self) -> Option<Instant> {
        self.as_of
    }

    /// Takes the confirmations of the active configuration.
    pub(super) fn update(&mut self, active: VersionHash) {
        let has_same_content = |confirmed: &ConfirmedVersion| {
            confirmed.current.version != active.version || confirmed.current == active
        };
        let newest = self.versions.back().map_or(0, |confirmed| confirmed.current.version);
        // What is newer than the newest version, or has other content, was not accepted.
        let is_accepted = active.version <= newest && self.versions.iter().all(has_same_content);
        if active.version == 0 || !is_accepted {
            return;
        }
        while let Some(confirmed) = self.versions.front().copied()
            && confirmed.current.version <= active.version
        {
            self.versions.pop_front();
            let is_newest = self.versions.is_empty();
            let penalty = if is_newest { Duration::ZERO } else { self.superseded_penalty };
            let as_of = confirmed.poll_sent_at.before(penalty);
            self.as_of = self.as_of.max(Some(as_of));
        }
    }
}
