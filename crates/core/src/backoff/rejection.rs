//! What an endpoint has rejected.

use std::{sync::Arc, time::Duration};

/// An endpoint has rejected a request: it certainly did not run there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// When its run was started, by its own clock; zero where it has not said.
    pub started_at: u64,
    /// For how much longer it wants nothing from the daemon that sent the request; nothing where it does not say.
    pub retry_after: Option<Duration>,
}
