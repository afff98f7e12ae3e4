//! Times of return that this daemon has passed on to callers.
//!
//! They are kept in the local scheduler, which recognises the requests while no leader answers.

use std::time::Duration;

use super::PlacementClient;
use crate::{
    node::{Outbox, VmName},
    placement::{PromisedReturn, Request},
    units::Instant,
    wire::{Body, GiveUp, Return, Returns},
};

impl PlacementClient {
    /// Remembers when a rejected request is to come back, if the scheduler reserved its return.
    pub(super) fn remember_return(&mut self, req: &Request, give_up: &GiveUp, now: Instant) {
        let Some(digest) = req.digest.filter(|_| 0 < give_up.reserved_work) else { return };
        let promised = PromisedReturn {
            digest,
            target: req.target.clone(),
            rank: req.rank,
            workspace: req.workspace.clone(),
            share: req.share,
            work: give_up.reserved_work,
            due: now.after(Duration::from_millis(give_up.retry_after_ms)),
        };
        self.local.returns.restore(promised, now);
    }

    /// Sends a new leader the times of return that this daemon has passed on.
    pub(super) fn send_returns(&self, scheduler: &VmName, now: Instant, out: &mut Outbox) {
        let promised = self.local.returns.promised();
        let returns: Vec<Return> = promised.map(|known| Return::encode(known, now)).collect();
        if !returns.is_empty() {
            out.send(scheduler, Body::Returns(Returns { returns }));
        }
    }
}
