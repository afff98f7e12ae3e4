//! Batches gossip about endpoints, so that many changes share one message.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    units::Instant,
    wire::{EndpointHeartbeat, EndpointHeartbeats, EndpointRecord},
};

/// Minimum interval between batches, for each message that the last one took; several times what
/// sending a message takes, so that news leave time for everything else.
pub(super) const SEND_INTERVAL_PER_MESSAGE: Duration = Duration::from_micros(100);
/// Delay before forwarding heartbeats without changes. Shorter than the silence after which an
/// endpoint counts as lost.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(100);
/// Delay before an entry daemon forwards news to the leader, unless the leader sends it first. Needed
/// while a network partition separates control VMs that the entry daemon reaches.
pub(super) const LEADER_DELAY: Duration = Duration::from_millis(50);
/// Added to [`LEADER_DELAY`] for each daemon, since the leader may have to send to all first.
pub(super) const LEADER_DELAY_PER_DAEMON: Duration = Duration::from_micros(400);

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
    /// Nothing is sent before this.
    not_before: Instant,
}

impl NewsBatch {
    /// Adds a record that must be sent by `due`.
    pub(super) fn add(&mut self, record: EndpointRecord, due: Instant) {
        self.records.insert(record.id.clone(), record);
        let due = due.max(self.not_before);
        self.due = Some(self.due.map_or(due, |earlier| earlier.min(due)));
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
    pub(super) fn take_due(&mut self, now: Instant) -> Option<Vec<EndpointRecord>> {
        self.due.filter(|due| *due <= now)?;
        self.due = None;
        let records: Vec<EndpointRecord> =
            std::mem::take(&mut self.records).into_values().collect();
        (!records.is_empty()).then_some(records)
    }

    /// Holds the next batch back for as long as this one took to send.
    pub(super) fn on_sent(&mut self, messages: usize, now: Instant) {
        self.not_before = now.after(scaled(SEND_INTERVAL_PER_MESSAGE, messages));
    }
}

/// Heartbeats without changes that wait to be sent.
#[derive(Debug, Default)]
pub(super) struct HeartbeatBatch {
    heartbeats: BTreeMap<String, EndpointHeartbeat>,
    due: Option<Instant>,
}

impl HeartbeatBatch {
    pub(super) fn add(&mut self, record: EndpointRecord, now: Instant) {
        let EndpointRecord { id, sequence, born, .. } = record;
        let heartbeat = EndpointHeartbeat { id: id.clone(), sequence, started_at: born };
        self.heartbeats.insert(id, heartbeat);
        self.due.get_or_insert(now.after(HEARTBEAT_DELAY));
    }

    pub(super) fn due(&self) -> Option<Instant> {
        self.due
    }

    /// Takes the batch if it is due.
    pub(super) fn take_due(&mut self, now: Instant) -> Option<EndpointHeartbeats> {
        self.due.take_if(|due| *due <= now)?;
        let heartbeats = std::mem::take(&mut self.heartbeats).into_values().collect();
        Some(EndpointHeartbeats { heartbeats })
    }
}
