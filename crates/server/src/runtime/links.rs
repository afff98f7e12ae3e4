//! Links to other daemons: authenticated TCP connections that carry frames.
//!
//! Every daemon dials every control VM that it knows. Between two control VMs there may be two
//! links; each daemon sends on the one that came up last.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap},
    net::{IpAddr, SocketAddr},
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use eyre::{Result, WrapErr, bail, eyre};
use futures_util::StreamExt;
use prost::Message;
use tokio::{
    io::AsyncWriteExt,
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    time::timeout,
};
use tokio_util::codec::{Encoder, Framed, LengthDelimitedCodec};
use trayswitch_core::{
    node::{Input, VmName},
    wire::{Body, Envelope, FrameCodec, Handshake, Hello, Proof},
};

use super::{
    NodeHandle,
    frames::{self, FrameReader},
    sight,
};
use crate::{telemetry::EventId, upstream::socket};

/// A link is dropped after this silence: four empty messages.
const SILENCE: Duration = Duration::from_millis(2_000);
/// An idle link carries an empty message this often.
const KEEP_ALIVE: Duration = Duration::from_millis(500);
/// Time for connecting: many round trips inside a region. A VM without power answers nothing,
/// and one that has just come back is found by the next attempt.
const CONNECT: Duration = Duration::from_millis(200);
/// Time for proving the key.
const HANDSHAKE: Duration = Duration::from_millis(1_000);
/// Pause before a link is dialed again, spread evenly up to twice this.
const REDIAL: Duration = Duration::from_millis(100);
/// Messages that may wait for a slow peer; more are lost, as on a broken link.
const MAX_QUEUE: usize = 4_096;
/// Bytes that one write may gather.
const MAX_WRITE: usize = 64 * 1024;
/// Largest frame before the peer has proved its key.
const MAX_HANDSHAKE_FRAME: usize = 1024;

/// How the address of a control VM follows from its name.
#[derive(Debug, Clone, Copy)]
pub struct PeerPort(pub u16);

impl PeerPort {
    /// Names of control VMs are their IP numbers.
    pub(crate) fn address(self, vm: &VmName) -> Option<SocketAddr> {
        Some(SocketAddr::new(vm.parse::<IpAddr>().ok()?, self.0))
    }
}

/// A message that waits to be written.
struct Waiting {
    body: Body,
    since: Instant,
}

struct Link {
    id: u64,
    tx: mpsc::Sender<Waiting>,
}

/// The links that are up, by VM, and the VMs that are dialed.
pub(super) struct Links {
    vm: VmName,
    key: Vec<u8>,
    peers: PeerPort,
    up: RefCell<HashMap<VmName, Vec<Link>>>,
    dialed: RefCell<BTreeMap<VmName, tokio::task::JoinHandle<()>>>,
    next: Cell<u64>,
}

impl Links {
    pub(super) fn new(vm: VmName, key: Vec<u8>, peers: PeerPort) -> Links {
        Links {
            vm,
            key,
            peers,
            up: RefCell::default(),
            dialed: RefCell::default(),
            next: Cell::new(0),
        }
    }

    /// Sends on the newest link; what cannot be queued is lost.
    pub(super) fn send(&self, vm: &VmName, body: Body) {
        let up = self.up.borrow();
        let Some(link) = up.get(vm).and_then(|links| links.last()) else { return };
        let waiting = Waiting { body, since: Instant::now() };
        if link.tx.try_send(waiting).is_err() {
            log::warn!(
                event = EventId::LinkFull.number(), peer = &**vm;
                "a message was dropped: the peer does not take what is sent"
            );
        }
    }

    fn add(&self, vm: &VmName, tx: mpsc::Sender<Waiting>) -> (u64, bool) {
        self.next.set(self.next.get() + 1);
        let id = self.next.get();
        let mut up = self.up.borrow_mut();
        let links = up.entry(vm.clone()).or_default();
        links.push(Link { id, tx });
        (id, links.len() == 1)
    }

    /// Removes a link; returns whether it was the last one.
    fn remove(&self, vm: &VmName, id: u64) -> bool {
        let mut up = self.up.borrow_mut();
        let Some(links) = up.get_mut(vm) else { return false };
        links.retain(|link| link.id != id);
        let last = links.is_empty();
        if last {
            up.remove(vm);
        }
        last
    }
}

