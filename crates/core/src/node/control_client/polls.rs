//! The polls by which a daemon asks the leader what is in force.

use bytes::Bytes;

use super::ControlClient;
use crate::{
    node::{Outbox, VmName},
    quarantine::SuspectCacheState,
    units::Instant,
    wire::{Body, Poll},
};

/// A poll that waits for its answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct SentPoll {
    pub(super) nonce: u64,
    pub(super) at: Instant,
}

impl ControlClient {
    /// Whom to poll: the leader, or else whoever may know one.
    pub(super) fn poll_target(&mut self) -> Option<VmName> {
        if let Some(leader) = self.leader() {
            return Some(leader.clone());
        }
        let reachable = |vm: &VmName| *vm == self.sources.vm || self.sources.links.contains(vm);
        if let Some(hint) = self.hint.take().filter(reachable) {
            return Some(hint);
        }
        let reachable: Vec<VmName> =
            self.sources.replicas.iter().filter(|vm| reachable(vm)).cloned().collect();
        self.next_replica = self.next_replica.wrapping_add(1);
        let count = reachable.len();
        reachable.into_iter().nth(self.next_replica.checked_rem(count)?)
    }

    /// Takes how much is known here of suspects; asks on at once if the leader has told that there is more.
    pub(crate) fn set_suspects_state(
        &mut self,
        state: SuspectCacheState,
        has_more: bool,
        now: Instant,
        out: &mut Outbox,
    ) {
        let has_new = self.suspects != state;
        self.suspects = state;
        if let (true, true, Some(leader)) = (has_new, has_more, self.leader().cloned()) {
            self.poll(leader, now, out);
        }
    }

    /// Tells the leader at once that a planned stop has begun.
    pub(crate) fn stop(&mut self, now: Instant, out: &mut Outbox) {
        self.stopping = true;
        if let Some(leader) = self.leader().cloned() {
            self.poll(leader, now, out);
        }
    }

    /// Asks what is in force, and whether anything else is news here.
    pub(super) fn poll(&mut self, to: VmName, now: Instant, out: &mut Outbox) {
        const MAX_POLLS: usize = 16;
        self.nonce = self.nonce.wrapping_add(1);
        if MAX_POLLS <= self.polls.len() {
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
            suspects: self.suspects.revision,
            filling: self.suspects.initializing,
        };
        out.send(&to, Body::Poll(poll));
    }
}
