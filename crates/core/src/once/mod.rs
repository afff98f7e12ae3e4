//! Claims: a call that may not be repeated runs at most once.
//!
//! A claim is committed by a quorum before the call is sent. Whoever asks again
//! with the same key gets the stored outcome, "in progress" or "unknown", never
//! a second run. [`Claims`] is part of the replicated state: it changes only by
//! commands from the log and takes its time from them.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use sha2::{Digest, Sha256};

use crate::units::UnixMillis;

/// Largest answer that is kept for a resend, in bytes.
pub const MAX_KEPT_BODY: usize = 64 * 1024;
/// How long outcomes are kept, in milliseconds.
pub const RETENTION_MS: u64 = 24 * 60 * 60 * 1000;
/// Time added to a call's time-out before its outcome counts as unknown, in milliseconds.
const SETTLE_MARGIN_MS: u64 = 5_000;
/// A version 7 UUID made this long ahead of the log's clock is not believed.
const MAX_AHEAD_MS: u64 = 10 * 60 * 1000;

/// What a caller's key stands for: workspace, service, call and key, hashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey(pub [u8; 32]);

impl ClaimKey {
    /// The key of one call of one workspace.
    pub fn new(workspace: &str, service: &str, call: &str, key: &str) -> ClaimKey {
        let mut hasher = Sha256::new();
        for part in [workspace, service, call, key] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part.as_bytes());
        }
        ClaimKey(hasher.finalize().into())
    }
}

/// Milliseconds since the Unix epoch at which a version 7 UUID (RFC 9562) was made.
pub fn uuid_v7_time(key: &str) -> Option<UnixMillis> {
    let hex: String = key.chars().filter(|c| *c != '-').collect();
    let is_uuid = key.len() == 36 && hex.len() == 32 && hex.as_bytes()[12] == b'7';
    if !is_uuid {
        return None;
    }
    u64::from_str_radix(&hex[..12], 16).ok().map(UnixMillis)
}

/// Asks for the right to run a call.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Claim {
    /// The [`ClaimKey`].
    #[prost(bytes = "bytes", tag = "1")]
    pub key: Bytes,
    /// SHA-256 of the body.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
    /// Random number of this attempt; only its holder may settle or release the claim.
    #[prost(bytes = "bytes", tag = "3")]
    pub owner: Bytes,
    /// Time-out of the call in milliseconds.
    #[prost(uint64, tag = "4")]
    pub timeout_ms: u64,
    /// When the key was made, if it is a version 7 UUID.
    #[prost(uint64, optional, tag = "5")]
    pub made_ms: Option<u64>,
}

/// The answer of a call, as kept.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StoredAnswer {
    /// HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Media type.
    #[prost(string, tag = "2")]
    pub content_type: String,
    /// Body; absent when it was too large to keep.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub body: Option<Bytes>,
}

/// How a claimed call ended.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum Ending {
    /// It ran and answered.
    #[prost(message, tag = "3")]
    Answered(StoredAnswer),
    /// It certainly did not run; the key is free again.
    #[prost(message, tag = "4")]
    NotRun(NotRun),
    /// Nobody can tell whether it ran.
    #[prost(message, tag = "5")]
    Unknown(Unknown),
}

/// See [`Ending::NotRun`].
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct NotRun {}

/// See [`Ending::Unknown`].
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Unknown {}

/// Ends a claim.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Settle {
    /// The [`ClaimKey`].
    #[prost(bytes = "bytes", tag = "1")]
    pub key: Bytes,
    /// The owner of the claim.
    #[prost(bytes = "bytes", tag = "2")]
    pub owner: Bytes,
    /// How the call ended.
    #[prost(oneof = "Ending", tags = "3, 4, 5")]
    pub ending: Option<Ending>,
}

/// What a claim came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// The asker may run the call, once.
    Granted,
    /// Another attempt is running it.
    InProgress,
    /// It ran; this is its answer.
    Stored(StoredAnswer),
    /// It may have run.
    Unknown,
    /// The key was used with another body.
    KeyReused,
    /// The key is too old, or from the future, to be told from one that aged out.
    KeyExpired,
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
struct Record {
    #[prost(bytes = "bytes", tag = "1")]
    body: Bytes,
    #[prost(bytes = "bytes", tag = "2")]
    owner: Bytes,
    #[prost(uint64, tag = "3")]
    claimed_ms: u64,
    #[prost(uint64, tag = "4")]
    unknown_from_ms: u64,
    #[prost(message, optional, tag = "5")]
    answer: Option<StoredAnswer>,
    #[prost(bool, tag = "6")]
    unknown: bool,
    /// The key carries its time, so that nothing need be kept once it has aged.
    #[prost(bool, tag = "7")]
    dated: bool,
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
struct KeyedRecord {
    #[prost(bytes = "bytes", tag = "1")]
    key: Bytes,
    #[prost(message, required, tag = "2")]
    record: Record,
}

/// All claims, encoded for a snapshot.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EncodedClaims {
    #[prost(message, repeated, tag = "1")]
    records: Vec<KeyedRecord>,
    #[prost(bytes = "bytes", repeated, tag = "2")]
    aged: Vec<Bytes>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Age {
    claimed_ms: u64,
    key: ClaimKey,
}

/// All claims that are kept.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Claims {
    records: BTreeMap<ClaimKey, Record>,
    by_age: BTreeSet<Age>,
    /// Keys without a time of their own whose records were dropped. They stay, in
    /// short form, so that ageing can never open a key for a second run.
    aged: BTreeSet<[u8; 16]>,
}

