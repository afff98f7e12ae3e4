//! Simulation of a fleet without faults, in virtual time, with limited bandwidth and CPU time per byte.
//! Large messages thus delay those queued behind them.

mod host;
mod network;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use self::{
    host::{HoldUps, Host},
    network::{Network, message_bytes},
};
use super::net::Site;
use crate::{
    agreement::Timing,
    config::Document,
    mechanism::Disabled,
    node::{CallId, Input, Node, NodeCall, NodeOptions, NodeReply, NodeTiming, Output, VmName},
    state::ConfigChange,
    units::Instant,
    wire::{Body, EndpointRecord, Submit},
};

/// Duration of a disk sync on a control VM.
const SYNC: Duration = Duration::from_millis(2);
/// Intervals and timeouts as in production.
const TIMING: NodeTiming = NodeTiming {
    agreement: Timing {
        heartbeat: Duration::from_millis(100),
        election: Duration::from_millis(500),
    },
    poll: Duration::from_millis(250),
    stale_after: Duration::from_secs(4),
};

/// A scheduled event.
#[derive(Debug)]
enum Event {
    /// An input reaches a VM.
    Arrives(VmName, Box<Input>),
    /// A VM can process its next input, or its timer is due.
    Runs(VmName),
}

/// Control VMs and entry VMs; every entry is linked to every control VM.
pub(super) struct Fleet {
    hosts: BTreeMap<VmName, Host>,
    network: Network,
    /// By time, then in order of scheduling.
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    now: u64,
    next_call: u64,
    /// When the acceptance of each version was acknowledged.
    accepted: BTreeMap<u64, u64>,
    /// When each version was activated on each VM.
    activated: BTreeMap<VmName, BTreeMap<u64, u64>>,
    /// Longest time for which an entry's configuration was not confirmed.
    pub(super) longest_unconfirmed: Duration,
    /// Control VMs that can reach only each other and the entries.
    pub(super) partitioned: BTreeSet<VmName>,
    /// Terms with a known leader.
    pub(super) terms: BTreeSet<u64>,
    /// When each VM first published each number of endpoints.
    known_at: BTreeMap<VmName, BTreeMap<usize, u64>>,
    /// When each entry first had a confirmed configuration.
    confirmed: BTreeMap<VmName, u64>,
    /// Records of endpoints that were sent to entries.
    pub(super) records_to_entries: usize,
}

impl Fleet {
    /// Starts the daemons of a site and links them.
    pub(super) fn new(site: &Site) -> Fleet {
        let mut fleet = Fleet {
            hosts: BTreeMap::new(),
            network: Network::default(),
            events: BTreeMap::new(),
            next_event: 0,
            now: 1_000_000,
            next_call: 0,
            accepted: BTreeMap::new(),
            activated: BTreeMap::new(),
            longest_unconfirmed: Duration::ZERO,
            partitioned: BTreeSet::new(),
            terms: BTreeSet::new(),
            known_at: BTreeMap::new(),
            confirmed: BTreeMap::new(),
            records_to_entries: 0,
        };
        for vm in &site.replicas {
            fleet.add(vm, site, true);
        }
        for vm in &site.entries {
            fleet.add(vm, site, false);
        }
        fleet.link(site);
        fleet
    }

    fn add(&mut self, vm: &VmName, site: &Site, is_control: bool) {
        let number = self.hosts.len() as u64 + 1;
        let options = NodeOptions {
            vm: vm.clone(),
            hall: String::new(),
            seeds: site.seeds(),
            founders: if is_control { site.seeds() } else { Vec::new() },
            max_voters: site.replicas.len(),
            takes_callers: !is_control,
            polls_loads: true,
            endpoint_heartbeat: Duration::from_secs(1),
            timing: TIMING,
            seed: number * 7_919,
            disabled: Disabled::default(),
        };
        let now = Instant(self.now);
        let node = if is_control {
            Node::replica(&options, number, Default::default(), now)
        } else {
            Node::entry(&options, now)
        };
        self.network.add(vm, is_control);
        self.hosts.insert(vm.clone(), Host::new(node, is_control));
    }

    fn link(&mut self, site: &Site) {
        for control in &site.replicas {
            for vm in site.replicas.iter().chain(&site.entries).filter(|vm| *vm != control) {
                self.arrive(vm, Input::LinkUp(control.clone()), self.now);
                let is_entry = !self.hosts[vm].is_control;
                if is_entry {
                    self.arrive(control, Input::LinkUp(vm.clone()), self.now);
                }
            }
        }
    }

