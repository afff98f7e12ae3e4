//! Grants permits for endpoints with rate limits on the leader, and broadcasts the limits to all daemons.

use std::{collections::BTreeSet, time::Duration};

use super::{Outbox, VmName, broadcast::Broadcast, permit_client::decode};
use crate::{
    throttle::{LimitChange, Permit, PermitQueue, RateLimitReport, Throttle},
    units::Instant,
    wire::{Body, LimitNews, LimitWord, PermitQuery, PermitReply},
};

/// Rate limits in one poll reply, repeated in case a broadcast was lost; 120 bytes.
const LIMITS_PER_POLL_REPLY: usize = 2;

/// Queued permit requests and rate limits to broadcast; not replicated.
#[derive(Debug, Default)]
pub(super) struct PermitAllocator {
    queue: PermitQueue<(VmName, u64)>,
    broadcast: Broadcast,
    /// Index of the first rate limit in the next poll reply.
    next_repeated: usize,
}

impl PermitAllocator {
    /// Applies a report of an endpoint and broadcasts the change.
    pub(super) fn apply_report(
        &mut self,
        report: RateLimitReport,
        throttle: &mut Throttle,
        now: Instant,
    ) {
        let endpoint = report.endpoint.clone();
        if throttle.on_report(report, now) != LimitChange::None {
            self.broadcast.add(&endpoint, now);
        }
    }

    /// Applies the reports that a daemon forwards.
    pub(super) fn on_rate_limits(
        &mut self,
        news: LimitNews,
        throttle: &mut Throttle,
        now: Instant,
    ) {
        for report in news.words.into_iter().filter_map(|report| report.decode(now)) {
            self.apply_report(report, throttle, now);
        }
    }

    /// Handles a daemon's request for a permit.
    pub(super) fn on_query(
        &mut self,
        from: &VmName,
        req: PermitQuery,
        throttle: &mut Throttle,
        now: Instant,
        out: &mut Outbox,
    ) {
        let (req, reports) = decode(from, req, now);
        reports.into_iter().for_each(|report| self.apply_report(report, throttle, now));
        let asker = req.requester.clone();
        if let Some(permit) = self.queue.request(req, throttle, now) {
            reply(&asker, permit, out);
        }
    }

    /// Drops the waiting requests of a lost daemon.
    pub(super) fn remove_daemon(&mut self, vm: &VmName) {
        self.queue.cancel(|(asker, _)| asker == vm);
    }

    pub(super) fn next_tick(&self) -> Option<Instant> {
        self.broadcast.next_tick().into_iter().chain(self.queue.next_decision()).min()
    }

    /// Grants the permits that are due and broadcasts changed limits.
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
        self.broadcast_changes(daemons, throttle, now, out);
    }

    fn broadcast_changes(
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
        let reports =
            due.iter().filter_map(|name| Some(LimitWord::encode(throttle.report(name)?, now)));
        let news = LimitNews { words: reports.collect() };
        for vm in daemons {
            out.send(vm, Body::Limits(news.clone()));
        }
    }

    /// The next few rate limits, in rotation.
    pub(super) fn next_limits(&mut self, throttle: &Throttle, now: Instant) -> Vec<LimitWord> {
        let count = throttle.limited_endpoints();
        if count == 0 {
            return Vec::new();
        }
        let first = self.next_repeated % count;
        self.next_repeated = self.next_repeated.wrapping_add(LIMITS_PER_POLL_REPLY);
        let reports = throttle.reports().skip(first).take(LIMITS_PER_POLL_REPLY);
        reports.map(|report| LimitWord::encode(report, now)).collect()
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
