//! How much new work a link has room for.

use std::time::Duration;

use crate::units::Instant;

/// Part of the capacity from which new work is shed.
const SHED_FROM: f64 = 0.8;
/// Part of the capacity from which as many as possible are shed.
const SHED_MOST_FROM: f64 = 1.0;
/// Part of the work that is shed at most: the rest keeps what is known of the link up to date.
const MAX_SHED: f64 = 0.95;
/// Bytes a second of a stream before any was measured.
const DEFAULT_STREAM_RATE: f64 = 8_000.0;
/// Interval at which the rate of streams is measured, and the weight of one measurement.
const MEASURE_INTERVAL: Duration = Duration::from_millis(50);
const MEASURE_WEIGHT: f64 = 0.02;

/// Forecasts what the streams that were accepted will add to the link.
#[derive(Debug)]
pub(super) struct StreamForecast {
    /// Streams whose first event has not come.
    pending: usize,
    /// Streams that bring events.
    running: usize,
    /// Mean bytes a second of a running stream.
    stream_rate: f64,
    measured: Instant,
}

impl StreamForecast {
    pub(super) fn new() -> StreamForecast {
        StreamForecast {
            pending: 0,
            running: 0,
            stream_rate: DEFAULT_STREAM_RATE,
            measured: Instant::default(),
        }
    }

    /// Streams that were accepted and have not ended.
    pub(super) fn count(&self) -> usize {
        self.pending + self.running
    }

    pub(super) fn on_stream_accepted(&mut self) {
        self.pending += 1;
    }

    pub(super) fn on_stream_begun(&mut self) {
        self.pending -= 1;
        self.running += 1;
    }

    pub(super) fn on_stream_ended(&mut self, has_begun: bool) {
        let count = if has_begun { &mut self.running } else { &mut self.pending };
        *count -= 1;
    }

    /// The rate of the link, in bytes a second, once all accepted streams bring events.
    pub(super) fn forecast(&mut self, rate: f64, now: Instant) -> f64 {
        if 0 < self.running && MEASURE_INTERVAL <= now.since(self.measured) {
            self.measured = now;
            self.stream_rate += MEASURE_WEIGHT * (rate / self.running as f64 - self.stream_rate);
        }
        rate + self.pending as f64 * self.stream_rate
    }
}

/// The part of new work that is shed while the link is forecast to carry this part of its capacity.
pub(super) fn shed_part(load: f64) -> f64 {
    ((load - SHED_FROM) / (SHED_MOST_FROM - SHED_FROM)).clamp(0.0, MAX_SHED)
}

/// Spreads what is accepted evenly over what is offered.
#[derive(Debug, Default)]
pub(super) struct Credit(f64);

impl Credit {
    /// Whether the next one is accepted if this part of all is shed.
    pub(super) fn accept(&mut self, shed_part: f64) -> bool {
        self.0 += 1.0 - shed_part;
        let is_accepted = 1.0 <= self.0;
        if is_accepted {
            self.0 -= 1.0;
        }
        is_accepted
    }
}
