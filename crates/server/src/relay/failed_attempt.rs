//! Probes whether an endpoint has crashed after an attempt on it failed.
//!
//! A crashed endpoint refuses a new connection; one that only failed the request accepts it. So may
//! a process that is still terminating, which may close its listening socket last. An endpoint that
//! accepts the connection is therefore watched for a while in the background.

use std::{io::ErrorKind, rc::Rc, time::Duration};

use tokio::{
    io::AsyncReadExt,
    net::TcpStream,
    sync::OwnedSemaphorePermit,
    time::{Instant, timeout_at},
};
use trayswitch_core::{
    node::{FailedAttempt, Input, ProbeOutcome},
    quarantine::ContentDigest,
    registry::RegisteredEndpoint,
};

use super::{
    Job, Relay,
    endpoint_connection::ConnectError,
    quarantine_turn::{QuarantineTurn, SOUND_EVENTS},
};
use crate::{runtime::Trial, telemetry::EventId};

/// How long an endpoint that accepted the probe is watched: well beyond the time that a process
/// takes to close all its sockets.
const WATCH_DURATION: Duration = Duration::from_secs(2);
/// Probe connections per watch. An endpoint that closes more of them is up and closes idle
/// connections.
const MAX_WATCH_PROBES: usize = 4;
/// Endpoints watched at a time, with one connection each. Other crashes are detected by missing
/// heartbeats.
pub(super) const MAX_WATCHED_ENDPOINTS: usize = 256;

impl Relay {
    /// Reports a failed attempt that had brought `events` events. Must complete before a retry, which
    /// then runs as a trial if the endpoint has crashed.
    pub(super) async fn on_attempt_failed(
        self: &Rc<Self>,
        job: &Job,
        turn: &QuarantineTurn,
        endpoint: &RegisteredEndpoint,
        events: u64,
    ) {
        let (outcome, connection) = self.probe(endpoint).await;
        self.metrics.broke_off(&job.service, outcome_name(outcome));
        log::info!(
            event = EventId::EndedUnder.number(), id = job.caller.id.as_str(),
            request = job.digest(self).to_string().as_str(),
            parts = describe(job.part_digests(self)).as_str(), endpoint = &*endpoint.id,
            born = endpoint.started_at, events = events, end = outcome_name(outcome),
            trial = turn.trial.is_some();
            "an attempt failed before its response was complete"
        );
        let failed_attempt = self.failed_attempt(job, turn, endpoint, events, outcome);
        self.node.input(Input::FailedAttempt(failed_attempt.clone()));
        let Some(connection) = connection else { return };
        let Ok(permit) = self.watch_permits.clone().try_acquire_owned() else { return };
        let watch = EndpointWatch {
            relay: self.clone(),
            service: job.service.clone(),
            endpoint: endpoint.clone(),
            failed_attempt,
            _permit: permit,
        };
        tokio::task::spawn_local(watch.run(connection));
    }

    fn failed_attempt(
        &self,
        job: &Job,
        turn: &QuarantineTurn,
        endpoint: &RegisteredEndpoint,
        events: u64,
        outcome: ProbeOutcome,
    ) -> FailedAttempt {
        let parts = if events < SOUND_EVENTS { job.part_digests(self) } else { &[] };
        FailedAttempt {
            request: job.digest(self),
            parts: parts.to_vec(),
            endpoint: endpoint.id.clone(),
            started_at: Some(endpoint.started_at),
            probe: outcome,
            trial: turn.trial.as_ref().map(Trial::call),
            trial_of: turn.trial.as_ref().map(Trial::content),
        }
    }
}

/// Watches an endpoint that accepted the probe after a failed attempt.
struct EndpointWatch {
    relay: Rc<Relay>,
    service: String,
    endpoint: RegisteredEndpoint,
    failed_attempt: FailedAttempt,
    _permit: OwnedSemaphorePermit,
}

impl EndpointWatch {
    /// Reports the endpoint as crashed if it refuses connections before the watch ends.
    async fn run(self, connection: TcpStream) {
        let outcome = self.relay.watch(&self.endpoint, connection, WATCH_DURATION).await;
        if outcome == ProbeOutcome::ConnectionRefused {
            self.report_ended();
        }
    }

