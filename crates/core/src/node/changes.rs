//! Accepted changes of the configuration, cut into pieces that daemons fetch.
//!
//! A piece is made once, when the first daemon asks for it, and is the same bytes for all. So a
//! change of a megabyte is never encoded or sent in one go: nothing on the control VM's thread,
//! and no heartbeat or grant on a daemon's link, waits for it.

use std::{
    collections::{VecDeque, btree_map},
    sync::Arc,
    time::Duration,
    vec,
};

use bytes::Bytes;
use prost::Message;

use super::fetching::AHEAD;
use crate::{
    config::{Document, HashedSection, SectionName},
    state::{AcceptedChange, ChangeId, EncodedDelta, EncodedSection, State},
    units::Instant,
    wire::{Fetch, Piece},
};

/// A piece takes sections until it has this many bytes. It keeps a link of 10 Mbit/s busy for 13 ms
/// and the thread of a VM of 0.12 cores for 3 ms; both are well under the time between two tokens.
pub(crate) const PIECE_BYTES: usize = 16 * 1024;
/// Changes that are kept for daemons behind by some versions, in bytes of the log; a daemon that
/// lacks more is sent the whole document. A document of 4,250 routes has 2 MB.
const RECENT_BYTES: usize = 4 * 1024 * 1024;
/// A whole document that no daemon has asked for in this time is dropped: several times what a
/// daemon waits for a piece.
const WHOLE_LIFE: Duration = Duration::from_secs(5);
/// Most whole documents that are kept in pieces. Daemons that start while versions follow each
/// other begin with different ones.
const MAX_WHOLE: usize = 8;

/// A change and the pieces of it that have been made.
#[derive(Debug)]
struct Cut {
    id: ChangeId,
    pieces: Vec<Bytes>,
    changed: btree_map::IntoIter<SectionName, Arc<HashedSection>>,
    removed: vec::IntoIter<SectionName>,
}

impl Cut {
    fn new(change: AcceptedChange) -> Cut {
        let AcceptedChange { id, delta } = change;
        let (changed, removed) = (delta.changed.into_iter(), delta.removed.into_iter());
        Cut { id, pieces: Vec::new(), changed, removed }
    }

    /// The whole accepted document, as a change of the empty one.
    fn whole(state: &State) -> Cut {
        let hash = Bytes::copy_from_slice(&state.hash().0);
        let id = ChangeId { version: state.version(), base: 0, hash };
        Cut::new(AcceptedChange { id, delta: Document::default().delta_to(state.document()) })
    }

    /// Whether pieces are left to be made; there is always a first one.
    fn has_more(&self) -> bool {
        let left = 0 < self.changed.len() || 0 < self.removed.len();
        left || self.pieces.is_empty()
    }

    fn make_piece(&mut self) {
        let mut piece = EncodedDelta::default();
        let mut bytes = 0;
        while bytes < PIECE_BYTES
            && let Some((name, section)) = self.changed.next()
        {
            let section = EncodedSection::new(&name, section.keys());
            bytes += section.encoded_len();
            piece.changed.push(section);
        }
        while bytes < PIECE_BYTES
            && let Some(name) = self.removed.next()
        {
            bytes += name.len();
            piece.removed.push(name.to_string());
        }
        self.pieces.push(Bytes::from(piece.encode_to_vec()));
    }

    /// The piece of this number, if there is one.
    fn piece(&mut self, number: u64) -> Option<Piece> {
        let at = usize::try_from(number).ok()?;
        while self.pieces.len() <= at && self.has_more() {
            self.make_piece();
        }
        let delta = self.pieces.get(at)?.clone();
        let last = at + 1 == self.pieces.len() && !self.has_more();
        Some(Piece { change: self.id.clone(), number, last, delta })
    }
}

/// An accepted change and the bytes that it takes in the log.
#[derive(Debug)]
struct Recent {
    cut: Cut,
    bytes: usize,
}

/// A whole document and when a daemon last asked for a piece of it.
#[derive(Debug)]
struct Whole {
    cut: Cut,
    asked: Instant,
}

/// What daemons may fetch.
#[derive(Debug, Default)]
pub(super) struct Changes {
    /// Accepted changes, oldest first.
    recent: VecDeque<Recent>,
    recent_bytes: usize,
    /// Whole documents, the one that was asked for last at the end.
    whole: Vec<Whole>,
}

impl Changes {
    /// Notes an accepted change, which takes this many bytes in the log.
    pub(super) fn push(&mut self, change: AcceptedChange, bytes: usize) {
        self.recent.push_back(Recent { cut: Cut::new(change), bytes });
        self.recent_bytes += bytes;
        while RECENT_BYTES < self.recent_bytes
            && 1 < self.recent.len()
            && let Some(oldest) = self.recent.pop_front()
        {
            self.recent_bytes -= oldest.bytes;
        }
    }

    /// The latest change, encoded, if one piece holds all of it.
    pub(super) fn latest_if_small(&mut self) -> Option<Bytes> {
        let latest = &mut self.recent.back_mut()?.cut;
        latest.piece(0).filter(|piece| piece.last).map(|piece| piece.delta)
    }

    /// The pieces that a daemon asks for: of the change that follows the version in force there,
    /// or of the whole document if that change is not kept. Nothing if it has the newest.
    pub(super) fn answer(
        &mut self,
        fetch: &Fetch,
        state: &State,
        now: Instant,
    ) -> Option<Vec<Piece>> {
        let cut = self.find(fetch, state, now)?;
        let goes_on = fetch.begun.as_ref() == Some(&cut.id);
        // A daemon that asked for one more piece of another change lacks all ahead of this one.
        let (first, count) =
            if goes_on { (fetch.first, fetch.count) } else { (0, fetch.count.max(AHEAD)) };
        let numbers = first..first.saturating_add(count);
        Some(numbers.map_while(|number| cut.piece(number)).collect())
    }

    fn find(&mut self, fetch: &Fetch, state: &State, now: Instant) -> Option<&mut Cut> {
        let began_with = |whole: &Whole| fetch.begun.as_ref() == Some(&whole.cut.id);
        if let Some(at) = self.whole.iter().position(began_with) {
            return Some(self.ask_whole(at, now));
        }
        let follows = |recent: &Recent| 0 < fetch.after && recent.cut.id.base == fetch.after;
        if let Some(at) = self.recent.iter().position(follows) {
            return self.recent.get_mut(at).map(|recent| &mut recent.cut);
        }
        if state.version() <= fetch.after {
            return None;
        }
        let newest = |whole: &Whole| whole.cut.id.version == state.version();
        let at = match self.whole.iter().position(newest) {
            Some(at) => at,
            None => self.cut_whole(state, now),
        };
        Some(self.ask_whole(at, now))
    }

    fn cut_whole(&mut self, state: &State, now: Instant) -> usize {
        self.whole.retain(|whole| now.since(whole.asked) < WHOLE_LIFE);
        if MAX_WHOLE <= self.whole.len() {
            self.whole.remove(0);
        }
        self.whole.push(Whole { cut: Cut::whole(state), asked: now });
        self.whole.len() - 1
    }

    fn ask_whole(&mut self, at: usize, now: Instant) -> &mut Cut {
        let whole = self.whole.remove(at);
        self.whole.push(Whole { asked: now, ..whole });
        let last = self.whole.len() - 1;
        &mut self.whole[last].cut
    }
}
