//! Tells control VMs where streams began, and asks them when a caller takes one up.
//!
//! Every control VM keeps all origins that daemons report, in memory. Daemons report their own again to
//! control VMs that are linked anew, so that origins outlive a restart of all control VMs.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{CallId, NodeReply, Outbox, VmName};
use crate::{
    quarantine::ContentDigest,
    stream_origin::{OriginTable, StreamKey, StreamOrigin, UnknownOrigin},
    units::Instant,
    wire::{BegunStream, Body, OriginQuery, OriginReply, StreamsBegun},
};

/// Origins in one message, at about 60 bytes each.
const MAX_ORIGINS_PER_MESSAGE: usize = 256;

/// A query that no control VM has answered with an origin.
#[derive(Debug)]
struct PendingQuery {
    key: StreamKey,
    /// Control VMs that have not replied.
    asked: BTreeSet<VmName>,
    deadline: Instant,
    /// What is answered if no control VM knows more: the daemon's own record, or why there is none.
    fallback: Result<StreamOrigin, UnknownOrigin>,
}

impl PendingQuery {
    fn note_no_answer(&mut self) {
        if self.fallback.is_err() {
            self.fallback = Err(UnknownOrigin::NoAnswer);
        }
    }
}

/// The origins that one daemon knows, and its queries.
#[derive(Debug, Default)]
pub(super) struct StreamOrigins {
    table: OriginTable,
    /// Linked control VMs.
    control_vms: BTreeSet<VmName>,
    pending: BTreeMap<CallId, PendingQuery>,
}

impl StreamOrigins {
    /// Records a stream that has begun on this daemon and reports it.
    pub(super) fn on_stream_begun(
        &mut self,
        keys: &[StreamKey],
        origin: &StreamOrigin,
        ttl: Duration,
        now: Instant,
        out: &mut Outbox,
    ) {
        for key in keys {
            self.table.insert(*key, origin.clone(), ttl, now);
        }
        let streams: Vec<BegunStream> =
            keys.iter().map(|key| BegunStream::encode(key, origin, ttl)).collect();
        for vm in &self.control_vms {
            out.send(vm, Body::StreamsBegun(StreamsBegun { streams: streams.clone() }));
        }
    }

    /// Applies the report of another daemon.
    pub(super) fn on_report(&mut self, report: &StreamsBegun, now: Instant) {
        for (key, origin, ttl) in report.streams.iter().filter_map(BegunStream::decode) {
            self.table.insert(key, origin, ttl, now);
        }
    }

    /// Answers where a stream began, once a control VM has told it or none knows. They are asked although this
    /// daemon has a record: a stream may have begun elsewhere under the same id.
    pub(super) fn query(
        &mut self,
        call: CallId,
        key: StreamKey,
        limit: Duration,
        now: Instant,
        out: &mut Outbox,
    ) {
        let known = self.table.get(&key, now).cloned();
        if self.control_vms.is_empty() || matches!(known, Err(UnknownOrigin::Ambiguous)) {
            let answer = known.map_err(|error| match error {
                UnknownOrigin::NoRecord => UnknownOrigin::NoAnswer,
                error => error,
            });
            return out.reply(call, NodeReply::StreamOrigin(answer));
        }
        for vm in &self.control_vms {
            out.send(vm, query(call, &key));
        }
        let asked = self.control_vms.clone();
        let deadline = now.after(limit);
        self.pending.insert(call, PendingQuery { key, asked, deadline, fallback: known });
    }

    /// Answers the query of another daemon.
    pub(super) fn on_query(
        &self,
        from: &VmName,
        query: &OriginQuery,
        now: Instant,
        out: &mut Outbox,
    ) {
        let key = ContentDigest::from_slice(&query.key);
        let known = key.map(|key| (key, self.table.get(&key, now)));
        let stream = match &known {
            Some((key, Ok(origin))) => {
                Some(BegunStream::encode(key, origin, self.table.time_left(key, now)))
            }
            _ => None,
        };
        let ambiguous = matches!(known, Some((_, Err(UnknownOrigin::Ambiguous))));
        let reply = OriginReply { number: query.number, stream, ambiguous };
        out.send(from, Body::OriginReply(reply));
    }

    /// Handles the reply of a control VM.
    pub(super) fn on_reply(
        &mut self,
        from: &VmName,
        reply: &OriginReply,
        now: Instant,
        out: &mut Outbox,
    ) {
        let call = CallId(reply.number);
        let Some(pending) = self.pending.get_mut(&call) else { return };
        if reply.ambiguous {
            return self.answer(call, Err(UnknownOrigin::Ambiguous), out);
        }
        let told = reply.stream.as_ref().and_then(BegunStream::decode);
        if let Some((key, origin, ttl)) = told
            && key == pending.key
        {
            self.table.insert(key, origin, ttl, now);
            let answer = self.table.get(&key, now).cloned();
            return self.answer(call, answer, out);
        }
        pending.asked.remove(from);
        self.answer_if_all_replied(call, out);
    }

    /// Reports all origins to a control VM that is linked anew, and repeats the pending queries.
    pub(super) fn link_up(&mut self, vm: &VmName, now: Instant, out: &mut Outbox) {
        self.control_vms.insert(vm.clone());
        let known = self.table.iter(now);
        let streams: Vec<BegunStream> =
            known.map(|(key, origin, ttl)| BegunStream::encode(key, origin, ttl)).collect();
        for streams in streams.chunks(MAX_ORIGINS_PER_MESSAGE) {
            out.send(vm, Body::StreamsBegun(StreamsBegun { streams: streams.to_vec() }));
        }
        for (call, pending) in &mut self.pending {
            pending.asked.insert(vm.clone());
            out.send(vm, query(*call, &pending.key));
        }
    }

    /// Stops waiting for the replies of a control VM.
    pub(super) fn link_down(&mut self, vm: &VmName, out: &mut Outbox) {
        if !self.control_vms.remove(vm) {
            return;
        }
        for call in self.pending.keys().copied().collect::<Vec<CallId>>() {
            if let Some(pending) = self.pending.get_mut(&call)
                && pending.asked.remove(vm)
            {
                pending.note_no_answer();
                self.answer_if_all_replied(call, out);
            }
        }
    }

    pub(super) fn next_tick(&self) -> Option<Instant> {
        self.pending.values().map(|pending| pending.deadline).min()
    }

    pub(super) fn tick(&mut self, now: Instant, out: &mut Outbox) {
        let overdue = self.pending.iter().filter(|(_, pending)| pending.deadline <= now);
        for call in overdue.map(|(call, _)| *call).collect::<Vec<CallId>>() {
            let Some(pending) = self.pending.get_mut(&call) else { continue };
            pending.note_no_answer();
            let answer = pending.fallback.clone();
            self.answer(call, answer, out);
        }
    }

    fn answer_if_all_replied(&mut self, call: CallId, out: &mut Outbox) {
        let pending = self.pending.get(&call).filter(|pending| pending.asked.is_empty());
        if let Some(answer) = pending.map(|pending| pending.fallback.clone()) {
            self.answer(call, answer, out);
        }
    }

    fn answer(
        &mut self,
        call: CallId,
        answer: Result<StreamOrigin, UnknownOrigin>,
        out: &mut Outbox,
    ) {
        if self.pending.remove(&call).is_some() {
            out.reply(call, NodeReply::StreamOrigin(answer));
        }
    }
}

fn query(call: CallId, key: &StreamKey) -> Body {
    Body::OriginQuery(OriginQuery { number: call.0, key: key.to_bytes().to_vec() })
}
