//! The state machine of one daemon.
//!
//! [`Node`] is pure: it takes the time and an [`Input`] and returns [`Output`]s, so the same code
//! runs in the daemon, in tests and in experiments.
//!
//! On every daemon:
//!
//! - `control_client` polls the leader and tracks whether the active configuration is current;
//!   `config_store` holds that configuration and `config_fetch` downloads newer ones;
//! - `operations` sends changes of the replicated state to the leader;
//! - `placement_client` places this daemon's requests;
//! - `permit_client` requests permits for endpoints with rate limits;
//! - `suspect_tracker` tracks requests, and parts of prompts, that may crash endpoints; `local_suspects`
//!   holds what the leader has not recorded, and `crash_spread` tells other daemons of it;
//! - `stream_origins` tells which software version began the streams that callers take up;
//! - `sessions` lets both sides of a link forget what they know of each other, or none;
//! - `directory` lists the control VMs and `endpoints` the endpoints that register; of a large
//!   fleet's, an entry knows a sample (`endpoint_sources`) and those that it uses (`endpoint_uses`).
//!
//! On control VMs:
//!
//! - `control` runs a control replica and, on the leader, serves the daemons;
//! - `config_changes` stores configuration changes for daemons that fetch them;
//! - `dispatcher` schedules the requests of all daemons on the leader;
//! - `permit_allocator` grants permits on the leader.

mod admit;
mod broadcast;
mod config_changes;
#[cfg(test)]
mod config_changes_tests;
mod config_fetch;
mod config_store;
#[cfg(test)]
mod config_store_tests;
mod config_streams;
mod control;
mod control_client;
mod crash_spread;
mod directory;
mod dispatcher;
mod endpoint_news;
mod endpoint_sources;
mod endpoint_subscribers;
mod endpoint_sync;
#[cfg(test)]
mod endpoint_sync_tests;
#[cfg(test)]
mod endpoint_tests;
mod endpoint_uses;
mod endpoints;
mod engines;
mod failed_attempt;
#[cfg(test)]
mod growth_tests;
mod inputs;
mod local_suspects;
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
mod sessions;
mod stream_origins;
#[cfg(test)]
mod stream_origins_tests;
mod suspect_tracker;
#[cfg(test)]
mod suspect_tracker_tests;
#[cfg(test)]
mod tests;
mod trials;
mod watches;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use self::{
    control::ControlReplica,
    control_client::ControlClient,
    directory::Directory,
    endpoint_sources::EndpointSources,
    endpoint_subscribers::EndpointSubscribers,
    endpoint_sync::EndpointSync,
    endpoint_uses::EndpointUses,
    engines::Engines,
    news_batch::{HeartbeatBatch, NewsBatch},
    operations::Operations,
    permit_client::PermitClient,
    placement_client::PlacementClient,
    sessions::Sessions,
    stream_origins::StreamOrigins,
    suspect_tracker::{Context, SuspectTracker},
};
use crate::{
    agreement::{self, Restored},
    backoff::{Admission, BackoffTable},
    config::ContentHash,
    mechanism::Disabled,
    placement::{LoadReport, Request},
    quarantine::{ContentDigest, CrashCounts, Verdict},
    registry::Registry,
    throttle::RateLimit,
    units::Instant,
    wire::{Report, SuspectNews},
};

pub(crate) use self::messages::Outbox;
pub use self::{
    config_fetch::FetchSummary,
    config_store::ActiveConfig,
    control::{ControlStatus, DaemonStatus, ReplicaStatus},
    control_client::{EntryDaemons, Forwarders},
    endpoints::EndpointStatus,
    failed_attempt::{FailedAttempt, ProbeOutcome},
    messages::{
        CallId, Input, NodeCall, NodeReply, Output, Placement, ReplicaRole, SentChange, SubmitError,
    },
    options::{Clocks, NodeOptions, NodeTiming},
    trials::TrialAnswer,
};

/// Name of a VM.
pub type VmName = Arc<str>;

/// Interval between scans of the registry for endpoints whose heartbeats have stopped and for
/// expired records; both take seconds to occur.
const EXPIRY_SCAN_INTERVAL: Duration = Duration::from_millis(100);

