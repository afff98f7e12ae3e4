//! Sends configuration changes to the daemons that fetch them.
//!
//! A change goes out as fast as the link takes it, without a question for each piece. Few pieces wait at a time,
//! so that other messages do not queue behind a whole change.

use super::{
    ByVm, Outbox, Output, SentChange, VmName,
    config_changes::{ConfigChanges, PieceRange},
};
use crate::{
    state::State,
    units::Instant,
    wire::{Body, Fetch},
};

/// Pieces for one daemon that may wait for its link: while one is being written, the next one is there.
const MAX_UNWRITTEN: u32 = 2;

/// What one daemon fetches.
#[derive(Debug)]
struct Stream {
    fetch: Fetch,
    /// Pieces still to be sent; `None` until this replica has applied the version that is wanted.
    pieces: Option<PieceRange>,
    /// Pieces that were sent and that the link has not taken yet.
    unwritten: u32,
}

/// The changes that are being sent; the latest fetch of each daemon.
#[derive(Debug, Default)]
pub(super) struct ConfigStreams {
    by_daemon: ByVm<Stream>,
}

impl ConfigStreams {
    /// Starts to send what a daemon asks for, in place of what it has asked for before unless it is the rest of
    /// that. A fetch of no pieces ends the former one.
    pub(super) fn start(&mut self, vm: &VmName, fetch: Fetch) {
        if fetch.count == 0 {
            self.by_daemon.remove(vm);
            return;
        }
        let stream = self.by_daemon.get_mut(vm).and_then(|stream| stream.pieces.as_mut());
        let is_extended = stream.is_some_and(|pieces| pieces.extend(&fetch));
        if !is_extended {
            self.by_daemon.insert(vm.clone(), Stream { fetch, pieces: None, unwritten: 0 });
        }
    }

    /// The link to a daemon has taken a piece.
    pub(super) fn on_written(&mut self, vm: &VmName) {
        if let Some(stream) = self.by_daemon.get_mut(vm) {
            stream.unwritten = stream.unwritten.saturating_sub(1);
        }
    }

    /// Ends what was sent to a daemon whose link is down.
    pub(super) fn remove(&mut self, vm: &VmName) {
        self.by_daemon.remove(vm);
    }

    /// Daemons that wait for a version that this replica has not applied yet.
    pub(super) fn waiting(&self) -> Vec<VmName> {
        let waiting = self.by_daemon.iter().filter(|(_, stream)| stream.pieces.is_none());
        waiting.map(|(vm, _)| vm.clone()).collect()
    }

    /// Sends the next pieces to a daemon, as many as its link has room for.
    pub(super) fn send(
        &mut self,
        vm: &VmName,
        changes: &mut ConfigChanges,
        state: &State,
        now: Instant,
        out: &mut Outbox,
    ) {
        let Some(stream) = self.by_daemon.get_mut(vm) else { return };
        while stream.unwritten < MAX_UNWRITTEN {
            if stream.pieces.is_none() {
                stream.pieces = changes.find_pieces(&stream.fetch, state, now);
            }
            let Some(pieces) = &mut stream.pieces else { return };
            if pieces.is_empty() {
                self.by_daemon.remove(vm);
                return;
            }
            let Some(piece) = changes.next_piece(pieces, now) else {
                // The change is no longer kept, so the daemon gets a later one from its first piece.
                stream.pieces = None;
                stream.fetch.begun = None;
                continue;
            };
            stream.unwritten += 1;
            out.push(Output::SentChange(SentChange::fetched(&piece, vm)));
            out.send(vm, Body::Piece(piece));
        }
    }
}
