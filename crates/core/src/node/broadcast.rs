//! Names of endpoints of which all daemons are to be told, a few at a time.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use super::news_batch;
use crate::units::Instant;

/// Daemons are told no more often than this; an endpoint may say something else in each answer.
const PAUSE: Duration = Duration::from_millis(200);
/// Endpoints in one message: 2 kB.
const AT_ONCE: usize = 32;

/// The endpoints that are news to all daemons.
#[derive(Debug, Default)]
pub(super) struct Broadcast {
    news: VecDeque<Arc<str>>,
    /// When daemons are told, if of any.
    due: Option<Instant>,
    last_told: Instant,
}

impl Broadcast {
    /// Adds an endpoint, unless it waits already.
    pub(super) fn add(&mut self, endpoint: &Arc<str>, now: Instant) {
        if !self.news.contains(endpoint) {
            self.news.push_back(endpoint.clone());
            self.due.get_or_insert(now.max(self.last_told.after(PAUSE)));
        }
    }

    pub(super) fn next_tick(&self) -> Option<Instant> {
        self.due
    }

    /// The endpoints of which so many daemons are to be told now.
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
