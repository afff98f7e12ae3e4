//! A control replica: agreement, the replicated state, and the leader's answers to daemons.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use bytes::Bytes;

use super::{
    ByVm, Clocks, NodeOptions, Outbox, Output, VmName,
    dispatcher::Dispatcher,
    keeper::ACCEPTED,
    members::{self, Peer},
    updates::Updates,
};
use crate::{
    agreement::{
        ConfirmedRead, Entry, Outgoing, Payload, Persist, Ready, Replica, ReplicaId, Restored,
        Role, Snapshot, Synced,
    },
    config::{Config, ContentHash},
    once::ClaimResult,
    placement::Scheduler,
    state::{Applied, Command, ConfigCommand, ConfigResult, EncodedDelta, State, command},
    units::Instant,
    wire::{
        AcceptedVersion, Body, ClaimReply, ClaimStatus, ConfigUpdate, Done, NotLeader, Operation,
        OperationKind, OperationReply, OperationResult, Poll, PollReply, ReplicaInfo, Submit,
    },
};

/// A daemon that has not polled for this long is not counted as live.
const DAEMON_LIFE: Duration = Duration::from_secs(3);
/// The log is compacted when its entries take this many bytes more than the snapshot.
const COMPACT_BYTES: usize = 4 * 1024 * 1024;
const HOUSEKEEPING: Duration = Duration::from_millis(250);

/// State of one control replica, as the leader sees it.
#[derive(Debug, Clone, serde::Serialize)]
pub struct ReplicaStatus {
    /// Name of its VM.
    pub vm: String,
    /// The replica.
    pub id: String,
    /// Whether it votes.
    pub voter: bool,
    /// Whether it leads.
    pub leader: bool,
    /// Whether it answered lately and has synced nearly all of the log.
    pub sound: bool,
}

/// State of one daemon, as the leader sees it.
#[derive(Debug, Clone, serde::Serialize)]
pub struct DaemonStatus {
    /// Name of its VM.
    pub vm: String,
    /// The version in force there.
    pub version: u64,
    /// Time since its last poll in milliseconds.
    pub silent_ms: u64,
}

/// State of the control replicas, as one of them sees it.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct ControlStatus {
    /// Whether this VM has a control replica.
    pub replica: bool,
    /// Whether it leads.
    pub leads: bool,
    /// VM of the leader, if known.
    pub leader: Option<String>,
    /// Its term.
    pub term: u64,
    /// Index up to which its log is committed.
    pub commit: u64,
    /// The accepted version.
    pub version: u64,
    /// Number of claims kept.
    pub claims: usize,
    /// Whether the loss of any one more voter leaves a quorum. Known to the leader only.
    pub survives_next_loss: bool,
    /// The replicas.
    pub replicas: Vec<ReplicaStatus>,
    /// The daemons. Known to the leader only.
    pub daemons: Vec<DaemonStatus>,
}

#[derive(Debug, Clone)]
struct Asker {
    vm: VmName,
    operation: u64,
}

#[derive(Debug)]
struct Proposed {
    term: u64,
    asker: Asker,
    /// Set for a configuration.
    submit: Option<Submit>,
}

#[derive(Debug, Clone, Copy)]
struct Daemon {
    version: u64,
    heard: Instant,
}

/// Writes, and what waits for them.
#[derive(Debug, Default)]
struct Batch {
    persist: Persist,
    after: Vec<Outgoing>,
    synced: Synced,
}

/// A control replica.
pub(crate) struct Control {
    vm: VmName,
    listed: Vec<VmName>,
    replica: Replica,
    state: State,
    /// Only the leader needs it.
    config: Option<Config>,
    peers: ByVm<Peer>,
    links: BTreeSet<VmName>,
    writing: Option<Batch>,
    queued: Option<Batch>,
    written: u64,
    proposed: BTreeMap<u64, Proposed>,
    submissions: VecDeque<(Asker, Submit)>,
    polls: BTreeMap<u64, (VmName, Poll)>,
    next_read: u64,
    daemons: ByVm<Daemon>,
    updates: Updates,
    dispatcher: Option<Dispatcher>,
    election: Duration,
    log_bytes: usize,
    snapshot_bytes: usize,
    next_housekeeping: Instant,
}

