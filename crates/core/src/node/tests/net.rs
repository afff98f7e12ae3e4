//! Whole nodes over links that break, with crashes, frozen processes, racing operators and
//! lost answers; checks what the outside world sees while it runs.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;

use crate::node::*;
use crate::{
    agreement::Persist,
    config::{Document, EndpointTarget, key_digest},
    once::{Claim, ClaimResult},
    placement::{PrefixHash, Request, Ticket},
    state::ConfigChange,
    testing::{Choices, Disk},
    wire::Submit,
};

const STEP_US: u64 = 20_000;
/// A replica on a VM whose disk was lost has another id than the one before.
const IDS_OF_A_VM: u64 = 100;

/// Which VMs there are.
#[derive(Debug, Clone)]
pub(super) struct Site {
    /// Control replicas; the first three found the group.
    pub(super) replicas: Vec<VmName>,
    /// Daemons without a disk.
    pub(super) entries: Vec<VmName>,
}

impl Site {
    /// Replicas `vm-1` and so on, followed by entries.
    pub(super) fn new(replicas: usize, entries: usize) -> Site {
        let names = |from: usize, to: usize| (from..=to).map(|n| format!("vm-{n}").into());
        Site {
            replicas: names(1, replicas).collect(),
            entries: names(replicas + 1, replicas + entries).collect(),
        }
    }

