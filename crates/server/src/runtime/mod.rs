//! Drives the pure node: feeds it inputs and carries out what it decides.

#[cfg(feature = "faults")]
mod faulty;
mod frames;
#[cfg(test)]
mod frames_tests;
mod handshake;
mod link_table;
#[cfg(test)]
mod link_table_tests;
mod links;
mod placed;
mod questions;
mod sight;
mod trial;
mod view;
mod writer;
#[cfg(test)]
mod writer_tests;

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use eyre::{Result, WrapErr, eyre};
use tokio::{
    net::TcpStream,
    sync::{Notify, mpsc, oneshot},
};
use trayswitch_clock as clock;
use trayswitch_core::{
    backoff::{Admission, BackoffTable},
    node::{ActiveConfig, CallId, Clocks, Input, Node, NodeOptions, NodeReply, Output, VmName},
    placement::Request,
    quarantine::{ContentDigest, CrashCounts, DigestKey, PromptPart, RequestIdentity, Verdict},
    registry::{EndpointChanges, RegisteredEndpoint},
    state::HallsOut,
    throttle::RateLimit,
    units::{self, UnixMillis},
    wire::Body,
};

use self::link_table::Links;
pub(crate) use self::trial::Tried;
pub use self::{
    link_table::PeerPort,
    placed::{MoveOrder, Placed},
    trial::Trial,
    view::View,
};
use crate::{
    telemetry::{EventId, Metrics},
    timer,
};

/// Longest sleep of the timer, against a lost wake-up.
const LONGEST_SLEEP: Duration = Duration::from_millis(250);

/// How a daemon is to run.
pub struct RuntimeOptions {
    /// Who this daemon is.
    pub node: NodeOptions,
    /// Folder of the control replica, where this daemon is one.
    pub data: Option<PathBuf>,
    /// Where other daemons link to this one; only control VMs are dialed.
    pub listen: Option<SocketAddr>,
    /// How the address of a control VM follows from its name.
    pub peers: PeerPort,
    /// The key that daemons prove to each other.
    pub peer_key: Vec<u8>,
}

struct Shared {
    node: RefCell<Node>,
    start: clock::Instant,
    view: View,
    links: Links,
    digest_key: DigestKey,
    calls: RefCell<HashMap<CallId, oneshot::Sender<NodeReply>>>,
    moves: RefCell<HashMap<CallId, mpsc::UnboundedSender<MoveOrder>>>,
    writes: Option<writer::Writes>,
    wake: Notify,
    metrics: Rc<Metrics>,
}

/// Speaks to the node; cheap to clone.
#[derive(Clone)]
pub struct NodeHandle(Rc<Shared>);

impl NodeHandle {
    /// Starts the node on the current thread's local tasks.
    pub fn spawn(options: RuntimeOptions, metrics: Rc<Metrics>) -> Result<NodeHandle> {
        let start = clock::Instant::now();
        let now = units::Instant(0);
        let mut remembered = Vec::new();
        let (node, writes, written) = match &options.data {
            Some(path) => {
                let opened = open_data(path)?;
                let node = Node::replica(&options.node, opened.replica, opened.restored, now);
                remembered = opened.endpoints;
                let (writes, written) = writer::spawn(opened.storage)?;
                (node, Some(writes), Some(written))
            }
            None => (Node::entry(&options.node, now), None, None),
        };
        let digest_key = DigestKey::new(&options.peer_key);
        let links = Links::new(options.node.vm.clone(), options.peer_key, options.peers);
        let handle = NodeHandle(Rc::new(Shared {
            node: RefCell::new(node),
            start,
            view: View::default(),
            links,
            digest_key,
            calls: RefCell::default(),
            moves: RefCell::default(),
            writes,
            wake: Notify::new(),
            metrics,
        }));
        if let Some(address) = options.listen {
            links::accept(address, handle.clone())
                .wrap_err_with(|| format!("cannot take links on {address}"))?;
        }
        links::dial(&handle, &options.node.seeds);
        if let Some(written) = written {
            tokio::task::spawn_local(handle.clone().take_written(written));
        }
        tokio::task::spawn_local(handle.clone().keep_time());
        if !remembered.is_empty() {
            log::info!(
                event = EventId::EndpointsRecalled.number(), endpoints = remembered.len();
                "endpoints are known from before the start"
            );
            handle.input(Input::RestoreEndpoints(remembered));
        }
        Ok(handle)
    }

    /// What requests may read directly.
    pub fn view(&self) -> &View {
        &self.0.view
    }

    /// Time since the daemon's start, as the node counts it.
    pub fn now(&self) -> units::Instant {
        units::Instant(self.0.start.elapsed().as_micros() as u64)
    }

    /// Gives the node an input and carries out what it decides.
    pub fn input(&self, input: Input) {
        self.look_whether_suspended();
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let clocks = Clocks { now: self.now(), wall: UnixMillis(wall.as_millis() as u64) };
        let kind = input.kind();
        let began = Instant::now();
        let outputs = self.0.node.borrow_mut().handle(input, clocks);
        sight::input_decided(&self.0.metrics, kind, began.elapsed(), outputs.len());
        for output in outputs {
            self.carry_out(output);
        }
        self.0.wake.notify_one();
    }

