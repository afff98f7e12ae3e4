//! The control VMs that a daemon gets news of endpoints from, and the sample that it asks for.
//!
//! An entry subscribes to the leader and a few other control VMs, those in its data hall first: each
//! change reaches it a few times whatever the number of control VMs. A control VM subscribes to all
//! others and knows all endpoints.

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use super::{ByVm, NodeOptions, Outbox, VmName};
use crate::{
    mechanism::{Disabled, Mechanism},
    registry::{EndpointSample, Registry},
    units::Instant,
    wire::{Body, EndpointCensus, EndpointInterest},
};

/// Control VMs that an entry subscribes to, the leader included.
const SOURCES: usize = 3;
/// Delay before sources are chosen, in which the links to the others come up.
const LINK_SETTLE_TIME: Duration = Duration::from_millis(20);

/// Subscriptions of one daemon.
#[derive(Debug)]
pub(super) struct EndpointSources {
    vm: VmName,
    hall: String,
    is_control: bool,
    disabled: Disabled,
    /// Data halls of the control VMs that have introduced themselves.
    linked: ByVm<String>,
    /// Number of endpoints of each service, as control VMs have told.
    totals: BTreeMap<String, usize>,
    subscribed: BTreeSet<VmName>,
    sample: EndpointSample,
    next_choice: Option<Instant>,
}

impl EndpointSources {
    pub(super) fn new(options: &NodeOptions, is_control: bool) -> EndpointSources {
        EndpointSources {
            vm: options.vm.clone(),
            hall: options.hall.clone(),
            is_control,
            disabled: options.disabled,
            linked: ByVm::new(),
            totals: BTreeMap::new(),
            subscribed: BTreeSet::new(),
            sample: EndpointSample::whole(&options.vm),
            next_choice: None,
        }
    }

    /// The endpoints that this daemon wants to know.
    pub(super) fn sample(&self) -> &EndpointSample {
        &self.sample
    }

    /// Control VMs that this daemon gets news from.
    pub(super) fn subscribed(&self) -> &BTreeSet<VmName> {
        &self.subscribed
    }

    /// A control VM has introduced itself on a new link.
    pub(super) fn on_census(&mut self, from: &VmName, census: EndpointCensus, now: Instant) {
        for service in census.services {
            let total = self.totals.entry(service.service).or_default();
            *total = (*total).max(service.endpoints as usize);
        }
        self.linked.insert(from.clone(), census.hall);
        self.next_choice.get_or_insert(now.after(LINK_SETTLE_TIME));
    }

    pub(super) fn link_down(&mut self, vm: &VmName, now: Instant) {
        self.linked.remove(vm);
        if self.subscribed.remove(vm) {
            self.next_choice = Some(now);
        }
    }

    pub(super) fn on_leader_change(&mut self, now: Instant) {
        self.next_choice = Some(now);
    }

    pub(super) fn next_tick(&self) -> Option<Instant> {
        self.next_choice
    }

    /// Chooses the sources anew if that is due. Returns those that are new.
    pub(super) fn tick(
        &mut self,
        leader: Option<&VmName>,
        daemons: u64,
        now: Instant,
        out: &mut Outbox,
    ) -> Vec<VmName> {
        if self.next_choice.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.next_choice = None;
        if self.may_sample() {
            self.sample.fit_total(&std::mem::take(&mut self.totals), daemons);
        }
        let chosen = self.choose(leader);
        for vm in self.subscribed.difference(&chosen) {
            out.send(vm, Body::EndpointInterest(EndpointInterest::default()));
        }
        let new: Vec<VmName> = chosen.difference(&self.subscribed).cloned().collect();
        for vm in &new {
            out.send(vm, Body::EndpointInterest(self.sample.encode()));
        }
        self.subscribed = chosen;
        new
    }

    /// Adapts the sample to the endpoints that are known; `is_complete` if no more of it are on their
    /// way. Returns whether it changed.
    pub(super) fn fit_sample(
        &mut self,
        registry: &Registry,
        daemons: u64,
        is_complete: bool,
        out: &mut Outbox,
    ) -> bool {
        let contained = registry.count_sampled(&self.sample);
        if !self.may_sample() || !self.sample.fit(&contained, daemons, is_complete) {
            return false;
        }
        for vm in &self.subscribed {
            out.send(vm, Body::EndpointInterest(self.sample.encode()));
        }
        true
    }

    fn may_sample(&self) -> bool {
        !self.is_control && self.disabled.allows(Mechanism::EndpointSamples)
    }

    fn choose(&self, leader: Option<&VmName>) -> BTreeSet<VmName> {
        let mut linked: Vec<&VmName> = self.linked.keys().collect();
        if !self.is_control {
            linked.sort_by_cached_key(|vm| (leader != Some(*vm), self.preference(vm)));
            linked.truncate(SOURCES);
        }
        linked.into_iter().cloned().collect()
    }

    /// Sort key of control VMs: those in this data hall first, then in an order of this daemon's own,
    /// which spreads the load when many daemons start at the same time.
    pub(super) fn preference(&self, vm: &VmName) -> (bool, u64) {
        let is_far = self.linked.get(vm).is_none_or(|hall| *hall != self.hall);
        let mut hasher = DefaultHasher::new();
        (&self.vm, vm).hash(&mut hasher);
        (is_far, hasher.finish())
    }
}
