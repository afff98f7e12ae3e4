//! Forwards the events of a running generation to its caller, across restarts and relocations.

mod relocation;

use std::{rc::Rc, sync::Arc};

use bytes::Bytes;
use tokio::sync::mpsc;

use trayswitch_core::{error::RequestError, registry::RegisteredEndpoint};

use self::relocation::next_relocation_result;
use super::{
    Job, KvCopy, Relay,
    event_stream::{EventStream, StreamItem},
    generation::{MAX_WITHHELD_ATTEMPTS, OpenError, Opened, acquire_placement, open_on_endpoint},
    job::ResumeFrom,
    quarantine_turn::{QuarantineTurn, SOUND_EVENTS},
    relocation::{Relocation, free_copy},
    software_version::{Continuation, describe},
};
use crate::{
    edge::AnswerError,
    runtime::{MoveOrder, Placed},
    telemetry::EventId,
    timer::{sleep_until, until},
    upstream::Event,
};

/// Progress is reported to the node, which forecasts KV cache usage, after this many events.
const PROGRESS_INTERVAL_EVENTS: u64 = 8;
/// Estimate for engines that do not report token counts.
const TOKENS_PER_EVENT: u64 = 4;

/// Events without tokens of the output, such as comments, that a stream may have.
const MAX_EXTRA_EVENTS: u64 = 256;

/// Why a stream ended.
enum EndReason {
    Completed,
    CallerDisconnected,
    GenerationLost(String),
    DeadlineExceeded,
}

/// Forwards the stream of one generation.
pub(super) struct StreamForwarder {
    relay: Rc<Relay>,
    job: Rc<Job>,
    placed: Placed,
    turn: QuarantineTurn,
    event_stream: EventStream,
    /// The run that sends the stream: its name and its address may be another one's when it ends.
    run: RegisteredEndpoint,
    tx: mpsc::Sender<Result<Bytes, AnswerError>>,
    orders: mpsc::UnboundedReceiver<MoveOrder>,
    /// The relocation in progress.
    relocation: Option<Relocation>,
    /// A copy that the generation has not resumed from yet.
    unclaimed_copy: Option<KvCopy>,
    /// The last event sent to the caller.
    last_event_id: Option<u64>,
    /// Events forwarded so far.
    events: u64,
    /// Events forwarded before the last restart.
    events_before_restart: u64,
    /// Attempts so far, including the first.
    attempts: u32,
}

impl StreamForwarder {
    /// Creates a forwarder for a generation that has begun to respond.
    pub(super) fn new(
        relay: Rc<Relay>,
        job: Rc<Job>,
        placed: Placed,
        turn: QuarantineTurn,
        event_stream: EventStream,
        run: RegisteredEndpoint,
        tx: mpsc::Sender<Result<Bytes, AnswerError>>,
    ) -> StreamForwarder {
        let orders = placed.orders();
        let last_event_id = job.caller.last_event_id;
        StreamForwarder {
            relay,
            job,
            placed,
            turn,
            event_stream,
            run,
            tx,
            orders,
            relocation: None,
            unclaimed_copy: None,
            last_event_id,
            events: 0,
            events_before_restart: 0,
            attempts: 1,
        }
    }

    /// Forwards the stream until it ends.
    pub(super) async fn run(mut self, first: Option<Event>) {
        let route = self.job.route.name.clone();
        if self.job.takes_up_stream() {
            self.record_continuation(Continuation::Caller, self.placed.endpoint());
        }
        self.relay.metrics.first_event(&route, self.job.received_at.elapsed());
        let caller = self.tx.clone();
        let reason = tokio::select! {
            biased;
            // Polled first, so that a disconnect is noticed in any state.
            () = caller.closed() => EndReason::CallerDisconnected,
            reason = self.forward(first) => reason,
        };
        self.release_copies();
        let (name, detail) = match reason {
            EndReason::Completed => {
                self.placed.finish(self.estimated_tokens());
                self.relay.on_response_complete(&self.job, &mut self.turn);
                ("answered", String::new())
            }
            EndReason::CallerDisconnected => ("caller_left", String::new()),
            EndReason::GenerationLost(error) => ("generation_lost", error),
            EndReason::DeadlineExceeded => ("time_over", String::new()),
        };
        if matches!(name, "generation_lost" | "time_over") {
            // Aborts the response, so that it does not look complete.
            let _ = self.tx.send(Err(AnswerError(name.to_owned()))).await;
        }
        let detail = format!("{} events {detail}", self.events);
        self.job.log_end(&self.relay.metrics, name, detail.trim());
    }

