//! Digest of a registry, by which two daemons find differences without exchanging all records.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::wire::EndpointRecord;

/// Number of buckets: with 3,000 endpoints a bucket has 47 and takes 6 kB on a link.
pub(crate) const BUCKETS: usize = 64;

/// The bucket of an endpoint, by the hash of its name.
pub(super) fn bucket_of(id_hash: u64) -> usize {
    (id_hash % BUCKETS as u64) as usize
}

/// One checksum per bucket: the sum of the hashes of its records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RegistryDigest(Vec<u64>);

impl Default for RegistryDigest {
    /// The digest of no records.
    fn default() -> RegistryDigest {
        RegistryDigest(vec![0; BUCKETS])
    }
}

impl RegistryDigest {
    /// Adds a record, by the hash of its name and its own.
    pub(super) fn add(&mut self, id_hash: u64, record_hash: u64) {
        let sum = &mut self.0[bucket_of(id_hash)];
        *sum = sum.wrapping_add(record_hash);
    }

    /// Removes a record that was added before.
    pub(super) fn remove(&mut self, id_hash: u64, record_hash: u64) {
        let sum = &mut self.0[bucket_of(id_hash)];
        *sum = sum.wrapping_sub(record_hash);
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

/// Hash of an endpoint's name, equal on all daemons.
pub(crate) fn hash_of_id(id: &str) -> u64 {
    hash(&id)
}

/// Hashes the fields that other daemons must know. Heartbeat numbers change all the time and are
/// excluded.
pub(super) fn hash_of(record: &EndpointRecord) -> u64 {
    let EndpointRecord { id, service, address, hall, slots, leaving, silent, born, .. } = record;
    hash(&(id, service, address, hall, slots, leaving, silent, born, &record.software_version))
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
