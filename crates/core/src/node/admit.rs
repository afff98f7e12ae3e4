//! Conversion between [`Request`] and the [`Admit`] message of the wire protocol.

use std::time::Duration;

use super::CallId;
use crate::{
    config::EndpointTarget,
    placement::{PrefixHash, Request, Ticket},
    quarantine::ContentDigest,
    software_version::{SoftwareVersion, VersionConstraint},
    wire::Admit,
};

/// Encodes a request that may wait `max_wait` in the scheduler's queue.
pub(super) fn encode(call: CallId, req: &Request, max_wait: Duration) -> Admit {
    Admit {
        number: call.0,
        workspace: req.workspace.to_string(),
        kind: req.kind.to_string(),
        target: req.target.name().to_owned(),
        is_service: matches!(req.target, EndpointTarget::Service(_)),
        prompt_tokens: req.prompt_tokens,
        prefix: req.prefix.0,
        max_tokens: req.max_tokens,
        max_wait_ms: max_wait.as_millis() as u64,
        first_within_ms: (max_wait + req.ttft_target.saturating_sub(req.max_wait)).as_millis()
            as u64,
        avoid: req.avoid.iter().map(|name| name.to_string()).collect(),
        apart: req.isolated,
        time_left_ms: (max_wait + req.time_left.saturating_sub(req.max_wait)).as_millis() as u64,
        longest_gap_ms: req.longest_gap.as_millis() as u64,
        digest: req.digest.map(|digest| digest.to_bytes().to_vec()).unwrap_or_default(),
        rank: req.rank,
        share: req.share,
        max_running: req.max_running,
        max_waiting: req.max_waiting,
        running_at: None,
        tokens: 0,
        software_version: match &req.versions {
            VersionConstraint::Any => None,
            VersionConstraint::Only(version) => Some(version.to_string()),
            VersionConstraint::Unknown => Some(String::new()),
        },
    }
}

/// Decodes a request; `ticket` identifies it at the scheduler.
pub(super) fn decode(ticket: Ticket, admit: Admit) -> Request {
    let target = if admit.is_service {
        EndpointTarget::Service(admit.target)
    } else {
        EndpointTarget::Model(admit.target)
    };
    let versions = match &admit.software_version {
        None => VersionConstraint::Any,
        Some(text) => VersionConstraint::begun_at(SoftwareVersion::parse(text).ok().as_ref()),
    };
    Request {
        ticket,
        versions,
        workspace: admit.workspace.into(),
        rank: admit.rank,
        share: admit.share.max(1),
        max_running: admit.max_running,
        max_waiting: admit.max_waiting,
        kind: admit.kind.into(),
        target,
        prompt_tokens: admit.prompt_tokens,
        prefix: PrefixHash(admit.prefix),
        max_tokens: admit.max_tokens,
        max_wait: Duration::from_millis(admit.max_wait_ms),
        ttft_target: Duration::from_millis(admit.first_within_ms),
        avoid: admit.avoid.into_iter().map(Into::into).collect(),
        isolated: admit.apart,
        time_left: Duration::from_millis(admit.time_left_ms),
        longest_gap: Duration::from_millis(admit.longest_gap_ms),
        digest: ContentDigest::from_slice(&admit.digest),
    }
}
