//! Endpoints whose changes are broadcast to all daemons in limited batches.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use super::news_batch;
use crate::units::Instant;

/// Minimum interval between broadcasts; an endpoint may report a change with every answer.
const BROADCAST_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of endpoints in one message.
const MAX_BATCH_ENDPOINTS: usize = 32;

/// The endpoints to include in the next broadcasts.
#[derive(Debug, Default)]
pub(super) struct Broadcast {
    waiting: VecDeque<Arc<str>>,
    /// When the next broadcast is due, if endpoints are waiting.
    due: Option<Instant>,
    last_broadcast: Instant,
}

impl Broadcast {
    /// Adds an endpoint unless it is waiting already.
    pub(super) fn add(&mut self, endpoint: &Arc<str>, now: Instant) {
        if !self.waiting.contains(endpoint) {
            self.waiting.push_back(endpoint.clone());
            self.due.get_or_insert(now.max(self.last_broadcast.after(BROADCAST_INTERVAL)));
        }
    }

    pub(super) fn next_tick(&self) -> Option<Instant> {
        self.due
    }

    /// Takes the endpoints to broadcast now to this number of daemons.
    pub(super) fn take_due(&mut self, daemons: usize, now: Instant) -> Vec<Arc<str>> {
        if self.due.take_if(|at| *at <= now).is_none() {
            return Vec::new();
        }
        let due = self.waiting.drain(..MAX_BATCH_ENDPOINTS.min(self.waiting.len())).collect();
        self.last_broadcast = now;
        if !self.waiting.is_empty() {
            let interval = news_batch::scaled(news_batch::SEND_INTERVAL_PER_MESSAGE, daemons);
            self.due = Some(now.after(interval.max(BROADCAST_INTERVAL)));
        }
        due
    }
}
