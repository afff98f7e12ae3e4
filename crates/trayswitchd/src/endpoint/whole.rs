//! Whole answers: an answer that ended early is never taken for a whole one.

use http::{StatusCode, header};
use trayswitch_server::upstream::{OpenAnswer, is_framed};

use super::EndpointError;

/// Largest answer of a plain service, in bytes.
const MAX_ANSWER: usize = 16 * 1024 * 1024;

/// The complete answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct WholeAnswer {
    /// HTTP status.
    pub(crate) status: u16,
    /// Media type.
    pub(crate) content_type: String,
    /// Body.
    pub(crate) body: Vec<u8>,
}

/// Reads an answer to its end and checks that nothing is missing.
///
/// An answer that declares no length and is not chunked cannot be known to be whole.
pub(crate) async fn read_whole(open: OpenAnswer) -> Result<WholeAnswer, EndpointError> {
    let OpenAnswer { head, body } = open;
    let text = |name| head.headers.get(name).and_then(|value| value.to_str().ok());
    let content_type = text(header::CONTENT_TYPE).unwrap_or("application/json").to_owned();
    if head.status != StatusCode::NO_CONTENT && !is_framed(&head.headers) {
        let problem = "the answer has neither a length nor chunks";
        return Err(EndpointError::Malformed(problem.into()));
    }
    let body = body.collect(MAX_ANSWER).await.map_err(EndpointError::Lost)?;
    Ok(WholeAnswer { status: head.status.as_u16(), content_type, body: body.into() })
}