    /// Lets all that rests on time look again if the VM has been suspended.
    pub fn look_whether_suspended(&self) {
        if let Some(time) = timer::look() {
            sight::was_suspended(&self.0.metrics, time);
            self.input(Input::Tick);
        }
    }

    /// The chance that an answer to this request would end within this time.
    pub(crate) fn chance_to_end(&self, req: &Request, within: Duration) -> f64 {
        self.0.node.borrow().completion_probability(req, within, self.now())
    }

    /// Identifies a part of a prompt on all daemons.
    pub(crate) fn part_digest(&self, part: PromptPart) -> ContentDigest {
        self.0.digest_key.part_digest(part)
    }

    /// Identifies a request on all daemons.
    pub(crate) fn digest(&self, req: &RequestIdentity<'_>) -> ContentDigest {
        self.0.digest_key.digest(req)
    }

    /// How a request with these contents may be sent; they are named only if there are any suspects.
    pub(crate) fn verdict(&self, contents: impl FnOnce() -> Vec<ContentDigest>) -> Verdict {
        let has_suspects = self.0.node.borrow().has_suspects();
        if !has_suspects {
            return Verdict::Sound;
        }
        let contents = contents();
        self.0.node.borrow().verdict(&contents)
    }

    /// Crashes counted against a content.
    pub(crate) fn crash_counts(&self, content: &ContentDigest) -> CrashCounts {
        self.0.node.borrow().crash_counts(content)
    }

    /// The limit that an endpoint names, if it does.
    pub(crate) fn limit(&self, endpoint: &str) -> Option<RateLimit> {
        self.0.node.borrow().rate_limit(endpoint)
    }

    /// Whether an endpoint may be sent a request, as far as it has rejected some.
    pub(crate) fn admission(&self, endpoint: &str) -> Admission {
        self.0.node.borrow().admission(endpoint, self.now())
    }

    /// The table of endpoints that have rejected requests, for those that are placed without the node.
    pub(crate) fn with_backoffs(&self, change: impl FnOnce(&mut BackoffTable, units::Instant)) {
        change(self.0.node.borrow_mut().backoffs_mut(), self.now());
    }

    /// Proves the peer key in both directions on a connection to another daemon.
    pub(crate) async fn authenticate(&self, socket: TcpStream, dialed: bool) -> Result<TcpStream> {
        handshake::authenticate(socket, self, dialed).await
    }

    /// Begins a planned stop of the node.
    pub fn stop(&self) {
        self.input(Input::Stop);
    }

    fn carry_out(&self, output: Output) {
        match output {
            Output::Send(vm, body) => self.0.links.send(&vm, body),
            Output::Persist(number, persist) => {
                if let Some(writes) = &self.0.writes {
                    // The writer ends only with the process.
                    let _ = writes.send(writer::Write::log(number, persist));
                }
            }
            Output::SaveEndpoints(endpoints) => {
                if let Some(writes) = &self.0.writes {
                    // The writer ends only with the process.
                    let _ = writes.send(writer::Write::endpoints(endpoints));
                }
            }
            Output::Reply(call, answer) => {
                if let Some(tx) = self.0.calls.borrow_mut().remove(&call) {
                    // An asker that stopped waiting has said so itself.
                    let _ = tx.send(answer);
                }
            }
            Output::ConfigActivated(active_config) => self.config_activated(active_config),
            Output::ConfigFreshness { fresh, confirmed, daemons, entries } => {
                self.fresh(fresh, confirmed);
                self.0.view.set_daemons(daemons, entries);
            }
            Output::HallsOut(halls) => self.take_halls_out(&halls),
            Output::SentChange(change) => sight::change_sent(&self.0.metrics, &change),
            Output::ConfigFetched(fetch) => sight::config_fetched(&fetch),
            Output::Suspect(suspect) => sight::suspect_changed(&suspect),
            Output::Suspects { suspects, quarantined } => {
                self.0.metrics.suspects(suspects, quarantined);
            }
            Output::Backoff { endpoint, left, backing_off } => {
                sight::backoff_changed(&self.0.metrics, &endpoint, left, backing_off);
            }
            Output::Load(load) => self.0.metrics.load(&load),
            Output::Refused { entry, refusal } => sight::rejected(&entry, &refusal),
            Output::RefusalsOmitted(count) => sight::rejections_omitted(count),
            Output::Limit { endpoint, limit, change, limited } => {
                sight::limit_changed(&self.0.metrics, &endpoint, limit, change, limited);
            }
            Output::ConfigRejected { version, reason } => log::error!(
                event = EventId::ConfigUnusable.number(), config = version, cause = reason;
                "an accepted configuration cannot come into force here"
            ),
            // This daemon asks no endpoint for its load; the scheduler keeps its own account.
            Output::Watch(_) => {}
            Output::Leader { vm, term } => log::info!(
                event = EventId::LeaderChanged.number(), peer = vm.as_deref().unwrap_or("-"),
                term = term;
                "the leader, as this daemon knows it"
            ),
            Output::SessionRenewed(vm) => log::info!(
                event = EventId::SessionRenewed.number(), peer = &*vm;
                "the peer had forgotten what it knew of this daemon: both begin anew"
            ),
            Output::Role(role) => sight::role_changed(&self.0.metrics, &role),
            Output::Forwarders(forwarders) => self.0.view.set_forwarders(forwarders),
            Output::Dial(vms) => links::dial(self, &vms),
            Output::Registered(changes) => self.registered(changes),
            Output::Move { call, from, to } => self.order_move(call, from, to),
        }
    }

