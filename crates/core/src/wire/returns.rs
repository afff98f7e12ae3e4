//! Times at which rejected requests are to come back.

use std::time::Duration;

use crate::{
    config::EndpointTarget, placement::PromisedReturn, quarantine::ContentDigest, units::Instant,
};

/// A rejected request that was told when to come back.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Return {
    /// Keyed digest of the request.
    #[prost(bytes = "vec", tag = "1")]
    pub digest: Vec<u8>,
    /// Workspace.
    #[prost(string, tag = "2")]
    pub workspace: String,
    /// Model or service.
    #[prost(string, tag = "3")]
    pub target: String,
    /// Whether the target is a service.
    #[prost(bool, tag = "4")]
    pub is_service: bool,
    /// Rank of the tier.
    #[prost(uint64, tag = "5")]
    pub rank: u64,
    /// Share within the tier.
    #[prost(uint64, tag = "6")]
    pub share: u64,
    /// Its prompt and expected output, in tokens.
    #[prost(uint64, tag = "7")]
    pub work: u64,
    /// Time until it is to come back, in microseconds; negative if that is over.
    #[prost(sint64, tag = "8")]
    pub due_in_us: i64,
}

impl Return {
    pub(crate) fn encode(promised: PromisedReturn, now: Instant) -> Return {
        let left = promised.due.since(now).as_micros() as i64;
        let overdue = now.since(promised.due).as_micros() as i64;
        Return {
            digest: promised.digest.to_bytes().to_vec(),
            workspace: promised.workspace.to_string(),
            is_service: matches!(promised.target, EndpointTarget::Service(_)),
            target: promised.target.name().to_owned(),
            rank: promised.rank,
            share: promised.share,
            work: promised.work,
            due_in_us: left - overdue,
        }
    }

    /// `None` if the digest is none.
    pub(crate) fn decode(self, now: Instant) -> Option<PromisedReturn> {
        let left = Duration::from_micros(self.due_in_us.max(0).unsigned_abs());
        let overdue = self.due_in_us.min(0).unsigned_abs();
        let target = if self.is_service { EndpointTarget::Service } else { EndpointTarget::Model };
        Some(PromisedReturn {
            digest: ContentDigest::from_slice(&self.digest)?,
            target: target(self.target),
            rank: self.rank,
            workspace: self.workspace.into(),
            share: self.share,
            work: self.work,
            due: Instant(now.after(left).0.saturating_sub(overdue)),
        })
    }
}

/// See [`super::Body::Returns`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Returns {
    /// The requests.
    #[prost(message, repeated, tag = "1")]
    pub returns: Vec<Return>,
}