/// State machine of one daemon.
pub struct Node {
    vm: VmName,
    outputs: Outbox,
    client: ControlClient,
    operations: Operations,
    placement: PlacementClient,
    suspects: SuspectTracker,
    permits: PermitClient,
    stream_origins: StreamOrigins,
    control: Option<ControlReplica>,
    sessions: Sessions,
    directory: Directory,
    registry: Registry,
    /// Data hall of this VM.
    hall: String,
    endpoint_sources: EndpointSources,
    endpoint_subscribers: EndpointSubscribers,
    endpoint_sync: EndpointSync,
    endpoint_uses: EndpointUses,
    /// Revision of the registry and number of daemons for which it was last trimmed.
    trimmed_for: (u64, u64),
    /// The configuration that the schedulers have.
    scheduler_config: Option<Arc<ActiveConfig>>,
    /// Revision of the registry that was last saved to disk.
    saved_revision: u64,
    /// Earliest time of the next save.
    next_save: Instant,
    /// Changes for the control VMs that this daemon exchanges news with.
    peer_updates: NewsBatch,
    /// Changes for subscribers.
    subscriber_updates: NewsBatch,
    /// Heartbeats without changes, for the other control VMs.
    heartbeats: HeartbeatBatch,
    /// Updates that an entry received from control VMs other than the leader, for the leader.
    leader_updates: NewsBatch,
    next_expiry_scan: Instant,
    disabled: Disabled,
}

impl Node {
    /// Creates a daemon without a control replica, which stores nothing on disk.
    pub fn entry(options: &NodeOptions, now: Instant) -> Node {
        Node {
            vm: options.vm.clone(),
            outputs: Outbox::default(),
            client: ControlClient::new(options, now),
            operations: Operations::numbered_from(options.seed),
            placement: PlacementClient::new(options),
            suspects: SuspectTracker::default(),
            permits: PermitClient::default(),
            stream_origins: StreamOrigins::default(),
            control: None,
            sessions: Sessions::default(),
            directory: Directory::new(&options.vm, &options.seeds, false, now),
            registry: Registry::new(options.endpoint_heartbeat),
            hall: options.hall.clone(),
            endpoint_sources: EndpointSources::new(options, false),
            endpoint_subscribers: EndpointSubscribers::default(),
            endpoint_sync: EndpointSync::default(),
            endpoint_uses: EndpointUses::default(),
            trimmed_for: (0, 0),
            scheduler_config: None,
            saved_revision: 0,
            next_save: Instant::default(),
            peer_updates: NewsBatch::default(),
            subscriber_updates: NewsBatch::default(),
            heartbeats: HeartbeatBatch::default(),
            leader_updates: NewsBatch::default(),
            next_expiry_scan: Instant::default(),
            disabled: options.disabled,
        }
    }

    /// Creates a daemon that is also a control replica.
    pub fn replica(
        options: &NodeOptions,
        id: agreement::ReplicaId,
        restored: Restored,
        now: Instant,
    ) -> Node {
        let mut node = Node::entry(options, now);
        node.control = Some(ControlReplica::new(options, id, restored, now));
        node.endpoint_sources = EndpointSources::new(options, true);
        node.directory = Directory::new(&options.vm, &options.seeds, true, now);
        node.client.use_local_replica();
        node.client.set_replicas(node.directory.known());
        node
    }

    /// The active configuration, if any.
    pub fn active_config(&self) -> Option<&Arc<ActiveConfig>> {
        self.client.active_config()
    }

    /// Whether the active configuration was recently confirmed to be current.
    pub fn is_fresh(&self) -> bool {
        self.client.is_fresh()
    }

    /// Crashes counted against a content.
    pub fn crash_counts(&self, content: &ContentDigest) -> CrashCounts {
        self.suspects.crash_counts(content)
    }

    /// How a request with these contents may be sent: the digest of the whole request, then those of
    /// the parts of its prompt in order.
    pub fn verdict(&self, contents: &[ContentDigest]) -> Verdict {
        self.suspects.verdict(contents)
    }

    /// Whether any request has a crash record.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// The rate limit that an endpoint has reported, if any.
    pub fn rate_limit(&self, endpoint: &str) -> Option<RateLimit> {
        self.placement.local().throttle.limit(endpoint)
    }

    /// Whether an endpoint that has rejected requests may be sent another one by this daemon.
    pub fn admission(&self, endpoint: &str, now: Instant) -> Admission {
        self.placement.local().local_admission(endpoint, now)
    }

    /// Backoff state of endpoints, for requests that this daemon sends without the scheduler.
    pub fn backoffs_mut(&mut self) -> &mut BackoffTable {
        self.placement.backoffs_mut()
    }

    /// Probability that a request completes within this time, estimated from the lengths and
    /// generation rates that this daemon has observed.
    pub fn completion_probability(&self, req: &Request, within: Duration, now: Instant) -> f64 {
        self.placement.local().completion_probability(req, within, now)
    }