    /// Restarts the daemons of all entries at the same time.
    pub(super) fn restart_entries(&mut self, site: &Site) {
        for vm in &site.entries {
            for control in &site.replicas {
                self.arrive(control, Input::LinkDown(vm.clone()), self.now);
            }
            self.add(vm, site, false);
            self.known_at.remove(vm);
            self.confirmed.remove(vm);
            self.events.retain(|_, event| !matches!(event, Event::Arrives(to, _) if to == vm));
        }
        for (vm, control) in
            site.entries.iter().flat_map(|vm| site.replicas.iter().map(move |c| (vm, c)))
        {
            self.arrive(vm, Input::LinkUp(control.clone()), self.now);
            self.arrive(control, Input::LinkUp(vm.clone()), self.now);
        }
    }

    /// Lets all daemons wait for their processors again and again, for up to `longest` each time.
    pub(super) fn hold_up_all(&mut self, longest: Duration, seed: u64) {
        let now = self.now;
        for (n, host) in self.hosts.values_mut().enumerate() {
            host.hold_ups = Some(HoldUps::new(longest, now, seed * 1_000 + n as u64));
        }
    }

    /// Restores these endpoints on the control VMs, as after a restart.
    pub(super) fn restore_endpoints(&mut self, site: &Site, records: &[EndpointRecord]) {
        for vm in &site.replicas {
            self.arrive(vm, Input::RestoreEndpoints(records.to_vec()), self.now);
        }
    }

    /// An endpoint deregisters at a control VM.
    pub(super) fn deregister_endpoint(&mut self, vm: &VmName, id: &str) {
        self.arrive(vm, Input::EndpointDeregistered(id.into()), self.now);
    }

    /// Number of endpoints that a VM knows.
    pub(super) fn endpoints_at(&self, vm: &VmName) -> usize {
        self.hosts[vm].node.registry.records().count()
    }

    /// When the last of these VMs knew at least `count` endpoints; `None` unless all do.
    pub(super) fn all_known_at(&self, vms: &[VmName], count: usize) -> Option<Instant> {
        let at = |vm: &VmName| self.known_at.get(vm)?.range(count..).map(|(_, at)| *at).min();
        vms.iter().map(at).collect::<Option<Vec<u64>>>()?.into_iter().max().map(Instant)
    }

    /// When the last of these VMs had a confirmed configuration; `None` unless all do.
    pub(super) fn all_confirmed_at(&self, vms: &[VmName]) -> Option<Instant> {
        let at = |vm: &VmName| self.confirmed.get(vm).copied();
        vms.iter().map(at).collect::<Option<Vec<u64>>>()?.into_iter().max().map(Instant)
    }

    /// Runs the simulation for this time.
    pub(super) fn run(&mut self, time: Duration) {
        let until = self.now + time.as_micros() as u64;
        while let Some(next) = self.events.first_entry().filter(|e| e.key().0 <= until) {
            let ((at, _), event) = next.remove_entry();
            self.now = at;
            match event {
                Event::Arrives(vm, input) => {
                    self.hosts.get_mut(&vm).unwrap().waiting.push_back(*input);
                    self.process_next(&vm);
                }
                Event::Runs(vm) => self.process_next(&vm),
            }
        }
        self.now = until;
    }

    /// Processes the next input of a VM, unless it is still busy with the one before.
    fn process_next(&mut self, vm: &VmName) {
        let host = self.hosts.get_mut(vm).unwrap();
        if self.now < host.busy_until {
            return;
        }
        if let Some(end) = host.wait_for_processor(self.now) {
            return self.schedule(end, Event::Runs(vm.clone()));
        }
        let due = host.node.next_tick().0 <= self.now;
        let input = host.waiting.pop_front().or(due.then_some(Input::Tick));
        if let Some(input) = input {
            let outputs = host.handle(input, self.now);
            let done = host.busy_until;
            for output in outputs {
                self.execute(vm, output, done);
            }
        }
        let host = &self.hosts[vm];
        let next = if host.waiting.is_empty() { host.node.next_tick().0 } else { 0 };
        self.schedule(next.max(host.busy_until).max(self.now + 1), Event::Runs(vm.clone()));
    }

