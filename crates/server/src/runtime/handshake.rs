//! Proves the daemons' key in both directions on a new connection.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use eyre::{Result, WrapErr, bail, eyre};
use futures_util::StreamExt;
use prost::Message;
use tokio::{io::AsyncWriteExt, net::TcpStream, time::timeout};
use tokio_util::codec::{Encoder, Framed, LengthDelimitedCodec};
use trayswitch_core::{
    node::VmName,
    wire::{Handshake, Hello, Proof},
};

use super::{NodeHandle, link_table::Links};

/// Time for proving the key on a connection that then carries another protocol.
const AUTHENTICATION: Duration = Duration::from_millis(1_000);
/// Largest frame before the peer has proved its key.
const MAX_HANDSHAKE_FRAME: usize = 1024;

/// A peer that has proved the key.
pub(super) struct Peer {
    pub(super) vm: VmName,
    pub(super) socket: TcpStream,
    /// What it sent right behind its proof.
    pub(super) read: BytesMut,
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
    timeout(AUTHENTICATION, authenticated).await.wrap_err("no handshake in time")?
}

fn begin_handshake(
    socket: TcpStream,
    links: &Links,
    dialed: bool,
) -> Result<(Handshake<'_>, HandshakeFrames)> {
    let mut nonce = [0; 16];
    getrandom::fill(&mut nonce).map_err(|e| eyre!("no random numbers: {e}"))?;
    let handshake = Handshake::new(links.key(), links.vm(), nonce, dialed);
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_HANDSHAKE_FRAME).new_codec();
    Ok((handshake, Framed::new(socket, codec)))
}

/// Proves the key in both directions and returns the peer's name.
pub(super) async fn shake_hands(
    socket: TcpStream,
    node: &NodeHandle,
    dialed: bool,
) -> Result<Peer> {
    let links = node.links();
    let (handshake, mut frames) = begin_handshake(socket, links, dialed)?;
    send(&mut frames, handshake.hello()).await?;
    let hello: Hello = receive(&mut frames).await?;
    let proof = handshake.proof(&hello)?;
    send(&mut frames, &proof).await?;
    let proof: Proof = receive(&mut frames).await?;
    handshake.check(&hello, &proof)?;
    if *hello.vm == **links.vm() {
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