    /// Frees the copies of a generation that ended before resuming from them.
    fn release_copies(&mut self) {
        if let Some(relocation) = self.relocation.take() {
            relocation.cancel();
        }
        if let Some(kv_copy) = self.unclaimed_copy.take() {
            let relay = self.relay.clone();
            tokio::task::spawn_local(async move { free_copy(&relay, &kv_copy).await });
        }
    }

    /// Forwards events and handles relocations until the generation ends.
    async fn forward(&mut self, first: Option<Event>) -> EndReason {
        let Some(first) = first else { return EndReason::Completed };
        if let Err(reason) = self.forward_event(first).await {
            return reason;
        }
        loop {
            let deadline = sleep_until(self.job.deadline);
            let result = tokio::select! {
                biased;
                item = self.event_stream.next() => self.handle_item(item).await,
                Some(order) = self.orders.recv(), if self.relocation.is_none() => {
                    self.start_relocation(&order);
                    Ok(())
                }
                result = next_relocation_result(&mut self.relocation) => {
                    self.on_relocation_result(result).await
                }
                () = deadline => Err(EndReason::DeadlineExceeded),
            };
            if let Err(reason) = result {
                return reason;
            }
        }
    }

    async fn handle_item(&mut self, item: StreamItem) -> Result<(), EndReason> {
        match self.relay.resolve_connection_end(item, &self.run).await {
            StreamItem::Event(event) => self.forward_event(event).await,
            StreamItem::End | StreamItem::ConnectionEnd if self.is_stopping() => {
                self.on_stream_closed_during_relocation(true).await
            }
            StreamItem::End | StreamItem::ConnectionEnd => Err(EndReason::Completed),
            StreamItem::Error(_) if self.is_stopping() => {
                self.on_stream_closed_during_relocation(false).await
            }
            StreamItem::Error(error) => {
                self.on_attempt_failed().await;
                self.restart(error).await
            }
        }
    }

    async fn on_attempt_failed(&self) {
        let events = self.events - self.events_before_restart;
        self.relay.on_attempt_failed(&self.job, &self.turn, &self.run, events).await;
    }

    /// Continues with the stream of another connection.
    async fn switch_to(
        &mut self,
        event_stream: EventStream,
        run: RegisteredEndpoint,
        first: Option<Event>,
    ) -> Result<(), EndReason> {
        self.event_stream = event_stream;
        self.run = run;
        match first {
            Some(event) => self.forward_event(event).await,
            None => Err(EndReason::Completed),
        }
    }

    /// Sends an event to the caller; skips duplicates and fails on a gap in the event ids.
    async fn forward_event(&mut self, event: Event) -> Result<(), EndReason> {
        if let Some(id) = event.id {
            if self.last_event_id.is_some_and(|last| id <= last) {
                log::debug!(event = EventId::FrameDropped.number(); "dropped duplicate event {id}");
                return Ok(());
            }
            if self.last_event_id.is_some_and(|last| last + 1 < id) {
                return Err(EndReason::GenerationLost(format!(
                    "gap in the stream: event {id} after {:?}",
                    self.last_event_id
                )));
            }
            self.last_event_id = Some(id);
        }
        self.events += 1;
        if self.max_events() < self.events {
            let error = format!("more than {} events", self.max_events());
            return Err(EndReason::GenerationLost(error));
        }
        let bytes = self.relay.buffers.hold(event.bytes);
        let bytes = bytes.map_err(|e| EndReason::GenerationLost(e.to_string()))?;
        if self.tx.send(Ok(bytes)).await.is_err() {
            return Err(EndReason::CallerDisconnected);
        }
        if self.events == 1 || self.events.is_multiple_of(PROGRESS_INTERVAL_EVENTS) {
            self.placed.progress(self.estimated_tokens());
        }
        if self.events - self.events_before_restart == SOUND_EVENTS {
            self.relay.on_response_sound(&self.job, &mut self.turn);
        }
        Ok(())
    }

