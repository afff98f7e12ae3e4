//! Serializes the attempts of each suspect across all daemons.
//!
//! Runs on the leader as soft state: a new leader first waits for the daemons to report running and
//! waiting attempts.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use super::{ContentDigest, CrashCounts, SuspectTable, Verdict};
use crate::units::Instant;

/// Time for which a new leader collects reports before it grants trials.
const STARTUP_DELAY: Duration = Duration::from_millis(300);
/// Maximum waiting attempts per request; more are rejected.
const MAX_WAITING: usize = 64;

/// Identifies an attempt that requests a trial.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AttemptId {
    /// The daemon that runs the attempt.
    pub(crate) vm: Arc<str>,
    /// Number of the attempt on that daemon.
    pub(crate) number: u64,
}

/// Answer to a requested trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TrialDecision {
    /// The attempt may run, as the only one of its request and isolated from other requests if so.
    Granted { isolated: bool },
    /// The request is quarantined.
    Quarantined,
    /// The request is no longer a suspect.
    Cleared,
    /// Too many attempts of the request are waiting.
    Busy,
}

/// An attempt that requests a trial.
#[derive(Debug)]
pub(crate) struct Trial {
    pub(crate) attempt: AttemptId,
    /// All contents of the request.
    pub(crate) contents: Vec<ContentDigest>,
    /// Crash counts known to the attempt's daemon, which may include a crash that is not yet in the
    /// table.
    pub(crate) crashes: CrashCounts,
}

/// Trials of one content.
#[derive(Debug, Default)]
struct AttemptQueue {
    running: Option<AttemptId>,
    waiting: VecDeque<Trial>,
    /// Whether the content has been in the table since its first attempt.
    was_in_table: bool,
}

/// Attempts of all suspects.
#[derive(Debug)]
pub(crate) struct TrialQueue {
    decides_from: Instant,
    queues: BTreeMap<ContentDigest, AttemptQueue>,
}

impl TrialQueue {
    /// Creates an empty queue on a leader elected at `now`.
    pub(crate) fn new(now: Instant) -> TrialQueue {
        TrialQueue { decides_from: now.after(STARTUP_DELAY), queues: BTreeMap::new() }
    }

    /// When [`TrialQueue::decide`] must next be called.
    pub(crate) fn next_decision(&self, now: Instant) -> Option<Instant> {
        let has_waiting = self.queues.values().any(|queue| !queue.waiting.is_empty());
        (has_waiting && now < self.decides_from).then_some(self.decides_from)
    }

    /// Queues an attempt, unless it is already queued or running. Returns a decision if it is
    /// rejected.
    pub(crate) fn request(
        &mut self,
        content: ContentDigest,
        trial: Trial,
    ) -> Option<TrialDecision> {
        let queue = self.queues.entry(content).or_default();
        let runs = queue.running.as_ref() == Some(&trial.attempt);
        if runs || queue.waiting.iter().any(|waiting| waiting.attempt == trial.attempt) {
            return None;
        }
        if MAX_WAITING <= queue.waiting.len() {
            return Some(TrialDecision::Busy);
        }
        queue.waiting.push_back(trial);
        None
    }

    /// Adopts an attempt that runs with the permission of a former leader.
    pub(crate) fn adopt(&mut self, request: ContentDigest, attempt: AttemptId) {
        let queue = self.queues.entry(request).or_default();
        queue.waiting.retain(|waiting| waiting.attempt != attempt);
        queue.running.get_or_insert(attempt);
    }

    /// Removes an attempt that ended or was abandoned.
    pub(crate) fn finish(&mut self, attempt: &AttemptId) {
        self.retain(|other| other != attempt);
    }

    /// Removes all attempts of a daemon that is gone.
    pub(crate) fn remove_daemon(&mut self, vm: &str) {
        self.retain(|attempt| *attempt.vm != *vm);
    }

    /// Returns the decisions for attempts that can be decided now.
    pub(crate) fn decide(
        &mut self,
        records: &SuspectTable,
        now: Instant,
    ) -> Vec<(AttemptId, TrialDecision)> {
        if now < self.decides_from {
            return Vec::new();
        }
        let mut decisions = Vec::new();
        for (request, queue) in &mut self.queues {
            queue.decide(request, records, &mut decisions);
        }
        self.queues.retain(|_, queue| !queue.is_empty());
        decisions
    }

    fn retain(&mut self, keep: impl Fn(&AttemptId) -> bool) {
        for queue in self.queues.values_mut() {
            queue.running.take_if(|attempt| !keep(attempt));
            queue.waiting.retain(|trial| keep(&trial.attempt));
        }
    }
}

impl AttemptQueue {
    fn is_empty(&self) -> bool {
        self.running.is_none() && self.waiting.is_empty()
    }

    fn decide(
        &mut self,
        content: &ContentDigest,
        records: &SuspectTable,
        decisions: &mut Vec<(AttemptId, TrialDecision)>,
    ) {
        let recorded = records.crash_counts(content);
        self.was_in_table |= recorded.is_suspect();
        self.waiting.retain(|trial| {
            let verdict = Verdict::of(&trial.contents, records);
            let is_quarantined = matches!(verdict, Verdict::Quarantined { .. });
            if is_quarantined {
                decisions.push((trial.attempt.clone(), TrialDecision::Quarantined));
            }
            !is_quarantined
        });
        if self.was_in_table && !recorded.is_suspect() {
            let cleared = self.waiting.drain(..);
            decisions.extend(cleared.map(|trial| (trial.attempt, TrialDecision::Cleared)));
        } else if self.running.is_none()
            && let Some(Trial { attempt, crashes, .. }) = self.waiting.pop_front()
        {
            let isolated = recorded.max(crashes).needs_isolation();
            decisions.push((attempt.clone(), TrialDecision::Granted { isolated }));
            self.running = Some(attempt);
        }
    }
}
