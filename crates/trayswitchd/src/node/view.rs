//! What the node lets other threads read.

use std::sync::{
    Arc, RwLock,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

use trayswitch_core::config::{Config, ContentHash, Document};

/// The configuration in force.
#[derive(Debug)]
pub(crate) struct InForce {
    /// The checked configuration.
    pub(crate) config: Config,
    /// The document that it was read from.
    pub(crate) document: Document,
    /// Content hash of the document.
    pub(crate) hash: ContentHash,
}

/// State shared with request threads.
#[derive(Default)]
pub(crate) struct View {
    in_force: RwLock<Option<Arc<InForce>>>,
    stopping: AtomicBool,
    draining: AtomicBool,
    requests: AtomicUsize,
}

impl View {
    /// The configuration in force, if any.
    pub(crate) fn in_force(&self) -> Option<Arc<InForce>> {
        self.in_force.read().expect("no reader panics").clone()
    }

    /// Brings a configuration into force.
    pub(crate) fn publish(&self, in_force: Arc<InForce>) {
        *self.in_force.write().expect("no reader panics") = Some(in_force);
    }

    /// Whether the balancer should send callers here.
    pub(crate) fn ready(&self) -> bool {
        !self.stopping.load(Ordering::Relaxed) && self.in_force().is_some()
    }

    /// Begins a planned stop: unready, but still serving.
    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Goes on with a planned stop: new requests are refused.
    pub(crate) fn begin_drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Whether new requests are refused.
    pub(crate) fn draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Requests in progress.
    pub(crate) fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Counts a request as in progress, unless there are `limit` already.
    pub(crate) fn enter(self: &Arc<View>, limit: usize) -> Option<InProgress> {
        let before = self.requests.fetch_add(1, Ordering::Relaxed);
        let guard = InProgress(self.clone());
        (before < limit).then_some(guard)
    }
}

/// Counts one request as in progress while it lives.
pub(crate) struct InProgress(Arc<View>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}
