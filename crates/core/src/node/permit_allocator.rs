//! What the leader does about endpoints that name limits: gives permits, and tells all daemons of the limits.

use std::{collections::BTreeSet, time::Duration};

use super::{Outbox, VmName, broadcast::Broadcast, permit_client::decode};
use crate::{
    throttle::{LimitChange, Permit, PermitQueue, RateLimitReport, Throttle},
    units::Instant,
    wire::{Body, LimitNews, LimitWord, PermitQuery, PermitReply},
};

/// Limits that an answer to a daemon's poll names, for what has not reached it: 120 bytes.
const LIMITS_PER_POLL_REPLY: usize = 2;

/// The leader's soft state about limits.
#[derive(Debug, Default)]
pub(super) struct PermitAllocator {
    queue: PermitQueue<(VmName, u64)>,
    broadcast: Broadcast,
    /// Number of the limits that were repeated.
    next_repeated: usize,
}

impl PermitAllocator {
    /// Takes what an endpoint has said.
    pub(super) fn apply_report(
        &mut self,
        word: RateLimitReport,
        throttle: &mut Throttle,
        now: Instant,
    ) {
        let endpoint = word.endpoint.clone();
        if throttle.learn(word, now) != LimitChange::None {
            self.broadcast.add(&endpoint, now);
        }
    }

    /// Takes what a daemon has read.
    pub(super) fn on_rate_limits(
        &mut self,
        news: LimitNews,
        throttle: &mut Throttle,
        now: Instant,
    ) {
        for word in news.words.into_iter().filter_map(|word| word.decode(now)) {
            self.apply_report(word, throttle, now);
        }
    }

    /// Takes a daemon's request for a permit.
    pub(super) fn on_query(
        &mut self,
        from: &VmName,
        req: PermitQuery,
        throttle: &mut Throttle,
        now: Instant,
        out: &mut Outbox,
    ) {
        let (req, words) = decode(from, req, now);
        words.into_iter().for_each(|word| self.apply_report(word, throttle, now));
        let asker = req.asker.clone();
        if let Some(permit) = self.queue.ask(req, throttle, now) {
            reply(&asker, permit, out);
        }
    }

    /// A daemon is gone.
    pub(super) fn remove_daemon(&mut self, vm: &VmName) {
        self.queue.forget(|(asker, _)| asker == vm);
    }

    pub(super) fn next_tick(&self) -> Option<Instant> {
        self.broadcast.next_tick().into_iter().chain(self.queue.next_decision()).min()
    }

    /// Gives permits that are due, and tells daemons what is news.
    pub(super) fn tick(
        &mut self,
        daemons: &BTreeSet<VmName>,
        throttle: &mut Throttle,
        now: Instant,
        out: &mut Outbox,
    ) {
        if self.queue.next_decision().is_some_and(|due| due <= now) {
            for (asker, permit) in self.queue.decide(throttle, now) {
                reply(&asker, permit, out);
            }
        }
        self.broadcast(daemons, throttle, now, out);
    }

    fn broadcast(
        &mut self,
        daemons: &BTreeSet<VmName>,
        throttle: &Throttle,
        now: Instant,
        out: &mut Outbox,
    ) {
        let due = self.broadcast.take_due(daemons.len(), now);
        if due.is_empty() {
            return;
        }
        let words =
            due.iter().filter_map(|name| Some(LimitWord::encode(throttle.word(name)?, now)));
        let news = LimitNews { words: words.collect() };
        for vm in daemons {
            out.send(vm, Body::Limits(news.clone()));
        }
    }

    /// Some of the limits, the next ones at each call.
    pub(super) fn next_limits(&mut self, throttle: &Throttle, now: Instant) -> Vec<LimitWord> {
        let count = throttle.count();
        if count == 0 {
            return Vec::new();
        }
        let first = self.next_repeated % count;
        self.next_repeated = self.next_repeated.wrapping_add(LIMITS_PER_POLL_REPLY);
        let words = throttle.words().skip(first).take(LIMITS_PER_POLL_REPLY);
        words.map(|word| LimitWord::encode(word, now)).collect()
    }
}

fn reply(asker: &(VmName, u64), permit: Permit, out: &mut Outbox) {
    let (vm, number) = asker;
    let (endpoint, retry_after) = match permit {
        Permit::Granted(endpoint) => (Some(endpoint.to_string()), Duration::ZERO),
        Permit::Denied { retry_after } => (None, retry_after),
    };
    let retry_after_ms = retry_after.as_millis() as u64;
    let reply = PermitReply { number: *number, endpoint, retry_after_ms };
    out.send(vm, Body::PermitReply(reply));
}