    fn report_ended(self) {
        self.relay.metrics.broke_off(&self.service, "closed");
        log::info!(
            event = EventId::EndedUnder.number(),
            request = self.failed_attempt.request.to_string().as_str(),
            endpoint = &*self.failed_attempt.endpoint, end = "closed",
            trial = self.failed_attempt.trial.is_some();
            "an endpoint stopped accepting connections after a failed attempt"
        );
        let failed_attempt =
            FailedAttempt { probe: ProbeOutcome::ConnectionRefused, ..self.failed_attempt };
        self.relay.node.input(Input::FailedAttempt(failed_attempt));
    }
}

/// Waits until the peer closes an idle connection. Returns whether it does: one that sends without being
/// asked is up.
async fn wait_for_close(mut connection: TcpStream) -> bool {
    let mut unsolicited = [0; 1_024];
    !connection.read(&mut unsolicited).await.is_ok_and(|bytes| 0 < bytes)
}

/// Reports an attempt that is dropped before it completes, by deadline or disconnect. Nothing
/// probes its endpoint, so the node waits for other evidence of a crash.
pub(super) struct AttemptGuard<'a> {
    relay: &'a Relay,
    job: &'a Job,
    turn: &'a QuarantineTurn,
    endpoint: &'a RegisteredEndpoint,
    is_complete: bool,
}

impl<'a> AttemptGuard<'a> {
    pub(super) fn new(
        relay: &'a Relay,
        job: &'a Job,
        turn: &'a QuarantineTurn,
        endpoint: &'a RegisteredEndpoint,
    ) -> AttemptGuard<'a> {
        AttemptGuard { relay, job, turn, endpoint, is_complete: false }
    }

    /// Disarms the guard.
    pub(super) fn complete(mut self) {
        self.is_complete = true;
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if !self.is_complete {
            let AttemptGuard { relay, job, turn, endpoint, .. } = self;
            let failed_attempt =
                relay.failed_attempt(job, turn, endpoint, 0, ProbeOutcome::NoAnswer);
            relay.node.input(Input::FailedAttempt(failed_attempt));
        }
    }
}

/// Digests for a log line.
fn describe(digests: &[ContentDigest]) -> String {
    let digests: Vec<String> = digests.iter().map(ContentDigest::to_string).collect();
    digests.join(",")
}

fn outcome_name(outcome: ProbeOutcome) -> &'static str {
    match outcome {
        ProbeOutcome::ConnectionRefused => "ended",
        ProbeOutcome::Connected => "alive",
        ProbeOutcome::NoAnswer => "silent",
    }
}

impl Relay {
    /// Watches an endpoint that accepted a probe for `duration`; returns what its last probe showed.
    pub(super) async fn watch(
        self: &Rc<Self>,
        endpoint: &RegisteredEndpoint,
        mut connection: TcpStream,
        duration: Duration,
    ) -> ProbeOutcome {
        let until = Instant::now() + duration;
        for _ in 0..MAX_WATCH_PROBES {
            if !timeout_at(until, wait_for_close(connection)).await.unwrap_or(false) {
                return ProbeOutcome::Connected;
            }
            connection = match self.probe(endpoint).await {
                // The endpoint is up and closed only the probe connection.
                (_, Some(next)) => next,
                (outcome, None) => return outcome,
            };
        }
        ProbeOutcome::Connected
    }

    /// Connects to an endpoint; returns the connection if it is accepted. If it is not, another
    /// daemon is asked, since the network of this one may refuse connections.
    pub(super) async fn probe(
        self: &Rc<Self>,
        endpoint: &RegisteredEndpoint,
    ) -> (ProbeOutcome, Option<TcpStream>) {
        let error = match self.connect(endpoint, self.options.connect_timeout).await {
            Ok(connection) => return (ProbeOutcome::Connected, Some(connection)),
            Err(error) => error,
        };
        let is_own_delay = matches!(error, ConnectError::Delayed(_));
        if !is_own_delay && self.ask_forwarders(endpoint).await == Some(true) {
            return (ProbeOutcome::Connected, None);
        }
        match error {
            ConnectError::Failed(e) if e.kind() != ErrorKind::TimedOut => {
                (ProbeOutcome::ConnectionRefused, None)
            }
            _ => (ProbeOutcome::NoAnswer, None),
        }
    }
}
