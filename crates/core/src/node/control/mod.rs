//! A control replica: runs consensus, applies the replicated state and, on the leader, serves daemons.

mod answers;
mod daemons;
mod ready;
mod status;
mod suspects;

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::{
    ByVm, Clocks, NodeOptions, Outbox, VmName,
    config_changes::ConfigChanges,
    config_streams::ConfigStreams,
    dispatcher::{Dispatcher, DispatcherOptions},
    engines::{EngineChange, Engines},
    members::{self, Peer},
};
use crate::{
    agreement::{Outgoing, Payload, Persist, Replica, ReplicaId, Restored, Role, Synced},
    placement::Scheduler,
    state::{HallsOut, State},
    units::Instant,
    wire::{Body, Poll, ReplicaInfo, Submit},
};

pub use self::status::{ControlStatus, DaemonStatus, ReplicaStatus};
use self::{daemons::DaemonTable, suspects::SuspectCoordinator};

const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(250);

/// Where the result of an operation is sent.
#[derive(Debug, Clone)]
struct ReplyTo {
    vm: VmName,
    operation: u64,
}

/// A proposed log entry whose result is not known yet.
#[derive(Debug)]
struct PendingProposal {
    term: u64,
    reply_to: ReplyTo,
    /// Set if the entry is a configuration change.
    submit: Option<Submit>,
}

/// A write to the log and the messages that may be sent once it is synced.
#[derive(Debug, Default)]
struct WriteBatch {
    persist: Persist,
    after: Vec<Outgoing>,
    synced: Synced,
}

