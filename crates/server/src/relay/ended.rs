//! Finds out whether an endpoint has ended under a request.
//!
//! An attempt that breaks off tells only that its connection has ended. An endpoint that has ended
//! refuses the next connection; one that only failed this request takes it.

use std::{net::SocketAddr, time::Duration};

use tokio::time::timeout;
use trayswitch_core::{
    node::{AfterBreak, BrokeOff, Input},
    registry::Registered,
};

use super::{Job, Relay, permit::Permit};
use crate::{telemetry::EventId, upstream::socket};

impl Relay {
    /// Finds out whether an endpoint has ended, after an attempt there broke off when its caller had
    /// so many events. Before this is known the request is not sent again: the next attempt may be a
    /// trial.
    pub(super) async fn broke_off(
        &self,
        job: &Job,
        permit: &Permit,
        endpoint: &Registered,
        events: u64,
    ) {
        let after = look_at(endpoint.address, self.options.connect_limit).await;
        self.metrics.broke_off(&job.service, name(after));
        log::info!(
            event = EventId::EndedUnder.number(), id = job.caller.id.as_str(),
            request = job.digest(self).to_string().as_str(), endpoint = &*endpoint.id,
            born = endpoint.born, events = events, end = name(after),
            trial = permit.trial.is_some();
            "an attempt broke off"
        );
        self.tell_broken_off(job, permit, endpoint, after);
    }

    fn tell_broken_off(
        &self,
        job: &Job,
        permit: &Permit,
        endpoint: &Registered,
        after: AfterBreak,
    ) {
        self.node.input(Input::BrokeOff(BrokeOff {
            request: job.digest(self),
            endpoint: endpoint.id.clone(),
            born: Some(endpoint.born),
            after,
            trial: permit.trial.as_ref().map(|trial| trial.call()),
        }));
    }
}

/// An attempt whose end is awaited. One that is given up, since its time is over or its caller has left, may
/// have ended an endpoint that nobody looks at any more: the node waits for a while for word of that.
pub(super) struct Awaited<'a> {
    relay: &'a Relay,
    job: &'a Job,
    permit: &'a Permit,
    endpoint: &'a Registered,
    has_ended: bool,
}

impl<'a> Awaited<'a> {
    pub(super) fn begin(
        relay: &'a Relay,
        job: &'a Job,
        permit: &'a Permit,
        endpoint: &'a Registered,
    ) -> Awaited<'a> {
        Awaited { relay, job, permit, endpoint, has_ended: false }
    }

    /// The attempt has come to its end.
    pub(super) fn end(mut self) {
        self.has_ended = true;
    }
}

impl Drop for Awaited<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            let Awaited { relay, job, permit, endpoint, .. } = self;
            relay.tell_broken_off(job, permit, endpoint, AfterBreak::Silent);
        }
    }
}

fn name(after: AfterBreak) -> &'static str {
    match after {
        AfterBreak::Refused => "ended",
        AfterBreak::Taken => "alive",
        AfterBreak::Silent => "silent",
    }
}

async fn look_at(address: SocketAddr, limit: Duration) -> AfterBreak {
    match timeout(limit, socket::connect(address)).await {
        Ok(Ok(_)) => AfterBreak::Taken,
        Ok(Err(_)) => AfterBreak::Refused,
        Err(_) => AfterBreak::Silent,
    }
}