impl Claims {
    /// Number of records kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no record is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of undated keys whose records were dropped.
    pub fn aged(&self) -> usize {
        self.aged.len()
    }

    /// Applies a claim at the log's time. The same claim applied twice is granted twice to
    /// the same owner, so that it may be sent again when its answer was lost.
    pub fn claim(&mut self, claim: &Claim, now: UnixMillis) -> ClaimResult {
        self.drop_old(now);
        let Some(key) = claim_key(&claim.key) else { return ClaimResult::KeyReused };
        if let Some(record) = self.records.get(&key) {
            return judge(record, claim, now);
        }
        if let Some(made) = claim.made_ms {
            let too_old = made.saturating_add(RETENTION_MS) <= now.0;
            let ahead = now.0.saturating_add(MAX_AHEAD_MS) < made;
            if too_old || ahead {
                return ClaimResult::KeyExpired;
            }
        }
        if self.aged.contains(&short(&key)) {
            return ClaimResult::Unknown;
        }
        let record = Record {
            body: claim.body.clone(),
            owner: claim.owner.clone(),
            claimed_ms: now.0,
            unknown_from_ms: now.0 + claim.timeout_ms + SETTLE_MARGIN_MS,
            answer: None,
            unknown: false,
            dated: claim.made_ms.is_some(),
        };
        self.by_age.insert(Age { claimed_ms: now.0, key });
        self.records.insert(key, record);
        ClaimResult::Granted
    }

    /// Applies the end of a call; ignored unless it comes from the owner.
    pub fn settle(&mut self, settle: &Settle) {
        let Some(key) = claim_key(&settle.key) else { return };
        let Some(record) = self.records.get_mut(&key) else { return };
        if record.owner != settle.owner || record.answer.is_some() {
            return;
        }
        match &settle.ending {
            Some(Ending::Answered(answer)) => {
                let mut answer = answer.clone();
                answer.body = answer.body.filter(|body| body.len() <= MAX_KEPT_BODY);
                record.answer = Some(answer);
            }
            Some(Ending::NotRun(_)) if !record.unknown => {
                self.by_age.remove(&Age { claimed_ms: record.claimed_ms, key });
                self.records.remove(&key);
            }
            Some(Ending::Unknown(_)) => record.unknown = true,
            Some(Ending::NotRun(_)) | None => {}
        }
    }

    /// Encodes all claims for a snapshot.
    pub fn encode(&self) -> EncodedClaims {
        let keyed = |(key, record): (&ClaimKey, &Record)| KeyedRecord {
            key: Bytes::copy_from_slice(&key.0),
            record: record.clone(),
        };
        EncodedClaims {
            records: self.records.iter().map(keyed).collect(),
            aged: self.aged.iter().map(|short| Bytes::copy_from_slice(short)).collect(),
        }
    }

    /// Reads claims from a snapshot.
    pub fn decode(encoded: EncodedClaims) -> Claims {
        let mut claims = Claims::default();
        for KeyedRecord { key, record } in encoded.records {
            let Some(key) = claim_key(&key) else { continue };
            claims.by_age.insert(Age { claimed_ms: record.claimed_ms, key });
            claims.records.insert(key, record);
        }
        claims.aged = encoded.aged.iter().filter_map(|short| short[..].try_into().ok()).collect();
        claims
    }

    fn drop_old(&mut self, now: UnixMillis) {
        while let Some(oldest) = self.by_age.first().copied() {
            // A dated key may be up to MAX_AHEAD_MS younger than its claim.
            let dropped_at = oldest.claimed_ms + RETENTION_MS + MAX_AHEAD_MS;
            if now.0 < dropped_at {
                return;
            }
            self.by_age.remove(&oldest);
            if self.records.remove(&oldest.key).is_some_and(|record| !record.dated) {
                self.aged.insert(short(&oldest.key));
            }
        }
    }
}

fn judge(record: &Record, claim: &Claim, now: UnixMillis) -> ClaimResult {
    if record.body != claim.body {
        return ClaimResult::KeyReused;
    }
    if let Some(answer) = &record.answer {
        return ClaimResult::Stored(answer.clone());
    }
    if record.unknown {
        return ClaimResult::Unknown;
    }
    if record.owner == claim.owner {
        return ClaimResult::Granted;
    }
    if record.unknown_from_ms <= now.0 { ClaimResult::Unknown } else { ClaimResult::InProgress }
}

fn claim_key(bytes: &[u8]) -> Option<ClaimKey> {
    bytes.try_into().ok().map(ClaimKey)
}

fn short(key: &ClaimKey) -> [u8; 16] {
    key.0[..16].try_into().expect("16 of 32 bytes")
}
