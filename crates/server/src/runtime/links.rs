//! Links to other daemons: authenticated TCP connections that carry frames.
//!
//! Every daemon dials every control VM that it knows. Between two control VMs there may be two
//! links; each daemon sends on the one that came up last, unless that is silent and another one is not.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::BytesMut;
use eyre::{Result, WrapErr, bail, eyre};
use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio::{
    io::AsyncWriteExt,
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{Notify, mpsc, oneshot},
    task::JoinSet,
    time::timeout,
};
use tokio_util::codec::Encoder;
use trayswitch_core::{
    node::{Input, VmName},
    wire::{Envelope, FrameCodec},
};

use super::{
    NodeHandle,
    frames::{self, FrameReader, Stop},
    handshake::{Peer, shake_hands},
    link_table::{Heard, Waiting},
    sight,
};
use crate::{telemetry::EventId, upstream::socket};

/// After this silence, four empty messages, a link counts as down and is dialed anew. It stays open meanwhile:
/// a peer that waits for its processor goes on where it was.
const SILENCE: Duration = Duration::from_millis(2_000);
/// A link is closed after so many silences in a row.
const MAX_SILENCES: u32 = 3;
/// An idle link carries an empty message this often.
const KEEP_ALIVE: Duration = Duration::from_millis(500);
/// Time for connecting: many round trips inside a region. A VM without power answers nothing,
/// and one that has just come back is found by the next attempt.
const CONNECT: Duration = Duration::from_millis(200);
/// A connection on which the key is not proved by then is dialed once more beside it.
const REDIAL_BESIDE: Duration = Duration::from_millis(1_000);
/// Time for proving the key: both sides may wait for their processors more than once.
const HANDSHAKE: Duration = Duration::from_millis(6_000);
/// Pause before a link is dialed again, spread evenly up to twice this.
const REDIAL: Duration = Duration::from_millis(100);
/// Messages that may wait for a slow peer; with more, the link ends.
const MAX_QUEUE: usize = 4_096;
/// Bytes to an entry that the system may buffer; Linux doubles it. Pieces of a configuration fill it, and grants
/// queue behind them for up to 70 ms on a link of 7.5 Mbit/s.
const ENTRY_SEND_BUFFER: usize = 32 * 1024;
/// Bytes that one write may gather.
const MAX_WRITE: usize = 64 * 1024;

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
    let wanted: BTreeSet<&VmName> = vms.iter().filter(|vm| *vm != links.vm()).collect();
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

/// Dials a VM whenever its newest link has ended or gone silent.
async fn keep(vm: VmName, node: NodeHandle) {
    let mut running = JoinSet::new();
    let mut former = None;
    loop {
        let peer = dial_until_up(&vm, &node).await;
        let (link, rx, lost) = RunningLink::open(&vm, &node);
        let id = link.id;
        running.spawn_local(run(peer, link, rx));
        if let Some(former) = former.replace(id) {
            // It sends nothing more, and ends once the peer has read what was sent.
            node.links().remove(&vm, former);
        }
        // The sender is dropped.
        let _ = lost.await;
        while running.try_join_next().is_some() {}
        pause_before_redial().await;
    }
}

async fn pause_before_redial() {
    let spread = fastrand::u64(0..=REDIAL.as_millis() as u64);
    tokio::time::sleep(REDIAL + Duration::from_millis(spread)).await;
}

/// Connects to a VM and proves the key, again and again until it has worked. An attempt that takes long goes on
/// beside the next one.
async fn dial_until_up(vm: &VmName, node: &NodeHandle) -> Peer {
    let mut attempts = FuturesUnordered::new();
    loop {
        attempts.push(connect(vm, node));
        let next_attempt = tokio::time::sleep(REDIAL_BESIDE);
        tokio::pin!(next_attempt);
        while !attempts.is_empty() {
            tokio::select! {
                biased;
                Some(connected) = attempts.next() => match connected {
                    Ok(peer) => return peer,
                    Err(e) => log::debug!(peer = &**vm; "no link: {e:#}"),
                },
                () = &mut next_attempt => break,
            }
        }
        if attempts.is_empty() {
            pause_before_redial().await;
        }
    }
}

async fn connect(vm: &VmName, node: &NodeHandle) -> Result<Peer> {
    let address =
        node.links().peers.address(vm).ok_or_else(|| eyre!("\"{vm}\" is not an IP number"))?;
    let socket = timeout(CONNECT, socket::connect(address)).await.wrap_err("connecting")??;
    let peer = timeout(HANDSHAKE, shake_hands(socket, node, true)).await.wrap_err("no proof")??;
    if peer.vm != *vm {
        bail!("{address} is {}, not {vm}", peer.vm);
    }
    Ok(peer)
}

async fn take(socket: TcpStream, node: &NodeHandle) -> Result<()> {
    socket::tune(&socket)?;
    let peer =
        timeout(HANDSHAKE, shake_hands(socket, node, false)).await.wrap_err("no proof")??;
    if !node.links().dialed.borrow().contains_key(&peer.vm) {
        socket::bound_send_buffer(&peer.socket, ENTRY_SEND_BUFFER)?;
    }
    let (link, rx, _lost) = RunningLink::open(&peer.vm, node);
    run(peer, link, rx).await;
    Ok(())
}

