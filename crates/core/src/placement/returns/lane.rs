//! Times of return of the requests of one target and rank.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use crate::units::Instant;

/// Work is summed per interval of this length, so that a sum over the usual horizon of some seconds
/// reads a few hundred entries.
const BUCKET_MICROS: u64 = 50_000;

/// Longer times of work count as this, in seconds; no caller waits as long.
const MAX_SECONDS: f64 = 3_600.0;

fn bucket(at: Instant) -> u64 {
    at.0 / BUCKET_MICROS
}

/// Time that work takes at a rate of tokens per second.
fn time_for(tokens: u64, rate: f64) -> Duration {
    Duration::from_secs_f64((tokens as f64 / rate).clamp(0.0, MAX_SECONDS))
}

/// Reservations of one workspace.
#[derive(Debug)]
struct Holder {
    records: usize,
    /// Tokens of its reservations.
    work: u64,
    share: u64,
    /// Latest time of return that it was given.
    last: Instant,
}

/// What is reserved for one request.
#[derive(Debug, Clone)]
pub(super) struct Booking {
    pub(super) workspace: Arc<str>,
    /// Fair-share weight of the workspace.
    pub(super) share: u64,
    /// Prompt and expected output, in tokens.
    pub(super) work: u64,
    pub(super) due: Instant,
    /// Whether it is served only from what newcomers leave over.
    pub(super) is_late: bool,
}

/// Reservations of one target and rank.
#[derive(Debug, Default)]
pub(super) struct Lane {
    /// Latest time of return that was given.
    last: Instant,
    /// Tokens of the requests that have not come back, by time of return.
    awaited: BTreeMap<u64, u64>,
    holders: HashMap<Arc<str>, Holder>,
    total_share: u64,
}

impl Lane {
    /// The time of return of a request whose work is done at `rate` tokens per second: after those
    /// given before, or earlier if the workspace has less than its share of the reservations.
    pub(super) fn next_due(&self, booking: &Booking, rate: f64, earliest: Instant) -> Instant {
        let spacing = time_for(booking.work, rate);
        let in_line = earliest.max(self.last.after(spacing));
        let holder = self.holders.get(&booking.workspace);
        let (held, known_share) = holder.map_or((0, 0), |holder| (holder.work, holder.share));
        let others = self.total_share - known_share;
        let fraction = booking.share as f64 / (others + booking.share) as f64;
        let by_share = earliest.after(time_for(held + booking.work, rate * fraction));
        let by_share = holder.map_or(by_share, |holder| by_share.max(holder.last.after(spacing)));
        in_line.min(by_share)
    }

    /// Adds a reservation; later ones are spaced by it at `rate`.
    pub(super) fn add(&mut self, booking: &Booking, rate: f64) {
        // One that went ahead of the line by its share makes the line longer by its work.
        let went_ahead = booking.due < self.last;
        let longer = self.last.after(time_for(booking.work, rate));
        self.last = if went_ahead { longer } else { booking.due };
        let holder = self.holders.entry(booking.workspace.clone()).or_insert(Holder {
            records: 0,
            work: 0,
            share: booking.share,
            last: booking.due,
        });
        if holder.records == 0 {
            self.total_share += holder.share;
        }
        holder.records += 1;
        holder.work += booking.work;
        holder.last = holder.last.max(booking.due);
        self.expect(booking);
    }

    /// Counts the work of a reservation whose request has not come back.
    pub(super) fn expect(&mut self, booking: &Booking) {
        if booking.is_late {
            return;
        }
        *self.awaited.entry(bucket(booking.due)).or_default() += booking.work;
    }

    /// No longer counts the work of a reservation, since its request is in the queue.
    pub(super) fn stop_expecting(&mut self, booking: &Booking) {
        if booking.is_late {
            return;
        }
        let bucket = bucket(booking.due);
        let Some(work) = self.awaited.get_mut(&bucket) else { return };
        *work -= booking.work;
        if *work == 0 {
            self.awaited.remove(&bucket);
        }
    }

    /// Removes a reservation whose work is no longer counted.
    pub(super) fn remove(&mut self, booking: &Booking) {
        let Some(holder) = self.holders.get_mut(&booking.workspace) else { return };
        holder.records -= 1;
        holder.work -= booking.work;
        if holder.records == 0 {
            self.total_share -= holder.share;
            self.holders.remove(&booking.workspace);
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Tokens of the requests that have not come back and are due from `from` to `until`, with the
    /// resolution of a bucket.
    pub(super) fn awaited(&self, from: Instant, until: Instant) -> u64 {
        if until <= from {
            return 0;
        }
        self.awaited.range(bucket(from)..=bucket(until)).map(|(_, work)| work).sum()
    }
}
