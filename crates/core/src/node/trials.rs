//! Trials of suspects on one daemon.

use crate::{quarantine::ContentDigest, units::Instant};

/// Whether an attempt of a suspect may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialAnswer {
    /// It may run as a trial, whose end must be reported with [`super::Input::TrialEnded`].
    Granted {
        /// The suspect content.
        content: ContentDigest,
        /// Whether it must run without other requests on the endpoint.
        isolated: bool,
    },
    /// The content that was most suspect is not a suspect any more.
    Clear,
    /// The request is in quarantine and must not be sent to any endpoint.
    Quarantined,
    /// Other trials are queued, or no leader answers.
    Unavailable,
}

/// A trial that is not decided on.
#[derive(Debug)]
pub(super) struct PendingTrial {
    /// The most suspect content of the request.
    pub(super) content: ContentDigest,
    /// All contents of the request.
    pub(super) contents: Vec<ContentDigest>,
    /// When the daemon may grant it without a leader.
    pub(super) local_from: Instant,
    pub(super) deadline: Instant,
}

/// A trial that runs on an endpoint.
#[derive(Debug)]
pub(super) struct RunningTrial {
    pub(super) content: ContentDigest,
    pub(super) contents: Vec<ContentDigest>,
    /// Whether it has started to answer, so that other trials of the content need not wait.
    pub(super) started: bool,
}
