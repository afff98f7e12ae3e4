//! Properties of whole nodes: five daemons, three of them control replicas, over links
//! that break, with crashes, frozen processes, racing operators and lost answers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use googletest::prelude::*;
use proptest::prelude::*;

use super::*;
use crate::{
    agreement::Persist,
    config::{Document, EndpointTarget, key_digest},
    once::{Claim, ClaimResult},
    placement::{PrefixHash, Request, Ticket},
    state::ConfigChange,
    testing::{Choices, Disk},
    wire::Submit,
};

const REPLICAS: [&str; 3] = ["vm-1", "vm-2", "vm-3"];
const DAEMONS: [&str; 5] = ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5"];
const STEP_US: u64 = 20_000;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Link {
    from: VmName,
    to: VmName,
}

struct Host {
    node: Option<Node>,
    disk: Disk,
    /// Writes that were handed out and are not synced.
    writes: VecDeque<(u64, Persist)>,
    frozen: bool,
    incarnation: u64,
}

/// What the outside world has seen.
#[derive(Default)]
struct Seen {
    /// Hash of each version that was in force or accepted anywhere.
    hashes: BTreeMap<u64, ContentHash>,
    /// The highest version in force on each VM, over all its runs.
    in_force: BTreeMap<VmName, u64>,
    /// The highest version that any operator was told is accepted.
    accepted: u64,
    /// Owners that were granted each key.
    granted: BTreeMap<u8, BTreeSet<u64>>,
    placed: Vec<CallId>,
    refused: usize,
}

