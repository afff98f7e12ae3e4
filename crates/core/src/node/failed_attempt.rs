//! Attempts that failed before the answer was complete, as the relay reports them.

use std::sync::Arc;

use super::CallId;
use crate::{
    quarantine::ContentDigest,
    registry::{Registry, RunState},
};

/// Result of connecting to an endpoint's address after an attempt there failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// Nothing listens there any more.
    ConnectionRefused,
    /// The endpoint has restarted, or only this request failed.
    Connected,
    /// The probe timed out.
    NoAnswer,
}

/// An attempt that failed before the answer was complete.
#[derive(Debug, Clone)]
pub struct FailedAttempt {
    /// The request.
    pub request: ContentDigest,
    /// The parts of its prompt, unless the endpoint had answered well so far.
    pub parts: Vec<ContentDigest>,
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Start time that the endpoint's process reports, zero if none; `None` for an endpoint that
    /// the configuration lists.
    pub started_at: Option<u64>,
    /// Result of the probe after the failure.
    pub probe: ProbeOutcome,
    /// The quarantine trial that this attempt was, if any.
    pub trial: Option<CallId>,
    /// The content that it was a trial of.
    pub trial_of: Option<ContentDigest>,
}

impl FailedAttempt {
    /// State of the endpoint's process according to the registry; `None` if the configuration lists
    /// the endpoint.
    pub(super) fn run_state(&self, registry: &Registry) -> Option<RunState> {
        Some(registry.run_state(&self.endpoint, self.started_at?))
    }
}
