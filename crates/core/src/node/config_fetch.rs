//! Fetches a configuration change from a control VM, piece by piece.
//!
//! The daemon asks for all pieces at once: each further question would wait until both daemons have run. The
//! control VM sends them as fast as the link takes them.

use std::{collections::BTreeSet, time::Duration};

use super::{Outbox, VmName};
use crate::{
    config::Delta,
    state::{AcceptedChange, ChangeId, EncodedDelta},
    units::Instant,
    wire::{Body, Fetch, Piece},
};

/// Pieces that a control VM is asked for in place of one that is late, until one of them has come. The late one
/// may still send all of them.
const TRIAL_PIECES: u64 = 3;
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
    /// The control VM that was asked for all pieces.
    from: VmName,
    /// The control VM asked last; another one than `from` while that is late.
    tried_last: VmName,
    /// Control VMs that may still send pieces.
    asked: BTreeSet<VmName>,
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
        let mut fetch = ConfigFetch {
            tried_last: from.clone(),
            asked: BTreeSet::new(),
            base,
            at_least,
            change_id: None,
            delta: Delta::default(),
            next_piece: 0,
            last_activity: now,
            sources_tried: 1,
            started_at: now,
            requests: 0,
            from,
        };
        fetch.request(&fetch.from.clone(), u64::MAX, out);
        fetch
    }

    /// The control VM asked last.
    pub(super) fn tried_last(&self) -> &VmName {
        &self.tried_last
    }

    /// Version that the change applies to; zero for a whole document.
    pub(super) fn base(&self) -> u64 {
        self.base
    }

    /// When the control VM asked last is late.
    pub(super) fn timeout_at(&self) -> Instant {
        let timeout = if self.next_piece == 0 {
            FIRST_PIECE_TIMEOUT * self.sources_tried
        } else {
            PIECE_TIMEOUT
        };
        self.last_activity.after(timeout.min(PIECE_TIMEOUT))
    }

    /// Time in which this daemon did not run is no silence of a control VM.
    pub(super) fn on_held_up(&mut self, time: Duration, now: Instant) {
        self.last_activity = self.last_activity.after(time).min(now);
    }

    /// Tries another control VM, which goes on from the next piece if it sends one first.
    pub(super) fn try_source(&mut self, vm: VmName, now: Instant, out: &mut Outbox) {
        self.last_activity = now;
        self.sources_tried += 1;
        if !self.asked.contains(&self.from) {
            self.from = vm.clone();
        }
        let count = if vm == self.from { u64::MAX } else { TRIAL_PIECES };
        self.request(&vm, count, out);
        self.tried_last = vm;
    }

    /// A control VM can send nothing more.
    pub(super) fn on_source_lost(&mut self, vm: &VmName) {
        self.asked.remove(vm);
    }

    /// Adds a piece.
    pub(super) fn on_piece(
        &mut self,
        from: &VmName,
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
            // A duplicate, or a late piece of another change.
            return PieceOutcome::Partial;
        }
        self.last_activity = now;
        let Ok(delta) = EncodedDelta::read(piece.delta) else {
            self.cancel(out);
            return PieceOutcome::Invalid;
        };
        self.delta.changed.extend(delta.changed);
        self.delta.removed.extend(delta.removed);
        self.next_piece += 1;
        if piece.last {
            self.asked.remove(from);
            self.cancel(out);
            let delta = std::mem::take(&mut self.delta);
            return PieceOutcome::Complete(AcceptedChange { id: piece.change, delta });
        }
        let is_late = self.tried_last != self.from;
        if *from != self.from && is_late {
            self.asked.remove(from);
            self.cancel(out);
            self.from = from.clone();
            self.request(from, u64::MAX, out);
        }
        if *from == self.from {
            self.tried_last = from.clone();
        }
        PieceOutcome::Partial
    }

    /// Tells control VMs that may still send pieces that nobody waits for them.
    pub(super) fn cancel(&mut self, out: &mut Outbox) {
        for vm in std::mem::take(&mut self.asked) {
            out.send(&vm, Body::Fetch(self.fetch(0)));
        }
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

    fn request(&mut self, vm: &VmName, count: u64, out: &mut Outbox) {
        self.requests += 1;
        self.asked.insert(vm.clone());
        out.send(vm, Body::Fetch(self.fetch(count)));
    }

    /// A fetch of so many pieces from the next one on.
    fn fetch(&self, count: u64) -> Fetch {
        Fetch {
            after: self.base,
            begun: self.change_id.clone(),
            first: self.next_piece,
            count,
            at_least: self.at_least,
        }
    }
}
