//! Endpoints whose changes are broadcast to all daemons in limited batches.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use super::news_batch;
use crate::units::Instant;

/// Minimum interval between broadcasts; an endpoint may report a change with every answer.
const PAUSE: Duration = Duration::from_millis(200);
/// Maximum number of endpoints in one message.
const AT_ONCE: usize = 32;

/// The endpoints to include in the next broadcasts.
#[derive(Debug, Default)]
pub(super) struct Broadcast {
    news: VecDeque<Arc<str>>,
    /// When the next broadcast is due, if endpoints are waiting.
    due: Option<Instant>,
    last_told: Instant,
}

impl Broadcast {
    /// Adds an endpoint unless it is waiting already.
    pub(super) fn add(&mut self, endpoint: &Arc<str>, now: Instant) {
        if !self.news.contains(endpoint) {
            self.news.push_back(endpoint.clone());
            self.due.get_or_insert(now.max(self.last_told.after(PAUSE)));
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
        let due = self.news.drain(..AT_ONCE.min(self.news.len())).collect();
        self.last_told = now;
        if !self.news.is_empty() {
            let pause = news_batch::scaled(news_batch::SEND_INTERVAL_PER_DAEMON, daemons);
            self.due = Some(now.after(pause.max(PAUSE)));
        }
        due
    }
}
