//! Answers in the form that callers see.

use std::{io, time::Duration};

use serde_json::{Value, json};
use tiny_http::Request;
use trayswitch_core::error::{Outcome, RequestError};
use trayswitch_http::{respond, respond_json};

use crate::endpoint::WholeAnswer;

/// A failed write means that the caller has left.
pub(super) fn sent(result: io::Result<()>) {
    if let Err(e) = result {
        log::debug!("caller left: {e}");
    }
}

/// The JSON form of an error.
pub(super) fn error_body(error: &RequestError) -> Value {
    let answer = error.kind.answer();
    let retry_after = error.retry_after().map(|d| d.as_millis() as u64);
    json!({ "error": {
        "code": answer.code,
        "outcome": answer.outcome.name(),
        "message": error.message,
        "retry_after_ms": retry_after,
    } })
}

/// Answers with an error.
pub(super) fn error(req: Request, error: &RequestError) {
    let answer = error.kind.answer();
    let retry_after = error.retry_after().map(|d| whole_seconds(d).to_string());
    let mut headers = vec![("X-Outcome", answer.outcome.name())];
    if let Some(seconds) = &retry_after {
        headers.push(("Retry-After", seconds));
    }
    sent(respond_json(req, answer.status, &headers, &error_body(error)));
}

/// Passes on the whole answer of a plain service.
pub(super) fn whole(req: Request, answer: WholeAnswer, replayed: bool) {
    let mut headers = vec![
        ("Content-Type", answer.content_type.as_str()),
        ("X-Outcome", Outcome::Answered.name()),
    ];
    if replayed {
        headers.push(("Idempotency-Replayed", "true"));
    }
    sent(respond(req, answer.status, &headers, answer.body));
}

/// Seconds, rounded up, as the header wants them.
fn whole_seconds(d: Duration) -> u64 {
    d.as_millis().div_ceil(1_000) as u64
}
