//! Finds out whether an endpoint has ended under a request.
//!
//! An attempt that breaks off tells only that its connection has ended. An endpoint that has ended
//! refuses the next connection; one that only failed this request takes it.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use tokio::time::timeout;
use trayswitch_core::registry::Registered;

use super::{Job, Relay};
use crate::{
    telemetry::{EventId, Metrics},
    upstream::socket,
};

/// What an endpoint's address says after an attempt there broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum After {
    /// Nothing listens there any more: the endpoint has ended.
    Ended,
    /// It takes connections.
    Alive,
    /// It does not say anything; its VM or the way there may have failed.
    Silent,
}

impl After {
    fn name(self) -> &'static str {
        match self {
            After::Ended => "ended",
            After::Alive => "alive",
            After::Silent => "silent",
        }
    }
}

impl Relay {
    /// Finds out whether an endpoint has ended, after an attempt there broke off when its caller had
    /// so many events.
    pub(super) fn look_after(&self, job: &Job, endpoint: &Registered, events: u64) {
        let look = Look {
            id: job.caller.id.clone(),
            request: self.node.digest(&job.identity()).to_string(),
            service: job.service.clone(),
            endpoint: endpoint.clone(),
            events,
            limit: self.options.connect_limit,
            metrics: self.metrics.clone(),
        };
        tokio::task::spawn_local(look.run());
    }
}

/// A look at an endpoint.
struct Look {
    id: String,
    request: String,
    service: String,
    endpoint: Registered,
    events: u64,
    limit: Duration,
    metrics: Rc<Metrics>,
}

impl Look {
    async fn run(self) {
        let after = look_at(self.endpoint.address, self.limit).await;
        self.metrics.broke_off(&self.service, after.name());
        log::info!(
            event = EventId::EndedUnder.number(), id = self.id.as_str(),
            request = self.request.as_str(), endpoint = &*self.endpoint.id,
            born = self.endpoint.born, events = self.events, end = after.name();
            "an attempt broke off"
        );
    }
}

async fn look_at(address: SocketAddr, limit: Duration) -> After {
    match timeout(limit, socket::connect(address)).await {
        Ok(Ok(_)) => After::Alive,
        Ok(Err(_)) => After::Ended,
        Err(_) => After::Silent,
    }
}
