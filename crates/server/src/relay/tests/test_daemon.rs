//! A daemon for tests: a node that leads a single-member group, a relay and its listener.

use std::{
    cell::RefCell,
    fs::{self, File},
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::Duration,
};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::task::LocalSet;
use trayswitch_clock::Instant;
use trayswitch_core::{
    agreement::Timing,
    config::{CheckedDocument, Document},
    mechanism::Disabled,
    node::{Input, NodeCall, NodeOptions, NodeReply, NodeTiming, VmName},
    state::{ChangeId, EncodedDelta},
    wire::{Body, EndpointRecord, EndpointsWanted, Piece, PollReply},
};

use super::{
    fake_endpoint::FakeEndpoint,
    protocol::{ID, LAST_EVENT, RESUMES, TestProtocol},
};
use crate::{
    edge::{self, Server},
    overload::{LinkMonitor, OverloadMonitor},
    relay::{Relay, RelayOptions},
    runtime::{NodeHandle, PeerPort, RuntimeOptions},
    telemetry::Metrics,
    upstream::{Connector, OpenAnswer, TcpConnector, exchange},
};

/// Targets are long enough that no hedge or timeout occurs by chance.
const CONFIG: &str = "
[deployment]
name = test
version = 1
[tier all]
rank = 1
[service desk]
max_connections = 100
[service engines]
slots = 48
kv_tokens = 34000
moves = yes
longest_reservation = 2s
[route once]
host = host
path_prefix = /once/
services = desk:1
kind = single
timeout = 600s
target_latency = 600s
max_attempts = 3
public = yes
tier = all
[route soon]
host = host
path_prefix = /soon/
services = desk:1
kind = single
timeout = 600s
target_latency = 1ms
max_attempts = 3
public = yes
tier = all
[route again]
host = host
path_prefix = /again/
services = desk:1
kind = repeatable
timeout = 600s
target_latency = 600s
max_attempts = 2
public = yes
tier = all
[route chat]
host = host
path_prefix = /chat/
services = engines:1
kind = generation
timeout = 600s
target_latency = 600s
max_attempts = 3
public = yes
tier = all
[route brief]
host = host
path_prefix = /brief/
services = engines:1
kind = generation
timeout = 600s
target_latency = 10s
max_attempts = 3
public = yes
tier = all
[route recap]
host = host
path_prefix = /recap/
services = engines:1
kind = resumable_generation
timeout = 600s
target_latency = 600s
max_attempts = 2
public = yes
tier = all
";
/// Timeout of all waits and freshness bound of the configuration; reached only on a failure.
pub(super) const LIMIT: Duration = Duration::from_secs(60);
/// Memory budget of every daemon, in bytes.
pub(super) const MAX_BUFFERED: usize = 4 * 1024 * 1024;
/// Port at which daemons take forwarded requests.
pub(super) const FORWARD_PORT: u16 = 7001;
const HALL: &str = "hall-1";
/// The VMs of the daemon and of a control VM that is not running.
const VM: &str = "127.0.0.1";
const CONTROL: &str = "127.0.0.2";
/// Random seed of every daemon.
const SEED: u64 = 1;

/// The counter of a service's failed attempts by probe result.
pub(super) fn failed_attempts_metric(service: &str, endpoint: &str) -> String {
    format!("trayswitch_attempts_broken_off_total{{endpoint=\"{endpoint}\",service=\"{service}\"}}")
}

/// Runs a test on a single-threaded runtime; fails if it hangs.
pub(super) fn run_test<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let bounded = async { tokio::time::timeout(LIMIT, test).await.expect("the test timed out") };
    let result = LocalSet::new().block_on(&runtime, bounded);
    drop(runtime);
    DATA_FOLDERS.take().iter().for_each(|folder| remove_when_unlocked(folder));
    result
}

thread_local! {
    /// Data folders of the daemons that the current test has started.
    static DATA_FOLDERS: RefCell<Vec<PathBuf>> = const { RefCell::new(Vec::new()) };
}

/// Removes a data folder once its daemon has released the lock. A daemon whose folder disappears
/// aborts the process.
fn remove_when_unlocked(folder: &Path) {
    let lock = File::open(folder.join("lock")).unwrap();
    while lock.try_lock().is_err() {
        thread::yield_now();
    }
    // Leftovers are in the temporary directory.
    let _ = fs::remove_dir_all(folder);
}

