//! Limits on the size and duration of requests from callers.

use std::time::Duration;

use super::reader::SectionReader;

const DEFAULT_MAX_HEADER_BYTES: u64 = 16 * 1024;
const DEFAULT_MAX_BODY_BYTES: u64 = 1024 * 1024;
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(5);
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Limits on connections and requests from callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_header: u64,
    /// Maximum size of a request body, in bytes.
    pub max_body: u64,
    /// Maximum time from the first byte of a request head to its last.
    pub header_timeout: Duration,
    /// Maximum idle time of a connection between requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            max_header: DEFAULT_MAX_HEADER_BYTES,
            max_body: DEFAULT_MAX_BODY_BYTES,
            header_timeout: DEFAULT_HEADER_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        }
    }
}

/// Reads the `[limits]` section.
pub(super) fn read(r: &mut SectionReader<'_>) -> CallerLimits {
    CallerLimits {
        max_header: r.number("max_header", Some(DEFAULT_MAX_HEADER_BYTES), 256, 1 << 24),
        max_body: r.number("max_body", Some(DEFAULT_MAX_BODY_BYTES), 0, 1 << 32),
        header_timeout: r.duration("header_timeout", Some(DEFAULT_HEADER_TIMEOUT)),
        idle_timeout: r.duration("idle_timeout", Some(DEFAULT_IDLE_TIMEOUT)),
    }
}