/// A link that the node knows, until it is dropped.
struct RunningLink {
    vm: VmName,
    id: u64,
    node: NodeHandle,
    /// Notified once a message could not be queued.
    overflow: Rc<Notify>,
    /// Dropped once the link is silent.
    not_lost: Option<oneshot::Sender<()>>,
    /// Why it has ended, for its log line.
    reason: String,
}

impl RunningLink {
    /// Tells the node that a link is up. Returns it with the messages that it is to carry, and a receiver that fails
    /// once the link is silent or has ended.
    fn open(
        vm: &VmName,
        node: &NodeHandle,
    ) -> (RunningLink, mpsc::Receiver<Waiting>, oneshot::Receiver<()>) {
        let (tx, rx) = mpsc::channel(MAX_QUEUE);
        let (not_lost, lost) = oneshot::channel();
        let overflow = Rc::new(Notify::new());
        let (id, heard) = node.links().add(vm, tx, overflow.clone());
        let reason = "no longer wanted".to_owned();
        let link = RunningLink {
            vm: vm.clone(),
            id,
            node: node.clone(),
            overflow,
            not_lost: Some(not_lost),
            reason,
        };
        if heard.before {
            // The peer may have been started anew: what was known of it may no longer hold.
            node.input(Input::LinkDown(vm.clone()));
            node.input(Input::LinkUp(vm.clone()));
        } else {
            link.tell(heard);
        }
        (link, rx, lost)
    }

    fn set_silent(&mut self, is_silent: bool) {
        if is_silent {
            self.not_lost = None;
            self.reason = "the peer is silent".to_owned();
        }
        self.tell(self.node.links().set_silent(&self.vm, self.id, is_silent));
    }

    /// Tells the node if the VM is heard again or no longer.
    fn tell(&self, heard: Heard) {
        let vm = &self.vm;
        match (heard.before, heard.after) {
            (false, true) => {
                log::info!(event = EventId::LinkUp.number(), peer = &**vm; "a link is up");
                self.node.input(Input::LinkUp(vm.clone()));
            }
            (true, false) => {
                let reason = self.reason.as_str();
                log::warn!(
                    event = EventId::LinkDown.number(), peer = &**vm, reason;
                    "a link is down"
                );
                self.node.input(Input::LinkDown(vm.clone()));
            }
            _ => {}
        }
    }
}

impl Drop for RunningLink {
    fn drop(&mut self) {
        self.tell(self.node.links().remove(&self.vm, self.id));
    }
}

/// Runs a link until it ends.
async fn run(peer: Peer, mut link: RunningLink, rx: mpsc::Receiver<Waiting>) {
    let (read, write) = peer.socket.into_split();
    let frames = FrameReader::new(read, peer.read);
    let (vm, node, overflow) = (link.vm.clone(), link.node.clone(), link.overflow.clone());
    let ended = tokio::select! {
        ended = read_all(frames, &mut link) => ended,
        Err(e) = write_all(write, rx, &vm, &node) => Err(e),
        () = overflow.notified() => Err(eyre!("the peer does not take what is sent")),
    };
    link.reason = match ended {
        Ok(()) => "closed by the peer".to_owned(),
        Err(e) => format!("{e:#}"),
    };
}

async fn read_all(mut frames: FrameReader<OwnedReadHalf>, link: &mut RunningLink) -> Result<()> {
    let mut silences = 0;
    loop {
        match frames.next(SILENCE).await {
            Ok(envelope) => {
                if 0 < std::mem::take(&mut silences) {
                    link.set_silent(false);
                }
                if let Some(body) = envelope.body {
                    link.node.message(&link.vm, body);
                }
            }
            Err(Stop::Closed) => return Ok(()),
            Err(Stop::Failed(e)) => return Err(e),
            Err(Stop::Silent) => {
                silences += 1;
                if silences == MAX_SILENCES {
                    bail!("the peer is silent");
                }
                link.set_silent(true);
            }
        }
    }
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
            Ok(None) => return Ok(write.shutdown().await?),
            Err(_) => None,
        };
        let mut pieces = usize::from(first.as_ref().is_some_and(Waiting::is_piece));
        let began = Instant::now();
        let waited = first.as_ref().map_or(Duration::ZERO, |first| began - first.since);
        codec.encode(&Envelope { body: first.map(|first| first.body) }, &mut buf)?;
        // What has queued up meanwhile shares one write.
        while buf.len() < MAX_WRITE {
            let Ok(waiting) = rx.try_recv() else { break };
            pieces += usize::from(waiting.is_piece());
            codec.encode(&Envelope { body: Some(waiting.body) }, &mut buf)?;
        }
        frames::write_all(&mut write, &buf, SILENCE * MAX_SILENCES).await?;
        sight::written(node.metrics(), vm, buf.len(), waited, began.elapsed());
        buf.clear();
        for _ in 0..pieces {
            node.input(Input::PieceWritten(vm.clone()));
        }
    }
}
