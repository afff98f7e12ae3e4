//! Bodies of requests and answers.

use std::{convert::Infallible, fmt, time::Duration};

use bytes::Bytes;
use http_body::Frame;
use http_body_util::{BodyExt, Empty, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Incoming;
use tokio::{sync::mpsc, time::timeout};

/// The body of an answer to a caller.
pub type Body = UnsyncBoxBody<Bytes, AnswerError>;

/// Ends an answer so that it cannot be taken for a whole one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerError(pub String);

impl fmt::Display for AnswerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the answer was broken off: {}", self.0)
    }
}

impl std::error::Error for AnswerError {}

/// Why a request's body was not read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadError {
    /// It is larger than allowed.
    TooLarge,
    /// No byte came for too long.
    TooSlow,
    /// It broke off or was not framed as it should be.
    Broken(String),
}

fn never(never: Infallible) -> AnswerError {
    match never {}
}

/// A body that is known whole.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(never).boxed_unsync()
}

/// A body without content.
pub fn empty() -> Body {
    Empty::new().map_err(never).boxed_unsync()
}

/// A body that comes piece by piece. An error breaks the answer off.
pub fn streamed(rx: mpsc::Receiver<Result<Bytes, AnswerError>>) -> Body {
    let frames = futures_util::stream::unfold(rx, |mut rx| async move {
        let piece = rx.recv().await?;
        Some((piece.map(Frame::data), rx))
    });
    StreamBody::new(frames).boxed_unsync()
}

/// Reads a whole body within bounds of size and of silence.
pub async fn read_whole(
    mut body: Incoming,
    max: usize,
    silence: Duration,
) -> Result<Bytes, ReadError> {
    let mut whole = Vec::new();
    loop {
        let frame = timeout(silence, body.frame()).await.map_err(|_| ReadError::TooSlow)?;
        let Some(frame) = frame else { return Ok(whole.into()) };
        let frame = frame.map_err(|e| ReadError::Broken(e.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        if max < whole.len() + data.len() {
            return Err(ReadError::TooLarge);
        }
        whole.extend_from_slice(&data);
    }
}