/// A daemon with a relay and its listener.
pub(super) struct TestDaemon {
    node: NodeHandle,
    relay: Rc<Relay>,
    server: Server,
    metrics: Rc<Metrics>,
}

impl TestDaemon {
    /// Starts a daemon and waits until it is ready.
    pub(super) async fn open() -> TestDaemon {
        TestDaemon::start(LIMIT).configured().await
    }

    /// Starts a daemon that reads the responses to attempts that are not needed any more.
    pub(super) async fn with_late_responses() -> TestDaemon {
        let options = RelayOptions { late_response_timeout: LIMIT, ..relay_options(LIMIT) };
        TestDaemon::spawn(runtime_options(Some(new_folder())), options).configured().await
    }

    /// Starts a daemon whose retry budget is empty.
    pub(super) async fn without_retries() -> TestDaemon {
        let options = RelayOptions { retry_ratio: 0.0, retry_slack: 0.0, ..relay_options(LIMIT) };
        TestDaemon::spawn(runtime_options(Some(new_folder())), options).configured().await
    }

    pub(super) async fn configured(self) -> TestDaemon {
        let daemon = self;
        daemon.configure().await;
        daemon.wait_until(|| daemon.node.view().ready()).await;
        daemon
    }

    /// Starts a daemon without a configuration. Requests wait this long for one.
    pub(super) fn start(config_recovery_timeout: Duration) -> TestDaemon {
        let options = relay_options(config_recovery_timeout);
        TestDaemon::spawn(runtime_options(Some(new_folder())), options)
    }

    /// A daemon that got its configuration from a control VM which is now unreachable.
    pub(super) async fn without_scheduler() -> TestDaemon {
        TestDaemon::confirmed_once(LIMIT).await
    }

    /// The same, with the time that requests wait for a current configuration.
    pub(super) async fn confirmed_once(config_recovery_timeout: Duration) -> TestDaemon {
        let options = relay_options(config_recovery_timeout);
        let daemon = TestDaemon::spawn(runtime_options(None), options);
        daemon.confirm_config_once();
        daemon.wait_until(|| daemon.node.view().ready()).await;
        daemon
    }

    /// Simulates a leader that connects, replicates the configuration and disconnects.
    fn confirm_config_once(&self) {
        let leader: VmName = CONTROL.into();
        let document = Document::parse("test.ini", CONFIG).unwrap();
        let hash = Bytes::copy_from_slice(&document.content_hash().0);
        let delta = EncodedDelta::write(&Document::default().delta_to(&document));
        let reply = PollReply {
            // A daemon's first poll has the nonce after its seed.
            nonce: SEED + 1,
            version: 1,
            hash: hash.clone(),
            term: 1,
            daemons: 1,
            ..PollReply::default()
        };
        let change = ChangeId { version: 1, base: 0, hash };
        let piece = Piece { change, number: 0, last: true, delta };
        self.node.input(Input::LinkUp(leader.clone()));
        self.node.input(Input::Message(leader.clone(), Body::PollReply(reply)));
        self.node.input(Input::Message(leader.clone(), Body::Piece(piece)));
        self.node.input(Input::LinkDown(leader));
    }

    fn spawn(runtime: RuntimeOptions, options: RelayOptions) -> TestDaemon {
        TestDaemon::spawn_with(runtime, options, Box::new(TcpConnector))
    }

    /// Starts a daemon that connects to endpoints with this connector.
    pub(super) fn spawn_with(
        runtime: RuntimeOptions,
        options: RelayOptions,
        connector: Box<dyn Connector>,
    ) -> TestDaemon {
        let metrics = Rc::new(Metrics::new().unwrap());
        let node = NodeHandle::spawn(runtime, metrics.clone()).unwrap();
        let protocol = Box::new(TestProtocol);
        let link = LinkMonitor::spawn(None, metrics.clone());
        let overload = OverloadMonitor::spawn(link, metrics.clone());
        let (hall, metrics_of_relay) = (HALL.into(), metrics.clone());
        let relay = Relay::spawn(
            node.clone(),
            protocol,
            hall,
            options,
            metrics_of_relay,
            connector,
            overload,
        );
        let server = edge::bind("127.0.0.1:0".parse().unwrap(), relay.clone()).unwrap();
        TestDaemon { node, relay, server, metrics }
    }

