//! Gathers news of endpoints, so that a large fleet is told of many changes in one message.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    units::Instant,
    wire::{EndpointNews, EndpointRecord},
};

/// A control VM writes this long for each daemon that it tells (measured at 300 VMs, where
/// news sent one by one filled all processors); what comes meanwhile goes together.
pub(super) const SEND_INTERVAL_PER_DAEMON: Duration = Duration::from_micros(100);
/// What another control VM has told may wait this long: that one has told its own daemons.
pub(super) const RELAY_DELAY: Duration = Duration::from_millis(30);
/// The same for each daemon that is told.
pub(super) const RELAY_DELAY_PER_DAEMON: Duration = Duration::from_micros(400);
/// Heartbeats without news are passed on together; an endpoint counts as silent only after
/// several of them are missing.
pub(super) const HEARTBEAT_DELAY: Duration = Duration::from_millis(100);
/// An entry tells the leader what the leader has not told it within this time: the two hear
/// different control VMs while these are parted.
pub(super) const LEADER_DELAY: Duration = Duration::from_millis(50);
/// The same for each daemon, since the leader passes news on after [`RELAY_DELAY_PER_DAEMON`].
pub(super) const LEADER_DELAY_PER_DAEMON: Duration = Duration::from_micros(800);
/// Handing all endpoints to the schedulers and to requests takes this long for each of them
/// on the smallest VMs (0.12 cores), four times over.
pub(super) const PUBLISH_INTERVAL_PER_ENDPOINT: Duration = Duration::from_micros(100);

/// The endpoints are written to disk no more often than this: what left since is found out by
/// its silence, and each write holds up those of the log by one sync.
pub(super) const SAVE_INTERVAL: Duration = Duration::from_millis(250);
/// The same for each endpoint, of 150 bytes: at 1,800 endpoints 230 KB a second at most.
pub(super) const SAVE_INTERVAL_PER_ENDPOINT: Duration = Duration::from_micros(500);

/// `part`, once for each of so many.
pub(super) fn scaled(part: Duration, count: usize) -> Duration {
    part * u32::try_from(count).unwrap_or(u32::MAX)
}

/// Records that wait to be sent; the newest of each endpoint.
#[derive(Debug, Default)]
pub(super) struct NewsBatch {
    records: BTreeMap<String, EndpointRecord>,
    due: Option<Instant>,
    last_sent: Instant,
}

impl NewsBatch {
    /// Adds a record that may wait until `due`.
    pub(super) fn add(&mut self, record: EndpointRecord, due: Instant) {
        self.records.insert(record.id.clone(), record);
        self.due = Some(self.due.map_or(due, |earlier| earlier.min(due)));
    }

    /// Adds a record that goes at once, unless others went within `pause`.
    pub(super) fn add_rate_limited(
        &mut self,
        record: EndpointRecord,
        pause: Duration,
        now: Instant,
    ) {
        self.add(record, now.max(self.last_sent.after(pause)));
    }

    /// Drops a record that need not be told any more.
    pub(super) fn remove_known(&mut self, record: &EndpointRecord) {
        let newest = self.records.get(&record.id);
        if newest.is_some_and(|newest| newest == record) {
            self.records.remove(&record.id);
        }
    }

    /// Lets what waits wait until `due` at least.
    pub(super) fn postpone(&mut self, due: Instant) {
        self.due = self.due.map(|earlier| earlier.max(due));
    }

    /// When something must be sent.
    pub(super) fn due(&self) -> Option<Instant> {
        self.due
    }

    /// What must be sent now.
    pub(super) fn take_due(&mut self, now: Instant) -> Option<EndpointNews> {
        self.due.filter(|due| *due <= now)?;
        self.due = None;
        let records: Vec<EndpointRecord> =
            std::mem::take(&mut self.records).into_values().collect();
        if records.is_empty() {
            return None;
        }
        self.last_sent = now;
        Some(EndpointNews::new(records))
    }
}
