//! One connection: handshake, then a reading and a writing thread.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
        mpsc::{self, RecvTimeoutError},
    },
    thread,
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use eyre::{Result, WrapErr, bail};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};
use trayswitch_core::{
    node::{Input, VmName},
    wire::{Body, Envelope, FrameCodec, Handshake, Hello, Proof},
};

use super::{KEEP_ALIVE, LinkHandle, LinkId, RECEIVED, SENT, SILENCE};
use crate::node::{Event, NodeHandle};

const HANDSHAKE: Duration = Duration::from_secs(3);
/// Largest frame before the peer has proved its key.
const MAX_HANDSHAKE_FRAME: usize = 1024;
const READ: usize = 64 * 1024;
const STACK: usize = 256 * 1024;

/// Who this daemon is towards its peers.
#[derive(Clone)]
pub(crate) struct Identity {
    /// Name of this VM.
    pub(crate) vm: VmName,
    /// The shared key.
    pub(crate) key: Vec<u8>,
}

/// Proves the key in both directions and returns the peer's name.
pub(super) fn shake_hands(
    socket: &mut TcpStream,
    identity: &Identity,
    dialed: bool,
) -> Result<VmName> {
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(HANDSHAKE))?;
    socket.set_write_timeout(Some(HANDSHAKE))?;
    let mut nonce = [0; 16];
    getrandom::fill(&mut nonce).map_err(io::Error::other)?;
    let handshake = Handshake::new(&identity.key, &identity.vm, nonce, dialed);
    let mut frames = HandshakeFrames::new(socket);
    frames.write(handshake.hello())?;
    let hello: Hello = frames.read()?;
    let proof = handshake.proof(&hello)?;
    frames.write(&proof)?;
    let proof: Proof = frames.read()?;
    handshake.check(&hello, &proof)?;
    if !frames.buf.is_empty() {
        bail!("the peer sent more than its proof");
    }
    if *hello.vm == *identity.vm {
        bail!("the peer has the same name as this VM, {}", hello.vm);
    }
    Ok(hello.vm.into())
}

/// Runs an authenticated connection until it ends.
pub(super) fn run(socket: TcpStream, vm: &VmName, node: &NodeHandle) -> Result<()> {
    socket.set_read_timeout(Some(SILENCE))?;
    socket.set_write_timeout(Some(SILENCE))?;
    let id = LinkId::next();
    let (tx, rx) = mpsc::channel();
    let queued = Arc::new(AtomicUsize::new(0));
    let taken = queued.clone();
    let mut sending = socket.try_clone()?;
    let (peer, writer) = (vm.clone(), node.clone());
    let write = move || {
        let on_piece = || writer.input(Input::PieceWritten(peer.clone()));
        // The reading thread reports the end.
        let _ = write_all(&mut sending, &rx, &taken, on_piece);
        let _ = sending.shutdown(Shutdown::Both);
    };
    thread::Builder::new().name("link-out".into()).stack_size(STACK).spawn(write)?;
    node.send(Event::LinkUp(vm.clone(), LinkHandle { id, tx, queued }));
    let ended = read_all(socket, vm, id, node);
    node.send(Event::LinkDown(vm.clone(), id));
    ended
}

fn read_all(mut socket: TcpStream, vm: &VmName, id: LinkId, node: &NodeHandle) -> Result<()> {
    let mut codec = FrameCodec::default();
    let mut buf = BytesMut::new();
    let mut chunk = vec![0; READ];
    loop {
        let n = socket.read(&mut chunk)?;
        if n == 0 {
            let _ = socket.shutdown(Shutdown::Both);
            return Ok(());
        }
        RECEIVED.fetch_add(n as u64, Ordering::Relaxed);
        buf.extend_from_slice(&chunk[..n]);
        while let Some(envelope) = codec.decode(&mut buf)? {
            if let Some(body) = envelope.body {
                node.send(Event::Message(vm.clone(), id, body));
            }
        }
    }
}

fn write_all(
    socket: &mut TcpStream,
    rx: &mpsc::Receiver<Envelope>,
    queued: &AtomicUsize,
    on_piece_written: impl Fn(),
) -> Result<()> {
    let mut codec = FrameCodec::default();
    let mut buf = BytesMut::new();
    loop {
        let first = match rx.recv_timeout(KEEP_ALIVE) {
            Ok(envelope) => {
                queued.fetch_sub(1, Ordering::Relaxed);
                envelope
            }
            Err(RecvTimeoutError::Timeout) => Envelope::default(),
            Err(RecvTimeoutError::Disconnected) => return Ok(()),
        };
        let mut pieces = usize::from(is_piece(&first));
        codec.encode(&first, &mut buf)?;
        // What has queued up meanwhile shares one write.
        while let Ok(envelope) = rx.try_recv() {
            queued.fetch_sub(1, Ordering::Relaxed);
            pieces += usize::from(is_piece(&envelope));
            codec.encode(&envelope, &mut buf)?;
            if READ <= buf.len() {
                break;
            }
        }
        socket.write_all(&buf)?;
        SENT.fetch_add(buf.len() as u64, Ordering::Relaxed);
        buf.clear();
        (0..pieces).for_each(|_| on_piece_written());
    }
}

/// Whether the node is told when the link has taken it.
fn is_piece(envelope: &Envelope) -> bool {
    matches!(envelope.body, Some(Body::Piece(_)))
}

/// Frames of the handshake, small and read one by one.
struct HandshakeFrames<'a> {
    socket: &'a mut TcpStream,
    codec: LengthDelimitedCodec,
    buf: BytesMut,
}

impl<'a> HandshakeFrames<'a> {
    fn new(socket: &'a mut TcpStream) -> HandshakeFrames<'a> {
        let codec =
            LengthDelimitedCodec::builder().max_frame_length(MAX_HANDSHAKE_FRAME).new_codec();
        HandshakeFrames { socket, codec, buf: BytesMut::new() }
    }

    fn write(&mut self, message: &impl Message) -> Result<()> {
        let mut buf = BytesMut::new();
        self.codec.encode(Bytes::from(message.encode_to_vec()), &mut buf)?;
        Ok(self.socket.write_all(&buf)?)
    }

    /// Reads byte by byte, so that nothing behind the handshake is taken.
    fn read<T: Message + Default>(&mut self) -> Result<T> {
        loop {
            if let Some(frame) = self.codec.decode(&mut self.buf)? {
                return T::decode(frame.freeze()).wrap_err("malformed handshake");
            }
            let mut byte = [0];
            self.socket.read_exact(&mut byte).wrap_err("the peer ended the handshake")?;
            self.buf.extend_from_slice(&byte);
        }
    }
}
