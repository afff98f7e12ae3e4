//! Corrects forecasts of waits by how long requests have really waited.

use std::{collections::HashMap, time::Duration};

use super::Ticket;
use crate::units::Instant;

/// Weight of the latest request; about the last ten count.
const EWMA_WEIGHT: f64 = 0.1;
/// Shorter forecasts say little: one prompt that is prefilled before the request changes them by half.
const MIN_FORECAST: Duration = Duration::from_millis(500);
/// Bounds of the factor. Engines turn up to four times slower; forecasts are not lowered by more than
/// their usual error, since a request that is admitted wrongly costs its caller most.
const FACTORS: std::ops::RangeInclusive<f64> = 0.8..=4.0;
/// Time constant in which the factor returns to 1 without measurements.
const RELAXATION: Duration = Duration::from_secs(5);

/// Ratio of observed to forecast waits, averaged over its logarithm.
#[derive(Debug, Default)]
pub(super) struct WaitCalibration {
    log_ratio: f64,
    measured_at: Instant,
    /// Forecasts for queued requests, before correction.
    forecasts: HashMap<Ticket, Duration>,
}

impl WaitCalibration {
    /// Factor by which forecasts are to be multiplied.
    pub(super) fn factor(&self, now: Instant) -> f64 {
        self.log_ratio(now).exp().clamp(*FACTORS.start(), *FACTORS.end())
    }

    /// Records the forecast, before correction, for a request that is queued.
    pub(super) fn on_queued(&mut self, ticket: Ticket, forecast: Duration) {
        if MIN_FORECAST <= forecast {
            self.forecasts.insert(ticket, forecast);
        }
    }

    /// Records that a request has left the queue. The wait of one that was not started is a lower bound.
    pub(super) fn on_left(
        &mut self,
        ticket: Ticket,
        waited: Duration,
        started: bool,
        now: Instant,
    ) {
        let Some(forecast) = self.forecasts.remove(&ticket) else { return };
        let ratio = waited.as_secs_f64().max(0.001) / forecast.as_secs_f64();
        if !started && ratio < 1.0 {
            return;
        }
        let before = self.log_ratio(now);
        let bounded = ratio.clamp(*FACTORS.start(), *FACTORS.end()).ln();
        self.log_ratio = before + EWMA_WEIGHT * (bounded - before);
        self.measured_at = now;
    }

    fn log_ratio(&self, now: Instant) -> f64 {
        let age = now.since(self.measured_at).as_secs_f64() / RELAXATION.as_secs_f64();
        self.log_ratio * (-age).exp()
    }
}
