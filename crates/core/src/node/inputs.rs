//! Dispatches inputs, calls and messages to the components of the node.

use super::{
    CallId, Clocks, ControlReplica, Input, Node, NodeCall, NodeReply, Output, VmName,
    endpoints::endpoint_statuses,
    operations::{SETTLE_TIMEOUT, SUBMIT_TIMEOUT},
    reads::ReadTarget,
};
use crate::{
    mechanism::Mechanism,
    quarantine::ClearRequest,
    throttle::PermitRequest,
    wire::{Body, LimitWord, OperationKind, OperationResult},
};

impl Node {
    pub(super) fn apply(&mut self, input: Input, clocks: Clocks) {
        let out = &mut self.outputs;
        match input {
            Input::Tick => self.tick(clocks),
            Input::LinkUp(vm) => self.link_up(vm, clocks),
            Input::LinkDown(vm) => self.link_down(&vm, clocks),
            Input::Message(from, body) => self.on_message(&from, body, clocks),
            Input::Persisted(number) => {
                if let Some(control) = &mut self.control {
                    control.on_persisted(number, clocks, out);
                }
            }
            Input::PieceWritten(vm) => {
                if let Some(control) = &mut self.control {
                    control.on_piece_written(&vm, clocks.now, out);
                }
            }
            Input::Call(call, request) => self.on_call(call, request, clocks),
            Input::Progress(call, tokens) => {
                self.placement.on_progress(call, tokens, clocks.now, out)
            }
            Input::OwnDelay(is_late) => self.placement.set_late(is_late),
            Input::Finished { call, tokens, complete } => {
                self.placement.on_finished(call, tokens, complete, clocks.now, out);
            }
            Input::Cancelled(call) => self.placement.cancel(call, clocks.now, out),
            Input::Health(endpoint, news) => {
                self.placement.on_health(&endpoint, news, clocks.now, true, out);
            }
            Input::FailedAttempt(attempt) => {
                let (suspects, mut cx, out) = self.suspects_context(clocks);
                suspects.on_failed_attempt(attempt, &mut cx, out);
            }
            Input::SoundContents(contents) => {
                let (suspects, mut cx, out) = self.suspects_context(clocks);
                suspects.on_sound_contents(&contents, &mut cx, out);
            }
            Input::TrialStarted(call) => {
                let (suspects, cx, out) = self.suspects_context(clocks);
                suspects.on_trial_started(call, &cx, out);
            }
            Input::TrialEnded { call, complete } => {
                let (suspects, mut cx, out) = self.suspects_context(clocks);
                suspects.on_trial_over(call, complete, &mut cx, out);
            }
            Input::RateLimitReported(report) => {
                let (permits, mut cx, out) = self.permits_context(clocks.now);
                permits.on_report(report, &mut cx, out);
            }
            Input::StreamBegun { keys, origin, ttl } => {
                self.stream_origins.on_stream_begun(&keys, &origin, ttl, clocks.now, out);
            }
            Input::Rejected(rejection) => {
                let scheduler = self.client.scheduler(clocks.now);
                self.placement.on_rejection(&rejection, scheduler, clocks.now, out);
            }
            Input::Leaving { endpoint, started_at } => {
                self.on_endpoint_leaving(&endpoint, started_at, clocks.now);
            }
            Input::Cold { endpoint, started_at, left } => {
                self.registry.mark_cold(&endpoint, started_at, clocks.now.after(left));
            }
            Input::Heartbeat(record) => self.on_heartbeat(record, clocks.now),
            Input::RestoreEndpoints(records) => {
                if self.disabled.allows(Mechanism::RecalledEndpoints) {
                    self.registry.restore(records, clocks.now);
                }
            }
            Input::EndpointDeregistered(id) => self.on_deregistration(&id, clocks.now),
            Input::Moved { call, at, done } => {
                self.placement.on_relocated(call, &at, done, clocks.now, out);
            }
            Input::Seeds(seeds) => self.directory.set_seeds(seeds, clocks.now, out),
            Input::AcceptsForwarded(accepts) => {
                self.client.set_accepts_forwarded(accepts, clocks.now, out);
            }
            Input::Load(report) => self.placement.on_load_report(report, clocks.now, out),
            Input::Stop => {
                self.client.stop(clocks.now, out);
                if let Some(control) = &mut self.control {
                    control.stop(clocks, out);
                }
            }
        }
    }

