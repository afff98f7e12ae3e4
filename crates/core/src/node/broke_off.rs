//! Attempts that broke off, as the server tells them.

use std::sync::Arc;

use super::CallId;
use crate::{
    quarantine::RequestDigest,
    registry::{Registry, RunState},
};

/// What an endpoint's address said after an attempt there had broken off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterBreak {
    /// Nothing listens there any more.
    Refused,
    /// It takes connections; it failed this request only, or has started anew.
    Taken,
    /// Nothing.
    Silent,
}

/// An attempt that broke off.
#[derive(Debug, Clone)]
pub struct BrokeOff {
    /// The request.
    pub request: RequestDigest,
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// When its run was started, by its own word; zero where it has not said. Nothing for an endpoint that
    /// the configuration lists, of which no run says anything.
    pub born: Option<u64>,
    /// What its address said then.
    pub after: AfterBreak,
    /// The trial that it was, if it was one.
    pub trial: Option<CallId>,
}

impl BrokeOff {
    /// What the registry knows of the endpoint's run; nothing where the configuration lists it.
    pub(super) fn run_state(&self, registry: &Registry) -> Option<RunState> {
        Some(registry.run_state(&self.endpoint, self.born?))
    }
}
