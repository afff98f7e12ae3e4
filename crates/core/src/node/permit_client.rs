//! This daemon's requests for permits at endpoints that name limits: at the leader, or while none answers in a
//! queue of its own, which knows only this daemon's share.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{CallId, NodeReply, Outbox, Output, VmName, control_client::RemoteScheduler};
use crate::{
    throttle::{LimitChange, Permit, PermitQueue, PermitRequest, RateLimitReport, Throttle},
    units::Instant,
    wire::{Body, LimitNews, LimitWord, PermitQuery, PermitReply},
};

/// How long the leader's answer may take beyond what the request can wait: many round trips. A request that
/// has other endpoints loses as much once, if the leader has just been lost.
const LEADER_TIMEOUT: Duration = Duration::from_millis(50);
/// After no answer has come, nobody asks again for this long; by then another leader is known, or none.
const UNANSWERED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Limits that a new leader is told of by one daemon at once; what more there are it hears with the questions.
const MAX_LIMITS_SENT: usize = 64;

/// A question to the leader that waits for its answer.
#[derive(Debug)]
struct PendingRequest {
    req: PermitRequest<CallId>,
    deadline: Instant,
}

/// What this daemon waits for.
#[derive(Debug, Default)]
pub(crate) struct PermitClient {
    pending: BTreeMap<CallId, PendingRequest>,
    local: PermitQueue<CallId>,
}

/// What the parts of a daemon beside this one know now.
pub(super) struct Context<'a> {
    /// The scheduler, while it answers.
    pub(super) scheduler: Option<&'a RemoteScheduler>,
    pub(super) throttle: &'a mut Throttle,
    pub(super) now: Instant,
}

impl PermitClient {
    /// Takes an endpoint's word that has come to this daemon; tells the leader if it is news.
    pub(super) fn on_report(
        &mut self,
        word: RateLimitReport,
        cx: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        let endpoint = word.endpoint.clone();
        if apply_report(word, cx, out) == LimitChange::None {
            return;
        }
        if let (Some(scheduler), Some(word)) = (cx.scheduler, cx.throttle.word(&endpoint)) {
            let words = vec![LimitWord::encode(word, cx.now)];
            out.send(&scheduler.vm, Body::LimitsRead(LimitNews { words }));
        }
    }

    /// Takes the leader's word of what endpoints have said.
    pub(super) fn on_rate_limits(
        &mut self,
        words: Vec<LimitWord>,
        cx: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        let now = cx.now;
        for word in words.into_iter().filter_map(|word| word.decode(now)) {
            apply_report(word, cx, out);
        }
    }

    /// Asks for a permit.
    pub(super) fn request(
        &mut self,
        req: PermitRequest<CallId>,
        cx: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        let Some(scheduler) = cx.scheduler else { return self.request_locally(req, cx, out) };
        out.send(&scheduler.vm, encode(&req, cx));
        let deadline = cx.now.after(req.max_wait + LEADER_TIMEOUT);
        self.pending.insert(req.asker, PendingRequest { req, deadline });
    }

    fn request_locally(
        &mut self,
        req: PermitRequest<CallId>,
        cx: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        let call = req.asker;
        if let Some(permit) = self.local.ask(req, cx.throttle, cx.now) {
            out.reply(call, NodeReply::Permit(permit));
        }
    }

    /// Takes the leader's answer. A permit for a request that no longer waits is lost.
    pub(super) fn on_reply(&mut self, reply: PermitReply, cx: &mut Context<'_>, out: &mut Outbox) {
        let call = CallId(reply.number);
        if self.pending.remove(&call).is_none() {
            return;
        }
        let permit = match reply.endpoint {
            Some(endpoint) => {
                // Its own share begins after this, should it have to choose by itself.
                cx.throttle.sent(&endpoint, cx.now);
                Permit::Granted(endpoint.into())
            }
            None => Permit::Denied { retry_after: Duration::from_millis(reply.retry_after_ms) },
        };
        out.reply(call, NodeReply::Permit(permit));
    }

    /// Tells a new leader what endpoints have said and what waits; without one what waits goes on here.
    pub(super) fn on_scheduler_change(&mut self, cx: &mut Context<'_>, out: &mut Outbox) {
        let Some(scheduler) = cx.scheduler else { return };
        let words = cx.throttle.words().take(MAX_LIMITS_SENT);
        let words: Vec<LimitWord> = words.map(|word| LimitWord::encode(word, cx.now)).collect();
        if !words.is_empty() {
            out.send(&scheduler.vm, Body::LimitsRead(LimitNews { words }));
        }
        for PendingRequest { req, .. } in self.pending.values() {
            out.send(&scheduler.vm, encode(req, cx));
        }
        for req in self.local.take_waiting() {
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

/// Takes an endpoint's word into the daemon's own table.
fn apply_report(word: RateLimitReport, cx: &mut Context<'_>, out: &mut Outbox) -> LimitChange {
    let endpoint = word.endpoint.clone();
    let change = cx.throttle.learn(word, cx.now);
    if change != LimitChange::None {
        let (limit, limited) = (cx.throttle.limit(&endpoint), cx.throttle.count());
        out.push(Output::Limit { endpoint, limit, change, limited });
    }
    change
}

fn encode(req: &PermitRequest<CallId>, cx: &Context<'_>) -> Body {
    let endpoints = req.endpoints.iter().filter_map(|name| cx.throttle.word(name));
    Body::PermitQuery(PermitQuery {
        number: req.asker.0,
        service: req.service.to_string(),
        endpoints: endpoints.map(|word| LimitWord::encode(word, cx.now)).collect(),
        max_wait_ms: req.max_wait.as_millis() as u64,
    })
}

/// The same as the leader takes it, and what the endpoints have said.
pub(super) fn decode(
    from: &VmName,
    req: PermitQuery,
    now: Instant,
) -> (PermitRequest<(VmName, u64)>, Vec<RateLimitReport>) {
    let max_wait = req.max_wait();
    let words: Vec<RateLimitReport> =
        req.endpoints.into_iter().filter_map(|word| word.decode(now)).collect();
    let endpoints: Vec<Arc<str>> = words.iter().map(|word| word.endpoint.clone()).collect();
    let asker = (from.clone(), req.number);
    (PermitRequest { asker, service: req.service.into(), endpoints, max_wait }, words)
}