    fn execute(&mut self, vm: &VmName, output: Output, at: u64) {
        match output {
            Output::Send(to, body) => self.send(vm, &to, body, at),
            Output::Persist(number, _) => {
                let synced = at + SYNC.as_micros() as u64;
                self.arrive(vm, Input::Persisted(number), synced);
            }
            Output::Reply(_, NodeReply::Submitted(result)) => {
                let accepted = result.expect("nobody submits anything else");
                self.accepted.insert(accepted.version, at);
            }
            Output::ConfigActivated(active_config) => {
                let versions = self.activated.entry(vm.clone()).or_default();
                versions.insert(active_config.version, at);
            }
            Output::Leader { term, .. } if 0 < term => {
                self.terms.insert(term);
            }
            Output::ConfigFreshness { confirmed: Some(confirmed), .. } => {
                self.record_confirmation(vm, confirmed)
            }
            Output::Registered(_) => {
                let count = self.hosts[vm].node.registry.records().count();
                self.known_at.entry(vm.clone()).or_default().entry(count).or_insert(at);
            }
            _ => {}
        }
    }

    /// Updates the longest time that an entry's configuration was not confirmed.
    fn record_confirmation(&mut self, vm: &VmName, confirmed: Instant) {
        self.confirmed.entry(vm.clone()).or_insert(self.now);
        let host = self.hosts.get_mut(vm).unwrap();
        let before = host.confirmed.replace(confirmed);
        if let Some(before) = before.filter(|_| !host.is_control) {
            let gap = Instant(self.now).since(before);
            self.longest_unconfirmed = self.longest_unconfirmed.max(gap);
        }
    }

    fn send(&mut self, from: &VmName, to: &VmName, body: Body, at: u64) {
        let both_control = self.hosts[from].is_control && self.hosts[to].is_control;
        if both_control && self.partitioned.contains(from) != self.partitioned.contains(to) {
            return;
        }
        if let Body::EndpointNews(news) = &body
            && !self.hosts[to].is_control
        {
            self.records_to_entries += news.records.len();
        }
        let arrives = self.network.send(from, to, message_bytes(&body), at);
        if let Body::Piece(_) = body {
            // The sender's system buffers nothing.
            self.arrive(from, Input::PieceWritten(to.clone()), arrives);
        }
        self.arrive(to, Input::Message(from.clone(), body), arrives);
    }

    fn arrive(&mut self, vm: &VmName, input: Input, at: u64) {
        self.schedule(at, Event::Arrives(vm.clone(), Box::new(input)));
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    /// Submits a file at a VM, as a change of the configuration that is active there.
    pub(super) fn submit(&mut self, vm: &VmName, version: u64, text: &str) {
        let document = Document::parse("f.ini", text).unwrap();
        let active_config = self.hosts[vm].node.active_config();
        let nothing = Document::default();
        let (base_version, base) =
            active_config.map_or((0, &nothing), |f| (f.version, &f.document));
        let command = ConfigChange::new(version, base_version, base, &document);
        let submit = Submit { file: "f.ini".into(), command, or_newer: false };
        self.next_call += 1;
        let question = NodeCall::Submit(submit);
        self.arrive(vm, Input::Call(CallId(self.next_call), question), self.now);
    }

    /// Bytes of the change from a VM's active configuration to a file.
    pub(super) fn change_bytes(&self, vm: &VmName, text: &str) -> usize {
        let document = Document::parse("f.ini", text).unwrap();
        let active_config = self.hosts[vm].node.active_config().unwrap();
        ConfigChange::new(0, 0, &active_config.document, &document).delta.len()
    }

    /// Bytes that a VM has received so far.
    pub(super) fn received(&self, vm: &VmName) -> usize {
        self.network.received(vm)
    }

    /// Longest delivery time of a small message to an entry.
    pub(super) fn slowest_small_message(&self) -> Duration {
        self.network.slowest_small
    }

    /// The leader that has committed an entry of its own term.
    pub(super) fn leader(&self) -> VmName {
        let mut leaders = self.hosts.iter().filter(|(_, host)| host.node.leads());
        leaders.next().map(|(vm, _)| vm.clone()).expect("some replica leads")
    }

    /// The simulated time.
    pub(super) fn now(&self) -> Instant {
        Instant(self.now)
    }

    /// When the acceptance of a version was acknowledged.
    pub(super) fn accepted_at(&self, version: u64) -> Option<Instant> {
        self.accepted.get(&version).copied().map(Instant)
    }

    /// Time from the acceptance of a version to the activation of it or a newer one on each VM; `None`
    /// where none was activated.
    pub(super) fn activation_delays(&self, version: u64) -> BTreeMap<VmName, Option<Duration>> {
        let accepted = self.accepted_at(version);
        let delay = |vm: &VmName| {
            let (_, at) = self.activated.get(vm)?.range(version..).next()?;
            Some(Instant(*at).since(accepted?))
        };
        self.hosts.keys().map(|vm| (vm.clone(), delay(vm))).collect()
    }
}