    fn on_call(&mut self, call: CallId, request: NodeCall, clocks: Clocks) {
        let out = &mut self.outputs;
        let leader = self.client.leader();
        match request {
            NodeCall::Place(req) => {
                let scheduler = self.client.scheduler(clocks.now);
                self.placement.place(call, req, scheduler, clocks.now, out);
            }
            NodeCall::Submit(submit) => {
                let kind = OperationKind::Submit(submit);
                self.operations.start(call, kind, SUBMIT_TIMEOUT, leader, clocks.now, out);
            }
            NodeCall::Claim { claim, limit } => {
                let kind = OperationKind::Claim(claim);
                self.operations.start(call, kind, limit, leader, clocks.now, out);
            }
            NodeCall::Settle(settle) => {
                let kind = OperationKind::Settle(settle);
                self.operations.start(call, kind, SETTLE_TIMEOUT, leader, clocks.now, out);
            }
            NodeCall::ChangeHall { order, limit } => {
                let kind = OperationKind::Hall(order);
                self.operations.start(call, kind, limit, leader, clocks.now, out);
            }
            NodeCall::ReadConfig { limit } => {
                let deadline = clocks.now.after(limit);
                self.client.read(call, ReadTarget::Configuration, deadline, clocks.now, out);
            }
            NodeCall::ReadHallsOut { limit } => {
                let deadline = clocks.now.after(limit);
                self.client.read(call, ReadTarget::HallsOut, deadline, clocks.now, out);
            }
            NodeCall::Trial { contents, limit } => {
                let (suspects, cx, out) = self.suspects_context(clocks);
                suspects.request_trial(call, contents, limit, &cx, out);
            }
            NodeCall::Permit(req) => {
                let (permits, mut cx, out) = self.permits_context(clocks.now);
                permits.request(PermitRequest { requester: call, ..req }, &mut cx, out);
            }
            NodeCall::StreamOrigin { key, limit } => {
                self.stream_origins.query(call, key, limit, clocks.now, out);
            }
            NodeCall::ClearSuspect { request, limit } => {
                let kind = OperationKind::Clear(ClearRequest::new(&[request]));
                self.operations.start(call, kind, limit, leader, clocks.now, out);
            }
            NodeCall::Suspects => {
                let suspects =
                    self.control.as_ref().map(|control| control.state().suspects().all());
                out.reply(call, NodeReply::Suspects(suspects));
            }
            NodeCall::Endpoints => {
                let leader_scheduler = self.control.as_ref().and_then(ControlReplica::scheduler);
                let scheduler = leader_scheduler.unwrap_or(self.placement.local());
                out.reply(call, NodeReply::Endpoints(endpoint_statuses(scheduler, clocks.now)));
            }
            NodeCall::Load => {
                let scheduler = self.control.as_ref().and_then(ControlReplica::scheduler);
                let load = scheduler.map(|scheduler| scheduler.load_snapshot(clocks.now));
                out.reply(call, NodeReply::Load(load));
            }
            NodeCall::ControlStatus => {
                let status = self.control.as_ref().map(|control| control.status(clocks.now));
                out.reply(call, NodeReply::ControlStatus(status.unwrap_or_default()));
            }
        }
    }