    fn config_activated(&self, active_config: Arc<ActiveConfig>) {
        log::info!(
            event = EventId::ConfigInForce.number(), config = active_config.version,
            hash = active_config.hash.to_string().as_str(), routes = active_config.config.routes.len();
            "a configuration came into force"
        );
        self.0.view.publish(active_config);
    }

    fn take_halls_out(&self, halls: &HallsOut) {
        log::info!(
            event = EventId::HallsOut.number(), order = halls.number,
            halls = halls.names.join(",").as_str();
            "these data halls are out of service"
        );
        self.0.metrics.halls_out(halls.names.len());
    }

    fn registered(&self, changes: EndpointChanges) {
        for endpoint in &changes.changed {
            let known = self.0.view.endpoint(&endpoint.id);
            let known =
                known.map(|known| RegisteredEndpoint { sequence: endpoint.sequence, ..known });
            if known.as_ref() != Some(endpoint) {
                log::info!(
                    event = EventId::EndpointNews.number(), endpoint = &*endpoint.id,
                    service = &*endpoint.service, open = endpoint.available,
                    sequence = endpoint.sequence;
                    "an endpoint is new or has changed"
                );
            }
        }
        self.0.view.update_endpoints(changes);
    }

    fn fresh(&self, fresh: bool, confirmed: Option<units::Instant>) {
        let was_fresh = self.0.view.set_confirmed(fresh, confirmed);
        if fresh && !was_fresh {
            log::info!(event = EventId::ConfigFresh.number(); "the configuration is confirmed");
        }
        if !fresh && was_fresh {
            log::warn!(
                event = EventId::ConfigStale.number();
                "the configuration may be out of date: no control VM confirms it"
            );
        }
    }

    fn order_move(&self, call: CallId, from: Arc<str>, to: Arc<str>) {
        let orders = self.0.moves.borrow();
        let order = MoveOrder { from: from.clone(), to };
        let taken = orders.get(&call).is_some_and(|tx| tx.send(order).is_ok());
        drop(orders);
        if !taken {
            // The request is between two endpoints or has ended; the node hears of that too.
            let node = self.clone();
            tokio::task::spawn_local(async move {
                node.input(Input::Moved { call, at: from, done: false });
            });
        }
    }

    async fn take_written(self, mut written: writer::Written) {
        while let Some(done) = written.recv().await {
            sight::data_written(&self.0.metrics, &done);
            if let Some(number) = done.number {
                self.input(Input::Persisted(number));
            }
        }
    }

    async fn keep_time(self) {
        loop {
            let next = Duration::from_micros(self.0.node.borrow().next_tick().0);
            self.look_whether_suspended();
            let now = self.0.start.elapsed();
            let due = next.min(now + LONGEST_SLEEP);
            let wait = due.saturating_sub(now);
            if wait.is_zero() {
                self.input(Input::Tick);
                tokio::time::sleep(Duration::from_millis(1)).await;
                continue;
            }
            tokio::select! {
                () = tokio::time::sleep(wait) => self.input(Input::Tick),
                () = self.0.wake.notified() => {}
            }
            let late = self.0.start.elapsed().saturating_sub(due);
            sight::timer_came(&self.0.metrics, late);
        }
    }
}

/// Does work that takes long on another thread, so that links, timers and requests go on: reading
/// and checking a file of 4,250 routes keeps a VM of 0.6 cores busy for 82 ms.
pub async fn off_thread<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    match tokio::task::spawn_blocking(work).await {
        Ok(done) => done,
        Err(e) => std::panic::resume_unwind(e.into_panic()),
    }
}

/// Opens the data folder; an empty one becomes that of a new replica.
fn open_data(path: &Path) -> Result<writer::Opened> {
    let id = getrandom::u64().map_err(|e| eyre!("no random numbers: {e}"))?;
    let opened = writer::open(path, id)?;
    log::info!(
        event = EventId::StorageOpened.number(), replica = opened.replica,
        entries = opened.restored.entries.len(),
        snapshot = opened.restored.snapshot.is_some(),
        term = opened.restored.hard_state.term;
        "the data folder is open"
    );
    Ok(opened)
}

/// Sends on links and takes what comes over them.
impl NodeHandle {
    fn links(&self) -> &Links {
        &self.0.links
    }

    fn metrics(&self) -> &Metrics {
        &self.0.metrics
    }

    fn message(&self, vm: &VmName, body: Body) {
        self.input(Input::Message(vm.clone(), body));
    }
}