struct Net {
    hosts: BTreeMap<VmName, Host>,
    links: BTreeMap<Link, VecDeque<Body>>,
    now: u64,
    choices: Choices,
    next_call: u64,
    claims: BTreeMap<CallId, (u8, u64)>,
    cut: BTreeSet<VmName>,
    seen: Seen,
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

fn request() -> Request {
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

impl Net {
    fn new(seed: u64) -> Net {
        let mut net = Net {
            hosts: BTreeMap::new(),
            links: BTreeMap::new(),
            now: 1_000_000,
            choices: Choices::new(seed),
            next_call: 0,
            claims: BTreeMap::new(),
            cut: BTreeSet::new(),
            seen: Seen::default(),
        };
        for vm in DAEMONS {
            let host = Host {
                node: None,
                disk: Disk::default(),
                writes: VecDeque::new(),
                frozen: false,
                incarnation: 0,
            };
            net.hosts.insert(vm.into(), host);
        }
        for vm in DAEMONS {
            net.start(&vm.into());
        }
        net
    }

    fn random(&mut self, below: u64) -> u64 {
        self.choices.below(below)
    }

    fn pick(&mut self) -> VmName {
        DAEMONS[self.random(DAEMONS.len() as u64) as usize].into()
    }

    fn start(&mut self, vm: &VmName) {
        let now = Instant(self.now);
        let seed = self.random(1 << 40);
        let options = NodeOptions {
            vm: vm.clone(),
            seeds: REPLICAS.map(VmName::from).to_vec(),
            founders: REPLICAS.map(VmName::from).to_vec(),
            max_voters: REPLICAS.len(),
            endpoint_heartbeat: Duration::from_secs(1),
            timing: NodeTiming::default(),
            seed,
        };
        let host = self.hosts.get_mut(vm).unwrap();
        host.node = Some(if REPLICAS.contains(&&**vm) {
            let number: u64 = vm[3..].parse().unwrap();
            let id = number + 10 * host.incarnation;
            Node::replica(&options, id, host.disk.restored.clone(), now)
        } else {
            Node::entry(&options, now)
        });
        self.handle(vm, Input::Tick);
        for peer in DAEMONS {
            self.connect(vm, &peer.into());
        }
    }

    /// Links a pair, if both run and one of them is a control replica.
    fn connect(&mut self, a: &VmName, b: &VmName) {
        let runs = |vm: &VmName| self.hosts[vm].node.is_some();
        let control = REPLICAS.contains(&&**a) || REPLICAS.contains(&&**b);
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

    fn disconnect(&mut self, a: &VmName, b: &VmName) {
        let known = self.links.remove(&Link { from: a.clone(), to: b.clone() }).is_some();
        self.links.remove(&Link { from: b.clone(), to: a.clone() });
        if known {
            self.handle(a, Input::LinkDown(b.clone()));
            self.handle(b, Input::LinkDown(a.clone()));
        }
    }

    fn crash(&mut self, vm: &VmName) {
        let writes = self.hosts[vm].writes.len() as u64;
        let written = self.random(writes + 1) as usize;
        let host = self.hosts.get_mut(vm).unwrap();
        for (_, persist) in host.writes.drain(..).take(written) {
            host.disk.write(persist);
        }
        host.node = None;
        host.writes.clear();
        host.frozen = false;
        for peer in DAEMONS {
            self.disconnect(vm, &peer.into());
        }
    }

    fn handle(&mut self, vm: &VmName, input: Input) {
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
            Output::Fresh { .. }
            | Output::Watch(_)
            | Output::Leader { .. }
            | Output::Dial(_)
            | Output::Registered(_)
            | Output::Move { .. } => {}
        }
    }

    fn answered(&mut self, call: CallId, answer: Answer) {
        match answer {
            Answer::Submitted(Ok(accepted)) => {
                let hash = ContentHash::from_slice(&accepted.hash).unwrap();
                let known = self.seen.hashes.entry(accepted.version).or_insert(hash);
                assert_eq!(*known, hash, "two files accepted as one version");
                self.seen.accepted = self.seen.accepted.max(accepted.current);
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

    fn ask(&mut self, vm: &VmName, question: Question) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.handle(vm, Input::Ask(call, question));
        call
    }

    fn submit(&mut self, vm: &VmName, version: u64, content: &str) {
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
    fn step(&mut self, mishaps: bool) {
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
        for vm in DAEMONS.map(VmName::from) {
            if self.hosts[&vm].frozen {
                continue;
            }
            if !mishaps || self.random(3) != 0 {
                self.sync(&vm);
            }
            self.handle(&vm, Input::Tick);
        }
    }

    fn mishap(&mut self) {
        let vm = self.pick();
        let other = self.pick();
        match self.random(12) {
            0 => self.crash(&vm),
            1..=3 if self.hosts[&vm].node.is_none() => self.start(&vm),
            4 => self.disconnect(&vm, &other),
            5..=6 => self.connect(&vm, &other),
            7 => {
                self.cut.insert(vm.clone());
                for peer in DAEMONS {
                    self.disconnect(&vm, &peer.into());
                }
            }
            8 => self.cut.clear(),
            9 => self.hosts.get_mut(&vm).unwrap().frozen ^= true,
            10 => self.handle(&vm, Input::Stop),
            _ => {}
        }
    }

    fn traffic(&mut self) {
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
    fn calm(&mut self, steps: usize) {
        self.cut.clear();
        for vm in DAEMONS.map(VmName::from) {
            self.hosts.get_mut(&vm).unwrap().frozen = false;
            if self.hosts[&vm].node.is_none() {
                self.start(&vm);
            }
        }
        for a in DAEMONS {
            for b in DAEMONS {
                self.connect(&a.into(), &b.into());
            }
        }
        for _ in 0..steps {
            self.step(false);
        }
    }

    fn leader(&self) -> Option<VmName> {
        let leads = |node: &Node| node.control.as_ref().is_some_and(Control::leads);
        let found = self.hosts.iter().find(|(_, h)| h.node.as_ref().is_some_and(leads));
        found.map(|(vm, _)| vm.clone())
    }

    fn version_at(&self, vm: &str) -> u64 {
        let node = self.hosts[vm].node.as_ref();
        node.and_then(Node::in_force).map_or(0, |f| f.version)
    }

    fn control(&self, vm: &VmName) -> ControlStatus {
        let control = self.hosts[vm].node.as_ref().and_then(|n| n.control.as_ref());
        control.unwrap().status(Instant(self.now))
    }
}

#[gtest]
fn an_accepted_file_is_in_force_everywhere() {
    let mut net = Net::new(1);
    net.calm(100);

    net.submit(&"vm-4".into(), 3, "a");
    net.calm(20);

    for vm in DAEMONS {
        expect_that!(net.version_at(vm), eq(3), "{vm}");
        expect_that!(net.hosts[vm].node.as_ref().unwrap().is_fresh(), eq(true), "{vm}");
    }
    expect_that!(net.seen.accepted, eq(3));
}

#[gtest]
fn a_cut_off_leader_vouches_for_nothing_and_a_restarted_daemon_does_not_revert() {
    let mut net = Net::new(3);
    net.calm(100);
    net.submit(&"vm-4".into(), 1, "a");
    net.calm(20);
    let old = net.leader().unwrap();
    // The old leader and one daemon are cut off together; the rest go on.
    net.crash(&"vm-5".into());
    net.cut = BTreeSet::from([old.clone(), "vm-5".into()]);
    for peer in DAEMONS {
        net.disconnect(&old, &peer.into());
    }
    for _ in 0..100 {
        net.step(false);
    }
    net.submit(&"vm-4".into(), 2, "b");
    net.start(&"vm-5".into());
    for _ in 0..200 {
        net.step(false);
    }

    expect_that!(net.version_at("vm-4"), eq(2));
    expect_that!(net.version_at("vm-5"), eq(0));
    let node = net.hosts[&old].node.as_ref().unwrap();
    expect_that!(node.is_fresh(), eq(false));
    net.calm(200);
    expect_that!(net.version_at("vm-5"), eq(2));
}

#[gtest]
fn a_wiped_disk_is_repaired_before_the_next_loss() {
    let mut net = Net::new(5);
    net.calm(100);
    net.submit(&"vm-4".into(), 1, "a");
    net.calm(20);
    net.crash(&"vm-2".into());
    let host = net.hosts.get_mut("vm-2").unwrap();
    host.disk = Disk::default();
    host.incarnation = 1;
    net.step(false);
    expect_that!(net.control(&net.leader().unwrap()).survives_next_loss, eq(false));

    net.calm(300);

    let status = net.control(&net.leader().unwrap());
    expect_that!(status.survives_next_loss, eq(true));
    expect_that!(status.replicas.iter().filter(|r| r.voter).count(), eq(3));
    // The next loss: the accepted version is still there, and another is accepted.
    net.crash(&"vm-1".into());
    for _ in 0..150 {
        net.step(false);
    }
    net.submit(&"vm-4".into(), 2, "b");
    for _ in 0..50 {
        net.step(false);
    }
    expect_that!(net.version_at("vm-5"), eq(2));
}

#[gtest]
fn requests_are_placed_without_any_leader_within_this_daemons_share() {
    let mut net = Net::new(7);
    net.calm(100);
    net.submit(&"vm-4".into(), 1, "a");
    net.calm(60);
    for vm in REPLICAS {
        net.crash(&vm.into());
    }
    for _ in 0..100 {
        net.step(false);
    }
    for _ in 0..4 {
        net.ask(&"vm-4".into(), Question::Place(request()));
    }
    net.step(false);

    // Four slots between five daemons are one for each.
    expect_that!(net.seen.placed.len(), eq(1));
}

#[gtest]
fn a_frozen_leader_does_not_hold_requests_up() {
    let mut net = Net::new(9);
    net.calm(100);
    net.submit(&"vm-4".into(), 1, "a");
    net.calm(60);
    let leader = net.leader().unwrap();
    net.hosts.get_mut(&leader).unwrap().frozen = true;
    let asker: VmName = if *leader == *"vm-4" { "vm-5".into() } else { "vm-4".into() };

    net.ask(&asker, Question::Place(request()));
    for _ in 0..100 {
        net.step(false);
    }

    expect_that!(net.seen.placed.len(), eq(1));
}

proptest! {
    #![proptest_config(crate::testing::fixed_seed(60))]

    #[test]
    fn configurations_never_revert_and_claims_are_granted_once(seed in any::<u64>()) {
        let mut net = Net::new(seed);
        net.calm(60);
        for _ in 0..400 {
            net.step(true);
            if net.random(6) == 0 {
                net.mishap();
            }
            net.traffic();
        }
        net.calm(400);
        let last = net.seen.accepted;
        prop_assert!(0 < last, "nothing was accepted");
        let versions: BTreeSet<u64> = DAEMONS.iter().map(|vm| net.version_at(vm)).collect();
        prop_assert_eq!(versions.len(), 1, "daemons differ");
        prop_assert!(versions.iter().all(|version| last <= *version));
        prop_assert!(net.hosts.values().all(|h| h.node.as_ref().unwrap().is_fresh()));
    }
}
