//! Circuit breaker of an endpoint that rejects requests.

use std::time::Duration;

use crate::units::Instant;

/// First back-off after a rejection that names no time, doubled with each consecutive rejection. It
/// leaves most of a request's queueing time to try other endpoints.
const INITIAL_DEFAULT_BACKOFF: Duration = Duration::from_millis(250);
/// Longest back-off after a rejection that names no time.
const MAX_DEFAULT_BACKOFF: Duration = Duration::from_secs(4);
/// After this time without a new request, unanswered ones no longer block others: their responses
/// may be lost.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after the end of the back-off at which the circuit resets, however few requests were
/// answered.
const RESET_AFTER: Duration = Duration::from_secs(30);
/// Limit of unanswered requests at which the circuit counts as reset.
const MAX_UNANSWERED: u32 = 16;

/// Circuit breaker of one endpoint, as seen by one sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Circuit {
    /// Time of the last rejection.
    rejected_at: Instant,
    /// Until then the endpoint is a last resort.
    until: Instant,
    /// Consecutive rejections.
    rejections: u32,
    /// Requests sent since the last rejection that are still unanswered.
    unanswered: u32,
    /// Maximum of `unanswered`.
    allowed: u32,
    /// When a request was last sent.
    last_sent: Instant,
}

impl Circuit {
    /// Creates a circuit without rejections.
    pub(super) fn new() -> Circuit {
        let never = Instant::default();
        Circuit {
            rejected_at: never,
            until: never,
            rejections: 0,
            unanswered: 0,
            allowed: MAX_UNANSWERED,
            last_sent: never,
        }
    }

    /// Records a rejection with the back-off that the endpoint asked for, if any.
    pub(super) fn on_rejection(&mut self, retry_after: Option<Duration>, now: Instant) {
        let backoff = INITIAL_DEFAULT_BACKOFF * 2u32.pow(self.rejections.min(8));
        let backoff = retry_after.unwrap_or(backoff.min(MAX_DEFAULT_BACKOFF));
        self.rejections += 1;
        self.trip_until(now.after(backoff), now);
    }

    /// Makes the endpoint a last resort until then, with one unanswered request at a time.
    pub(super) fn trip_until(&mut self, until: Instant, now: Instant) {
        self.rejected_at = now;
        self.until = self.until.max(until);
        self.unanswered = 0;
        self.allowed = 1;
    }

    /// Time of the last rejection.
    pub(super) fn rejected_at(&self) -> Instant {
        self.rejected_at
    }

    pub(super) fn until(&self) -> Instant {
        self.until
    }

    pub(super) fn is_last_resort(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Whether the limit of unanswered requests allows one more.
    pub(super) fn admits(&self, now: Instant) -> bool {
        self.unanswered < self.allowed || RESPONSE_TIMEOUT <= now.since(self.last_sent)
    }

    pub(super) fn on_sent(&mut self, now: Instant) {
        self.unanswered = self.unanswered.saturating_add(1);
        self.last_sent = now;
    }

    /// A request sent at `sent` has ended; `answered` if the endpoint began to respond.
    pub(super) fn on_end(&mut self, sent: Instant, answered: bool) {
        if sent <= self.rejected_at {
            return;
        }
        self.unanswered = self.unanswered.saturating_sub(1);
        if answered {
            self.rejections = 0;
            self.allowed = (self.allowed * 2).min(MAX_UNANSWERED);
        }
    }

    /// Whether the circuit has reset.
    pub(super) fn is_reset(&self, now: Instant) -> bool {
        self.until <= now
            && (MAX_UNANSWERED <= self.allowed || RESET_AFTER <= now.since(self.until))
    }
}
