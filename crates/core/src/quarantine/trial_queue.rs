//! Lets one try of a suspect run at a time, among all daemons.
//!
//! Runs on the leader, as soft state: a new leader waits a moment for the daemons to tell which tries run
//! and which wait.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use super::{CrashCounts, RequestDigest, SuspectTable};
use crate::units::Instant;

/// Time in which a new leader only listens.
const LISTEN: Duration = Duration::from_millis(300);
/// Tries of one request that may wait for the one that runs; more are refused at once.
const MAX_WAITING: usize = 64;

/// Who asks for a trial.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AttemptId {
    /// The daemon.
    pub(crate) vm: Arc<str>,
    /// Its number for the try.
    pub(crate) number: u64,
}

/// What an asker is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TrialDecision {
    /// Its try may run, as the only one, and apart from other requests if so.
    Granted { isolated: bool },
    /// The request is sent to no endpoint.
    Quarantined,
    /// It is no suspect any more.
    Cleared,
    /// Too many wait.
    Busy,
}

/// A try that waits.
#[derive(Debug)]
struct Waiting {
    asker: AttemptId,
    /// How the request stands as its daemon knows: an end that it has told may not be on record yet.
    standing: CrashCounts,
}

/// The tries of one request.
#[derive(Debug, Default)]
struct Line {
    running: Option<AttemptId>,
    waiting: VecDeque<Waiting>,
    /// Whether it has been on record since the first asked.
    recorded: bool,
}

/// The tries of all suspects.
#[derive(Debug)]
pub(crate) struct TrialQueue {
    open_at: Instant,
    lines: BTreeMap<RequestDigest, Line>,
}

impl TrialQueue {
    /// Without any, on a leader that leads since now.
    pub(crate) fn new(now: Instant) -> TrialQueue {
        TrialQueue { open_at: now.after(LISTEN), lines: BTreeMap::new() }
    }

    /// When [`TrialQueue::decide`] must be called even without other input.
    pub(crate) fn next_decision(&self, now: Instant) -> Option<Instant> {
        let waits = self.lines.values().any(|line| !line.waiting.is_empty());
        (waits && now < self.open_at).then_some(self.open_at)
    }

    /// Takes a try that waits. One that is known is not taken again.
    pub(crate) fn request(
        &mut self,
        request: RequestDigest,
        asker: AttemptId,
        standing: CrashCounts,
    ) -> Option<TrialDecision> {
        let line = self.lines.entry(request).or_default();
        let runs = line.running.as_ref() == Some(&asker);
        if runs || line.waiting.iter().any(|waiting| waiting.asker == asker) {
            return None;
        }
        if MAX_WAITING <= line.waiting.len() {
            return Some(TrialDecision::Busy);
        }
        line.waiting.push_back(Waiting { asker, standing });
        None
    }

    /// Takes a try that a former leader has let run.
    pub(crate) fn adopt(&mut self, request: RequestDigest, asker: AttemptId) {
        let line = self.lines.entry(request).or_default();
        line.waiting.retain(|waiting| waiting.asker != asker);
        line.running.get_or_insert(asker);
    }

    /// A try has ended, or is no longer wanted.
    pub(crate) fn finish(&mut self, asker: &AttemptId) {
        self.retain(|other| other != asker);
    }

    /// Forgets all tries of a daemon that is gone.
    pub(crate) fn remove_daemon(&mut self, vm: &str) {
        self.retain(|asker| *asker.vm != *vm);
    }

    /// Tells the askers what can be told now.
    pub(crate) fn decide(
        &mut self,
        records: &SuspectTable,
        now: Instant,
    ) -> Vec<(AttemptId, TrialDecision)> {
        if now < self.open_at {
            return Vec::new();
        }
        let mut told = Vec::new();
        for (request, line) in &mut self.lines {
            line.decide(records.crash_counts(request), &mut told);
        }
        self.lines.retain(|_, line| !line.is_empty());
        told
    }

    fn retain(&mut self, keep: impl Fn(&AttemptId) -> bool) {
        for line in self.lines.values_mut() {
            line.running.take_if(|asker| !keep(asker));
            line.waiting.retain(|waiting| keep(&waiting.asker));
        }
    }
}

impl Line {
    fn is_empty(&self) -> bool {
        self.running.is_none() && self.waiting.is_empty()
    }

    fn decide(&mut self, recorded: CrashCounts, told: &mut Vec<(AttemptId, TrialDecision)>) {
        self.recorded |= recorded.is_suspect();
        if recorded.is_quarantined() {
            self.tell_all(TrialDecision::Quarantined, told);
        } else if self.recorded && !recorded.is_suspect() {
            self.tell_all(TrialDecision::Cleared, told);
        } else if self.running.is_none()
            && let Some(Waiting { asker, standing }) = self.waiting.pop_front()
        {
            let isolated = recorded.max(standing).needs_isolation();
            told.push((asker.clone(), TrialDecision::Granted { isolated }));
            self.running = Some(asker);
        }
    }

    fn tell_all(&mut self, permission: TrialDecision, told: &mut Vec<(AttemptId, TrialDecision)>) {
        told.extend(self.waiting.drain(..).map(|waiting| (waiting.asker, permission)));
    }
}
