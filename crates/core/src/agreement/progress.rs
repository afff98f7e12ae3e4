//! What a leader knows of another replica.

use crate::units::Instant;

/// Replication towards one replica.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    /// Next index to send.
    pub(crate) next: u64,
    /// Last index known to be synced there.
    pub(crate) matched: u64,
    /// Latest confirmation round that it answered.
    pub(crate) round: u64,
    /// When it last answered at all.
    pub(crate) heard: Instant,
    /// When it last answered for its log, which waits for its disk.
    pub(crate) log_heard: Instant,
    /// No second snapshot is sent before this time.
    pub(crate) snapshot_until: Instant,
}

impl Progress {
    pub(crate) fn new(next: u64, now: Instant) -> Progress {
        Progress {
            next,
            matched: 0,
            round: 0,
            heard: now,
            log_heard: now,
            snapshot_until: Instant::default(),
        }
    }
}

/// The greatest value that a quorum has reached.
pub(crate) fn quorum_value(mut values: Vec<u64>, quorum: usize) -> u64 {
    if values.len() < quorum || quorum == 0 {
        return 0;
    }
    values.sort_unstable_by(|a, b| b.cmp(a));
    values[quorum - 1]
}
