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
        let request = job.digest(self);
        self.metrics.broke_off(&job.service, name(after));
        log::info!(
            event = EventId::EndedUnder.number(), id = job.caller.id.as_str(),
            request = request.to_string().as_str(), endpoint = &*endpoint.id,
            born = endpoint.born, events = events, end = name(after),
            trial = permit.trial.is_some();
            "an attempt broke off"
        );
        self.node.input(Input::BrokeOff(BrokeOff {
            request,
            endpoint: endpoint.id.clone(),
            born: Some(endpoint.born),
            after,
            trial: permit.trial.as_ref().map(|trial| trial.call()),
        }));
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
