//! Turns of suspect requests. A request is suspect if endpoints crashed that ran it, or that ran
//! others with a part of its prompt. Its attempts run one at a time as trials until the content is
//! cleared or quarantined.

use trayswitch_clock::Instant;
use trayswitch_core::{
    error::RequestError,
    node::Input,
    quarantine::{ContentDigest, MAX_TRIAL_WAIT, Verdict, quarantined, trial_wait_expired},
};

use super::{Job, QUEUE_TIME_DIVISOR, Relay};
use crate::{
    runtime::{Trial, Tried},
    telemetry::EventId,
};

/// A generation is answered well if the endpoint has sent this many events, or all. A crash that the
/// prompt causes comes with the first.
pub(super) const SOUND_EVENTS: u64 = 8;
/// Crashes of a part that requests on this daemon were recently answered well with, up to which it
/// is not held against a request: such a part has mostly been beside the cause.
const MAX_TRUSTED_CRASHES: u32 = 1;

/// Permission to send one attempt.
pub(super) struct QuarantineTurn {
    /// The trial to run as, if the request is suspect.
    pub(super) trial: Option<Trial>,
    /// How the request stood when the turn was granted.
    verdict: Verdict,
}

impl QuarantineTurn {
    /// Whether the attempt runs on an endpoint without other requests.
    pub(super) fn is_isolated(&self) -> bool {
        self.trial.as_ref().is_some_and(Trial::is_apart)
    }

    /// The turn of a request that is not suspect, or whose previous turn is over.
    pub(super) fn none() -> QuarantineTurn {
        QuarantineTurn { trial: None, verdict: Verdict::Sound }
    }
}

impl Relay {
    /// Grants a turn to a request; a suspect one waits for the leader's permission.
    pub(super) async fn quarantine_turn(&self, job: &Job) -> Result<QuarantineTurn, RequestError> {
        loop {
            let verdict = self.verdict(job);
            let crashes = match verdict {
                Verdict::Sound => return Ok(QuarantineTurn::none()),
                Verdict::Quarantined { .. } => {
                    self.log_trial(job, verdict, "quarantined", Instant::now());
                    return Err(quarantined());
                }
                Verdict::Trial { crashes, .. } => crashes,
            };
            let asked_at = Instant::now();
            let limit = MAX_TRIAL_WAIT.min(job.time_left() / QUEUE_TIME_DIVISOR);
            let permission = self.node.try_suspect(self.untrusted_contents(job), limit).await;
            let (result, turn) = match permission {
                Tried::Granted(trial) => {
                    let result = if trial.is_apart() { "apart" } else { "granted" };
                    (result, Some(Ok(QuarantineTurn { trial: Some(trial), verdict })))
                }
                // Another content of the request may still be suspect.
                Tried::Clear => ("clear", None),
                Tried::Quarantined => ("quarantined", Some(Err(quarantined()))),
                Tried::NotNow if crashes.needs_isolation() => {
                    ("not_now", Some(Err(trial_wait_expired())))
                }
                // Most suspects are innocent bystanders of a crash, so they may run unsupervised
                // without a leader.
                Tried::NotNow => ("unwatched", Some(Ok(QuarantineTurn { trial: None, verdict }))),
            };
            self.log_trial(job, verdict, result, asked_at);
            if let Some(turn) = turn {
                return turn;
            }
        }
    }

    /// Whether the request stands otherwise than when the turn was granted.
    pub(super) fn is_turn_stale(&self, job: &Job, turn: &QuarantineTurn) -> bool {
        match self.verdict(job) {
            Verdict::Sound => false,
            Verdict::Quarantined { .. } => true,
            current => turn.trial.is_none() && current != turn.verdict,
        }
    }

    /// Whether endpoints have crashed while they ran the request, or others that share its prompt.
    pub(super) fn is_suspect(&self, job: &Job) -> bool {
        self.verdict(job).is_suspect()
    }

    /// Clears the prompt of a generation that has sent [`SOUND_EVENTS`].
    pub(super) fn on_response_sound(&self, job: &Job, turn: &mut QuarantineTurn) {
        if let Some(trial) = &mut turn.trial {
            trial.begin();
        }
        self.sound_parts.borrow_mut().insert(job.shared_parts(), Instant::now());
        self.report_sound(|| job.part_digests(self).to_vec());
    }

    /// Clears a request whose response is complete.
    pub(super) fn on_response_complete(&self, job: &Job, turn: &mut QuarantineTurn) {
        self.sound_parts.borrow_mut().insert(job.shared_parts(), Instant::now());
        if let Some(trial) = &mut turn.trial {
            trial.finish();
        }
        self.report_sound(|| job.contents(self));
    }

    fn report_sound(&self, contents: impl Fn() -> Vec<ContentDigest>) {
        if self.node.verdict(&contents).is_suspect() {
            self.node.input(Input::SoundContents(contents()));
        }
    }

    fn verdict(&self, job: &Job) -> Verdict {
        self.node.verdict(|| self.untrusted_contents(job))
    }

    /// The contents of a request, without parts that were only once beside a crash and that requests
    /// were recently answered well with.
    fn untrusted_contents(&self, job: &Job) -> Vec<ContentDigest> {
        let mut sound_parts = self.sound_parts.borrow_mut();
        let now = Instant::now();
        let parts = job.shared_parts().iter().zip(job.part_digests(self));
        let untrusted = parts.filter(|(part, digest)| {
            let is_trusted = sound_parts.contains(**part, now)
                && self.node.crash_counts(digest).total <= MAX_TRUSTED_CRASHES;
            !is_trusted
        });
        let untrusted = untrusted.map(|(_, digest)| *digest);
        std::iter::once(job.digest(self)).chain(untrusted).collect()
    }

    fn log_trial(&self, job: &Job, verdict: Verdict, result: &str, asked_at: Instant) {
        let (Verdict::Trial { content, crashes } | Verdict::Quarantined { content, crashes }) =
            verdict
        else {
            return;
        };
        self.metrics.trial(result);
        log::info!(
            event = EventId::TrialAsked.number(), id = job.caller.id.as_str(),
            request = job.digest(self).to_string().as_str(),
            suspect = content.to_string().as_str(), end = result, ended = crashes.total,
            in_trials = crashes.in_trials, waited_ms = asked_at.elapsed().as_millis() as u64;
            "a turn was requested for a suspect request"
        );
    }
}
