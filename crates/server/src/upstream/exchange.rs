//! One request on a connection of its own, and its answer.
//!
//! A connection is used once. A pooled one may carry a surplus answer of the request before,
//! may be closed by its idle bound just when it is used, and then leaves open whether a call
//! that must not be repeated has run; a new one costs a round trip (docs/PLATFORM.md has the
//! figures).

use std::{
    any::Any,
    fmt,
    future::{Future, poll_fn},
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, header, response};
use http_body::Body as _;
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{
    task::JoinHandle,
    time::{Instant, timeout_at},
};

use super::{
    TcpConnector, connect_within,
    intake::{Intake, IntakeSocket, MAX_HEAD_BYTES},
};
use crate::{
    body_buffer::BodyBuffer,
    overload::{MeteredSocket, Reservation},
};

/// Why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request was sent.
    NotSent(String),
    /// No byte was sent, since this daemon is too late itself to connect.
    Delayed(String),
    /// No byte was sent, since it may not be any more.
    Withheld(String),
    /// The request, or a part of it, was sent; the endpoint may run it.
    Lost(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SendError::NotSent(problem) => write!(f, "not sent: {problem}"),
            SendError::Delayed(problem) => write!(f, "delayed: {problem}"),
            SendError::Withheld(problem) => write!(f, "withheld: {problem}"),
            SendError::Lost(problem) => write!(f, "lost: {problem}"),
        }
    }
}

/// The head of an answer, and its body on the way.
pub struct OpenAnswer {
    /// Status and headers.
    pub head: response::Parts,
    /// The body.
    pub body: AnswerBody,
}

/// The body of an answer. Dropping it closes the connection.
pub struct AnswerBody {
    incoming: Incoming,
    intake: Rc<Intake>,
    _connection: Connection,
    /// Dropped with the body.
    held: Option<Box<dyn Any>>,
}

/// The task of a connection; closes it when dropped.
struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl AnswerBody {
    /// Keeps a value until the body is dropped or read whole.
    pub(crate) fn hold(&mut self, value: impl Any) {
        self.held = Some(Box::new(value));
    }

    /// The next bytes; `None` after the whole body. An error means that it was cut short.
    pub async fn next(&mut self) -> Option<Result<Bytes, String>> {
        loop {
            let (incoming, intake) = (&mut self.incoming, &self.intake);
            let frame = poll_fn(|cx| {
                let frame = Pin::new(&mut *incoming).poll_frame(cx);
                if frame.is_pending() {
                    intake.on_idle();
                }
                frame
            });
            match frame.await? {
                Ok(frame) => {
                    if let Ok(data) = frame.into_data() {
                        self.intake.on_data(data.len());
                        return Some(Ok(data));
                    }
                }
                Err(e) => return Some(Err(describe(&e))),
            }
        }
    }

    /// The whole body, if it is no larger than `limit`.
    pub async fn collect(self, limit: usize) -> Result<Bytes, String> {
        self.collect_into(limit, |_| Ok(())).await
    }

    /// The same, if there is room in the memory budget; counted until the bytes are dropped.
    pub(crate) async fn collect_within(
        self,
        limit: usize,
        mut reservation: Reservation,
    ) -> Result<Bytes, String> {
        let resize = |len| reservation.resize(len).map_err(|e| e.to_string());
        let body = self.collect_into(limit, resize).await?;
        Ok(reservation.hold(body))
    }

    async fn collect_into(
        mut self,
        limit: usize,
        mut resize: impl FnMut(usize) -> Result<(), String>,
    ) -> Result<Bytes, String> {
        let mut whole = BodyBuffer::default();
        while let Some(bytes) = self.next().await {
            let bytes = bytes?;
            if limit < whole.len() + bytes.len() {
                return Err(format!("the body is longer than {limit} bytes"));
            }
            resize(whole.len() + bytes.len())?;
            whole.extend(&bytes);
        }
        Ok(whole.finish())
    }
}

/// Whether a body has a length or chunks, so that its end can be told from that of its connection.
pub fn is_framed(headers: &HeaderMap) -> bool {
    let last_coding = headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
    match last_coding.map(|value| value.to_str().unwrap_or_default()) {
        // Any other coding ends with the connection, whatever length is declared.
        Some(codings) => {
            let last = codings.rsplit(',').next().unwrap_or_default();
            last.trim().eq_ignore_ascii_case("chunked")
        }
        None => headers.contains_key(header::CONTENT_LENGTH),
    }
}

