//! Moves the memory of a running generation to another engine.
//!
//! First a copy is made while the generation runs on; only when it has arrived, the generation
//! is stopped and what is new is copied as well. So the pause is short, and the generation
//! never leaves its engine before its copy is known to be good.

use std::{cell::Cell, net::SocketAddr, rc::Rc, sync::Arc, time::Instant};

use tokio::time::timeout;
use trayswitch_core::registry::Registered;

use super::{Copied, CopyOrder, Job, MemoryAt, Relay};
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
        memory: MemoryAt,
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

/// A move on its way.
pub(super) struct Move {
    pub(super) began: Instant,
    /// Where it is to go on.
    pub(super) to: Arc<str>,
    stopping: Rc<Cell<bool>>,
    future: LocalFuture<'static, MoveEnd>,
}

impl Move {
    pub(super) fn begin(relay: Rc<Relay>, job: Rc<Job>, from: Registered, to: Registered) -> Move {
        let stopping = Rc::new(Cell::new(false));
        let destination = to.id.clone();
        let future = Box::pin(run(relay, job, from, to, stopping.clone()));
        Move { began: Instant::now(), to: destination, stopping, future }
    }

    /// Whether the generation was told to stop.
    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.get()
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
    stopping: Rc<Cell<bool>>,
) -> MoveEnd {
    let order = |last| CopyOrder { id: &job.caller.id, to: to.address, last };
    match copy(&relay, from.address, &order(false)).await {
        Ok(Copied::Done { .. }) => {}
        Ok(Copied::NoSuchRun) => return MoveEnd::NoSuchRun,
        Ok(Copied::Busy) => return MoveEnd::Failed("another copy is on its way".into()),
        Ok(Copied::Refused { .. }) => return MoveEnd::Failed("no room for the copy".into()),
        Ok(Copied::Malformed) => return MoveEnd::Failed("malformed answer".into()),
        Err(problem) => return MoveEnd::Failed(problem),
    }
    stopping.set(true);
    let source = from.address;
    match copy(&relay, from.address, &order(true)).await {
        Ok(Copied::Done { handle, .. }) => {
            MoveEnd::Stopped { memory: MemoryAt { source, handle }, to: to.id }
        }
        // It has stopped, and its memory is still where it was.
        Ok(Copied::Refused { handle: Some(handle) }) => {
            MoveEnd::Stopped { memory: MemoryAt { source, handle }, to: from.id }
        }
        Ok(Copied::NoSuchRun) => MoveEnd::NoSuchRun,
        Ok(Copied::Busy) => MoveEnd::Failed("another copy is on its way".into()),
        Ok(Copied::Refused { handle: None }) => MoveEnd::Failed("no room for the copy".into()),
        Ok(Copied::Malformed) => MoveEnd::Failed("malformed answer".into()),
        Err(problem) => MoveEnd::Failed(problem),
    }
}

async fn copy(relay: &Relay, at: SocketAddr, order: &CopyOrder<'_>) -> Result<Copied, String> {
    let ask = async {
        let open =
            exchange(at, relay.protocol.copy_request(order), relay.options.connect_limit).await;
        let open = open.map_err(|e: SendError| e.to_string())?;
        let head = open.head;
        let body = open.body.collect(MAX_ANSWER).await?;
        Ok(relay.protocol.read_copied(&head, &body))
    };
    timeout(relay.options.copy_limit, ask).await.map_err(|_| "the copy took too long".to_owned())?
}
