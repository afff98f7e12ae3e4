//! A control VM and entries that are linked to it, with endpoints that answer by themselves.

use std::{
    cell::{Cell, RefCell},
    future::pending,
    io,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::AbortHandle,
};
use trayswitch_core::node::VmName;

use super::{
    fake_endpoint::FakeEndpoint,
    test_daemon::{FORWARD_PORT, LIMIT, TestDaemon, new_folder, relay_options, runtime_options_of},
};
use crate::{
    edge::{LocalFuture, Server},
    relay::RelayOptions,
    runtime::{PeerPort, RuntimeOptions},
    upstream::{Connector, TcpConnector},
};

const LINK_PORT: u16 = 7000;
/// Where an entry takes forwarded requests, behind its [`Hop`].
const HOP_PORT: u16 = FORWARD_PORT + 1;
/// Connect timeout of entries: reached only where a test lets connections hang.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// What happens to new connections of an entry to endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Network {
    Sound,
    /// They are refused.
    Refuses,
    /// They never come up.
    Hangs,
    /// They come up this late.
    Late(Duration),
}

/// A connector whose network a test can break.
struct TestConnector(Rc<Cell<Network>>);

impl Connector for TestConnector {
    fn connect(&self, address: SocketAddr) -> LocalFuture<'static, io::Result<TcpStream>> {
        match self.0.get() {
            Network::Sound => TcpConnector.connect(address),
            Network::Refuses => Box::pin(async { Err(io::ErrorKind::ConnectionRefused.into()) }),
            Network::Hangs => Box::pin(pending()),
            Network::Late(delay) => Box::pin(async move {
                tokio::time::sleep(delay).await;
                TcpConnector.connect(address).await
            }),
        }
    }
}

/// An entry whose network towards endpoints a test can break.
pub(super) struct TestEntry {
    pub(super) daemon: TestDaemon,
    pub(super) vm: VmName,
    _forwarded: Server,
    network: Rc<Cell<Network>>,
    hop: Hop,
}

impl TestEntry {
    /// Waits until a response with this text has been passed to another entry.
    pub(super) async fn wait_until_passed_on(&self, text: &str) {
        let has_passed = || String::from_utf8_lossy(&self.hop.passed.borrow()).contains(text);
        self.daemon.wait_until(has_passed).await;
    }

    /// Closes the connections of other entries that forward requests to this one, as if it was killed.
    pub(super) fn end_forwarding(&self) {
        self.hop.connections.take().iter().for_each(AbortHandle::abort);
    }

    /// Breaks or mends the network between this entry and all endpoints.
    pub(super) fn set_network(&self, network: Network) {
        self.network.set(network);
    }
}

/// The connections at which an entry takes forwarded requests.
#[derive(Clone, Default)]
struct Hop {
    connections: Rc<RefCell<Vec<AbortHandle>>>,
    /// What was passed to the other entries.
    passed: Rc<RefCell<Vec<u8>>>,
}

impl Hop {
    fn open(vm: Ipv4Addr) -> Hop {
        let hop = Hop::default();
        let listener = std::net::TcpListener::bind((vm, FORWARD_PORT)).unwrap();
        listener.set_nonblocking(true).unwrap();
        let listener = TcpListener::from_std(listener).unwrap();
        let opened = hop.clone();
        tokio::task::spawn_local(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let carrying = tokio::task::spawn_local(carry(socket, vm, opened.passed.clone()));
                opened.connections.borrow_mut().push(carrying.abort_handle());
            }
        });
        hop
    }
}

/// Carries a connection until either side ends it.
async fn carry(mut from: TcpStream, vm: Ipv4Addr, passed: Rc<RefCell<Vec<u8>>>) {
    let mut to = TcpStream::connect((vm, HOP_PORT)).await.unwrap();
    for socket in [&from, &to] {
        socket.set_nodelay(true).unwrap();
    }
    let ((mut from, mut from_write), (mut to, mut to_write)) = (from.split(), to.split());
    let back = async {
        let mut buf = Vec::new();
        while to.read_buf(&mut buf).await.is_ok_and(|n| 0 < n) {
            if from_write.write_all(&buf).await.is_err() {
                return;
            }
            passed.borrow_mut().append(&mut buf);
        }
    };
    tokio::select! {
        _ = tokio::io::copy(&mut from, &mut to_write) => {}
        () = back => {}
    }
}

/// The daemons of one site.
pub(super) struct TestFleet {
    pub(super) control: TestDaemon,
    pub(super) entries: Vec<TestEntry>,
}

impl TestFleet {
    /// Starts a control VM and entries, and waits until all are ready.
    pub(super) async fn start(entries: u8) -> TestFleet {
        TestFleet::start_in_halls(&vec![""; entries.into()]).await
    }

