//! Endpoints that name in their answers how many requests a second they take.

use http::response;
use trayswitch_core::{registry::Registered, throttle::RateLimit};

use super::{Job, Relay};
use crate::telemetry::EventId;

impl Relay {
    /// The limit that an endpoint names in its answer. One that cannot be read is told of and changes
    /// nothing.
    pub(super) fn read_limit(
        &self,
        job: &Job,
        endpoint: &Registered,
        head: &response::Parts,
    ) -> Option<RateLimit> {
        match self.protocol.limit(head) {
            Ok(limit) => {
                if limit.is_some() {
                    self.metrics.limit_read(&job.service, "named");
                }
                limit
            }
            Err(problem) => {
                self.metrics.limit_read(&job.service, "unreadable");
                log::warn!(
                    event = EventId::LimitChanged.number(), endpoint = &*endpoint.id,
                    end = "unreadable", detail = problem.to_string().as_str();
                    "an endpoint names a limit that cannot be read"
                );
                None
            }
        }
    }
}

/// A limit as lines of the log tell it.
pub(super) fn describe(limit: Option<RateLimit>) -> String {
    limit.map_or_else(|| "-".to_owned(), |limit| limit.to_string())
}
