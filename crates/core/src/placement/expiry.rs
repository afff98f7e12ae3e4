//! Rejection of queued requests that have expired or cannot be served.

use std::time::Duration;

use super::{
    Action, Request, Ticket,
    admission_control::EARLY_FRACTION,
    endpoint::{EndpointState, Health},
    forecast::LengthForecast,
    returns::{Capacity, unreserved_error},
    scheduler::{PlacedRequest, Scheduler},
    target::TargetState,
    token_latency,
};
use crate::{
    config::EndpointTarget,
    error::{ErrorKind, RequestError},
    mechanism::Mechanism,
    units::Instant,
};

/// Requests whose estimated wait exceeds `max_wait` by this factor are rejected on arrival while no
/// rates are known. Above 1 because that estimate is rough.
const EXCESS_WAIT_FACTOR: u32 = 2;
/// Fraction of the average output that is assumed to be left of a response that has exceeded it.
const MIN_OUTPUT_LEFT: f64 = 0.05;

impl Scheduler {
    /// Rejects requests that have exceeded their maximum wait.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(expiry) = self.expiries.first().copied() {
            if now < expiry.at {
                break;
            }
            let ticket = expiry.ticket;
            let wait = self.wait_of_queued(ticket, now).unwrap_or_default();
            actions.push(self.give_up(ticket, "no endpoint became free in time", wait, now));
            self.expiries.remove(&expiry);
        }
        actions
    }

    /// Expected wait of a new request like a queued one.
    fn wait_of_queued(&self, ticket: Ticket, now: Instant) -> Option<Duration> {
        let queued = self.queued.get(&ticket)?;
        let target = self.targets.get(&queued.target)?;
        let waiting = target.queue.find(queued.rank, &queued.workspace, ticket);
        let forecast =
            waiting.and_then(|waiting| target.calibrated_wait(&waiting.req, &self.returns, now));
        Some(forecast.unwrap_or_else(|| target.expected_wait(queued.rank)))
    }

    /// Records a new request for admission control. Services use no KV cache and are not subject to it.
    pub(super) fn record_arrival(&mut self, req: &Request, now: Instant) {
        if !self.limits.disabled.allows(Mechanism::AdmissionForecast)
            || matches!(req.target, EndpointTarget::Service(_))
        {
            return;
        }
        let work = request_work(&self.forecast, req);
        if let Some(target) = self.targets.get_mut(&req.target) {
            target.admission.on_arrival(req, work, now);
        }
    }

    /// Expected wait of a request that is to be rejected because the queue is too long.
    pub(super) fn excess_wait(
        &self,
        target: &TargetState,
        req: &Request,
        now: Instant,
    ) -> Option<Duration> {
        let forecast = target.calibrated_wait(req, &self.returns, now);
        let wait = forecast.unwrap_or_else(|| target.expected_wait(req.rank));
        let too_long = match forecast {
            Some(wait) => req.max_wait < wait,
            None => {
                self.limits.disabled.allows(Mechanism::EarlyRefusal)
                    && req.max_wait * EXCESS_WAIT_FACTOR < wait
            }
        };
        (too_long || self.limits.max_waiting <= target.queue.len()).then_some(wait)
    }

    /// Rejects the queued requests of a target that are not expected to start in time.
    pub(super) fn shed_overdue(&mut self, name: &EndpointTarget, now: Instant) -> Vec<Action> {
        let Some(target) = self.targets.get_mut(name) else { return Vec::new() };
        target.admission.on_decided(target.queue.has_eligible(), now);
        if !target.admission.is_check_due(now) {
            return Vec::new();
        }
        self.renew_releases(name, now);
        let Some(target) = self.targets.get_mut(name) else { return Vec::new() };
        let overdue = target.admission.overdue(&target.queue, &self.returns, now);
        let message = "the queue has become too long for this request";
        let shed =
            overdue.into_iter().map(|(ticket, wait)| self.give_up(ticket, message, wait, now));
        shed.collect()
    }

    /// Forecasts when the running requests of a target end, from their progress.
    fn renew_releases(&mut self, name: &EndpointTarget, now: Instant) {
        let Some(target) = self.targets.get(name) else { return };
        let time_left = |placed: &PlacedRequest| {
            let output = target.admission.output_of_long(placed.req.rank)?;
            let endpoint = self.endpoints.get(&placed.endpoint)?;
            let token_seconds = endpoint.token_latency.seconds_per_token(now);
            let token_seconds = token_seconds.unwrap_or(token_latency::DEFAULT_TOKEN_SECONDS);
            let rest = (output - placed.tokens as f64).max(output * MIN_OUTPUT_LEFT);
            let left = Duration::from_secs_f64(rest * token_seconds);
            Some((placed.req.prompt_tokens as f64 + output, left))
        };
        let placed = self.placed.values().filter(|placed| placed.req.target == *name);
        let running: Vec<(f64, Duration)> = placed.filter_map(time_left).collect();
        if let Some(target) = self.targets.get_mut(name) {
            target.admission.renew_releases(running.into_iter(), now);
        }
    }

    /// Rejects a queued request and reserves its return.
    fn give_up(&mut self, ticket: Ticket, message: &str, wait: Duration, now: Instant) -> Action {
        let error = match self.dequeue(ticket, now) {
            Some(waiting) => {
                let is_late =
                    waiting.req.ttft_target.mul_f64(EARLY_FRACTION) < now.since(waiting.arrived);
                self.reject(message, &waiting.req, wait, is_late, now)
            }
            None => unreserved_error(message, wait),
        };
        Action::GiveUp { ticket, error }
    }

    /// Error for a request that was or would be queued for too long, with the time to come back.
    pub(super) fn reject(
        &mut self,
        message: &str,
        req: &Request,
        wait: Duration,
        is_late: bool,
        now: Instant,
    ) -> RequestError {
        let work = request_work(&self.forecast, req);
        let target = self.targets.get(&req.target);
        let rate = target.and_then(|target| target.admission.usual_rate(req.rank, now));
        let starts = || target.map_or(0.0, TargetState::start_rate) * work;
        let capacity = Capacity { wait, work, rate: rate.unwrap_or_else(starts), is_late };
        self.returns.reject(message, req, capacity, now)
    }

    /// Rejects requests for targets whose data halls are all out of service, since operators take
    /// minutes to restore them.
    pub(super) fn give_up_out_of_service(&mut self, now: Instant) -> Vec<Action> {
        let with_queue = self.targets.iter().filter(|(_, target)| 0 < target.queue.len());
        let out: Vec<EndpointTarget> = with_queue
            .map(|(name, _)| name.clone())
            .filter(|target| self.is_target_out_of_service(target))
            .collect();
        if out.is_empty() {
            return Vec::new();
        }
        let mut waiting: Vec<(Ticket, EndpointTarget)> = self
            .queued
            .iter()
            .filter(|(_, queued)| out.contains(&queued.target))
            .map(|(ticket, queued)| (*ticket, queued.target.clone()))
            .collect();
        waiting.sort_by_key(|(ticket, _)| *ticket);
        let mut actions = Vec::new();
        for (ticket, target) in waiting {
            self.cancel(ticket, now);
            actions.push(Action::GiveUp { ticket, error: self.no_endpoint_error(&target) });
        }
        actions
    }

    /// Whether every endpoint of a target, other than leaving ones, is in a data hall that is out of
    /// service.
    fn is_target_out_of_service(&self, target: &EndpointTarget) -> bool {
        let names = self.targets.get(target).map_or(&[][..], |target| &target.endpoints);
        let states = names.iter().filter_map(|name| self.endpoints.get(name));
        let mut staying = states.filter(|state| state.health != Health::Leaving).peekable();
        staying.peek().is_some() && staying.all(EndpointState::is_out_of_service)
    }

    /// Error for a request whose target has no usable endpoint.
    pub(super) fn no_endpoint_error(&self, target: &EndpointTarget) -> RequestError {
        let name = target.name();
        if self.is_target_out_of_service(target) {
            let message = format!("every data hall that serves {name} is out of service");
            return RequestError::new(ErrorKind::OutOfService, message);
        }
        RequestError::new(ErrorKind::NoEndpoint, format!("no live endpoint serves {name}"))
    }
}

/// Prompt tokens and expected output tokens of a request.
pub(super) fn request_work(forecast: &LengthForecast, req: &Request) -> f64 {
    let distribution = forecast.distribution(&req.workspace, &req.kind);
    req.prompt_tokens as f64 + distribution.expected_remaining(0, req.max_tokens)
}
