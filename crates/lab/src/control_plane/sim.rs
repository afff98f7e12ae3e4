//! The event loop: daemons, links, endpoints and requests.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
    time::Duration,
};

use trayswitch_core::{
    agreement::{Persist, Restored, Timing},
    mechanism::Disabled,
    node::{CallId, Input, Node, NodeCall, NodeOptions, NodeReply, NodeTiming, Output, VmName},
    registry::EndpointChanges,
    units::Instant,
    wire::Body,
};

use super::{
    ControlPlaneOptions, Phase, PhaseReport, RoleCosts, Spread,
    costs::Counters,
    endpoints::{EndpointSet, HALLS},
    host::{Host, message_bytes},
    load::{self, Generation},
    memory::{MemoryUse, bytes_owned},
    network::Network,
};

/// Duration of a disk sync on a control VM, in microseconds.
const SYNC_US: u64 = 2_000;
/// Time to connect and authenticate a link, in microseconds.
const LINK_SETUP_US: u64 = 10_000;
/// Daemons start within this time, in microseconds.
const STAGGER_US: u64 = 300_000;
/// Time between an endpoint's notice and its deregistration, in microseconds.
const NOTICE_US: u64 = 4_000_000;
/// Time for which a lost leader is down, in microseconds.
const LEADER_DOWN_US: u64 = 3_500_000;
/// Time after which a broken connection is noticed, in microseconds.
const RESET_US: u64 = 2_000;
/// Endpoints whose notice is timed.
const WATCHED: usize = 16;
/// Control VMs that the settings name.
const SEEDS: usize = 3;
/// Replicas that vote.
const VOTERS: usize = 5;
/// Intervals and timeouts as on the users' platform.
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
    /// A daemon starts.
    Start(usize),
    /// An input reaches a daemon.
    Arrives(usize, Box<Input>),
    /// A daemon may process its next input, or its timer is due.
    Runs(usize),
    /// A daemon's connection to a control VM is established.
    Links(usize, usize),
    /// An endpoint starts or sends its next heartbeat.
    Heartbeat(usize),
    /// An endpoint deregisters.
    Deregisters(usize),
    /// The next request comes.
    Request,
    /// A placed generation has made some tokens or ends.
    Progress(usize, CallId),
    /// A configuration is submitted.
    Submit,
}

/// What is measured in a phase.
#[derive(Debug, Default)]
struct Measured {
    grants: Vec<u64>,
    changes: Vec<u64>,
    notices: Vec<u64>,
    leaders: Vec<u64>,
}

pub(super) struct Sim<'a> {
    options: &'a ControlPlaneOptions,
    rng: fastrand::Rng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    bodies: HashMap<u64, Event>,
    next_event: u64,
    hosts: Vec<Host>,
    names: Vec<VmName>,
    by_name: HashMap<VmName, usize>,
    network: Network,
    links: BTreeSet<(usize, usize)>,
    disks: BTreeMap<usize, Restored>,
    endpoints: EndpointSet,
    /// Endpoints whose notice is timed.
    watched: Vec<usize>,
    watched_names: HashMap<String, usize>,
    /// Entries that list each watched endpoint as available.
    listed: Vec<BTreeSet<usize>>,
    generations: HashMap<(usize, CallId), Generation>,
    next_call: u64,
    version: u64,
    accepted: BTreeMap<u64, u64>,
    /// Versions that each host has not activated yet.
    pending_changes: BTreeMap<u64, BTreeSet<usize>>,
    leader: Option<usize>,
    leader_lost_at: Option<u64>,
    without_leader: BTreeSet<usize>,
    measured: Measured,
}

