//! The actor: feeds inputs to the core and carries out what it decides.

use std::{
    collections::HashMap,
    sync::{Arc, mpsc},
    time::{self, Duration, SystemTime, UNIX_EPOCH},
};

use stakker::{CX, MinTimerKey, timer_min};
use trayswitch_clock::Instant;
use trayswitch_core::{
    agreement::Persist,
    node::{ActiveConfig, CallId, Clocks, Input, Node, NodeReply, Output, VmName},
    placement::{Refusal, RejectionContext},
    quarantine::{CrashCounts, Suspect},
    units::{self, UnixMillis},
    wire::Body,
};

use super::{Event, View};
use crate::{link::LinkHandle, telemetry::EventId};

/// Writes for the writer's thread.
pub(super) type Writes = mpsc::Sender<(u64, Persist)>;

/// Owns the core.
pub(super) struct NodeActor {
    node: Node,
    start: Instant,
    stale_after: Duration,
    fresh: bool,
    view: Arc<View>,
    writes: Option<Writes>,
    links: HashMap<VmName, LinkHandle>,
    calls: HashMap<CallId, mpsc::Sender<NodeReply>>,
    timer: MinTimerKey,
}

impl NodeActor {
    /// An actor that counts time from `start`, and takes the configuration for current for so long after it
    /// was confirmed.
    pub(super) fn new(
        node: Node,
        start: Instant,
        stale_after: Duration,
        view: Arc<View>,
        writes: Option<Writes>,
    ) -> NodeActor {
        NodeActor {
            node,
            start,
            stale_after,
            fresh: false,
            view,
            writes,
            links: HashMap::new(),
            calls: HashMap::new(),
            timer: MinTimerKey::default(),
        }
    }

    /// Called by stakker when the actor starts.
    pub(super) fn init(cx: CX![], actor: NodeActor) -> Option<Self> {
        let mut actor = actor;
        actor.handle(Input::Tick);
        actor.arm(cx);
        Some(actor)
    }

    /// Takes an event.
    pub(super) fn event(&mut self, cx: CX![], event: Event) {
        match event {
            Event::Input(input) => self.handle(input),
            Event::Ask(call, question, tx) => {
                self.calls.insert(call, tx);
                self.handle(Input::Call(call, question));
            }
            Event::LinkUp(vm, link) => {
                // A second link means that the peer has given up the first.
                if self.links.insert(vm.clone(), link).is_some() {
                    self.handle(Input::LinkDown(vm.clone()));
                }
                self.handle(Input::LinkUp(vm));
            }
            Event::LinkDown(vm, id) => {
                if self.links.get(&vm).is_some_and(|link| link.id() == id) {
                    self.links.remove(&vm);
                    self.handle(Input::LinkDown(vm));
                }
            }
            Event::Message(vm, id, body) => {
                if self.links.get(&vm).is_some_and(|link| link.id() == id) {
                    self.handle(Input::Message(vm, body));
                }
            }
        }
        self.arm(cx);
    }

    fn tick(&mut self, cx: CX![]) {
        self.handle(Input::Tick);
        self.arm(cx);
    }

    fn arm(&mut self, cx: CX![]) {
        const SHORTEST: Duration = Duration::from_millis(1);
        /// The timer stands still while the VM is suspended, and comes at most this much later.
        const LONGEST: Duration = Duration::from_millis(250);
        let next = self.start + Duration::from_micros(self.node.next_tick().0);
        let wait = next.saturating_duration_since(Instant::now());
        let at = time::Instant::now() + wait.clamp(SHORTEST, LONGEST);
        timer_min!(&mut self.timer, at, [cx], tick());
    }

