//! The software versions between which a stream may not change.

use trayswitch_core::software_version::SoftwareVersion;

use super::Relay;

/// How a stream goes on after its first attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Continuation {
    /// Its caller takes it up.
    Caller,
    /// Restarted on another endpoint after it broke off.
    Restart,
    /// Relocated with its KV cache.
    Relocation,
}

impl Continuation {
    fn name(self) -> &'static str {
        match self {
            Continuation::Caller => "caller",
            Continuation::Restart => "restart",
            Continuation::Relocation => "relocation",
        }
    }
}

/// Compares the software version of an endpoint with that of the endpoint that began a stream.
fn compare(began: Option<&SoftwareVersion>, goes_on: Option<&SoftwareVersion>) -> &'static str {
    match (began, goes_on) {
        (Some(began), Some(goes_on)) if began == goes_on => "same",
        (Some(_), Some(_)) => "other",
        _ => "unknown",
    }
}

/// The software version for log lines.
pub(super) fn describe(version: Option<&SoftwareVersion>) -> &str {
    version.map_or("-", SoftwareVersion::as_str)
}

impl Relay {
    /// The software version of an endpoint, if known.
    pub(super) fn software_version(&self, endpoint: &str) -> Option<SoftwareVersion> {
        self.node.view().endpoint(endpoint)?.software_version
    }

    /// Counts a stream that goes on at an endpoint.
    pub(super) fn record_continuation(
        &self,
        service: &str,
        how: Continuation,
        began: Option<&SoftwareVersion>,
        endpoint: &str,
    ) {
        let goes_on = self.software_version(endpoint);
        self.metrics.stream_continued(service, how.name(), compare(began, goes_on.as_ref()));
    }
}
