//! Queue of one target: ordered by rank, with weighted fair queueing between workspaces.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use super::{
    RANKS_PER_TIER, Request, Ticket,
    queued_work::{QueuedWork, RankWork},
    return_queue::ReturnQueue,
    returns::ReturnOrder,
};
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
    work: RankWork,
    returning: ReturnQueue,
    returning_work: RankWork,
    /// Returning requests that are late already; served when no other request of the rank waits.
    late: ReturnQueue,
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
        if let Some(order) = waiting.order.filter(|order| order.is_late) {
            return self.late.push(order, waiting, at_limit);
        }
        if let Some(order) = waiting.order {
            self.returning_work.add(&waiting.req);
            return self.returning.push(order, waiting, at_limit);
        }
        let workspace = waiting.req.workspace.clone();
        self.work.add(&waiting.req);
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
        self.late.set_at_limit(workspace, at_limit);
        let key = self.key(workspace);
        if at_limit {
            self.by_service.remove(&key);
        } else if self.waiting.contains_key(workspace) {
            self.by_service.insert(key);
        }
    }

    fn head(&self) -> Option<&WaitingRequest> {
        self.returning.head().or_else(|| self.newcomer()).or_else(|| self.late.head())
    }

    fn newcomer(&self) -> Option<&WaitingRequest> {
        let first = self.by_service.first()?;
        self.waiting.get(&first.workspace)?.front()
    }

    fn remove(&mut self, workspace: &Arc<str>, ticket: Ticket) -> Option<WaitingRequest> {
        if let Some(waiting) = self.returning.remove(workspace, ticket) {
            self.returning_work.remove(&waiting.req);
            self.len -= 1;
            return Some(waiting);
        }
        if let Some(waiting) = self.late.remove(workspace, ticket) {
            self.len -= 1;
            return Some(waiting);
        }
        let queue = self.waiting.get_mut(workspace)?;
        let at = queue.iter().position(|w| w.req.ticket == ticket)?;
        let waiting = queue.remove(at);
        self.len -= 1;
        waiting.iter().for_each(|waiting| self.work.remove(&waiting.req));
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

    /// Ranks with queued requests, best first.
    pub(crate) fn ranks(&self) -> impl Iterator<Item = u64> {
        self.ranks.iter().filter(|(_, queue)| 0 < queue.len).map(|(rank, _)| *rank)
    }

    /// Whether a queued request could start if there was capacity.
    pub(crate) fn has_eligible(&self) -> bool {
        self.ranks.values().any(|rank_queue| rank_queue.head().is_some())
    }

    /// Queued work of the newcomers of a rank, without workspaces at their limit of running requests.
    pub(crate) fn rank_work(&self, rank: u64) -> QueuedWork {
        let Some(rank_queue) = self.ranks.get(&rank) else { return QueuedWork::default() };
        rank_queue.work.total_without(self.at_limit.iter())
    }

    /// Queued work of the returning requests of a rank, which are served before newcomers.
    pub(crate) fn returning_work(&self, rank: u64) -> QueuedWork {
        let Some(rank_queue) = self.ranks.get(&rank) else { return QueuedWork::default() };
        rank_queue.returning_work.total_without(self.at_limit.iter())
    }

    /// Queued work of a rank as in [`Queue::rank_work`], and of one workspace at that rank.
    pub(crate) fn queued_work(&self, rank: u64, workspace: &str) -> (QueuedWork, QueuedWork) {
        let own = self.ranks.get(&rank).map(|rank_queue| rank_queue.work.of(workspace));
        (self.rank_work(rank), own.unwrap_or_default())
    }

    /// Newcomers of a rank in the expected order of service, without workspaces at their limit.
    pub(crate) fn in_order(&self, rank: u64) -> Vec<&WaitingRequest> {
        let Some(rank_queue) = self.ranks.get(&rank) else { return Vec::new() };
        let eligible = rank_queue.waiting.iter().filter(|(name, _)| !self.at_limit.contains(*name));
        let mut order: Vec<(f64, &WaitingRequest)> = Vec::with_capacity(rank_queue.len);
        for (_, queue) in eligible {
            let mut served = 0.0;
            for waiting in queue {
                order.push((served, waiting));
                served += waiting.req.prompt_tokens as f64 / waiting.req.share as f64;
            }
        }
        let key = |(served, waiting): &(f64, &WaitingRequest)| {
            (NormalizedService(*served), waiting.req.ticket)
        };
        order.sort_by_key(key);
        order.into_iter().map(|(_, waiting)| waiting).collect()
    }

    /// Returns a queued newcomer.
    pub(crate) fn find(
        &self,
        rank: u64,
        workspace: &str,
        ticket: Ticket,
    ) -> Option<&WaitingRequest> {
        let queue = self.ranks.get(&rank)?.waiting.get(workspace)?;
        queue.iter().find(|waiting| waiting.req.ticket == ticket)
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
