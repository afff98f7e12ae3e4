//! One daemon's decisions as a pure state machine.
//!
//! [`Node`] takes the time and an [`Input`] and leaves [`Output`]s. The same core
//! runs in the daemon, in tests and in experiments.
//!
//! - [`control_client`] knows whether the configuration in force is current; [`config_store`] holds it,
//!   [`fetching`] brings a newer one from a control VM, which has it in [`changes`];
//! - [`operations`] carries changes of the replicated state to the leader;
//! - [`placement_client`] finds places for this daemon's requests;
//! - [`control`] runs a control replica and, on the leader, answers the daemons;
//! - [`dispatcher`] is the scheduler that the leader runs for all daemons;
//! - [`permit_client`] asks for permits at endpoints that name limits, [`permit_allocator`] gives them on the leader;
//! - [`suspect_tracker`] knows under which requests endpoints have ended;
//! - [`directory`] knows the control VMs and [`endpoints`] the endpoints that register.

mod admit;
mod broadcast;
mod changes;
#[cfg(test)]
mod changes_tests;
mod config_store;
#[cfg(test)]
mod config_store_tests;
mod control;
mod control_client;
mod directory;
mod dispatcher;
mod endpoint_sync;
#[cfg(test)]
mod endpoint_sync_tests;
#[cfg(test)]
mod endpoint_tests;
mod endpoints;
mod engines;
mod failed_attempt;
mod fetching;
mod inputs;
mod members;
#[cfg(test)]
mod members_tests;
mod messages;
mod news_batch;
mod operations;
#[cfg(test)]
mod operations_tests;
mod options;
mod permit_allocator;
mod permit_client;
mod placement_client;
mod reads;
mod suspect_tracker;
#[cfg(test)]
mod suspect_tracker_tests;
#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use self::{
    control::ControlReplica,
    control_client::ControlClient,
    directory::Directory,
    endpoint_sync::EndpointSync,
    engines::Engines,
    news_batch::NewsBatch,
    operations::Operations,
    permit_client::PermitClient,
    placement_client::PlacementClient,
    suspect_tracker::{Context, SuspectTracker},
};
use crate::{
    agreement::{self, Restored},
    backoff::{Admission, BackoffTable},
    config::ContentHash,
    mechanism::Disabled,
    placement::{LoadReport, Request},
    quarantine::{RequestDigest, Standing},
    registry::Registry,
    throttle::RateLimit,
    units::Instant,
    wire::{Body, EndpointDigest, Report, SuspectNews},
};

pub(crate) use self::messages::Outbox;
pub use self::{
    config_store::ActiveConfig,
    control::{ControlStatus, DaemonStatus, ReplicaStatus},
    control_client::EntryDaemons,
    endpoints::EndpointStatus,
    failed_attempt::{FailedAttempt, ProbeOutcome},
    messages::{CallId, Input, NodeCall, NodeReply, Output, Placement, SentChange, SubmitError},
    options::{Clocks, NodeOptions, NodeTiming},
    suspect_tracker::TrialAnswer,
};

/// Name of a VM.
pub type VmName = Arc<str>;

/// Interval at which the registry is searched for endpoints that are silent or long gone; both
/// are matters of seconds.
const EXPIRY_SCAN_INTERVAL: Duration = Duration::from_millis(100);

/// One daemon.
pub struct Node {
    vm: VmName,
    outputs: Outbox,
    client: ControlClient,
    operations: Operations,
    placement: PlacementClient,
    suspects: SuspectTracker,
    permits: PermitClient,
    control: Option<ControlReplica>,
    directory: Directory,
    registry: Registry,
    endpoint_sync: EndpointSync,
    /// Daemons that are linked.
    links: BTreeSet<VmName>,
    /// Revision of the registry that was last handed out.
    published_revision: u64,
    /// The registry is not handed out again before this.
    next_publish: Instant,
    /// Revision of the registry that was last saved on disk.
    saved_revision: u64,
    /// It is not saved again before this.
    next_save: Instant,
    /// What endpoints have said here, for every daemon.
    local_updates: NewsBatch,
    /// What other control VMs have told, for every daemon.
    relayed_updates: NewsBatch,
    /// Heartbeats that say nothing new, for the other control VMs.
    heartbeats: NewsBatch,
    /// What an entry has heard from others than the leader.
    leader_updates: NewsBatch,
    /// When the registry is next searched for endpoints that are silent or long gone.
    next_expiry_scan: Instant,
    disabled: Disabled,
}

