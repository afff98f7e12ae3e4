//! This daemon's requests for permits at endpoints that name limits: at the leader, or while none answers in a
//! queue of its own, which knows only this daemon's share.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{CallId, NodeReply, Outbox, Output, VmName, control_client::RemoteScheduler};
use crate::{
    throttle::{Change, Permit, PermitQueue, PermitRequest, Throttle, Word},
    units::Instant,
    wire::{Body, LimitNews, LimitWord, PermitQuery, PermitReply},
};

/// How long the leader's answer may take beyond what the request can wait: many round trips. A request that
/// has other endpoints loses as much once, if the leader has just been lost.
const ANSWER_LIMIT: Duration = Duration::from_millis(50);
/// After no answer has come, nobody asks again for this long; by then another leader is known, or none.
const UNANSWERED: Duration = Duration::from_millis(500);
/// Limits that a new leader is told of by one daemon at once; what more there are it hears with the questions.
const MAX_TOLD: usize = 64;

/// A question to the leader that waits for its answer.
#[derive(Debug)]
struct Asking {
    ask: PermitRequest<CallId>,
    deadline: Instant,
}

/// What this daemon waits for.
#[derive(Debug, Default)]
pub(crate) struct PermitClient {
    asking: BTreeMap<CallId, Asking>,
    own: PermitQueue<CallId>,
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
    pub(super) fn read(&mut self, word: Word, cx: &mut Context<'_>, out: &mut Outbox) {
        let endpoint = word.endpoint.clone();
        if learn(word, cx, out) == Change::None {
            return;
        }
        if let (Some(scheduler), Some(word)) = (cx.scheduler, cx.throttle.word(&endpoint)) {
            let words = vec![LimitWord::encode(word, cx.now)];
            out.send(&scheduler.vm, Body::LimitsRead(LimitNews { words }));
        }
    }

    /// Takes the leader's word of what endpoints have said.
    pub(super) fn told(&mut self, words: Vec<LimitWord>, cx: &mut Context<'_>, out: &mut Outbox) {
        let now = cx.now;
        for word in words.into_iter().filter_map(|word| word.decode(now)) {
            learn(word, cx, out);
        }
    }

    /// Asks for a permit.
    pub(super) fn ask(
        &mut self,
        ask: PermitRequest<CallId>,
        cx: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        let Some(scheduler) = cx.scheduler else { return self.ask_alone(ask, cx, out) };
        out.send(&scheduler.vm, encode(&ask, cx));
        let deadline = cx.now.after(ask.max_wait + ANSWER_LIMIT);
        self.asking.insert(ask.asker, Asking { ask, deadline });
    }

    fn ask_alone(&mut self, ask: PermitRequest<CallId>, cx: &mut Context<'_>, out: &mut Outbox) {
        let call = ask.asker;
        if let Some(permit) = self.own.ask(ask, cx.throttle, cx.now) {
            out.reply(call, NodeReply::Permit(permit));
        }
    }

    /// Takes the leader's answer. A permit for a request that no longer waits is lost.
    pub(super) fn answered(&mut self, reply: PermitReply, cx: &mut Context<'_>, out: &mut Outbox) {
        let call = CallId(reply.number);
        if self.asking.remove(&call).is_none() {
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
    pub(super) fn scheduler_changed(&mut self, cx: &mut Context<'_>, out: &mut Outbox) {
        let Some(scheduler) = cx.scheduler else { return };
        let words = cx.throttle.words().take(MAX_TOLD);
        let words: Vec<LimitWord> = words.map(|word| LimitWord::encode(word, cx.now)).collect();
        if !words.is_empty() {
            out.send(&scheduler.vm, Body::LimitsRead(LimitNews { words }));
        }
        for Asking { ask, .. } in self.asking.values() {
            out.send(&scheduler.vm, encode(ask, cx));
        }
        for ask in self.own.take_waiting() {
            self.ask(ask, cx, out);
        }
    }

    pub(super) fn next_tick(&self) -> Option<Instant> {
        let asking = self.asking.values().map(|asking| asking.deadline);
        asking.chain(self.own.next_decision()).min()
    }

    pub(super) fn tick(&mut self, cx: &mut Context<'_>, out: &mut Outbox) {
        if cx.scheduler.is_none() {
            for Asking { ask, .. } in std::mem::take(&mut self.asking).into_values() {
                self.ask_alone(ask, cx, out);
            }
        }
        if self.own.next_decision().is_some_and(|due| due <= cx.now) {
            for (call, permit) in self.own.decide(cx.throttle, cx.now) {
                out.reply(call, NodeReply::Permit(permit));
            }
        }
        let overdue = self.asking.iter().filter(|(_, asking)| asking.deadline <= cx.now);
        for call in overdue.map(|(call, _)| *call).collect::<Vec<_>>() {
            self.asking.remove(&call);
            out.reply(call, NodeReply::Permit(Permit::Denied { retry_after: UNANSWERED }));
        }
    }
}

/// Takes an endpoint's word into the daemon's own table.
fn learn(word: Word, cx: &mut Context<'_>, out: &mut Outbox) -> Change {
    let endpoint = word.endpoint.clone();
    let change = cx.throttle.learn(word, cx.now);
    if change != Change::None {
        let (limit, limited) = (cx.throttle.limit(&endpoint), cx.throttle.count());
        out.push(Output::Limit { endpoint, limit, change, limited });
    }
    change
}

fn encode(ask: &PermitRequest<CallId>, cx: &Context<'_>) -> Body {
    let endpoints = ask.endpoints.iter().filter_map(|name| cx.throttle.word(name));
    Body::PermitQuery(PermitQuery {
        number: ask.asker.0,
        service: ask.service.to_string(),
        endpoints: endpoints.map(|word| LimitWord::encode(word, cx.now)).collect(),
        max_wait_ms: ask.max_wait.as_millis() as u64,
    })
}

/// The same as the leader takes it, and what the endpoints have said.
pub(super) fn decode(
    from: &VmName,
    ask: PermitQuery,
    now: Instant,
) -> (PermitRequest<(VmName, u64)>, Vec<Word>) {
    let max_wait = ask.max_wait();
    let words: Vec<Word> = ask.endpoints.into_iter().filter_map(|word| word.decode(now)).collect();
    let endpoints: Vec<Arc<str>> = words.iter().map(|word| word.endpoint.clone()).collect();
    let asker = (from.clone(), ask.number);
    (PermitRequest { asker, service: ask.service.into(), endpoints, max_wait }, words)
}
