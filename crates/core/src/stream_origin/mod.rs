//! Where streams began: the service and the software version that a caller who takes a stream up
//! must reach again.

mod table;
#[cfg(test)]
mod table_tests;

use std::sync::Arc;

use crate::{quarantine::ContentDigest, software_version::SoftwareVersion};

pub(crate) use self::table::OriginTable;

/// Names a stream on every daemon: a keyed digest of its workspace or its caller's key, its path and the id
/// of the attempt that brought its first event.
pub type StreamKey = ContentDigest;

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamOrigin {
    /// The service.
    pub service: Arc<str>,
    /// Software version of the endpoint.
    pub version: SoftwareVersion,
}

/// Why the origin of a stream is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownOrigin {
    /// The caller names no attempt.
    Unnamed,
    /// No daemon that was asked knows the attempt.
    NoRecord,
    /// Two streams of different origins began under the same id.
    Ambiguous,
    /// No control VM could be asked, or none answered in time.
    NoAnswer,
}

impl UnknownOrigin {
    /// The name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            UnknownOrigin::Unnamed => "unnamed",
            UnknownOrigin::NoRecord => "no_record",
            UnknownOrigin::Ambiguous => "ambiguous",
            UnknownOrigin::NoAnswer => "no_answer",
        }
    }
}