/// A control replica.
pub(crate) struct ControlReplica {
    vm: VmName,
    /// The VMs that bootstrap the replication group; the first one that is not started anew meanwhile writes the
    /// first entry. Empty on a VM that joins an existing group.
    founders: Vec<VmName>,
    max_voters: usize,
    replica: Replica,
    state: State,
    peers: ByVm<Peer>,
    write_in_progress: Option<WriteBatch>,
    queued_write: Option<WriteBatch>,
    last_write: u64,
    proposals: BTreeMap<u64, PendingProposal>,
    submissions: VecDeque<(ReplyTo, Submit)>,
    pending_polls: BTreeMap<u64, (VmName, Poll)>,
    last_read_token: u64,
    daemons: DaemonTable,
    config_changes: ConfigChanges,
    config_streams: ConfigStreams,
    dispatcher: Option<Dispatcher>,
    suspect_coordinator: SuspectCoordinator,
    dispatcher_options: DispatcherOptions,
    /// Whether the dispatcher was created without the engines.
    needs_engines: bool,
    reported_role: Option<(Role, u64, bool)>,
    election_timeout: Duration,
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
            write_in_progress: None,
            queued_write: None,
            last_write: 0,
            proposals: BTreeMap::new(),
            submissions: VecDeque::new(),
            pending_polls: BTreeMap::new(),
            last_read_token: 0,
            daemons: DaemonTable::default(),
            config_changes: ConfigChanges::default(),
            config_streams: ConfigStreams::default(),
            dispatcher: None,
            suspect_coordinator: SuspectCoordinator::new(now),
            dispatcher_options: DispatcherOptions {
                polls_loads: options.polls_loads,
                disabled: options.disabled,
            },
            needs_engines: false,
            reported_role: None,
            election_timeout: timing.election,
            log_bytes: 0,
            snapshot_bytes: 0,
            next_housekeeping: now,
        }
    }

    /// Whether this replica is the established leader.
    pub(crate) fn leads(&self) -> bool {
        self.dispatcher.is_some()
    }

    /// Whether this replica follows a leader or leads.
    pub(crate) fn has_leader(&self) -> bool {
        self.replica.leader().is_some()
    }

    /// The replicated state as applied by this replica.
    pub(crate) fn state(&self) -> &State {
        &self.state
    }

    /// The scheduler, if this replica leads.
    pub(crate) fn scheduler(&self) -> Option<&Scheduler> {
        self.dispatcher.as_ref().map(Dispatcher::scheduler)
    }

    pub(crate) fn next_tick(&self) -> Instant {
        let next = self.replica.next_tick().min(self.next_housekeeping);
        let dispatcher = self.dispatcher.as_ref().and_then(Dispatcher::next_tick);
        let next = dispatcher.map_or(next, |at| at.min(next));
        self.suspect_coordinator.next_tick().map_or(next, |at| at.min(next))
    }

    pub(crate) fn link_up(&mut self, vm: &VmName, out: &mut Outbox) {
        let info = ReplicaInfo {
            replica: self.replica.id(),
            empty: self.replica.is_empty(),
            founds: self.may_found(),
        };
        out.send(vm, Body::ReplicaInfo(info));
    }

    pub(crate) fn link_down(&mut self, vm: &VmName, clocks: Clocks, out: &mut Outbox) {
        self.peers.remove(vm);
        self.config_streams.remove(vm);
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.remove_daemon(vm, clocks.now, out);
        }
        self.release_trials(vm, clocks.now, out);
    }

    pub(crate) fn tick(&mut self, clocks: Clocks, out: &mut Outbox) {
        self.replica.tick(clocks.now);
        self.process_ready(clocks, out);
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.tick(self.daemons.live(clocks.now), clocks.now, out);
        }
        self.tick_suspects(clocks.now, out);
        if self.next_housekeeping <= clocks.now {
            self.next_housekeeping = clocks.now.after(HOUSEKEEPING_INTERVAL);
            self.maintain_membership(clocks);
            self.age_suspects(clocks);
            self.process_ready(clocks, out);
        }
    }

    /// Transfers leadership to another replica before a planned stop.
    pub(crate) fn stop(&mut self, clocks: Clocks, out: &mut Outbox) {
        self.replica.hand_over(clocks.now);
        self.process_ready(clocks, out);
    }

    /// Handles the sync of the write with this number; see [`Output::Persist`](super::Output::Persist).
    pub(crate) fn on_persisted(&mut self, number: u64, clocks: Clocks, out: &mut Outbox) {
        if number != self.last_write {
            return;
        }
        let Some(batch) = self.write_in_progress.take() else { return };
        self.complete_write(batch, clocks.now, out);
        self.process_ready(clocks, out);
    }

    pub(crate) fn on_message(
        &mut self,
        from: &VmName,
        body: Body,
        clocks: Clocks,
        out: &mut Outbox,
    ) {
        match body {
            Body::Agreement(message) => {
                self.replica.receive(message, clocks.now);
                self.process_ready(clocks, out);
            }
            Body::ReplicaInfo(info) => {
                let ReplicaInfo { replica: id, empty, founds } = info;
                self.peers.insert(from.clone(), Peer { id, empty, founds });
                self.maintain_membership(clocks);
                self.process_ready(clocks, out);
            }
            Body::Poll(poll) => self.on_poll(from, poll, clocks, out),
            Body::Fetch(fetch) => self.on_fetch(from, fetch, clocks.now, out),
            Body::Operation(operation) => self.on_operation(from, operation, clocks, out),
            Body::Admit(admit) => match &mut self.dispatcher {
                Some(dispatcher) => dispatcher.admit(from, admit, clocks.now, out),
                None => self.reply_not_leader(from, None, out),
            },
            Body::Progress(progress) => {
                if let Some(dispatcher) = &mut self.dispatcher {
                    dispatcher.on_progress(from, progress, clocks.now, out);
                }
            }
            Body::Health(health) => {
                if let Some(dispatcher) = &mut self.dispatcher {
                    let live = self.daemons.live(clocks.now);
                    dispatcher.on_health(from, health, live, clocks.now, out);
                }
            }
            Body::TrialAsk(ask) => self.on_trial_ask(from, &ask, clocks.now, out),
            Body::TrialOver(over) => self.on_trial_over(from, over, clocks.now, out),
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
            Body::Returns(returns) => {
                if let Some(dispatcher) = &mut self.dispatcher {
                    dispatcher.on_returns(returns, clocks.now);
                }
            }
            Body::PermitQuery(ask) => match &mut self.dispatcher {
                Some(dispatcher) => dispatcher.on_permit_query(from, ask, clocks.now, out),
                None => self.reply_not_leader(from, None, out),
            },
            Body::Moved(moved) => {
                if let Some(dispatcher) = &mut self.dispatcher {
                    dispatcher.on_relocated(from, &moved, clocks.now, out);
                }
            }
            Body::Report(report) => {
                if let Some(dispatcher) = &mut self.dispatcher {
                    let live = self.daemons.live(clocks.now);
                    dispatcher.on_load_report(from, report, live, clocks.now, out);
                }
            }
            _ => {}
        }
    }

    /// Whether this VM is one of those that bootstrap the group.
    fn may_found(&self) -> bool {
        self.founders.contains(&self.vm)
    }

    /// Bootstraps the group, or proposes the next membership change if this replica leads.
    fn maintain_membership(&mut self, clocks: Clocks) {
        if self.may_found()
            && let Some(founding) =
                members::bootstrap_membership(&self.vm, &self.founders, &self.replica, &self.peers)
        {
            self.replica.bootstrap(founding.membership, founding.term, clocks.wall);
            return;
        }
        if self.replica.role() != Role::Leader || !self.replica.membership_settled() {
            return;
        }
        let now = clocks.now;
        let repair =
            members::repair_membership(&self.vm, &self.replica, &self.peers, self.max_voters, now);
        if let Some(membership) = repair {
            // If rejected, the change is proposed again at the next housekeeping.
            let payload = Payload::Members(membership);
            let _ = self.replica.propose(payload, clocks.wall, clocks.now);
        }
    }

    /// Whether the dispatcher has not been given the engines since it was created.
    pub(crate) fn needs_engines(&self) -> bool {
        self.needs_engines && self.leads()
    }

    /// Replaces the engines available to the scheduler.
    pub(crate) fn set_engines(&mut self, engines: &Engines, now: Instant, out: &mut Outbox) {
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.configure(engines, now);
            dispatcher.decide(now, out);
            self.needs_engines = false;
        }
    }

    /// Applies changes of registered engines.
    pub(crate) fn update_engines(
        &mut self,
        changes: &[EngineChange],
        now: Instant,
        out: &mut Outbox,
    ) {
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.update_engines(changes, now);
            dispatcher.decide(now, out);
        }
    }

    /// Applies the data halls that are out of service.
    pub(crate) fn set_halls_out(&mut self, halls: &HallsOut) {
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.set_halls_out(halls);
        }
    }

    /// Applies the start times of the known runs of endpoints.
    pub(crate) fn update_runs(&mut self, started_at: impl Fn(&str) -> Option<u64>, now: Instant) {
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.update_runs(started_at, now);
        }
    }

    /// VM of a replica: a linked peer, or a member of the group.
    fn vm_of(&self, id: ReplicaId) -> Option<VmName> {
        if id == self.replica.id() {
            return Some(self.vm.clone());
        }
        let peer = self.peers.iter().find(|(_, peer)| peer.id == id).map(|(vm, _)| vm.clone());
        peer.or_else(|| self.replica.membership().member(id).map(|m| m.vm.as_str().into()))
    }

    /// How often all daemons were counted.
    #[cfg(test)]
    pub(crate) fn daemon_counts(&self) -> u64 {
        self.daemons.counts
    }
}