/// Sends a request and waits for the head of the answer. The caller bounds the time; dropping
/// the future closes the connection.
pub async fn exchange(
    address: SocketAddr,
    req: Request<Full<Bytes>>,
    connect_limit: Duration,
) -> Result<OpenAnswer, SendError> {
    let socket = connect_within(&TcpConnector, address, connect_limit).await;
    let socket = socket.map_err(|e| SendError::NotSent(e.to_string()))?;
    let socket = MeteredSocket::new(socket, None);
    exchange_on(socket, req, || Ok(()), LateResponse::ignored(), None).await
}

/// Reads the head of a response that comes after the future of its exchange was dropped.
pub struct LateResponse {
    /// Time after the request was sent for which the connection stays open.
    pub timeout: Duration,
    /// Called with the head.
    pub read: Box<dyn FnOnce(&response::Parts)>,
}

impl LateResponse {
    /// Closes the connection as soon as the future is dropped.
    pub fn ignored() -> LateResponse {
        LateResponse { timeout: Duration::ZERO, read: Box::new(|_| {}) }
    }
}

/// The same on a connection that is up, if the request may still be sent. What is read of the response and not
/// handed out counts in `reservation`.
pub(crate) async fn exchange_on(
    socket: MeteredSocket,
    req: Request<Full<Bytes>>,
    may_send: impl FnOnce() -> Result<(), String>,
    late: LateResponse,
    reservation: Option<Reservation>,
) -> Result<OpenAnswer, SendError> {
    let not_sent = |problem: String| SendError::NotSent(problem);
    let intake = Intake::new(reservation);
    let socket = IntakeSocket::new(socket, intake.clone());
    let handshake =
        http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(socket)).await;
    let (mut sender, connection) = handshake.map_err(|e| not_sent(describe(&e)))?;
    let run = async move {
        if let Err(e) = connection.await {
            log::debug!("a connection ended: {}", describe(&e));
        }
    };
    let connection = Connection(tokio::task::spawn_local(run));
    sender.ready().await.map_err(|e| not_sent(describe(&e)))?;
    may_send().map_err(SendError::Withheld)?;
    let pending = PendingResponse {
        response: Box::pin(sender.send_request(req)),
        intake,
        connection,
        read_until: Instant::now() + late.timeout,
        late,
    };
    pending.wait().await
}

type ResponseFuture = Pin<Box<dyn Future<Output = hyper::Result<Response<Incoming>>>>>;

/// A request that was sent and whose response has not begun.
struct PendingResponse {
    response: ResponseFuture,
    intake: Rc<Intake>,
    connection: Connection,
    read_until: Instant,
    late: LateResponse,
}

/// Reads the response in the background if it is dropped before the response has begun.
struct ReadIfDropped(Option<PendingResponse>);

impl PendingResponse {
    async fn wait(self) -> Result<OpenAnswer, SendError> {
        let mut guard = ReadIfDropped(Some(self));
        let response = match &mut guard.0 {
            Some(pending) => pending.response.as_mut().await,
            None => unreachable!("the guard is full until it is dropped"),
        };
        let Some(PendingResponse { connection, intake, .. }) = guard.0.take() else {
            unreachable!("the guard is full until it is dropped")
        };
        let answer = response.map_err(|e| SendError::Lost(describe(&e)))?;
        intake.on_head();
        let (head, incoming) = answer.into_parts();
        check_status(head.status)?;
        let body = AnswerBody { incoming, intake, _connection: connection, held: None };
        Ok(OpenAnswer { head, body })
    }

    async fn read_late(self) {
        let PendingResponse { response, connection: _connection, read_until, late, .. } = self;
        if let Ok(Ok(answer)) = timeout_at(read_until, response).await
            && check_status(answer.status()).is_ok()
        {
            (late.read)(&answer.into_parts().0);
        }
    }
}

impl Drop for ReadIfDropped {
    fn drop(&mut self) {
        if let Some(pending) = self.0.take().filter(|pending| Instant::now() < pending.read_until) {
            tokio::task::spawn_local(pending.read_late());
        }
    }
}

/// Only a final status makes a response: HTTP has none below 200 or above 599, and nobody asks for an upgrade.
fn check_status(status: StatusCode) -> Result<(), SendError> {
    match status.as_u16() {
        200..=599 => Ok(()),
        other => Err(SendError::Lost(format!("{other} is not a final HTTP status"))),
    }
}

/// An error with its cause: hyper's own text names only the step that failed.
fn describe(error: &dyn std::error::Error) -> String {
    match error.source() {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}
