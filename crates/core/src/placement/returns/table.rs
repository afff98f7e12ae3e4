//! The bounded table of reservations.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use super::lane::{Booking, Lane};
use crate::{config::EndpointTarget, placement::Ticket, quarantine::ContentDigest, units::Instant};

/// One workspace holds at most this part of a full table while others want some.
const MAX_WORKSPACE_PART: usize = 4;

/// The reservation of one request.
#[derive(Debug)]
pub(super) struct Record {
    pub(super) target: Arc<EndpointTarget>,
    pub(super) rank: u64,
    pub(super) booking: Booking,
    /// Number of the reservation, in order.
    pub(super) sequence: u64,
    /// Until when it is recognised while it is absent.
    pub(super) recognised_until: Instant,
    /// The try that is in the queue, if any.
    pub(super) queued_as: Option<Ticket>,
}

/// Reservations by digest, with the lanes of their targets and ranks.
#[derive(Debug)]
pub(super) struct RecordTable {
    capacity: usize,
    records: HashMap<ContentDigest, Record>,
    /// Requests that are not queued, by the time until which they are recognised.
    absent: BTreeSet<(Instant, ContentDigest)>,
    /// Reservations of each workspace, in order.
    by_workspace: HashMap<Arc<str>, BTreeMap<u64, ContentDigest>>,
    /// Workspaces by their number of reservations.
    by_size: BTreeSet<(usize, Arc<str>)>,
    lanes: HashMap<Arc<EndpointTarget>, BTreeMap<u64, Lane>>,
    /// Requests that were due before this and have not come back are not counted.
    counted_from: Instant,
}

impl RecordTable {
    pub(super) fn new(capacity: usize) -> RecordTable {
        RecordTable {
            capacity,
            records: HashMap::new(),
            absent: BTreeSet::new(),
            by_workspace: HashMap::new(),
            by_size: BTreeSet::new(),
            lanes: HashMap::new(),
            counted_from: Instant::default(),
        }
    }

    pub(super) fn get(&self, digest: &ContentDigest) -> Option<&Record> {
        self.records.get(digest)
    }

    /// The reservations of requests that are not queued, in order of their times.
    pub(super) fn absent(&self) -> impl Iterator<Item = (&ContentDigest, &Record)> {
        self.absent.iter().filter_map(|(_, digest)| Some((digest, self.records.get(digest)?)))
    }

    /// The target, shared between all records.
    pub(super) fn shared_target(&self, target: &EndpointTarget) -> Arc<EndpointTarget> {
        let known = self.lanes.get_key_value(target);
        known.map_or_else(|| Arc::new(target.clone()), |(known, _)| known.clone())
    }

    /// See [`Lane::next_due`].
    pub(super) fn next_due(
        &self,
        target: &EndpointTarget,
        rank: u64,
        booking: &Booking,
        rate: f64,
        earliest: Instant,
    ) -> Instant {
        let lane = self.lanes.get(target).and_then(|lanes| lanes.get(&rank));
        lane.map_or(earliest, |lane| lane.next_due(booking, rate, earliest))
    }

    /// Adds a reservation whose work is done at `rate`; false if there is no room for it.
    pub(super) fn insert(&mut self, digest: ContentDigest, record: Record, rate: f64) -> bool {
        if self.capacity <= self.records.len() && !self.make_room(&record.booking.workspace) {
            return false;
        }
        self.absent.insert((record.recognised_until, digest));
        self.lane(&record).add(&record.booking, rate);
        self.change_workspace(&record.booking.workspace, |held| {
            held.insert(record.sequence, digest);
        });
        self.records.insert(digest, record);
        true
    }

    /// Evicts the newest reservation of the workspace with the most, if this one has less than its
    /// part and remains below the other.
    fn make_room(&mut self, workspace: &Arc<str>) -> bool {
        let Some((largest, holder)) = self.by_size.last().cloned() else { return false };
        let held = self.by_workspace.get(workspace).map_or(0, BTreeMap::len);
        let max_part = self.capacity / MAX_WORKSPACE_PART;
        let gives_room = held < max_part && held + 1 < largest;
        let newest = self.by_workspace.get(&holder).and_then(|held| held.values().next_back());
        match newest.copied() {
            Some(newest) if gives_room => self.remove(&newest),
            _ => return false,
        }
        true
    }

    /// Notes that a try of an absent request is in the queue.
    pub(super) fn set_queued(&mut self, digest: &ContentDigest, ticket: Ticket) {
        let Some(record) = self.records.get_mut(digest) else { return };
        let lane = self.lanes.get_mut(&record.target).and_then(|lanes| lanes.get_mut(&record.rank));
        if let Some(lane) = lane {
            lane.stop_expecting(&record.booking);
            self.absent.remove(&(record.recognised_until, *digest));
            record.queued_as = Some(ticket);
        }
    }

    /// Notes that a queued request is absent again, and is recognised at least until `until`.
    pub(super) fn set_absent(&mut self, digest: &ContentDigest, until: Instant) {
        let Some(record) = self.records.get_mut(digest) else { return };
        let lane = self.lanes.get_mut(&record.target).and_then(|lanes| lanes.get_mut(&record.rank));
        if let Some(lane) = lane {
            lane.expect(&record.booking);
            record.queued_as = None;
            record.recognised_until = record.recognised_until.max(until);
            self.absent.insert((record.recognised_until, *digest));
        }
    }

    pub(super) fn remove(&mut self, digest: &ContentDigest) {
        let Some(record) = self.records.remove(digest) else { return };
        self.absent.remove(&(record.recognised_until, *digest));
        self.change_workspace(&record.booking.workspace, |held| {
            held.remove(&record.sequence);
        });
        let lane = self.lane(&record);
        if record.queued_as.is_none() {
            lane.stop_expecting(&record.booking);
        }
        lane.remove(&record.booking);
        if lane.is_empty()
            && let Some(lanes) = self.lanes.get_mut(&record.target)
        {
            lanes.remove(&record.rank);
            if lanes.is_empty() {
                self.lanes.remove(&record.target);
            }
        }
    }

    /// Removes what is not recognised any more and is not queued.
    pub(super) fn remove_expired(&mut self, now: Instant) {
        while let Some((until, digest)) = self.absent.first().copied()
            && until < now
        {
            self.remove(&digest);
        }
    }

    /// From now on requests that were due before `start` and have not come back are not counted.
    pub(super) fn count_from(&mut self, start: Instant) {
        self.counted_from = self.counted_from.max(start);
    }

    /// Tokens of absent requests of this rank or better that are due before `until`.
    pub(super) fn awaited(&self, target: &EndpointTarget, rank: u64, until: Instant) -> u64 {
        let Some(lanes) = self.lanes.get(target) else { return 0 };
        lanes.range(..=rank).map(|(_, lane)| lane.awaited(self.counted_from, until)).sum()
    }

    fn lane(&mut self, record: &Record) -> &mut Lane {
        self.lanes.entry(record.target.clone()).or_default().entry(record.rank).or_default()
    }

    /// Changes the reservations of a workspace.
    fn change_workspace(
        &mut self,
        workspace: &Arc<str>,
        change: impl FnOnce(&mut BTreeMap<u64, ContentDigest>),
    ) {
        let held = self.by_workspace.entry(workspace.clone()).or_default();
        let before = held.len();
        change(held);
        let after = held.len();
        if after == 0 {
            self.by_workspace.remove(workspace);
        }
        self.by_size.remove(&(before, workspace.clone()));
        if 0 < after {
            self.by_size.insert((after, workspace.clone()));
        }
    }
}