/// Takes links at an address.
pub(super) fn accept(address: SocketAddr, node: NodeHandle) -> Result<()> {
    let listener = socket::listen(address)?;
    tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((socket, from)) => {
                    let node = node.clone();
                    tokio::task::spawn_local(async move {
                        if let Err(e) = take(socket, &node).await {
                            log::debug!(from = from.to_string().as_str(); "link ended: {e:#}");
                        }
                    });
                }
                Err(e) => {
                    log::warn!(event = EventId::PeerRefused.number(); "cannot take a link: {e}");
                    tokio::time::sleep(REDIAL).await;
                }
            }
        }
    });
    Ok(())
}

/// Keeps a link to each of these control VMs, and to no others.
pub(super) fn dial(node: &NodeHandle, vms: &[VmName]) {
    let links = node.links();
    let wanted: BTreeSet<&VmName> = vms.iter().filter(|vm| **vm != links.vm).collect();
    let mut dialed = links.dialed.borrow_mut();
    dialed.retain(|vm, task| {
        let keep = wanted.contains(vm);
        if !keep {
            task.abort();
        }
        keep
    });
    for vm in wanted {
        if !dialed.contains_key(vm) {
            let task = tokio::task::spawn_local(keep(vm.clone(), node.clone()));
            dialed.insert(vm.clone(), task);
        }
    }
}

async fn keep(vm: VmName, node: NodeHandle) {
    loop {
        if let Err(e) = connect(&vm, &node).await {
            log::debug!(peer = &*vm; "link ended: {e:#}");
        }
        let spread = fastrand::u64(0..=REDIAL.as_millis() as u64);
        tokio::time::sleep(REDIAL + Duration::from_millis(spread)).await;
    }
}

async fn connect(vm: &VmName, node: &NodeHandle) -> Result<()> {
    let links = node.links();
    let address = links.peers.address(vm).ok_or_else(|| eyre!("\"{vm}\" is not an IP number"))?;
    let socket = timeout(CONNECT, socket::connect(address)).await.wrap_err("connecting")??;
    let peer = timeout(HANDSHAKE, shake_hands(socket, node, true)).await??;
    if peer.vm != *vm {
        bail!("{address} is {}, not {vm}", peer.vm);
    }
    run(peer, node).await
}

async fn take(socket: TcpStream, node: &NodeHandle) -> Result<()> {
    socket::tune(&socket)?;
    let peer = timeout(HANDSHAKE, shake_hands(socket, node, false)).await??;
    run(peer, node).await
}

/// A peer that has proved the key.
struct Peer {
    vm: VmName,
    socket: TcpStream,
    /// What it sent right behind its proof.
    read: BytesMut,
}

/// Proves the key in both directions on a connection that then carries another protocol. The side
/// that was dialed proves it last, so that the other one sends nothing before it is known.
pub(super) async fn authenticate(
    socket: TcpStream,
    node: &NodeHandle,
    dialed: bool,
) -> Result<TcpStream> {
    let authenticated = async {
        let links = node.links();
        let (handshake, mut frames) = begin_handshake(socket, links, dialed)?;
        send(&mut frames, handshake.hello()).await?;
        let hello: Hello = receive(&mut frames).await?;
        let proof = handshake.proof(&hello)?;
        if dialed {
            send(&mut frames, &proof).await?;
        }
        handshake.check(&hello, &receive(&mut frames).await?)?;
        if !dialed {
            send(&mut frames, &proof).await?;
        }
        let parts = frames.into_parts();
        if !parts.read_buf.is_empty() {
            bail!("{} has sent data before the handshake was complete", hello.vm);
        }
        Ok(parts.io)
    };
    timeout(HANDSHAKE, authenticated).await.wrap_err("no handshake in time")?
}

fn begin_handshake(
    socket: TcpStream,
    links: &Links,
    dialed: bool,
) -> Result<(Handshake<'_>, HandshakeFrames)> {
    let mut nonce = [0; 16];
    getrandom::fill(&mut nonce).map_err(|e| eyre!("no random numbers: {e}"))?;
    let handshake = Handshake::new(&links.key, &links.vm, nonce, dialed);
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_HANDSHAKE_FRAME).new_codec();
    Ok((handshake, Framed::new(socket, codec)))
}