    fn seeds(&self) -> Vec<VmName> {
        self.replicas.iter().take(3).cloned().collect()
    }
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Link {
    from: VmName,
    to: VmName,
}

pub(super) struct Host {
    pub(super) node: Option<Node>,
    disk: Disk,
    /// Writes that were handed out and are not synced.
    writes: VecDeque<(u64, Persist)>,
    pub(super) frozen: bool,
    incarnation: u64,
    /// Whether it runs a control replica.
    replica: bool,
    /// Whether it was there when the system first started.
    pub(super) founder: bool,
}

/// A version that an operator was told is accepted.
#[derive(Debug, Clone, Copy)]
struct Acknowledged {
    at: Instant,
    version: u64,
}

/// What the outside world has seen.
#[derive(Default)]
pub(super) struct Seen {
    /// Hash of each version that was in force or accepted anywhere.
    hashes: BTreeMap<u64, ContentHash>,
    /// The highest version in force on each VM, over all its runs.
    in_force: BTreeMap<VmName, u64>,
    /// The highest version that any operator was told is accepted.
    pub(super) accepted: u64,
    /// When each of these was told, in the order of time.
    acknowledged: Vec<Acknowledged>,
    /// Owners that were granted each key.
    granted: BTreeMap<u8, BTreeSet<u64>>,
    pub(super) placed: Vec<CallId>,
    pub(super) refused: usize,
}

pub(super) struct Net {
    seeds: Vec<VmName>,
    max_voters: usize,
    pub(super) hosts: BTreeMap<VmName, Host>,
    links: BTreeMap<Link, VecDeque<Body>>,
    now: u64,
    choices: Choices,
    next_call: u64,
    claims: BTreeMap<CallId, (u8, u64)>,
    pub(super) cut: BTreeSet<VmName>,
    pub(super) seen: Seen,
}

fn file(version: u64, content: &str) -> String {
    let digest = key_digest("k");
    format!(
        "[deployment]\nname = {content}\nversion = {version}\n[hall h]\nregion = r\n\
         [tier gold]\nrank = 1\n[kind chat]\n[model m]\nkind = chat\n\
         [workspace w]\ntier = gold\nkey_sha256 = {digest}\n\
         [endpoint e0]\nhall = h\naddress = 127.0.0.1:9000\nmodel = m\nslots = 4\nkv_tokens = 100000\n"
    )
}

pub(super) fn request() -> Request {
    Request {
        ticket: Ticket { entry: 0, number: 0 },
        workspace: "w".into(),
        rank: 1,
        share: 1,
        max_running: 1_000_000,
        max_waiting: 1_000_000,
        kind: "chat".into(),
        target: EndpointTarget::Model("m".into()),
        prompt_tokens: 10,
        prefix: PrefixHash(1),
        max_tokens: 100,
        max_wait: Duration::from_secs(2),
        avoid: None,
    }
}

impl Host {
    fn new(replica: bool, founder: bool) -> Host {
        Host {
            node: None,
            disk: Disk::default(),
            writes: VecDeque::new(),
            frozen: false,
            incarnation: 0,
            replica,
            founder,
        }
    }
}

impl Net {
    pub(super) fn new(site: &Site, seed: u64) -> Net {
        let mut net = Net {
            seeds: site.seeds(),
            max_voters: site.replicas.len(),
            hosts: BTreeMap::new(),
            links: BTreeMap::new(),
            now: 1_000_000,
            choices: Choices::new(seed),
            next_call: 0,
            claims: BTreeMap::new(),
            cut: BTreeSet::new(),
            seen: Seen::default(),
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

    pub(super) fn random(&mut self, below: u64) -> u64 {
        self.choices.below(below)
    }

    fn pick(&mut self) -> VmName {
        let vms = self.vms();
        vms[self.random(vms.len() as u64) as usize].clone()
    }

    pub(super) fn start(&mut self, vm: &VmName) {
        let now = Instant(self.now);
        let seed = self.random(1 << 40);
        let host = &self.hosts[vm];
        let options = NodeOptions {
            vm: vm.clone(),
            seeds: self.seeds.clone(),
            founders: if host.founder { self.seeds.clone() } else { Vec::new() },
            max_voters: self.max_voters,
            endpoint_heartbeat: Duration::from_secs(1),
            timing: NodeTiming::default(),
            seed,
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
        let cut = self.cut.contains(a) != self.cut.contains(b);
        let link = Link { from: a.clone(), to: b.clone() };
        if a == b || !control || cut || !runs(a) || !runs(b) || self.links.contains_key(&link) {
            return;
        }
        self.links.insert(link.clone(), VecDeque::new());
        self.links.insert(Link { from: b.clone(), to: a.clone() }, VecDeque::new());
        self.handle(a, Input::LinkUp(b.clone()));
        self.handle(b, Input::LinkUp(a.clone()));
    }

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
    pub(super) fn wipe(&mut self, vm: &VmName) {
        self.crash(vm);
        let host = self.hosts.get_mut(vm).unwrap();
        host.disk = Disk::default();
        host.incarnation += 1;
        host.founder = false;
    }

    /// Takes a VM away for good; another one comes in its place.
    pub(super) fn replace(&mut self, vm: &VmName) -> VmName {
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

    pub(super) fn crash(&mut self, vm: &VmName) {
        let writes = self.hosts[vm].writes.len() as u64;
        let written = self.random(writes + 1) as usize;
        let host = self.hosts.get_mut(vm).unwrap();
        for (_, persist) in host.writes.drain(..).take(written) {
            host.disk.write(persist);
        }
        host.node = None;
        host.writes.clear();
        host.frozen = false;
        self.isolate(vm);
    }

    pub(super) fn handle(&mut self, vm: &VmName, input: Input) {
        let clocks = Clocks { now: Instant(self.now), wall: UnixMillis(self.now / 1_000) };
        let host = self.hosts.get_mut(vm).unwrap();
        let Some(node) = &mut host.node else { return };
        for output in node.handle(input, clocks) {
            self.carry_out(vm, output);
        }
    }

    fn carry_out(&mut self, vm: &VmName, output: Output) {
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
            Output::InForce(in_force) => {
                let known = self.seen.hashes.entry(in_force.version).or_insert(in_force.hash);
                assert_eq!(*known, in_force.hash, "two files in force as one version");
                let highest = self.seen.in_force.entry(vm.clone()).or_default();
                assert!(*highest <= in_force.version, "the configuration in force reverted");
                *highest = in_force.version;
            }
            Output::Answer(call, answer) => self.answered(call, answer),
            Output::Fresh { confirmed: Some(at), .. } => self.check_confirmed(vm, at),
            Output::Fresh { .. }
            | Output::Watch(_)
            | Output::Leader { .. }
            | Output::Dial(_)
            | Output::Registered(_)
            | Output::Move { .. } => {}
        }
    }

    /// What a daemon takes for confirmed covers all that was accepted before it asked; the
    /// daemon may have been frozen or cut off since.
    fn check_confirmed(&self, vm: &VmName, at: Instant) {
        let in_force = self.version_at(vm);
        let before = self.seen.acknowledged.iter().take_while(|told| told.at < at);
        let newest = before.map(|told| told.version).max().unwrap_or_default();
        assert!(newest <= in_force, "{vm} has {in_force} confirmed after {newest} was accepted");
    }

    fn answered(&mut self, call: CallId, answer: Answer) {
        match answer {
            Answer::Submitted(Ok(accepted)) => {
                let hash = ContentHash::from_slice(&accepted.hash).unwrap();
                let known = self.seen.hashes.entry(accepted.version).or_insert(hash);
                assert_eq!(*known, hash, "two files accepted as one version");
                self.seen.accepted = self.seen.accepted.max(accepted.current);
                let told = Acknowledged { at: Instant(self.now), version: accepted.current };
                self.seen.acknowledged.push(told);
            }
            Answer::Submitted(Err(_)) => self.seen.refused += 1,
            Answer::Claimed(Some(ClaimResult::Granted)) => {
                let (key, owner) = self.claims[&call];
                let owners = self.seen.granted.entry(key).or_default();
                owners.insert(owner);
                assert!(owners.len() <= 1, "a claim was granted to two owners");
            }
            Answer::Placed(Ok(_)) => self.seen.placed.push(call),
            _ => {}
        }
    }

    pub(super) fn ask(&mut self, vm: &VmName, question: Question) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.handle(vm, Input::Ask(call, question));
        call
    }

    pub(super) fn submit(&mut self, vm: &VmName, version: u64, content: &str) {
        let document = Document::parse("f.ini", &file(version, content)).unwrap();
        let in_force = self.hosts[vm].node.as_ref().and_then(Node::in_force);
        let nothing = Document::default();
        let (base_version, base) = in_force.map_or((0, &nothing), |f| (f.version, &f.document));
        let command = ConfigChange::new(version, base_version, base, &document);
        let submit = Submit { file: "f.ini".into(), command, or_newer: false };
        self.ask(vm, Question::Submit(submit));
    }

    fn claim(&mut self, vm: &VmName, key: u8) {
        let owner = self.random(1 << 40);
        let claim = Claim {
            key: Bytes::copy_from_slice(&[key; 32]),
            body: Bytes::copy_from_slice(&[1; 32]),
            owner: Bytes::copy_from_slice(&owner.to_be_bytes()),
            timeout_ms: 1_000,
            made_ms: None,
        };
        let call = CallId(self.next_call + 1);
        self.claims.insert(call, (key, owner));
        self.ask(vm, Question::Claim { claim, limit: Duration::from_secs(2) });
    }

    fn sync(&mut self, vm: &VmName) {
        let host = self.hosts.get_mut(vm).unwrap();
        let Some((number, persist)) = host.writes.pop_front() else { return };
        host.disk.write(persist);
        self.handle(vm, Input::Persisted(number));
    }

    /// One step of time: links deliver what they hold, disks sync, nodes tick.
    pub(super) fn step(&mut self, mishaps: bool) {
        self.now += STEP_US;
        let links: Vec<Link> = self.links.keys().cloned().collect();
        for link in links {
            if self.hosts[&link.to].frozen || (mishaps && self.random(3) == 0) {
                continue;
            }
            let queue = self.links.get_mut(&link).map(std::mem::take).unwrap_or_default();
            for body in queue {
                self.handle(&link.to, Input::Message(link.from.clone(), body));
            }
        }
        for vm in self.vms() {
            if self.hosts[&vm].frozen {
                continue;
            }
            if !mishaps || self.random(3) != 0 {
                self.sync(&vm);
            }
            self.handle(&vm, Input::Tick);
        }
    }

    pub(super) fn mishap(&mut self) {
        let vm = self.pick();
        let other = self.pick();
        match self.random(12) {
            0 => self.crash(&vm),
            1..=3 if self.hosts[&vm].node.is_none() => self.start(&vm),
            4 => self.disconnect(&vm, &other),
            5..=6 => self.connect(&vm, &other),
            7 => {
                self.cut.insert(vm.clone());
                self.isolate(&vm);
            }
            8 => self.cut.clear(),
            9 => self.hosts.get_mut(&vm).unwrap().frozen ^= true,
            10 => self.handle(&vm, Input::Stop),
            _ => {}
        }
    }

    pub(super) fn traffic(&mut self) {
        let vm = self.pick();
        match self.random(4) {
            0 => {
                let version = 1 + self.random(8);
                let content = ["a", "b"][self.random(2) as usize];
                self.submit(&vm, version, content);
            }
            1 => {
                let key = self.random(5) as u8;
                self.claim(&vm, key);
            }
            2 => {
                self.ask(&vm, Question::Place(request()));
            }
            _ => {
                if let Some(call) = self.seen.placed.pop() {
                    self.handle(&vm, Input::Finished { call, tokens: 5, whole: true });
                }
            }
        }
    }

    /// Ends all mishaps and lets time pass.
    pub(super) fn calm(&mut self, steps: usize) {
        self.cut.clear();
        for vm in self.vms() {
            self.hosts.get_mut(&vm).unwrap().frozen = false;
            if self.hosts[&vm].node.is_none() {
                self.start(&vm);
            }
        }
        for a in self.vms() {
            for b in self.vms() {
                self.connect(&a, &b);
            }
        }
        for _ in 0..steps {
            self.step(false);
        }
    }

    pub(super) fn leader(&self) -> Option<VmName> {
        let leads = |node: &Node| node.control.as_ref().is_some_and(Control::leads);
        let found = self.hosts.iter().find(|(_, h)| h.node.as_ref().is_some_and(leads));
        found.map(|(vm, _)| vm.clone())
    }

    pub(super) fn version_at(&self, vm: &str) -> u64 {
        let node = self.hosts[vm].node.as_ref();
        node.and_then(Node::in_force).map_or(0, |f| f.version)
    }

    pub(super) fn control(&self, vm: &VmName) -> ControlStatus {
        let control = self.hosts[vm].node.as_ref().and_then(|n| n.control.as_ref());
        control.unwrap().status(Instant(self.now))
    }
}
