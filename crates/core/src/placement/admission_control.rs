//! Rejects requests that would not start in time, on arrival or as soon as that becomes apparent.
//!
//! Capacity for urgent short requests is neither held back nor taken from running ones. The queue
//! serves better ranks first, and on full engines capacity becomes free every few ten milliseconds; in
//! the tests, 99% of the short requests are in time during bursts of long ones. Held back KV cache would
//! stand idle, and a preempted generation would lose its prefill.

use std::{collections::BTreeMap, time::Duration};

use super::{
    Request, Ticket,
    queue::{Queue, WaitingRequest},
    queued_work::QueuedWork,
    release_forecast::ReleaseForecast,
    reserved_work::ReservedWork,
    service_curve::ServiceCurve,
    service_rate::{DecayingSum, ServiceRate, slow_sum},
    wait_calibration::WaitCalibration,
};
use crate::units::Instant;

/// Time after the first request before estimates are used: one averaging period.
const LEARNING_TIME: Duration = Duration::from_secs(1);
/// Number of recent starts and releases below which the rate is unknown, since a few events say
/// nothing about the next second.
const MIN_EVENTS: f64 = 4.0;
/// Interval between two checks of the queue, short against the smallest target latencies.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Fraction of the target latency within which a rejection is worth much more to the caller.
pub(super) const EARLY_FRACTION: f64 = 0.25;
/// Factor by which the wait of a request must exceed the time it has left to be shed early. An
/// estimate from 25 starts per second has an error of about a fifth; half of that avoids that requests
/// at the limit are admitted and shed by turns.
const EARLY_MARGIN: f64 = 1.1;
/// The same for older requests: twice the error, because a late rejection gains the caller little.
const LATE_MARGIN: f64 = 1.4;
/// Weight of the latest request in the averages of a rank; about the last twenty count.
const EWMA_WEIGHT: f64 = 0.05;

/// Time constant of the usual demand. It is expected after the next seconds, since a burst that has
/// lasted for seconds says little about the time after them.
const USUAL_DEMAND_WINDOW: Duration = Duration::from_secs(15);

/// What is known of the requests of one rank.
#[derive(Debug)]
struct RankProfile {
    /// Tokens that have arrived recently.
    arrived: DecayingSum,
    /// Tokens that have arrived over [`USUAL_DEMAND_WINDOW`].
    arrived_usually: DecayingSum,
    calibration: WaitCalibration,
    /// Average of the expected output, in tokens.
    output: f64,
    /// Average time from start to end, once measured.
    hold: Option<Duration>,
}

/// Estimates the waits of one target's requests and decides which of them to reject.
#[derive(Debug, Default)]
pub(super) struct AdmissionControl {
    first_arrival: Option<Instant>,
    rate: ServiceRate,
    releases: ReleaseForecast,
    ranks: BTreeMap<u64, RankProfile>,
    next_check: Instant,
}

impl AdmissionControl {
    /// Records a new request; `work` is its number of prompt and expected output tokens.
    pub(super) fn on_arrival(&mut self, req: &Request, work: f64, now: Instant) {
        self.first_arrival.get_or_insert(now);
        let output = work - req.prompt_tokens as f64;
        let new = || RankProfile {
            arrived: slow_sum(),
            arrived_usually: DecayingSum::new(USUAL_DEMAND_WINDOW),
            calibration: WaitCalibration::default(),
            output,
            hold: None,
        };
        let profile = self.ranks.entry(req.rank).or_insert_with(new);
        profile.arrived.add(work, now);
        profile.arrived_usually.add(work, now);
        profile.output += EWMA_WEIGHT * (output - profile.output);
    }

    /// Records that a request is queued, with its expected wait before calibration.
    pub(super) fn on_queued(&mut self, req: &Request, forecast: Option<Duration>) {
        if let (Some(profile), Some(forecast)) = (self.ranks.get_mut(&req.rank), forecast) {
            profile.calibration.on_queued(req.ticket, forecast);
        }
    }

