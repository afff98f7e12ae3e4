//! Endpoints at a node: passes on what they say of themselves, hands them to the schedulers
//! and shows their state.

use super::{
    Engines, Node, Output, VmName,
    news_batch::{
        HEARTBEAT_DELAY, LEADER_DELAY, LEADER_DELAY_PER_DAEMON, NewsBatch,
        PUBLISH_INTERVAL_PER_ENDPOINT, RELAY_DELAY, RELAY_DELAY_PER_DAEMON, SAVE_INTERVAL,
        SAVE_INTERVAL_PER_ENDPOINT, SEND_INTERVAL_PER_DAEMON, scaled,
    },
};
use crate::{
    placement::{EndpointState, Health, Scheduler},
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
    /// `live`, `leaving`, `down`, `retrying`, or `out` where its data hall is out of service.
    pub health: &'static str,
    /// Requests granted.
    pub running: u64,
    /// Most requests at once.
    pub slots: u64,
    /// Memory granted, in tokens.
    pub kv_used: u64,
    /// Memory, in tokens.
    pub kv_tokens: u64,
    /// Requests a second that it takes from all daemons, by its own word; nothing where it names no limit.
    pub limit: Option<f64>,
    /// For how much longer it is the last resort, since it has rejected requests, in milliseconds.
    pub backoff_ms: Option<u64>,
}

impl Node {
    /// A heartbeat goes to the other control VMs, and what is new in it to every daemon.
    pub(super) fn on_heartbeat(&mut self, record: EndpointRecord, now: Instant) {
        if self.conflicts_with_known(&record) {
            return;
        }
        match self.registry.take(record.clone(), now) {
            Some(new) => self.broadcast_record(new, now),
            None => self.heartbeats.add(record, now.after(HEARTBEAT_DELAY)),
        }
    }

    /// Whether a record belongs to a service that the configuration does not name and would take the
    /// name or the address of an endpoint that is known. Others of such services do no harm, and
    /// their services may be named by the next configuration.
    fn conflicts_with_known(&self, record: &EndpointRecord) -> bool {
        let active_config = self.client.active_config();
        let is_unknown =
            active_config.is_some_and(|f| !f.config.services.contains_key(&record.service));
        is_unknown && self.registry.is_known_by_name_or_address(record)
    }

    /// An endpoint said that it will end.
    pub(super) fn on_deregistration(&mut self, id: &str, now: Instant) {
        if let Some(record) = self.registry.leave(id, 0, now) {
            self.broadcast_record(record, now);
        }
    }

    /// An endpoint has said in an answer that it will end. That is first-hand, so it holds whatever control VMs say
    /// of this run, and is told to them at once.
    pub(super) fn on_endpoint_leaving(&mut self, endpoint: &str, started_at: u64, now: Instant) {
        if !self.registry.knows_run(endpoint, started_at) {
            return;
        }
        if let Some(record) = self.registry.leave(endpoint, started_at, now) {
            self.next_publish = now;
            self.broadcast_record(record, now);
        }
    }

    /// Tells which endpoints' heartbeats have stopped.
    pub(super) fn broadcast_silent_endpoints(&mut self, now: Instant) {
        for record in self.registry.find_silent(now) {
            self.broadcast_record(record, now);
        }
    }

