//! Accounting of running requests: their endpoints, progress and remaining demand.

use std::{sync::Arc, time::Duration};

use super::{
    Request, Ticket,
    endpoint::MemoryDemand,
    policy::Demand,
    prefill::prefill_time,
    queue::WaitingRequest,
    scheduler::{PlacedRequest, QueuePosition, Scheduler, WorkspaceCounts},
    token_latency::{self, TokenLatencyMeter},
};
use crate::{mechanism::Mechanism, units::Instant};

impl Scheduler {
    /// Adds a request that is already running, as reported by its entry daemon.
    pub fn adopt(&mut self, req: Request, endpoint: &str, tokens: u64, now: Instant) {
        let ticket = req.ticket;
        self.returns.on_served(&req);
        if !self.endpoints.contains_key(endpoint) {
            return;
        }
        if self.placed.contains_key(&ticket) {
            // The daemon placed it locally while this scheduler was unreachable.
            return self.relocate(ticket, &endpoint.into(), now);
        }
        if tokens == 0
            && let Some(state) = self.endpoints.get_mut(endpoint)
        {
            state.prefill.adopt(ticket, req.prompt_tokens, now);
        }
        self.account_placed(req, &endpoint.into(), now);
        self.record_tokens(ticket, tokens, now);
    }

    /// Estimates the probability that a response to this request completes within this time.
    pub(crate) fn completion_probability(
        &self,
        req: &Request,
        within: Duration,
        now: Instant,
    ) -> f64 {
        let decode_time = within.saturating_sub(prefill_time(req.prompt_tokens)).as_secs_f64();
        let token_seconds = self
            .endpoints
            .values()
            .filter_map(|endpoint| endpoint.token_latency.seconds_per_token(now));
        let slowest =
            token_seconds.max_by(f64::total_cmp).unwrap_or(token_latency::DEFAULT_TOKEN_SECONDS);
        let tokens = (decode_time / slowest) as u64;
        if req.max_tokens <= tokens {
            return 1.0;
        }
        1.0 - self.forecast.distribution(&req.workspace, &req.kind).probability_beyond(0, tokens)
    }

    /// Records whether an entry is late itself, so that its reports tell nothing of the pace of engines.
    pub fn set_late(&mut self, entry: u64, is_late: bool) {
        if is_late {
            self.late_entries.insert(entry);
        } else {
            self.late_entries.remove(&entry);
        }
    }

    /// Records the number of tokens that a running stream has produced.
    pub fn progress(&mut self, ticket: Ticket, tokens: u64, now: Instant) {
        let Some(placed) = self.placed.get(&ticket) else { return };
        if placed.tokens == 0 && 0 < tokens && self.limits.disabled.allows(Mechanism::Handover) {
            self.handover.on_first_token(ticket, now);
        }
        self.record_tokens(ticket, tokens, now);
        self.on_isolated_progress(ticket, tokens);
    }

    fn record_tokens(&mut self, ticket: Ticket, tokens: u64, now: Instant) {
        // An entry that is late itself makes its engines look slow.
        let is_timed = !self.late_entries.contains(&ticket.entry);
        let Some(placed) = self.placed.get_mut(&ticket) else { return };
        if tokens <= placed.tokens {
            return;
        }
        let req = &placed.req;
        let distribution = self.forecast.distribution(&req.workspace, &req.kind);
        let mut memory =
            MemoryDemand::forecast(distribution, req.prompt_tokens, tokens, req.max_tokens);
        memory.value = placed.memory.value;
        if let Some(endpoint) = self.endpoints.get_mut(&placed.endpoint) {
            if placed.tokens == 0 {
                self.load_view.on_first_token(ticket, now);
                if is_timed {
                    endpoint.prefill.on_first_token(ticket, now);
                } else {
                    endpoint.prefill.remove(ticket, now);
                }
                self.backoffs.on_end(&placed.endpoint, placed.at, true, now);
            }
            endpoint.update(&placed.memory, &memory);
            if is_timed {
                placed.meter.observe(tokens, now, &mut endpoint.token_latency);
            } else {
                placed.meter = TokenLatencyMeter::default();
            }
        }
        if let Some(target) = self.targets.get_mut(&req.target) {
            target.queue.charge(req.rank, &req.workspace, req.share, tokens - placed.tokens);
        }
        placed.memory = memory;
        placed.tokens = tokens;
    }

    /// Records that a running request ended; `whole` if its response was complete.
    pub fn finish(&mut self, ticket: Ticket, tokens: u64, whole: bool, now: Instant) {
        self.progress(ticket, tokens, now);
        self.load_view.on_ended(ticket);
        let Some(placed) = self.placed.remove(&ticket) else { return };
        if let Some(target) = self.targets.get_mut(&placed.req.target) {
            let work = placed.req.prompt_tokens + placed.tokens;
            let hold = placed.started.map(|started| now.since(started));
            target.admission.on_released(placed.req.rank, work as f64, hold, now);
        }
        if placed.tokens == 0 {
            self.backoffs.on_end(&placed.endpoint, placed.at, false, now);
        }
        self.moves.forget(ticket);
        self.forget_isolated(ticket);
        self.count_running(&placed.req, -1);
        if let Some(endpoint) = self.endpoints.get_mut(&placed.endpoint) {
            endpoint.release(&placed.memory, now);
            endpoint.prefill.remove(ticket, now);
            if whole {
                endpoint.on_success();
            }
        }
        if whole {
            self.forecast.record(&placed.req.workspace, &placed.req.kind, tokens);
        }
    }

