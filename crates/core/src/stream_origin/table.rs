//! Origins of streams, until their callers' deadlines.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use super::{StreamKey, StreamOrigin, UnknownOrigin};
use crate::units::Instant;

/// Most origins that are kept, at 0.1 kB each. The one that expires first gives way.
const MAX_ORIGINS: usize = 262_144;
/// Longest time for which an origin is kept, whatever the caller's deadline.
const MAX_TTL: Duration = Duration::from_secs(600);

#[derive(Debug)]
struct Entry {
    /// `None` if streams of different origins have begun under the key.
    origin: Option<StreamOrigin>,
    expires: Instant,
}

/// The origins that a daemon knows.
#[derive(Debug, Default)]
pub(crate) struct OriginTable {
    entries: HashMap<StreamKey, Entry>,
    by_expiry: BTreeSet<(Instant, StreamKey)>,
    /// Service names, shared between the entries.
    services: HashSet<Arc<str>>,
}

impl OriginTable {
    /// Records where a stream began. Another origin under the same key makes it ambiguous.
    pub(crate) fn insert(
        &mut self,
        key: StreamKey,
        origin: StreamOrigin,
        ttl: Duration,
        now: Instant,
    ) {
        self.expire(now);
        let expires = now.after(ttl.min(MAX_TTL));
        let origin = StreamOrigin { service: self.shared_name(&origin.service), ..origin };
        let expires = match self.entries.get_mut(&key) {
            Some(entry) => {
                if entry.origin.as_ref() != Some(&origin) {
                    entry.origin = None;
                }
                self.by_expiry.remove(&(entry.expires, key));
                entry.expires = entry.expires.max(expires);
                entry.expires
            }
            None => {
                self.entries.insert(key, Entry { origin: Some(origin), expires });
                expires
            }
        };
        self.by_expiry.insert((expires, key));
        if MAX_ORIGINS < self.entries.len() {
            self.remove_first();
        }
    }

    /// Where a stream began.
    pub(crate) fn get(
        &self,
        key: &StreamKey,
        now: Instant,
    ) -> Result<&StreamOrigin, UnknownOrigin> {
        let entry = self.entries.get(key).filter(|entry| now < entry.expires);
        let entry = entry.ok_or(UnknownOrigin::NoRecord)?;
        entry.origin.as_ref().ok_or(UnknownOrigin::Ambiguous)
    }

    /// Time for which an origin is still kept.
    pub(crate) fn time_left(&self, key: &StreamKey, now: Instant) -> Duration {
        self.entries.get(key).map_or(Duration::ZERO, |entry| entry.expires.since(now))
    }

    /// All unambiguous origins, each with the time for which it is still kept.
    pub(crate) fn iter(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&StreamKey, &StreamOrigin, Duration)> {
        let entries = self.entries.iter().filter(move |(_, entry)| now < entry.expires);
        entries.filter_map(move |(key, entry)| {
            Some((key, entry.origin.as_ref()?, entry.expires.since(now)))
        })
    }

    /// Number of origins.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    fn expire(&mut self, now: Instant) {
        while self.by_expiry.first().is_some_and(|(expires, _)| *expires <= now) {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        if let Some((_, key)) = self.by_expiry.pop_first() {
            self.entries.remove(&key);
        }
    }

    fn shared_name(&mut self, service: &Arc<str>) -> Arc<str> {
        if self.entries.is_empty() {
            self.services.clear();
        }
        match self.services.get(service) {
            Some(shared) => shared.clone(),
            None => {
                self.services.insert(service.clone());
                service.clone()
            }
        }
    }
}
