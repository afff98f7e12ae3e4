//! What a try of a suspect is told that does not run.

use std::time::Duration;

use crate::error::{ErrorKind, RequestError};

/// How long a try waits for its turn. Engines that ended under a request did so within 1.6 s after it
/// was sent to them, 0.7 s in the middle.
pub const MAX_TRIAL_WAIT: Duration = Duration::from_millis(1_500);
/// When to come back to one that had no turn: one try takes about as long.
const NEXT_TURN: Duration = Duration::from_secs(1);

/// The error for a request that is sent to no endpoint any more.
pub fn quarantined() -> RequestError {
    let message = "endpoints have ended under this request; it is sent to no other";
    RequestError::new(ErrorKind::Quarantined, message)
}

/// The error for a try that had no turn in its time.
pub fn trial_wait_expired() -> RequestError {
    let message = "endpoints have ended under this request; one try of it runs at a time";
    let mut error = RequestError::new(ErrorKind::Overloaded, message);
    error.retry_after = Some(NEXT_TURN);
    error
}