    /// Records that a queued request of this many tokens has started.
    pub(super) fn on_started(&mut self, work: f64, now: Instant) {
        self.rate.on_started(work, now);
    }

    /// Records that a request has left the queue.
    pub(super) fn on_left_queue(&mut self, waiting: &WaitingRequest, started: bool, now: Instant) {
        if let Some(profile) = self.ranks.get_mut(&waiting.req.rank) {
            let waited = now.since(waiting.arrived);
            profile.calibration.on_left(waiting.req.ticket, waited, started, now);
        }
    }

    /// Records that a request of this many tokens has ended, `hold` after its start if that is known.
    pub(super) fn on_released(
        &mut self,
        rank: u64,
        work: f64,
        hold: Option<Duration>,
        now: Instant,
    ) {
        self.rate.on_released(work, now);
        if self.output_of_long(rank).is_some() {
            self.releases.on_released(work, now);
        }
        if let (Some(profile), Some(hold)) = (self.ranks.get_mut(&rank), hold) {
            let before = profile.hold.unwrap_or(hold);
            profile.hold = Some(before.mul_f64(1.0 - EWMA_WEIGHT) + hold.mul_f64(EWMA_WEIGHT));
        }
    }

    /// Average expected output of the requests of a rank whose releases are forecast.
    pub(super) fn output_of_long(&self, rank: u64) -> Option<f64> {
        let profile = self.ranks.get(&rank)?;
        profile.hold.filter(|hold| ReleaseForecast::covers(*hold)).map(|_| profile.output)
    }

    /// Replaces the forecast of when running requests end.
    pub(super) fn renew_releases(
        &mut self,
        running: impl Iterator<Item = (f64, Duration)>,
        now: Instant,
    ) {
        self.releases.renew(running, now);
    }

    /// Whether [`AdmissionControl::overdue`] is due, and the forecast of releases before it.
    pub(super) fn is_check_due(&self, now: Instant) -> bool {
        self.rate.is_busy() && self.next_check <= now
    }

    /// Records whether requests wait although all possible starts have been made.
    pub(super) fn on_decided(&mut self, is_waiting: bool, now: Instant) {
        self.rate.set_busy(is_waiting && self.first_arrival.is_some(), now);
    }

    /// Time of the next call to [`AdmissionControl::overdue`], if any request waits.
    pub(super) fn next_check(&self) -> Option<Instant> {
        self.rate.is_busy().then_some(self.next_check)
    }

    /// Tokens per second that requests of this rank can start after the next seconds; `None` if unknown.
    pub(super) fn usual_rate(&self, rank: u64, now: Instant) -> Option<f64> {
        let curve = self.service_curve_at(rank, self.rate.average(now), now)?;
        Some(curve.rate())
    }

    /// Expected time until a new request like this one would start; `None` if unknown.
    pub(super) fn expected_wait(
        &self,
        queue: &Queue,
        req: &Request,
        reserved: &dyn ReservedWork,
        now: Instant,
    ) -> Option<Duration> {
        let forecast = self.forecast_wait(queue, req, reserved, now)?;
        Some(forecast.mul_f64(self.calibration(req.rank, now)))
    }

    /// The same before calibration.
    pub(super) fn forecast_wait(
        &self,
        queue: &Queue,
        req: &Request,
        reserved: &dyn ReservedWork,
        now: Instant,
    ) -> Option<Duration> {
        let curve = self.service_curve(req.rank, now)?;
        let (rank, own) = queue.queued_work(req.rank, &req.workspace);
        let others = if own.requests == 0 { req.share } else { 0 };
        let shares = (rank.share + others) as f64 / req.share.max(1) as f64;
        let fair = self.tokens(req.rank, own) * shares;
        let returning = self.tokens(req.rank, queue.returning_work(req.rank));
        let ahead =
            self.better_work(queue, req.rank) + returning + fair.min(self.tokens(req.rank, rank));
        if ahead <= 0.0 && !self.rate.is_busy() {
            // It may take capacity that is free, which is not kept for absent requests.
            return Some(Duration::ZERO);
        }
        let until = now.after(curve.time_for(ahead));
        Some(curve.time_for(ahead + reserved.reserved(&req.target, req.rank, until)))
    }

