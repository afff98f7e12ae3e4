//! Turns of suspect requests, which were running on endpoints that crashed: their attempts run one
//! at a time as trials until the request is cleared or quarantined.

use trayswitch_core::{
    error::RequestError,
    node::Input,
    quarantine::{CrashCounts, MAX_TRIAL_WAIT, quarantined, trial_wait_expired},
};

use super::{Job, QUEUE_TIME_DIVISOR, Relay};
use crate::{
    runtime::{Trial, Tried},
    telemetry::EventId,
};

/// Permission to send one attempt.
pub(super) struct QuarantineTurn {
    /// The trial to run as, if the request is suspect.
    pub(super) trial: Option<Trial>,
    /// The request's crash counts when the turn was granted.
    crash_counts: CrashCounts,
}

impl QuarantineTurn {
    /// Whether the attempt runs on an endpoint without other requests.
    pub(super) fn is_isolated(&self) -> bool {
        self.trial.as_ref().is_some_and(Trial::is_apart)
    }

    /// The turn of a request that is not suspect, or whose previous turn is over.
    pub(super) fn none() -> QuarantineTurn {
        QuarantineTurn { trial: None, crash_counts: CrashCounts::default() }
    }

    /// Marks the trial as having begun to respond.
    pub(super) fn mark_begun(&mut self) {
        if let Some(trial) = &mut self.trial {
            trial.begin();
        }
    }
}

impl Relay {
    /// Grants a turn to a request; a suspect one waits for the leader's permission.
    pub(super) async fn quarantine_turn(&self, job: &Job) -> Result<QuarantineTurn, RequestError> {
        let crash_counts = self.crash_counts(job);
        if !crash_counts.is_suspect() {
            return Ok(QuarantineTurn::none());
        }
        if crash_counts.is_quarantined() {
            self.log_trial(job, crash_counts, "quarantined");
            return Err(quarantined());
        }
        let limit = MAX_TRIAL_WAIT.min(job.time_left() / QUEUE_TIME_DIVISOR);
        let permission = self.node.try_suspect(job.digest(self), limit).await;
        let (result, turn) = match permission {
            Tried::Granted(trial) => {
                let result = if trial.is_apart() { "apart" } else { "granted" };
                (result, Ok(QuarantineTurn { trial: Some(trial), crash_counts }))
            }
            Tried::Clear => ("clear", Ok(QuarantineTurn::none())),
            Tried::Quarantined => ("quarantined", Err(quarantined())),
            Tried::NotNow if crash_counts.needs_isolation() => {
                ("not_now", Err(trial_wait_expired()))
            }
            // Most suspects are innocent bystanders of a crash, so they may run unsupervised
            // without a leader.
            Tried::NotNow => ("unwatched", Ok(QuarantineTurn { trial: None, crash_counts })),
        };
        self.log_trial(job, crash_counts, result);
        turn
    }

    /// Whether the request's crash counts have changed such that the turn is no longer valid.
    pub(super) fn is_turn_stale(&self, job: &Job, turn: &QuarantineTurn) -> bool {
        let current = self.crash_counts(job);
        let is_changed = current.is_suspect() && current != turn.crash_counts;
        current.is_quarantined() || turn.trial.is_none() && is_changed
    }

    /// Whether endpoints have crashed while they ran the request.
    pub(super) fn is_suspect(&self, job: &Job) -> bool {
        self.crash_counts(job).is_suspect()
    }

    /// Clears a suspect request whose response is complete.
    pub(super) fn on_response_complete(&self, job: &Job, turn: &mut QuarantineTurn) {
        match &mut turn.trial {
            Some(trial) => trial.finish(),
            None if self.is_suspect(job) => {
                self.node.input(Input::AnswerCompleted(job.digest(self)));
            }
            None => {}
        }
    }

    fn crash_counts(&self, job: &Job) -> CrashCounts {
        self.node.standing(|| job.digest(self))
    }

    fn log_trial(&self, job: &Job, crash_counts: CrashCounts, result: &str) {
        self.metrics.trial(result);
        log::info!(
            event = EventId::TrialAsked.number(), id = job.caller.id.as_str(),
            request = job.digest(self).to_string().as_str(), end = result,
            ended = crash_counts.total, in_trials = crash_counts.in_trials;
            "a turn was requested for a suspect request"
        );
    }
}