/// Proves the key in both directions and returns the peer's name.
async fn shake_hands(socket: TcpStream, node: &NodeHandle, dialed: bool) -> Result<Peer> {
    let links = node.links();
    let (handshake, mut frames) = begin_handshake(socket, links, dialed)?;
    send(&mut frames, handshake.hello()).await?;
    let hello: Hello = receive(&mut frames).await?;
    let proof = handshake.proof(&hello)?;
    send(&mut frames, &proof).await?;
    let proof: Proof = receive(&mut frames).await?;
    handshake.check(&hello, &proof)?;
    if *hello.vm == *links.vm {
        bail!("the peer has the same name as this VM, {}", hello.vm);
    }
    let parts = frames.into_parts();
    Ok(Peer { vm: hello.vm.into(), socket: parts.io, read: parts.read_buf })
}

type HandshakeFrames = Framed<TcpStream, LengthDelimitedCodec>;

async fn send(frames: &mut HandshakeFrames, message: &impl Message) -> Result<()> {
    let mut buf = BytesMut::new();
    frames.codec_mut().encode(Bytes::from(message.encode_to_vec()), &mut buf)?;
    frames.get_mut().write_all(&buf).await?;
    Ok(())
}

async fn receive<T: Message + Default>(frames: &mut HandshakeFrames) -> Result<T> {
    let frame = frames.next().await.ok_or_else(|| eyre!("the peer ended the handshake"))??;
    T::decode(frame.freeze()).wrap_err("malformed handshake")
}

/// Runs an authenticated connection until it ends.
async fn run(peer: Peer, node: &NodeHandle) -> Result<()> {
    let Peer { vm, socket, read: first_bytes } = peer;
    let vm = &vm;
    let (read, write) = socket.into_split();
    let frames = FrameReader::new(read, first_bytes);
    let (tx, rx) = mpsc::channel(MAX_QUEUE);
    let (id, first) = node.links().add(vm, tx);
    let reason = "no longer wanted".to_owned();
    let guard = LinkGuard { vm: vm.clone(), id, node: node.clone(), reason };
    if first {
        log::info!(event = EventId::LinkUp.number(), peer = &**vm; "a link is up");
    } else {
        // The peer may have been started anew: what was known of it may no longer hold.
        node.input(Input::LinkDown(vm.clone()));
    }
    node.input(Input::LinkUp(vm.clone()));
    let ended = tokio::select! {
        ended = read_all(frames, vm, node) => ended,
        ended = write_all(write, rx, vm, node) => ended,
    };
    guard.end(&ended);
    ended
}

/// Tells the node when a link has ended, also when its task is aborted.
struct LinkGuard {
    vm: VmName,
    id: u64,
    node: NodeHandle,
    reason: String,
}

impl LinkGuard {
    /// Ends the link with what its log line gives as the reason.
    fn end(mut self, ended: &Result<()>) {
        self.reason = match ended {
            Ok(()) => "closed by the peer".to_owned(),
            Err(e) => format!("{e:#}"),
        };
    }
}

impl Drop for LinkGuard {
    fn drop(&mut self) {
        if self.node.links().remove(&self.vm, self.id) {
            let reason = self.reason.as_str();
            log::warn!(
                event = EventId::LinkDown.number(), peer = &*self.vm, reason;
                "a link is down"
            );
            self.node.input(Input::LinkDown(self.vm.clone()));
        }
    }
}

async fn read_all(
    mut frames: FrameReader<OwnedReadHalf>,
    vm: &VmName,
    node: &NodeHandle,
) -> Result<()> {
    while let Some(envelope) = frames.next(SILENCE).await? {
        if let Some(body) = envelope.body {
            node.message(vm, body);
        }
    }
    Ok(())
}

async fn write_all(
    mut write: OwnedWriteHalf,
    mut rx: mpsc::Receiver<Waiting>,
    vm: &VmName,
    node: &NodeHandle,
) -> Result<()> {
    let mut codec = FrameCodec::default();
    let mut buf = BytesMut::new();
    loop {
        let first = match timeout(KEEP_ALIVE, rx.recv()).await {
            Ok(Some(waiting)) => Some(waiting),
            Ok(None) => return Ok(()),
            Err(_) => None,
        };
        let began = Instant::now();
        let waited = first.as_ref().map_or(Duration::ZERO, |first| began - first.since);
        codec.encode(&Envelope { body: first.map(|first| first.body) }, &mut buf)?;
        // What has queued up meanwhile shares one write.
        while buf.len() < MAX_WRITE {
            let Ok(waiting) = rx.try_recv() else { break };
            codec.encode(&Envelope { body: Some(waiting.body) }, &mut buf)?;
        }
        frames::write_all(&mut write, &buf, SILENCE).await?;
        sight::written(node.metrics(), vm, buf.len(), waited, began.elapsed());
        buf.clear();
    }
}
