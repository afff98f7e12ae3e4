//! Sessions of links: two daemons forget what they know of each other on both sides, or on none.
//!
//! Each side decides by itself that the other one is silent, and forgets what it was told. The other side may have
//! heard it all the time, or may not have run. So both sides number their sessions and tell each other when one
//! begins. Whoever learns of a later one begins anew under its number; the higher number wins, so that both sides
//! come to the same one whatever they begin at the same time.

use super::{ByVm, Clocks, Node, Outbox, Output, VmName};
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

impl Node {
    pub(super) fn link_up(&mut self, vm: VmName, clocks: Clocks) {
        self.begin_session(vm, None, clocks);
    }

    /// Begins a session with a daemon: the next one, or one that has begun there.
    fn begin_session(&mut self, vm: VmName, begun_there: Option<u64>, clocks: Clocks) {
        let out = &mut self.outputs;
        // It goes first, since the other daemon forgets what it was told before.
        self.sessions.open(&vm, begun_there, out);
        if let Some(control) = &mut self.control {
            control.link_up(&vm, out);
        }
        self.client.link_up(&vm, clocks.now, out);
        self.directory.link_up(&vm, out);
        self.suspects.link_up(&vm);
        if self.control.is_some() {
            self.send_census(&vm);
        } else {
            self.stream_origins.link_up(&vm, clocks.now, &mut self.outputs);
        }
    }

    pub(super) fn link_down(&mut self, vm: &VmName, clocks: Clocks) {
        if let Some(control) = &mut self.control {
            control.link_down(vm, clocks, &mut self.outputs);
        }
        self.client.link_down(vm, clocks.now, &mut self.outputs);
        self.operations.link_down(vm);
        self.suspects.link_down(vm);
        self.endpoint_sources.link_down(vm, clocks.now);
        self.endpoint_subscribers.remove(vm);
        self.endpoint_sync.remove(vm, clocks.now);
        self.directory.link_down(vm);
        self.stream_origins.link_down(vm, &mut self.outputs);
    }

    /// Forgets what a daemon has told if it has forgotten what it was told.
    pub(super) fn on_session_opened(&mut self, from: &VmName, session: u64, clocks: Clocks) {
        if self.sessions.is_later(from, session, &mut self.outputs) {
            self.outputs.push(Output::SessionRenewed(from.clone()));
            self.link_down(from, clocks);
            self.begin_session(from.clone(), Some(session), clocks);
        }
    }
}
