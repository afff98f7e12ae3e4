//! Queue of one target: ordered by rank, with weighted fair queueing between workspaces.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use super::{RANKS_PER_TIER, Request, Ticket, return_queue::ReturnQueue, returns::ReturnOrder};
use crate::units::Instant;

/// A queued request.
#[derive(Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) req: Request,
    pub(crate) arrived: Instant,
    /// Its place before newcomers, if it came back when it was due.
    pub(crate) order: Option<ReturnOrder>,
}

/// Tokens served to a workspace, divided by its fair-share weight.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
struct NormalizedService(f64);

impl Eq for NormalizedService {}

impl PartialOrd for NormalizedService {
    fn partial_cmp(&self, other: &NormalizedService) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for NormalizedService {
    fn cmp(&self, other: &NormalizedService) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// Sort key of a workspace within a rank; the workspace with the least service comes first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct FairnessKey {
    service: NormalizedService,
    workspace: Arc<str>,
}

#[derive(Debug, Default)]
struct RankQueue {
    len: usize,
    returning: ReturnQueue,
    by_service: BTreeSet<FairnessKey>,
    waiting: HashMap<Arc<str>, VecDeque<WaitingRequest>>,
    served: HashMap<Arc<str>, NormalizedService>,
    /// Largest service of any workspace at the time it was selected. New and idle workspaces start here.
    virtual_time: NormalizedService,
}

impl RankQueue {
    fn key(&self, workspace: &Arc<str>) -> FairnessKey {
        let service = self.served.get(workspace).copied().unwrap_or(self.virtual_time);
        FairnessKey { service, workspace: workspace.clone() }
    }

    fn push(&mut self, waiting: WaitingRequest, at_limit: bool) {
        self.len += 1;
        if let Some(order) = waiting.order {
            return self.returning.push(order, waiting, at_limit);
        }
        let workspace = waiting.req.workspace.clone();
        // Idle workspaces do not accumulate credit.
        let service = self.served.entry(workspace.clone()).or_insert(self.virtual_time);
        let queue = self.waiting.entry(workspace.clone()).or_default();
        if queue.is_empty() {
            *service = (*service).max(self.virtual_time);
            if !at_limit {
                self.by_service.insert(FairnessKey { service: *service, workspace });
            }
        }
        queue.push_back(waiting);
    }

    fn set_at_limit(&mut self, workspace: &Arc<str>, at_limit: bool) {
        self.returning.set_at_limit(workspace, at_limit);
        let key = self.key(workspace);
        if at_limit {
            self.by_service.remove(&key);
        } else if self.waiting.contains_key(workspace) {
            self.by_service.insert(key);
        }
    }

    fn head(&self) -> Option<&WaitingRequest> {
        self.returning.head().or_else(|| self.newcomer())
    }

    fn newcomer(&self) -> Option<&WaitingRequest> {
        let first = self.by_service.first()?;
        self.waiting.get(&first.workspace)?.front()
    }

    fn remove(&mut self, workspace: &Arc<str>, ticket: Ticket) -> Option<WaitingRequest> {
        if let Some(waiting) = self.returning.remove(workspace, ticket) {
            self.len -= 1;
            return Some(waiting);
        }
        let queue = self.waiting.get_mut(workspace)?;
        let at = queue.iter().position(|w| w.req.ticket == ticket)?;
        let waiting = queue.remove(at);
        self.len -= 1;
        if queue.is_empty() {
            self.waiting.remove(workspace);
            let key = self.key(workspace);
            self.by_service.remove(&key);
        }
        waiting
    }

    fn charge(&mut self, workspace: &Arc<str>, cost: f64) {
        let key = self.key(workspace);
        let queued = self.by_service.remove(&key);
        let service = NormalizedService(key.service.0 + cost);
        self.served.insert(workspace.clone(), service);
        if queued {
            self.by_service.insert(FairnessKey { service, workspace: workspace.clone() });
        }
    }
}

/// The queue of one target.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    ranks: BTreeMap<u64, RankQueue>,
    /// Workspaces at their limit of running requests; their queued requests are not eligible.
    at_limit: HashSet<Arc<str>>,
    len: usize,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Number of requests that are served before a new one of this rank.
    pub(crate) fn ahead_of(&self, rank: u64) -> usize {
        self.ranks.range(..=rank).map(|(_, rank_queue)| rank_queue.len).sum()
    }

    /// Adds a request; `order` is its place before newcomers, if it came back when it was due.
    pub(crate) fn push(&mut self, req: Request, arrived: Instant, order: Option<ReturnOrder>) {
        self.len += 1;
        let at_limit = self.at_limit.contains(&req.workspace);
        let waiting = WaitingRequest { req, arrived, order };
        self.ranks.entry(waiting.req.rank).or_default().push(waiting, at_limit);
    }

    /// Returns the first request of each rank in the order of service. Each `ageing` of waiting time
    /// counts as one tier of priority, so that no rank starves.
    pub(crate) fn heads(&self, now: Instant, ageing: Duration) -> Vec<&WaitingRequest> {
        let aged_rank = |w: &WaitingRequest| {
            let tiers = now.since(w.arrived).as_secs_f64() / ageing.as_secs_f64();
            w.req.rank as f64 - tiers * RANKS_PER_TIER as f64
        };
        let mut heads: Vec<&WaitingRequest> =
            self.ranks.values().filter_map(RankQueue::head).collect();
        heads.sort_by(|a, b| aged_rank(a).total_cmp(&aged_rank(b)));
        heads
    }

    pub(crate) fn remove(
        &mut self,
        rank: u64,
        workspace: &Arc<str>,
        ticket: Ticket,
    ) -> Option<WaitingRequest> {
        let waiting = self.ranks.get_mut(&rank)?.remove(workspace, ticket)?;
        self.len -= 1;
        Some(waiting)
    }

    /// Advances the virtual time to the service of the selected workspace.
    pub(crate) fn advance_virtual_time(&mut self, rank: u64, workspace: &Arc<str>) {
        if let Some(rank_queue) = self.ranks.get_mut(&rank) {
            let service = rank_queue.key(workspace).service;
            rank_queue.virtual_time = rank_queue.virtual_time.max(service);
        }
    }

    /// Excludes the requests of a workspace from selection at all ranks, or includes them again.
    pub(crate) fn set_at_limit(&mut self, workspace: &Arc<str>, at_limit: bool) {
        let changed = if at_limit {
            self.at_limit.insert(workspace.clone())
        } else {
            self.at_limit.remove(workspace)
        };
        if !changed {
            return;
        }
        for rank_queue in self.ranks.values_mut() {
            rank_queue.set_at_limit(workspace, at_limit);
        }
    }

    /// Charges served tokens to a workspace.
    pub(crate) fn charge(&mut self, rank: u64, workspace: &Arc<str>, share: u64, tokens: u64) {
        let rank_queue = self.ranks.entry(rank).or_default();
        rank_queue.charge(workspace, tokens as f64 / share as f64);
    }
}
