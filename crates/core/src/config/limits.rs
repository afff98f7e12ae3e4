//! What callers may send, and how long they may take.

use std::time::Duration;

use super::reader::SectionReader;

/// In bytes.
const DEFAULT_MAX_HEADER: u64 = 16 * 1024;
/// In bytes.
const DEFAULT_MAX_BODY: u64 = 1024 * 1024;
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(5);
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub max_header: u64,
    /// Largest body of a request, in bytes.
    pub max_body: u64,
    /// Longest time from the first byte of a head to its last.
    pub header_timeout: Duration,
    /// Longest rest of a connection between two requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            max_header: DEFAULT_MAX_HEADER,
            max_body: DEFAULT_MAX_BODY,
            header_timeout: DEFAULT_HEADER_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        }
    }
}

/// Reads the limits.
pub(super) fn read(r: &mut SectionReader<'_>) -> CallerLimits {
    CallerLimits {
        max_header: r.number("max_header", Some(DEFAULT_MAX_HEADER), 256, 1 << 24),
        max_body: r.number("max_body", Some(DEFAULT_MAX_BODY), 0, 1 << 32),
        header_timeout: r.duration("header_timeout", Some(DEFAULT_HEADER_TIMEOUT)),
        idle_timeout: r.duration("idle_timeout", Some(DEFAULT_IDLE_TIMEOUT)),
    }
}
