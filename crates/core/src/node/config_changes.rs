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

use super::config_fetch::PREFETCH_PIECES;
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
const MAX_RECENT_BYTES: usize = 4 * 1024 * 1024;
/// A change made for daemons further behind that none has asked for in this time is dropped:
/// several times what a daemon waits for a piece.
const MERGED_TTL: Duration = Duration::from_secs(5);
/// Most such changes that are kept in pieces. Daemons that start, or fall behind, while versions
/// follow each other lack different ones. With documents of 2 MB they are 32 MB.
const MAX_MERGED: usize = 16;

/// A change and the pieces of it that have been made.
#[derive(Debug)]
struct EncodedChange {
    id: ChangeId,
    pieces: Vec<Bytes>,
    changed: btree_map::IntoIter<SectionName, Arc<HashedSection>>,
    removed: vec::IntoIter<SectionName>,
}

impl EncodedChange {
    fn new(change: AcceptedChange) -> EncodedChange {
        let AcceptedChange { id, delta } = change;
        let (changed, removed) = (delta.changed.into_iter(), delta.removed.into_iter());
        EncodedChange { id, pieces: Vec::new(), changed, removed }
    }

    /// The whole accepted document, as a change of the empty one.
    fn whole(state: &State) -> EncodedChange {
        let hash = Bytes::copy_from_slice(&state.hash().0);
        let id = ChangeId { version: state.version(), base: 0, hash };
        EncodedChange::new(AcceptedChange {
            id,
            delta: Document::default().delta_to(state.document()),
        })
    }

    /// Whether pieces are left to be made; there is always a first one.
    fn has_more(&self) -> bool {
        let left = 0 < self.changed.len() || 0 < self.removed.len();
        left || self.pieces.is_empty()
    }

    fn encode_next_piece(&mut self) {
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
            self.encode_next_piece();
        }
        let delta = self.pieces.get(at)?.clone();
        let last = at + 1 == self.pieces.len() && !self.has_more();
        Some(Piece { change: self.id.clone(), number, last, delta })
    }
}

/// An accepted change and the bytes that it takes in the log.
#[derive(Debug)]
struct RecentChange {
    delta: Delta,
    encoded: EncodedChange,
    bytes: usize,
}

/// A change made for daemons that lack more than the latest one, and when one last asked for a
/// piece of it.
#[derive(Debug)]
struct MergedChange {
    encoded: EncodedChange,
    last_used: Instant,
}

/// What daemons may fetch.
#[derive(Debug, Default)]
pub(super) struct ConfigChanges {
    /// Accepted changes, oldest first; each goes on from the one before.
    recent: VecDeque<RecentChange>,
    recent_bytes: usize,
    /// Several of them together and whole documents, the one that was asked for last at the end.
    merged: Vec<MergedChange>,
}

impl ConfigChanges {
    /// Notes an accepted change, which takes this many bytes in the log.
    pub(super) fn push(&mut self, change: AcceptedChange, bytes: usize) {
        let before = self.recent.back().map(|recent| recent.encoded.id.version);
        if before.is_some_and(|before| before != change.id.base) {
            // A snapshot came between: what is kept leads nowhere.
            self.recent.clear();
            self.recent_bytes = 0;
        }
        let delta = change.delta.clone();
        self.recent.push_back(RecentChange { delta, encoded: EncodedChange::new(change), bytes });
        self.recent_bytes += bytes;
        while MAX_RECENT_BYTES < self.recent_bytes
            && 1 < self.recent.len()
            && let Some(oldest) = self.recent.pop_front()
        {
            self.recent_bytes -= oldest.bytes;
        }
    }

    /// The latest change, encoded, if one piece holds all of it.
    pub(super) fn latest_if_small(&mut self) -> Option<Bytes> {
        let latest = &mut self.recent.back_mut()?.encoded;
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
        let encoded = self.find(fetch, state, now)?;
        let is_continuation = fetch.begun.as_ref() == Some(&encoded.id);
        // A daemon that asked for one more piece of another change lacks all ahead of this one.
        let (first, count) = if is_continuation {
            (fetch.first, fetch.count)
        } else {
            (0, fetch.count.max(PREFETCH_PIECES))
        };
        let numbers = first..first.saturating_add(count);
        Some(numbers.map_while(|number| encoded.piece(number)).collect())
    }

    fn find(&mut self, fetch: &Fetch, state: &State, now: Instant) -> Option<&mut EncodedChange> {
        let is_begun = |id: &ChangeId| fetch.begun.as_ref() == Some(id);
        if let Some(at) = self.merged.iter().position(|merged| is_begun(&merged.encoded.id)) {
            return Some(self.touch_merged(at, now));
        }
        if let Some(at) = self.recent.iter().position(|recent| is_begun(&recent.encoded.id)) {
            return Some(&mut self.recent[at].encoded);
        }
        if state.version() <= fetch.after {
            return None;
        }
        let is_wanted = |id: &ChangeId| (id.base, id.version) == (fetch.after, state.version());
        if let Some(at) = self.merged.iter().position(|merged| is_wanted(&merged.encoded.id)) {
            return Some(self.touch_merged(at, now));
        }
        let follows =
            |recent: &RecentChange| 0 < fetch.after && recent.encoded.id.base == fetch.after;
        self.merged.retain(|merged| now.since(merged.last_used) < MERGED_TTL);
        match self.recent.iter().position(follows) {
            // A daemon that fetches one change after the other catches up as well, only later.
            Some(at) if at + 1 == self.recent.len() || MAX_MERGED <= self.merged.len() => {
                Some(&mut self.recent[at].encoded)
            }
            Some(at) => Some(self.insert_merged(self.merge_from(at), now)),
            None => Some(self.insert_merged(EncodedChange::whole(state), now)),
        }
    }

    /// All recent changes from this one on as one. So a daemon that is slower than changes follow
    /// each other is behind by two fetches at most, and takes nothing that a later change makes
    /// void: entries of 0.1 cores were thirteen versions behind when they took each change of
    /// 1,400 routes that came every 0.3 s.
    fn merge_from(&self, first: usize) -> EncodedChange {
        let recent = || self.recent.range(first..);
        let delta = Delta::together(recent().map(|recent| &recent.delta));
        let (base, newest) =
            (&self.recent[first].encoded.id, &self.recent[self.recent.len() - 1].encoded.id);
        EncodedChange::new(AcceptedChange {
            id: ChangeId { base: base.base, ..newest.clone() },
            delta,
        })
    }

    fn insert_merged(&mut self, encoded: EncodedChange, now: Instant) -> &mut EncodedChange {
        if MAX_MERGED <= self.merged.len() {
            self.merged.remove(0);
        }
        self.merged.push(MergedChange { encoded, last_used: now });
        self.touch_merged(self.merged.len() - 1, now)
    }

    fn touch_merged(&mut self, at: usize, now: Instant) -> &mut EncodedChange {
        let merged = self.merged.remove(at);
        self.merged.push(MergedChange { last_used: now, ..merged });
        let last = self.merged.len() - 1;
        &mut self.merged[last].encoded
    }
}