impl<'a> Sim<'a> {
    pub(super) fn new(options: &'a ControlPlaneOptions) -> Sim<'a> {
        let hosts = options.control + options.entries;
        let name =
            |n: usize| -> VmName { format!("10.{}.{}.{}", n % HALLS + 1, n / 250, n % 250).into() };
        let names: Vec<VmName> = (0..hosts).map(name).collect();
        let by_name = names.iter().cloned().zip(0..).collect();
        let mut sim = Sim {
            options,
            rng: fastrand::Rng::with_seed(options.seed),
            now: 0,
            events: BinaryHeap::new(),
            bodies: HashMap::new(),
            next_event: 0,
            hosts: Vec::new(),
            names,
            by_name,
            network: Network::new(),
            links: BTreeSet::new(),
            disks: BTreeMap::new(),
            endpoints: EndpointSet::new(options),
            watched: Vec::new(),
            watched_names: HashMap::new(),
            listed: vec![BTreeSet::new(); WATCHED],
            generations: HashMap::new(),
            next_call: 0,
            version: 0,
            accepted: BTreeMap::new(),
            pending_changes: BTreeMap::new(),
            leader: None,
            leader_lost_at: None,
            without_leader: BTreeSet::new(),
            measured: Measured::default(),
        };
        for n in 0..hosts {
            let is_control = n < options.control;
            let node = sim.new_node(n, is_control);
            sim.hosts.push(Host::new(node, is_control, n % HALLS));
            sim.network.add(is_control);
            let at = sim.rng.u64(..STAGGER_US);
            sim.schedule(at, Event::Start(n));
        }
        let count = sim.endpoints.endpoints.len();
        sim.watched = (0..WATCHED).map(|k| k * count / WATCHED).collect();
        let name = |n: &usize| sim.endpoints.endpoints[*n].record.id.clone();
        sim.watched_names = sim.watched.iter().map(name).zip(0..).collect();
        for n in 0..count {
            let at = STAGGER_US + options.start.as_micros() as u64 * n as u64 / count as u64;
            sim.schedule(at, Event::Heartbeat(n));
        }
        sim.schedule(1_500_000, Event::Submit);
        sim
    }

    fn new_node(&self, n: usize, is_control: bool) -> Node {
        let seeds: Vec<VmName> = self.names[..SEEDS.min(self.options.control)].to_vec();
        let options = NodeOptions {
            vm: self.names[n].clone(),
            hall: format!("hall-{}", n % HALLS),
            founders: if is_control { seeds.clone() } else { Vec::new() },
            seeds,
            max_voters: VOTERS,
            takes_callers: !is_control,
            polls_loads: false,
            endpoint_heartbeat: self.options.heartbeat,
            timing: TIMING,
            seed: self.options.seed.wrapping_add(n as u64 * 7_919),
            disabled: Disabled::default(),
        };
        let now = Instant(self.now);
        if is_control {
            let restored = self.disks.get(&n).cloned().unwrap_or_default();
            Node::replica(&options, n as u64 + 1, restored, now)
        } else {
            Node::entry(&options, now)
        }
    }

    /// Plays one phase.
    pub(super) fn play(&mut self, phase: Phase) -> PhaseReport {
        let begin = self.now;
        let length = match phase {
            Phase::Start => self.options.start + Duration::from_secs(1),
            _ => self.options.phase,
        };
        self.measured = Measured::default();
        self.hosts.iter_mut().for_each(|host| host.counters = Counters::default());
        match phase {
            Phase::Start => {}
            Phase::Steady => self.schedule(self.now, Event::Request),
            Phase::Changes => {
                for n in 0..length.as_secs().saturating_sub(1) {
                    self.schedule(self.now + n * 1_000_000, Event::Submit);
                }
            }
            Phase::Replacement => self.replace_endpoints(length),
            Phase::LeaderLoss => self.lose_leader(),
        }
        self.run_until(begin + length.as_micros() as u64);
        self.report(phase, length)
    }

    fn report(&mut self, phase: Phase, length: Duration) -> PhaseReport {
        let role = |host: &Host, n: usize| match (host.is_control, self.leader == Some(n)) {
            (true, true) => 0,
            (true, false) => 1,
            (false, _) => 2,
        };
        let mut sums =
            [(0, Counters::default()), (0, Counters::default()), (0, Counters::default())];
        for (n, host) in self.hosts.iter().enumerate() {
            let (count, counters) = &mut sums[role(host, n)];
            *count += 1;
            counters.add(&host.counters);
        }
        let names = ["leader", "control", "entry"];
        let roles = names.into_iter().zip(&sums);
        let roles =
            roles.map(|(name, (count, sum))| RoleCosts::of(name, *count, sum, length)).collect();
        let measured = std::mem::take(&mut self.measured);
        let unchanged = self.pending_changes.values().map(BTreeSet::len).sum();
        let unnoticed = if phase == Phase::Replacement {
            self.listed.iter().map(BTreeSet::len).sum()
        } else {
            0
        };
        PhaseReport {
            phase,
            seconds: length.as_secs_f64(),
            roles,
            grants: Spread::of(measured.grants, 0),
            changes: Spread::of(measured.changes, unchanged),
            notices: Spread::of(measured.notices, unnoticed),
            leaders: Spread::of(measured.leaders, self.without_leader.len()),
        }
    }

    /// Frees one daemon of each role and measures what it held.
    pub(super) fn measure_memory(&mut self) -> MemoryUse {
        let entry = self.options.control;
        let control = (0..entry).find(|n| self.leader != Some(*n));
        let mut owned = |n: Option<usize>| n.map_or(0, |n| bytes_owned(self.hosts[n].node.take()));
        MemoryUse { leader: owned(self.leader), control: owned(control), entry: owned(Some(entry)) }
    }

    fn run_until(&mut self, until: u64) {
        while let Some(Reverse((at, id))) = self.events.peek().copied().filter(|e| e.0.0 <= until) {
            self.events.pop();
            self.now = at;
            if let Some(event) = self.bodies.remove(&id) {
                self.on_event(event);
            }
        }
        self.now = until;
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Start(n) => {
                if self.hosts[n].node.is_none() {
                    self.hosts[n].node = Some(self.new_node(n, true));
                }
                let seeds = self.names[..SEEDS.min(self.options.control)].to_vec();
                self.dial(n, &seeds);
                self.process(n);
            }
            Event::Arrives(n, input) => {
                self.hosts[n].waiting.push_back(*input);
                self.process(n);
            }
            Event::Runs(n) => {
                if self.hosts[n].scheduled == Some(self.now) {
                    self.hosts[n].scheduled = None;
                    self.process(n);
                }
            }
            Event::Links(from, to) => self.link(from, to),
            Event::Heartbeat(n) => self.heartbeat(n),
            Event::Deregisters(n) => self.deregister(n),
            Event::Request => self.request(),
            Event::Progress(n, call) => self.progress(n, call),
            Event::Submit => self.submit(),
        }
    }

