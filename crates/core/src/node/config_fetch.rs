//! Fetches a configuration change from a control VM, piece by piece.
//!
//! The daemon requests a window of pieces and one more for each piece received. Control VMs keep no
//! state per daemon, and each daemon receives a change at its own pace.

use std::time::Duration;

use super::{Outbox, VmName};
use crate::{
    config::Delta,
    state::{AcceptedChange, ChangeId, EncodedDelta},
    units::Instant,
    wire::{Body, Fetch, Piece},
};

/// Window of requested pieces: two cover a round trip on the slowest links, the third a busy
/// thread. Two keep a link of 10 Mbit/s busy over a round trip of 3 ms.
pub(super) const PREFETCH_PIECES: u64 = 3;
/// Timeout for the first piece, after which another control VM is tried: one that is partitioned
/// from the leader has nothing to send. Grows with each source tried, in case all are slow. Five
/// round trips and pieces on a link of 10 Mbit/s.
const FIRST_PIECE_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout for each further piece, and the upper bound for the first.
const PIECE_TIMEOUT: Duration = Duration::from_secs(1);

/// A completed fetch, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FetchSummary {
    /// The version that was fetched.
    pub version: u64,
    /// The version that it goes on from; zero for a whole document.
    pub base: u64,
    /// Number of pieces that it had.
    pub pieces: u64,
    /// Number of messages that asked for pieces.
    pub requests: u32,
    /// Number of control VMs tried, one after the other.
    pub sources: u32,
    /// Time from the first request to the last piece.
    pub took: Duration,
}

/// A fetch in progress.
#[derive(Debug)]
pub(super) struct ConfigFetch {
    from: VmName,
    /// Version that the change applies to; zero for a whole document.
    base: u64,
    /// The oldest version that may be activated.
    at_least: u64,
    /// The change being received, once a piece has arrived.
    change_id: Option<ChangeId>,
    /// Contents of the pieces received so far.
    delta: Delta,
    /// Number of the next piece to receive.
    next_piece: u64,
    last_activity: Instant,
    /// Number of control VMs tried.
    sources_tried: u32,
    started_at: Instant,
    requests: u32,
}

/// Result of receiving a piece.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum PieceOutcome {
    /// More pieces follow, or the piece was a duplicate.
    Partial,
    /// The change is complete.
    Complete(AcceptedChange),
    /// The piece could not be decoded.
    Invalid,
}

impl ConfigFetch {
    /// Starts to fetch the changes since version `base`, or the whole document if that is zero, to a version
    /// that is no older than `at_least`.
    pub(super) fn start(
        from: VmName,
        base: u64,
        at_least: u64,
        now: Instant,
        out: &mut Outbox,
    ) -> ConfigFetch {
        let (change_id, delta) = (None, Delta::default());
        let mut fetch = ConfigFetch {
            from,
            base,
            at_least,
            change_id,
            delta,
            next_piece: 0,
            last_activity: now,
            sources_tried: 1,
            started_at: now,
            requests: 0,
        };
        fetch.request(0, PREFETCH_PIECES, out);
        fetch
    }

    /// The control VM currently fetched from.
    pub(super) fn from(&self) -> &VmName {
        &self.from
    }

    /// Version that the change applies to; zero for a whole document.
    pub(super) fn base(&self) -> u64 {
        self.base
    }

    /// When the current source times out.
    pub(super) fn timeout_at(&self) -> Instant {
        let timeout = if self.next_piece == 0 {
            FIRST_PIECE_TIMEOUT * self.sources_tried
        } else {
            PIECE_TIMEOUT
        };
        self.last_activity.after(timeout.min(PIECE_TIMEOUT))
    }

    /// Continues at another control VM from the next piece.
    pub(super) fn switch_source(&mut self, from: VmName, now: Instant, out: &mut Outbox) {
        self.from = from;
        self.last_activity = now;
        self.sources_tried += 1;
        self.request(self.next_piece, PREFETCH_PIECES, out);
    }

    /// Adds a piece and requests another one.
    pub(super) fn on_piece(
        &mut self,
        piece: Piece,
        now: Instant,
        out: &mut Outbox,
    ) -> PieceOutcome {
        let is_current = self.change_id.as_ref() == Some(&piece.change);
        if !is_current && piece.number == 0 {
            self.change_id = Some(piece.change.clone());
            self.delta = Delta::default();
            self.next_piece = 0;
        } else if !is_current || piece.number != self.next_piece {
            // A duplicate, or a late piece from an earlier source.
            return PieceOutcome::Partial;
        }
        self.last_activity = now;
        let Ok(delta) = EncodedDelta::read(piece.delta) else { return PieceOutcome::Invalid };
        self.delta.changed.extend(delta.changed);
        self.delta.removed.extend(delta.removed);
        self.next_piece += 1;
        if piece.last {
            let delta = std::mem::take(&mut self.delta);
            return PieceOutcome::Complete(AcceptedChange { id: piece.change, delta });
        }
        self.request(self.next_piece + PREFETCH_PIECES - 1, 1, out);
        PieceOutcome::Partial
    }

    /// What it took to get the change.
    pub(super) fn summary(&self, now: Instant) -> FetchSummary {
        FetchSummary {
            version: self.change_id.as_ref().map_or(0, |id| id.version),
            base: self.base,
            pieces: self.next_piece,
            requests: self.requests,
            sources: self.sources_tried,
            took: now.since(self.started_at),
        }
    }

    fn request(&mut self, first: u64, count: u64, out: &mut Outbox) {
        self.requests += 1;
        let begun = self.change_id.clone();
        let fetch = Fetch { after: self.base, begun, first, count, at_least: self.at_least };
        out.send(&self.from, Body::Fetch(fetch));
    }
}
