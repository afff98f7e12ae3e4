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
    config::{Delta, Document, HashedSection, SectionName},
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
/// A change made for daemons further behind that none has asked for in this time is dropped:
/// several times what a daemon waits for a piece.
const MADE_LIFE: Duration = Duration::from_secs(5);
/// Most such changes that are kept in pieces. Daemons that start, or fall behind, while versions
/// follow each other lack different ones. With documents of 2 MB they are 32 MB.
const MAX_MADE: usize = 16;

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
    delta: Delta,
    cut: Cut,
    bytes: usize,
}

/// A change made for daemons that lack more than the latest one, and when one last asked for a
/// piece of it.
#[derive(Debug)]
struct Made {
    cut: Cut,
    asked: Instant,
}

/// What daemons may fetch.
#[derive(Debug, Default)]
pub(super) struct Changes {
    /// Accepted changes, oldest first; each goes on from the one before.
    recent: VecDeque<Recent>,
    recent_bytes: usize,
    /// Several of them together and whole documents, the one that was asked for last at the end.
    made: Vec<Made>,
}

impl Changes {
    /// Notes an accepted change, which takes this many bytes in the log.
    pub(super) fn push(&mut self, change: AcceptedChange, bytes: usize) {
        let before = self.recent.back().map(|recent| recent.cut.id.version);
        if before.is_some_and(|before| before != change.id.base) {
            // A snapshot came between: what is kept leads nowhere.
            self.recent.clear();
            self.recent_bytes = 0;
        }
        let delta = change.delta.clone();
        self.recent.push_back(Recent { delta, cut: Cut::new(change), bytes });
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

    /// The pieces that a daemon asks for: of all that it lacks in one change, or of the whole
    /// document if that is not kept. Nothing if it has the newest.
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
        let begun = |id: &ChangeId| fetch.begun.as_ref() == Some(id);
        if let Some(at) = self.made.iter().position(|made| begun(&made.cut.id)) {
            return Some(self.ask_made(at, now));
        }
        if let Some(at) = self.recent.iter().position(|recent| begun(&recent.cut.id)) {
            return Some(&mut self.recent[at].cut);
        }
        if state.version() <= fetch.after {
            return None;
        }
        let is_wanted = |id: &ChangeId| (id.base, id.version) == (fetch.after, state.version());
        if let Some(at) = self.made.iter().position(|made| is_wanted(&made.cut.id)) {
            return Some(self.ask_made(at, now));
        }
        let follows = |recent: &Recent| 0 < fetch.after && recent.cut.id.base == fetch.after;
        self.made.retain(|made| now.since(made.asked) < MADE_LIFE);
        match self.recent.iter().position(follows) {
            // A daemon that fetches one change after the other catches up as well, only later.
            Some(at) if at + 1 == self.recent.len() || MAX_MADE <= self.made.len() => {
                Some(&mut self.recent[at].cut)
            }
            Some(at) => Some(self.keep(self.cut_together(at), now)),
            None => Some(self.keep(Cut::whole(state), now)),
        }
    }

    /// All recent changes from this one on as one. So a daemon that is slower than changes follow
    /// each other is behind by two fetches at most, and takes nothing that a later change makes
    /// void: entries of 0.1 cores were thirteen versions behind when they took each change of
    /// 1,400 routes that came every 0.3 s.
    fn cut_together(&self, first: usize) -> Cut {
        let recent = || self.recent.range(first..);
        let delta = Delta::together(recent().map(|recent| &recent.delta));
        let (base, newest) =
            (&self.recent[first].cut.id, &self.recent[self.recent.len() - 1].cut.id);
        Cut::new(AcceptedChange { id: ChangeId { base: base.base, ..newest.clone() }, delta })
    }

    fn keep(&mut self, cut: Cut, now: Instant) -> &mut Cut {
        if MAX_MADE <= self.made.len() {
            self.made.remove(0);
        }
        self.made.push(Made { cut, asked: now });
        self.ask_made(self.made.len() - 1, now)
    }

    fn ask_made(&mut self, at: usize, now: Instant) -> &mut Cut {
        let made = self.made.remove(at);
        self.made.push(Made { asked: now, ..made });
        let last = self.made.len() - 1;
        &mut self.made[last].cut
    }
}