    /// The same, with an entry in each of these data halls.
    pub(super) async fn start_in_halls(halls: &[&str]) -> TestFleet {
        let site = Site::new();
        let control = TestDaemon::spawn_with(
            site.runtime_options(1, true),
            relay_options(LIMIT),
            Box::new(TcpConnector),
        );
        let control = control.configured().await;
        let mut fleet = TestFleet { control, entries: Vec::new() };
        for (number, hall) in (0..).zip(halls) {
            let network = Rc::new(Cell::new(Network::Sound));
            let options = RelayOptions { connect_timeout: CONNECT_TIMEOUT, ..relay_options(LIMIT) };
            let mut runtime = site.runtime_options(number + 2, false);
            runtime.node.hall = (*hall).to_owned();
            let daemon =
                TestDaemon::spawn_with(runtime, options, Box::new(TestConnector(network.clone())));
            daemon.wait_until_ready().await;
            let vm = site.vm(number + 2);
            let address: Ipv4Addr = vm.parse().unwrap();
            let _forwarded = daemon.accept_forwarded(SocketAddr::new(address.into(), HOP_PORT));
            let hop = Hop::open(address);
            fleet.entries.push(TestEntry { daemon, vm: vm.into(), _forwarded, network, hop });
        }
        for (entry, hall) in fleet.entries.iter().zip(halls) {
            let neighbors = halls.iter().filter(|other| *other == hall).count() - 1;
            entry.daemon.wait_for_forwarders(neighbors.min(2)).await;
        }
        fleet
    }

    /// Registers an endpoint and waits until all entries know it.
    pub(super) async fn register(&self, service: &str, name: &str) -> FakeEndpoint {
        self.register_version(service, name, "v1").await
    }

    /// The same, with a software version.
    pub(super) async fn register_version(
        &self,
        service: &str,
        name: &str,
        version: &str,
    ) -> FakeEndpoint {
        let endpoint = self.control.register_version(service, name, version).await;
        self.wait_until_known(name).await;
        endpoint
    }

    /// The same, for a run that tells when it was started.
    pub(super) async fn register_run(
        &self,
        service: &str,
        name: &str,
        started_at: u64,
    ) -> FakeEndpoint {
        let endpoint = self.control.register_run(service, name, started_at).await;
        self.wait_until_known(name).await;
        endpoint
    }

    async fn wait_until_known(&self, name: &str) {
        for entry in &self.entries {
            entry.daemon.wait_until(|| entry.daemon.is_open(name) == Some(true)).await;
        }
    }

    /// Registers an endpoint that answers calls, and generations with five events.
    pub(super) async fn register_answering(&self, service: &str, name: &str) -> Arrivals {
        let endpoint = self.register(service, name).await;
        answer_all(endpoint, service)
    }
}

/// Answers the requests of an endpoint: calls, and generations with five events.
pub(super) fn answer_all(mut endpoint: FakeEndpoint, service: &str) -> Arrivals {
    let arrivals = Arrivals::default();
    let seen = arrivals.clone();
    let is_engine = service == "engines";
    tokio::task::spawn_local(async move {
        loop {
            let arrival = endpoint.next_arrival().await;
            seen.0.borrow_mut().push(arrival.id.clone());
            if is_engine {
                let first = arrival.last_event_id.unwrap_or(0) + 1;
                arrival.stream_all(first..=5).await;
            } else {
                arrival.answer(200, "done");
            }
        }
    });
    arrivals
}

/// Ids of the requests that came to an endpoint, in order.
#[derive(Clone, Default)]
pub(super) struct Arrivals(Rc<RefCell<Vec<String>>>);

impl Arrivals {
    pub(super) fn all(&self) -> Vec<String> {
        self.0.borrow().clone()
    }
}

/// Loopback addresses that no other site has, in this process or another one.
struct Site {
    network: [u8; 2],
}

impl Site {
    fn new() -> Site {
        static NEXT: AtomicU8 = AtomicU8::new(0);
        let process = 64 + (std::process::id() % 128) as u8;
        Site { network: [process, NEXT.fetch_add(1, Ordering::Relaxed)] }
    }

    fn vm(&self, number: u8) -> String {
        Ipv4Addr::new(127, self.network[0], self.network[1], number).to_string()
    }

    fn runtime_options(&self, number: u8, is_control: bool) -> RuntimeOptions {
        let (vm, control) = (self.vm(number), self.vm(1));
        let folder = is_control.then(new_folder);
        let address = |port| SocketAddr::new(vm.parse().unwrap(), port);
        RuntimeOptions {
            listen: is_control.then(|| address(LINK_PORT)),
            peers: PeerPort(LINK_PORT),
            ..runtime_options_of(&vm, &control, folder)
        }
    }
}
