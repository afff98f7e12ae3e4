//! Relocates a running generation by copying its KV cache to another engine.
//!
//! The first copy is made while the generation runs. Only after that succeeds is the generation
//! stopped and the rest copied, which keeps the pause short and leaves the generation running if
//! the first copy fails.

use std::{cell::Cell, rc::Rc, sync::Arc, time::Instant};

use tokio::time::timeout;
use trayswitch_core::registry::RegisteredEndpoint;

use super::{CopyCommand, CopyReply, Job, KvCopy, Relay};
use crate::edge::LocalFuture;

const MAX_REPLY_BYTES: usize = 64 * 1024;

#[derive(Debug)]
pub(super) enum RelocationResult {
    /// The generation has stopped and can resume from a copy.
    Stopped {
        kv_copy: KvCopy,
        /// The endpoint to resume on.
        to: Arc<str>,
    },
    /// The generation has ended.
    NotRunning,
    /// The copy failed.
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

/// State shared between a relocation and its owner.
#[derive(Default)]
struct Progress {
    stopping: Cell<bool>,
    cancelled: Cell<bool>,
}

/// A relocation in progress.
pub(super) struct Relocation {
    pub(super) started_at: Instant,
    /// The target endpoint.
    pub(super) to: Arc<str>,
    relay: Rc<Relay>,
    progress: Rc<Progress>,
    future: LocalFuture<'static, RelocationResult>,
}

impl Relocation {
    pub(super) fn start(
        relay: Rc<Relay>,
        job: Rc<Job>,
        from: RegisteredEndpoint,
        to: RegisteredEndpoint,
    ) -> Relocation {
        let progress = Rc::new(Progress::default());
        let destination = to.id.clone();
        let future = Box::pin(run(relay.clone(), job, from, to, progress.clone()));
        Relocation { started_at: Instant::now(), to: destination, relay, progress, future }
    }

    /// Whether the generation may have been stopped by the final copy.
    pub(super) fn is_stopping(&self) -> bool {
        self.progress.stopping.get()
    }

    /// Cancels the relocation because the generation is no longer needed; frees a finished copy in
    /// the background.
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
    from: RegisteredEndpoint,
    to: RegisteredEndpoint,
    progress: Rc<Progress>,
) -> RelocationResult {
    relay.confirm_origin(&job).await;
    if let Err(error) = relay.check_version(&job, &to.id) {
        return RelocationResult::Failed(error);
    }
    let source = from.address;
    let command = |last| CopyCommand { id: &job.caller.id, to: to.address, is_final: last };
    let first_copy = match send_copy_command(&relay, &job.service, &from, &command(false)).await {
        Ok(CopyReply::Done { handle, .. }) => KvCopy { source, handle },
        Ok(CopyReply::NotRunning) => return RelocationResult::NotRunning,
        Ok(CopyReply::Busy) => return RelocationResult::Failed("another copy is active".into()),
        Ok(CopyReply::Refused { .. }) => return RelocationResult::Failed("no memory".into()),
        Ok(CopyReply::Malformed) => return RelocationResult::Failed("malformed reply".into()),
        Err(error) => return RelocationResult::Failed(error),
    };
    if progress.cancelled.get() {
        free_copy(&relay, &first_copy).await;
        return RelocationResult::NotRunning;
    }
    progress.stopping.set(true);
    match send_copy_command(&relay, &job.service, &from, &command(true)).await {
        Ok(CopyReply::Done { handle, .. }) => {
            RelocationResult::Stopped { kv_copy: KvCopy { source, handle }, to: to.id }
        }
        // The generation has stopped, but its KV cache is still on the source.
        Ok(CopyReply::Refused { handle: Some(handle) }) => {
            RelocationResult::Stopped { kv_copy: KvCopy { source, handle }, to: from.id }
        }
        Ok(CopyReply::NotRunning) => RelocationResult::NotRunning,
        Ok(CopyReply::Busy) => RelocationResult::Failed("another copy is active".into()),
        Ok(CopyReply::Refused { handle: None }) => RelocationResult::Failed("no memory".into()),
        Ok(CopyReply::Malformed) => RelocationResult::Failed("malformed reply".into()),
        Err(error) => RelocationResult::Failed(error),
    }
}

/// Frees a copy on both engines. If that fails, the copy expires on its own.
pub(super) async fn free_copy(relay: &Rc<Relay>, kv_copy: &KvCopy) {
    let req = relay.protocol.free_request(&kv_copy.handle);
    let Some(source) = relay.node.view().endpoint_at(kv_copy.source) else { return };
    let freed = relay.exchange(&source, req);
    match timeout(relay.options.copy_timeout, freed).await {
        Ok(Ok(_)) => {}
        Ok(Err(e)) => log::debug!("failed to free a KV cache copy: {e}"),
        Err(_) => log::debug!("failed to free a KV cache copy: timed out"),
    }
}

async fn send_copy_command(
    relay: &Rc<Relay>,
    service: &str,
    from: &RegisteredEndpoint,
    command: &CopyCommand<'_>,
) -> Result<CopyReply, String> {
    let reply = async {
        let sent_at = relay.node.now();
        let req = relay.protocol.copy_request(command);
        let open = relay.exchange(from, req).await.map_err(|e| e.to_string())?;
        let head = open.head;
        relay.on_control_response(service, from, sent_at, &head);
        let body = open.body.collect_within(MAX_REPLY_BYTES, relay.buffers.reservation()).await?;
        Ok(relay.protocol.decode_copy_reply(&head, &body))
    };
    timeout(relay.options.copy_timeout, reply).await.map_err(|_| "the copy timed out".to_owned())?
}
