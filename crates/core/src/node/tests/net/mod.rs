//! Simulation of whole nodes with broken links, crashes, suspended processes, concurrent operators and
//! lost replies. Invariants on the observable behavior are checked while it runs.

mod faults;
mod fixture;
mod hall_observations;
mod observations;
mod site;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use self::{fixture::file, observations::Observations, site::Host};
use crate::{
    config::Document,
    mechanism::Disabled,
    node::{
        CallId, Clocks, ControlStatus, Input, Node, NodeCall, NodeOptions, NodeTiming, Output,
        VmName, control::ControlReplica,
    },
    quarantine::{ContentDigest, CrashCounts, Verdict},
    state::{ConfigChange, HallOrder},
    testing::{Choices, Disk},
    units::{Instant, UnixMillis},
    wire::{Body, Submit},
};

pub(super) use self::{fixture::request, site::Site};

/// Duration of one step, in microseconds.
const STEP_US: u64 = 20_000;
/// Distance between the replica ids of one VM after successive disk losses; above any VM number, so
/// that ids are unique.
const REPLICA_ID_STRIDE: u64 = 1 << 20;

/// One direction of a link between two VMs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Link {
    from: VmName,
    to: VmName,
}

/// Simulated VMs and the links between them.
pub(super) struct Net {
    seeds: Vec<VmName>,
    max_voters: usize,
    pub(super) hosts: BTreeMap<VmName, Host>,
    links: BTreeMap<Link, VecDeque<Body>>,
    now: u64,
    choices: Choices,
    next_call: u64,
    /// VMs that can reach only each other.
    pub(super) partitioned: BTreeSet<VmName>,
    /// What operators, callers and daemons have observed.
    pub(super) observed: Observations,
}

impl Net {
    /// Starts the daemons of a site and links them.
    pub(super) fn new(site: &Site, seed: u64) -> Net {
        let mut net = Net {
            seeds: site.seeds(),
            max_voters: site.replicas.len(),
            hosts: BTreeMap::new(),
            links: BTreeMap::new(),
            now: 1_000_000,
            choices: Choices::new(seed),
            next_call: 0,
            partitioned: BTreeSet::new(),
            observed: Observations::default(),
        };
        for vm in &site.replicas {
            net.hosts.insert(vm.clone(), Host::new(true, true));
        }
        for vm in &site.entries {
            net.hosts.insert(vm.clone(), Host::new(false, true));
        }
        for vm in net.vms() {
            net.start(&vm);
        }
        net
    }

    /// Names of all VMs.
    pub(super) fn vms(&self) -> Vec<VmName> {
        self.hosts.keys().cloned().collect()
    }

    /// Returns a random number below `below`.
    pub(super) fn random(&mut self, below: u64) -> u64 {
        self.choices.below(below)
    }

    /// Starts a VM's daemon from its disk.
    pub(super) fn start(&mut self, vm: &VmName) {
        let now = Instant(self.now);
        let seed = self.random(1 << 40);
        self.observed.halls.started(vm);
        let host = &self.hosts[vm];
        let options = NodeOptions {
            vm: vm.clone(),
            hall: String::new(),
            seeds: self.seeds.clone(),
            founders: if host.bootstraps { self.seeds.clone() } else { Vec::new() },
            max_voters: self.max_voters,
            takes_callers: true,
            polls_loads: true,
            endpoint_heartbeat: Duration::from_secs(1),
            timing: NodeTiming::default(),
            seed,
            disabled: Disabled::default(),
        };
        let host = self.hosts.get_mut(vm).unwrap();
        host.node = Some(if host.replica {
            let number: u64 = vm[3..].parse().unwrap();
            let id = number + REPLICA_ID_STRIDE * host.incarnation;
            Node::replica(&options, id, host.disk.restored.clone(), now)
        } else {
            Node::entry(&options, now)
        });
        self.handle(vm, Input::Tick);
        for peer in self.vms() {
            self.connect(vm, &peer);
        }
    }

    /// Links two VMs, if both run and one of them is a control replica.
    pub(super) fn connect(&mut self, a: &VmName, b: &VmName) {
        let runs = |vm: &VmName| self.hosts[vm].node.is_some();
        let control = self.hosts[a].replica || self.hosts[b].replica;
        let is_partitioned = self.partitioned.contains(a) != self.partitioned.contains(b);
        let link = Link { from: a.clone(), to: b.clone() };
        if a == b
            || !control
            || is_partitioned
            || !runs(a)
            || !runs(b)
            || self.links.contains_key(&link)
        {
            return;
        }
        self.links.insert(link.clone(), VecDeque::new());
        self.links.insert(Link { from: b.clone(), to: a.clone() }, VecDeque::new());
        self.handle(a, Input::LinkUp(b.clone()));
        self.handle(b, Input::LinkUp(a.clone()));
    }

    /// Whether there is a link between two VMs.
    pub(super) fn is_linked(&self, a: &VmName, b: &VmName) -> bool {
        self.links.contains_key(&Link { from: a.clone(), to: b.clone() })
    }