    /// Queued requests that would start too late, with the expected time until they would.
    pub(super) fn overdue(
        &mut self,
        queue: &Queue,
        reserved: &dyn ReservedWork,
        now: Instant,
    ) -> Vec<(Ticket, Duration)> {
        if now < self.next_check {
            return Vec::new();
        }
        self.next_check = now.after(CHECK_INTERVAL);
        let mut overdue = Vec::new();
        let mut ahead = 0.0;
        for rank in queue.ranks() {
            let Some(curve) = self.service_curve(rank, now) else { break };
            let calibration = self.calibration(rank, now);
            ahead += self.tokens(rank, queue.returning_work(rank));
            for waiting in queue.in_order(rank) {
                let req = &waiting.req;
                let until = now.after(curve.time_for(ahead));
                let promised = reserved.reserved(&req.target, rank, until);
                let wait = curve.time_for(ahead + promised).mul_f64(calibration);
                if is_overdue(waiting, wait, now) {
                    overdue.push((req.ticket, wait));
                } else {
                    ahead += req.prompt_tokens as f64 + self.output(rank);
                }
            }
        }
        overdue
    }

    /// Work of a rank that can start in the next seconds; `None` if unknown.
    fn service_curve(&self, rank: u64, now: Instant) -> Option<ServiceCurve> {
        self.service_curve_at(rank, self.rate.tokens_per_second(now), now)
    }

    /// The same for this total rate in tokens per second.
    fn service_curve_at(&self, rank: u64, total: f64, now: Instant) -> Option<ServiceCurve> {
        let observed = now.since(self.first_arrival?);
        if observed < LEARNING_TIME || self.rate.events(now) < MIN_EVENTS {
            return None;
        }
        let better = self.ranks.range(..rank).map(|(_, rank)| rank.arrived.per_second(now));
        // The averages have not yet seen a whole window.
        let seen = 1.0 - (-observed.as_secs_f64() / USUAL_DEMAND_WINDOW.as_secs_f64()).exp();
        let usual = self.ranks.range(..rank).map(|(_, rank)| rank.arrived_usually.per_second(now));
        let (better, usual) = (better.sum(), usual.sum::<f64>() / seen);
        Some(ServiceCurve::new(total, better, usual, self.releases.changes(now)))
    }

    fn calibration(&self, rank: u64, now: Instant) -> f64 {
        self.ranks.get(&rank).map_or(1.0, |profile| profile.calibration.factor(now))
    }

    /// Queued tokens of better ranks.
    fn better_work(&self, queue: &Queue, rank: u64) -> f64 {
        let better = queue.ranks().filter(|better| *better < rank);
        let work = |rank| queue.rank_work(rank).plus(queue.returning_work(rank));
        better.map(|better| self.tokens(better, work(better))).sum()
    }

    fn tokens(&self, rank: u64, work: QueuedWork) -> f64 {
        work.prompt_tokens as f64 + work.requests as f64 * self.output(rank)
    }

    /// Average expected output of the requests of a rank, in tokens.
    fn output(&self, rank: u64) -> f64 {
        self.ranks.get(&rank).map_or(0.0, |profile| profile.output)
    }
}

/// Whether a request is to be shed if it would start after `wait`.
fn is_overdue(waiting: &WaitingRequest, wait: Duration, now: Instant) -> bool {
    let age = now.since(waiting.arrived);
    let is_early = age <= waiting.req.ttft_target.mul_f64(EARLY_FRACTION);
    let margin = if is_early { EARLY_MARGIN } else { LATE_MARGIN };
    waiting.req.max_wait.saturating_sub(age).mul_f64(margin) + CHECK_INTERVAL < wait
}
