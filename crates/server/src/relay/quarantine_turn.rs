//! Whether an attempt may be sent: of requests under which endpoints have ended one try runs at a
//! time, and in the end none.

use trayswitch_core::{
    error::RequestError,
    node::Input,
    quarantine::{PATIENCE, Standing, no_turn, quarantined},
};

use super::{Job, QUEUE_TIME_DIVISOR, Relay};
use crate::{
    runtime::{Trial, Tried},
    telemetry::EventId,
};

/// Lets one attempt go ahead.
pub(super) struct QuarantineTurn {
    /// The trial that it is, if endpoints have ended under the request.
    pub(super) trial: Option<Trial>,
    /// How the request stood when it was given.
    standing: Standing,
}

impl QuarantineTurn {
    /// Whether the attempt runs apart from other requests.
    pub(super) fn is_isolated(&self) -> bool {
        self.trial.as_ref().is_some_and(Trial::is_apart)
    }

    /// For a request that is no suspect, and for one whose turn is over.
    pub(super) fn none() -> QuarantineTurn {
        QuarantineTurn { trial: None, standing: Standing::default() }
    }

    /// Notes that the answer has begun well.
    pub(super) fn mark_begun(&mut self) {
        if let Some(trial) = &mut self.trial {
            trial.begin();
        }
    }
}

impl Relay {
    /// Lets an attempt of a request go ahead; one of a suspect waits for its turn.
    pub(super) async fn quarantine_turn(&self, job: &Job) -> Result<QuarantineTurn, RequestError> {
        let standing = self.standing(job);
        if !standing.is_suspect() {
            return Ok(QuarantineTurn::none());
        }
        if standing.is_quarantined() {
            self.log_trial(job, standing, "quarantined");
            return Err(quarantined());
        }
        let limit = PATIENCE.min(job.time_left() / QUEUE_TIME_DIVISOR);
        let tried = self.node.try_suspect(job.digest(self), limit).await;
        let (result, turn) = match tried {
            Tried::Granted(trial) => {
                let result = if trial.is_apart() { "apart" } else { "granted" };
                (result, Ok(QuarantineTurn { trial: Some(trial), standing }))
            }
            Tried::Clear => ("clear", Ok(QuarantineTurn::none())),
            Tried::Quarantined => ("quarantined", Err(quarantined())),
            Tried::NotNow if standing.runs_apart() => ("not_now", Err(no_turn())),
            // Nearly all that were at one end are innocent; without a leader they go on unwatched.
            Tried::NotNow => ("unwatched", Ok(QuarantineTurn { trial: None, standing })),
        };
        self.log_trial(job, standing, result);
        turn
    }

    /// Whether a turn is no longer good: endpoints have ended under the request since it was given.
    pub(super) fn is_turn_stale(&self, job: &Job, turn: &QuarantineTurn) -> bool {
        let now = self.standing(job);
        let is_changed = now.is_suspect() && now != turn.standing;
        now.is_quarantined() || turn.trial.is_none() && is_changed
    }

    /// Whether endpoints have ended under a request.
    pub(super) fn is_suspect(&self, job: &Job) -> bool {
        self.standing(job).is_suspect()
    }

    /// Notes that a request has brought its whole answer: it is no suspect any more.
    pub(super) fn on_response_complete(&self, job: &Job, turn: &mut QuarantineTurn) {
        match &mut turn.trial {
            Some(trial) => trial.finish(),
            None if self.is_suspect(job) => {
                self.node.input(Input::AnswerCompleted(job.digest(self)));
            }
            None => {}
        }
    }

    fn standing(&self, job: &Job) -> Standing {
        self.node.standing(|| job.digest(self))
    }

    fn log_trial(&self, job: &Job, standing: Standing, answer: &str) {
        self.metrics.trial(answer);
        log::info!(
            event = EventId::TrialAsked.number(), id = job.caller.id.as_str(),
            request = job.digest(self).to_string().as_str(), end = answer,
            ended = standing.ended, in_trials = standing.in_trials;
            "endpoints have ended under a request that was tried again"
        );
    }
}
