//! Moves of a running generation, as its pump follows them.

use std::{future::pending, sync::Arc, time::Duration};

use tokio::time::timeout;
use trayswitch_clock::Instant;

use super::{Cause, Pump};
use crate::{
    relay::{
        KvCopy,
        generation::{Opened, open_at},
        job::GoOn,
        moves::{Move, MoveEnd},
        source::Step,
    },
    runtime::MoveOrder,
    telemetry::EventId,
    timer::until,
};

/// After a generation has stopped, what it made before is on the connection already.
const DRAIN_LIMIT: Duration = Duration::from_millis(100);

impl Pump {
    /// Whether the generation may have been stopped by a move.
    pub(super) fn is_stopped(&self) -> bool {
        self.moving.as_ref().is_some_and(Move::is_stopping)
    }

    /// Begins a move, unless one of its endpoints has gone, or nothing may be sent to the second.
    pub(super) fn begin(&mut self, order: &MoveOrder) {
        let view = self.relay.node.view();
        let (from, to) = (view.endpoint(&order.from), view.endpoint(&order.to));
        let to = to.filter(|to| self.relay.may_send(to).is_ok());
        let from = from.filter(|from| self.relay.may_ask_for_copies(from));
        let (Some(from), Some(to)) = (from, to) else {
            let at = self.placed.endpoint().clone();
            return self.placed.moved(&at, false);
        };
        self.moving = Some(Move::begin(self.relay.clone(), self.job.clone(), from, to));
    }

    /// The stream closed while the generation was being stopped: the move says what it means.
    pub(super) async fn follow_move(&mut self, ended: bool) -> Result<(), Cause> {
        let end = next_end(&mut self.moving);
        let end = until(self.job.deadline, end).await.map_err(|_| Cause::TimeOver)?;
        if matches!(end, MoveEnd::NoSuchRun) && ended {
            return Err(Cause::Answered);
        }
        if let MoveEnd::Stopped { .. } = end {
            return self.take_move(end).await;
        }
        self.take_move(end).await?;
        if !ended {
            self.broke_off().await;
        }
        let problem = "the endpoint closed the stream during a move".to_owned();
        self.start_again(problem).await
    }

    /// Does what the end of a move calls for.
    pub(super) async fn take_move(&mut self, end: MoveEnd) -> Result<(), Cause> {
        let Some(moving) = self.moving.take() else { return Ok(()) };
        let from = self.placed.endpoint().clone();
        let took = moving.began.elapsed();
        match end {
            MoveEnd::Stopped { memory, to } => self.finish_move(&memory, &from, &to, took).await,
            MoveEnd::NoSuchRun | MoveEnd::Failed(_) => {
                log::info!(
                    event = EventId::MoveEnded.number(), id = self.job.caller.id.as_str(),
                    from = &*from, to = &*moving.to, end = end.name(), detail = end.detail(),
                    took_ms = took.as_millis() as u64;
                    "a generation was not moved"
                );
                self.placed.moved(&from, false);
                self.relay.metrics.moved(end.name());
                Ok(())
            }
        }
    }

    /// Goes on elsewhere with a generation that a move has stopped.
    async fn finish_move(
        &mut self,
        memory: &KvCopy,
        from: &Arc<str>,
        to: &Arc<str>,
        took: Duration,
    ) -> Result<(), Cause> {
        let stopped = Instant::now();
        self.copied = Some(memory.clone());
        // The links are free for the next copy while this generation starts again.
        self.placed.moved(to, to != from);
        let went_on = match self.drain().await {
            Ok(()) => self.go_on(memory, from, to).await,
            Err(cause) => Err(cause),
        };
        let end = match went_on {
            Ok(()) => "moved",
            Err(Cause::CallerLeft) => "caller_left",
            Err(_) => "lost",
        };
        log::info!(
            event = EventId::MoveEnded.number(), id = self.job.caller.id.as_str(),
            from = &**from, to = &**to, end = end, took_ms = took.as_millis() as u64,
            pause_ms = stopped.elapsed().as_millis() as u64, last = self.last.unwrap_or(0);
            "a generation was moved"
        );
        self.relay.metrics.moved(end);
        went_on
    }

    /// Passes on what the stopped generation made before.
    async fn drain(&mut self) -> Result<(), Cause> {
        let until = Instant::now() + DRAIN_LIMIT;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            match timeout(left, self.source.next()).await {
                Ok(Step::Event(event)) => self.deliver(event).await?,
                Ok(Step::Ended | Step::Lost(_)) | Err(_) => return Ok(()),
            }
        }
    }

    /// Goes on at the endpoint that has the copy, or else at the one that stopped.
    async fn go_on(
        &mut self,
        memory: &KvCopy,
        from: &Arc<str>,
        to: &Arc<str>,
    ) -> Result<(), Cause> {
        let go_on =
            GoOn { last_event_id: self.last, kv_copy: Some(memory.clone()), ..GoOn::default() };
        let mut problem = String::new();
        let endpoints = if to == from { &[from][..] } else { &[to, from] };
        for endpoint in endpoints.iter().copied() {
            let opened = open_at(&self.relay, &self.job, &self.turn, endpoint, &go_on);
            let opened = until(self.job.deadline, opened).await;
            match opened.map_err(|_| Cause::TimeOver)? {
                Ok(Opened::Stream { source, first, .. }) => {
                    self.copied = None;
                    if endpoint != to {
                        self.placed.moved(endpoint, false);
                    }
                    return self.switch(source, first).await;
                }
                Ok(Opened::Failed { head, .. }) => problem = head.status.to_string(),
                Err(lost) => problem = format!("{lost:?}"),
            }
        }
        Err(Cause::Lost(format!("the copy could not be used: {problem}")))
    }
}

/// The end of the move on its way; never without one.
pub(super) async fn next_end(moving: &mut Option<Move>) -> MoveEnd {
    match moving {
        Some(moving) => moving.end().await,
        None => pending().await,
    }
}
