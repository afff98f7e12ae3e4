//! Takes links from other daemons.

use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use eyre::{Result, WrapErr};

use super::stream::{self, Identity};
use crate::{node::NodeHandle, telemetry::EventId};

/// Connections that have not proved the key yet.
const MAX_HANDSHAKES: usize = 256;
const PAUSE: Duration = Duration::from_millis(50);
const STACK: usize = 256 * 1024;

/// Binds the address and takes links.
pub(crate) fn accept(address: SocketAddr, identity: Identity, node: NodeHandle) -> Result<()> {
    let listener =
        TcpListener::bind(address).wrap_err_with(|| format!("cannot take links on {address}"))?;
    let handshakes = Arc::new(AtomicUsize::new(0));
    let run = move || {
        loop {
            match listener.accept() {
                Ok((socket, from)) => take(socket, from, &identity, &node, &handshakes),
                Err(e) => {
                    log::warn!("{} cannot take a link: {e}", EventId::PeerRefused);
                    thread::sleep(PAUSE);
                }
            }
        }
    };
    thread::Builder::new().name("accept".into()).spawn(run)?;
    Ok(())
}

fn take(
    mut socket: TcpStream,
    from: SocketAddr,
    identity: &Identity,
    node: &NodeHandle,
    handshakes: &Arc<AtomicUsize>,
) {
    if MAX_HANDSHAKES <= handshakes.fetch_add(1, Ordering::Relaxed) {
        handshakes.fetch_sub(1, Ordering::Relaxed);
        return;
    }
    let (identity, node, handshakes) = (identity.clone(), node.clone(), handshakes.clone());
    let serve = move || {
        let peer = stream::shake_hands(&mut socket, &identity, false);
        handshakes.fetch_sub(1, Ordering::Relaxed);
        let ended = match peer {
            Ok(vm) => stream::run(socket, &vm, &node),
            Err(e) => {
                log::warn!("{} refused a link from {from}: {e:#}", EventId::PeerRefused);
                return;
            }
        };
        if let Err(e) = ended {
            log::debug!("link from {from} ended: {e:#}");
        }
    };
    if let Err(e) = thread::Builder::new().name("link-in".into()).stack_size(STACK).spawn(serve) {
        log::error!("{} no thread for a link: {e}", EventId::PeerRefused);
    }
}
