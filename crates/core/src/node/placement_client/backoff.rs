//! Endpoints that have rejected requests of this daemon.

use std::sync::Arc;

use super::PlacementClient;
use crate::{
    backoff::{LOCAL_DAEMON, Rejection},
    node::{Outbox, Output, VmName, control_client::RemoteScheduler},
    units::Instant,
    wire::{Body, Overloaded, Rejected},
};

/// Back-offs that a new leader is told of by one daemon.
const MAX_BACKOFFS_SENT: usize = 64;

impl PlacementClient {
    /// Takes what an endpoint has rejected, and tells the leader, which places requests of this daemon.
    pub(crate) fn on_rejection(
        &mut self,
        rejection: &Rejection,
        scheduler: Option<&RemoteScheduler>,
        now: Instant,
        out: &mut Outbox,
    ) {
        self.local.on_rejection(LOCAL_DAEMON, rejection, now);
        if let Some(scheduler) = scheduler {
            out.send(&scheduler.vm, Body::Rejected(Rejected::encode(rejection)));
        }
        let endpoint = &rejection.endpoint;
        if self.local.backoffs.backs_off_until(endpoint, LOCAL_DAEMON, now).is_none() {
            return;
        }
        self.next_backoff_expiry = self.earliest_backoff_expiry(now);
        if self.backing_off.insert(endpoint.clone()) {
            self.publish_backoff(endpoint, now, out);
        }
    }

    /// Takes the leader's word of endpoints that reject requests of other daemons.
    pub(crate) fn on_overloaded(&mut self, news: &Overloaded, now: Instant) {
        for told in &news.endpoints {
            let endpoint: Arc<str> = told.endpoint.as_str().into();
            self.local.backoffs.on_report(&endpoint, told.started_at, told.left(), now);
        }
    }

    /// Tells a new leader which endpoints want nothing from this daemon.
    pub(super) fn send_backoffs(&self, scheduler: &VmName, now: Instant, out: &mut Outbox) {
        for rejection in self.local.backoffs.asked(LOCAL_DAEMON, now).take(MAX_BACKOFFS_SENT) {
            out.send(scheduler, Body::Rejected(Rejected::encode(&rejection)));
        }
    }

    /// Forgets what runs of endpoints have said that are not there any more.
    pub(crate) fn retain_runs(&mut self, is_there: impl Fn(&str, u64) -> bool, now: Instant) {
        self.local.retain_runs(is_there, now);
    }

    /// Shows which endpoints take requests of this daemon again.
    pub(super) fn expire_backoffs(&mut self, now: Instant, out: &mut Outbox) {
        if self.next_backoff_expiry.is_none_or(|end| now < end) {
            return;
        }
        let backoffs = &self.local.backoffs;
        let is_over = |name: &Arc<str>| backoffs.backs_off_until(name, LOCAL_DAEMON, now).is_none();
        let ended: Vec<Arc<str>> =
            self.backing_off.iter().filter(|name| is_over(name)).cloned().collect();
        for endpoint in ended {
            self.backing_off.remove(&endpoint);
            self.publish_backoff(&endpoint, now, out);
        }
        self.next_backoff_expiry = self.earliest_backoff_expiry(now);
    }

    fn publish_backoff(&self, endpoint: &Arc<str>, now: Instant, out: &mut Outbox) {
        let backoffs = &self.local.backoffs;
        let until = backoffs.backs_off_until(endpoint, LOCAL_DAEMON, now);
        out.push(Output::Backoff {
            endpoint: endpoint.clone(),
            left: until.map(|until| until.since(now)),
            backing_off: self.backing_off.len(),
        });
    }

    fn earliest_backoff_expiry(&self, now: Instant) -> Option<Instant> {
        let asked = self.local.backoffs.asked(LOCAL_DAEMON, now);
        asked.filter_map(|rejection| Some(now.after(rejection.retry_after?))).min()
    }
}
