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
pub(super) const AHEAD: u64 = 3;
/// Without a first piece for this long, another control VM is asked: one that is cut off from the
/// leader has nothing to send. Five round trips and pieces on a link of 10 Mbit/s; each further
/// control VM has as much longer, for a fleet in which all are slow.
const FIRST_PATIENCE: Duration = Duration::from_millis(150);
/// The same once pieces have come.
const PATIENCE: Duration = Duration::from_secs(1);

/// A change that is being fetched.
#[derive(Debug)]
pub(super) struct Fetching {
    from: VmName,
    /// The version that it is to go on from; zero for a whole document.
    base: u64,
    /// The change that the pieces belong to, once one has come.
    begun: Option<ChangeId>,
    /// What the pieces hold that have come.
    delta: Delta,
    /// Number of the piece that is expected.
    next: u64,
    heard: Instant,
    /// Control VMs that were asked.
    asked: u32,
}

/// What came of a piece.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Taken {
    /// More are to come.
    Part,
    /// The change is whole.
    Whole(AcceptedChange),
    /// It cannot be read.
    Broken,
}

impl Fetching {
    /// Begins to fetch what follows a version, or a whole document if that is zero.
    pub(super) fn begin(from: VmName, base: u64, now: Instant, out: &mut Outbox) -> Fetching {
        let (begun, delta) = (None, Delta::default());
        let fetching = Fetching { from, base, begun, delta, next: 0, heard: now, asked: 1 };
        fetching.ask(0, AHEAD, out);
        fetching
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
    pub(super) fn patience_ends(&self) -> Instant {
        let patience = if self.next == 0 { FIRST_PATIENCE * self.asked } else { PATIENCE };
        self.heard.after(patience.min(PATIENCE))
    }

    /// Goes on at another control VM, from the piece that is expected.
    pub(super) fn go_on(&mut self, from: VmName, now: Instant, out: &mut Outbox) {
        self.from = from;
        self.heard = now;
        self.asked += 1;
        self.ask(self.next, AHEAD, out);
    }

    /// Takes a piece.
    pub(super) fn take(&mut self, piece: Piece, now: Instant, out: &mut Outbox) -> Taken {
        let known = self.begun.as_ref() == Some(&piece.change);
        if !known && piece.number == 0 {
            self.begun = Some(piece.change.clone());
            self.delta = Delta::default();
            self.next = 0;
        } else if !known || piece.number != self.next {
            // Asked of a control VM before, or come twice.
            return Taken::Part;
        }
        self.heard = now;
        let Ok(delta) = EncodedDelta::read(piece.delta) else { return Taken::Broken };
        self.delta.changed.extend(delta.changed);
        self.delta.removed.extend(delta.removed);
        self.next += 1;
        if piece.last {
            let delta = std::mem::take(&mut self.delta);
            return Taken::Whole(AcceptedChange { id: piece.change, delta });
        }
        self.ask(self.next + AHEAD - 1, 1, out);
        Taken::Part
    }

    fn ask(&self, first: u64, count: u64, out: &mut Outbox) {
        let fetch = Fetch { after: self.base, begun: self.begun.clone(), first, count };
        out.send(&self.from, Body::Fetch(fetch));
    }
}
