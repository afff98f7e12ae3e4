//! The actor: feeds inputs to the core and carries out what it decides.

use std::{
    collections::HashMap,
    sync::{Arc, mpsc},
    time::{Duration, Instant as Clock},
};

use stakker::{CX, FixedTimerKey, timer_max};
use trayswitch_core::{
    config::{Config, Document, EndpointTarget},
    error::RequestError,
    placement::{Action, ForecastPolicy, Health, Scheduler, SchedulerLimits, Ticket},
    units::Instant,
};

use super::{Accepted, EndpointStatus, Grant, InForce, Input, SubmitError, View};
use crate::telemetry::EventId;

/// Owns the scheduler and the accepted configuration.
pub(crate) struct NodeActor {
    view: Arc<View>,
    start: Clock,
    scheduler: Scheduler,
    admissions: HashMap<Ticket, mpsc::Sender<Result<Grant, RequestError>>>,
}

impl NodeActor {
    /// Creates the actor and starts its tick.
    pub(crate) fn init(cx: CX![], view: Arc<View>) -> Option<Self> {
        let scheduler = Scheduler::new(SchedulerLimits::default(), Box::new(ForecastPolicy::default()));
        let node = NodeActor { view, start: cx.now(), scheduler, admissions: HashMap::new() };
        node.arm(cx);
        Some(node)
    }
}
