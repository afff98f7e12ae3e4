//! Endpoints at a node: passes on what they say of themselves, hands them to the schedulers
//! and shows their state.

use super::{Engines, Node, VmName};
use crate::{
    placement::{EndpointState, Health, Scheduler},
    units::Instant,
    wire::{Body, EndpointNews, EndpointRecord},
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
    /// `live`, `leaving` or `down`.
    pub health: &'static str,
    /// Requests granted.
    pub running: u64,
    /// Most requests at once.
    pub slots: u64,
    /// Memory granted, in tokens.
    pub kv_used: u64,
    /// Memory, in tokens.
    pub kv_tokens: u64,
}

impl Node {
    /// A heartbeat goes to the other control VMs, and what is new in it to every daemon.
    pub(super) fn heartbeat(&mut self, record: EndpointRecord, now: Instant) {
        let Some(new) = self.registry.take(record.clone(), now) else {
            let news = EndpointNews { records: vec![record] };
            let control = self.directory.known().iter().filter(|vm| self.links.contains(*vm));
            for vm in control {
                self.outputs.send(vm, Body::EndpointNews(news.clone()));
            }
            return;
        };
        self.tell_all(EndpointNews { records: vec![new] });
    }

    /// An endpoint said that it will end.
    pub(super) fn farewell(&mut self, id: &str, now: Instant) {
        if let Some(record) = self.registry.leave(id, now) {
            self.tell_all(EndpointNews { records: vec![record] });
        }
    }

    /// Tells which endpoints' heartbeats have stopped.
    pub(super) fn tell_silent(&mut self, now: Instant) {
        let records = self.registry.find_silent(now);
        if !records.is_empty() {
            self.tell_all(EndpointNews { records });
        }
    }

    /// What is new here goes on, so that it also reaches daemons which the sender does not: a
    /// control VM tells all, and an entry, which may be linked to control VMs that are parted
    /// from each other, tells the leader.
    pub(super) fn endpoint_news(&mut self, from: &VmName, news: EndpointNews, now: Instant) {
        let new: Vec<EndpointRecord> =
            news.records.into_iter().filter_map(|record| self.registry.take(record, now)).collect();
        if new.is_empty() {
            return;
        }
        let news = EndpointNews { records: new };
        if self.control.is_some() {
            return self.tell_all(news);
        }
        if let Some(leader) = self.keeper.leader().filter(|leader| *leader != from) {
            self.outputs.send(leader, Body::EndpointNews(news));
        }
    }

    fn tell_all(&mut self, news: EndpointNews) {
        for vm in &self.links {
            self.outputs.send(vm, Body::EndpointNews(news.clone()));
        }
    }

    /// Brings the endpoints that registered themselves to the schedulers.
    pub(super) fn hand_out_endpoints(&mut self, now: Instant) {
        let Some(in_force) = self.keeper.in_force() else { return };
        let engines = Engines::new(&self.registry, &in_force.config);
        self.placing.configure(&in_force.config, &engines);
        if let Some(control) = &mut self.control {
            control.set_engines(engines, now, &mut self.outputs);
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
            Health::Live => "live",
            Health::Leaving => "leaving",
            Health::Down(until) if now < until => "down",
            Health::Down(_) => "retrying",
        },
        running: state.running(),
        slots: state.spec().slots,
        kv_used: state.kv_used() as u64,
        kv_tokens: state.spec().kv_tokens,
    };
    scheduler.endpoints().into_iter().map(status).collect()
}
