//! Messages about where streams began.

use std::time::Duration;

use crate::{
    quarantine::ContentDigest,
    software_version::SoftwareVersion,
    stream_origin::{StreamKey, StreamOrigin},
};

/// See [`super::Body::StreamsBegun`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StreamsBegun {
    /// The streams.
    #[prost(message, repeated, tag = "1")]
    pub streams: Vec<BegunStream>,
}

/// Where a stream began.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct BegunStream {
    /// Names the stream; see [`StreamKey`].
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Software version of the endpoint.
    #[prost(string, tag = "3")]
    pub software_version: String,
    /// For how long it is of use, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub ttl_ms: u64,
}

/// See [`super::Body::OriginQuery`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OriginQuery {
    /// Number given by the daemon.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Names the stream.
    #[prost(bytes = "vec", tag = "2")]
    pub key: Vec<u8>,
}

/// See [`super::Body::OriginReply`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OriginReply {
    /// Number of the query.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Where the stream began, if that is known and unambiguous.
    #[prost(message, optional, tag = "2")]
    pub stream: Option<BegunStream>,
    /// Whether streams of different origins began under the key.
    #[prost(bool, tag = "3")]
    pub ambiguous: bool,
}

impl BegunStream {
    pub(crate) fn encode(key: &StreamKey, origin: &StreamOrigin, ttl: Duration) -> BegunStream {
        BegunStream {
            key: key.to_bytes().to_vec(),
            service: origin.service.to_string(),
            software_version: origin.version.to_string(),
            ttl_ms: ttl.as_millis() as u64,
        }
    }

    /// `None` if it is not as the sender would have encoded it.
    pub(crate) fn decode(&self) -> Option<(StreamKey, StreamOrigin, Duration)> {
        let key = ContentDigest::from_slice(&self.key)?;
        let version = SoftwareVersion::parse(&self.software_version).ok()?;
        let origin = StreamOrigin { service: self.service.as_str().into(), version };
        Some((key, origin, Duration::from_millis(self.ttl_ms)))
    }
}