    /// Commits the configuration.
    pub(super) async fn configure(&self) {
        self.commit(1, CONFIG).await;
    }

    /// Commits a version of the configuration that has further sections.
    pub(super) async fn reconfigure(&self, version: u64, sections: &str) {
        let text = CONFIG.replace("version = 1", &format!("version = {version}"));
        self.commit(version, &(text + sections)).await;
    }

    /// The same, for callers without keys.
    pub(super) async fn reconfigure_without_keys(&self, version: u64, sections: &str) {
        let keys = format!("version = {version}\nkeys_required = no");
        self.commit(version, &(CONFIG.replace("version = 1", &keys) + sections)).await;
    }

    async fn commit(&self, version: u64, text: &str) {
        let document = Document::parse("test.ini", text).unwrap();
        let checked = CheckedDocument::new("test.ini", document).unwrap();
        self.node.submit("test.ini", &checked, false, LIMIT).await.unwrap();
        let active = || self.node.view().active_config().map(|active| active.version);
        self.wait_until(|| active() == Some(version)).await;
    }

    /// Suspends the VM for longer than the configuration stays current.
    pub(super) fn suspend(&self) {
        trayswitch_clock::simulate_suspend(LIMIT);
    }

    /// Begins a planned stop; the daemon is to end after `time_left`.
    pub(super) fn begin_stop(&self, time_left: Duration) {
        self.node.view().begin_stop(Instant::now() + time_left);
        self.node.stop();
    }

    /// Whether the readiness check passes.
    pub(super) fn is_ready(&self) -> bool {
        self.node.look_whether_suspended();
        self.node.view().ready()
    }

    /// Whether another daemon connects to an endpoint; `None` if none has answered.
    pub(super) async fn ask_forwarders(&self, name: &str) -> Option<bool> {
        let endpoint = self.node.view().endpoint(name).unwrap();
        self.relay.ask_forwarders(&endpoint).await
    }

    /// Whether calls to this service are hedged.
    pub(super) fn has_hedge_delay(&self, service: &str) -> bool {
        self.relay.hedge_delay(service).is_some()
    }

    /// Waits until a caller has connected.
    pub(super) async fn wait_for_connection(&self) {
        self.wait_until(|| 0 < self.server.open()).await;
    }

    /// Waits until no caller is connected and no request is in progress.
    pub(super) async fn wait_until_idle(&self) {
        self.wait_until(|| self.server.open() == 0 && self.in_progress() == 0).await;
    }

    /// Waits until `count` requests are in progress.
    pub(super) async fn wait_for_in_progress(&self, count: u64) {
        self.wait_until(|| self.in_progress() == count).await;
    }

    fn in_progress(&self) -> u64 {
        self.metric("trayswitch_requests_in_progress").unwrap()
    }

    /// Waits until a metric has this value.
    pub(super) async fn wait_for_metric(&self, name: &str, count: u64) {
        self.wait_until(|| self.metric(name) == Some(count)).await;
    }

    /// The value of a metric by name and labels, if it exists.
    pub(super) fn metric(&self, name: &str) -> Option<u64> {
        let text = self.metrics.text().unwrap();
        let line = text.lines().find(|line| line.split(' ').next() == Some(name));
        line.and_then(|line| line.split(' ').next_back()?.parse().ok())
    }

    /// Requests that the scheduler counts as running, on all engines.
    pub(super) async fn running_requests(&self) -> u64 {
        let call = self.node.view().next_call();
        match self.node.ask(call, NodeCall::Endpoints, LIMIT).await {
            Some(NodeReply::Endpoints(endpoints)) => endpoints.iter().map(|e| e.running).sum(),
            other => panic!("{other:?}"),
        }
    }

    /// Registers an endpoint and waits until it can be selected.
    pub(super) async fn register(&self, service: &str, name: &str) -> FakeEndpoint {
        self.register_with_slots(service, name, 48).await
    }

