//! The load in the form in which operators get it.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use super::{
    WINDOW_SECONDS,
    rows::{OTHER, Row, RowKey, Rows},
};
use crate::{placement::EndpointState, units::Instant};

/// Workspaces that are shown by name, the busiest ones; the rest is one row of each kind.
pub(super) const MAX_WORKSPACES: usize = 64;
/// An engine counts as full when less than this fraction of its KV cache is free: with more, the
/// usual prompt of some thousand tokens still fits.
const FULL_BELOW_FREE: f64 = 0.1;

/// Requests of one service, kind and workspace: counts of the last [`WINDOW_SECONDS`], and those that
/// wait now.
#[derive(Debug, Clone, Default, PartialEq, serde::Serialize)]
pub struct RequestLoad {
    /// Model or service.
    pub service: String,
    /// Kind of request.
    pub kind: String,
    /// Workspace.
    pub workspace: String,
    /// Requests that arrived.
    pub asked: u64,
    /// Requests that were placed on an endpoint.
    pub started: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that came back after a rejection.
    pub returned: u64,
    /// First tokens within the target, as reported by the daemons.
    pub in_time: u64,
    /// First tokens after the target.
    pub late: u64,
    /// Requests that wait now.
    pub waiting: u64,
    /// Time until the request that was rejected last may come back, in milliseconds; `None` if that
    /// has passed or none was rejected.
    pub next_return_ms: Option<u64>,
}

/// Endpoints of one service in one data hall.
#[derive(Debug, Clone, Default, PartialEq, serde::Serialize)]
pub struct ServiceLoad {
    /// Model or service.
    pub service: String,
    /// Data hall of the endpoints.
    pub hall: String,
    /// Endpoints that take requests.
    pub endpoints: u64,
    /// Those without a free slot or nearly without free KV cache.
    pub full: u64,
    /// Those with half of their slots and half of their KV cache free, or more.
    pub idle: u64,
    /// Endpoints that take no requests now.
    pub unavailable: u64,
    /// Free KV cache of the endpoints that take requests, in tokens.
    pub free_tokens: u64,
}

/// The load that a leader sees.
#[derive(Debug, Clone, Default, PartialEq, serde::Serialize)]
pub struct LoadSnapshot {
    /// Length of the window of the counts, in seconds.
    pub window_s: u64,
    /// By service, kind and workspace.
    pub requests: Vec<RequestLoad>,
    /// By service and data hall of the endpoints.
    pub services: Vec<ServiceLoad>,
}

impl LoadSnapshot {
    pub(super) fn new<'a>(
        rows: &Rows,
        endpoints: impl Iterator<Item = &'a EndpointState>,
        now: Instant,
    ) -> LoadSnapshot {
        LoadSnapshot {
            window_s: WINDOW_SECONDS,
            requests: request_loads(rows, now),
            services: service_loads(endpoints, now),
        }
    }
}

fn request_loads(rows: &Rows, now: Instant) -> Vec<RequestLoad> {
    let named = busiest_workspaces(rows, now);
    let mut loads: BTreeMap<RowKey, RequestLoad> = BTreeMap::new();
    for (key, row) in rows.busy(now) {
        let is_named = named.contains(&key.workspace);
        let workspace = if is_named { key.workspace.clone() } else { OTHER.into() };
        let key = RowKey { workspace, ..key.clone() };
        loads.entry(key).or_default().add(row, now);
    }
    let named = loads.into_iter().map(|(key, load)| RequestLoad {
        service: key.service.to_string(),
        kind: key.kind.to_string(),
        workspace: key.workspace.to_string(),
        ..load
    });
    named.collect()
}

/// The workspaces with the most requests that arrived or wait.
fn busiest_workspaces(rows: &Rows, now: Instant) -> BTreeSet<Arc<str>> {
    let mut requests: HashMap<&Arc<str>, u64> = HashMap::new();
    for (key, row) in rows.busy(now) {
        let mut load = RequestLoad::default();
        load.add(row, now);
        *requests.entry(&key.workspace).or_default() += load.asked + load.waiting;
    }
    let mut busiest: Vec<(u64, &Arc<str>)> = requests.into_iter().map(|(w, n)| (n, w)).collect();
    busiest.sort_unstable_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
    busiest.into_iter().take(MAX_WORKSPACES).map(|(_, workspace)| workspace.clone()).collect()
}

fn service_loads<'a>(
    endpoints: impl Iterator<Item = &'a EndpointState>,
    now: Instant,
) -> Vec<ServiceLoad> {
    let mut loads: BTreeMap<(&str, &str), ServiceLoad> = BTreeMap::new();
    for endpoint in endpoints {
        let spec = endpoint.spec();
        loads.entry((spec.target.name(), &spec.hall)).or_default().add(endpoint, now);
    }
    let named = loads.into_iter().map(|((service, hall), load)| ServiceLoad {
        service: service.to_owned(),
        hall: hall.to_owned(),
        ..load
    });
    named.collect()
}

impl RequestLoad {
    fn add(&mut self, row: &Row, now: Instant) {
        let [asked, started, rejected, returned, in_time, late] = row.window.totals(now);
        self.asked += asked;
        self.started += started;
        self.rejected += rejected;
        self.returned += returned;
        self.in_time += in_time;
        self.late += late;
        self.waiting += row.waiting;
        let next_return = row.next_return.filter(|at| now < *at);
        let next_return = next_return.map(|at| at.since(now).as_millis() as u64);
        self.next_return_ms = self.next_return_ms.max(next_return);
    }
}

impl ServiceLoad {
    fn add(&mut self, endpoint: &EndpointState, now: Instant) {
        if !endpoint.is_usable(now) {
            self.unavailable += 1;
            return;
        }
        let (slots, kv_tokens) = (endpoint.spec().slots, endpoint.spec().kv_tokens as f64);
        let (load, kv_used) = (endpoint.load(), endpoint.kv_used());
        let is_kv_full = 0.0 < kv_tokens && kv_tokens - kv_used < FULL_BELOW_FREE * kv_tokens;
        let is_idle = load * 2 <= slots && kv_used * 2.0 <= kv_tokens;
        self.endpoints += 1;
        self.full += u64::from(slots <= load || is_kv_full);
        self.idle += u64::from(is_idle);
        self.free_tokens += (kv_tokens - kv_used).max(0.0) as u64;
    }
}
