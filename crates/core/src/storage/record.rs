//! Records: length, checksum, payload.

use prost::Message;

use crate::agreement::{Entry, HardState};

const HEADER: usize = 8;
/// Longest record that is believed.
const MAX_RECORD: usize = 512 * 1024 * 1024;

/// A record of the log.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct LogRecord {
    /// What it holds.
    #[prost(oneof = "log_record::Kind", tags = "1, 2, 3")]
    pub(crate) kind: Option<log_record::Kind>,
}

/// All that one write holds. It is one record, since a power failure may keep any part of a
/// write that was not synced: of several records a later one could last without an earlier.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct LogBatch {
    /// Term and vote, if they changed.
    #[prost(message, optional, tag = "1")]
    pub(crate) hard_state: Option<HardState>,
    /// Entries.
    #[prost(message, repeated, tag = "2")]
    pub(crate) entries: Vec<Entry>,
}

/// Parts of [`LogRecord`].
pub(crate) mod log_record {
    use super::{Entry, HardState, LogBatch};

    /// What a record holds.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub(crate) enum Kind {
        /// Term and vote.
        #[prost(message, tag = "1")]
        HardState(HardState),
        /// An entry.
        #[prost(message, tag = "2")]
        Entry(Entry),
        /// All that one write holds.
        #[prost(message, tag = "3")]
        Batch(LogBatch),
    }
}

/// The sound records at the start of a log.
pub(crate) struct Scan {
    pub(crate) records: Vec<LogRecord>,
    /// Bytes that they take.
    pub(crate) length: u64,
}

/// Frames a payload.
pub(crate) fn encode_record(payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER + payload.len());
    bytes.extend((payload.len() as u32).to_le_bytes());
    bytes.extend(checksum(payload).to_le_bytes());
    bytes.extend(payload);
    bytes
}

/// The payload of the only record in a file.
pub(crate) fn decode_only(bytes: &[u8]) -> Option<&[u8]> {
    match decode_first(bytes)? {
        (payload, []) => Some(payload),
        _ => None,
    }
}

/// Reads records until the first that is not sound. A sound record behind that one
/// means that it is no torn tail, but damage.
pub(crate) fn scan(bytes: &[u8]) -> Result<Scan, String> {
    let mut records = Vec::new();
    let mut rest = bytes;
    while let Some((payload, after)) = decode_first(rest) {
        let record = LogRecord::decode(payload)
            .map_err(|e| format!("a record with a good checksum cannot be decoded: {e}"))?;
        records.push(record);
        rest = after;
    }
    let length = bytes.len() - rest.len();
    if sound_record_behind(rest) {
        return Err(format!("the record at byte {length} is damaged"));
    }
    Ok(Scan { records, length: length as u64 })
}

fn decode_first(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (header, rest) = bytes.split_at_checked(HEADER)?;
    let (length, sum) = header.split_at(4);
    let length = u32::from_le_bytes(length.try_into().ok()?) as usize;
    let sum = u32::from_le_bytes(sum.try_into().ok()?);
    if MAX_RECORD < length {
        return None;
    }
    let (payload, rest) = rest.split_at_checked(length)?;
    (checksum(payload) == sum).then_some((payload, rest))
}

/// The checksum is not zero for an empty payload, so that zeros are no record.
fn checksum(payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(b"trayswitch");
    hasher.update(payload);
    hasher.finalize()
}

fn sound_record_behind(damaged: &[u8]) -> bool {
    let Some(length) = damaged.get(..4) else { return false };
    let length = u32::from_le_bytes(length.try_into().expect("four bytes")) as usize;
    let behind = damaged.get(HEADER + length..);
    behind.is_some_and(|bytes| decode_first(bytes).is_some())
}
