//! Waiting requests: tiers first, then fairness between workspaces.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use super::{RANKS_PER_TIER, Request, Ticket};
use crate::units::Instant;

/// A waiting request.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) req: Request,
    pub(crate) arrived: Instant,
}

/// Tokens served to a workspace, divided by its share.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
struct Service(f64);

impl Eq for Service {}

impl PartialOrd for Service {
    fn partial_cmp(&self, other: &Service) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Service {
    fn cmp(&self, other: &Service) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// Place of a workspace in its tier: the least served comes first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    service: Service,
    workspace: Arc<str>,
}

#[derive(Debug, Default)]
struct Tier {
    len: usize,
    order: BTreeSet<Place>,
    waiting: HashMap<Arc<str>, VecDeque<Waiting>>,
    served: HashMap<Arc<str>, Service>,
    /// The most that a first-in-line workspace had been served when it was chosen.
    floor: Service,
}

impl Tier {
    fn place(&self, workspace: &Arc<str>) -> Place {
        let service = self.served.get(workspace).copied().unwrap_or(self.floor);
        Place { service, workspace: workspace.clone() }
    }

    fn push(&mut self, waiting: Waiting, held: bool) {
        let workspace = waiting.req.workspace.clone();
        // A workspace that was idle does not save up service.
        let service = self.served.entry(workspace.clone()).or_insert(self.floor);
        let line = self.waiting.entry(workspace.clone()).or_default();
        if line.is_empty() {
            *service = (*service).max(self.floor);
            if !held {
                self.order.insert(Place { service: *service, workspace });
            }
        }
        line.push_back(waiting);
        self.len += 1;
    }

    fn hold(&mut self, workspace: &Arc<str>, hold: bool) {
        let place = self.place(workspace);
        if hold {
            self.order.remove(&place);
        } else if self.waiting.contains_key(workspace) {
            self.order.insert(place);
        }
    }

    fn head(&self) -> Option<&Waiting> {
        let first = self.order.first()?;
        self.waiting.get(&first.workspace)?.front()
    }

    fn remove(&mut self, workspace: &Arc<str>, ticket: Ticket) -> Option<Waiting> {
        let line = self.waiting.get_mut(workspace)?;
        let at = line.iter().position(|w| w.req.ticket == ticket)?;
        let waiting = line.remove(at);
        self.len -= 1;
        if line.is_empty() {
            self.waiting.remove(workspace);
            let place = self.place(workspace);
            self.order.remove(&place);
        }
        waiting
    }

    fn charge(&mut self, workspace: &Arc<str>, cost: f64) {
        let place = self.place(workspace);
        let queued = self.order.remove(&place);
        let service = Service(place.service.0 + cost);
        self.served.insert(workspace.clone(), service);
        if queued {
            self.order.insert(Place { service, workspace: workspace.clone() });
        }
    }
}

/// The queue of one target.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    tiers: BTreeMap<u64, Tier>,
    /// Workspaces that run as much as they may; their requests wait out of order.
    held: HashSet<Arc<str>>,
    len: usize,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Requests that are served before a new one of this rank.
    pub(crate) fn ahead_of(&self, rank: u64) -> usize {
        self.tiers.range(..=rank).map(|(_, tier)| tier.len).sum()
    }

    pub(crate) fn push(&mut self, req: Request, arrived: Instant) {
        self.len += 1;
        let held = self.held.contains(&req.workspace);
        self.tiers.entry(req.rank).or_default().push(Waiting { req, arrived }, held);
    }

    /// The first request of each rank, the next to serve first. A head gains a whole tier for
    /// each `ageing` that it has waited, so that no rank starves.
    pub(crate) fn heads(&self, now: Instant, ageing: Duration) -> Vec<&Waiting> {
        let aged = |w: &Waiting| {
            let tiers = now.since(w.arrived).as_secs_f64() / ageing.as_secs_f64();
            w.req.rank as f64 - tiers * RANKS_PER_TIER as f64
        };
        let mut heads: Vec<&Waiting> = self.tiers.values().filter_map(Tier::head).collect();
        heads.sort_by(|a, b| aged(a).total_cmp(&aged(b)));
        heads
    }

    pub(crate) fn remove(
        &mut self,
        rank: u64,
        workspace: &Arc<str>,
        ticket: Ticket,
    ) -> Option<Waiting> {
        let waiting = self.tiers.get_mut(&rank)?.remove(workspace, ticket)?;
        self.len -= 1;
        Some(waiting)
    }

    /// Notes which workspace was chosen, so that newcomers start level with it.
    pub(crate) fn chosen(&mut self, rank: u64, workspace: &Arc<str>) {
        if let Some(tier) = self.tiers.get_mut(&rank) {
            let service = tier.place(workspace).service;
            tier.floor = tier.floor.max(service);
        }
    }

    /// Holds a workspace's requests of all ranks back, or lets them take part again.
    pub(crate) fn hold(&mut self, workspace: &Arc<str>, hold: bool) {
        let changed =
            if hold { self.held.insert(workspace.clone()) } else { self.held.remove(workspace) };
        if !changed {
            return;
        }
        for tier in self.tiers.values_mut() {
            tier.hold(workspace, hold);
        }
    }

    /// Charges tokens served to a workspace.
    pub(crate) fn charge(&mut self, rank: u64, workspace: &Arc<str>, share: u64, tokens: u64) {
        let tier = self.tiers.entry(rank).or_default();
        tier.charge(workspace, tokens as f64 / share as f64);
    }
}