    /// The node of a VM that runs.
    pub(super) fn node(&self, vm: &VmName) -> &Node {
        self.hosts[vm].node.as_ref().unwrap()
    }

    /// Breaks the link between two VMs, if there is one.
    pub(super) fn disconnect(&mut self, a: &VmName, b: &VmName) {
        let known = self.links.remove(&Link { from: a.clone(), to: b.clone() }).is_some();
        self.links.remove(&Link { from: b.clone(), to: a.clone() });
        if known {
            self.handle(a, Input::LinkDown(b.clone()));
            self.handle(b, Input::LinkDown(a.clone()));
        }
    }

    /// Breaks all links of a VM.
    pub(super) fn isolate(&mut self, vm: &VmName) {
        for peer in self.vms() {
            self.disconnect(vm, &peer);
        }
    }

    /// Crashes a VM and empties its disk; it will not bootstrap the group again.
    pub(super) fn wipe_disk(&mut self, vm: &VmName) {
        self.crash(vm);
        let host = self.hosts.get_mut(vm).unwrap();
        host.disk = Disk::default();
        host.incarnation += 1;
        host.bootstraps = false;
    }

    /// Removes a VM and adds a new one in its place, which is not started.
    pub(super) fn replace_vm(&mut self, vm: &VmName) -> VmName {
        self.crash(vm);
        let host = self.hosts.remove(vm).unwrap();
        let number = self.hosts.len() as u64 + 10 + self.next_call;
        let new: VmName = format!("vm-{number}").into();
        self.hosts.insert(new.clone(), Host::new(host.replica, false));
        new
    }

    /// VMs with a control replica.
    pub(super) fn replicas(&self) -> Vec<VmName> {
        let replicas = self.hosts.iter().filter(|(_, host)| host.replica);
        replicas.map(|(vm, _)| vm.clone()).collect()
    }

    /// First VM without a control replica.
    pub(super) fn entry(&self) -> VmName {
        let mut entries = self.hosts.iter().filter(|(_, host)| !host.replica);
        entries.next().map(|(vm, _)| vm.clone()).unwrap()
    }

    /// Runs until a call is answered.
    pub(super) fn wait_for_answer(&mut self, call: CallId) {
        const STEPS: usize = 200;
        for _ in 0..STEPS {
            if self.observed.answered.contains(&call) {
                return;
            }
            self.step(false);
        }
        panic!("no answer");
    }

    /// Kills a daemon; a random number of its pending writes reaches the disk.
    pub(super) fn crash(&mut self, vm: &VmName) {
        let writes = self.hosts[vm].writes.len() as u64;
        let written = self.random(writes + 1) as usize;
        let host = self.hosts.get_mut(vm).unwrap();
        for (_, persist) in host.writes.drain(..).take(written) {
            host.disk.write(persist);
        }
        host.node = None;
        host.writes.clear();
        host.suspended = false;
        self.isolate(vm);
    }

    /// Passes an input to a node and executes its outputs.
    pub(super) fn handle(&mut self, vm: &VmName, input: Input) {
        let clocks = Clocks { now: Instant(self.now), wall: UnixMillis(self.now / 1_000) };
        let host = self.hosts.get_mut(vm).unwrap();
        let Some(node) = &mut host.node else { return };
        let outputs = node.handle(input, clocks);
        let piece_to = |output: &Output| match output {
            Output::Send(to, Body::Piece(_)) => Some(to.clone()),
            _ => None,
        };
        let written: Vec<VmName> = outputs.iter().filter_map(piece_to).collect();
        for output in outputs {
            self.execute(vm, output);
        }
        for to in written {
            self.handle(vm, Input::PieceWritten(to));
        }
    }

    fn execute(&mut self, vm: &VmName, output: Output) {
        match output {
            Output::Send(to, body) => {
                let link = Link { from: vm.clone(), to };
                if let Some(queue) = self.links.get_mut(&link) {
                    queue.push_back(body);
                }
            }
            Output::Persist(number, persist) => {
                self.hosts.get_mut(vm).unwrap().writes.push_back((number, persist));
            }
            Output::ConfigActivated(active_config) => {
                self.observed.check_activation(vm, &active_config)
            }
            Output::Reply(call, answer) => {
                self.observed.check_reply(call, answer, Instant(self.now));
            }
            Output::ConfigFreshness { confirmed: Some(at), .. } => {
                self.observed.check_confirmed(vm, self.version_at(vm), at);
                self.observed.halls.check_confirmed(vm, at);
            }
            Output::Load(load) => {
                self.observed.loads.insert(vm.clone(), load);
            }
            Output::Refused { entry, refusal } => {
                self.observed.refused.push((vm.clone(), entry, *refusal));
            }
            Output::HallsOut(halls) => self.observed.halls.check(vm, &halls),
            Output::SessionRenewed(_) => self.observed.sessions_renewed += 1,
            Output::ConfigRejected { version, reason } => {
                panic!("version {version} is unusable: {reason}")
            }
            Output::ConfigFreshness { .. }
            | Output::SentChange(_)
            | Output::ConfigFetched(_)
            | Output::Suspect(_)
            | Output::Suspects { .. }
            | Output::Limit { .. }
            | Output::Backoff { .. }
            | Output::RefusalsOmitted(_)
            | Output::Watch(_)
            | Output::Leader { .. }
            | Output::Role(_)
            | Output::Dial(_)
            | Output::Forwarders(_)
            | Output::Registered(_)
            | Output::SaveEndpoints(_)
            | Output::Move { .. } => {}
        }
    }

