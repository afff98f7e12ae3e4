//! Moves the memory of a running generation to another engine.
//!
//! First a copy is made while the generation runs on; only when it has arrived, the generation
//! is stopped and what is new is copied as well. So the pause is short, and the generation
//! never leaves its engine before its copy is known to be good.

use std::{cell::Cell, rc::Rc, sync::Arc, time::Instant};

use tokio::time::timeout;
use trayswitch_core::registry::Registered;

use super::{CopyCommand, CopyReply, Job, KvCopy, Relay};
use crate::{
    edge::LocalFuture,
    upstream::{SendError, exchange},
};

/// Largest answer to an order.
const MAX_ANSWER: usize = 64 * 1024;

/// How a move ended.
#[derive(Debug)]
pub(super) enum MoveEnd {
    /// The generation has stopped and its memory lies ready.
    Stopped {
        /// Where.
        memory: KvCopy,
        /// The endpoint that has the copy.
        to: Arc<str>,
    },
    /// The generation ended by itself.
    NoSuchRun,
    /// It runs on where it was.
    Failed(String),
}

impl MoveEnd {
    pub(super) fn name(&self) -> &'static str {
        match self {
            MoveEnd::Stopped { .. } => "stopped",
            MoveEnd::NoSuchRun => "no_such_run",
            MoveEnd::Failed(_) => "failed",
        }
    }

    pub(super) fn detail(&self) -> &str {
        match self {
            MoveEnd::Failed(problem) => problem,
            MoveEnd::Stopped { .. } | MoveEnd::NoSuchRun => "",
        }
    }
}

/// How far a move has come, and whether it is still wanted.
#[derive(Default)]
struct Progress {
    stopping: Cell<bool>,
    abandoned: Cell<bool>,
}

/// A move on its way.
pub(super) struct Move {
    pub(super) began: Instant,
    /// Where it is to go on.
    pub(super) to: Arc<str>,
    relay: Rc<Relay>,
    progress: Rc<Progress>,
    future: LocalFuture<'static, MoveEnd>,
}

impl Move {
    pub(super) fn begin(relay: Rc<Relay>, job: Rc<Job>, from: Registered, to: Registered) -> Move {
        let progress = Rc::new(Progress::default());
        let destination = to.id.clone();
        let future = Box::pin(run(relay.clone(), job, from, to, progress.clone()));
        Move { began: Instant::now(), to: destination, relay, progress, future }
    }

    /// Whether the generation was told to stop.
    pub(super) fn is_stopping(&self) -> bool {
        self.progress.stopping.get()
    }

    /// Ends a move whose generation nobody wants any more. What was copied holds memory at both
    /// engines, for seconds, until it is freed.
    pub(super) fn abandon(self) {
        self.progress.abandoned.set(true);
        tokio::task::spawn_local(async move {
            if let MoveEnd::Stopped { memory, .. } = self.future.await {
                free(&self.relay, &memory).await;
            }
        });
    }

    pub(super) async fn end(&mut self) -> MoveEnd {
        self.future.as_mut().await
    }
}

async fn run(
    relay: Rc<Relay>,
    job: Rc<Job>,
    from: Registered,
    to: Registered,
    progress: Rc<Progress>,
) -> MoveEnd {
    let source = from.address;
    let order = |last| CopyCommand { id: &job.caller.id, to: to.address, is_final: last };
    let first = match copy(&relay, &job.service, &from, &order(false)).await {
        Ok(CopyReply::Done { handle, .. }) => KvCopy { source, handle },
        Ok(CopyReply::NotRunning) => return MoveEnd::NoSuchRun,
        Ok(CopyReply::Busy) => return MoveEnd::Failed("another copy is on its way".into()),
        Ok(CopyReply::Refused { .. }) => return MoveEnd::Failed("no room for the copy".into()),
        Ok(CopyReply::Malformed) => return MoveEnd::Failed("malformed answer".into()),
        Err(problem) => return MoveEnd::Failed(problem),
    };
    if progress.abandoned.get() {
        free(&relay, &first).await;
        return MoveEnd::NoSuchRun;
    }
    progress.stopping.set(true);
    match copy(&relay, &job.service, &from, &order(true)).await {
        Ok(CopyReply::Done { handle, .. }) => {
            MoveEnd::Stopped { memory: KvCopy { source, handle }, to: to.id }
        }
        // It has stopped, and its memory is still where it was.
        Ok(CopyReply::Refused { handle: Some(handle) }) => {
            MoveEnd::Stopped { memory: KvCopy { source, handle }, to: from.id }
        }
        Ok(CopyReply::NotRunning) => MoveEnd::NoSuchRun,
        Ok(CopyReply::Busy) => MoveEnd::Failed("another copy is on its way".into()),
        Ok(CopyReply::Refused { handle: None }) => MoveEnd::Failed("no room for the copy".into()),
        Ok(CopyReply::Malformed) => MoveEnd::Failed("malformed answer".into()),
        Err(problem) => MoveEnd::Failed(problem),
    }
}

/// Frees a copy at both engines. One that cannot be freed expires after some seconds.
pub(super) async fn free(relay: &Relay, memory: &KvCopy) {
    let req = relay.protocol.free_request(&memory.handle);
    let freed = exchange(memory.source, req, relay.options.connect_timeout);
    match timeout(relay.options.copy_timeout, freed).await {
        Ok(Ok(_)) => {}
        Ok(Err(e)) => log::debug!("a copy was not freed: {e}"),
        Err(_) => log::debug!("a copy was not freed: no answer in time"),
    }
}

async fn copy(
    relay: &Relay,
    service: &str,
    from: &Registered,
    order: &CopyCommand<'_>,
) -> Result<CopyReply, String> {
    let ask = async {
        let asked = relay.node.now();
        let req = relay.protocol.copy_request(order);
        let open = exchange(from.address, req, relay.options.connect_timeout).await;
        let open = open.map_err(|e: SendError| e.to_string())?;
        let head = open.head;
        relay.on_own_answer(service, from, asked, &head);
        let body = open.body.collect(MAX_ANSWER).await?;
        Ok(relay.protocol.decode_copy_reply(&head, &body))
    };
    timeout(relay.options.copy_timeout, ask)
        .await
        .map_err(|_| "the copy took too long".to_owned())?
}