    /// What is new here goes on, so that it also reaches daemons which the sender does not: a
    /// control VM tells all, and an entry, which may be linked to control VMs that are parted
    /// from each other, tells the leader what the leader does not tell it.
    pub(super) fn on_endpoint_news(&mut self, from: &VmName, news: EndpointNews, now: Instant) {
        let from_leader = self.client.leader() == Some(from);
        let EndpointNews { records, ages_ms, part } = news;
        let ages = ages_ms.into_iter().chain(std::iter::repeat(0));
        for (record, age_ms) in records.into_iter().zip(ages) {
            if from_leader {
                self.leader_updates.remove_known(&record);
            }
            let heard = Instant(now.0.saturating_sub(age_ms.saturating_mul(1_000)));
            let Some(new) = self.registry.take_heard(record, heard, now) else { continue };
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

    /// Sends a daemon the part of the endpoints that it asks for.
    pub(super) fn send_endpoint_part(
        &mut self,
        to: &VmName,
        wanted: EndpointsWanted,
        now: Instant,
    ) {
        let age_ms = |heard: Instant| now.since(heard).as_millis() as u64;
        let records = self.registry.part(wanted.part as usize).iter();
        let (records, ages_ms) =
            records.map(|(record, heard)| (record.clone(), age_ms(*heard))).unzip();
        let news = EndpointNews { records, ages_ms, part: Some(wanted.part) };
        self.outputs.send(to, Body::EndpointNews(news));
    }

    /// Tells the leader what this entry has from control VMs that it is linked to anew, where the
    /// leader knew something else.
    pub(super) fn queue_updates_for_leader(&mut self, now: Instant) {
        let Some(leader) = self.client.leader().filter(|_| self.control.is_none()) else { return };
        let unknown = self.endpoint_sync.take_parts_unknown_to(leader, || self.registry.digest());
        for part in unknown {
            for (record, _) in self.registry.part(part) {
                self.leader_updates.add(record.clone(), now.after(LEADER_DELAY));
            }
        }
    }

    fn broadcast_record(&mut self, record: EndpointRecord, now: Instant) {
        let pause = scaled(SEND_INTERVAL_PER_DAEMON, self.links.len());
        self.local_updates.add_rate_limited(record, pause, now);
    }

    /// Sends what was gathered and is due.
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

    /// When news is next due.
    pub(super) fn next_endpoint_tick(&self) -> Option<Instant> {
        let gathered =
            [&self.local_updates, &self.relayed_updates, &self.heartbeats, &self.leader_updates];
        let hand_out = self.has_unpublished_endpoints().then_some(self.next_publish);
        let due = gathered.into_iter().filter_map(NewsBatch::due);
        due.chain(hand_out).chain(self.next_save_due()).min()
    }

    /// Whether the endpoints have changed since they were handed out.
    fn has_unpublished_endpoints(&self) -> bool {
        self.published_revision != self.registry.revision()
    }

    /// Hands the endpoints out if they have changed; not more often than this daemon can, unless
    /// other data halls are out of service. Returns whether it did.
    pub(super) fn publish_endpoints_if_due(&mut self, halls_changed: bool, now: Instant) -> bool {
        let due = self.has_unpublished_endpoints() && self.next_publish <= now;
        if !due && !halls_changed {
            return false;
        }
        self.published_revision = self.registry.revision();
        let endpoints = self.registry.endpoints(self.client.halls_out());
        self.next_publish = now.after(scaled(PUBLISH_INTERVAL_PER_ENDPOINT, endpoints.len()));
        self.outputs.push(Output::Registered(endpoints));
        true
    }

    /// Notes that data halls were given back to service.
    pub(super) fn on_halls_restored(&mut self, halls: &[String], now: Instant) {
        let Some(active_config) = self.client.active_config() else { return };
        for hall in halls {
            self.registry.hall_back(hall, &active_config.config, now);
        }
    }

    /// Lets the endpoints be kept on disk, so that they are known at once after a failure of all
    /// control VMs.
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

    /// Whether the endpoints have changed since they were kept; entries have no disk.
    fn has_unsaved_endpoints(&self) -> bool {
        self.control.is_some() && self.saved_revision != self.registry.revision()
    }

    /// When the endpoints must be kept on disk again.
    fn next_save_due(&self) -> Option<Instant> {
        self.has_unsaved_endpoints().then_some(self.next_save)
    }

    /// Brings the endpoints that registered themselves to the schedulers.
    pub(super) fn configure_schedulers(&mut self, now: Instant) {
        let Some(active_config) = self.client.active_config() else { return };
        let halls_out = self.client.halls_out();
        let engines = Engines::new(&self.registry, &active_config.config, halls_out);
        self.placement.configure(&engines, now);
        if let Some(control) = &mut self.control {
            control.set_engines(engines, now, &mut self.outputs);
        }
        let registry = &self.registry;
        let is_there = |endpoint: &str, started_at| {
            registry.knows_run(endpoint, started_at)
                || active_config.config.endpoints.contains_key(endpoint)
        };
        self.placement.retain_runs(is_there, now);
        if let Some(control) = &mut self.control {
            control.retain_runs(is_there, now);
        }
    }
}

/// The state of every endpoint that a scheduler knows.
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
