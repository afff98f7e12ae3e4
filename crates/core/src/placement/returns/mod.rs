//! Order of return: each rejected request gets a time at which there will be capacity for it, and is
//! recognised when it comes back.

mod lane;
mod table;
#[cfg(test)]
mod tests;

use std::{sync::Arc, time::Duration};

use self::{
    lane::Booking,
    table::{Record, RecordTable},
};
use super::{Request, reserved_work::ReservedWork};
use crate::{
    config::EndpointTarget,
    error::{ErrorKind, RequestError},
    mechanism::{Disabled, Mechanism},
    quarantine::ContentDigest,
    units::Instant,
};

/// Maximum number of reservations of a scheduler: some minutes of rejections at 60 per second.
const MAX_RECORDS: usize = 16_384;
/// Maximum number of returns that a daemon remembers; some seconds of the rejections that it passes
/// on, and a message of about 20 KB to a new scheduler.
const MAX_PASSED_ON: usize = 256;
/// How much before its time a request counts as due, since timers of callers and the clocks of two
/// daemons differ by some tens of milliseconds.
const EARLY_TOLERANCE: Duration = Duration::from_millis(100);
/// How long after its time an absent request counts as reserved work: the `Retry-After` header has
/// whole seconds, so callers that read only the header come up to a second late.
const AWAITED_AFTER_DUE: Duration = Duration::from_secs(1);
/// How long after its time, or after it has left the queue, a request is recognised.
const RECOGNISED_AFTER_DUE: Duration = Duration::from_secs(3);
/// Callers come back only if the time is at most this part of the time that they have left.
const MAX_PART_OF_TIME_LEFT: u32 = 3;
/// A due request may wait for this part of its time left.
const MAX_WAIT_PART: u32 = 2;
/// It waits for no more than this many times its target latency: callers give up on a stream that stays
/// silent for a few times it.
const MAX_WAIT_TARGETS: u32 = 3;
/// Shortest time to come back: a few round trips.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Shortest time to come back where the request is not recognised, or the rate of service is unknown,
/// as in the first second of a new scheduler.
const MIN_UNRESERVED_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time between returns while the rate of service is unknown, in seconds. It only spreads them; 56
/// engines start a request every 18 ms.
const UNKNOWN_INTERVAL: f64 = 0.02;

/// Order of service of returning requests: by the time that each was given, which follows the order
/// of the first rejections within a rank and workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReturnOrder {
    /// Whether its rejection came too late for it to be served in time. It is served from what
    /// newcomers leave over, since late work must not delay work that will be in time.
    pub(crate) is_late: bool,
    due: Instant,
    sequence: u64,
}

/// What is known of an arriving request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Returning {
    /// It was not rejected, or too long ago, or is already queued.
    Unknown,
    /// It comes before the time that it was given.
    Early(ReturnOrder),
    /// It comes in time.
    Due(ReturnOrder),
}

impl Returning {
    /// Its place before newcomers. An early request has it only while no request of its rank or
    /// better is queued, so that it gets capacity that is free now, and gains nothing otherwise.
    pub(crate) fn place(self, is_queue_empty: bool) -> Option<ReturnOrder> {
        match self {
            Returning::Due(order) => Some(order),
            Returning::Early(order) => is_queue_empty.then_some(order),
            Returning::Unknown => None,
        }
    }
}

/// A time of return that a caller was given.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct PromisedReturn {
    pub(crate) digest: ContentDigest,
    pub(crate) target: EndpointTarget,
    pub(crate) rank: u64,
    pub(crate) workspace: Arc<str>,
    pub(crate) share: u64,
    /// Prompt and expected output, in tokens.
    pub(crate) work: u64,
    pub(crate) due: Instant,
}

/// When there is capacity for a rejected request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Capacity {
    /// Expected time until it would start.
    pub(crate) wait: Duration,
    /// Its prompt and expected output, in tokens.
    pub(crate) work: f64,
    /// Tokens per second at which requests of its rank start; zero if unknown.
    pub(crate) rate: f64,
    /// Whether the rejection comes too late for it to be served in time.
    pub(crate) is_late: bool,
}

