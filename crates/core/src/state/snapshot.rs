//! The replicated state in a snapshot.

use bytes::Bytes;
use prost::Message;

use super::{
    EncodedDelta, State,
    halls::{EncodedHalls, Halls},
};
use crate::{
    config::{ContentHash, Document},
    once::{Claims, EncodedClaims},
    quarantine::{EncodedSuspectTable, SuspectTable},
    units::UnixMillis,
};

#[derive(Clone, PartialEq, Eq, prost::Message)]
struct Accepted {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(bytes = "bytes", tag = "2")]
    hash: Bytes,
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
struct EncodedState {
    #[prost(message, repeated, tag = "1")]
    history: Vec<Accepted>,
    #[prost(bytes = "bytes", tag = "2")]
    document: Bytes,
    #[prost(message, required, tag = "3")]
    claims: EncodedClaims,
    #[prost(uint64, tag = "4")]
    now_ms: u64,
    #[prost(message, optional, tag = "5")]
    halls: Option<EncodedHalls>,
    #[prost(message, optional, tag = "6")]
    suspects: Option<EncodedSuspectTable>,
}

impl State {
    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> Bytes {
        let history = self.history.iter().map(|(version, hash)| Accepted {
            version: *version,
            hash: Bytes::copy_from_slice(&hash.0),
        });
        let document = EncodedDelta::write(&Document::default().delta_to(&self.document));
        let encoded = EncodedState {
            history: history.collect(),
            document,
            claims: self.claims.encode(),
            now_ms: self.now.0,
            halls: Some(self.halls.encode()),
            suspects: Some(self.suspects.encode()),
        };
        Bytes::from(encoded.encode_to_vec())
    }

    /// Reads the state from a snapshot.
    pub fn decode(bytes: Bytes) -> Result<State, prost::DecodeError> {
        let encoded = EncodedState::decode(bytes)?;
        let mut document = Document::default();
        document.apply(&EncodedDelta::read(encoded.document)?);
        let history = encoded.history.iter().filter_map(|accepted| {
            Some((accepted.version, ContentHash::from_slice(&accepted.hash)?))
        });
        Ok(State {
            document,
            history: history.collect(),
            claims: Claims::decode(encoded.claims),
            halls: encoded.halls.map(Halls::decode).unwrap_or_default(),
            suspects: encoded.suspects.map(SuspectTable::decode).unwrap_or_default(),
            now: UnixMillis(encoded.now_ms),
        })
    }
}