impl Node {
    /// A daemon that keeps no state of its own on disk.
    pub fn entry(options: &NodeOptions, now: Instant) -> Node {
        Node {
            vm: options.vm.clone(),
            outputs: Outbox::default(),
            client: ControlClient::new(options, now),
            operations: Operations::numbered_from(options.seed),
            placement: PlacementClient::new(options.disabled, options.seed),
            suspects: SuspectTracker::default(),
            permits: PermitClient::default(),
            control: None,
            directory: Directory::new(&options.vm, &options.seeds, false, now),
            registry: Registry::new(options.endpoint_heartbeat),
            endpoint_sync: EndpointSync::default(),
            links: BTreeSet::new(),
            published_revision: 0,
            next_publish: Instant::default(),
            saved_revision: 0,
            next_save: Instant::default(),
            local_updates: NewsBatch::default(),
            relayed_updates: NewsBatch::default(),
            heartbeats: NewsBatch::default(),
            leader_updates: NewsBatch::default(),
            next_expiry_scan: Instant::default(),
            disabled: options.disabled,
        }
    }

    /// A daemon that is also a control replica.
    pub fn replica(
        options: &NodeOptions,
        id: agreement::ReplicaId,
        restored: Restored,
        now: Instant,
    ) -> Node {
        let mut node = Node::entry(options, now);
        node.control = Some(ControlReplica::new(options, id, restored, now));
        node.directory = Directory::new(&options.vm, &options.seeds, true, now);
        node.client.use_local_replica();
        node.client.set_replicas(node.directory.known());
        node
    }

    /// The configuration in force here, if any.
    pub fn active_config(&self) -> Option<&Arc<ActiveConfig>> {
        self.client.active_config()
    }

    /// Whether the configuration in force is confirmed to be current.
    pub fn is_fresh(&self) -> bool {
        self.client.is_fresh()
    }

    /// How a request stands under which endpoints may have ended.
    pub fn standing(&self, request: &RequestDigest) -> Standing {
        self.suspects.standing(request)
    }

    /// Whether there are any requests under which endpoints have ended.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// The limit that an endpoint names, if it does.
    pub fn rate_limit(&self, endpoint: &str) -> Option<RateLimit> {
        self.placement.local().throttle.limit(endpoint)
    }

    /// Whether an endpoint may be sent a request of this daemon, as far as it has rejected some.
    pub fn admission(&self, endpoint: &str, now: Instant) -> Admission {
        self.placement.local().local_admission(endpoint, now)
    }

    /// The table of endpoints that have rejected requests, for those that this daemon sends by itself.
    pub fn backoffs_mut(&mut self) -> &mut BackoffTable {
        self.placement.backoffs_mut()
    }

    /// The chance that an answer would end within this time, by the lengths and paces that this
    /// daemon has seen itself.
    pub fn completion_probability(&self, req: &Request, within: Duration, now: Instant) -> f64 {
        self.placement.local().completion_probability(req, within, now)
    }

    /// Takes an input and returns what must be done.
    pub fn handle(&mut self, input: Input, clocks: Clocks) -> Vec<Output> {
        self.apply(input, clocks);
        self.deliver_and_publish(clocks);
        std::mem::take(&mut self.outputs.outputs)
    }

    /// When [`Input::Tick`] is next needed.
    pub fn next_tick(&self) -> Instant {
        let mut next = self.client.next_tick().min(self.placement.next_tick());
        next = next.min(self.directory.next_tick());
        next = next.min(self.suspects.next_tick().unwrap_or(next));
        next = next.min(self.permits.next_tick().unwrap_or(next));
        if let Some(control) = &self.control {
            next = next.min(control.next_tick());
        }
        next = next.min(self.endpoint_sync.next_tick().unwrap_or(next));
        next.min(self.next_endpoint_tick().unwrap_or(next))
    }

    fn tick(&mut self, clocks: Clocks) {
        let out = &mut self.outputs;
        if let Some(control) = &mut self.control {
            control.tick(clocks, out);
        }
        self.client.tick(clocks.now, out);
        let leader = self.client.leader();
        self.operations.tick(leader, clocks.now, out);
        self.placement.tick(self.client.scheduler(clocks.now), clocks.now, out);
        self.directory.tick(clocks.now, out);
        self.endpoint_sync.tick(&self.vm, || self.registry.digest(), clocks.now, out);
        if self.next_expiry_scan <= clocks.now {
            self.next_expiry_scan = clocks.now.after(EXPIRY_SCAN_INTERVAL);
            self.registry.expire(clocks.now);
            if self.leads() {
                self.broadcast_silent_endpoints(clocks.now);
            }
        }
        let (suspects, mut cx, out) = self.suspects_context(clocks);
        suspects.tick(&mut cx, out);
        let (permits, mut cx, out) = self.permits_context(clocks.now);
        permits.tick(&mut cx, out);
    }

