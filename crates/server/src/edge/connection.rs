//! What a connection is doing, so that each of its rests has a bound of its own.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::{AnswerError, Body, Bounds, Gate, TimeLeft};
use crate::overload::MeteredSocket;

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// It waits for the first byte of a request.
    Idle(Instant),
    /// A head is on its way.
    Head(Instant),
    /// A request is being answered.
    Busy,
}

/// Shared by the parts of one connection.
#[derive(Debug, Clone)]
pub(super) struct Activity(Rc<State>);

#[derive(Debug)]
struct State {
    phase: Cell<Phase>,
    /// Since when the other side has had no room for what is to be written.
    blocked_since: Cell<Option<Instant>>,
    /// Until when the caller waits for the response.
    deadline: Cell<Instant>,
}

/// How often a busy connection is looked at.
const LOOK: Duration = Duration::from_secs(1);

impl Activity {
    pub(super) fn new() -> Activity {
        let now = Instant::now();
        Activity(Rc::new(State {
            phase: Cell::new(Phase::Idle(now)),
            blocked_since: Cell::default(),
            deadline: Cell::new(now),
        }))
    }

    pub(super) fn begin(&self) {
        self.0.phase.set(Phase::Busy);
    }

    fn end(&self) {
        self.0.phase.set(Phase::Idle(Instant::now()));
    }

    /// Sets how long the caller waits for the response that is to be written.
    pub(super) fn set_time_left(&self, left: Option<TimeLeft>) {
        self.0.deadline.set(Instant::now() + left.map_or(Duration::ZERO, |left| left.0));
    }

    fn written(&self, is_blocked: bool) {
        let since = self.0.blocked_since.get().filter(|_| is_blocked);
        self.0.blocked_since.set(since.or(is_blocked.then(Instant::now)));
    }

    fn bytes_came(&self) {
        if let Phase::Idle(_) = self.phase() {
            self.0.phase.set(Phase::Head(Instant::now()));
        }
    }

    pub(super) fn phase(&self) -> Phase {
        self.0.phase.get()
    }

    /// Returns once the connection has rested for too long.
    pub(super) async fn overdue(&self, bounds: impl Fn() -> Bounds) -> Phase {
        loop {
            let phase = self.phase();
            let until = match phase {
                Phase::Idle(since) => since + bounds().idle_timeout,
                Phase::Head(since) => since + bounds().header_timeout,
                Phase::Busy => Instant::now() + LOOK,
            };
            tokio::time::sleep_until(until.into()).await;
            if phase != Phase::Busy && phase == self.phase() {
                return phase;
            }
        }
    }

    /// Returns once the other side has taken nothing for too long, and nobody waits for the response any more.
    pub(super) async fn stalled(&self, bounds: impl Fn() -> Bounds) {
        loop {
            let now = Instant::now();
            let until = match self.0.blocked_since.get() {
                Some(since) => (since + bounds().idle_timeout).max(self.0.deadline.get()),
                None => now + LOOK,
            };
            if until <= now {
                return;
            }
            tokio::time::sleep_until(until.into()).await;
        }
    }
}

/// A socket that notes when bytes come, and ends before a request that may not be read.
pub(super) struct WatchedSocket {
    pub(super) socket: MeteredSocket,
    pub(super) activity: Activity,
    pub(super) gate: Rc<dyn Gate>,
    /// Whether any byte has been read.
    pub(super) has_been_read: bool,
}

impl AsyncRead for WatchedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Phase::Idle(_) = self.activity.phase() {
            ready!(self.socket.poll_read_ready(cx))?;
            if self.has_been_read && !self.gate.may_read() {
                return Poll::Ready(Ok(()));
            }
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.socket).poll_read(cx, buf);
        if before < buf.filled().len() {
            // A socket may count as ready before its first byte.
            self.has_been_read = true;
            self.activity.bytes_came();
        }
        polled
    }
}

impl AsyncWrite for WatchedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(cx, buf);
        self.activity.written(written.is_pending());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(cx, bufs);
        self.activity.written(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}

/// The body of an answer; the connection rests again once it is dropped.
pub(super) struct TrackedBody {
    pub(super) body: Body,
    pub(super) activity: Activity,
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.activity.end();
    }
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