    /// Events beyond which an endpoint is taken to send what nobody asked for.
    fn max_events(&self) -> u64 {
        let prompt = self.job.caller.prompt.as_ref();
        let tokens = prompt.map(|prompt| prompt.max_output_tokens).filter(|tokens| 0 < *tokens);
        tokens.map_or(u64::MAX, |tokens| tokens.saturating_add(MAX_EXTRA_EVENTS))
    }

    fn record_continuation(&self, how: Continuation, endpoint: &str) {
        self.relay.record_continuation(&self.job, how, endpoint);
    }

    fn estimated_tokens(&self) -> u64 {
        self.events * TOKENS_PER_EVENT
    }

    /// Takes a retry from the budget, if the route and the admission still allow one.
    fn check_retry(&self, error: &str) -> Result<(), EndReason> {
        let spec = &self.job.route.spec;
        let repeatable = spec.kind.is_repeatable() && self.attempts < spec.max_attempts;
        if !repeatable || self.relay.recheck_admission(&self.job).is_err() {
            return Err(EndReason::GenerationLost(error.to_owned()));
        }
        if !self.relay.try_acquire_retry(&self.job.service) {
            return Err(EndReason::GenerationLost(format!("{error}; retry budget exhausted")));
        }
        Ok(())
    }

    /// Acquires a placement on another endpoint; returns the id of the reservation, if any.
    async fn acquire_new_placement(
        &mut self,
        avoid: &[Arc<str>],
        error: &str,
    ) -> Result<Option<String>, EndReason> {
        let lost = |e: RequestError| EndReason::GenerationLost(format!("{error}; {}", e.message));
        let (placed, turn, reservation) = loop {
            let turn = self.relay.quarantine_turn(&self.job).await.map_err(lost)?;
            let placing =
                acquire_placement(&self.relay, &self.job, avoid.to_vec(), turn.is_isolated(), None);
            let placed = until(self.job.deadline, self.relay.before_last_refusal(placing)).await;
            let placed = placed.map_err(|_| EndReason::DeadlineExceeded)?;
            let (placed, reservation) = placed.flatten().map_err(lost)?;
            if !self.relay.is_turn_stale(&self.job, &turn) {
                break (placed, turn, reservation);
            }
        };
        self.placed = placed;
        self.turn = turn;
        self.orders = self.placed.orders();
        self.relocation = None;
        Ok(reservation)
    }

    /// Restarts a repeatable generation on another endpoint after the last event sent.
    async fn restart(&mut self, error: String) -> Result<(), EndReason> {
        self.check_retry(&error)?;
        self.attempts += 1;
        self.events_before_restart = self.events;
        // Releases the current trial, so that the next attempt can get a turn.
        self.turn = QuarantineTurn::none();
        let mut avoid = vec![self.placed.endpoint().clone()];
        let opened = loop {
            let reservation = self.acquire_new_placement(&avoid, &error).await?;
            let resume_from =
                ResumeFrom { last_event_id: self.last_event_id, kv_copy: None, reservation };
            let endpoint = self.placed.endpoint();
            let opened =
                open_on_endpoint(&self.relay, &self.job, &self.turn, endpoint, &resume_from);
            let opened =
                until(self.job.deadline, opened).await.map_err(|_| EndReason::DeadlineExceeded)?;
            if !matches!(opened, Err(OpenError::Withheld(_)))
                || MAX_WITHHELD_ATTEMPTS <= avoid.len()
            {
                break opened;
            }
            avoid.push(endpoint.clone());
        };
        log::info!(
            event = EventId::StreamResumed.number(), id = self.job.caller.id.as_str(),
            after = self.last_event_id.unwrap_or(0), endpoint = &**self.placed.endpoint(),
            began_at = describe(self.job.versions().version()),
            software = describe(self.relay.software_version(self.placed.endpoint()).as_ref());
            "restarted a generation on another endpoint: {error}"
        );
        match opened {
            Ok(Opened::Stream { event_stream, first, run, .. }) => {
                self.record_continuation(Continuation::Restart, self.placed.endpoint());
                self.switch_to(event_stream, *run, first).await
            }
            Ok(Opened::Failed { head, .. }) => {
                Err(EndReason::GenerationLost(head.status.to_string()))
            }
            Err(lost) => Err(EndReason::GenerationLost(format!("{error}; {lost:?}"))),
        }
    }
}
