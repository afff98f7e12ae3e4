//! Endpoints that register themselves: spreads their records between daemons, configures the
//! schedulers with them and reports their state.

use super::{
    Engines, Node, Output, VmName,
    news_batch::{
        HEARTBEAT_DELAY, LEADER_DELAY, LEADER_DELAY_PER_DAEMON, NewsBatch, RELAY_DELAY,
        RELAY_DELAY_PER_DAEMON, SAVE_INTERVAL, SAVE_INTERVAL_PER_ENDPOINT,
        SEND_INTERVAL_PER_DAEMON, scaled,
    },
};
use crate::{
    config::Config,
    placement::{EndpointState, Health, Scheduler},
    registry::EndpointChanges,
    throttle::RateLimit,
    units::Instant,
    wire::{Body, EndpointNews, EndpointRecord, EndpointsWanted},
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
    /// Forwards a heartbeat: changes to all daemons, others to the control VMs only.
    pub(super) fn on_heartbeat(&mut self, record: EndpointRecord, now: Instant) {
        if self.conflicts_with_known(&record) {
            return;
        }
        match self.registry.apply(record.clone(), now) {
            Some(new) => self.broadcast_record(new, now),
            None => self.heartbeats.add(record, now.after(HEARTBEAT_DELAY)),
        }
    }

    /// Whether a record of an unconfigured service has the name or address of a known endpoint and
    /// would replace it. Other records of unconfigured services are accepted: the next configuration
    /// may add the service.
    fn conflicts_with_known(&self, record: &EndpointRecord) -> bool {
        let active_config = self.client.active_config();
        let is_unknown =
            active_config.is_some_and(|f| !f.config.services.contains_key(&record.service));
        is_unknown && self.registry.is_known_by_name_or_address(record)
    }

    /// Handles an endpoint's announcement that it will exit.
    pub(super) fn on_deregistration(&mut self, id: &str, now: Instant) {
        if let Some(record) = self.registry.mark_leaving(id, 0, now) {
            self.broadcast_record(record, now);
        }
    }

    /// Handles a response in which an endpoint announces that it will exit. It comes from the endpoint
    /// itself, so it overrides what control VMs report of this run.
    pub(super) fn on_endpoint_leaving(&mut self, endpoint: &str, started_at: u64, now: Instant) {
        if self.registry.started_at(endpoint) != Some(started_at) {
            return;
        }
        if let Some(record) = self.registry.mark_leaving(endpoint, started_at, now) {
            self.broadcast_record(record, now);
        }
    }

    /// Broadcasts the endpoints whose heartbeats have stopped.
    pub(super) fn broadcast_silent_endpoints(&mut self, now: Instant) {
        for record in self.registry.detect_silent(now) {
            self.broadcast_record(record, now);
        }
    }

    /// Stores records from another daemon and relays changes to daemons that the sender may not
    /// reach: a control VM to all daemons, an entry to the leader if the leader has not sent them,
    /// since control VMs may be partitioned from each other.
    pub(super) fn on_endpoint_news(&mut self, from: &VmName, news: EndpointNews, now: Instant) {
        let from_leader = self.client.leader() == Some(from);
        let EndpointNews { records, ages_ms, part } = news;
        let ages = ages_ms.into_iter().chain(std::iter::repeat(0));
        for (record, age_ms) in records.into_iter().zip(ages) {
            if from_leader {
                self.leader_updates.remove_known(&record);
            }
            let received = Instant(now.0.saturating_sub(age_ms.saturating_mul(1_000)));
            let Some(new) = self.registry.apply_heard_at(record, received, now) else { continue };
            if self.control.is_some() {
                let pause = RELAY_DELAY + scaled(RELAY_DELAY_PER_DAEMON, self.links.len());
                self.relayed_updates.add(new, now.after(pause));
            } else if !from_leader && part.is_none() {
                let daemons = self.client.scheduler(now).map_or(0, |s| s.daemons as usize);
                let pause = LEADER_DELAY + scaled(LEADER_DELAY_PER_DAEMON, daemons);
                self.leader_updates.add(new, now.after(pause));
            }
        }
        if let Some(part) = part {
            self.endpoint_sync.on_part(from, part as usize, now, &mut self.outputs);
        }
    }

    /// Sends a daemon one part of the registry.
    pub(super) fn send_endpoint_part(
        &mut self,
        to: &VmName,
        request: EndpointsWanted,
        now: Instant,
    ) {
        let age_ms = |received: Instant| now.since(received).as_millis() as u64;
        let records = self.registry.bucket(request.part as usize).into_iter();
        let (records, ages_ms) =
            records.map(|(record, received)| (record, age_ms(received))).unzip();
        let news = EndpointNews { records, ages_ms, part: Some(request.part) };
        self.outputs.send(to, Body::EndpointNews(news));
    }

    /// Queues for the leader the records that an entry received from other control VMs during
    /// synchronization, in parts where the leader's digest differs.
    pub(super) fn queue_updates_for_leader(&mut self, now: Instant) {
        let Some(leader) = self.client.leader().filter(|_| self.control.is_none()) else { return };
        let unknown = self.endpoint_sync.take_parts_unknown_to(leader, self.registry.digest());
        for part in unknown {
            for (record, _) in self.registry.bucket(part) {
                self.leader_updates.add(record, now.after(LEADER_DELAY));
            }
        }
    }

    fn broadcast_record(&mut self, record: EndpointRecord, now: Instant) {
        let pause = scaled(SEND_INTERVAL_PER_DAEMON, self.links.len());
        self.local_updates.add_rate_limited(record, pause, now);
    }

    /// Sends the batches that are due.
    pub(super) fn flush_endpoint_news(&mut self, now: Instant) {
        for news in [self.local_updates.take_due(now), self.relayed_updates.take_due(now)]
            .into_iter()
            .flatten()
        {
            for vm in &self.links {
                self.outputs.send(vm, Body::EndpointNews(news.clone()));
            }
        }
        if let Some(heartbeats) = self.heartbeats.take_due(now) {
            let control = self.directory.known().iter().filter(|vm| self.links.contains(*vm));
            for vm in control {
                self.outputs.send(vm, Body::EndpointNews(heartbeats.clone()));
            }
        }
        let Some(leader) = self.client.leader() else {
            return self.leader_updates.postpone(now.after(LEADER_DELAY));
        };
        if let Some(news) = self.leader_updates.take_due(now) {
            self.outputs.send(leader, Body::EndpointNews(news));
        }
    }

    /// Time at which a batch or a save is next due.
    pub(super) fn next_endpoint_tick(&self) -> Option<Instant> {
        let batches =
            [&self.local_updates, &self.relayed_updates, &self.heartbeats, &self.leader_updates];
        let due = batches.into_iter().filter_map(NewsBatch::due);
        due.chain(self.next_save_due()).min()
    }

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

    /// Whether the registry has changed since it was last saved; entries have no disk.
    fn has_unsaved_endpoints(&self) -> bool {
        self.control.is_some() && self.saved_revision != self.registry.revision()
    }

    fn next_save_due(&self) -> Option<Instant> {
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