impl Control {
    pub(crate) fn new(
        options: &NodeOptions,
        id: ReplicaId,
        restored: Restored,
        now: Instant,
    ) -> Control {
        let timing = options.timing.agreement;
        Control {
            vm: options.vm.clone(),
            listed: options.replicas.clone(),
            replica: Replica::new(id, timing, options.seed, restored, now),
            state: State::default(),
            config: None,
            peers: ByVm::new(),
            links: BTreeSet::new(),
            writing: None,
            queued: None,
            written: 0,
            proposed: BTreeMap::new(),
            submissions: VecDeque::new(),
            polls: BTreeMap::new(),
            next_read: 0,
            daemons: ByVm::new(),
            updates: Updates::default(),
            dispatcher: None,
            election: timing.election,
            log_bytes: 0,
            snapshot_bytes: 0,
            next_housekeeping: now,
        }
    }

    pub(crate) fn leads(&self) -> bool {
        self.dispatcher.is_some()
    }

    pub(crate) fn dispatcher(&self) -> Option<&Scheduler> {
        self.dispatcher.as_ref().map(Dispatcher::scheduler)
    }

    pub(crate) fn next_tick(&self) -> Instant {
        let next = self.replica.next_tick().min(self.next_housekeeping);
        let dispatcher = self.dispatcher.as_ref().and_then(Dispatcher::next_tick);
        dispatcher.map_or(next, |at| at.min(next))
    }

    pub(crate) fn link_up(&mut self, vm: &VmName, out: &mut Outbox) {
        self.links.insert(vm.clone());
        if self.listed.contains(vm) {
            let info = ReplicaInfo { replica: self.replica.id(), empty: self.replica.is_empty() };
            out.send(vm, Body::ReplicaInfo(info));
        }
    }

