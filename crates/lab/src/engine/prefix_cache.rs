//! Prompt prefixes kept in limited memory, least recently used first out.

use std::collections::VecDeque;

#[derive(Debug, Clone, Copy)]
struct Entry {
    prefix: u64,
    tokens: u64,
}

/// A bounded cache of prompt prefixes.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: u64,
    used: u64,
    /// Least recently used first.
    entries: VecDeque<Entry>,
}

impl PrefixCache {
    /// An empty cache for `capacity` tokens.
    pub(crate) fn new(capacity: u64) -> PrefixCache {
        PrefixCache { capacity, used: 0, entries: VecDeque::new() }
    }

    /// Tokens of the prefix that are cached, at most `tokens`.
    pub(crate) fn lookup(&mut self, prefix: u64, tokens: u64) -> u64 {
        let Some(entry) = self.take(prefix) else { return 0 };
        let found = entry.tokens.min(tokens);
        self.put(entry);
        found
    }

    /// Caches a prefix, and drops older ones that no longer fit.
    pub(crate) fn insert(&mut self, prefix: u64, tokens: u64) {
        self.take(prefix);
        if tokens == 0 || self.capacity < tokens {
            return;
        }
        self.put(Entry { prefix, tokens });
        while self.capacity < self.used {
            let Some(oldest) = self.entries.pop_front() else { return };
            self.used -= oldest.tokens;
        }
    }

    fn take(&mut self, prefix: u64) -> Option<Entry> {
        let at = self.entries.iter().position(|entry| entry.prefix == prefix)?;
        let entry = self.entries.remove(at)?;
        self.used -= entry.tokens;
        Some(entry)
    }

    fn put(&mut self, entry: Entry) {
        self.used += entry.tokens;
        self.entries.push_back(entry);
    }
}
