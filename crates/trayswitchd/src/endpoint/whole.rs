//! Whole answers: an answer that ended early is never taken for a whole one.

use std::io::Read;

use ureq::Response;

use super::EndpointError;

/// Largest answer of a plain service, in bytes.
const MAX_ANSWER: u64 = 16 * 1024 * 1024;

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
/// The client library gives a body that was cut short without an error when
/// its length was declared, so the length is checked here. An answer that
/// declares no length and is not chunked cannot be known to be whole.
pub(crate) fn read_whole(response: Response) -> Result<WholeAnswer, EndpointError> {
    let status = response.status();
    let content_type = response.header("Content-Type").unwrap_or("application/json").to_owned();
    let length = response.header("Content-Length").and_then(|n| n.parse::<u64>().ok());
    let chunked =
        response.header("Transfer-Encoding").is_some_and(|e| e.eq_ignore_ascii_case("chunked"));
    let mut body = Vec::new();
    let mut reader = response.into_reader().take(MAX_ANSWER + 1);
    reader.read_to_end(&mut body).map_err(|e| EndpointError::Lost(e.to_string()))?;
    if MAX_ANSWER < body.len() as u64 {
        return Err(EndpointError::Malformed("the answer is larger than 16 MiB".into()));
    }
    match length {
        Some(length) if length != body.len() as u64 => {
            let got = body.len();
            Err(EndpointError::Lost(format!("the answer ended after {got} of {length} bytes")))
        }
        None if !chunked && status != 204 => {
            Err(EndpointError::Malformed("the answer has neither a length nor chunks".into()))
        }
        _ => Ok(WholeAnswer { status, content_type, body }),
    }
}