    /// Processes the next input of a daemon unless its thread is busy.
    fn process(&mut self, n: usize) {
        let host = &mut self.hosts[n];
        let Some(node) = &host.node else { return };
        if host.busy_until <= self.now {
            let is_due = node.next_tick().0 <= self.now;
            if let Some(input) = host.waiting.pop_front().or(is_due.then_some(Input::Tick)) {
                let outputs = host.handle(input, self.now);
                let done = host.busy_until;
                for output in outputs {
                    self.carry_out(n, output, done);
                }
            }
        }
        let host = &mut self.hosts[n];
        let Some(node) = &host.node else { return };
        let next = if host.waiting.is_empty() { node.next_tick().0 } else { 0 };
        let next = next.max(host.busy_until).max(self.now + 1);
        if host.scheduled.is_none_or(|at| next < at) {
            host.scheduled = Some(next);
            self.schedule(next, Event::Runs(n));
        }
    }

    fn carry_out(&mut self, n: usize, output: Output, at: u64) {
        match output {
            Output::Send(to, body) => self.send(n, &to, body, at),
            Output::Persist(number, persist) => {
                self.persist(n, persist);
                self.schedule(at + SYNC_US, Event::Arrives(n, Box::new(Input::Persisted(number))));
            }
            Output::Dial(vms) => self.dial(n, &vms),
            Output::Reply(call, NodeReply::Placed(result)) => {
                self.placed(n, call, result.is_ok(), at)
            }
            Output::Reply(_, NodeReply::Submitted(Ok(accepted))) => {
                self.accepted.insert(accepted.version, at);
            }
            Output::ConfigActivated(active_config) => self.activated(n, active_config.version, at),
            Output::Registered(EndpointChanges { changed, removed })
                if !self.hosts[n].is_control =>
            {
                let changed = changed.into_iter().map(|endpoint| (endpoint.id, endpoint.available));
                for (id, is_available) in changed.chain(removed.into_iter().map(|id| (id, false))) {
                    if let Some(k) = self.watched_names.get(&*id) {
                        self.set_listed(*k, n, is_available, at);
                    }
                }
            }
            Output::Leader { vm: Some(vm), .. } => self.leader_known(n, &vm, at),
            Output::Move { call, to, .. } => {
                let moved = Input::Moved { call, at: to, done: true };
                self.schedule(at + load::MOVE_US, Event::Arrives(n, Box::new(moved)));
            }
            _ => {}
        }
    }

    fn persist(&mut self, n: usize, persist: Persist) {
        let disk = self.disks.entry(n).or_default();
        if let Some(snapshot) = persist.snapshot {
            disk.entries.clear();
            disk.snapshot = Some(snapshot);
        }
        if let Some(hard_state) = persist.hard_state {
            disk.hard_state = hard_state;
        }
        for entry in persist.entries {
            disk.entries.retain(|other| other.index < entry.index);
            disk.entries.push(entry);
        }
    }

