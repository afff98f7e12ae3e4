//! Sums over the queued requests of one rank, by workspace.

use std::{collections::HashMap, sync::Arc};

use super::Request;

/// Queued requests of one workspace at one rank.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct QueuedWork {
    /// Number of requests.
    pub(crate) requests: u64,
    /// Sum of their prompt tokens.
    pub(crate) prompt_tokens: u64,
    /// Fair-share weight of the workspace, or the sum over several workspaces.
    pub(crate) share: u64,
}

impl QueuedWork {
    /// Adds the work of another workspace.
    pub(crate) fn plus(self, other: QueuedWork) -> QueuedWork {
        QueuedWork {
            requests: self.requests + other.requests,
            prompt_tokens: self.prompt_tokens + other.prompt_tokens,
            share: self.share + other.share,
        }
    }

    /// Subtracts the work of a workspace that is part of this sum.
    fn minus(self, other: QueuedWork) -> QueuedWork {
        QueuedWork {
            requests: self.requests - other.requests,
            prompt_tokens: self.prompt_tokens - other.prompt_tokens,
            share: self.share - other.share,
        }
    }
}

/// Queued work of one rank, kept as requests come and go.
#[derive(Debug, Default)]
pub(crate) struct RankWork {
    total: QueuedWork,
    by_workspace: HashMap<Arc<str>, QueuedWork>,
}

impl RankWork {
    /// Work of one workspace.
    pub(crate) fn of(&self, workspace: &str) -> QueuedWork {
        self.by_workspace.get(workspace).copied().unwrap_or_default()
    }

    /// Sum over all workspaces that are not in `excluded`.
    pub(crate) fn total_without<'a>(
        &self,
        excluded: impl Iterator<Item = &'a Arc<str>>,
    ) -> QueuedWork {
        excluded.fold(self.total, |total, workspace| total.minus(self.of(workspace)))
    }

    /// Counts a request that was queued.
    pub(crate) fn add(&mut self, req: &Request) {
        let own = self.by_workspace.entry(req.workspace.clone()).or_default();
        let before = *own;
        own.requests += 1;
        own.prompt_tokens += req.prompt_tokens;
        own.share = req.share;
        self.total = self.total.minus(before).plus(*own);
    }

    /// Counts a request that has left the queue.
    pub(crate) fn remove(&mut self, req: &Request) {
        let Some(own) = self.by_workspace.get_mut(&req.workspace) else { return };
        let before = *own;
        own.requests -= 1;
        own.prompt_tokens -= req.prompt_tokens;
        let left = if own.requests == 0 { QueuedWork::default() } else { *own };
        self.total = self.total.minus(before).plus(left);
        if left.requests == 0 {
            self.by_workspace.remove(&req.workspace);
        }
    }
}
