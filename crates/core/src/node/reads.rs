//! Linearizable reads: answered with a value confirmed after the read arrived.

use std::sync::Arc;

use super::{ActiveConfig, CallId, NodeReply, Outbox};
use crate::{state::HallsOut, units::Instant};

/// What a read returns.
#[derive(Debug, Clone, Copy)]
pub(super) enum ReadTarget {
    /// The newest accepted configuration.
    Configuration,
    /// The data halls that are out of service.
    HallsOut,
}

#[derive(Debug, Clone, Copy)]
struct Read {
    call: CallId,
    target: ReadTarget,
    started_at: Instant,
    deadline: Instant,
}

/// A value and the time at which it was last confirmed to be current.
#[derive(Debug, Clone, Copy)]
pub(super) struct Confirmed<T> {
    pub(super) value: T,
    pub(super) as_of: Option<Instant>,
}

/// Reads that wait for a confirmation.
#[derive(Debug, Default)]
pub(super) struct PendingReads {
    waiting: Vec<Read>,
}

impl PendingReads {
    /// Adds a read that arrived at `now`.
    pub(super) fn add(
        &mut self,
        call: CallId,
        target: ReadTarget,
        deadline: Instant,
        now: Instant,
    ) {
        self.waiting.push(Read { call, target, started_at: now, deadline });
    }

    /// Earliest deadline of the waiting reads.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.waiting.iter().map(|read| read.deadline).min()
    }

    /// Answers the reads that were confirmed or whose deadline has passed.
    pub(super) fn answer(
        &mut self,
        config: Confirmed<Option<&Arc<ActiveConfig>>>,
        halls: Confirmed<&HallsOut>,
        now: Instant,
        out: &mut Outbox,
    ) {
        self.waiting.retain(|read| {
            let as_of = match read.target {
                ReadTarget::Configuration => config.as_of,
                ReadTarget::HallsOut => halls.as_of,
            };
            let is_confirmed = as_of.is_some_and(|at| read.started_at <= at);
            if !is_confirmed && now < read.deadline {
                return true;
            }
            let reply = match read.target {
                ReadTarget::Configuration => {
                    NodeReply::Config(config.value.filter(|_| is_confirmed).cloned())
                }
                ReadTarget::HallsOut => {
                    NodeReply::HallsOut(is_confirmed.then(|| halls.value.clone()))
                }
            };
            out.reply(read.call, reply);
            false
        });
    }
}
