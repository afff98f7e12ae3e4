//! Whole nodes over links that break, with crashes, frozen processes, racing operators and
//! lost answers; checks what the outside world sees while it runs.

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
    quarantine::{CrashCounts, RequestDigest},
    state::{ConfigChange, HallOrder},
    testing::{Choices, Disk},
    units::{Instant, UnixMillis},
    wire::{Body, Submit},
};

pub(super) use self::{fixture::request, site::Site};

/// Time that one step takes.
const STEP_US: u64 = 20_000;
/// A replica on a VM whose disk was lost has another id than the one before, and than any on another
/// VM: more than there are numbers of VMs.
const IDS_OF_A_VM: u64 = 1 << 20;

/// One direction of a link between two VMs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Link {
    from: VmName,
    to: VmName,
}

/// All VMs and the links between them.
pub(super) struct Net {
    seeds: Vec<VmName>,
    max_voters: usize,
    pub(super) hosts: BTreeMap<VmName, Host>,
    links: BTreeMap<Link, VecDeque<Body>>,
    now: u64,
    choices: Choices,
    next_call: u64,
    /// VMs that reach only each other.
    pub(super) partitioned: BTreeSet<VmName>,
    /// What the outside world has seen so far.
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

    /// A random number below `below`.
    pub(super) fn random(&mut self, below: u64) -> u64 {
        self.choices.below(below)
    }

    /// Starts a VM's daemon from what its disk holds.
    pub(super) fn start(&mut self, vm: &VmName) {
        let now = Instant(self.now);
        let seed = self.random(1 << 40);
        self.observed.halls.started(vm);
        let host = &self.hosts[vm];
        let options = NodeOptions {
            vm: vm.clone(),
            seeds: self.seeds.clone(),
            founders: if host.bootstraps { self.seeds.clone() } else { Vec::new() },
            max_voters: self.max_voters,
            takes_callers: true,
            endpoint_heartbeat: Duration::from_secs(1),
            timing: NodeTiming::default(),
            seed,
            disabled: Disabled::default(),
        };
        let host = self.hosts.get_mut(vm).unwrap();
        host.node = Some(if host.replica {
            let number: u64 = vm[3..].parse().unwrap();
            let id = number + IDS_OF_A_VM * host.incarnation;
            Node::replica(&options, id, host.disk.restored.clone(), now)
        } else {
            Node::entry(&options, now)
        });
        self.handle(vm, Input::Tick);
        for peer in self.vms() {
            self.connect(vm, &peer);
        }
    }

    /// Links a pair, if both run and one of them is a control replica.
    pub(super) fn connect(&mut self, a: &VmName, b: &VmName) {
        let runs = |vm: &VmName| self.hosts[vm].node.is_some();
        let control = self.hosts[a].replica || self.hosts[b].replica;
        let cut = self.partitioned.contains(a) != self.partitioned.contains(b);
        let link = Link { from: a.clone(), to: b.clone() };
        if a == b || !control || cut || !runs(a) || !runs(b) || self.links.contains_key(&link) {
            return;
        }
        self.links.insert(link.clone(), VecDeque::new());
        self.links.insert(Link { from: b.clone(), to: a.clone() }, VecDeque::new());
        self.handle(a, Input::LinkUp(b.clone()));
        self.handle(b, Input::LinkUp(a.clone()));
    }

    /// Breaks the link of a pair, if there is one.
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

    /// Takes a VM's disk away; it starts again with an empty one, knowing that the system has
    /// started before.
    pub(super) fn wipe_disk(&mut self, vm: &VmName) {
        self.crash(vm);
        let host = self.hosts.get_mut(vm).unwrap();
        host.disk = Disk::default();
        host.incarnation += 1;
        host.bootstraps = false;
    }

    /// Takes a VM away for good; another one comes in its place.
    pub(super) fn replace_vm(&mut self, vm: &VmName) -> VmName {
        self.crash(vm);
        let host = self.hosts.remove(vm).unwrap();
        let number = self.hosts.len() as u64 + 10 + self.next_call;
        let new: VmName = format!("vm-{number}").into();
        self.hosts.insert(new.clone(), Host::new(host.replica, false));
        new
    }

    /// The control replicas.
    pub(super) fn replicas(&self) -> Vec<VmName> {
        let replicas = self.hosts.iter().filter(|(_, host)| host.replica);
        replicas.map(|(vm, _)| vm.clone()).collect()
    }

    /// A daemon without a control replica.
    pub(super) fn entry(&self) -> VmName {
        let mut entries = self.hosts.iter().filter(|(_, host)| !host.replica);
        entries.next().map(|(vm, _)| vm.clone()).unwrap()
    }

    /// Lets time pass until a question is answered.
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

    /// Kills a daemon; of its writes under way some reach the disk.
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