    /// Processes an input and returns the resulting actions.
    pub fn handle(&mut self, input: Input, clocks: Clocks) -> Vec<Output> {
        self.apply(input, clocks);
        self.propagate_changes(clocks);
        std::mem::take(&mut self.outputs.outputs)
    }

    /// Time at which [`Input::Tick`] is next needed.
    pub fn next_tick(&self) -> Instant {
        let mut next = self.client.next_tick().min(self.placement.next_tick());
        next = next.min(self.directory.next_tick());
        next = next.min(self.suspects.next_tick().unwrap_or(next));
        next = next.min(self.permits.next_tick().unwrap_or(next));
        next = next.min(self.stream_origins.next_tick().unwrap_or(next));
        if let Some(control) = &self.control {
            next = next.min(control.next_tick());
        }
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
        self.stream_origins.tick(clocks.now, out);
        self.tick_endpoints(clocks.now);
        if self.next_expiry_scan <= clocks.now {
            self.next_expiry_scan = clocks.now.after(EXPIRY_SCAN_INTERVAL);
            self.registry.expire(clocks.now);
            self.trim_endpoints(clocks.now);
            if self.leads() {
                self.spread_silent_endpoints(clocks.now);
            }
        }
        let (suspects, mut cx, out) = self.suspects_context(clocks);
        suspects.tick(&mut cx, out);
        let (permits, mut cx, out) = self.permits_context(clocks.now);
        permits.tick(&mut cx, out);
    }

    /// Borrows the permit client together with the state that it uses.
    fn permits_context(
        &mut self,
        now: Instant,
    ) -> (&mut PermitClient, permit_client::Context<'_>, &mut Outbox) {
        let scheduler = self.client.scheduler(now);
        let throttle = self.placement.throttle_mut();
        let cx = permit_client::Context { scheduler, throttle, now };
        (&mut self.permits, cx, &mut self.outputs)
    }

    /// Borrows the suspect tracker together with the state that it uses.
    fn suspects_context(
        &mut self,
        clocks: Clocks,
    ) -> (&mut SuspectTracker, Context<'_>, &mut Outbox) {
        let cx = Context {
            leader: self.client.leader(),
            operations: &mut self.operations,
            registry: &self.registry,
            is_control: self.control.is_some(),
            now: clocks.now,
            wall: clocks.wall,
        };
        (&mut self.suspects, cx, &mut self.outputs)
    }

    /// Applies changes of crash records and acknowledges them with the next poll.
    fn on_suspect_news(&mut self, news: &SuspectNews, now: Instant) {
        self.suspects.on_news(news, &mut self.outputs);
        let state = self.suspects.known().state();
        self.client.set_suspects_state(state, news.more, now, &mut self.outputs);
    }

    fn leads(&self) -> bool {
        self.control.as_ref().is_some_and(ControlReplica::leads)
    }

    /// Propagates changes between the components, and delivers messages that this node has sent to
    /// itself, until none is left.
    fn propagate_changes(&mut self, clocks: Clocks) {
        loop {
            self.client.set_replicas(self.directory.known());
            if let Some(control) = &self.control {
                self.client.load_accepted(control.state(), clocks.now, &mut self.outputs);
            }
            let active_config = self.client.take_config_change();
            self.queue_updates_for_leader(clocks.now);
            self.flush_endpoint_news(clocks.now);
            self.save_endpoints_if_due(clocks.now);
            if let Some(restored) = self.client.take_restored_halls() {
                self.on_halls_changed(&restored, clocks.now);
            }
            self.publish_endpoint_changes(clocks.now);
            let needs_engines = self.control.as_ref().is_some_and(ControlReplica::needs_engines);
            if active_config.is_some() || needs_engines {
                self.configure_schedulers(clocks.now);
            }
            if let Some(active_config) = active_config {
                self.outputs.push(Output::ConfigActivated(active_config));
            }
            if let Some(leader) = self.client.take_leader_change() {
                let now = clocks.now;
                self.operations.leader_changed(leader.as_ref(), now, &mut self.outputs);
                self.suspects.on_leader_change(leader.as_ref(), &mut self.outputs);
                self.endpoint_sources.on_leader_change(now);
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

/// Converts a load report, with its age as a point in time.
pub(crate) fn load_report(report: &Report, now: Instant) -> LoadReport {
    LoadReport {
        at: Instant(now.0.saturating_sub(report.age_ms.saturating_mul(1_000))),
        running: report.running,
        waiting: report.waiting,
        kv_used: report.kv_used,
    }
}

/// Version of a configuration and the hash of its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct VersionHash {
    pub(crate) version: u64,
    pub(crate) hash: ContentHash,
}

type ByVm<T> = BTreeMap<VmName, T>;
