//! The links that are up, by VM, and which of them carries a message.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Instant,
};

use tokio::sync::{Notify, mpsc};
use trayswitch_core::{node::VmName, wire::Body};

use crate::telemetry::EventId;

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
pub(super) struct Waiting {
    pub(super) body: Body,
    pub(super) since: Instant,
}

impl Waiting {
    /// Whether the node is told when the link has taken it.
    pub(super) fn is_piece(&self) -> bool {
        matches!(self.body, Body::Piece(_))
    }
}

struct Link {
    id: u64,
    tx: mpsc::Sender<Waiting>,
    /// Notified once a message could not be queued.
    overflow: Rc<Notify>,
    is_silent: bool,
}

/// Whether anything is heard of a VM, before and after a change of its links.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Heard {
    pub(super) before: bool,
    pub(super) after: bool,
}

/// The links that are up, by VM, and the VMs that are dialed.
pub(super) struct Links {
    vm: VmName,
    key: Vec<u8>,
    pub(super) peers: PeerPort,
    up: RefCell<HashMap<VmName, Vec<Link>>>,
    pub(super) dialed: RefCell<BTreeMap<VmName, tokio::task::JoinHandle<()>>>,
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

    /// Sends on the newest link that is not silent, or else on the newest. A link on which a message cannot be
    /// queued is to end, since the peer would never be told what was dropped.
    pub(super) fn send(&self, vm: &VmName, body: Body) {
        let up = self.up.borrow();
        let Some(links) = up.get(vm) else { return };
        let heard = links.iter().rfind(|link| !link.is_silent);
        let Some(link) = heard.or(links.last()) else { return };
        let waiting = Waiting { body, since: Instant::now() };
        if link.tx.try_send(waiting).is_err() {
            link.overflow.notify_one();
            log::warn!(
                event = EventId::LinkFull.number(), peer = &**vm;
                "a message was dropped: the peer does not take what is sent"
            );
        }
    }

    /// This VM's name.
    pub(super) fn vm(&self) -> &VmName {
        &self.vm
    }

    /// The daemons' key.
    pub(super) fn key(&self) -> &[u8] {
        &self.key
    }

    pub(super) fn add(
        &self,
        vm: &VmName,
        tx: mpsc::Sender<Waiting>,
        overflow: Rc<Notify>,
    ) -> (u64, Heard) {
        self.next.set(self.next.get() + 1);
        let id = self.next.get();
        (id, self.change(vm, |links| links.push(Link { id, tx, overflow, is_silent: false })))
    }

    pub(super) fn remove(&self, vm: &VmName, id: u64) -> Heard {
        self.change(vm, |links| links.retain(|link| link.id != id))
    }

    pub(super) fn set_silent(&self, vm: &VmName, id: u64, is_silent: bool) -> Heard {
        self.change(vm, |links| {
            if let Some(link) = links.iter_mut().find(|link| link.id == id) {
                link.is_silent = is_silent;
            }
        })
    }

    fn change(&self, vm: &VmName, change: impl FnOnce(&mut Vec<Link>)) -> Heard {
        let mut up = self.up.borrow_mut();
        let links = up.entry(vm.clone()).or_default();
        let is_heard = |links: &[Link]| links.iter().any(|link| !link.is_silent);
        let before = is_heard(links);
        change(links);
        let heard = Heard { before, after: is_heard(links) };
        if links.is_empty() {
            up.remove(vm);
        }
        heard
    }
}
