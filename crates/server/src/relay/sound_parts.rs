//! Parts of prompts with which requests were recently answered well on this daemon.

use std::{collections::HashSet, time::Duration};

use trayswitch_clock::Instant;
use trayswitch_core::quarantine::PromptPart;

/// How long a part is remembered, at least; twice as long at most. Long enough that parts which
/// many requests share are always among them.
const MEMORY: Duration = Duration::from_secs(30);
/// Parts remembered in that time, of 16 bytes each.
const MAX_PARTS: usize = 8_192;

/// A set that forgets.
#[derive(Debug)]
pub(super) struct SoundParts {
    recent: HashSet<PromptPart>,
    older: HashSet<PromptPart>,
    rotated_at: Instant,
}

impl SoundParts {
    pub(super) fn starting_at(now: Instant) -> SoundParts {
        SoundParts { recent: HashSet::new(), older: HashSet::new(), rotated_at: now }
    }

    pub(super) fn insert(&mut self, parts: &[PromptPart], now: Instant) {
        self.rotate(now);
        for part in parts {
            if self.recent.len() < MAX_PARTS {
                self.recent.insert(*part);
            }
        }
    }

    pub(super) fn contains(&mut self, part: PromptPart, now: Instant) -> bool {
        self.rotate(now);
        self.recent.contains(&part) || self.older.contains(&part)
    }

    fn rotate(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.rotated_at);
        if age < MEMORY {
            return;
        }
        self.older = std::mem::take(&mut self.recent);
        if MEMORY * 2 <= age {
            self.older.clear();
        }
        self.rotated_at = now;
    }
}