    /// Hands an input to a node and carries out what it puts out.
    pub(super) fn handle(&mut self, vm: &VmName, input: Input) {
        let clocks = Clocks { now: Instant(self.now), wall: UnixMillis(self.now / 1_000) };
        let host = self.hosts.get_mut(vm).unwrap();
        let Some(node) = &mut host.node else { return };
        for output in node.handle(input, clocks) {
            self.execute(vm, output);
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
                self.observed.check_in_force(vm, &active_config)
            }
            Output::Reply(call, answer) => {
                self.observed.check_answer(call, answer, Instant(self.now));
            }
            Output::ConfigFreshness { confirmed: Some(at), .. } => {
                self.observed.check_confirmed(vm, self.version_at(vm), at);
                self.observed.halls.check_confirmed(vm, at);
            }
            Output::HallsOut(halls) => self.observed.halls.check(vm, &halls),
            Output::ConfigRejected { version, reason } => {
                panic!("version {version} is unusable: {reason}")
            }
            Output::ConfigFreshness { .. }
            | Output::SentChange(_)
            | Output::Suspect(_)
            | Output::Suspects { .. }
            | Output::Limit { .. }
            | Output::Backoff { .. }
            | Output::Watch(_)
            | Output::Leader { .. }
            | Output::Dial(_)
            | Output::Registered(_)
            | Output::SaveEndpoints(_)
            | Output::Move { .. } => {}
        }
    }

    /// The time by the clock of every daemon.
    pub(super) fn time(&self) -> Instant {
        Instant(self.now)
    }

    /// How a request stands by what a VM's daemon knows; nothing while it does not run.
    pub(super) fn standing(&self, vm: &VmName, request: &RequestDigest) -> Option<CrashCounts> {
        Some(self.hosts[vm].node.as_ref()?.standing(request))
    }

    /// Whether a VM's daemon runs and may send requests to endpoints.
    pub(super) fn is_serving(&self, vm: &VmName) -> bool {
        self.hosts[vm].node.as_ref().is_some_and(Node::is_fresh)
    }

    /// Asks a node; the answer is checked when it comes.
    pub(super) fn ask(&mut self, vm: &VmName, question: NodeCall) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.handle(vm, Input::Call(call, question));
        call
    }

    /// Submits a file of this version, made from what is in force at the VM.
    pub(super) fn submit(&mut self, vm: &VmName, version: u64, content: &str) {
        let document = Document::parse("f.ini", &file(version, content)).unwrap();
        let active_config = self.hosts[vm].node.as_ref().and_then(Node::active_config);
        let nothing = Document::default();
        let (base_version, base) =
            active_config.map_or((0, &nothing), |f| (f.version, &f.document));
        let command = ConfigChange::new(version, base_version, base, &document);
        let submit = Submit { file: "f.ini".into(), command, or_newer: false };
        self.observed.record_submission(CallId(self.next_call + 1), version);
        self.ask(vm, NodeCall::Submit(submit));
    }

    /// Orders a data hall out of service, or back, at a VM that knows so many orders.
    pub(super) fn order_hall(&mut self, vm: &VmName, hall: &str, out: bool) -> CallId {
        let after = self.observed.halls.known(vm).number;
        let order = HallOrder { hall: hall.into(), out, after };
        let call = CallId(self.next_call + 1);
        self.observed.halls.record_order(call, &order, Instant(self.now));
        self.ask(vm, NodeCall::ChangeHall { order, limit: Duration::from_secs(1) })
    }

    /// Syncs the oldest write of a VM.
    fn sync(&mut self, vm: &VmName) {
        let host = self.hosts.get_mut(vm).unwrap();
        let Some((number, persist)) = host.writes.pop_front() else { return };
        host.disk.write(persist);
        self.handle(vm, Input::Persisted(number));
    }

    /// One step of time: links deliver what they hold, disks sync, nodes tick.
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

    /// Lets time pass without mishaps; what is broken stays so.
    pub(super) fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step(false);
        }
    }

    /// A VM whose replica takes itself for the leader.
    pub(super) fn leader(&self) -> Option<VmName> {
        let leads = |node: &Node| node.control.as_ref().is_some_and(ControlReplica::leads);
        let found = self.hosts.iter().find(|(_, h)| h.node.as_ref().is_some_and(leads));
        found.map(|(vm, _)| vm.clone())
    }

    /// The version in force at a VM, or 0.
    pub(super) fn version_at(&self, vm: &str) -> u64 {
        let node = self.hosts[vm].node.as_ref();
        node.and_then(Node::active_config).map_or(0, |f| f.version)
    }

    /// The state of the control group as a replica sees it.
    pub(super) fn control(&self, vm: &VmName) -> ControlStatus {
        let control = self.hosts[vm].node.as_ref().and_then(|n| n.control.as_ref());
        control.unwrap().status(Instant(self.now))
    }
}
