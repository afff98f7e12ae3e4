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
const MAX_REPLY_BYTES: usize = 64 * 1024;

/// How a move ended.
#[derive(Debug)]
pub(super) enum RelocationResult {
    /// The generation has stopped and its memory lies ready.
    Stopped {
        /// Where.
        kv_copy: KvCopy,
        /// The endpoint that has the copy.
        to: Arc<str>,
    },
    /// The generation ended by itself.
    NotRunning,
    /// It runs on where it was.
    Failed(String),
}

impl RelocationResult {
    pub(super) fn name(&self) -> &'static str {
        match self {
            RelocationResult::Stopped { .. } => "stopped",
            RelocationResult::NotRunning => "no_such_run",
            RelocationResult::Failed(_) => "failed",
        }
    }

    pub(super) fn detail(&self) -> &str {
        match self {
            RelocationResult::Failed(error) => error,
            RelocationResult::Stopped { .. } | RelocationResult::NotRunning => "",
        }
    }
}

/// How far a move has come, and whether it is still wanted.
#[derive(Default)]
struct Progress {
    stopping: Cell<bool>,
    cancelled: Cell<bool>,
}

/// A move on its way.
pub(super) struct Relocation {
    pub(super) started_at: Instant,
    /// Where it is to go on.
    pub(super) to: Arc<str>,
    relay: Rc<Relay>,
    progress: Rc<Progress>,
    future: LocalFuture<'static, RelocationResult>,
}

impl Relocation {
    pub(super) fn start(
        relay: Rc<Relay>,
        job: Rc<Job>,
        from: Registered,
        to: Registered,
    ) -> Relocation {
        let progress = Rc::new(Progress::default());
        let destination = to.id.clone();
        let future = Box::pin(run(relay.clone(), job, from, to, progress.clone()));
        Relocation { started_at: Instant::now(), to: destination, relay, progress, future }
    }

    /// Whether the generation was told to stop.
    pub(super) fn is_stopping(&self) -> bool {
        self.progress.stopping.get()
    }

    /// Ends a move whose generation nobody wants any more. What was copied holds memory at both
    /// engines, for seconds, until it is freed.
    pub(super) fn cancel(self) {
        self.progress.cancelled.set(true);
        tokio::task::spawn_local(async move {
            if let RelocationResult::Stopped { kv_copy, .. } = self.future.await {
                free_copy(&self.relay, &kv_copy).await;
            }
        });
    }

    pub(super) async fn result(&mut self) -> RelocationResult {
        self.future.as_mut().await
    }
}

async fn run(
    relay: Rc<Relay>,
    job: Rc<Job>,
    from: Registered,
    to: Registered,
    progress: Rc<Progress>,
) -> RelocationResult {
    let source = from.address;
    let command = |last| CopyCommand { id: &job.caller.id, to: to.address, is_final: last };
    let first = match send_copy_command(&relay, &job.service, &from, &command(false)).await {
        Ok(CopyReply::Done { handle, .. }) => KvCopy { source, handle },
        Ok(CopyReply::NotRunning) => return RelocationResult::NotRunning,
        Ok(CopyReply::Busy) => return RelocationResult::Failed("another copy is active".into()),
        Ok(CopyReply::Refused { .. }) => return RelocationResult::Failed("no memory".into()),
        Ok(CopyReply::Malformed) => return RelocationResult::Failed("malformed answer".into()),
        Err(error) => return RelocationResult::Failed(error),
    };
    if progress.cancelled.get() {
        free_copy(&relay, &first).await;
        return RelocationResult::NotRunning;
    }
    progress.stopping.set(true);
    match send_copy_command(&relay, &job.service, &from, &command(true)).await {
        Ok(CopyReply::Done { handle, .. }) => {
            RelocationResult::Stopped { kv_copy: KvCopy { source, handle }, to: to.id }
        }
        // It has stopped, and its memory is still where it was.
        Ok(CopyReply::Refused { handle: Some(handle) }) => {
            RelocationResult::Stopped { kv_copy: KvCopy { source, handle }, to: from.id }
        }
        Ok(CopyReply::NotRunning) => RelocationResult::NotRunning,
        Ok(CopyReply::Busy) => RelocationResult::Failed("another copy is active".into()),
        Ok(CopyReply::Refused { handle: None }) => RelocationResult::Failed("no memory".into()),
        Ok(CopyReply::Malformed) => RelocationResult::Failed("malformed answer".into()),
        Err(error) => RelocationResult::Failed(error),
    }
}

/// Frees a copy at both engines. One that cannot be freed expires after some seconds.
pub(super) async fn free_copy(relay: &Relay, kv_copy: &KvCopy) {
    let req = relay.protocol.free_request(&kv_copy.handle);
    let freed = exchange(kv_copy.source, req, relay.options.connect_timeout);
    match timeout(relay.options.copy_timeout, freed).await {
        Ok(Ok(_)) => {}
        Ok(Err(e)) => log::debug!("a copy was not freed: {e}"),
        Err(_) => log::debug!("a copy was not freed: no answer in time"),
    }
}

async fn send_copy_command(
    relay: &Relay,
    service: &str,
    from: &Registered,
    command: &CopyCommand<'_>,
) -> Result<CopyReply, String> {
    let ask = async {
        let asked = relay.node.now();
        let req = relay.protocol.copy_request(command);
        let open = exchange(from.address, req, relay.options.connect_timeout).await;
        let open = open.map_err(|e: SendError| e.to_string())?;
        let head = open.head;
        relay.on_control_response(service, from, asked, &head);
        let body = open.body.collect(MAX_REPLY_BYTES).await?;
        Ok(relay.protocol.decode_copy_reply(&head, &body))
    };
    timeout(relay.options.copy_timeout, ask)
        .await
        .map_err(|_| "the copy took too long".to_owned())?
}
