//! The closed list of error kinds and the table from kind to answer.

use std::{fmt, time::Duration};

/// What became of a request, as told to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The whole answer was delivered.
    Answered,
    /// No endpoint has run or will run the request.
    NotRun,
    /// The request itself is at fault; no endpoint has run it.
    Refused,
    /// The request may or may not have run.
    Unknown,
    /// The answer ended early; the caller knows how many tokens it has.
    CutOff,
}

impl Outcome {
    /// The name used in answers, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not_run",
            Outcome::Refused => "refused",
            Outcome::Unknown => "unknown",
            Outcome::CutOff => "cut_off",
        }
    }
}

/// Why a request did not end in its whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ErrorKind {
    /// The body, a header or the path could not be understood.
    BadRequest,
    /// The workspace key is missing or unknown.
    Unauthorized,
    /// The model, service or call is not in the accepted configuration.
    NotFound,
    /// The body is larger than the limit.
    TooLarge,
    /// The idempotency key was used before with another body.
    KeyReused,
    /// The idempotency key is older than the time that outcomes are kept.
    KeyExpired,
    /// The request with this key is still running.
    InProgress,
    /// The workspace has reached its own limit.
    WorkspaceLimit,
    /// The queue is full, or the request cannot make its deadline.
    Overloaded,
    /// No endpoint that serves the target is live.
    NoEndpoint,
    /// The daemon is stopping or has no current configuration.
    NotReady,
    /// No quorum of control replicas confirmed the claim.
    NoQuorum,
    /// The endpoint refused the request before it ran.
    EndpointRefused,
    /// The endpoint was lost after the request was sent.
    OutcomeUnknown,
    /// The generation was lost after tokens were delivered.
    GenerationLost,
    /// The endpoint's answer broke its protocol.
    BadAnswer,
    /// Every data hall that serves the target was taken out of service by operators.
    OutOfService,
    /// Endpoints have ended under this request, and it is sent to none any more.
    Quarantined,
    /// No live endpoint runs the software version that began the stream.
    VersionUnavailable,
    /// It is not known which software version began the stream that the caller takes up.
    OriginUnknown,
}

/// The answer that belongs to one [`ErrorKind`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status, used while no byte of the answer has been sent.
    pub status: u16,
    /// What became of the request.
    pub outcome: Outcome,
    /// When the caller may come back; `None` where repeating cannot help.
    pub retry_after: Option<Duration>,
    /// The stable name in the body's `code` field.
    pub code: &'static str,
}

const SOON: Option<Duration> = Some(Duration::from_secs(1));
const LATER: Option<Duration> = Some(Duration::from_secs(5));
/// Operators need minutes to mend what a request ends; one trial more runs after an hour.
const MUCH_LATER: Option<Duration> = Some(Duration::from_secs(600));

impl ErrorKind {
    /// All kinds, in the order of docs/ERRORS.md.
    pub const ALL: [ErrorKind; 20] = [
        ErrorKind::BadRequest,
        ErrorKind::Unauthorized,
        ErrorKind::NotFound,
        ErrorKind::TooLarge,
        ErrorKind::KeyReused,
        ErrorKind::KeyExpired,
        ErrorKind::InProgress,
        ErrorKind::WorkspaceLimit,
        ErrorKind::Overloaded,
        ErrorKind::NoEndpoint,
        ErrorKind::NotReady,
        ErrorKind::NoQuorum,
        ErrorKind::EndpointRefused,
        ErrorKind::OutcomeUnknown,
        ErrorKind::GenerationLost,
        ErrorKind::BadAnswer,
        ErrorKind::OutOfService,
        ErrorKind::Quarantined,
        ErrorKind::VersionUnavailable,
        ErrorKind::OriginUnknown,
    ];

    /// The number that stands for this kind between daemons.
    pub fn number(self) -> u32 {
        let at = ErrorKind::ALL.iter().position(|kind| *kind == self);
        at.expect("the list holds all kinds") as u32
    }

    /// The kind of this number, if there is one.
    pub fn from_number(number: u32) -> Option<ErrorKind> {
        ErrorKind::ALL.get(number as usize).copied()
    }

    /// The table from kind to answer.
    pub fn answer(self) -> Answer {
        use Outcome::{CutOff, NotRun, Refused, Unknown};
        let (status, outcome, retry_after, code) = match self {
            ErrorKind::BadRequest => (400, Refused, None, "bad_request"),
            ErrorKind::Unauthorized => (401, Refused, None, "unauthorized"),
            ErrorKind::NotFound => (404, Refused, None, "not_found"),
            ErrorKind::TooLarge => (413, Refused, None, "too_large"),
            ErrorKind::KeyReused => (422, Refused, None, "key_reused"),
            ErrorKind::KeyExpired => (422, Refused, None, "key_expired"),
            ErrorKind::InProgress => (409, Unknown, SOON, "in_progress"),
            ErrorKind::WorkspaceLimit => (429, NotRun, SOON, "workspace_limit"),
            ErrorKind::Overloaded => (503, NotRun, SOON, "overloaded"),
            ErrorKind::NoEndpoint => (503, NotRun, LATER, "no_endpoint"),
            ErrorKind::NotReady => (503, NotRun, SOON, "not_ready"),
            ErrorKind::NoQuorum => (503, NotRun, SOON, "no_quorum"),
            ErrorKind::EndpointRefused => (503, NotRun, SOON, "endpoint_refused"),
            ErrorKind::OutcomeUnknown => (502, Unknown, None, "outcome_unknown"),
            ErrorKind::GenerationLost => (502, CutOff, SOON, "generation_lost"),
            ErrorKind::BadAnswer => (502, Unknown, None, "bad_answer"),
            ErrorKind::OutOfService => (503, NotRun, LATER, "out_of_service"),
            ErrorKind::Quarantined => (503, NotRun, MUCH_LATER, "quarantined"),
            ErrorKind::VersionUnavailable => (503, NotRun, LATER, "version_unavailable"),
            ErrorKind::OriginUnknown => (503, NotRun, SOON, "origin_unknown"),
        };
        Answer { status, outcome, retry_after, code }
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.answer().code)
    }
}

/// An error on the way of one request: its kind, and a message for the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestError {
    /// Decides status, outcome and Retry-After.
    pub kind: ErrorKind,
    /// Tells the caller what is wrong and what to do.
    pub message: String,
    /// Overrides the table's Retry-After when a better estimate is known.
    pub retry_after: Option<Duration>,
    /// Tokens that are reserved for the request when it comes back; zero if nothing is.
    pub reserved_work: u64,
}

impl RequestError {
    /// An error with the table's own Retry-After.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> RequestError {
        RequestError { kind, message: message.into(), retry_after: None, reserved_work: 0 }
    }

    /// When the caller may come back, if that can help.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after.or(self.kind.answer().retry_after)
    }
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.message)
    }
}

impl std::error::Error for RequestError {}

#[cfg(test)]
mod tests;