impl Capacity {
    /// Its work in whole tokens, at least one.
    fn work(&self) -> u64 {
        self.work.max(1.0) as u64
    }
}

/// Which rejections get a time of return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// All.
    Reserve,
    /// None, but requests that another scheduler gave a time are recognised.
    Recognise,
    Off,
}

/// The times that rejected requests were given.
#[derive(Debug)]
pub(crate) struct ReturnSchedule {
    mode: Mode,
    table: RecordTable,
    next_sequence: u64,
}

impl ReturnSchedule {
    /// A schedule that gives times of return.
    pub(crate) fn new(disabled: Disabled) -> ReturnSchedule {
        ReturnSchedule::with(Mode::Reserve, MAX_RECORDS, disabled)
    }

    /// A schedule that only recognises requests that another scheduler gave a time.
    pub(crate) fn recognising(disabled: Disabled) -> ReturnSchedule {
        ReturnSchedule::with(Mode::Recognise, MAX_PASSED_ON, disabled)
    }

    fn with(mode: Mode, capacity: usize, disabled: Disabled) -> ReturnSchedule {
        let is_on = disabled.allows(Mechanism::ReturnOrder);
        let mode = if is_on { mode } else { Mode::Off };
        ReturnSchedule { mode, table: RecordTable::new(capacity), next_sequence: 0 }
    }

    /// Rejects a request for lack of capacity, and reserves its return.
    pub(crate) fn reject(
        &mut self,
        message: &str,
        req: &Request,
        capacity: Capacity,
        now: Instant,
    ) -> RequestError {
        let mut error = RequestError::new(ErrorKind::Overloaded, message);
        let reserved = self.reserve(req, capacity, now);
        let (Ok(at) | Err(at)) = reserved;
        error.retry_after = Some(at.since(now));
        let is_too_late = latest_return(req, now) < at;
        match reserved {
            Ok(_) => error.reserved_work = capacity.work(),
            Err(_) if self.mode == Mode::Reserve && is_too_late => {
                error.message += "; no capacity is expected in time for another try";
            }
            Err(_) => {}
        }
        error
    }

    /// Reserves the return of a rejected request and returns the time at which it is to come back. If
    /// nothing is reserved, returns as an error when there will be capacity.
    pub(crate) fn reserve(
        &mut self,
        req: &Request,
        capacity: Capacity,
        now: Instant,
    ) -> Result<Instant, Instant> {
        self.expire(now);
        let earliest = now.after(capacity.wait);
        let unreserved = earliest.max(now.after(MIN_UNRESERVED_RETRY_AFTER));
        let Some(digest) = req.digest.filter(|_| !req.isolated) else { return Err(unreserved) };
        if let Some(known) = self.table.get(&digest) {
            if now < known.booking.due {
                return Ok(known.booking.due.max(now.after(MIN_RETRY_AFTER)));
            }
            if known.queued_as.is_some() {
                return Err(unreserved);
            }
            // It came back in time and was not served before half of its time was over.
            self.table.remove(&digest);
        }
        if self.mode != Mode::Reserve {
            return Err(unreserved);
        }
        let is_rate_known = 0.0 < capacity.rate;
        let rate = if is_rate_known { capacity.rate } else { capacity.work / UNKNOWN_INTERVAL };
        let floor = if is_rate_known { MIN_RETRY_AFTER } else { MIN_UNRESERVED_RETRY_AFTER };
        let mut booking = Booking {
            workspace: req.workspace.clone(),
            share: req.share.max(1),
            work: capacity.work(),
            due: earliest.max(now.after(floor)),
            is_late: capacity.is_late,
        };
        let due = self.table.next_due(&req.target, req.rank, &booking, rate, booking.due);
        booking.due = due;
        if due <= latest_return(req, now)
            && self.insert(digest, &req.target, req.rank, booking, rate)
        {
            return Ok(due);
        }
        Err(due)
    }

    /// Recognises an arriving request.
    pub(crate) fn on_return(&mut self, req: &Request, now: Instant) -> Returning {
        self.expire(now);
        let record =
            req.digest.filter(|_| !req.isolated).and_then(|digest| self.table.get(&digest));
        let Some(record) = record else { return Returning::Unknown };
        let Booking { is_late, due, .. } = record.booking;
        let order = ReturnOrder { is_late, due, sequence: record.sequence };
        match record.queued_as {
            Some(ticket) if ticket != req.ticket => Returning::Unknown,
            _ if now.after(EARLY_TOLERANCE) < order.due => Returning::Early(order),
            _ => Returning::Due(order),
        }
    }

