//! Endpoints that a daemon sends requests to beside its sample.
//!
//! The leader's scheduler may place a request on any endpoint. Control VMs are told which ones are in
//! use, so that their notices reach the daemon as well.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use super::{Outbox, VmName, endpoint_subscribers::USE_TTL};
use crate::{
    units::Instant,
    wire::{Body, EndpointsUsed, UsedEndpoint},
};

/// Minimum interval between messages, in which further uses are gathered.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// A use is reported again this long after its last report, before the control VMs forget it.
const RENEW_AFTER: Duration = Duration::from_secs(30);

/// A run of an endpoint that is or was in use.
#[derive(Debug, Clone, Copy)]
struct Use {
    started_at: u64,
    last_used: Instant,
    reported_at: Option<Instant>,
}

/// The endpoints in use.
#[derive(Debug, Default)]
pub(super) struct EndpointUses {
    uses: HashMap<Arc<str>, Use>,
    next_report: Option<Instant>,
    last_report: Instant,
}

impl EndpointUses {
    /// Whether an endpoint is or was recently in use.
    pub(super) fn contains(&self, id: &str) -> bool {
        self.uses.contains_key(id)
    }

    /// Notes that a request runs on an endpoint now.
    pub(super) fn touch(&mut self, id: &Arc<str>, started_at: u64, now: Instant) {
        let new = Use { started_at, last_used: now, reported_at: None };
        let used = self.uses.entry(id.clone()).or_insert(new);
        if used.started_at != started_at {
            *used = new;
        }
        used.last_used = now;
        let is_due = used.reported_at.is_none_or(|at| RENEW_AFTER <= now.since(at));
        if is_due {
            used.reported_at = None;
            self.next_report.get_or_insert(now.max(self.last_report.after(REPORT_INTERVAL)));
        }
    }

    /// Forgets endpoints that have not been used for long; returns whether there were any.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let before = self.uses.len();
        self.uses.retain(|_, used| now.since(used.last_used) < USE_TTL);
        self.uses.len() < before
    }

    pub(super) fn next_tick(&self) -> Option<Instant> {
        self.next_report
    }

    /// Reports uses that the control VMs have not been told of.
    pub(super) fn tick<'a>(
        &mut self,
        sources: impl Iterator<Item = &'a VmName>,
        now: Instant,
        out: &mut Outbox,
    ) {
        if self.next_report.take_if(|at| *at <= now).is_none() {
            return;
        }
        self.last_report = now;
        let mut unreported = BTreeMap::new();
        for (id, used) in self.uses.iter_mut().filter(|(_, used)| used.reported_at.is_none()) {
            used.reported_at = Some(now);
            unreported.insert(id.clone(), used.started_at);
        }
        send(&unreported, sources, out);
    }

    /// Reports all uses to a control VM that this daemon has just subscribed to.
    pub(super) fn report_all(&self, source: &VmName, out: &mut Outbox) {
        let all = self.uses.iter().map(|(id, used)| (id.clone(), used.started_at)).collect();
        send(&all, [source].into_iter(), out);
    }
}

fn send<'a>(
    uses: &BTreeMap<Arc<str>, u64>,
    sources: impl Iterator<Item = &'a VmName>,
    out: &mut Outbox,
) {
    if uses.is_empty() {
        return;
    }
    let endpoint = |(id, started_at): (&Arc<str>, &u64)| UsedEndpoint {
        id: id.to_string(),
        started_at: *started_at,
    };
    let used = EndpointsUsed { endpoints: uses.iter().map(endpoint).collect() };
    for source in sources {
        out.send(source, Body::EndpointsUsed(used.clone()));
    }
}
