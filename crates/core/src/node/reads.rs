//! Questions that are answered only with what was confirmed after they came.

use std::sync::Arc;

use super::{ActiveConfig, CallId, NodeReply, Outbox};
use crate::{state::HallsOut, units::Instant};

/// What a question asks for.
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
    wanted: ReadTarget,
    asked: Instant,
    deadline: Instant,
}

/// Something, and the time as of which it is confirmed to be current.
#[derive(Debug, Clone, Copy)]
pub(super) struct Confirmed<T> {
    pub(super) what: T,
    pub(super) as_of: Option<Instant>,
}

/// The questions that wait.
#[derive(Debug, Default)]
pub(super) struct PendingReads {
    waiting: Vec<Read>,
}

impl PendingReads {
    /// Takes a question that came now.
    pub(super) fn ask(
        &mut self,
        call: CallId,
        wanted: ReadTarget,
        deadline: Instant,
        now: Instant,
    ) {
        self.waiting.push(Read { call, wanted, asked: now, deadline });
    }

    /// When the next question must be answered, whatever is confirmed by then.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.waiting.iter().map(|read| read.deadline).min()
    }

    /// Answers what was confirmed since it was asked, and what has waited for too long.
    pub(super) fn answer(
        &mut self,
        config: Confirmed<Option<&Arc<ActiveConfig>>>,
        halls: Confirmed<&HallsOut>,
        now: Instant,
        out: &mut Outbox,
    ) {
        self.waiting.retain(|read| {
            let as_of = match read.wanted {
                ReadTarget::Configuration => config.as_of,
                ReadTarget::HallsOut => halls.as_of,
            };
            let is_confirmed = as_of.is_some_and(|at| read.asked <= at);
            if !is_confirmed && now < read.deadline {
                return true;
            }
            let answer = match read.wanted {
                ReadTarget::Configuration => {
                    NodeReply::Config(config.what.filter(|_| is_confirmed).cloned())
                }
                ReadTarget::HallsOut => {
                    NodeReply::HallsOut(is_confirmed.then(|| halls.what.clone()))
                }
            };
            out.reply(read.call, answer);
            false
        });
    }
}
