//! How many requests an endpoint is sent after it has rejected one.

use std::time::Duration;

use crate::units::Instant;

/// An endpoint that rejects a request without naming a time is the last resort for this long, doubled after each
/// rejection in a row: most of the time that a request waits for a place is left to go elsewhere.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest of these pauses: by then one request asks again.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// A request that is not answered for this long keeps no other from being sent: its end may have been lost.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);
/// After so long without a rejection nothing is left of the last one, however few requests were answered since.
const LIFE: Duration = Duration::from_secs(30);
/// Unanswered requests at which an endpoint that answers again is as open as any other.
const FULLY_OPEN: u32 = 16;

/// One endpoint that has rejected a request lately, as one sender sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Circuit {
    /// When it last rejected a request.
    rejected: Instant,
    /// Until then it is the last resort.
    until: Instant,
    /// Rejections since it last answered.
    rejections: u32,
    /// Requests sent since the last rejection that are not answered yet.
    unanswered: u32,
    /// How many of them there may be.
    allowed: u32,
    /// When one was last sent.
    sent: Instant,
}

impl Circuit {
    /// One that has rejected nothing.
    pub(super) fn new() -> Circuit {
        let never = Instant::default();
        Circuit {
            rejected: never,
            until: never,
            rejections: 0,
            unanswered: 0,
            allowed: FULLY_OPEN,
            sent: never,
        }
    }

    /// Notes a rejection; for how long the endpoint wants no requests if it has said so.
    pub(super) fn on_rejection(&mut self, retry_after: Option<Duration>, now: Instant) {
        let pause = FIRST_PAUSE * 2u32.pow(self.rejections.min(8));
        let pause = retry_after.unwrap_or(pause.min(LONGEST_PAUSE));
        self.rejections += 1;
        self.close_until(now.after(pause), now);
    }

    /// The endpoint is the last resort until then, and sent one request at a time.
    pub(super) fn close_until(&mut self, until: Instant, now: Instant) {
        self.rejected = now;
        self.until = self.until.max(until);
        self.unanswered = 0;
        self.allowed = 1;
    }

    pub(super) fn until(&self) -> Instant {
        self.until
    }

    pub(super) fn is_last_resort(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Whether one more request may be sent before others are answered.
    pub(super) fn admits(&self, now: Instant) -> bool {
        self.unanswered < self.allowed || ANSWER_LIMIT <= now.since(self.sent)
    }

    pub(super) fn on_sent(&mut self, now: Instant) {
        self.unanswered = self.unanswered.saturating_add(1);
        self.sent = now;
    }

    /// A request that was sent then has ended; `answered` if the endpoint has begun to answer it.
    pub(super) fn on_end(&mut self, sent: Instant, answered: bool) {
        if sent <= self.rejected {
            return;
        }
        self.unanswered = self.unanswered.saturating_sub(1);
        if answered {
            self.rejections = 0;
            self.allowed = (self.allowed * 2).min(FULLY_OPEN);
        }
    }

    /// Whether nothing is left of the rejection.
    pub(super) fn is_over(&self, now: Instant) -> bool {
        self.until <= now && (FULLY_OPEN <= self.allowed || LIFE <= now.since(self.until))
    }
}
