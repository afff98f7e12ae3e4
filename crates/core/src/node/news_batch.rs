//! Batches gossip about endpoints, so that a large fleet receives many changes in one message.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    units::Instant,
    wire::{EndpointNews, EndpointRecord},
};

/// Minimum interval between messages to all daemons, for each daemon; about the time that sending to
/// one takes.
pub(super) const SEND_INTERVAL_PER_DAEMON: Duration = Duration::from_micros(100);
/// Delay before relaying news of another control VM, which has sent it to its own daemons already.
pub(super) const RELAY_DELAY: Duration = Duration::from_millis(30);
/// Added to [`RELAY_DELAY`] for each daemon that receives the news.
pub(super) const RELAY_DELAY_PER_DAEMON: Duration = Duration::from_micros(400);
/// Delay before forwarding heartbeats without changes. Shorter than the silence after which an
/// endpoint counts as lost.
pub(super) const HEARTBEAT_DELAY: Duration = Duration::from_millis(100);
/// Delay before an entry daemon forwards news to the leader, unless the leader sends it first. Needed
/// while a network partition separates control VMs that the entry daemon reaches.
pub(super) const LEADER_DELAY: Duration = Duration::from_millis(50);
/// Added to [`LEADER_DELAY`] for each daemon, since the leader delays news by
/// [`RELAY_DELAY_PER_DAEMON`].
pub(super) const LEADER_DELAY_PER_DAEMON: Duration = Duration::from_micros(800);

/// Minimum interval between writes of the endpoints to disk. Each write delays log writes by one sync,
/// and endpoints that left since the last write are detected by their missing heartbeats.
pub(super) const SAVE_INTERVAL: Duration = Duration::from_millis(250);
/// Added to [`SAVE_INTERVAL`] for each endpoint, which bounds the write rate.
pub(super) const SAVE_INTERVAL_PER_ENDPOINT: Duration = Duration::from_micros(500);

/// `duration` times `count`.
pub(super) fn scaled(duration: Duration, count: usize) -> Duration {
    duration * u32::try_from(count).unwrap_or(u32::MAX)
}

/// Records that wait to be sent; only the newest of each endpoint.
#[derive(Debug, Default)]
pub(super) struct NewsBatch {
    records: BTreeMap<String, EndpointRecord>,
    due: Option<Instant>,
    last_sent: Instant,
}

impl NewsBatch {
    /// Adds a record that must be sent by `due`.
    pub(super) fn add(&mut self, record: EndpointRecord, due: Instant) {
        self.records.insert(record.id.clone(), record);
        self.due = Some(self.due.map_or(due, |earlier| earlier.min(due)));
    }

    /// Adds a record to send as soon as `interval` has passed since the last batch.
    pub(super) fn add_rate_limited(
        &mut self,
        record: EndpointRecord,
        interval: Duration,
        now: Instant,
    ) {
        self.add(record, now.max(self.last_sent.after(interval)));
    }

    /// Removes a record that the receiver has already, unless a newer one is waiting.
    pub(super) fn remove_known(&mut self, record: &EndpointRecord) {
        let newest = self.records.get(&record.id);
        if newest.is_some_and(|newest| newest == record) {
            self.records.remove(&record.id);
        }
    }

    /// Delays the batch until `due` or later.
    pub(super) fn postpone(&mut self, due: Instant) {
        self.due = self.due.map(|earlier| earlier.max(due));
    }

    /// When the batch must be sent.
    pub(super) fn due(&self) -> Option<Instant> {
        self.due
    }

    /// Takes the batch if it is due and not empty.
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