    /// The same, with a number of slots.
    pub(super) async fn register_with_slots(
        &self,
        service: &str,
        name: &str,
        slots: u64,
    ) -> FakeEndpoint {
        self.register_record(name, |record| EndpointRecord {
            service: service.to_owned(),
            slots,
            ..record
        })
        .await
    }

    /// The same, with a software version.
    pub(super) async fn register_version(
        &self,
        service: &str,
        name: &str,
        software_version: &str,
    ) -> FakeEndpoint {
        self.register_record(name, |record| EndpointRecord {
            service: service.to_owned(),
            software_version: software_version.to_owned(),
            ..record
        })
        .await
    }

    /// The same, for a run that tells when it was started.
    pub(super) async fn register_run(
        &self,
        service: &str,
        name: &str,
        started_at: u64,
    ) -> FakeEndpoint {
        let endpoint = self
            .register_record(name, |record| EndpointRecord {
                service: service.to_owned(),
                born: started_at,
                ..record
            })
            .await;
        endpoint.set_started_at(started_at);
        endpoint
    }

    async fn register_record(
        &self,
        name: &str,
        change: impl FnOnce(EndpointRecord) -> EndpointRecord,
    ) -> FakeEndpoint {
        let endpoint = FakeEndpoint::open();
        let record = change(heartbeat("", name, endpoint.address()));
        self.register_heartbeat(record).await;
        endpoint
    }

    /// Registers an endpoint that listens at an address.
    pub(super) async fn register_address(&self, service: &str, name: &str, address: SocketAddr) {
        self.register_heartbeat(heartbeat(service, name, address)).await;
    }

    /// The same, for a run that tells when it was started.
    pub(super) async fn register_run_at(
        &self,
        service: &str,
        name: &str,
        started_at: u64,
        address: SocketAddr,
    ) {
        let record = heartbeat(service, name, address);
        self.register_heartbeat(EndpointRecord { born: started_at, ..record }).await;
    }

    async fn register_heartbeat(&self, record: EndpointRecord) {
        let name = record.id.clone();
        self.node.input(Input::Heartbeat(record));
        self.wait_until(|| self.is_open(&name) == Some(true)).await;
    }

    /// Registers a new run of an endpoint under the same name.
    pub(super) async fn restart_endpoint(&self, service: &str, name: &str) -> FakeEndpoint {
        let endpoint = FakeEndpoint::open();
        let record = heartbeat(service, name, endpoint.address());
        self.node.input(Input::Heartbeat(EndpointRecord { born: 1, ..record }));
        self.wait_until(|| {
            self.node.view().endpoint(name).is_some_and(|known| known.started_at == 1)
        })
        .await;
        endpoint
    }

    /// Announces that an endpoint is leaving; waits until it is closed to new requests.
    pub(super) async fn announce_leaving(&self, name: &str) {
        self.node.input(Input::EndpointDeregistered(name.into()));
        self.wait_until(|| self.is_open(name) == Some(false)).await;
    }

    /// Takes the endpoints' data hall out of service or puts it back; waits until the endpoint
    /// `name` reflects this.
    pub(super) async fn set_hall_out(&self, out: bool, name: &str) {
        self.node.order_hall(HALL, out, LIMIT).await.expect("the order is confirmed");
        self.wait_until(|| self.is_open(name) == Some(!out)).await;
    }

    /// Registers an endpoint while more answers to another daemon wait than its link takes.
    pub(super) fn register_beside_full_queue(&self, name: &str, to: &VmName) -> FakeEndpoint {
        let endpoint = FakeEndpoint::open();
        for _ in 0..5_000 {
            let wanted = Body::EndpointsWanted(EndpointsWanted { parts: vec![0] });
            self.node.input(Input::Message(to.clone(), wanted));
        }
        self.node.input(Input::Heartbeat(heartbeat("desk", name, endpoint.address())));
        self.node.input(Input::Tick);
        endpoint
    }

    pub(super) fn is_open(&self, name: &str) -> Option<bool> {
        self.node.view().endpoint(name).map(|endpoint| endpoint.available)
    }

    /// Takes requests that other daemons forward.
    pub(super) fn accept_forwarded(&self, address: SocketAddr) -> Server {
        self.relay.accept_forwarded(address).unwrap()
    }

