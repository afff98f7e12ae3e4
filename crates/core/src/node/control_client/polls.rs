//! Polls of the leader: what is current and whether it still leads.

use bytes::Bytes;

use super::ControlClient;
use crate::{
    node::{Outbox, VmName},
    quarantine::SuspectCacheState,
    units::Instant,
    wire::{Body, Poll},
};

/// A poll that waits for its reply.
#[derive(Debug, Clone, Copy)]
pub(super) struct SentPoll {
    pub(super) nonce: u64,
    pub(super) at: Instant,
}

impl ControlClient {
    /// The VM to poll: the leader, or else a replica that may know it.
    pub(super) fn poll_target(&mut self) -> Option<VmName> {
        if let Some(leader) = self.leader() {
            return Some(leader.clone());
        }
        let reachable = |vm: &VmName| *vm == self.sources.vm || self.sources.links.contains(vm);
        if let Some(hint) = self.leader_hint.take().filter(reachable) {
            return Some(hint);
        }
        let reachable: Vec<VmName> =
            self.sources.replicas.iter().filter(|vm| reachable(vm)).cloned().collect();
        self.next_replica = self.next_replica.wrapping_add(1);
        let count = reachable.len();
        reachable.into_iter().nth(self.next_replica.checked_rem(count)?)
    }

    /// Sets how current the suspect cache is; polls again at once if the leader has more changes.
    pub(crate) fn set_suspects_state(
        &mut self,
        state: SuspectCacheState,
        has_more: bool,
        now: Instant,
        out: &mut Outbox,
    ) {
        let has_changed = self.suspects_state != state;
        self.suspects_state = state;
        if let (true, true, Some(leader)) = (has_changed, has_more, self.leader().cloned()) {
            self.send_poll(leader, now, out);
        }
    }

    /// Sets whether this daemon takes forwarded requests; reports a change to the leader at once.
    pub(crate) fn set_accepts_forwarded(&mut self, accepts: bool, now: Instant, out: &mut Outbox) {
        if std::mem::replace(&mut self.accepts_forwarded, accepts) == accepts {
            return;
        }
        if let Some(leader) = self.leader().cloned() {
            self.send_poll(leader, now, out);
        }
    }

    /// Reports the start of a planned stop to the leader.
    pub(crate) fn stop(&mut self, now: Instant, out: &mut Outbox) {
        self.stopping = true;
        if let Some(leader) = self.leader().cloned() {
            self.send_poll(leader, now, out);
        }
    }

    /// Sends a poll with this daemon's state; the reply contains what it lacks.
    pub(super) fn send_poll(&mut self, to: VmName, now: Instant, out: &mut Outbox) {
        const MAX_PENDING_POLLS: usize = 16;
        self.nonce = self.nonce.wrapping_add(1);
        if MAX_PENDING_POLLS <= self.polls.len() {
            self.polls.remove(0);
        }
        self.polls.push(SentPoll { nonce: self.nonce, at: now });
        let current = self.config_store.version_hash();
        let hash = Bytes::copy_from_slice(&current.hash.0);
        let poll = Poll {
            nonce: self.nonce,
            version: current.version,
            hash,
            takes_callers: self.takes_callers,
            stopping: self.stopping,
            suspects: self.suspects_state.revision,
            filling: self.suspects_state.initializing,
            accepts_forwarded: self.accepts_forwarded,
            hall: self.hall.clone(),
        };
        out.send(&to, Body::Poll(poll));
    }
}