    /// This daemon's requests for permits, and what else that part of it needs.
    fn permits_context(
        &mut self,
        now: Instant,
    ) -> (&mut PermitClient, permit_client::Context<'_>, &mut Outbox) {
        let scheduler = self.client.scheduler(now);
        let throttle = self.placement.throttle_mut();
        let cx = permit_client::Context { scheduler, throttle, now };
        (&mut self.permits, cx, &mut self.outputs)
    }

    /// What is known of suspects, and what else that part of the daemon needs.
    fn suspects_context(
        &mut self,
        clocks: Clocks,
    ) -> (&mut SuspectTracker, Context<'_>, &mut Outbox) {
        let cx = Context {
            leader: self.client.leader(),
            operations: &mut self.operations,
            registry: &self.registry,
            now: clocks.now,
            wall: clocks.wall,
        };
        (&mut self.suspects, cx, &mut self.outputs)
    }

    /// Takes what has changed about suspects.
    fn on_suspect_news(&mut self, news: &SuspectNews, now: Instant) {
        self.suspects.on_news(news, &mut self.outputs);
        let state = self.suspects.known().state();
        self.client.set_suspects_state(state, news.more, now, &mut self.outputs);
    }

    fn link_up(&mut self, vm: VmName, clocks: Clocks) {
        let out = &mut self.outputs;
        if let Some(control) = &mut self.control {
            control.link_up(&vm, out);
        }
        self.client.link_up(&vm, clocks.now, out);
        self.directory.link_up(&vm, out);
        if self.control.is_some() {
            let sums = self.registry.digest().sums().to_vec();
            self.outputs.send(&vm, Body::EndpointDigest(EndpointDigest { sums }));
        }
        self.links.insert(vm);
    }

    fn link_down(&mut self, vm: &VmName, clocks: Clocks) {
        if let Some(control) = &mut self.control {
            control.link_down(vm, clocks, &mut self.outputs);
        }
        self.client.link_down(vm, clocks.now, &mut self.outputs);
        self.operations.link_down(vm);
        self.endpoint_sync.link_down(vm, clocks.now);
        self.directory.link_down(vm);
        self.links.remove(vm);
    }

    fn leads(&self) -> bool {
        self.control.as_ref().is_some_and(ControlReplica::leads)
    }

    /// Delivers messages to this node itself and tells the parts of news from each other.
    fn deliver_and_publish(&mut self, clocks: Clocks) {
        loop {
            self.client.set_replicas(self.directory.known());
            if let Some(control) = &self.control {
                self.client.load_accepted(control.state(), clocks.now, &mut self.outputs);
            }
            let active_config = self.client.take_config_change();
            self.queue_updates_for_leader(clocks.now);
            self.flush_endpoint_news(clocks.now);
            self.save_endpoints_if_due(clocks.now);
            let halls_back = self.client.take_restored_halls();
            self.on_halls_restored(halls_back.as_deref().unwrap_or_default(), clocks.now);
            let registered = self.publish_endpoints_if_due(halls_back.is_some(), clocks.now);
            if active_config.is_some() || registered {
                self.configure_schedulers(clocks.now);
            }
            if let Some(active_config) = active_config {
                self.outputs.push(Output::ConfigActivated(active_config));
            }
            if let Some(leader) = self.client.take_leader_change() {
                let now = clocks.now;
                self.operations.leader_changed(leader.as_ref(), now, &mut self.outputs);
                self.suspects.on_leader_change(leader.as_ref(), &mut self.outputs);
                let scheduler = self.client.scheduler(now);
                let term = scheduler.map_or(0, |scheduler| scheduler.term);
                self.outputs.push(Output::Leader { vm: leader, term });
                self.placement.on_scheduler_change(scheduler, now, &mut self.outputs);
                let (permits, mut cx, out) = self.permits_context(now);
                permits.on_scheduler_change(&mut cx, out);
            }
            let vm = &self.vm;
            let to_self = |output: &Output| matches!(output, Output::Send(to, _) if to == vm);
            let Some(at) = self.outputs.outputs.iter().position(to_self) else { return };
            let Output::Send(from, body) = self.outputs.outputs.remove(at) else { return };
            self.on_message(&from, body, clocks);
        }
    }
}

/// A load report with the time at which it was true.
pub(crate) fn load_report(report: &Report, now: Instant) -> LoadReport {
    LoadReport {
        at: Instant(now.0.saturating_sub(report.age_ms.saturating_mul(1_000))),
        running: report.running,
        waiting: report.waiting,
        kv_used: report.kv_used,
    }
}

/// A version and the hash of its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct VersionHash {
    pub(crate) version: u64,
    pub(crate) hash: ContentHash,
}

type ByVm<T> = BTreeMap<VmName, T>;
