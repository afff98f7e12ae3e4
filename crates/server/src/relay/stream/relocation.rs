//! Relocations of a running generation.

use std::{future::pending, sync::Arc, time::Duration};

use tokio::time::timeout;
use trayswitch_clock::Instant;

use super::{EndReason, StreamForwarder};
use crate::{
    relay::{
        KvCopy,
        event_stream::StreamItem,
        generation::{Opened, open_on_endpoint},
        job::ResumeFrom,
        relocation::{Relocation, RelocationResult},
        software_version::{Continuation, describe},
    },
    runtime::MoveOrder,
    telemetry::EventId,
    timer::until,
};

/// Time to read the events that the stopped generation has already sent.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);

impl StreamForwarder {
    /// Whether a relocation may have stopped the generation.
    pub(super) fn is_stopping(&self) -> bool {
        self.relocation.as_ref().is_some_and(Relocation::is_stopping)
    }

    /// Starts a relocation, unless an endpoint is gone, the target accepts no new requests or the
    /// source backs off.
    pub(super) fn start_relocation(&mut self, order: &MoveOrder) {
        let view = self.relay.node.view();
        let (from, to) = (view.endpoint(&order.from), view.endpoint(&order.to));
        let to = to.filter(|to| self.relay.may_send(to).is_ok());
        let from = from.filter(|from| self.relay.may_request_copies(from));
        let (Some(from), Some(to)) = (from, to) else {
            let at = self.placed.endpoint().clone();
            return self.placed.moved(&at, false);
        };
        self.relocation = Some(Relocation::start(self.relay.clone(), self.job.clone(), from, to));
    }

    /// Handles the end of the stream while a relocation may have stopped the generation: waits for
    /// the relocation's result to tell the cause.
    pub(super) async fn on_stream_closed_during_relocation(
        &mut self,
        ended: bool,
    ) -> Result<(), EndReason> {
        let result = next_relocation_result(&mut self.relocation);
        let result =
            until(self.job.deadline, result).await.map_err(|_| EndReason::DeadlineExceeded)?;
        if matches!(result, RelocationResult::NotRunning) && ended {
            return Err(EndReason::Completed);
        }
        if let RelocationResult::Stopped { .. } = result {
            return self.on_relocation_result(result).await;
        }
        self.on_relocation_result(result).await?;
        if !ended {
            self.on_attempt_failed().await;
        }
        let error = "the endpoint closed the stream during a relocation".to_owned();
        self.restart(error).await
    }

    pub(super) async fn on_relocation_result(
        &mut self,
        result: RelocationResult,
    ) -> Result<(), EndReason> {
        let Some(relocation) = self.relocation.take() else { return Ok(()) };
        let from = self.placed.endpoint().clone();
        let took = relocation.started_at.elapsed();
        match result {
            RelocationResult::Stopped { kv_copy, to } => {
                self.finish_relocation(&kv_copy, &from, &to, took).await
            }
            RelocationResult::NotRunning | RelocationResult::Failed(_) => {
                log::info!(
                    event = EventId::MoveEnded.number(), id = self.job.caller.id.as_str(),
                    from = &*from, to = &*relocation.to, end = result.name(), detail = result.detail(),
                    took_ms = took.as_millis() as u64;
                    "a generation was not relocated"
                );
                self.placed.moved(&from, false);
                self.relay.metrics.moved(result.name());
                Ok(())
            }
        }
    }

    /// Resumes a generation that a relocation has stopped.
    async fn finish_relocation(
        &mut self,
        kv_copy: &KvCopy,
        from: &Arc<str>,
        to: &Arc<str>,
        took: Duration,
    ) -> Result<(), EndReason> {
        let stopped = Instant::now();
        self.unclaimed_copy = Some(kv_copy.clone());
        // Reported before resuming, so that the next copy can start on the link.
        self.placed.moved(to, to != from);
        let resume_result = match self.drain_stopped().await {
            Ok(()) => self.resume_from_copy(kv_copy, from, to).await,
            Err(reason) => Err(reason),
        };
        let result = match resume_result {
            Ok(()) => "moved",
            Err(EndReason::CallerDisconnected) => "caller_left",
            Err(_) => "lost",
        };
        log::info!(
            event = EventId::MoveEnded.number(), id = self.job.caller.id.as_str(),
            from = &**from, to = &**to, end = result, took_ms = took.as_millis() as u64,
            pause_ms = stopped.elapsed().as_millis() as u64, last = self.last_event_id.unwrap_or(0),
            began_at = describe(self.job.versions().version()),
            software = describe(self.relay.software_version(self.placed.endpoint()).as_ref());
            "a generation was relocated"
        );
        self.relay.metrics.moved(result);
        resume_result
    }

    /// Forwards the events that the stopped generation has already sent.
    async fn drain_stopped(&mut self) -> Result<(), EndReason> {
        let until = Instant::now() + DRAIN_TIMEOUT;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            match timeout(left, self.event_stream.next()).await {
                Ok(StreamItem::Event(event)) => self.forward_event(event).await?,
                Ok(StreamItem::End | StreamItem::ConnectionEnd | StreamItem::Error(_)) | Err(_) => {
                    return Ok(());
                }
            }
        }
    }

    /// Resumes on the target of the copy, or on the source if that fails.
    async fn resume_from_copy(
        &mut self,
        kv_copy: &KvCopy,
        from: &Arc<str>,
        to: &Arc<str>,
    ) -> Result<(), EndReason> {
        let resume_from = ResumeFrom {
            last_event_id: self.last_event_id,
            kv_copy: Some(kv_copy.clone()),
            ..ResumeFrom::default()
        };
        let mut error = String::new();
        let endpoints = if to == from { &[from][..] } else { &[to, from] };
        for endpoint in endpoints.iter().copied() {
            let opened =
                open_on_endpoint(&self.relay, &self.job, &self.turn, endpoint, &resume_from);
            let opened = until(self.job.deadline, opened).await;
            match opened.map_err(|_| EndReason::DeadlineExceeded)? {
                Ok(Opened::Stream { event_stream, first, run, .. }) => {
                    self.unclaimed_copy = None;
                    if endpoint != to {
                        self.placed.moved(endpoint, false);
                    }
                    if endpoint != from {
                        self.record_continuation(Continuation::Relocation, endpoint);
                    }
                    return self.switch_to(event_stream, *run, first).await;
                }
                Ok(Opened::Failed { head, .. }) => error = head.status.to_string(),
                Err(lost) => error = format!("{lost:?}"),
            }
        }
        Err(EndReason::GenerationLost(format!("failed to resume from the KV cache copy: {error}")))
    }
}

/// The result of the relocation in progress; pending forever without one.
pub(super) async fn next_relocation_result(
    relocation: &mut Option<Relocation>,
) -> RelocationResult {
    match relocation {
        Some(relocation) => relocation.result().await,
        None => pending().await,
    }
}