    /// Removes a queued or running request whose caller has disconnected.
    pub fn cancel(&mut self, ticket: Ticket, now: Instant) {
        self.dequeue(ticket, now);
        self.finish(ticket, 0, false, now);
    }

    /// Removes a request from the queue and returns it, unless it is an isolated one.
    pub(super) fn dequeue(&mut self, ticket: Ticket, now: Instant) -> Option<WaitingRequest> {
        let queued = self.queued.remove(&ticket)?;
        self.on_dequeued(&queued);
        self.forget_isolated(ticket);
        let held = self.remove_held(ticket).or_else(|| self.continuations.remove(ticket));
        let target = self.targets.get_mut(&queued.target);
        let waiting =
            held.or_else(|| target?.queue.remove(queued.rank, &queued.workspace, ticket))?;
        self.returns.on_withdrawn(&waiting.req, now);
        if let Some(target) = self.targets.get_mut(&waiting.req.target) {
            target.admission.on_left_queue(&waiting, false, now);
        }
        Some(waiting)
    }

    /// Removes all requests of a disconnected entry daemon.
    pub fn forget_entry(&mut self, entry: u64, now: Instant) {
        self.backoffs.remove_daemon(entry);
        self.late_entries.remove(&entry);
        let queued = self.queued.keys().filter(|t| t.entry == entry);
        let placed = self.placed.keys().filter(|t| t.entry == entry);
        let tickets: Vec<Ticket> = queued.chain(placed).copied().collect();
        for ticket in tickets {
            self.cancel(ticket, now);
        }
    }

    /// Moves the accounting of a running request to another endpoint.
    pub(super) fn relocate(&mut self, ticket: Ticket, to: &Arc<str>, now: Instant) {
        let Some(placed) = self.placed.get_mut(&ticket) else { return };
        if placed.endpoint == *to {
            return;
        }
        if let Some(from) = self.endpoints.get_mut(&placed.endpoint) {
            from.release(&placed.memory, now);
            from.prefill.remove(ticket, now);
        }
        if placed.tokens == 0 {
            self.backoffs.on_end(&placed.endpoint, placed.at, false, now);
            self.backoffs.on_sent(to, now);
        }
        placed.at = now;
        placed.endpoint = to.clone();
        placed.meter = TokenLatencyMeter::default();
        if let Some(state) = self.endpoints.get_mut(to) {
            state.grant(&placed.memory, now);
        }
    }

    /// Demand of a running request on an endpoint that would continue it.
    pub(super) fn remaining_demand(&self, placed: &PlacedRequest) -> Demand {
        let req = &placed.req;
        let distribution = self.forecast.distribution(&req.workspace, &req.kind);
        Demand {
            memory: placed.memory,
            prompt_tokens: 0,
            prefix: req.prefix,
            output: distribution.expected_remaining(placed.tokens, req.max_tokens),
            ttft_target: Duration::MAX,
        }
    }

    pub(super) fn on_dequeued(&mut self, queued: &QueuePosition) {
        self.expiries.remove(&queued.expiry);
        if let Some(count) = self.counts.get_mut(&queued.workspace) {
            count.waiting -= 1;
        }
        self.remove_if_idle(&queued.workspace);
    }

    /// Adjusts the running count of a workspace and suspends its queued requests at the limit.
    pub(super) fn count_running(&mut self, req: &Request, change: i64) {
        let count = self.counts.entry(req.workspace.clone()).or_default();
        count.running = count.running.saturating_add_signed(change);
        let at_limit = req.max_running <= count.running;
        for target in self.targets.values_mut() {
            target.queue.set_at_limit(&req.workspace, at_limit);
        }
        self.remove_if_idle(&req.workspace);
    }

    fn remove_if_idle(&mut self, workspace: &Arc<str>) {
        let idle = |count: &WorkspaceCounts| count.running == 0 && count.waiting == 0;
        if self.counts.get(workspace).is_some_and(idle) {
            self.counts.remove(workspace);
        }
    }

    pub(super) fn place(&mut self, req: Request, endpoint: &Arc<str>, now: Instant) {
        self.returns.on_served(&req);
        self.load_view.on_started(req.ticket, now);
        if let Some(target) = self.targets.get_mut(&req.target) {
            target.record_prefix(req.prefix, endpoint);
        }
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.prefill.push(req.ticket, req.prompt_tokens, now);
            state.record_prefix(req.prefix, now);
            state.on_sent(self.sender_role, now);
        }
        self.throttle.on_sent(endpoint, now);
        self.backoffs.on_sent(endpoint, now);
        let ticket = req.ticket;
        self.account_placed(req, endpoint, now);
        if let Some(placed) = self.placed.get_mut(&ticket) {
            placed.started = Some(now);
        }
    }

    /// Starts the accounting of a request on an endpoint.
    fn account_placed(&mut self, req: Request, endpoint: &Arc<str>, now: Instant) {
        let Some(state) = self.endpoints.get_mut(endpoint) else { return };
        let memory =
            Demand::new(&req, self.forecast.distribution(&req.workspace, &req.kind)).memory;
        state.grant(&memory, now);
        self.count_running(&req, 1);
        let meter = TokenLatencyMeter::default();
        let placed = PlacedRequest {
            endpoint: endpoint.clone(),
            memory,
            tokens: 0,
            meter,
            at: now,
            started: None,
            req,
        };
        self.placed.insert(placed.req.ticket, placed);
    }
}
