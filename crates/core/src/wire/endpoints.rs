//! Messages about the endpoints: what they say of themselves, their health and their load.

use crate::software_version::SoftwareVersion;

/// See [`super::Body::EndpointNews`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct EndpointNews {
    /// The endpoints.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<EndpointRecord>,
    /// How long ago each was last heard, in milliseconds; empty for news of this moment.
    #[prost(uint64, repeated, tag = "2")]
    pub ages_ms: Vec<u64>,
    /// The parts that these are all of, where the daemon has asked for them.
    #[prost(uint64, repeated, tag = "3")]
    pub parts: Vec<u64>,
}

/// See [`super::Body::EndpointDigest`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EndpointDigest {
    /// One number for each part.
    #[prost(fixed64, repeated, tag = "1")]
    pub sums: Vec<u64>,
    /// Number of endpoints.
    #[prost(uint64, tag = "2")]
    pub endpoints: u64,
}

/// See [`super::Body::EndpointCensus`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EndpointCensus {
    /// Data hall of the control VM.
    #[prost(string, tag = "1")]
    pub hall: String,
    /// Number of endpoints of each service.
    #[prost(message, repeated, tag = "2")]
    pub services: Vec<ServiceCount>,
}

/// Number of endpoints of a service.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ServiceCount {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Number of endpoints.
    #[prost(uint64, tag = "2")]
    pub endpoints: u64,
}

/// See [`super::Body::EndpointInterest`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EndpointInterest {
    /// Whether the daemon wants news of endpoints at all.
    #[prost(bool, tag = "1")]
    pub wanted: bool,
    /// The services of which it knows a sample; it knows others completely.
    #[prost(message, repeated, tag = "2")]
    pub samples: Vec<ServiceSample>,
}

/// A daemon's sample of a service.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ServiceSample {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// How often its endpoints are halved.
    #[prost(uint32, tag = "2")]
    pub halvings: u32,
}

/// See [`super::Body::EndpointsUsed`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EndpointsUsed {
    /// The endpoints.
    #[prost(message, repeated, tag = "1")]
    pub endpoints: Vec<UsedEndpoint>,
}

/// A run of an endpoint that a daemon sends requests to.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct UsedEndpoint {
    /// Its name.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Start of the run that the daemon knows.
    #[prost(uint64, tag = "2")]
    pub started_at: u64,
}

/// See [`super::Body::EndpointHeartbeats`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EndpointHeartbeats {
    /// The heartbeats.
    #[prost(message, repeated, tag = "1")]
    pub heartbeats: Vec<EndpointHeartbeat>,
}

/// A heartbeat that says nothing new.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EndpointHeartbeat {
    /// The endpoint.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Number of the heartbeat.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Start of the run.
    #[prost(uint64, tag = "3")]
    pub started_at: u64,
}

/// See [`super::Body::EndpointsWanted`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EndpointsWanted {
    /// Numbers of the parts.
    #[prost(uint64, repeated, tag = "1")]
    pub parts: Vec<u64>,
}

impl EndpointNews {
    /// News of this moment.
    pub fn new(records: Vec<EndpointRecord>) -> EndpointNews {
        EndpointNews { records, ages_ms: Vec::new(), parts: Vec::new() }
    }
}

/// What an endpoint said of itself when it registered.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct EndpointRecord {
    /// Its name. Another run has another, or the same and a later start.
    #[prost(string, tag = "1")]
    pub id: String,
    /// The service that it belongs to.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Where it listens, as IP:PORT.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Its data hall.
    #[prost(string, tag = "4")]
    pub hall: String,
    /// Most requests that it runs at once.
    #[prost(uint64, tag = "5")]
    pub slots: u64,
    /// Number of the heartbeat; a higher one is newer.
    #[prost(uint64, tag = "6")]
    pub sequence: u64,
    /// Whether it has said that it will end.
    #[prost(bool, tag = "7")]
    pub leaving: bool,
    /// Whether its heartbeats have stopped.
    #[prost(bool, tag = "8")]
    pub silent: bool,
    /// For how much longer it is slow after its start, in milliseconds.
    #[prost(uint64, tag = "9")]
    pub cold_ms: u64,
    /// When this run was started, in milliseconds since the Unix epoch by its own clock; zero where
    /// endpoints do not tell. A later one takes the place of an earlier one.
    #[prost(uint64, tag = "10")]
    pub born: u64,
    /// Version of its software; empty where it does not tell.
    #[prost(string, tag = "11")]
    pub software_version: String,
}

impl EndpointRecord {
    /// Version of its software, if it tells.
    pub fn software_version(&self) -> Option<SoftwareVersion> {
        SoftwareVersion::parse(&self.software_version).ok()
    }
}

/// See [`super::Body::Health`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Health {
    /// The endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// What is known.
    #[prost(enumeration = "HealthNews", tag = "2")]
    pub news: i32,
}

/// News of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
pub enum HealthNews {
    /// It failed to serve a request.
    Failed = 0,
    /// It said that it is leaving.
    Leaving = 1,
    /// It is no longer leaving.
    Returned = 2,
}

/// See [`super::Body::Watch`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Watch {
    /// Names of the endpoints.
    #[prost(string, repeated, tag = "1")]
    pub endpoints: Vec<String>,
}

/// See [`super::Body::Report`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Report {
    /// The endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Requests running.
    #[prost(uint64, tag = "2")]
    pub running: u64,
    /// Requests waiting inside it.
    #[prost(uint64, tag = "3")]
    pub waiting: u64,
    /// Memory in use, in tokens.
    #[prost(uint64, tag = "4")]
    pub kv_used: u64,
    /// Age of the figures in milliseconds.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
    /// Whether it is leaving.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
}
