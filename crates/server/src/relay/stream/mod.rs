//! Carries the events of a running generation to its caller, across endpoints.

mod following;

use std::{rc::Rc, sync::Arc};

use bytes::Bytes;
use tokio::sync::mpsc;

use trayswitch_core::error::RequestError;

use self::following::next_end;
use super::{
    Job, KvCopy, Relay,
    generation::{Lost, MAX_WITHHELD, Opened, open_at, place},
    job::GoOn,
    moves::{Move, free},
    quarantine_turn::QuarantineTurn,
    source::{Source, Step},
};
use crate::{
    edge::AnswerError,
    runtime::{MoveOrder, Placed},
    telemetry::EventId,
    timer::{sleep_until, until},
    upstream::Event,
};

/// The node is told of progress after this many events: it forecasts memory by it.
const PROGRESS_EVENTS: u64 = 8;
/// Tokens that an event holds where the engine does not say, by the users' sheets.
const TOKENS_PER_EVENT: u64 = 4;
/// How a generation ended.
enum Cause {
    Answered,
    CallerLeft,
    Lost(String),
    TimeOver,
}

/// Carries one generation.
pub(super) struct Pump {
    relay: Rc<Relay>,
    job: Rc<Job>,
    placed: Placed,
    turn: QuarantineTurn,
    source: Source,
    tx: mpsc::Sender<Result<Bytes, AnswerError>>,
    orders: mpsc::UnboundedReceiver<MoveOrder>,
    /// A move on its way.
    moving: Option<Move>,
    /// What a move has copied, until the generation goes on with it.
    copied: Option<KvCopy>,
    /// The last event that the caller has.
    last: Option<u64>,
    /// Events passed on so far.
    events: u64,
    /// Events that were passed on before it last began at an endpoint.
    events_before: u64,
    /// How many times the generation was started.
    starts: u32,
}

impl Pump {
    /// A generation that was placed and has begun to answer.
    pub(super) fn new(
        relay: Rc<Relay>,
        job: Job,
        placed: Placed,
        turn: QuarantineTurn,
        source: Source,
        tx: mpsc::Sender<Result<Bytes, AnswerError>>,
    ) -> Pump {
        let orders = placed.orders();
        let last = job.caller.last_event_id;
        Pump {
            relay,
            job: Rc::new(job),
            placed,
            turn,
            source,
            tx,
            orders,
            moving: None,
            copied: None,
            last,
            events: 0,
            events_before: 0,
            starts: 1,
        }
    }

    /// Carries the generation to its end.
    pub(super) async fn run(mut self, first: Option<Event>) {
        let route = self.job.route.name.clone();
        self.relay.metrics.first_event(&route, self.job.arrived.elapsed());
        let caller = self.tx.clone();
        let cause = tokio::select! {
            biased;
            // Wherever the generation is: between events, in a move, on its way elsewhere.
            () = caller.closed() => Cause::CallerLeft,
            cause = self.carry(first) => cause,
        };
        self.free_copies();
        let (name, detail) = match cause {
            Cause::Answered => {
                self.placed.finish(self.tokens());
                self.relay.answered_whole(&self.job, &mut self.turn);
                ("answered", String::new())
            }
            Cause::CallerLeft => ("caller_left", String::new()),
            Cause::Lost(problem) => ("generation_lost", problem),
            Cause::TimeOver => ("time_over", String::new()),
        };
        if matches!(name, "generation_lost" | "time_over") {
            // The answer must not look complete. A caller that has left needs no telling.
            let _ = self.tx.send(Err(AnswerError(name.to_owned()))).await;
        }
        let detail = format!("{} events {detail}", self.events);
        self.job.ended(&self.relay.metrics, name, detail.trim());
    }

    /// Frees what was copied of a generation that has ended without it. A move that is on its way
    /// ends by itself.
    fn free_copies(&mut self) {
        if let Some(moving) = self.moving.take() {
            moving.abandon();
        }
        if let Some(memory) = self.copied.take() {
            let relay = self.relay.clone();
            tokio::task::spawn_local(async move { free(&relay, &memory).await });
        }
    }

    /// Passes events on and follows moves until the generation ends.
    async fn carry(&mut self, first: Option<Event>) -> Cause {
        let Some(first) = first else { return Cause::Answered };
        if let Err(cause) = self.deliver(first).await {
            return cause;
        }
        loop {
            let deadline = sleep_until(self.job.deadline);
            let result = tokio::select! {
                biased;
                step = self.source.next() => self.take_step(step).await,
                Some(order) = self.orders.recv(), if self.moving.is_none() => {
                    self.begin(&order);
                    Ok(())
                }
                end = next_end(&mut self.moving) => self.take_move(end).await,
                () = deadline => Err(Cause::TimeOver),
            };
            if let Err(cause) = result {
                return cause;
            }
        }
    }

