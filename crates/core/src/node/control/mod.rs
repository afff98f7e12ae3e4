//! A control replica: agreement, the replicated state, and the leader's answers to daemons.

mod answers;
mod ready;
mod status;
mod suspects;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use super::{
    ByVm, Clocks, NodeOptions, Outbox, VmName,
    changes::Changes,
    control_client::EntryDaemons,
    dispatcher::Dispatcher,
    engines::Engines,
    members::{self, Peer},
};
use crate::{
    agreement::{Outgoing, Payload, Persist, Replica, ReplicaId, Restored, Role, Synced},
    mechanism::Disabled,
    placement::Scheduler,
    quarantine::CopyState,
    state::State,
    units::Instant,
    wire::{Body, Fetch, Poll, ReplicaInfo, Submit},
};

pub use self::status::{ControlStatus, DaemonStatus, ReplicaStatus};
use self::suspects::Suspects;

/// A daemon that has not polled for this long is not counted as live.
const DAEMON_LIFE: Duration = Duration::from_secs(3);
/// After the begin of its planned stop, callers are sent to a daemon for this long: balancers ask
/// each second and give up after the second miss.
const STILL_SENT_TO: Duration = Duration::from_millis(2_500);
const HOUSEKEEPING: Duration = Duration::from_millis(250);

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
    takes_callers: bool,
    /// What it knows of suspects.
    suspects: CopyState,
    /// When its planned stop began, as far as known.
    stopping_since: Option<Instant>,
}

impl Daemon {
    fn is_live(&self, now: Instant) -> bool {
        now.since(self.heard) < DAEMON_LIFE
    }
}

/// Writes, and what waits for them.
#[derive(Debug, Default)]
struct Batch {
    persist: Persist,
    after: Vec<Outgoing>,
    synced: Synced,
}

/// A control replica.
pub(crate) struct ControlReplica {
    vm: VmName,
    /// The VMs that found the group, the one that writes its first entry first; none where
    /// this VM came later.
    founders: Vec<VmName>,
    max_voters: usize,
    replica: Replica,
    state: State,
    peers: ByVm<Peer>,
    writing: Option<Batch>,
    queued: Option<Batch>,
    written: u64,
    proposed: BTreeMap<u64, Proposed>,
    submissions: VecDeque<(Asker, Submit)>,
    polls: BTreeMap<u64, (VmName, Poll)>,
    next_read: u64,
    daemons: ByVm<Daemon>,
    changes: Changes,
    /// What daemons have asked for that is not accepted here yet.
    fetches: ByVm<Fetch>,
    dispatcher: Option<Dispatcher>,
    suspects: Suspects,
    disabled: Disabled,
    /// The engines that the scheduler may use.
    engines: Engines,
    election: Duration,
    log_bytes: usize,
    snapshot_bytes: usize,
    next_housekeeping: Instant,
}

impl ControlReplica {
    pub(crate) fn new(
        options: &NodeOptions,
        id: ReplicaId,
        restored: Restored,
        now: Instant,
    ) -> ControlReplica {
        let timing = options.timing.agreement;
        ControlReplica {
            vm: options.vm.clone(),
            founders: options.founders.clone(),
            max_voters: options.max_voters,
            replica: Replica::new(id, timing, options.seed, restored, now),
            state: State::default(),
            peers: ByVm::new(),
            writing: None,
            queued: None,
            written: 0,
            proposed: BTreeMap::new(),
            submissions: VecDeque::new(),
            polls: BTreeMap::new(),
            next_read: 0,
            daemons: ByVm::new(),
            changes: Changes::default(),
            fetches: ByVm::new(),
            dispatcher: None,
            suspects: Suspects::new(now),
            disabled: options.disabled,
            engines: Engines::default(),
            election: timing.election,
            log_bytes: 0,
            snapshot_bytes: 0,
            next_housekeeping: now,
        }
    }

    pub(crate) fn leads(&self) -> bool {
        self.dispatcher.is_some()
    }

    /// What is accepted, as far as this replica knows.
    pub(crate) fn state(&self) -> &State {
        &self.state
    }

    pub(crate) fn scheduler(&self) -> Option<&Scheduler> {
        self.dispatcher.as_ref().map(Dispatcher::scheduler)
    }

    pub(crate) fn next_tick(&self) -> Instant {
        let next = self.replica.next_tick().min(self.next_housekeeping);
        let dispatcher = self.dispatcher.as_ref().and_then(Dispatcher::next_tick);
        let next = dispatcher.map_or(next, |at| at.min(next));
        self.suspects.next_tick().map_or(next, |at| at.min(next))
    }

    pub(crate) fn link_up(&mut self, vm: &VmName, out: &mut Outbox) {
        let info = ReplicaInfo { replica: self.replica.id(), empty: self.replica.is_empty() };
        out.send(vm, Body::ReplicaInfo(info));
    }

