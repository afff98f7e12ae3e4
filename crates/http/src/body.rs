//! Size-limited request bodies and complete (non-streaming) responses.

use std::io::{self, Read};

use serde::Serialize;
use tiny_http::{Header, Request, Response};

/// The reason why a request body could not be read.
#[derive(Debug)]
pub enum BodyError {
    /// The body exceeds the size limit.
    TooLarge,
    /// The connection failed, timed out or was closed by the client.
    Io(io::Error),
}

/// Reads the request body, which may have at most `limit` bytes.
pub fn read_body(req: &mut Request, limit: usize) -> Result<Vec<u8>, BodyError> {
    if req.body_length().is_some_and(|length| limit < length) {
        return Err(BodyError::TooLarge);
    }
    let mut body = Vec::new();
    let mut reader = req.as_reader().take(limit as u64 + 1);
    reader.read_to_end(&mut body).map_err(BodyError::Io)?;
    if limit < body.len() {
        return Err(BodyError::TooLarge);
    }
    Ok(body)
}

/// Returns the value of the first header with this name, ignoring case.
pub fn header<'a>(req: &'a Request, name: &'static str) -> Option<&'a str> {
    req.headers().iter().find(|h| h.field.equiv(name)).map(|h| h.value.as_str())
}

/// Sends a response with the given body; headers that are not valid HTTP are omitted.
pub fn respond(
    req: Request,
    status: u16,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> io::Result<()> {
    let mut response = Response::from_data(body).with_status_code(status);
    for (name, value) in headers {
        if let Ok(header) = Header::from_bytes(name.as_bytes(), value.as_bytes()) {
            response.add_header(header);
        }
    }
    req.respond(response)
}

/// Sends `value` as a JSON response.
pub fn respond_json(
    req: Request,
    status: u16,
    headers: &[(&str, &str)],
    value: &impl Serialize,
) -> io::Result<()> {
    let body = serde_json::to_vec(value)?;
    let mut all_headers = vec![("Content-Type", "application/json")];
    all_headers.extend_from_slice(headers);
    respond(req, status, &all_headers, body)
}