    /// Does what the next step of the stream calls for.
    async fn take_step(&mut self, step: Step) -> Result<(), Cause> {
        match step {
            Step::Event(event) => self.deliver(event).await,
            Step::Ended if self.is_stopped() => self.follow_move(true).await,
            Step::Ended => Err(Cause::Answered),
            Step::Lost(_) if self.is_stopped() => self.follow_move(false).await,
            Step::Lost(problem) => {
                self.broke_off().await;
                self.start_again(problem).await
            }
        }
    }

    /// Finds out whether the endpoint has ended under the generation.
    async fn broke_off(&self) {
        if let Some(endpoint) = self.relay.node.view().endpoint(self.placed.endpoint()) {
            let last = self.last.unwrap_or(0);
            self.relay.broke_off(&self.job, &self.turn, &endpoint, last).await;
        }
    }

    /// Goes on with the events of another connection.
    async fn switch(&mut self, source: Source, first: Option<Event>) -> Result<(), Cause> {
        self.source = source;
        match first {
            Some(event) => self.deliver(event).await,
            None => Err(Cause::Answered),
        }
    }

    /// Passes an event on, unless the caller has it.
    async fn deliver(&mut self, event: Event) -> Result<(), Cause> {
        if let Some(id) = event.id {
            if self.last.is_some_and(|last| id <= last) {
                log::debug!(event = EventId::FrameDropped.number(); "event {id} came again");
                return Ok(());
            }
            if self.last.is_some_and(|last| last + 1 < id) {
                return Err(Cause::Lost(format!("event {id} came after {:?}", self.last)));
            }
            self.last = Some(id);
        }
        self.events += 1;
        if self.tx.send(Ok(event.bytes)).await.is_err() {
            return Err(Cause::CallerLeft);
        }
        if self.events == 1 || self.events.is_multiple_of(PROGRESS_EVENTS) {
            self.placed.progress(self.tokens());
        }
        if self.events - self.events_before == PROGRESS_EVENTS {
            self.turn.begin();
        }
        Ok(())
    }

    /// Tokens passed on so far, by reckoning.
    fn tokens(&self) -> u64 {
        self.events * TOKENS_PER_EVENT
    }

    /// Whether the generation may run again after this problem; counts the repeat if so.
    fn take_repeat(&self, problem: &str) -> Result<(), Cause> {
        let spec = &self.job.route.spec;
        let repeatable = spec.kind.is_repeatable() && self.starts < spec.max_attempts;
        if !repeatable || self.relay.check_may_run(&self.job).is_err() {
            return Err(Cause::Lost(problem.to_owned()));
        }
        if !self.relay.may_repeat(&self.job.service) {
            return Err(Cause::Lost(format!("{problem}; no more repeats are allowed now")));
        }
        Ok(())
    }

    /// Finds a place at another endpoint; returns the name of its reservation there, if there is one.
    async fn place_again(
        &mut self,
        avoid: &[Arc<str>],
        problem: &str,
    ) -> Result<Option<String>, Cause> {
        let lost = |e: RequestError| Cause::Lost(format!("{problem}; {}", e.message));
        let (placed, turn, reservation) = loop {
            let turn = self.relay.quarantine_turn(&self.job).await.map_err(lost)?;
            let placing = place(&self.relay, &self.job, avoid.to_vec(), turn.is_apart());
            let placed = until(self.job.deadline, placing).await;
            let (placed, reservation) = placed.map_err(|_| Cause::TimeOver)?.map_err(lost)?;
            if !self.relay.must_ask_again(&self.job, &turn) {
                break (placed, turn, reservation);
            }
        };
        self.placed = placed;
        self.turn = turn;
        self.orders = self.placed.orders();
        self.moving = None;
        Ok(reservation)
    }

    /// Runs what may be run again from the last event on, at another endpoint.
    async fn start_again(&mut self, problem: String) -> Result<(), Cause> {
        self.take_repeat(&problem)?;
        self.starts += 1;
        self.events_before = self.events;
        // The next attempt waits for its turn behind this one.
        self.turn = QuarantineTurn::none();
        let mut avoid = vec![self.placed.endpoint().clone()];
        let opened = loop {
            let reservation = self.place_again(&avoid, &problem).await?;
            let go_on = GoOn { last_event_id: self.last, kv_copy: None, reservation };
            let endpoint = self.placed.endpoint();
            let opened = open_at(&self.relay, &self.job, &self.turn, endpoint, &go_on);
            let opened = until(self.job.deadline, opened).await.map_err(|_| Cause::TimeOver)?;
            if !matches!(opened, Err(Lost::Withheld(_))) || MAX_WITHHELD <= avoid.len() {
                break opened;
            }
            avoid.push(endpoint.clone());
        };
        log::info!(
            event = EventId::StreamResumed.number(), id = self.job.caller.id.as_str(),
            after = self.last.unwrap_or(0), endpoint = &**self.placed.endpoint();
            "a generation goes on at another endpoint: {problem}"
        );
        match opened {
            Ok(Opened::Stream { source, first, .. }) => self.switch(source, first).await,
            Ok(Opened::Failed { head, .. }) => Err(Cause::Lost(head.status.to_string())),
            Err(lost) => Err(Cause::Lost(format!("{problem}; {lost:?}"))),
        }
    }
}