    /// The simulated time.
    pub(super) fn time(&self) -> Instant {
        Instant(self.now)
    }

    /// Crashes that a daemon counts against a request; `None` while it does not run.
    pub(super) fn crash_counts(&self, vm: &VmName, request: &ContentDigest) -> Option<CrashCounts> {
        Some(self.hosts[vm].node.as_ref()?.crash_counts(request))
    }

    /// How a daemon judges a request with these contents; `None` while it does not run.
    pub(super) fn verdict(&self, vm: &VmName, contents: &[ContentDigest]) -> Option<Verdict> {
        Some(self.hosts[vm].node.as_ref()?.verdict(contents))
    }

    /// Whether a VM's daemon runs and may send requests to endpoints.
    pub(super) fn is_serving(&self, vm: &VmName) -> bool {
        self.hosts[vm].node.as_ref().is_some_and(Node::is_fresh)
    }

    /// Makes a call to a node; the reply is checked on arrival.
    pub(super) fn call(&mut self, vm: &VmName, request: NodeCall) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.handle(vm, Input::Call(call, request));
        call
    }

    /// Submits a file at a VM, as a change of the configuration that is active there.
    pub(super) fn submit(&mut self, vm: &VmName, version: u64, content: &str) {
        let document = Document::parse("f.ini", &file(version, content)).unwrap();
        let active_config = self.hosts[vm].node.as_ref().and_then(Node::active_config);
        let nothing = Document::default();
        let (base_version, base) =
            active_config.map_or((0, &nothing), |f| (f.version, &f.document));
        let command = ConfigChange::new(version, base_version, base, &document);
        let submit = Submit { file: "f.ini".into(), command, or_newer: false };
        self.observed.record_submission(CallId(self.next_call + 1), version);
        self.call(vm, NodeCall::Submit(submit));
    }

    /// Orders a data hall out of service or back, based on the state that the VM knows.
    pub(super) fn order_hall(&mut self, vm: &VmName, hall: &str, out: bool) -> CallId {
        let after = self.observed.halls.known(vm).number;
        let order = HallOrder { hall: hall.into(), out, after };
        let call = CallId(self.next_call + 1);
        self.observed.halls.record_order(call, &order, Instant(self.now));
        self.call(vm, NodeCall::ChangeHall { order, limit: Duration::from_secs(1) })
    }

    /// Completes the oldest pending write of a VM.
    fn sync(&mut self, vm: &VmName) {
        let host = self.hosts.get_mut(vm).unwrap();
        let Some((number, persist)) = host.writes.pop_front() else { return };
        host.disk.write(persist);
        self.handle(vm, Input::Persisted(number));
    }

    /// Advances time by one step: delivers messages, completes writes and ticks nodes.
    pub(super) fn step(&mut self, faults: bool) {
        self.now += STEP_US;
        let links: Vec<Link> = self.links.keys().cloned().collect();
        for link in links {
            if self.hosts[&link.to].suspended || (faults && self.random(3) == 0) {
                continue;
            }
            let queue = self.links.get_mut(&link).map(std::mem::take).unwrap_or_default();
            for body in queue {
                self.handle(&link.to, Input::Message(link.from.clone(), body));
            }
        }
        for vm in self.vms() {
            if self.hosts[&vm].suspended {
                continue;
            }
            if !faults || self.random(3) != 0 {
                self.sync(&vm);
            }
            self.handle(&vm, Input::Tick);
        }
    }

    /// Runs without new faults; present ones persist.
    pub(super) fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step(false);
        }
    }

    /// A VM whose replica considers itself the leader.
    pub(super) fn leader(&self) -> Option<VmName> {
        let leads = |node: &Node| node.control.as_ref().is_some_and(ControlReplica::leads);
        let found = self.hosts.iter().find(|(_, h)| h.node.as_ref().is_some_and(leads));
        found.map(|(vm, _)| vm.clone())
    }

    /// Version of the active configuration on a VM, or 0.
    pub(super) fn version_at(&self, vm: &str) -> u64 {
        let node = self.hosts[vm].node.as_ref();
        node.and_then(Node::active_config).map_or(0, |f| f.version)
    }

    /// Status of the control group according to a replica.
    pub(super) fn control(&self, vm: &VmName) -> ControlStatus {
        let control = self.hosts[vm].node.as_ref().and_then(|n| n.control.as_ref());
        control.unwrap().status(Instant(self.now))
    }
}