    pub(super) fn on_message(&mut self, from: &VmName, body: Body, clocks: Clocks) {
        let leads = self.leads();
        let out = &mut self.outputs;
        match body {
            Body::PollReply(reply) => {
                self.placement.on_slow_endpoints(&reply.slow, clocks.now);
                self.placement.set_daemons(reply.daemons, clocks.now);
                self.on_rate_limits(reply.limits.clone(), clocks);
                let out = &mut self.outputs;
                let news = reply.suspects.clone();
                self.client.on_poll_reply(from, reply, clocks.now, out);
                if let Some(news) = news {
                    self.on_suspect_news(&news, clocks.now);
                }
            }
            Body::Update(update) => self.client.on_update(from, update, clocks.now, out),
            Body::HallsOut(halls) => self.client.update_halls_out(&halls, out),
            Body::Piece(piece) => self.client.on_piece(from, piece, clocks.now, out),
            Body::NotLeader(reply) => {
                self.client.on_not_leader(from, reply.leader.as_deref(), clocks.now);
                if let Some(operation) = reply.operation {
                    self.operations.retry_at_next_tick(operation);
                }
            }
            Body::Suspects(news) => self.on_suspect_news(&news, clocks.now),
            Body::CrashSeen(seen) => {
                let (suspects, cx, out) = self.suspects_context(clocks);
                suspects.on_crash_seen(from, &seen, &cx, out);
            }
            Body::TrialReply(reply) => {
                let (suspects, cx, out) = self.suspects_context(clocks);
                suspects.on_trial_reply(reply, &cx, out);
            }
            Body::Limits(news) => self.on_rate_limits(news.words, clocks),
            Body::Overloaded(news) => self.placement.on_overloaded(&news, clocks.now),
            Body::PermitReply(reply) => {
                let (permits, mut cx, out) = self.permits_context(clocks.now);
                permits.on_reply(reply, &mut cx, out);
            }
            Body::StreamsBegun(report) => self.stream_origins.on_report(&report, clocks.now),
            Body::OriginQuery(query) => {
                self.stream_origins.on_query(from, &query, clocks.now, out);
            }
            Body::OriginReply(reply) => {
                self.stream_origins.on_reply(from, &reply, clocks.now, out);
            }
            Body::OperationReply(reply) => {
                let recorded = match reply.result {
                    Some(OperationResult::Suspects(suspects)) => Some((reply.id, suspects.number)),
                    _ => None,
                };
                self.operations.on_reply(reply, out);
                if let Some((operation, revision)) = recorded {
                    let (suspects, cx, out) = self.suspects_context(clocks);
                    suspects.on_recorded(operation, revision, &cx, out);
                }
            }
            Body::Grant(mut grant) => {
                self.on_endpoint_chosen(grant.record.take(), clocks.now);
                self.placement.on_grant(from, grant, clocks.now, &mut self.outputs);
            }
            Body::GiveUp(give_up) => self.placement.on_give_up(give_up, clocks.now, out),
            Body::SessionOpened(opened) => self.on_session_opened(from, opened.session, clocks),
            Body::Directory(message) => self.directory.on_directory(from, message, clocks.now, out),
            Body::EndpointNews(news) => self.on_endpoint_news(from, news, clocks.now),
            Body::EndpointHeartbeats(heartbeats) => {
                self.on_endpoint_heartbeats(from, &heartbeats, clocks.now);
            }
            Body::EndpointCensus(census) => self.on_endpoint_census(from, census, clocks.now),
            Body::EndpointInterest(interest) => self.on_endpoint_interest(from, &interest),
            Body::EndpointDigest(digest) => self.on_endpoint_digest(from, digest, clocks.now),
            Body::EndpointsWanted(wanted) => self.on_endpoints_wanted(from, wanted, clocks.now),
            Body::EndpointsUsed(used) => self.on_endpoints_used(from, used, clocks.now),
            Body::Move(mut order) => {
                self.on_endpoint_chosen(order.record.take(), clocks.now);
                self.placement.on_move(&order, &mut self.outputs);
            }
            Body::Watch(watch) => out.push(Output::Watch(watch.endpoints)),
            Body::Health(health) if !leads || *from == self.vm => {
                let (endpoint, news) = (health.endpoint.as_str().into(), health.news());
                self.placement.on_health(&endpoint, news, clocks.now, false, out);
                if let (true, Some(control)) = (leads, &mut self.control) {
                    control.on_message(from, Body::Health(health), clocks, out);
                }
            }
            body => {
                if let Some(control) = &mut self.control {
                    control.on_message(from, body, clocks, out);
                }
            }
        }
    }

    /// Applies rate limits that the leader has sent.
    fn on_rate_limits(&mut self, reports: Vec<LimitWord>, clocks: Clocks) {
        let (permits, mut cx, out) = self.permits_context(clocks.now);
        permits.on_rate_limits(reports, &mut cx, out);
    }
}