    fn send(&mut self, from: usize, to: &VmName, body: Body, at: u64) {
        let Some(to) = self.by_name.get(to).copied() else { return };
        if from != to && !self.links.contains(&(from.min(to), from.max(to))) {
            return;
        }
        let halls = (self.hosts[from].hall, self.hosts[to].hall);
        let arrives = self.network.send(from, to, halls, message_bytes(&body), at);
        let input = Input::Message(self.names[from].clone(), body);
        self.schedule(arrives, Event::Arrives(to, Box::new(input)));
    }

    /// Keeps links to these control VMs, and to no others.
    fn dial(&mut self, n: usize, vms: &[VmName]) {
        let wanted = vms.iter().filter_map(|vm| self.by_name.get(vm).copied());
        let wanted: BTreeSet<usize> = wanted.filter(|to| *to != n).collect();
        let before = std::mem::replace(&mut self.hosts[n].dialed, wanted.clone());
        for to in before.difference(&wanted) {
            let is_dialed_back = self.hosts[*to].dialed.contains(&n);
            if !is_dialed_back && self.links.remove(&(n.min(*to), n.max(*to))) {
                for (host, peer) in [(n, *to), (*to, n)] {
                    let down = Input::LinkDown(self.names[peer].clone());
                    self.schedule(self.now, Event::Arrives(host, Box::new(down)));
                }
            }
        }
        for to in wanted.difference(&before) {
            self.schedule(self.now + LINK_SETUP_US, Event::Links(n, *to));
        }
    }

    fn link(&mut self, from: usize, to: usize) {
        let is_up = |n: usize| self.hosts[n].node.is_some();
        if !self.hosts[from].dialed.contains(&to) {
            return;
        }
        if is_up(from) && !is_up(to) {
            // The peer does not run; dial again.
            return self.schedule(self.now + 150_000, Event::Links(from, to));
        }
        if is_up(from) && is_up(to) && self.links.insert((from.min(to), from.max(to))) {
            for (n, peer) in [(from, to), (to, from)] {
                let up = Input::LinkUp(self.names[peer].clone());
                self.schedule(self.now, Event::Arrives(n, Box::new(up)));
            }
        }
    }

    fn heartbeat(&mut self, n: usize) {
        let endpoint = &mut self.endpoints.endpoints[n];
        if endpoint.gone {
            return;
        }
        endpoint.record.sequence += 1;
        let record = endpoint.record.clone();
        let to = self.any_control();
        self.schedule(self.now + 1_000, Event::Arrives(to, Box::new(Input::Heartbeat(record))));
        self.schedule(self.now + self.options.heartbeat.as_micros() as u64, Event::Heartbeat(n));
    }

    fn deregister(&mut self, n: usize) {
        let endpoint = &mut self.endpoints.endpoints[n];
        endpoint.gone = true;
        let id = endpoint.record.id.as_str().into();
        let to = self.any_control();
        self.schedule(self.now, Event::Arrives(to, Box::new(Input::EndpointDeregistered(id))));
    }

    fn any_control(&mut self) -> usize {
        let up: Vec<usize> =
            (0..self.options.control).filter(|n| self.hosts[*n].node.is_some()).collect();
        up[self.rng.usize(..up.len())]
    }

    /// Schedules the replacement of a share of the endpoints over the first half of the phase.
    fn replace_endpoints(&mut self, length: Duration) {
        let count = self.endpoints.endpoints.len();
        let mut chosen: Vec<usize> = (0..count).filter(|n| !self.watched.contains(n)).collect();
        self.rng.shuffle(&mut chosen);
        chosen.truncate((count as f64 * self.options.replaced) as usize);
        chosen.extend(&self.watched);
        let count = chosen.len();
        let span = length.as_micros() as u64 / 2;
        for (i, n) in chosen.into_iter().enumerate() {
            let at = self.now + span * i as u64 / count as u64;
            let service = self.endpoints.endpoints[n].record.service.clone();
            let new = self.endpoints.start(&service);
            self.schedule(at, Event::Heartbeat(new));
            let endpoint = &mut self.endpoints.endpoints[n];
            endpoint.record.leaving = true;
            endpoint.leaving_since = Some(at);
            let record = endpoint.record.clone();
            let to = self.any_control();
            self.schedule(at, Event::Arrives(to, Box::new(Input::Heartbeat(record))));
            self.schedule(at + NOTICE_US, Event::Deregisters(n));
        }
    }

