//! Sessions of links: two daemons forget what they know of each other on both sides, or on none.
//!
//! Each side decides by itself that the other one is silent, and forgets what it was told. The other side may have
//! heard it all the time, or may not have run. So each side numbers its sessions and tells the other one when one
//! begins; whoever learns of another session than the one that its own belongs to begins anew.

use super::{ByVm, Outbox, VmName};
use crate::wire::{Body, SessionOpened};

/// The session with one daemon.
#[derive(Debug)]
struct Session {
    number: u64,
    /// Number that the other side has given it, once known.
    peer_number: Option<u64>,
}

/// The sessions with all daemons that are linked.
#[derive(Debug)]
pub(super) struct Sessions {
    next: u64,
    open: ByVm<Session>,
}

impl Sessions {
    /// Numbers sessions from a random number on, so that those of another run of this daemon are others.
    pub(super) fn numbered_from(number: u64) -> Sessions {
        Sessions { next: number, open: ByVm::new() }
    }

    /// Begins a session; `answers` is that of the other side which made it necessary.
    pub(super) fn open(&mut self, vm: &VmName, answers: Option<u64>, out: &mut Outbox) {
        let number = self.next;
        self.next = self.next.wrapping_add(1);
        self.open.insert(vm.clone(), Session { number, peer_number: answers });
        out.send(vm, Body::SessionOpened(SessionOpened { session: number, answers }));
    }

    pub(super) fn close(&mut self, vm: &VmName) {
        self.open.remove(vm);
    }

    /// Notes the session of the other side. Returns whether this side has to begin anew.
    pub(super) fn on_opened(&mut self, from: &VmName, opened: &SessionOpened) -> bool {
        let Some(session) = self.open.get_mut(from) else { return false };
        let known = session.peer_number.replace(opened.session);
        known.is_some_and(|known| known != opened.session) && opened.answers != Some(session.number)
    }
}