    /// Records that a request is queued; its reservation is no longer counted beside the queue.
    pub(crate) fn on_queued(&mut self, req: &Request) {
        let Some(digest) = req.digest else { return };
        if self.table.get(&digest).is_some_and(|record| record.queued_as.is_none()) {
            self.table.set_queued(&digest, req.ticket);
        }
    }

    /// Records that a request has left the queue without being served; it keeps its reservation.
    pub(crate) fn on_withdrawn(&mut self, req: &Request, now: Instant) {
        let Some(digest) = req.digest else { return };
        let queued_as = self.table.get(&digest).and_then(|record| record.queued_as);
        if queued_as == Some(req.ticket) {
            self.table.set_absent(&digest, now.after(RECOGNISED_AFTER_DUE));
        }
    }

    /// Drops the reservation of a request that is served.
    pub(crate) fn on_served(&mut self, req: &Request) {
        if let Some(digest) = &req.digest {
            self.table.remove(digest);
        }
    }

    /// Adds a time of return that another scheduler has given.
    pub(crate) fn restore(&mut self, promised: PromisedReturn, now: Instant) {
        self.expire(now);
        let PromisedReturn { digest, target, rank, workspace, share, work, due } = promised;
        let is_known = self.table.get(&digest).is_some();
        if self.mode == Mode::Off || is_known || due.after(RECOGNISED_AFTER_DUE) <= now {
            return;
        }
        let (share, work, is_late) = (share.max(1), work.max(1), false);
        let booking = Booking { workspace, share, work, due, is_late };
        self.insert(digest, &target, rank, booking, f64::INFINITY);
    }

    /// The times of return that are still recognised.
    pub(crate) fn promised(&self) -> impl Iterator<Item = PromisedReturn> {
        self.table.absent().map(|(digest, record)| PromisedReturn {
            digest: *digest,
            target: (*record.target).clone(),
            rank: record.rank,
            workspace: record.booking.workspace.clone(),
            share: record.booking.share,
            work: record.booking.work,
            due: record.booking.due,
        })
    }

    fn insert(
        &mut self,
        digest: ContentDigest,
        target: &EndpointTarget,
        rank: u64,
        booking: Booking,
        rate: f64,
    ) -> bool {
        self.next_sequence += 1;
        let target = self.table.shared_target(target);
        let sequence = self.next_sequence;
        let recognised_until = booking.due.after(RECOGNISED_AFTER_DUE);
        let queued_as = None;
        let record = Record { target, rank, booking, sequence, recognised_until, queued_as };
        self.table.insert(digest, record, rate)
    }

    /// Drops what was due long ago. Queued requests keep their reservation.
    fn expire(&mut self, now: Instant) {
        let awaited_from = now.0.saturating_sub(AWAITED_AFTER_DUE.as_micros() as u64);
        self.table.count_from(Instant(awaited_from));
        self.table.remove_expired(now);
    }
}

impl ReservedWork for ReturnSchedule {
    fn reserved(&self, target: &EndpointTarget, rank: u64, until: Instant) -> f64 {
        self.table.awaited(target, rank, until) as f64
    }
}

/// The latest time at which a caller comes back.
fn latest_return(req: &Request, now: Instant) -> Instant {
    now.after(req.time_left / MAX_PART_OF_TIME_LEFT)
}

/// Error for a request whose return is not reserved.
pub(crate) fn unreserved_error(message: &str, wait: Duration) -> RequestError {
    let mut error = RequestError::new(ErrorKind::Overloaded, message);
    error.retry_after = Some(wait.max(MIN_UNRESERVED_RETRY_AFTER));
    error
}

/// How long a due request may wait for its start.
pub(crate) fn max_wait_of_due(req: &Request) -> Duration {
    let usable = (req.time_left / MAX_WAIT_PART).min(req.ttft_target * MAX_WAIT_TARGETS);
    req.max_wait.max(usable)
}