    fn handle(&mut self, input: Input) {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let clocks = Clocks {
            now: units::Instant(self.start.elapsed().as_micros() as u64),
            wall: UnixMillis(wall.as_millis() as u64),
        };
        for output in self.node.handle(input, clocks) {
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Send(vm, body) => self.send(&vm, body),
            Output::Persist(number, persist) => {
                if let Some(writes) = &self.writes {
                    // The writer ends only with the process.
                    let _ = writes.send((number, persist));
                }
            }
            Output::Reply(call, answer) => {
                if let Some(tx) = self.calls.remove(&call) {
                    // An asker that stopped waiting has said so itself.
                    let _ = tx.send(answer);
                }
            }
            Output::ConfigActivated(active_config) => self.config_activated(active_config),
            Output::ConfigFreshness { fresh, confirmed, .. } => self.fresh(fresh, confirmed),
            Output::Watch(endpoints) => self.view.set_watched(endpoints),
            Output::HallsOut(halls) => {
                let (event, names) = (EventId::HallsOut, halls.names.join(", "));
                log::info!("{event} out of service as of order {}: {names}", halls.number);
            }
            Output::Suspects { suspects, .. } => self.view.set_has_suspects(0 < suspects),
            Output::Suspect(suspect) => note_suspect(&suspect),
            Output::Limit { endpoint, limit, change, limited } => {
                self.view.set_has_limits(0 < limited);
                let limit = limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string());
                let (event, change) = (EventId::LimitChanged, change.as_str());
                log::info!("{event} {endpoint}: {change}, {limit} requests a second");
            }
            Output::Backoff { endpoint, left, .. } => {
                let event = EventId::BackoffChanged;
                self.view.set_backing_off(endpoint.clone(), left.is_some());
                match left {
                    Some(left) => log::info!("{event} {endpoint}: no requests for {left:.3?}"),
                    None => log::info!("{event} {endpoint}: takes requests again"),
                }
            }
            Output::ConfigRejected { version, reason } => {
                let event = EventId::ConfigUnusable;
                log::error!("{event} version {version} cannot come into force here: {reason}");
            }
            Output::Refused { entry, refusal } => note_refusal(&entry, &refusal),
            Output::RefusalsOmitted(count) => {
                let event = EventId::RequestRejected;
                log::info!("{event} {count} lines of rejections were left out");
            }
            // This daemon's control VMs are listed in its settings, its endpoints in the
            // configuration; it has no edge at which endpoints register themselves. Operators ask for
            // the load, and its metrics have no gauges.
            Output::Leader { .. }
            | Output::Role(_)
            | Output::Dial(_)
            | Output::Forwarders(_)
            | Output::Registered(_)
            | Output::SaveEndpoints(_)
            | Output::SentChange(_)
            | Output::ConfigFetched(_)
            | Output::SessionRenewed(_)
            | Output::Load(_)
            | Output::Move { .. } => {}
        }
    }

    fn send(&mut self, vm: &VmName, body: Body) {
        if let Some(link) = self.links.get(vm) {
            link.send(body);
        }
    }

    fn config_activated(&self, active_config: Arc<ActiveConfig>) {
        let (version, hash) = (active_config.version, active_config.hash);
        log::info!("{} version {version} is in force, hash {hash}", EventId::ConfigInForce);
        self.view.publish(active_config);
    }

    fn fresh(&mut self, fresh: bool, confirmed: Option<units::Instant>) {
        let until = confirmed.map(|at| self.start + Duration::from_micros(at.0) + self.stale_after);
        self.view.set_fresh_until(until);
        if std::mem::replace(&mut self.fresh, fresh) == fresh {
            return;
        }
        if fresh {
            log::info!("{} the configuration is confirmed", EventId::ConfigFresh);
        } else {
            log::warn!("{} the configuration may be out of date", EventId::ConfigStale);
        }
    }
}

/// Tells of what is on record about a request under which endpoints have ended.
fn note_suspect(suspect: &Suspect) {
    let (event, request, CrashCounts { total: ended, in_trials }) =
        (EventId::SuspectChanged, suspect.request, suspect.crashes);
    let endpoints: Vec<&str> = suspect.runs.iter().map(|run| run.endpoint.as_str()).collect();
    let endpoints = endpoints.join(", ");
    if suspect.crashes.is_quarantined() {
        log::warn!(
            "{event} request {request} is sent to no endpoint any more: {ended} have ended under it, \
             {in_trials} of them in trials: {endpoints}"
        );
    } else if suspect.crashes.is_suspect() {
        log::info!("{event} {ended} endpoints have ended under request {request}: {endpoints}");
    } else {
        log::info!("{event} request {request} is no suspect any more");
    }
}

/// Tells of a request that the scheduler has rejected, and of the state behind the decision.
fn note_refusal(entry: &VmName, refusal: &Refusal) {
    let (event, row, message) = (EventId::RequestRejected, &refusal.row, &refusal.error.message);
    let RejectionContext { expected_wait, ahead, .. } = refusal.context;
    log::info!(
        "{event} rejected a request of {entry} (service {}, kind {}, workspace {}, rank {}) after \
         {:.3?}: {message}; expected wait {expected_wait:.3?}, {ahead} requests ahead, retry after \
         {:.3?}",
        row.service,
        row.kind,
        row.workspace,
        refusal.rank,
        refusal.waited,
        refusal.error.retry_after().unwrap_or_default()
    );
}
