//! What a planned stop of this daemon means for its requests: each gets an answer before the daemon ends.

use std::time::Duration;

use trayswitch_clock::Instant;
use trayswitch_core::{error::RequestError, mechanism::Mechanism};

use super::{Job, Relay, admission::not_ready};
use crate::{telemetry::EventId, timer::sleep_until};

/// Before the daemon's end, requests that still wait for an endpoint are refused, in time for their
/// responses to be written beside others.
const LAST_REFUSAL: Duration = Duration::from_millis(500);
/// Before the daemon's end, requests without a response of their endpoint are given up.
const LAST_FAILURE: Duration = Duration::from_millis(200);
/// How often a waiting request is compared with its chances on another daemon.
const CHANCE_INTERVAL: Duration = Duration::from_millis(100);
/// `Retry-After` of a stopping daemon: a retry reaches another daemon at once.
const RETRY_AFTER: Duration = Duration::from_millis(10);

impl Relay {
    /// Refuses a new request on a stopping daemon if it is more likely to complete on another one.
    pub(super) fn admit_while_stopping(&self, job: &Job) -> Result<(), RequestError> {
        let Some(time_left) = self.node.view().time_to_end() else { return Ok(()) };
        if !self.should_stay(job, time_left) {
            return Err(stopping_error());
        }
        if job.route.spec.kind.is_generation() {
            log::info!(
                event = EventId::TakenWhileStopping.number(), id = job.caller.id.as_str(),
                left_ms = time_left.as_millis() as u64,
                chance_whole = self.chance_here(job, time_left),
                chance_elsewhere = self.node.view().chance_elsewhere();
                "a stopping daemon accepted a generation"
            );
        }
        Ok(())
    }

    /// Runs a wait of a request that has not been sent. Ends it with a refusal once this daemon stops
    /// and the request is more likely to complete on another one, or none may begin here any more.
    pub(super) async fn wait_unless_stopping<T>(
        &self,
        job: &Job,
        wait: impl Future<Output = Result<T, RequestError>>,
    ) -> Result<T, RequestError> {
        tokio::select! {
            biased;
            done = wait => done,
            error = self.stop_refusal(job) => Err(error),
        }
    }

    /// Runs a wait of a request that is not admitted yet. Ends it with a refusal while there is time to
    /// write one.
    pub(super) async fn before_last_refusal<T>(
        &self,
        wait: impl Future<Output = T>,
    ) -> Result<T, RequestError> {
        tokio::select! {
            biased;
            done = wait => Ok(done),
            () = self.near_end(LAST_REFUSAL) => Err(stopping_error()),
        }
    }

    /// Runs an attempt until the deadline of its request, or until this daemon is about to end; returns
    /// which of them came as the error.
    pub(super) async fn until_given_up<T>(
        &self,
        job: &Job,
        attempt: impl Future<Output = T>,
    ) -> Result<T, &'static str> {
        tokio::select! {
            biased;
            done = attempt => Ok(done),
            () = sleep_until(job.deadline) => Err("the deadline has passed"),
            () = self.near_end(LAST_FAILURE) => Err("this daemon is stopping"),
        }
    }

    async fn stop_refusal(&self, job: &Job) -> RequestError {
        let ends = self.node.view().wait_for_stop().await;
        loop {
            let time_left = ends - Instant::now();
            if time_left <= LAST_REFUSAL || !self.should_stay(job, time_left) {
                return stopping_error();
            }
            tokio::time::sleep(CHANCE_INTERVAL.min(time_left - LAST_REFUSAL)).await;
        }
    }

    /// Whether a request that has not been sent is at least as likely to complete on this stopping
    /// daemon as on another one. Unary calls are short.
    fn should_stay(&self, job: &Job, time_left: Duration) -> bool {
        let chance_elsewhere = self.node.view().chance_elsewhere();
        !job.route.spec.kind.is_generation()
            || self.is_enabled(Mechanism::StopEstimate)
                && chance_elsewhere <= self.chance_here(job, time_left)
    }

    fn chance_here(&self, job: &Job, time_left: Duration) -> f64 {
        self.node.chance_to_end(&job.placement_request(Vec::new(), false), time_left)
    }

    /// Waits until a planned stop has begun and this daemon ends within `margin`.
    async fn near_end(&self, margin: Duration) {
        let ends = self.node.view().wait_for_stop().await;
        let now = Instant::now();
        sleep_until(now + (ends - now).saturating_sub(margin)).await;
    }
}

fn stopping_error() -> RequestError {
    not_ready("this daemon is stopping", RETRY_AFTER)
}
