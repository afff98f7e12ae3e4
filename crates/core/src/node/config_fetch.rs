//! Fetching a change of the configuration from a control VM, piece by piece.
//!
//! The daemon asks for a few pieces ahead and for one more with each that comes. So a change goes
//! to each daemon once, as fast as that daemon takes it, and a control VM keeps nothing for it.

use std::time::Duration;

use super::{Outbox, VmName};
use crate::{
    config::Delta,
    state::{AcceptedChange, ChangeId, EncodedDelta},
    units::Instant,
    wire::{Body, Fetch, Piece},
};

/// Pieces that are asked for ahead. Two keep a link of 10 Mbit/s busy over a round trip of 3 ms; a
/// third covers a thread that is busy otherwise. What is under way keeps such a link busy for 40 ms.
pub(super) const PREFETCH_PIECES: u64 = 3;
/// Without a first piece for this long, another control VM is asked: one that is cut off from the
/// leader has nothing to send. Five round trips and pieces on a link of 10 Mbit/s; each further
/// control VM has as much longer, for a fleet in which all are slow.
const FIRST_PIECE_TIMEOUT: Duration = Duration::from_millis(150);
/// The same once pieces have come.
const PIECE_TIMEOUT: Duration = Duration::from_secs(1);

/// A change that is being fetched.
#[derive(Debug)]
pub(super) struct ConfigFetch {
    from: VmName,
    /// The version that it is to go on from; zero for a whole document.
    base: u64,
    /// The change that the pieces belong to, once one has come.
    change_id: Option<ChangeId>,
    /// What the pieces hold that have come.
    delta: Delta,
    /// Number of the piece that is expected.
    next_piece: u64,
    last_activity: Instant,
    /// Control VMs that were asked.
    sources_tried: u32,
}

/// What came of a piece.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum PieceOutcome {
    /// More are to come.
    Partial,
    /// The change is whole.
    Complete(AcceptedChange),
    /// It cannot be read.
    Invalid,
}

impl ConfigFetch {
    /// Begins to fetch what follows a version, or a whole document if that is zero.
    pub(super) fn start(from: VmName, base: u64, now: Instant, out: &mut Outbox) -> ConfigFetch {
        let (change_id, delta) = (None, Delta::default());
        let fetch = ConfigFetch {
            from,
            base,
            change_id,
            delta,
            next_piece: 0,
            last_activity: now,
            sources_tried: 1,
        };
        fetch.request(0, PREFETCH_PIECES, out);
        fetch
    }

    /// The control VM that is asked.
    pub(super) fn from(&self) -> &VmName {
        &self.from
    }

    /// The version that the change is to go on from.
    pub(super) fn base(&self) -> u64 {
        self.base
    }

    /// When the control VM will have been silent for too long.
    pub(super) fn timeout_at(&self) -> Instant {
        let patience = if self.next_piece == 0 {
            FIRST_PIECE_TIMEOUT * self.sources_tried
        } else {
            PIECE_TIMEOUT
        };
        self.last_activity.after(patience.min(PIECE_TIMEOUT))
    }

    /// Goes on at another control VM, from the piece that is expected.
    pub(super) fn switch_source(&mut self, from: VmName, now: Instant, out: &mut Outbox) {
        self.from = from;
        self.last_activity = now;
        self.sources_tried += 1;
        self.request(self.next_piece, PREFETCH_PIECES, out);
    }

    /// Takes a piece.
    pub(super) fn on_piece(
        &mut self,
        piece: Piece,
        now: Instant,
        out: &mut Outbox,
    ) -> PieceOutcome {
        let known = self.change_id.as_ref() == Some(&piece.change);
        if !known && piece.number == 0 {
            self.change_id = Some(piece.change.clone());
            self.delta = Delta::default();
            self.next_piece = 0;
        } else if !known || piece.number != self.next_piece {
            // Asked of a control VM before, or come twice.
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

    fn request(&self, first: u64, count: u64, out: &mut Outbox) {
        let fetch = Fetch { after: self.base, begun: self.change_id.clone(), first, count };
        out.send(&self.from, Body::Fetch(fetch));
    }
}
