//! A digest of the endpoints that a daemon knows, so that two daemons find out what they know
//! differently without telling it.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::wire::EndpointRecord;

/// Parts into which endpoints are divided: 3,000 of them make 47 a part, 6 kB on a link.
pub(crate) const PARTS: usize = 64;

/// The part that an endpoint of this name is in.
pub(crate) fn part_of(id: &str) -> usize {
    (hash(&id) % PARTS as u64) as usize
}

/// One number for each part, the sum over its endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Digest(Vec<u64>);

impl Digest {
    /// The digest of these endpoints.
    pub(crate) fn of<'a>(records: impl Iterator<Item = &'a EndpointRecord>) -> Digest {
        let mut sums = vec![0u64; PARTS];
        for record in records {
            let sum = &mut sums[part_of(&record.id)];
            *sum = sum.wrapping_add(hash_of(record));
        }
        Digest(sums)
    }

    /// A digest as another daemon has told it; none if it has other parts.
    pub(crate) fn read(sums: Vec<u64>) -> Option<Digest> {
        (sums.len() == PARTS).then_some(Digest(sums))
    }

    /// One number for each part.
    pub(crate) fn sums(&self) -> &[u64] {
        &self.0
    }

    /// The parts that differ.
    pub(crate) fn differs_in(&self, other: &Digest) -> impl Iterator<Item = usize> {
        let pairs = self.0.iter().zip(&other.0).enumerate();
        pairs.filter(|(_, (a, b))| a != b).map(|(part, _)| part)
    }
}

/// What others must know of an endpoint; its heartbeats' numbers change all the time.
fn hash_of(record: &EndpointRecord) -> u64 {
    let EndpointRecord { id, service, address, hall, slots, leaving, silent, born, .. } = record;
    hash(&(id, service, address, hall, slots, leaving, silent, born))
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
