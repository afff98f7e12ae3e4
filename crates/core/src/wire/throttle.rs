//! Messages about endpoints that name how many requests a second they take.

use std::time::Duration;

use crate::{
    throttle::{RateLimit, RateLimitReport},
    units::Instant,
};

/// A rate is sent as a whole number, so that messages can be compared.
const MILLION: f64 = 1e6;

/// What an endpoint has said in one answer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LimitWord {
    /// Name of the endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// When its run was started.
    #[prost(uint64, tag = "2")]
    pub born: u64,
    /// Requests in a million seconds; nothing where it names no limit.
    #[prost(uint64, optional, tag = "3")]
    pub per_million_s: Option<u64>,
    /// How long ago the request was sent, in microseconds.
    #[prost(uint64, tag = "4")]
    pub asked_ago_us: u64,
    /// How long ago the answer was read, in microseconds.
    #[prost(uint64, tag = "5")]
    pub read_ago_us: u64,
}

impl LimitWord {
    /// What is known now, by the sender's clock.
    pub(crate) fn encode(word: &RateLimitReport, now: Instant) -> LimitWord {
        let ago_us = |at: Instant| now.since(at).as_micros() as u64;
        LimitWord {
            endpoint: word.endpoint.to_string(),
            born: word.started_at,
            per_million_s: word.limit.map(|limit| (limit.per_second() * MILLION) as u64),
            asked_ago_us: ago_us(word.sent_at),
            read_ago_us: ago_us(word.received_at),
        }
    }

    /// The same by the receiver's clock; nothing if it makes no sense.
    pub(crate) fn decode(self, now: Instant) -> Option<RateLimitReport> {
        let at = |ago_us: u64| Instant(now.0.saturating_sub(ago_us));
        let limit = match self.per_million_s {
            Some(rate) => Some(RateLimit::new(rate as f64 / MILLION).ok()?),
            None => None,
        };
        Some(RateLimitReport {
            endpoint: self.endpoint.into(),
            started_at: self.born,
            limit,
            sent_at: at(self.asked_ago_us),
            received_at: at(self.read_ago_us),
        })
    }
}

/// Several of them; see [`super::Body::Limits`] and [`super::Body::LimitsRead`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LimitNews {
    /// What endpoints have said.
    #[prost(message, repeated, tag = "1")]
    pub words: Vec<LimitWord>,
}

/// See [`super::Body::PermitQuery`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PermitQuery {
    /// Number given by the daemon.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The service that the request is for.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The endpoints that it may go to and what they have said, as far as the daemon knows; the one that it
    /// would choose first.
    #[prost(message, repeated, tag = "3")]
    pub endpoints: Vec<LimitWord>,
    /// How long it can wait, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub max_wait_ms: u64,
}

/// See [`super::Body::PermitReply`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PermitReply {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The endpoint that it may be sent to, at once.
    #[prost(string, optional, tag = "2")]
    pub endpoint: Option<String>,
    /// Otherwise, when one likely takes it, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub retry_after_ms: u64,
}

impl PermitQuery {
    /// How long it can wait.
    pub(crate) fn max_wait(&self) -> Duration {
        Duration::from_millis(self.max_wait_ms)
    }
}
