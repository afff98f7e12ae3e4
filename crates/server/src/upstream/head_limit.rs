//! Bounds the bytes that an endpoint may send before the head of its response is complete.
//!
//! The HTTP library bounds one head, but takes interim responses without end.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A socket that fails once too many bytes came, until the limit is lifted.
pub(super) struct HeadLimited<S> {
    socket: S,
    left: Rc<Cell<usize>>,
}

/// Lifts the limit of a socket.
pub(super) struct HeadLimit(Rc<Cell<usize>>);

impl HeadLimit {
    /// The head is complete.
    pub(super) fn lift(&self) {
        self.0.set(usize::MAX);
    }
}

impl<S> HeadLimited<S> {
    pub(super) fn new(socket: S, limit: usize) -> (HeadLimited<S>, HeadLimit) {
        let left = Rc::new(Cell::new(limit));
        (HeadLimited { socket, left: left.clone() }, HeadLimit(left))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.left.get() == 0 {
            let message = "the head of the response is too long";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(cx, buf))?;
        self.left.set(self.left.get().saturating_sub(buf.filled().len() - before));
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimited<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, buf)
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
        Pin::new(&mut self.socket).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}
