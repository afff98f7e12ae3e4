//! Finds out whether an endpoint has ended under a request.
//!
//! An attempt that breaks off tells only that its connection has ended. An endpoint that has ended
//! refuses the next connection; one that only failed this request takes it. So does one that is about to
//! end: a process that ends closes its connections one after the other, and the one that it listens by may
//! be the last. It is watched for a while, beside whatever comes next.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use tokio::{
    io::AsyncReadExt,
    net::TcpStream,
    sync::OwnedSemaphorePermit,
    time::{Instant, timeout, timeout_at},
};
use trayswitch_core::{
    node::{FailedAttempt, Input, ProbeOutcome},
    registry::Registered,
};

use super::{Job, Relay, quarantine_turn::QuarantineTurn};
use crate::{
    runtime::NodeHandle,
    telemetry::{EventId, Metrics},
    upstream::socket,
};

/// How long an endpoint is watched that takes connections after an attempt broke off: far longer than a
/// process takes from closing its first connection to closing its last.
const WATCH_DURATION: Duration = Duration::from_secs(2);
/// Connections of one endpoint that may be closed while it is watched; one that closes more does so by
/// habit.
const MAX_WATCH_PROBES: usize = 4;
/// Endpoints that one daemon watches at a time, with a connection each. The ends of others are known by
/// their heartbeats.
pub(super) const MAX_WATCHED_ENDPOINTS: usize = 256;

impl Relay {
    /// Finds out whether an endpoint has ended, after an attempt there broke off when its caller had
    /// so many events. Before this is known the request is not sent again: the next attempt may be a
    /// trial.
    pub(super) async fn on_attempt_failed(
        &self,
        job: &Job,
        turn: &QuarantineTurn,
        endpoint: &Registered,
        events: u64,
    ) {
        let limit = self.options.connect_timeout;
        let (after, connection) = probe(endpoint.address, limit).await;
        self.metrics.broke_off(&job.service, outcome_name(after));
        log::info!(
            event = EventId::EndedUnder.number(), id = job.caller.id.as_str(),
            request = job.digest(self).to_string().as_str(), endpoint = &*endpoint.id,
            born = endpoint.born, events = events, end = outcome_name(after),
            trial = turn.trial.is_some();
            "an attempt broke off"
        );
        let broke_off = self.failed_attempt(job, turn, endpoint, after);
        self.node.input(Input::FailedAttempt(broke_off.clone()));
        let Some(connection) = connection else { return };
        // Without a permit there are many already.
        let Ok(permit) = self.watch_permits.clone().try_acquire_owned() else { return };
        let watch = EndpointWatch {
            node: self.node.clone(),
            metrics: self.metrics.clone(),
            service: job.service.clone(),
            address: endpoint.address,
            limit,
            broke_off,
            _permit: permit,
        };
        tokio::task::spawn_local(watch.run(connection));
    }

    fn failed_attempt(
        &self,
        job: &Job,
        turn: &QuarantineTurn,
        endpoint: &Registered,
        after: ProbeOutcome,
    ) -> FailedAttempt {
        FailedAttempt {
            request: job.digest(self),
            endpoint: endpoint.id.clone(),
            started_at: Some(endpoint.born),
            probe: after,
            trial: turn.trial.as_ref().map(|trial| trial.call()),
        }
    }
}

/// An endpoint that took a connection after an attempt there had broken off.
struct EndpointWatch {
    node: NodeHandle,
    metrics: Rc<Metrics>,
    service: String,
    address: SocketAddr,
    limit: Duration,
    broke_off: FailedAttempt,
    _permit: OwnedSemaphorePermit,
}

impl EndpointWatch {
    /// Tells the node if the endpoint ends soon.
    async fn run(self, mut connection: TcpStream) {
        let until = Instant::now() + WATCH_DURATION;
        for _ in 0..MAX_WATCH_PROBES {
            if timeout_at(until, wait_for_close(connection)).await.is_err() {
                return;
            }
            connection = match probe(self.address, self.limit).await {
                // It is there, and closed only the connection.
                (_, Some(next)) => next,
                (ProbeOutcome::ConnectionRefused, None) => return self.report_ended(),
                (_, None) => return,
            };
        }
    }

    fn report_ended(self) {
        self.metrics.broke_off(&self.service, "closed");
        log::info!(
            event = EventId::EndedUnder.number(),
            request = self.broke_off.request.to_string().as_str(),
            endpoint = &*self.broke_off.endpoint, end = "closed",
            trial = self.broke_off.trial.is_some();
            "an endpoint ended after an attempt there had broken off"
        );
        let broke_off = FailedAttempt { probe: ProbeOutcome::ConnectionRefused, ..self.broke_off };
        self.node.input(Input::FailedAttempt(broke_off));
    }
}

/// Waits until the other side closes a connection on which it was asked nothing.
async fn wait_for_close(mut connection: TcpStream) {
    let mut unsolicited = [0; 64];
    while connection.read(&mut unsolicited).await.is_ok_and(|bytes| 0 < bytes) {}
}

/// An attempt whose end is awaited. One that is given up, since its time is over or its caller has left, may
/// have ended an endpoint that nobody looks at any more: the node waits for a while for word of that.
pub(super) struct AttemptGuard<'a> {
    relay: &'a Relay,
    job: &'a Job,
    turn: &'a QuarantineTurn,
    endpoint: &'a Registered,
    is_complete: bool,
}

impl<'a> AttemptGuard<'a> {
    pub(super) fn new(
        relay: &'a Relay,
        job: &'a Job,
        turn: &'a QuarantineTurn,
        endpoint: &'a Registered,
    ) -> AttemptGuard<'a> {
        AttemptGuard { relay, job, turn, endpoint, is_complete: false }
    }

    /// The attempt has come to its end.
    pub(super) fn complete(mut self) {
        self.is_complete = true;
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if !self.is_complete {
            let AttemptGuard { relay, job, turn, endpoint, .. } = self;
            let broke_off = relay.failed_attempt(job, turn, endpoint, ProbeOutcome::NoAnswer);
            relay.node.input(Input::FailedAttempt(broke_off));
        }
    }
}

fn outcome_name(after: ProbeOutcome) -> &'static str {
    match after {
        ProbeOutcome::ConnectionRefused => "ended",
        ProbeOutcome::Connected => "alive",
        ProbeOutcome::NoAnswer => "silent",
    }
}

/// What an endpoint's address says now, and the connection if it takes one.
async fn probe(address: SocketAddr, limit: Duration) -> (ProbeOutcome, Option<TcpStream>) {
    match timeout(limit, socket::connect(address)).await {
        Ok(Ok(connection)) => (ProbeOutcome::Connected, Some(connection)),
        Ok(Err(_)) => (ProbeOutcome::ConnectionRefused, None),
        Err(_) => (ProbeOutcome::NoAnswer, None),
    }
}
