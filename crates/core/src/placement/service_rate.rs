//! Decaying sums and the rate at which a target starts work while requests wait for it.

use std::time::Duration;

use crate::units::Instant;

/// Time constant in which a rise of the rate is seen.
const RISE_WINDOW: Duration = Duration::from_millis(400);
/// Time constant in which a fall of the rate is seen. Exceeds the 0.6 s for which an engine is
/// slow now and then, so that a short dip rejects nothing.
const FALL_WINDOW: Duration = Duration::from_millis(1_200);
/// Time for which requests must have waited for capacity before only starts count. Until then the
/// rate of releases fills the gap, since the first few starts alone are too few for an estimate.
const ONSET: Duration = Duration::from_millis(250);

/// A sum whose parts decay exponentially with their age.
#[derive(Debug, Clone, Copy)]
pub(super) struct DecayingSum {
    window: Duration,
    sum: f64,
    at: Instant,
}

impl DecayingSum {
    pub(super) fn new(window: Duration) -> DecayingSum {
        DecayingSum { window, sum: 0.0, at: Instant::default() }
    }

    pub(super) fn add(&mut self, amount: f64, now: Instant) {
        self.sum = self.at_time(now) + amount;
        self.at = self.at.max(now);
    }

    /// The sum, decayed to `now`.
    pub(super) fn at_time(&self, now: Instant) -> f64 {
        self.sum * (-now.since(self.at).as_secs_f64() / self.window.as_secs_f64()).exp()
    }

    /// Amount per second.
    pub(super) fn per_second(&self, now: Instant) -> f64 {
        self.at_time(now) / self.window.as_secs_f64()
    }
}

/// A rate of arrivals or releases over the longer window.
pub(super) fn slow_sum() -> DecayingSum {
    DecayingSum::new(FALL_WINDOW)
}

/// Work started while requests waited, and for how long they did.
#[derive(Debug, Clone, Copy)]
struct BusyPeriod {
    started: DecayingSum,
    /// Seconds.
    busy: DecayingSum,
}

impl BusyPeriod {
    fn new(window: Duration) -> BusyPeriod {
        BusyPeriod { started: DecayingSum::new(window), busy: DecayingSum::new(window) }
    }

    fn rate(&self, release_rate: f64, now: Instant) -> f64 {
        let busy = self.busy.at_time(now);
        let onset = (ONSET.as_secs_f64() - busy).max(0.0);
        (self.started.at_time(now) + release_rate * onset) / (busy + onset)
    }
}

/// Measures the rate at which a target starts work, in tokens per second.
///
/// Only time in which requests wait counts, because without a queue the starts show the demand and not
/// the capacity. What then starts is what the engines have room for, whether KV cache or prefill time
/// is short.
#[derive(Debug)]
pub(super) struct ServiceRate {
    fast: BusyPeriod,
    slow: BusyPeriod,
    released: DecayingSum,
    /// Number of starts and releases.
    events: DecayingSum,
    busy_since: Option<Instant>,
}

impl Default for ServiceRate {
    fn default() -> ServiceRate {
        ServiceRate {
            fast: BusyPeriod::new(RISE_WINDOW),
            slow: BusyPeriod::new(FALL_WINDOW),
            released: slow_sum(),
            events: slow_sum(),
            busy_since: None,
        }
    }
}

impl ServiceRate {
    /// Records whether requests wait for capacity from now on.
    pub(super) fn set_busy(&mut self, is_busy: bool, now: Instant) {
        if let Some(since) = self.busy_since {
            let elapsed = now.since(since).as_secs_f64();
            self.fast.busy.add(elapsed, now);
            self.slow.busy.add(elapsed, now);
        }
        self.busy_since = is_busy.then_some(now);
    }

    /// Whether requests wait for capacity.
    pub(super) fn is_busy(&self) -> bool {
        self.busy_since.is_some()
    }

    /// Records that work started.
    pub(super) fn on_started(&mut self, work: f64, now: Instant) {
        if self.is_busy() {
            self.fast.started.add(work, now);
            self.slow.started.add(work, now);
            self.events.add(1.0, now);
        }
    }

    /// Records that work ended.
    pub(super) fn on_released(&mut self, work: f64, now: Instant) {
        self.released.add(work, now);
        self.events.add(1.0, now);
    }

    /// Number of recent events that the rate is based on.
    pub(super) fn events(&self, now: Instant) -> f64 {
        self.events.at_time(now)
    }

    /// Tokens per second that the target starts on average.
    pub(super) fn average(&self, now: Instant) -> f64 {
        self.slow.rate(self.released.per_second(now), now)
    }

    /// Tokens per second that the target can start: the higher of a short and a long average, so that
    /// a rise is seen sooner than a fall.
    pub(super) fn tokens_per_second(&self, now: Instant) -> f64 {
        let released = self.released.per_second(now);
        self.fast.rate(released, now).max(self.slow.rate(released, now))
    }
}
