//! Errors of attempts that are not run.

use std::time::Duration;

use crate::error::{ErrorKind, RequestError};

/// Longest wait for a trial; about as long as a request that crashes its endpoint runs. Engines
/// crashed within 1.6 s after such a request was sent, 0.7 s in the median.
pub const MAX_TRIAL_WAIT: Duration = Duration::from_millis(1_500);
/// `Retry-After` of an attempt that waited too long: about the duration of one attempt.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The error for a quarantined request.
pub fn quarantined() -> RequestError {
    let message = "endpoints have ended under this request; it is sent to no other";
    RequestError::new(ErrorKind::Quarantined, message)
}

/// The error for an attempt that waited too long for its trial.
pub fn trial_wait_expired() -> RequestError {
    let message = "endpoints have ended under this request; one try of it runs at a time";
    let mut error = RequestError::new(ErrorKind::Overloaded, message);
    error.retry_after = Some(RETRY_AFTER);
    error
}
