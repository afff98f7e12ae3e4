//! Rejections that are due for the log, at most some per second.

use std::{sync::Arc, time::Duration};

use super::rows::RowKey;
use crate::{
    error::RequestError,
    placement::{Ticket, target::TargetState},
    quarantine::ContentDigest,
    units::Instant,
};

/// Rejections that are logged in one second: enough to see whom an overload affects, few enough for
/// the log of a leader at any load.
pub(super) const LOGGED_PER_SECOND: usize = 20;

/// The state behind a rejection.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RejectionContext {
    /// Expected time until a new request of the same rank would start.
    pub expected_wait: Duration,
    /// Queued requests that would be served before it.
    pub ahead: usize,
    /// Their tokens, if known.
    pub work_ahead: Option<f64>,
    /// Tokens per second at which capacity becomes free, if known.
    pub rate: Option<f64>,
    /// When the request may come back, if a time is reserved for it.
    pub next_return: Option<Instant>,
}

impl RejectionContext {
    /// The state of a target for a request of this rank.
    pub(super) fn new(target: Option<&TargetState>, rank: u64, now: Instant) -> RejectionContext {
        let Some(target) = target else { return RejectionContext::default() };
        RejectionContext {
            expected_wait: target.expected_wait(rank),
            ahead: target.queue.ahead_of(rank),
            rate: target.admission.usual_rate(rank, now),
            ..RejectionContext::default()
        }
    }
}

/// A rejected request and the state behind the decision.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// The request.
    pub ticket: Ticket,
    /// Its service, kind and workspace.
    pub row: Arc<RowKey>,
    /// Its rank in the queue.
    pub rank: u64,
    /// Identifies it in all its tries, if it was computed.
    pub digest: Option<ContentDigest>,
    /// What its caller is told.
    pub error: RequestError,
    /// Time since its arrival at the scheduler.
    pub waited: Duration,
    /// The state behind the decision.
    pub context: RejectionContext,
}

/// Rejections since they were taken last.
#[derive(Debug, Default)]
pub(super) struct RefusalLog {
    due: Vec<Refusal>,
    /// Start of the second in which `logged` rejections were kept.
    began: Instant,
    logged: usize,
    omitted: u64,
}

impl RefusalLog {
    pub(super) fn push(&mut self, refusal: Refusal, now: Instant) {
        if self.is_second_over(now) {
            (self.began, self.logged) = (now, 0);
        }
        if LOGGED_PER_SECOND <= self.logged || LOGGED_PER_SECOND <= self.due.len() {
            self.omitted += 1;
            return;
        }
        self.logged += 1;
        self.due.push(refusal);
    }

    /// Takes the rejections to log. The number of those left out follows when the second is over.
    pub(super) fn take(&mut self, now: Instant) -> (Vec<Refusal>, u64) {
        let omitted = if self.is_second_over(now) { std::mem::take(&mut self.omitted) } else { 0 };
        (std::mem::take(&mut self.due), omitted)
    }

    fn is_second_over(&self, now: Instant) -> bool {
        const SECOND: Duration = Duration::from_secs(1);
        SECOND <= now.since(self.began)
    }
}
