//! Dials control replicas, again and again.

use std::{
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use eyre::Result;
use trayswitch_core::node::VmName;

use super::stream::{self, Identity};
use crate::{
    node::{NodeHandle, random},
    settings::Settings,
    telemetry::EventId,
};

const CONNECT: Duration = Duration::from_secs(2);
const SHORTEST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
const STACK: usize = 256 * 1024;

/// Keeps a link to every control replica that this VM has to dial.
pub(crate) fn dial_all(settings: &Settings, node: &NodeHandle) -> Result<()> {
    let own: VmName = settings.vm.as_str().into();
    for replica in &settings.replicas {
        let vm: VmName = replica.vm.as_str().into();
        let dials = vm != own && (!settings.is_replica() || vm < own);
        if !dials {
            continue;
        }
        let identity = Identity { vm: own.clone(), key: settings.keys.peer.clone() };
        let (node, address) = (node.clone(), replica.address);
        let keep = move || keep(&vm, address, &identity, &node);
        thread::Builder::new().name("link-in".into()).stack_size(STACK).spawn(keep)?;
    }
    Ok(())
}

fn keep(vm: &VmName, address: SocketAddr, identity: &Identity, node: &NodeHandle) {
    let mut pause = SHORTEST_PAUSE;
    loop {
        match connect(vm, address, identity) {
            Ok(socket) => {
                pause = SHORTEST_PAUSE;
                if let Err(e) = stream::run(socket, vm, node) {
                    log::debug!("link to {vm} ended: {e:#}");
                }
            }
            Err(e) => log::debug!("cannot link to {vm} at {address}: {e:#}"),
        }
        // Full jitter, so that daemons do not come back all at once.
        let spread = random().unwrap_or(0) % pause.as_millis().max(1) as u64;
        thread::sleep(Duration::from_millis(spread));
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

fn connect(vm: &VmName, address: SocketAddr, identity: &Identity) -> Result<TcpStream> {
    let mut socket = TcpStream::connect_timeout(&address, CONNECT)?;
    let found = stream::shake_hands(&mut socket, identity, true)?;
    if found != *vm {
        log::error!("{} {address} is {found}, the settings say {vm}", EventId::PeerRefused);
        eyre::bail!("{address} is {found}, the settings say {vm}");
    }
    Ok(socket)
}