    pub(crate) fn link_down(&mut self, vm: &VmName, clocks: Clocks, out: &mut Outbox) {
        self.peers.remove(vm);
        self.fetches.remove(vm);
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.remove_daemon(vm, clocks.now, out);
        }
        self.forget_trials(vm, clocks.now, out);
    }

    pub(crate) fn tick(&mut self, clocks: Clocks, out: &mut Outbox) {
        self.replica.tick(clocks.now);
        self.pump(clocks, out);
        let live = self.live_daemons(clocks.now);
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.tick(&live, clocks.now, out);
        }
        self.tick_suspects(clocks.now, out);
        if self.next_housekeeping <= clocks.now {
            self.next_housekeeping = clocks.now.after(HOUSEKEEPING);
            self.keep_members(clocks);
            self.age_suspects(clocks);
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
                self.keep_members(clocks);
                self.pump(clocks, out);
            }
            Body::Poll(poll) => self.poll(from, poll, clocks, out),
            Body::Fetch(fetch) => self.fetch(from, fetch, clocks.now, out),
            Body::Operation(operation) => self.operation(from, operation, clocks, out),
            Body::Admit(admit) => match &mut self.dispatcher {
                Some(dispatcher) => dispatcher.admit(from, admit, clocks.now, out),
                None => self.not_leader(from, None, out),
            },
            Body::Progress(progress) => {
                if let Some(dispatcher) = &mut self.dispatcher {
                    dispatcher.on_progress(from, progress, clocks.now, out);
                }
            }
            Body::Health(health) => {
                let live = self.live_daemons(clocks.now);
                if let Some(dispatcher) = &mut self.dispatcher {
                    dispatcher.on_health(from, health, &live, clocks.now, out);
                }
            }
            Body::TrialAsk(ask) => self.trial_ask(from, &ask, clocks.now, out),
            Body::TrialOver(over) => self.trial_over(from, over, clocks.now, out),
            Body::LimitsRead(news) => {
                if let Some(dispatcher) = &mut self.dispatcher {
                    dispatcher.on_rate_limits(news, clocks.now);
                }
            }
            Body::Rejected(rejected) => {
                if let Some(dispatcher) = &mut self.dispatcher {
                    dispatcher.on_rejection(from, rejected, clocks.now);
                }
            }
            Body::PermitQuery(ask) => match &mut self.dispatcher {
                Some(dispatcher) => dispatcher.on_permit_query(from, ask, clocks.now, out),
                None => self.not_leader(from, None, out),
            },
            Body::Moved(moved) => {
                if let Some(dispatcher) = &mut self.dispatcher {
                    dispatcher.on_relocated(from, &moved, clocks.now, out);
                }
            }
            Body::Report(report) => {
                let live = self.live_daemons(clocks.now);
                if let Some(dispatcher) = &mut self.dispatcher {
                    dispatcher.on_load_report(from, report, &live, clocks.now, out);
                }
            }
            _ => {}
        }
    }

    fn keep_members(&mut self, clocks: Clocks) {
        if let Some(founders) =
            members::founders(&self.vm, &self.founders, &self.replica, &self.peers)
        {
            self.replica.bootstrap(founders, clocks.wall);
            return;
        }
        if self.replica.role() != Role::Leader || !self.replica.membership_settled() {
            return;
        }
        let now = clocks.now;
        let repair = members::repair(&self.vm, &self.replica, &self.peers, self.max_voters, now);
        if let Some(membership) = repair {
            // A change that is refused now is tried again at the next housekeeping.
            let payload = Payload::Members(membership);
            let _ = self.replica.propose(payload, clocks.wall, clocks.now);
        }
    }

    /// Takes the engines that the scheduler may use.
    pub(crate) fn set_engines(&mut self, engines: Engines, now: Instant, out: &mut Outbox) {
        self.engines = engines;
        self.configure_dispatcher(now);
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.decide(now, out);
        }
    }

    /// Forgets what runs of endpoints have said that are not there any more.
    pub(crate) fn retain_runs(&mut self, is_there: impl Fn(&str, u64) -> bool, now: Instant) {
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.retain_runs(is_there, now);
        }
    }

    fn configure_dispatcher(&mut self, now: Instant) {
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.configure(&self.engines, now);
        }
    }

    fn vm_of(&self, id: ReplicaId) -> Option<VmName> {
        if id == self.replica.id() {
            return Some(self.vm.clone());
        }
        let peer = self.peers.iter().find(|(_, peer)| peer.id == id).map(|(vm, _)| vm.clone());
        peer.or_else(|| self.replica.membership().member(id).map(|m| m.vm.as_str().into()))
    }

    /// The live daemons that callers are sent to.
    fn entries(&self, now: Instant) -> EntryDaemons {
        let mut entries = EntryDaemons::default();
        let sent_to = |daemon: &&Daemon| daemon.takes_callers && daemon.is_live(now);
        for daemon in self.daemons.values().filter(sent_to) {
            match daemon.stopping_since {
                None => entries.accepting += 1,
                Some(since) if now.since(since) < STILL_SENT_TO => entries.stopping += 1,
                Some(_) => {}
            }
        }
        entries
    }

    fn live_daemons(&self, now: Instant) -> BTreeSet<VmName> {
        self.daemons.iter().filter(|(_, d)| d.is_live(now)).map(|(vm, _)| vm.clone()).collect()
    }
}
