//! Spreads what endpoints say of themselves between the daemons.
//!
//! An endpoint sends its heartbeats to any control VM. That one forwards changes to the other
//! control VMs, and each control VM to the daemons that subscribe to it and know the endpoint.

use std::{collections::BTreeSet, sync::Arc};

use super::{
    Node, VmName,
    news_batch::{LEADER_DELAY, LEADER_DELAY_PER_DAEMON, NewsBatch, scaled},
};
use crate::{
    units::Instant,
    wire::{
        Body, EndpointCensus, EndpointDigest, EndpointHeartbeats, EndpointInterest, EndpointNews,
        EndpointRecord, EndpointsUsed, EndpointsWanted, ServiceCount, UsedEndpoint,
    },
};

/// Start of a run that no endpoint has, so that the record of the known run is sent.
const UNKNOWN_RUN: u64 = u64::MAX;

impl Node {
    /// Forwards a heartbeat: changes to all that know the endpoint, others to the control VMs only.
    pub(super) fn on_heartbeat(&mut self, record: EndpointRecord, now: Instant) {
        if self.conflicts_with_known(&record) {
            return;
        }
        match self.registry.apply(record.clone(), now) {
            Some(new) => self.spread_record(new, now),
            None => self.heartbeats.add(record, now),
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

    /// Applies heartbeats that another control VM has heard, and asks for the records of endpoints
    /// that are unknown here.
    pub(super) fn on_endpoint_heartbeats(
        &mut self,
        from: &VmName,
        heartbeats: &EndpointHeartbeats,
        now: Instant,
    ) {
        let mut unknown = Vec::new();
        for heartbeat in &heartbeats.heartbeats {
            if let Some(record) = self.registry.on_heartbeat(heartbeat, now) {
                self.subscriber_updates.add(record, now);
            } else if self.registry.lacks_run(&heartbeat.id, heartbeat.started_at) {
                unknown.push(UsedEndpoint { id: heartbeat.id.clone(), started_at: UNKNOWN_RUN });
            }
        }
        if !unknown.is_empty() {
            self.outputs.send(from, Body::EndpointsUsed(EndpointsUsed { endpoints: unknown }));
        }
    }

    /// Handles an endpoint's announcement that it will exit.
    pub(super) fn on_deregistration(&mut self, id: &str, now: Instant) {
        if let Some(record) = self.registry.mark_leaving(id, 0, now) {
            self.spread_record(record, now);
        }
    }

    /// Handles a response in which an endpoint announces that it will exit. It comes from the endpoint
    /// itself, so it overrides what control VMs report of this run.
    pub(super) fn on_endpoint_leaving(&mut self, endpoint: &str, started_at: u64, now: Instant) {
        if self.registry.started_at(endpoint) != Some(started_at) {
            return;
        }
        if let Some(record) = self.registry.mark_leaving(endpoint, started_at, now) {
            self.spread_record(record, now);
        }
    }

    /// Spreads the endpoints whose heartbeats have stopped.
    pub(super) fn spread_silent_endpoints(&mut self, now: Instant) {
        for record in self.registry.detect_silent(now) {
            self.spread_record(record, now);
        }
    }

    /// Sends a record to the control VMs that this daemon exchanges news with, and to its subscribers.
    fn spread_record(&mut self, record: EndpointRecord, now: Instant) {
        if self.control.is_some() {
            self.subscriber_updates.add(record.clone(), now);
        }
        self.peer_updates.add(record, now);
    }

    /// Stores records from another daemon and forwards changes to those that the sender may not
    /// reach: a control VM to its subscribers, and what it has from an entry or as the leader to the
    /// other control VMs; an entry to the leader if the leader has not sent them, since control VMs
    /// may be partitioned from each other.
    pub(super) fn on_endpoint_news(&mut self, from: &VmName, news: EndpointNews, now: Instant) {
        let from_leader = self.client.leader() == Some(from);
        let from_control = self.directory.known().contains(from);
        let must_relay = !from_control || self.leads();
        let EndpointNews { records, ages_ms, parts } = news;
        let ages = ages_ms.into_iter().chain(std::iter::repeat(0));
        for (record, age_ms) in records.into_iter().zip(ages) {
            if from_leader {
                self.leader_updates.remove_known(&record);
            }
            let received = Instant(now.0.saturating_sub(age_ms.saturating_mul(1_000)));
            let Some(new) = self.registry.apply_heard_at(record, received, now) else { continue };
            if self.control.is_some() {
                self.subscriber_updates.add(new.clone(), now);
                if must_relay {
                    self.peer_updates.add(new, now);
                }
            } else if !from_leader && parts.is_empty() {
                let daemons = self.client.scheduler(now).map_or(0, |s| s.daemons as usize);
                let pause = LEADER_DELAY + scaled(LEADER_DELAY_PER_DAEMON, daemons);
                self.leader_updates.add(new, now.after(pause));
            }
        }
        if !parts.is_empty() {
            self.endpoint_sync.on_parts(from, &parts, now, &mut self.outputs);
        }
    }

    /// Introduces this control VM on a new link.
    pub(super) fn send_census(&mut self, to: &VmName) {
        let count = |(service, endpoints): (&str, usize)| ServiceCount {
            service: service.into(),
            endpoints: endpoints as u64,
        };
        let services = self.registry.count_heard().map(count).collect();
        let census = EndpointCensus { hall: self.hall.clone(), services };
        self.outputs.send(to, Body::EndpointCensus(census));
    }

    pub(super) fn on_endpoint_census(
        &mut self,
        from: &VmName,
        census: EndpointCensus,
        now: Instant,
    ) {
        self.endpoint_sources.on_census(from, census, now);
    }

    pub(super) fn on_endpoint_interest(&mut self, from: &VmName, interest: &EndpointInterest) {
        let out = &mut self.outputs;
        self.endpoint_subscribers.on_interest(from, interest, &self.registry, out);
    }

    pub(super) fn on_endpoint_digest(
        &mut self,
        from: &VmName,
        digest: EndpointDigest,
        now: Instant,
    ) {
        if self.endpoint_sources.subscribed().contains(from) {
            self.endpoint_sync.on_digest(from, digest, now);
        }
    }

    pub(super) fn on_endpoints_wanted(
        &mut self,
        from: &VmName,
        wanted: EndpointsWanted,
        now: Instant,
    ) {
        let out = &mut self.outputs;
        self.endpoint_subscribers.send_parts(from, wanted, &self.registry, now, out);
    }

    pub(super) fn on_endpoints_used(&mut self, from: &VmName, used: EndpointsUsed, now: Instant) {
        let out = &mut self.outputs;
        self.endpoint_subscribers.on_used(from, used, &self.registry, now, out);
    }

    /// Takes in the record of an endpoint that the leader's scheduler has chosen for a request.
    pub(super) fn on_endpoint_chosen(&mut self, record: Option<EndpointRecord>, now: Instant) {
        let Some(record) = record else { return };
        let id: Arc<str> = record.id.as_str().into();
        let started_at = record.born;
        if self.registry.started_at(&id) != Some(started_at) {
            self.registry.apply(record, now);
            self.publish_endpoint_changes(now);
        }
        if !self.registry.is_sampled(&id, self.endpoint_sources.sample()) {
            self.endpoint_uses.touch(&id, started_at, now);
        }
    }

    /// Sends what is due, and adapts what this daemon knows to the fleet.
    pub(super) fn tick_endpoints(&mut self, now: Instant) {
        let out = &mut self.outputs;
        let daemons = self.client.daemons();
        let new = self.endpoint_sources.tick(self.client.leader(), daemons, now, out);
        for source in &new {
            self.endpoint_uses.report_all(source, out);
        }
        let sources = &self.endpoint_sources;
        let digest = || self.registry.sample_digest(sources.sample()).0;
        self.endpoint_sync.tick(digest, |vm| sources.preference(vm), now, out);
        self.endpoint_uses.tick(sources.subscribed().iter(), now, out);
    }

    /// Adapts the sample, and forgets endpoints that are neither in it nor in use.
    pub(super) fn trim_endpoints(&mut self, now: Instant) {
        if self.control.is_some() {
            return;
        }
        for (id, started_at) in self.placement.endpoints_in_use(&self.registry) {
            if !self.registry.is_sampled(&id, self.endpoint_sources.sample()) {
                self.endpoint_uses.touch(&id, started_at, now);
            }
        }
        let (daemons, is_complete) = (self.client.daemons(), self.endpoint_sync.is_idle());
        let is_trimmed = self.trimmed_for == (self.registry.revision(), daemons);
        if !self.endpoint_uses.expire(now) && is_trimmed {
            return;
        }
        let out = &mut self.outputs;
        if self.endpoint_sources.fit_sample(&self.registry, daemons, is_complete, out) {
            self.endpoint_sync.on_sample_change();
        }
        let uses = &self.endpoint_uses;
        self.registry.retain(self.endpoint_sources.sample(), |id| uses.contains(id));
        self.trimmed_for = (self.registry.revision(), daemons);
    }

    /// Queues for the leader the records that an entry received from other control VMs during
    /// synchronization, in parts where the leader's digest differs.
    pub(super) fn queue_updates_for_leader(&mut self, now: Instant) {
        let Some(leader) = self.client.leader().filter(|_| self.control.is_none()) else { return };
        let sample = self.endpoint_sources.sample();
        let digest = || self.registry.sample_digest(sample).0;
        let unknown = self.endpoint_sync.take_parts_unknown_to(leader, digest);
        for (record, _) in self.registry.buckets(&unknown, sample) {
            self.leader_updates.add(record, now.after(LEADER_DELAY));
        }
    }

    /// Sends the batches that are due.
    pub(super) fn flush_endpoint_news(&mut self, now: Instant) {
        if let Some(records) = self.peer_updates.take_due(now) {
            let peers = self.endpoint_sources.subscribed();
            self.peer_updates.on_sent(peers.len(), now);
            for vm in peers {
                let news = EndpointNews::new(records.clone());
                self.outputs.send(vm, Body::EndpointNews(news));
            }
        }
        if let Some(records) = self.subscriber_updates.take_due(now) {
            let control: BTreeSet<&VmName> = self.directory.known().iter().collect();
            let out = &mut self.outputs;
            let messages =
                self.endpoint_subscribers.send_news(&records, |vm| control.contains(vm), out);
            self.subscriber_updates.on_sent(messages, now);
        }
        if let Some(heartbeats) = self.heartbeats.take_due(now) {
            for vm in self.endpoint_sources.subscribed() {
                self.outputs.send(vm, Body::EndpointHeartbeats(heartbeats.clone()));
            }
        }
        let Some(leader) = self.client.leader() else {
            return self.leader_updates.postpone(now.after(LEADER_DELAY));
        };
        if let Some(records) = self.leader_updates.take_due(now) {
            self.outputs.send(leader, Body::EndpointNews(EndpointNews::new(records)));
        }
    }

    /// Time at which something about endpoints is next due.
    pub(super) fn next_endpoint_tick(&self) -> Option<Instant> {
        let batches = [&self.peer_updates, &self.subscriber_updates, &self.leader_updates];
        let due = batches.into_iter().filter_map(NewsBatch::due).chain(self.heartbeats.due());
        let due =
            due.chain(self.endpoint_sources.next_tick()).chain(self.endpoint_uses.next_tick());
        due.chain(self.endpoint_sync.next_tick()).chain(self.next_save_due()).min()
    }
}
