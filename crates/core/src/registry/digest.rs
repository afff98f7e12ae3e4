//! Digest of a registry, by which two daemons find differences without exchanging all records.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::wire::EndpointRecord;

/// Number of buckets: with 3,000 endpoints a bucket has 47 and takes 6 kB on a link.
pub(crate) const BUCKETS: usize = 64;

/// The bucket of an endpoint.
pub(crate) fn bucket_of(id: &str) -> usize {
    (hash(&id) % BUCKETS as u64) as usize
}

/// One checksum per bucket: the sum of the hashes of its records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RegistryDigest(Vec<u64>);

impl RegistryDigest {
    /// Computes the digest of these records.
    pub(crate) fn of<'a>(records: impl Iterator<Item = &'a EndpointRecord>) -> RegistryDigest {
        let mut sums = vec![0u64; BUCKETS];
        for record in records {
            let sum = &mut sums[bucket_of(&record.id)];
            *sum = sum.wrapping_add(hash_of(record));
        }
        RegistryDigest(sums)
    }

    /// Decodes another daemon's digest; `None` if the number of buckets differs.
    pub(crate) fn from_sums(sums: Vec<u64>) -> Option<RegistryDigest> {
        (sums.len() == BUCKETS).then_some(RegistryDigest(sums))
    }

    /// One checksum per bucket.
    pub(crate) fn sums(&self) -> &[u64] {
        &self.0
    }

    /// The buckets that differ.
    pub(crate) fn differing_buckets(&self, other: &RegistryDigest) -> impl Iterator<Item = usize> {
        let pairs = self.0.iter().zip(&other.0).enumerate();
        pairs.filter(|(_, (a, b))| a != b).map(|(bucket, _)| bucket)
    }
}

/// Hashes the fields that other daemons must know. Heartbeat numbers change all the time and are
/// excluded.
fn hash_of(record: &EndpointRecord) -> u64 {
    let EndpointRecord { id, service, address, hall, slots, leaving, silent, born, .. } = record;
    hash(&(id, service, address, hall, slots, leaving, silent, born))
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