    /// Records whether a daemon lists a watched endpoint as available.
    fn set_listed(&mut self, k: usize, n: usize, is_available: bool, at: u64) {
        if is_available {
            self.listed[k].insert(n);
            return;
        }
        let leaving_since = self.endpoints.endpoints[self.watched[k]].leaving_since;
        if let (true, Some(since)) = (self.listed[k].remove(&n), leaving_since) {
            self.measured.notices.push(at.saturating_sub(since));
        }
    }

    fn lose_leader(&mut self) {
        let Some(leader) = self.leader.take() else { return };
        self.hosts[leader].node = None;
        self.hosts[leader].waiting.clear();
        self.hosts[leader].dialed.clear();
        self.leader_lost_at = Some(self.now);
        self.without_leader = (0..self.hosts.len()).filter(|n| *n != leader).collect();
        let peers: Vec<usize> = (0..self.hosts.len())
            .filter(|n| self.links.remove(&((*n).min(leader), (*n).max(leader))))
            .collect();
        for peer in peers {
            let down = Input::LinkDown(self.names[leader].clone());
            self.schedule(self.now + RESET_US, Event::Arrives(peer, Box::new(down)));
            self.schedule(self.now + RESET_US + 100_000, Event::Links(peer, leader));
        }
        let node_at = self.now + LEADER_DOWN_US;
        self.schedule(node_at, Event::Start(leader));
    }

    fn leader_known(&mut self, n: usize, vm: &VmName, at: u64) {
        if *vm == self.names[n] {
            self.leader = Some(n);
        }
        if let Some(lost_at) = self.leader_lost_at
            && self.without_leader.remove(&n)
        {
            self.measured.leaders.push(at.saturating_sub(lost_at));
        }
    }

    fn submit(&mut self) {
        let Some(n) = self.leader else {
            return self.schedule(self.now + 100_000, Event::Submit);
        };
        let base = self.hosts[n].node.as_ref().and_then(|node| node.active_config().cloned());
        self.version += 1;
        let submit = load::configuration(self.options, self.version, base.as_deref());
        self.pending_changes.insert(self.version, (0..self.hosts.len()).collect());
        self.next_call += 1;
        let call = Input::Call(CallId(self.next_call), NodeCall::Submit(submit));
        self.schedule(self.now, Event::Arrives(n, Box::new(call)));
    }

    fn activated(&mut self, n: usize, version: u64, at: u64) {
        let covered = self.pending_changes.range_mut(..=version);
        for (pending, hosts) in covered {
            if hosts.remove(&n) {
                let accepted = self.accepted.get(pending).copied().unwrap_or(at);
                self.measured.changes.push(at.saturating_sub(accepted));
            }
        }
        self.pending_changes.retain(|_, hosts| !hosts.is_empty());
    }

    fn request(&mut self) {
        let n = self.options.control + self.rng.usize(..self.options.entries);
        self.next_call += 1;
        let call = CallId(self.next_call);
        let (generation, request) = load::generation(&mut self.rng, self.next_call, self.now);
        self.generations.insert((n, call), generation);
        let input = Input::Call(call, NodeCall::Place(request));
        self.schedule(self.now, Event::Arrives(n, Box::new(input)));
        let pause = -(1.0 - self.rng.f64()).ln() / self.options.rate;
        self.schedule(self.now + (pause * 1e6) as u64, Event::Request);
    }

    fn placed(&mut self, n: usize, call: CallId, is_granted: bool, at: u64) {
        let Some(generation) = self.generations.get_mut(&(n, call)) else { return };
        if !is_granted {
            self.generations.remove(&(n, call));
            return;
        }
        self.measured.grants.push(at.saturating_sub(generation.requested_at));
        generation.ends_at += at;
        self.schedule(at + load::FIRST_TOKEN_US, Event::Progress(n, call));
    }

    fn progress(&mut self, n: usize, call: CallId) {
        let Some(generation) = self.generations.get_mut(&(n, call)) else { return };
        let input = if generation.ends_at <= self.now {
            let tokens = generation.tokens;
            self.generations.remove(&(n, call));
            Input::Finished { call, tokens, complete: true }
        } else {
            generation.tokens += load::TOKENS_PER_REPORT;
            let tokens = generation.tokens;
            let next = (self.now + load::REPORT_US).min(generation.ends_at);
            self.schedule(next, Event::Progress(n, call));
            Input::Progress(call, tokens)
        };
        self.schedule(self.now, Event::Arrives(n, Box::new(input)));
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event)));
        self.bodies.insert(self.next_event, event);
    }
}
