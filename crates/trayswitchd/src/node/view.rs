//! What the node lets other threads read.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex, RwLock,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
};

use trayswitch_clock::Instant;
use trayswitch_core::node::{ActiveConfig, CallId};

/// State shared with request threads.
#[derive(Default)]
pub(crate) struct View {
    active_config: RwLock<Option<Arc<ActiveConfig>>>,
    watched: RwLock<Vec<String>>,
    /// Until when the configuration counts as current, unless it is confirmed again.
    fresh_until: RwLock<Option<Instant>>,
    stopping: AtomicBool,
    draining: AtomicBool,
    requests: AtomicUsize,
    calls: AtomicU64,
    has_suspects: AtomicBool,
    has_limits: AtomicBool,
    /// Endpoints that have asked this daemon to back off.
    backing_off: Mutex<BTreeSet<Arc<str>>>,
}

impl View {
    /// A new id for a question.
    pub(crate) fn next_call(&self) -> CallId {
        CallId(self.calls.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// The configuration in force, if any.
    pub(crate) fn active_config(&self) -> Option<Arc<ActiveConfig>> {
        self.active_config.read().expect("no reader panics").clone()
    }

    /// Brings a configuration into force.
    pub(crate) fn publish(&self, active_config: Arc<ActiveConfig>) {
        *self.active_config.write().expect("no reader panics") = Some(active_config);
    }

    /// Endpoints that this daemon asks for their load.
    pub(crate) fn watched(&self) -> Vec<String> {
        self.watched.read().expect("no reader panics").clone()
    }

    /// Sets the endpoints that this daemon asks for their load.
    pub(crate) fn set_watched(&self, endpoints: Vec<String>) {
        *self.watched.write().expect("no reader panics") = endpoints;
    }

    /// Whether there are any requests under which endpoints have ended.
    pub(crate) fn has_suspects(&self) -> bool {
        self.has_suspects.load(Ordering::Relaxed)
    }

    /// Whether an endpoint has asked this daemon to back off.
    pub(crate) fn is_backing_off(&self, endpoint: &str) -> bool {
        self.backing_off.lock().expect("no holder panics").contains(endpoint)
    }

    /// Notes that an endpoint has asked this daemon to back off, or that this is over.
    pub(crate) fn set_backing_off(&self, endpoint: Arc<str>, is_so: bool) {
        let mut backing_off = self.backing_off.lock().expect("no holder panics");
        if is_so {
            backing_off.insert(endpoint);
        } else {
            backing_off.remove(&endpoint);
        }
    }

    /// Whether any endpoint names a limit.
    pub(crate) fn has_limits(&self) -> bool {
        self.has_limits.load(Ordering::Relaxed)
    }

    /// Sets whether any does.
    pub(crate) fn set_has_limits(&self, has_limits: bool) {
        self.has_limits.store(has_limits, Ordering::Relaxed);
    }

    /// Sets whether there are any.
    pub(crate) fn set_has_suspects(&self, has_suspects: bool) {
        self.has_suspects.store(has_suspects, Ordering::Relaxed);
    }

    /// Whether the configuration is confirmed to be current.
    pub(crate) fn fresh(&self) -> bool {
        let until = *self.fresh_until.read().expect("no reader panics");
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Sets until when the configuration counts as current.
    pub(crate) fn set_fresh_until(&self, until: Option<Instant>) {
        *self.fresh_until.write().expect("no reader panics") = until;
    }

    /// Whether the balancer should send callers here.
    pub(crate) fn ready(&self) -> bool {
        !self.stopping() && self.fresh() && self.active_config().is_some()
    }

    /// Begins a planned stop: unready, but still serving.
    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Whether a planned stop has begun.
    pub(crate) fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Goes on with a planned stop: new requests are refused.
    pub(crate) fn begin_drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Whether new requests are refused because of a planned stop.
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
