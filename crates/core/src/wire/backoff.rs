//! Messages about endpoints that reject requests.

use std::time::Duration;

use crate::{backoff::Rejection, units::Instant};

/// See [`super::Body::Rejected`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Rejected {
    /// Name of the endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// When its run was started.
    #[prost(uint64, tag = "2")]
    pub started_at: u64,
    /// For how much longer it wants nothing from the daemon that tells this, in milliseconds; nothing where it
    /// did not say.
    #[prost(uint64, optional, tag = "3")]
    pub retry_after_ms: Option<u64>,
}

impl Rejected {
    pub(crate) fn encode(rejection: &Rejection) -> Rejected {
        // Rounded up: the endpoint asked for no less.
        let millis = |time: Duration| time.as_micros().div_ceil(1_000) as u64;
        Rejected {
            endpoint: rejection.endpoint.to_string(),
            started_at: rejection.started_at,
            retry_after_ms: rejection.retry_after.map(millis),
        }
    }

    pub(crate) fn decode(self) -> Rejection {
        Rejection {
            endpoint: self.endpoint.into(),
            started_at: self.started_at,
            retry_after: self.retry_after_ms.map(Duration::from_millis),
        }
    }
}

/// An endpoint that is the last resort for a while.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LastResort {
    /// Name of the endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// When its run was started.
    #[prost(uint64, tag = "2")]
    pub started_at: u64,
    /// For how much longer, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub left_ms: u64,
}

impl LastResort {
    pub(crate) fn new(endpoint: &str, started_at: u64, until: Instant, now: Instant) -> LastResort {
        let left_ms = until.since(now).as_millis() as u64;
        LastResort { endpoint: endpoint.to_owned(), started_at, left_ms }
    }

    /// For how much longer.
    pub(crate) fn left(&self) -> Duration {
        Duration::from_millis(self.left_ms)
    }
}

/// See [`super::Body::Overloaded`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Overloaded {
    /// The endpoints.
    #[prost(message, repeated, tag = "1")]
    pub endpoints: Vec<LastResort>,
}
