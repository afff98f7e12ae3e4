//! A digest of the endpoints that a daemon knows, so that two daemons find out what they know
//! differently without telling it.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::wire::EndpointRecord;

/// Parts into which endpoints are divided: 3,000 of them make 47 a part, 6 kB on a link.
pub(crate) const BUCKETS: usize = 64;

/// The part that an endpoint of this name is in.
pub(crate) fn bucket_of(id: &str) -> usize {
    (hash(&id) % BUCKETS as u64) as usize
}

/// One number for each part, the sum over its endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RegistryDigest(Vec<u64>);

impl RegistryDigest {
    /// The digest of these endpoints.
    pub(crate) fn of<'a>(records: impl Iterator<Item = &'a EndpointRecord>) -> RegistryDigest {
        let mut sums = vec![0u64; BUCKETS];
        for record in records {
            let sum = &mut sums[bucket_of(&record.id)];
            *sum = sum.wrapping_add(hash_of(record));
        }
        RegistryDigest(sums)
    }

    /// A digest as another daemon has told it; none if it has other parts.
    pub(crate) fn from_sums(sums: Vec<u64>) -> Option<RegistryDigest> {
        (sums.len() == BUCKETS).then_some(RegistryDigest(sums))
    }

    /// One number for each part.
    pub(crate) fn sums(&self) -> &[u64] {
        &self.0
    }

    /// The parts that differ.
    pub(crate) fn differing_buckets(&self, other: &RegistryDigest) -> impl Iterator<Item = usize> {
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
