//! Accepted configuration changes, encoded in pieces that daemons fetch.
//!
//! A piece is encoded when it is first sent and shared by all daemons. Encoding and sending piece by piece
//! keeps large changes from blocking the control VM's thread, or heartbeats and grants on a link.

use std::{
    collections::{VecDeque, btree_map},
    sync::Arc,
    time::Duration,
    vec,
};

use bytes::Bytes;
use prost::Message;

use crate::{
    config::{Delta, Document, HashedSection, SectionName},
    state::{AcceptedChange, ChangeId, EncodedDelta, EncodedSection, State},
    units::Instant,
    wire::{Fetch, Piece},
};

/// A daemon gets so many pieces at least of a change that it has not begun: one of an earlier release asks for
/// one piece at a time, and for this many at the start.
const FEWEST_FIRST_PIECES: u64 = 3;
/// Encoded size at which a piece is closed. Encoding and sending one takes less than the time
/// between two tokens on the smallest VMs and links. A piece keeps a link of 10 Mbit/s busy for 13
/// ms, and the thread of a VM of 0.12 cores for 3 ms.
pub(crate) const PIECE_BYTES: usize = 16 * 1024;
/// Log bytes of recent changes that are kept; a daemon that is further behind fetches the whole
/// document. A document of 4,250 routes has 2 MB.
const MAX_RECENT_BYTES: usize = 4 * 1024 * 1024;
/// Merged changes that no daemon has fetched from for this long are dropped. Several times the timeout
/// of a daemon that waits for a piece.
const MERGED_TTL: Duration = Duration::from_secs(5);
/// Maximum number of merged changes kept; daemons that are behind by different versions need
/// different ones. With documents of 2 MB they take 32 MB.
const MAX_MERGED: usize = 16;

/// A change and the pieces of it encoded so far.
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

    /// The whole accepted document as a change of the empty one.
    fn whole(state: &State) -> EncodedChange {
        let hash = Bytes::copy_from_slice(&state.hash().0);
        let id = ChangeId { version: state.version(), base: 0, hash };
        EncodedChange::new(AcceptedChange {
            id,
            delta: Document::default().delta_to(state.document()),
        })
    }

    /// Whether there are pieces left to encode. Every change has at least one.
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

    /// The piece with this number, if there is one.
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

/// An accepted change and its size in the log.
#[derive(Debug)]
struct RecentChange {
    delta: Delta,
    encoded: EncodedChange,
    bytes: usize,
}

/// Several consecutive changes as one, or the whole document, for daemons that are behind by more than
/// the latest change.
#[derive(Debug)]
struct MergedChange {
    encoded: EncodedChange,
    last_used: Instant,
}

/// Pieces of a change that a daemon waits for.
#[derive(Debug)]
pub(super) struct PieceRange {
    change: ChangeId,
    next: u64,
    left: u64,
}

impl PieceRange {
    pub(super) fn is_empty(&self) -> bool {
        self.left == 0
    }

    /// Adds the pieces of a fetch if they follow these; returns whether they do.
    pub(super) fn extend(&mut self, fetch: &Fetch) -> bool {
        let follows = fetch.begun.as_ref() == Some(&self.change)
            && self.next.checked_add(self.left) == Some(fetch.first);
        if follows {
            self.left = self.left.saturating_add(fetch.count);
        }
        follows
    }
}

/// The changes that daemons can fetch.
#[derive(Debug, Default)]
pub(super) struct ConfigChanges {
    /// Consecutive accepted changes, oldest first.
    recent: VecDeque<RecentChange>,
    recent_bytes: usize,
    /// Least recently used first.
    merged: Vec<MergedChange>,
}

impl ConfigChanges {
    /// Adds an accepted change with its size in the log.
    pub(super) fn push(&mut self, change: AcceptedChange, bytes: usize) {
        let latest = self.recent.back().map(|recent| recent.encoded.id.version);
        if latest.is_some_and(|latest| latest != change.id.base) {
            // A snapshot skipped versions, so the older changes no longer lead to the current one.
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

    /// The latest change, encoded, if it fits in one piece.
    pub(super) fn latest_if_small(&mut self) -> Option<Bytes> {
        let latest = &mut self.recent.back_mut()?.encoded;
        latest.piece(0).filter(|piece| piece.last).map(|piece| piece.delta)
    }

    /// The pieces of one change to the accepted version that a daemon asks for, or those of the whole
    /// document if the changes since its version are no longer kept. `None` if it is up to date.
    pub(super) fn find_pieces(
        &mut self,
        fetch: &Fetch,
        state: &State,
        now: Instant,
    ) -> Option<PieceRange> {
        let change = self.find(fetch, state, now)?.id.clone();
        let is_continuation = fetch.begun.as_ref() == Some(&change);
        // A daemon that has begun another change needs this one from its first piece.
        let (next, left) = if is_continuation {
            (fetch.first, fetch.count)
        } else {
            (0, fetch.count.max(FEWEST_FIRST_PIECES))
        };
        Some(PieceRange { change, next, left })
    }

    /// The next of these pieces; `None` if the change is no longer kept.
    pub(super) fn next_piece(&mut self, pieces: &mut PieceRange, now: Instant) -> Option<Piece> {
        let piece = self.find_begun(&pieces.change, now)?.piece(pieces.next)?;
        pieces.next += 1;
        pieces.left = if piece.last { 0 } else { pieces.left - 1 };
        Some(piece)
    }

    fn keeps(&self, change: &ChangeId) -> bool {
        let is_kept = |encoded: &EncodedChange| encoded.id == *change;
        self.merged.iter().any(|merged| is_kept(&merged.encoded))
            || self.recent.iter().any(|recent| is_kept(&recent.encoded))
    }

    fn find_begun(&mut self, change: &ChangeId, now: Instant) -> Option<&mut EncodedChange> {
        if let Some(at) = self.merged.iter().position(|merged| merged.encoded.id == *change) {
            return Some(self.touch_merged(at, now));
        }
        let recent = self.recent.iter_mut().find(|recent| recent.encoded.id == *change);
        recent.map(|recent| &mut recent.encoded)
    }

    /// The change to serve a fetch from: the one already begun, or one from the daemon's version.
    fn find(&mut self, fetch: &Fetch, state: &State, now: Instant) -> Option<&mut EncodedChange> {
        if let Some(begun) = fetch.begun.as_ref().filter(|id| self.keeps(id)) {
            return self.find_begun(begun, now);
        }
        if state.version() <= fetch.after || state.version() < fetch.at_least {
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
            // With too many merged changes, the daemon catches up one change at a time.
            Some(at) if at + 1 == self.recent.len() || MAX_MERGED <= self.merged.len() => {
                Some(&mut self.recent[at].encoded)
            }
            Some(at) => Some(self.insert_merged(self.merge_from(at), now)),
            None => Some(self.insert_merged(EncodedChange::whole(state), now)),
        }
    }

    /// Merges the recent changes from this one on. A daemon slower than the rate of changes then skips
    /// intermediate versions and stays at most two fetches behind.
    fn merge_from(&self, first: usize) -> EncodedChange {
        let recent = || self.recent.range(first..);
        let delta = Delta::merge(recent().map(|recent| &recent.delta));
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
