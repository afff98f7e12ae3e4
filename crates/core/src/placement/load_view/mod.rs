//! What operators see of the load on the leader.
//!
//! [`LoadView`] counts the requests of the last [`WINDOW_SECONDS`] by service, kind and workspace,
//! and keeps the rejections that are due for the log. The scheduler feeds it; it decides nothing.

mod refusals;
mod rows;
mod snapshot;
mod window;

use std::{
    collections::{HashMap, hash_map::Entry},
    sync::Arc,
    time::Duration,
};

use self::{
    refusals::RefusalLog,
    rows::{RowKey, Rows},
    window::Count,
};
pub use self::{
    refusals::{Refusal, RejectionContext},
    snapshot::{LoadSnapshot, RequestLoad, ServiceLoad},
    window::WINDOW_SECONDS,
};
use super::{Action, Request, Ticket, endpoint::EndpointState, target::TargetState};
use crate::{
    config::EndpointTarget, error::RequestError, quarantine::ContentDigest, units::Instant,
};

/// A request from its arrival until its first token, its rejection or its end.
#[derive(Debug)]
struct Tracked {
    row: Arc<RowKey>,
    target: EndpointTarget,
    rank: u64,
    digest: Option<ContentDigest>,
    arrived: Instant,
    ttft_target: Duration,
    is_waiting: bool,
}

/// Counts of requests and the log of rejections. Its size is bounded by [`rows::MAX_ROWS`] and by the
/// requests that the scheduler holds.
#[derive(Debug)]
pub(crate) struct LoadView {
    is_enabled: bool,
    rows: Rows,
    requests: HashMap<Ticket, Tracked>,
    /// Requests that have left the queue without being started since the last decision. The actions
    /// of that decision say which of them were rejected.
    left: HashMap<Ticket, Tracked>,
    refusals: RefusalLog,
}

impl LoadView {
    /// A view without counts. A disabled one ignores all requests.
    pub(super) fn new(is_enabled: bool) -> LoadView {
        LoadView {
            is_enabled,
            rows: Rows::default(),
            requests: HashMap::new(),
            left: HashMap::new(),
            refusals: RefusalLog::default(),
        }
    }

    /// Counts a request that has arrived and waits.
    pub(super) fn on_asked(&mut self, req: &Request, now: Instant) {
        if !self.is_enabled {
            return;
        }
        let Entry::Vacant(entry) = self.requests.entry(req.ticket) else { return };
        let row = self.rows.open(req, now);
        self.rows.count(&row, Count::Asked, now);
        entry.insert(Tracked {
            row,
            target: req.target.clone(),
            rank: req.rank,
            digest: req.digest,
            arrived: now,
            ttft_target: req.ttft_target,
            is_waiting: true,
        });
    }

    /// Counts a waiting request as one that comes back after a rejection.
    pub(super) fn on_returned(&mut self, ticket: Ticket, now: Instant) {
        if let Some(tracked) = self.requests.get(&ticket) {
            self.rows.count(&tracked.row, Count::Returned, now);
        }
    }

    /// Counts a request that was placed on an endpoint.
    pub(super) fn on_started(&mut self, ticket: Ticket, now: Instant) {
        let Some(tracked) = self.requests.get_mut(&ticket) else { return };
        if std::mem::replace(&mut tracked.is_waiting, false) {
            self.rows.stop_waiting(&tracked.row);
        }
        self.rows.count(&tracked.row, Count::Started, now);
    }

    /// Counts the first token of a request, which is late after the request's target.
    pub(super) fn on_first_token(&mut self, ticket: Ticket, now: Instant) {
        let Some(tracked) = self.requests.remove(&ticket) else { return };
        if tracked.is_waiting {
            // Its daemon had placed it while no scheduler answered.
            self.rows.stop_waiting(&tracked.row);
        }
        let is_late = tracked.ttft_target < now.since(tracked.arrived);
        let count = if is_late { Count::Late } else { Count::InTime };
        self.rows.count(&tracked.row, count, now);
        self.rows.close(&tracked.row);
    }

    /// Records that a request has ended or has left the queue for any reason.
    pub(super) fn on_ended(&mut self, ticket: Ticket) {
        let Some(tracked) = self.requests.remove(&ticket) else { return };
        if tracked.is_waiting {
            self.rows.stop_waiting(&tracked.row);
            let before = self.left.insert(ticket, tracked);
            if let Some(before) = before {
                self.rows.close(&before.row);
            }
        } else {
            self.rows.close(&tracked.row);
        }
    }

    /// Counts the rejections among the actions of a decision.
    pub(super) fn on_decided(
        &mut self,
        actions: &[Action],
        targets: &HashMap<EndpointTarget, TargetState>,
        now: Instant,
    ) {
        for action in actions {
            if let Action::GiveUp { ticket, error } = action {
                self.on_refused(*ticket, error, targets, now);
            }
        }
        for (_, tracked) in self.left.drain() {
            self.rows.close(&tracked.row);
        }
    }

    /// Counts a rejection and keeps it for the log, with the state of its target.
    pub(super) fn on_refused(
        &mut self,
        ticket: Ticket,
        error: &RequestError,
        targets: &HashMap<EndpointTarget, TargetState>,
        now: Instant,
    ) {
        self.on_ended(ticket);
        let Some(tracked) = self.left.remove(&ticket) else { return };
        let context = RejectionContext::new(targets.get(&tracked.target), tracked.rank, now);
        self.rows.count(&tracked.row, Count::Rejected, now);
        let returns_at = context.next_return.or(error.retry_after().map(|wait| now.after(wait)));
        self.rows.set_next_return(&tracked.row, returns_at);
        self.rows.close(&tracked.row);
        let Tracked { row, rank, digest, arrived, .. } = tracked;
        let (waited, error) = (now.since(arrived), error.clone());
        self.refusals.push(Refusal { ticket, row, rank, digest, error, waited, context }, now);
    }

    /// Takes the rejections that are due for the log, and the number of those left out.
    pub(crate) fn take_refusals(&mut self, now: Instant) -> (Vec<Refusal>, u64) {
        self.refusals.take(now)
    }

    /// The counts of the last seconds and the present load of these endpoints.
    pub(super) fn snapshot<'a>(
        &self,
        endpoints: impl Iterator<Item = &'a EndpointState>,
        now: Instant,
    ) -> LoadSnapshot {
        LoadSnapshot::new(&self.rows, endpoints, now)
    }
}
