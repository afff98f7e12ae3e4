//! Requests permits for endpoints with rate limits: from the leader, or while none answers from a local
//! queue that is limited to this daemon's share of the rate.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{CallId, NodeReply, Outbox, Output, VmName, control_client::RemoteScheduler};
use crate::{
    throttle::{LimitChange, Permit, PermitQueue, PermitRequest, RateLimitReport, Throttle},
    units::Instant,
    wire::{Body, LimitNews, LimitWord, PermitQuery, PermitReply},
};

/// Time past the request's maximum wait that the leader's reply may take; many round trips. A
/// request that has other endpoints loses as much once if the leader has just been lost.
const LEADER_TIMEOUT: Duration = Duration::from_millis(50);
/// Retry delay after the leader has not replied, by which its loss has been detected.
const UNANSWERED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Maximum number of rate limits that one daemon sends to a new leader. Further ones reach it with
/// permit queries.
const MAX_LIMITS_SENT: usize = 64;

/// A permit request that the leader has not replied to.
#[derive(Debug)]
struct PendingRequest {
    req: PermitRequest<CallId>,
    deadline: Instant,
}

/// Permit requests of one daemon.
#[derive(Debug, Default)]
pub(crate) struct PermitClient {
    pending: BTreeMap<CallId, PendingRequest>,
    /// Requests that wait while no leader answers.
    local: PermitQueue<CallId>,
}

/// State of other components that the client uses.
pub(super) struct Context<'a> {
    /// The leader, while it answers.
    pub(super) scheduler: Option<&'a RemoteScheduler>,
    pub(super) throttle: &'a mut Throttle,
    pub(super) now: Instant,
}

impl PermitClient {
    /// Applies a report that this daemon has received from an endpoint; forwards changes to the leader.
    pub(super) fn on_report(
        &mut self,
        report: RateLimitReport,
        cx: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        let endpoint = report.endpoint.clone();
        if apply_report(report, cx, out) == LimitChange::None {
            return;
        }
        if let (Some(scheduler), Some(report)) = (cx.scheduler, cx.throttle.report(&endpoint)) {
            let reports = vec![LimitWord::encode(report, cx.now)];
            out.send(&scheduler.vm, Body::LimitsRead(LimitNews { words: reports }));
        }
    }

    /// Applies rate limits that the leader has sent.
    pub(super) fn on_rate_limits(
        &mut self,
        reports: Vec<LimitWord>,
        cx: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        let now = cx.now;
        for report in reports.into_iter().filter_map(|report| report.decode(now)) {
            apply_report(report, cx, out);
        }
    }

    /// Requests a permit from the leader, or locally while none answers.
    pub(super) fn request(
        &mut self,
        req: PermitRequest<CallId>,
        cx: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        let Some(scheduler) = cx.scheduler else { return self.request_locally(req, cx, out) };
        out.send(&scheduler.vm, encode(&req, cx));
        let deadline = cx.now.after(req.max_wait + LEADER_TIMEOUT);
        self.pending.insert(req.requester, PendingRequest { req, deadline });
    }

    fn request_locally(
        &mut self,
        req: PermitRequest<CallId>,
        cx: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        let call = req.requester;
        if let Some(permit) = self.local.request(req, cx.throttle, cx.now) {
            out.reply(call, NodeReply::Permit(permit));
        }
    }

    /// Handles the leader's reply. A permit for a request that no longer waits is dropped.
    pub(super) fn on_reply(&mut self, reply: PermitReply, cx: &mut Context<'_>, out: &mut Outbox) {
        let call = CallId(reply.number);
        if self.pending.remove(&call).is_none() {
            return;
        }
        let permit = match reply.endpoint {
            Some(endpoint) => {
                // Counts against this daemon's share if it has to grant permits locally next.
                cx.throttle.on_sent(&endpoint, cx.now);
                Permit::Granted(endpoint.into())
            }
            None => Permit::Denied { retry_after: Duration::from_millis(reply.retry_after_ms) },
        };
        out.reply(call, NodeReply::Permit(permit));
    }

    /// Sends a new leader the known rate limits and the requests that wait.
    pub(super) fn on_scheduler_change(&mut self, cx: &mut Context<'_>, out: &mut Outbox) {
        let Some(scheduler) = cx.scheduler else { return };
        let reports = cx.throttle.reports().take(MAX_LIMITS_SENT);
        let reports: Vec<LimitWord> =
            reports.map(|report| LimitWord::encode(report, cx.now)).collect();
        if !reports.is_empty() {
            out.send(&scheduler.vm, Body::LimitsRead(LimitNews { words: reports }));
        }
        for PendingRequest { req, .. } in self.pending.values() {
            out.send(&scheduler.vm, encode(req, cx));
        }
        for req in self.local.drain_waiting() {
            self.request(req, cx, out);
        }
    }

    pub(super) fn next_tick(&self) -> Option<Instant> {
        let pending = self.pending.values().map(|pending| pending.deadline);
        pending.chain(self.local.next_decision()).min()
    }

    pub(super) fn tick(&mut self, cx: &mut Context<'_>, out: &mut Outbox) {
        if cx.scheduler.is_none() {
            for PendingRequest { req, .. } in std::mem::take(&mut self.pending).into_values() {
                self.request_locally(req, cx, out);
            }
        }
        if self.local.next_decision().is_some_and(|due| due <= cx.now) {
            for (call, permit) in self.local.decide(cx.throttle, cx.now) {
                out.reply(call, NodeReply::Permit(permit));
            }
        }
        let overdue = self.pending.iter().filter(|(_, pending)| pending.deadline <= cx.now);
        for call in overdue.map(|(call, _)| *call).collect::<Vec<_>>() {
            self.pending.remove(&call);
            out.reply(
                call,
                NodeReply::Permit(Permit::Denied { retry_after: UNANSWERED_RETRY_AFTER }),
            );
        }
    }
}

/// Applies a report to the daemon's table and publishes the change.
fn apply_report(report: RateLimitReport, cx: &mut Context<'_>, out: &mut Outbox) -> LimitChange {
    let endpoint = report.endpoint.clone();
    let change = cx.throttle.on_report(report, cx.now);
    if change != LimitChange::None {
        let (limit, limited) = (cx.throttle.limit(&endpoint), cx.throttle.limited_endpoints());
        out.push(Output::Limit { endpoint, limit, change, limited });
    }
    change
}

fn encode(req: &PermitRequest<CallId>, cx: &Context<'_>) -> Body {
    let reports = req.endpoints.iter().filter_map(|name| cx.throttle.report(name));
    Body::PermitQuery(PermitQuery {
        number: req.requester.0,
        service: req.service.to_string(),
        endpoints: reports.map(|report| LimitWord::encode(report, cx.now)).collect(),
        max_wait_ms: req.max_wait.as_millis() as u64,
    })
}

/// Decodes a query of a daemon into its request and the reports that it carries.
pub(super) fn decode(
    from: &VmName,
    req: PermitQuery,
    now: Instant,
) -> (PermitRequest<(VmName, u64)>, Vec<RateLimitReport>) {
    let max_wait = req.max_wait();
    let reports: Vec<RateLimitReport> =
        req.endpoints.into_iter().filter_map(|report| report.decode(now)).collect();
    let endpoints: Vec<Arc<str>> = reports.iter().map(|report| report.endpoint.clone()).collect();
    let asker = (from.clone(), req.number);
    (PermitRequest { requester: asker, service: req.service.into(), endpoints, max_wait }, reports)
}
