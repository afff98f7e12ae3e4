//! Endpoints that register themselves: publishes them, configures the schedulers with them, saves
//! them and reports their state.

use super::{
    ControlReplica, Engines, Node, Output,
    news_batch::{SAVE_INTERVAL, SAVE_INTERVAL_PER_ENDPOINT, scaled},
};
use crate::{
    config::Config,
    placement::{EndpointState, Health, Scheduler},
    registry::EndpointChanges,
    throttle::RateLimit,
    units::Instant,
    wire::EndpointRecord,
};

/// State of one endpoint as a scheduler sees it.
#[derive(Debug, Clone, serde::Serialize)]
pub struct EndpointStatus {
    /// Name.
    pub name: String,
    /// Data hall.
    pub hall: String,
    /// Model or service.
    pub target: String,
    /// `live`, `leaving`, `down`, `retrying`, or `out` if its data hall is out of service.
    pub health: &'static str,
    /// Requests placed on it.
    pub running: u64,
    /// Maximum number of concurrent requests.
    pub slots: u64,
    /// KV cache reserved, in tokens.
    pub kv_used: u64,
    /// KV cache capacity, in tokens.
    pub kv_tokens: u64,
    /// Rate limit that the endpoint reports, in requests per second from all daemons together.
    pub limit: Option<f64>,
    /// Remaining time in milliseconds for which it is a last resort after rejecting requests.
    pub backoff_ms: Option<u64>,
}

impl Node {
    /// Publishes the endpoints that have changed and updates the schedulers with them.
    pub(super) fn publish_endpoint_changes(&mut self, now: Instant) {
        let names = self.registry.take_changes();
        if names.is_empty() {
            return;
        }
        let mut changes = EndpointChanges::default();
        for name in &names {
            match self.registry.endpoint(name, self.client.halls_out()) {
                Some(endpoint) => changes.changed.push(endpoint),
                None => changes.removed.push(name.clone()),
            }
        }
        self.outputs.push(Output::Registered(changes));
        let Some(active_config) = self.client.active_config().cloned() else { return };
        let engines = Engines::changes(&self.registry, &active_config.config, &names);
        self.placement.update_engines(&engines, now);
        if let Some(control) = &mut self.control {
            control.update_engines(&engines, now, &mut self.outputs);
        }
        self.update_runs(&active_config.config, now);
    }

    /// Applies a change of the data halls that are out of service, some of which may be back.
    pub(super) fn on_halls_changed(&mut self, restored: &[String], now: Instant) {
        self.on_halls_restored(restored, now);
        let halls_out = self.client.halls_out();
        let is_affected = |hall: &str| {
            halls_out.contains(hall) || restored.iter().any(|restored| restored == hall)
        };
        self.registry.mark_halls_changed(is_affected);
        self.placement.set_halls_out(halls_out);
        if let Some(control) = &mut self.control {
            control.set_halls_out(halls_out);
        }
    }

    /// Marks the endpoints of data halls that are back in service.
    fn on_halls_restored(&mut self, halls: &[String], now: Instant) {
        let Some(active_config) = self.client.active_config() else { return };
        for hall in halls {
            self.registry.on_hall_restored(hall, &active_config.config, now);
        }
    }

    /// Saves the endpoints to disk, so that they are known right after a restart of all control VMs.
    pub(super) fn save_endpoints_if_due(&mut self, now: Instant) {
        if !self.has_unsaved_endpoints() || now < self.next_save {
            return;
        }
        self.saved_revision = self.registry.revision();
        let records: Vec<EndpointRecord> = self.registry.records().cloned().collect();
        let pause = SAVE_INTERVAL + scaled(SAVE_INTERVAL_PER_ENDPOINT, records.len());
        self.next_save = now.after(pause);
        self.outputs.push(Output::SaveEndpoints(records));
    }

    /// Whether the registry has changed since it was last saved; entries have no disk. Without a leader
    /// the disk is left to votes.
    fn has_unsaved_endpoints(&self) -> bool {
        let has_leader = self.control.as_ref().is_some_and(ControlReplica::has_leader);
        has_leader && self.saved_revision != self.registry.revision()
    }

    /// When the next save is due.
    pub(super) fn next_save_due(&self) -> Option<Instant> {
        self.has_unsaved_endpoints().then_some(self.next_save)
    }

    /// Gives the schedulers all registered and configured endpoints if the configuration of the
    /// services has changed or the leader's scheduler is new.
    pub(super) fn configure_schedulers(&mut self, now: Instant) {
        let Some(active_config) = self.client.active_config().cloned() else { return };
        let config = &active_config.config;
        let is_new = self.scheduler_config.as_ref().is_none_or(|before| {
            before.config.services != config.services || before.config.endpoints != config.endpoints
        });
        self.scheduler_config = Some(active_config.clone());
        let control = self.control.as_mut().filter(|control| is_new || control.needs_engines());
        if !is_new && control.is_none() {
            return;
        }
        let engines = Engines::new(&self.registry, config, self.client.halls_out());
        if is_new {
            self.placement.configure(&engines, now);
        }
        if let Some(control) = control {
            control.set_engines(&engines, now, &mut self.outputs);
        }
        self.update_runs(config, now);
    }

    /// Tells the schedulers which runs of endpoints are known.
    fn update_runs(&mut self, config: &Config, now: Instant) {
        let registry = &self.registry;
        let started_at = |endpoint: &str| {
            let configured = config.endpoints.get(endpoint);
            registry.started_at(endpoint).or(configured.map(|spec| spec.started_at))
        };
        self.placement.update_runs(started_at, now);
        if let Some(control) = &mut self.control {
            control.update_runs(started_at, now);
        }
    }
}

/// State of every endpoint that a scheduler knows.
pub(super) fn endpoint_statuses(scheduler: &Scheduler, now: Instant) -> Vec<EndpointStatus> {
    let status = |(name, state): (&str, &EndpointState)| EndpointStatus {
        name: name.to_owned(),
        hall: state.spec().hall.clone(),
        target: state.spec().target.name().to_owned(),
        health: match state.health() {
            _ if state.is_out_of_service() => "out",
            Health::Live => "live",
            Health::Leaving => "leaving",
            Health::Down(until) if now < until => "down",
            Health::Down(_) => "retrying",
        },
        running: state.running(),
        slots: state.spec().slots,
        kv_used: state.kv_used() as u64,
        kv_tokens: state.spec().kv_tokens,
        limit: scheduler.throttle.limit(name).map(RateLimit::per_second),
        backoff_ms: scheduler
            .backoffs
            .last_resort_until(name, now)
            .map(|until| until.since(now).as_millis() as u64),
    };
    scheduler.endpoints().into_iter().map(status).collect()
}
