//! Rejections of requests.

use std::{sync::Arc, time::Duration};

/// A request that an endpoint rejected without executing it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Start time of the endpoint's run by its own clock; 0 if unknown.
    pub started_at: u64,
    /// Remaining back-off of the daemon that sent the request, if the endpoint named one.
    pub retry_after: Option<Duration>,
}