    /// Waits until `count` other daemons are known that take forwarded requests.
    pub(super) async fn wait_for_forwarders(&self, count: usize) {
        self.wait_until(|| self.node.view().forwarders().near.len() == count).await;
    }

    /// Waits until the daemon is ready.
    pub(super) async fn wait_until_ready(&self) {
        self.wait_until(|| self.node.view().ready()).await;
    }

    /// Yields to other tasks until `condition` holds.
    pub(super) async fn wait_until(&self, condition: impl Fn() -> bool) {
        while !condition() {
            tokio::task::yield_now().await;
        }
    }

    /// Where callers connect.
    pub(super) fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sends a request and waits for the response head.
    pub(super) async fn send(&self, path: &str, id: &str) -> OpenAnswer {
        self.send_with(path, id, &[]).await
    }

    /// Takes up the stream that the request `resumes` began, after its event `last`.
    pub(super) async fn take_up(
        &self,
        path: &str,
        id: &str,
        resumes: &str,
        last: u64,
    ) -> OpenAnswer {
        self.send_with(path, id, &[(RESUMES, resumes), (LAST_EVENT, &last.to_string())]).await
    }

    /// Sends a request with further headers and waits for the response head.
    pub(super) async fn send_with(
        &self,
        path: &str,
        id: &str,
        headers: &[(&str, &str)],
    ) -> OpenAnswer {
        let mut req = Request::post(path).header(http::header::HOST, "host").header(ID, id);
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::default()).unwrap();
        let answer = exchange(self.server.address(), req, LIMIT);
        tokio::time::timeout(LIMIT, answer).await.unwrap().unwrap()
    }
}

/// The first heartbeat of an endpoint with 48 slots.
fn heartbeat(service: &str, name: &str, address: SocketAddr) -> EndpointRecord {
    EndpointRecord {
        id: name.to_owned(),
        service: service.to_owned(),
        address: address.to_string(),
        hall: HALL.to_owned(),
        slots: 48,
        sequence: 1,
        software_version: "v1".to_owned(),
        ..EndpointRecord::default()
    }
}

pub(super) fn relay_options(config_recovery_timeout: Duration) -> RelayOptions {
    RelayOptions {
        max_config_age: LIMIT,
        retry_ratio: 0.2,
        retry_slack: 50.0,
        retry_window: Duration::from_secs(10),
        forward_port: PeerPort(FORWARD_PORT),
        connect_timeout: LIMIT,
        late_response_timeout: Duration::ZERO,
        copy_timeout: LIMIT,
        config_recovery_timeout,
        max_buffered: MAX_BUFFERED,
        disabled: Disabled::default(),
    }
}

fn runtime_options(folder: Option<PathBuf>) -> RuntimeOptions {
    let control = if folder.is_some() { VM } else { CONTROL };
    runtime_options_of(VM, control, folder)
}

/// How the daemon of a VM runs that belongs to the group of the control VM `control`.
pub(super) fn runtime_options_of(
    vm: &str,
    control: &str,
    folder: Option<PathBuf>,
) -> RuntimeOptions {
    RuntimeOptions {
        node: NodeOptions {
            vm: vm.into(),
            hall: String::new(),
            seeds: vec![control.into()],
            founders: vec![control.into()],
            max_voters: 1,
            takes_callers: true,
            polls_loads: false,
            endpoint_heartbeat: LIMIT,
            timing: NodeTiming {
                agreement: Timing {
                    heartbeat: Duration::from_millis(20),
                    election: Duration::from_millis(100),
                },
                poll: Duration::from_millis(50),
                stale_after: LIMIT,
            },
            seed: SEED,
            disabled: Disabled::default(),
        },
        data: folder,
        listen: None,
        peers: PeerPort(0),
        peer_key: b"test".to_vec(),
    }
}

pub(super) fn new_folder() -> PathBuf {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let (pid, number) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let folder = std::env::temp_dir().join(format!("trayswitch-relay-{pid}-{number}"));
    fs::create_dir_all(&folder).unwrap();
    DATA_FOLDERS.with_borrow_mut(|folders| folders.push(folder.clone()));
    folder
}
