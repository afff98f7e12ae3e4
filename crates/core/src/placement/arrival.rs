//! Arrival of requests: admission to the queue or rejection at once.

use std::time::Duration;

use super::{
    Request,
    returns::{Returning, max_wait_of_due},
    scheduler::{Expiry, QueuePosition, Scheduler},
};
use crate::{
    error::{ErrorKind, RequestError},
    software_version::VersionConstraint,
    units::Instant,
};

impl Scheduler {
    /// Queues a request until [`Scheduler::decide`] places it. Known requests are ignored, because
    /// daemons resend their queue when they reconnect.
    pub fn enqueue(&mut self, req: Request, now: Instant) -> Result<(), RequestError> {
        if self.queued.contains_key(&req.ticket) || self.placed.contains_key(&req.ticket) {
            return Ok(());
        }
        let ticket = req.ticket;
        self.load_view.on_asked(&req, now);
        let result = self.enqueue_new(req, now);
        if let Err(error) = &result {
            self.load_view.on_refused(ticket, error, &self.targets, now);
        }
        result
    }

    fn enqueue_new(&mut self, req: Request, now: Instant) -> Result<(), RequestError> {
        let waiting = self.counts.get(&req.workspace).map_or(0, |count| count.waiting);
        if req.max_waiting <= waiting {
            let message = "the workspace has reached its limit of queued requests";
            return Err(RequestError::new(ErrorKind::WorkspaceLimit, message));
        }
        let Some(target) = self.targets.get(&req.target) else {
            return Err(self.no_endpoint_error(&req.target));
        };
        let live = target.endpoints.iter().any(|name| self.endpoints[name].is_usable(now));
        if !live {
            return Err(self.no_endpoint_error(&req.target));
        }
        if let Some(error) = self.version_error(&req) {
            return Err(error);
        }
        if let Some(until) = self.backed_off_until(&req, now)
            && now.after(req.max_wait) < until
        {
            return Err(self.backed_off_error(&req, until, now));
        }
        if req.versions != VersionConstraint::Any {
            self.queue_continuation(req, now);
            return Ok(());
        }
        // Order of return: a request that comes back when it is due is not rejected again.
        let returning = self.returns.on_return(&req, now);
        if returning == Returning::Unknown {
            self.record_arrival(&req, now);
        } else {
            self.load_view.on_returned(req.ticket, now);
        }
        let Some(target) = self.targets.get(&req.target) else {
            return Err(self.no_endpoint_error(&req.target));
        };
        let order = returning.place(target.queue.ahead_of(req.rank) == 0);
        let is_early = matches!(returning, Returning::Early(_));
        let excess_wait = self.excess_wait(target, &req, now);
        if order.is_none() && (excess_wait.is_some() || is_early) {
            let message = "the queue is too long for this kind of request";
            let wait = excess_wait.unwrap_or_default();
            return Err(self.reject(message, &req, wait, false, now));
        }
        let max_wait = order.map_or(req.max_wait, |_| max_wait_of_due(&req));
        if order.is_some() {
            self.returns.on_queued(&req);
        }
        self.record_queued(&req, max_wait, now);
        if req.isolated {
            self.isolated.push(req, now);
        } else if let Some(target) = self.targets.get_mut(&req.target) {
            if order.is_none() {
                let forecast = target.forecast_wait(&req, &self.returns, now);
                target.admission.on_queued(&req, forecast);
            }
            target.queue.push(req, now, order);
        }
        Ok(())
    }

    /// Starts the accounting of a request that waits for at most `max_wait`.
    pub(super) fn record_queued(&mut self, req: &Request, max_wait: Duration, now: Instant) {
        let expiry = Expiry { at: now.after(max_wait), ticket: req.ticket };
        self.expiries.insert(expiry);
        let queued = QueuePosition {
            target: req.target.clone(),
            rank: req.rank,
            workspace: req.workspace.clone(),
            expiry,
        };
        self.counts.entry(req.workspace.clone()).or_default().waiting += 1;
        self.queued.insert(req.ticket, queued);
    }
}
