//! The log in memory: a snapshot position and the entries after it.

use std::collections::VecDeque;

use super::message::{Entry, Membership, Payload, Snapshot};

#[derive(Debug, Clone, PartialEq)]
struct MembershipAt {
    index: u64,
    membership: Membership,
}

/// Entries after the last snapshot, with the memberships that they set.
#[derive(Debug, Clone, Default)]
pub struct Log {
    base_index: u64,
    base_term: u64,
    base_at_ms: u64,
    entries: VecDeque<Entry>,
    /// In force from each index on; the first is that of the snapshot.
    memberships: Vec<MembershipAt>,
}

impl Log {
    /// The log after a snapshot, if any, with the given entries.
    pub fn restore(snapshot: Option<&Snapshot>, entries: Vec<Entry>) -> Log {
        let mut log = Log::default();
        log.memberships.push(MembershipAt { index: 0, membership: Membership::default() });
        if let Some(snapshot) = snapshot {
            log.reset(snapshot);
        }
        for entry in entries {
            if log.last_index() < entry.index {
                log.append(entry);
            }
        }
        log
    }

    /// Replaces everything by a snapshot's position.
    pub fn reset(&mut self, snapshot: &Snapshot) {
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.base_at_ms = snapshot.at_ms;
        self.entries.clear();
        let membership = snapshot.membership.clone();
        self.memberships = vec![MembershipAt { index: snapshot.index, membership }];
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Clock of the last entry.
    pub fn last_at_ms(&self) -> u64 {
        self.entries.back().map_or(self.base_at_ms, |entry| entry.at_ms)
    }

    /// Index that the snapshot covers.
    pub fn base_index(&self) -> u64 {
        self.base_index
    }

    /// Term of an index, if it is still known.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at an index.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(offset as usize)
    }

    /// At most `max` entries from an index on.
    pub fn from(&self, index: u64, max: usize) -> Vec<Entry> {
        let offset = index.saturating_sub(self.base_index + 1) as usize;
        self.entries.iter().skip(offset).take(max).cloned().collect()
    }

    /// Entries from an index on, at most `max`, and none after those that have `max_bytes`.
    pub fn batch(&self, index: u64, max: usize, max_bytes: usize) -> Vec<Entry> {
        let offset = index.saturating_sub(self.base_index + 1) as usize;
        let mut batch = Vec::new();
        let mut bytes = 0;
        for entry in self.entries.iter().skip(offset).take(max) {
            if max_bytes <= bytes {
                break;
            }
            bytes += entry.payload_bytes();
            batch.push(entry.clone());
        }
        batch
    }

    /// Adds the next entry.
    pub fn append(&mut self, entry: Entry) {
        debug_assert!(entry.index == self.last_index() + 1, "entries are consecutive");
        if let Some(Payload::Members(membership)) = &entry.payload {
            let membership = membership.clone();
            self.memberships.push(MembershipAt { index: entry.index, membership });
        }
        self.entries.push_back(entry);
    }

    /// Removes every entry from `index` on.
    pub fn truncate_from(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base_index + 1) as usize;
        self.entries.truncate(keep);
        self.memberships.retain(|m| m.index < index || m.index <= self.base_index);
    }

    /// Forgets entries up to `index`, which a snapshot now covers.
    pub fn compact(&mut self, index: u64) {
        let Some(term) = self.term_at(index) else { return };
        if index <= self.base_index {
            return;
        }
        self.base_at_ms = self.get(index).map_or(self.base_at_ms, |entry| entry.at_ms);
        self.entries.drain(..(index - self.base_index) as usize);
        self.base_index = index;
        self.base_term = term;
        let membership = self.membership_at(index).clone();
        self.memberships.retain(|m| index < m.index);
        self.memberships.insert(0, MembershipAt { index, membership });
    }

    /// The latest membership, committed or not.
    pub fn membership(&self) -> &Membership {
        &self.memberships.last().expect("there is always a first membership").membership
    }

    /// Index that set the latest membership.
    pub fn membership_index(&self) -> u64 {
        self.memberships.last().expect("there is always a first membership").index
    }

    /// The membership in force at an index.
    pub fn membership_at(&self, index: u64) -> &Membership {
        let at = self.memberships.iter().rev().find(|m| m.index <= index);
        &at.unwrap_or(&self.memberships[0]).membership
    }

    /// Whether a log that ends with this term and index is at least as complete as this one.
    pub fn is_covered_by(&self, last_term: u64, last_index: u64) -> bool {
        (self.last_term(), self.last_index()) <= (last_term, last_index)
    }
}
