//! Queue of the returning requests of one rank, in the order of their return.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use super::{Ticket, queue::WaitingRequest, returns::ReturnOrder};

/// Position of a workspace's first returning request.
type Head = (ReturnOrder, Arc<str>);

/// Returning requests that are due, served before newcomers of their rank.
#[derive(Debug, Default)]
pub(super) struct ReturnQueue {
    waiting: HashMap<Arc<str>, BTreeMap<ReturnOrder, WaitingRequest>>,
    /// First requests of the workspaces that are below their limit of running requests.
    heads: BTreeSet<Head>,
}

impl ReturnQueue {
    pub(super) fn push(&mut self, order: ReturnOrder, waiting: WaitingRequest, at_limit: bool) {
        let workspace = waiting.req.workspace.clone();
        self.heads.remove(&self.head_of(&workspace).unwrap_or((order, workspace.clone())));
        self.waiting.entry(workspace.clone()).or_default().insert(order, waiting);
        self.set_at_limit(&workspace, at_limit);
    }

    /// The first request whose workspace is below its limit.
    pub(super) fn head(&self) -> Option<&WaitingRequest> {
        let (order, workspace) = self.heads.first()?;
        self.waiting.get(workspace)?.get(order)
    }

    pub(super) fn remove(
        &mut self,
        workspace: &Arc<str>,
        ticket: Ticket,
    ) -> Option<WaitingRequest> {
        let queue = self.waiting.get_mut(workspace)?;
        let (order, _) = queue.iter().find(|(_, waiting)| waiting.req.ticket == ticket)?;
        let order = *order;
        let removed = queue.remove(&order);
        if queue.is_empty() {
            self.waiting.remove(workspace);
        }
        if self.heads.remove(&(order, workspace.clone())) {
            self.set_at_limit(workspace, false);
        }
        removed
    }

    pub(super) fn set_at_limit(&mut self, workspace: &Arc<str>, at_limit: bool) {
        let Some(head) = self.head_of(workspace) else { return };
        if at_limit {
            self.heads.remove(&head);
        } else {
            self.heads.insert(head);
        }
    }

    fn head_of(&self, workspace: &Arc<str>) -> Option<Head> {
        let (order, _) = self.waiting.get(workspace)?.first_key_value()?;
        Some((*order, workspace.clone()))
    }
}
