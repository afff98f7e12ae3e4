//! Bodies of requests and answers.

use std::{convert::Infallible, fmt, time::Duration};

use bytes::Bytes;
use http_body::Frame;
use http_body_util::{BodyExt, Empty, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Incoming;
use tokio::{sync::mpsc, time::timeout};

use crate::{
    body_buffer::BodyBuffer,
    overload::{BudgetExhausted, Reservation},
};

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
    /// No byte came for too long, or it took too long as a whole.
    TooSlow,
    /// There is no memory for it now.
    NoRoom,
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
pub async fn read_whole(body: Incoming, max: usize, silence: Duration) -> Result<Bytes, ReadError> {
    read_into(body, max, silence, |_| Ok(())).await
}

/// The same within a memory budget, where it counts until the bytes are dropped, and within a time limit.
pub(crate) async fn read_within(
    body: Incoming,
    max: usize,
    silence: Duration,
    limit: Duration,
    mut reservation: Reservation,
) -> Result<Bytes, ReadError> {
    let resize = |len| reservation.resize(len).map_err(|_: BudgetExhausted| ReadError::NoRoom);
    let whole = timeout(limit, read_into(body, max, silence, resize)).await;
    Ok(reservation.hold(whole.map_err(|_| ReadError::TooSlow)??))
}

async fn read_into(
    mut body: Incoming,
    max: usize,
    silence: Duration,
    mut resize: impl FnMut(usize) -> Result<(), ReadError>,
) -> Result<Bytes, ReadError> {
    let mut whole = BodyBuffer::default();
    loop {
        let frame = timeout(silence, body.frame()).await.map_err(|_| ReadError::TooSlow)?;
        let Some(frame) = frame else { return Ok(whole.finish()) };
        let frame = frame.map_err(|e| ReadError::Broken(e.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        if max < whole.len() + data.len() {
            return Err(ReadError::TooLarge);
        }
        resize(whole.len() + data.len())?;
        whole.extend(&data);
    }
}
