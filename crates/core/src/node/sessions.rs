//! Sessions of links: two daemons forget what they know of each other on both sides, or on none.
//!
//! Each side decides by itself that the other one is silent, and forgets what it was told. The other side may have
//! heard it all the time, or may not have run. So both sides number their sessions and tell each other when one
//! begins. Whoever learns of a later one begins anew under its number; the higher number wins, so that both sides
//! come to the same one whatever they begin at the same time.

use super::{ByVm, Outbox, VmName};
use crate::wire::{Body, SessionOpened};

/// The latest session with each daemon that was ever linked.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Sessions {
    latest: ByVm<u64>,
}

impl Sessions {
    /// Begins the next session, or a later one that the other side has begun.
    pub(super) fn open(&mut self, vm: &VmName, begun_there: Option<u64>, out: &mut Outbox) {
        let latest = self.latest.entry(vm.clone()).or_default();
        *latest = begun_there.unwrap_or(*latest + 1);
        out.send(vm, Body::SessionOpened(SessionOpened { session: *latest }));
    }

    /// Whether a session that the other side has begun is later than the one here. Tells a side that is behind.
    pub(super) fn is_later(&self, from: &VmName, session: u64, out: &mut Outbox) -> bool {
        let latest = self.latest(from);
        if session < latest {
            out.send(from, Body::SessionOpened(SessionOpened { session: latest }));
        }
        latest < session
    }

    /// Number of the latest session with a daemon; 0 if there was none.
    pub(super) fn latest(&self, vm: &VmName) -> u64 {
        self.latest.get(vm).copied().unwrap_or_default()
    }
}