    pub(crate) fn link_down(&mut self, vm: &VmName, clocks: Clocks, out: &mut Outbox) {
        self.links.remove(vm);
        self.peers.remove(vm);
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.forget(vm, clocks.now, out);
        }
    }

    pub(crate) fn tick(&mut self, clocks: Clocks, out: &mut Outbox) {
        self.replica.tick(clocks.now);
        self.pump(clocks, out);
        let live = self.live_daemons(clocks.now);
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.tick(&live, clocks.now, out);
        }
        if self.next_housekeeping <= clocks.now {
            self.next_housekeeping = clocks.now.after(HOUSEKEEPING);
            self.keep_members(clocks, out);
            self.pump(clocks, out);
        }
    }

    /// Hands leadership over before a planned stop.
    pub(crate) fn stop(&mut self, clocks: Clocks, out: &mut Outbox) {
        self.replica.hand_over(clocks.now);
        self.pump(clocks, out);
    }

    pub(crate) fn persisted(&mut self, number: u64, clocks: Clocks, out: &mut Outbox) {
        if number != self.written {
            return;
        }
        let Some(batch) = self.writing.take() else { return };
        self.release(batch, clocks.now, out);
        self.pump(clocks, out);
    }

    pub(crate) fn message(&mut self, from: &VmName, body: Body, clocks: Clocks, out: &mut Outbox) {
        match body {
            Body::Agreement(message) => {
                self.replica.receive(message, clocks.now);
                self.pump(clocks, out);
            }
            Body::ReplicaInfo(info) => {
                self.peers.insert(from.clone(), Peer { id: info.replica, empty: info.empty });
                self.keep_members(clocks, out);
                self.pump(clocks, out);
            }
            Body::Poll(poll) => self.poll(from, poll, clocks, out),
            Body::Operation(operation) => self.operation(from, operation, clocks, out),
            Body::Admit(admit) => match &mut self.dispatcher {
                Some(dispatcher) => dispatcher.admit(from, admit, clocks.now, out),
                None => self.not_leader(from, None, out),
            },
            Body::Progress(progress) => {
                if let Some(dispatcher) = &mut self.dispatcher {
                    dispatcher.progress(from, progress, clocks.now, out);
                }
            }
            Body::Health(health) => {
                let live = self.live_daemons(clocks.now);
                if let Some(dispatcher) = &mut self.dispatcher {
                    dispatcher.health(from, health, &live, clocks.now, out);
                }
            }
            Body::Report(report) => {
                let live = self.live_daemons(clocks.now);
                if let Some(dispatcher) = &mut self.dispatcher {
                    dispatcher.report(from, report, &live, clocks.now, out);
                }
            }
            _ => {}
        }
    }

    pub(crate) fn status(&self, now: Instant) -> ControlStatus {
        let leader = self.replica.leader().and_then(|id| self.vm_of(id));
        let leads = self.leads();
        let replicas: Vec<ReplicaStatus> = self
            .replica
            .membership()
            .members
            .iter()
            .map(|member| ReplicaStatus {
                vm: member.vm.clone(),
                id: format!("{:016x}", member.id),
                voter: member.voter,
                leader: self.replica.leader() == Some(member.id),
                sound: leads && self.is_sound(member.id, now),
            })
            .collect();
        let sound_voters = replicas.iter().filter(|r| r.voter && r.sound).count();
        let quorum = self.replica.membership().quorum();
        let settled = self.replica.membership_settled();
        let daemon = |(vm, daemon): (&VmName, &Daemon)| DaemonStatus {
            vm: vm.to_string(),
            version: daemon.version,
            silent_ms: now.since(daemon.heard).as_millis() as u64,
        };
        ControlStatus {
            replica: true,
            leads,
            leader: leader.map(|vm| vm.to_string()),
            term: self.replica.term(),
            commit: self.replica.commit(),
            version: self.state.version(),
            claims: self.state.claims().len(),
            survives_next_loss: leads && settled && quorum < sound_voters,
            replicas,
            daemons: self.daemons.iter().map(daemon).collect(),
        }
    }

    // Answers to daemons.

    fn poll(&mut self, from: &VmName, poll: Poll, clocks: Clocks, out: &mut Outbox) {
        if !self.leads() {
            return self.not_leader(from, None, out);
        }
        let daemon = Daemon { version: poll.version, heard: clocks.now };
        self.daemons.insert(from.clone(), daemon);
        self.next_read += 1;
        self.polls.insert(self.next_read, (from.clone(), poll));
        self.replica.read(self.next_read, clocks.now);
        self.pump(clocks, out);
    }

    fn answer_poll(&mut self, read: ConfirmedRead, now: Instant, out: &mut Outbox) {
        let Some((vm, poll)) = self.polls.remove(&read.token) else { return };
        let version = self.state.version();
        let update =
            (poll.version < version).then(|| self.updates.since(poll.version, &self.state));
        let reply = PollReply {
            nonce: poll.nonce,
            version,
            hash: Bytes::copy_from_slice(&self.state.hash().0),
            update,
            term: self.replica.term(),
            daemons: self.live_daemons(now).len() as u64,
        };
        out.send(&vm, Body::PollReply(reply));
    }

    fn operation(&mut self, from: &VmName, operation: Operation, clocks: Clocks, out: &mut Outbox) {
        let asker = Asker { vm: from.clone(), operation: operation.id };
        if !self.leads() {
            return self.not_leader(from, Some(operation.id), out);
        }
        let kind = match operation.kind {
            Some(OperationKind::Submit(submit)) => {
                self.submissions.push_back((asker, submit));
                self.next_submission(clocks, out);
                return self.pump(clocks, out);
            }
            Some(OperationKind::Claim(claim)) => command::Kind::Claim(claim),
            Some(OperationKind::Settle(settle)) => command::Kind::Settle(settle),
            None => return,
        };
        self.propose(asker, kind, None, clocks, out);
        self.pump(clocks, out);
    }

    /// Proposes the next submitted file; only one is on its way at a time, since each is a
    /// delta on the one before.
    fn next_submission(&mut self, clocks: Clocks, out: &mut Outbox) {
        if self.proposed.values().any(|proposed| proposed.submit.is_some()) {
            return;
        }
        while let Some((asker, submit)) = self.submissions.pop_front() {
            match self.judge(&submit) {
                Ok(command) => {
                    let kind = command::Kind::Config(command);
                    return self.propose(asker, kind, Some(submit), clocks, out);
                }
                Err(result) => reply(&asker, result, out),
            }
        }
    }

    /// The command for a submitted file, or the answer if none is needed.
    fn judge(&self, submit: &Submit) -> Result<ConfigCommand, OperationResult> {
        let command = &submit.command;
        let hash = ContentHash::from_slice(&command.hash).unwrap_or_default();
        match self.state.judge(command.version, hash) {
            ConfigResult::Accepted if command.base == self.state.version() => Ok(command.clone()),
            ConfigResult::Accepted => Err(OperationResult::Rebase(self.state.version())),
            result => Err(self.config_result(submit, result)),
        }
    }

    fn config_result(&self, submit: &Submit, result: ConfigResult) -> OperationResult {
        let Submit { file, command } = submit;
        let version = command.version;
        match result {
            ConfigResult::Accepted | ConfigResult::Repeated => {
                let repeated = result == ConfigResult::Repeated;
                OperationResult::Accepted(AcceptedVersion {
                    version,
                    hash: command.hash.clone(),
                    repeated,
                    current: self.state.version(),
                })
            }
            ConfigResult::OtherContent { winner } => OperationResult::RefusedFile(format!(
                "{file}: [deployment] version: version {version} was already accepted with other \
                 content (hash {winner}); fetch it with `trayswitch config show` and submit a \
                 higher version"
            )),
            ConfigResult::TooLow { current } => OperationResult::RefusedFile(format!(
                "{file}: [deployment] version: {version} is lower than the accepted version \
                 {current}; submit a higher one"
            )),
            ConfigResult::Rebase => OperationResult::Rebase(self.state.version()),
        }
    }

    fn propose(
        &mut self,
        asker: Asker,
        kind: command::Kind,
        submit: Option<Submit>,
        clocks: Clocks,
        out: &mut Outbox,
    ) {
        let payload = Command::payload(kind);
        match self.replica.propose(payload, clocks.wall, clocks.now) {
            Ok(index) => {
                let term = self.replica.term();
                self.proposed.insert(index, Proposed { term, asker, submit });
            }
            Err(_) => self.not_leader(&asker.vm.clone(), Some(asker.operation), out),
        }
    }

    fn not_leader(&self, to: &VmName, operation: Option<u64>, out: &mut Outbox) {
        let leader = self.replica.leader().filter(|id| *id != self.replica.id());
        let leader = leader.and_then(|id| self.vm_of(id)).map(|vm| vm.to_string());
        out.send(to, Body::NotLeader(NotLeader { leader, operation }));
    }

    // Carrying out what the replica hands out.

    fn pump(&mut self, clocks: Clocks, out: &mut Outbox) {
        loop {
            let ready = self.replica.take_ready();
            let idle = ready.messages.is_empty()
                && ready.persist.is_empty()
                && ready.messages_after_persist.is_empty()
                && ready.install.is_none()
                && ready.committed.is_empty()
                && ready.reads.is_empty()
                && ready.failed_reads.is_empty();
            self.judge_leadership(clocks.now, out);
            if idle && (self.writing.is_some() || self.queued.is_none()) {
                return;
            }
            self.take(ready, clocks, out);
        }
    }

    fn take(&mut self, ready: Ready, clocks: Clocks, out: &mut Outbox) {
        self.send_all(ready.messages, out);
        self.queue(ready.persist, ready.messages_after_persist, ready.synced);
        if let Some(snapshot) = ready.install {
            self.install(&snapshot);
        }
        for entry in ready.committed {
            self.apply(entry, clocks, out);
        }
        for read in ready.reads {
            self.answer_poll(read, clocks.now, out);
        }
        for token in ready.failed_reads {
            if let Some((vm, _)) = self.polls.remove(&token) {
                self.not_leader(&vm, None, out);
            }
        }
        self.write_next(clocks.now, out);
        self.compact_if_due();
    }

    fn queue(&mut self, persist: Persist, after: Vec<Outgoing>, synced: Synced) {
        if persist.is_empty() && after.is_empty() {
            return;
        }
        let batch = self.queued.get_or_insert_with(Batch::default);
        batch.persist.extend(persist);
        batch.after.extend(after);
        batch.synced = synced;
    }

    /// Starts the next write, unless one is on its way; all that queues up meanwhile shares
    /// the next sync.
    fn write_next(&mut self, now: Instant, out: &mut Outbox) {
        while self.writing.is_none() {
            let Some(mut batch) = self.queued.take() else { return };
            if batch.persist.is_empty() {
                self.release(batch, now, out);
                continue;
            }
            self.written += 1;
            out.push(Output::Persist(self.written, std::mem::take(&mut batch.persist)));
            self.writing = Some(batch);
        }
    }

    fn release(&mut self, batch: Batch, now: Instant, out: &mut Outbox) {
        self.send_all(batch.after, out);
        self.replica.persisted(batch.synced, now);
    }

    fn send_all(&self, messages: Vec<Outgoing>, out: &mut Outbox) {
        for Outgoing { to, message } in messages {
            if let Some(vm) = self.vm_of(to) {
                out.send(&vm, Body::Agreement(message));
            }
        }
    }

    fn install(&mut self, snapshot: &Snapshot) {
        self.snapshot_bytes = snapshot.data.len();
        self.log_bytes = 0;
        // A snapshot that passed its checksum and cannot be read was written by a newer release.
        let state = State::decode(snapshot.data.clone());
        self.state = state.expect("a snapshot of a newer release: update this daemon");
    }

    fn apply(&mut self, entry: Entry, clocks: Clocks, out: &mut Outbox) {
        self.log_bytes += match &entry.payload {
            Some(Payload::Command(bytes)) => bytes.len() + 32,
            _ => 64,
        };
        let applied = self.state.apply(&entry);
        if applied == Applied::Config(ConfigResult::Accepted) {
            self.accepted(&entry, out);
        }
        let proposed = self.proposed.remove(&entry.index);
        let Some(Proposed { term, asker, submit }) = proposed else { return };
        if term != entry.term {
            return self.not_leader(&asker.vm, Some(asker.operation), out);
        }
        let result = match (applied, submit) {
            (Applied::Config(result), Some(submit)) => self.config_result(&submit, result),
            (Applied::Claim(result), _) => OperationResult::Claim(claim_reply(result)),
            _ => OperationResult::Settled(Done {}),
        };
        reply(&asker, result, out);
        self.next_submission(clocks, out);
    }

    /// An accepted configuration goes to every daemon at once.
    fn accepted(&mut self, entry: &Entry, out: &mut Outbox) {
        let Some(Payload::Command(bytes)) = &entry.payload else { return };
        let command = <Command as prost::Message>::decode(bytes.clone());
        let Ok(Command { kind: Some(command::Kind::Config(command)) }) = command else { return };
        let update = self.updates.push(command);
        if !self.leads() {
            return;
        }
        self.update_config(&update);
        for (vm, _) in self.daemons.iter().filter(|(_, d)| d.version == update.base) {
            out.send(vm, Body::Update(update.clone()));
        }
    }

    /// Brings an accepted configuration into the scheduler.
    fn update_config(&mut self, update: &ConfigUpdate) {
        let delta = EncodedDelta::read(update.delta.clone()).unwrap_or_default();
        let document = self.state.document();
        let config = match &self.config {
            Some(config) => config.updated(ACCEPTED, document, &delta),
            None => Config::check(ACCEPTED, document),
        };
        let Ok(config) = config else { return };
        let endpoints_changed =
            self.config.as_ref().is_none_or(|old| old.endpoints != config.endpoints);
        if let (Some(dispatcher), true) = (&mut self.dispatcher, endpoints_changed) {
            dispatcher.configure(&config.endpoints);
        }
        self.config = Some(config);
    }

    fn judge_leadership(&mut self, now: Instant, out: &mut Outbox) {
        let leads = self.replica.is_established();
        if leads == self.dispatcher.is_some() {
            return;
        }
        if leads {
            self.config = Config::check(ACCEPTED, self.state.document()).ok();
            let endpoints = self.config.as_ref().map(|config| config.endpoints.clone());
            self.dispatcher = Some(Dispatcher::new(&endpoints.unwrap_or_default(), now));
            return;
        }
        self.dispatcher = None;
        self.config = None;
        self.daemons.clear();
        let proposed = std::mem::take(&mut self.proposed);
        let submissions = std::mem::take(&mut self.submissions);
        let askers = proposed.into_values().map(|p| p.asker);
        for asker in askers.chain(submissions.into_iter().map(|(asker, _)| asker)) {
            self.not_leader(&asker.vm, Some(asker.operation), out);
        }
    }

    fn compact_if_due(&mut self) {
        if self.log_bytes < self.snapshot_bytes + COMPACT_BYTES {
            return;
        }
        let data = self.state.encode();
        self.snapshot_bytes = data.len();
        self.log_bytes = 0;
        self.replica.compact(self.replica.commit(), data);
    }

    // Members.

    fn keep_members(&mut self, clocks: Clocks, _out: &mut Outbox) {
        if let Some(founders) =
            members::founders(&self.vm, &self.listed, &self.replica, &self.peers)
        {
            self.replica.bootstrap(founders, clocks.wall);
            return;
        }
        if self.replica.role() != Role::Leader || !self.replica.membership_settled() {
            return;
        }
        if let Some(membership) = members::repair(&self.listed, &self.replica, &self.peers) {
            // A change that is refused now is tried again at the next housekeeping.
            let payload = Payload::Members(membership);
            let _ = self.replica.propose(payload, clocks.wall, clocks.now);
        }
    }

    /// Whether a replica, and not only its VM, is linked, answers and has the log.
    fn is_sound(&self, id: ReplicaId, now: Instant) -> bool {
        const SLACK: u64 = 64;
        id == self.replica.id()
            || (self.peers.values().any(|peer| peer.id == id)
                && self.replica.is_caught_up(id, SLACK)
                && self.replica.heard_within(id, self.election, now))
    }

    fn vm_of(&self, id: ReplicaId) -> Option<VmName> {
        if id == self.replica.id() {
            return Some(self.vm.clone());
        }
        let peer = self.peers.iter().find(|(_, peer)| peer.id == id).map(|(vm, _)| vm.clone());
        peer.or_else(|| self.replica.membership().member(id).map(|m| m.vm.as_str().into()))
    }

    fn live_daemons(&self, now: Instant) -> BTreeSet<VmName> {
        let live = |daemon: &Daemon| now.since(daemon.heard) < DAEMON_LIFE;
        self.daemons.iter().filter(|(_, d)| live(d)).map(|(vm, _)| vm.clone()).collect()
    }
}

fn reply(asker: &Asker, result: OperationResult, out: &mut Outbox) {
    let reply = OperationReply { id: asker.operation, result: Some(result) };
    out.send(&asker.vm, Body::OperationReply(reply));
}

fn claim_reply(result: ClaimResult) -> ClaimReply {
    let (status, answer) = match result {
        ClaimResult::Granted => (ClaimStatus::Granted, None),
        ClaimResult::InProgress => (ClaimStatus::InProgress, None),
        ClaimResult::Stored(answer) => (ClaimStatus::Stored, Some(answer)),
        ClaimResult::Unknown => (ClaimStatus::Unknown, None),
        ClaimResult::KeyReused => (ClaimStatus::KeyReused, None),
        ClaimResult::KeyExpired => (ClaimStatus::KeyExpired, None),
    };
    ClaimReply { status: status.into(), answer }
}
