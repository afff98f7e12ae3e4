//! Bounds and counts the bytes of a response that were read from its socket and are of no use yet.
//!
//! The HTTP library bounds one head, but takes interim responses and digits of a chunk size without end, and
//! what it and the system keep of many responses may exceed the VM's memory.

use std::{
    cell::{Cell, RefCell},
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::socket::RECEIVE_BUFFER;
use crate::overload::Reservation;

/// Bytes up to the end of a response's head, interim responses included. What comes of the body in the
/// same read does not count.
pub(super) const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Bytes of a body that bring no data: chunk sizes, extensions and trailers, and what the HTTP library reads
/// ahead.
const MAX_BYTES_WITHOUT_DATA: usize = 4 * MAX_HEAD_BYTES;

/// What was read of one response and not handed out yet.
pub(super) struct Intake {
    /// Bytes that may still come before the head, or the next data, is complete.
    left: Cell<usize>,
    unread: Cell<usize>,
    has_head: Cell<bool>,
    reservation: RefCell<Option<Reservation>>,
}

impl Intake {
    /// Counts bytes in `reservation`, if there is one.
    pub(super) fn new(reservation: Option<Reservation>) -> Rc<Intake> {
        Rc::new(Intake {
            left: Cell::new(MAX_HEAD_BYTES),
            unread: Cell::default(),
            has_head: Cell::default(),
            reservation: RefCell::new(reservation),
        })
    }

    /// The head is complete.
    pub(super) fn on_head(&self) {
        self.left.set(MAX_BYTES_WITHOUT_DATA);
        self.has_head.set(true);
    }

    /// Data was handed out. Until more is asked for, the system may keep what comes next.
    pub(super) fn on_data(&self, bytes: usize) {
        self.left.set(MAX_BYTES_WITHOUT_DATA);
        let unread = self.unread.get().saturating_sub(bytes);
        self.unread.set(unread);
        if let Some(reservation) = &mut *self.reservation.borrow_mut() {
            reservation.resize_unchecked(unread + RECEIVE_BUFFER);
        }
    }

    /// All that has come was handed out.
    pub(super) fn on_idle(&self) {
        self.unread.set(0);
        if let Some(reservation) = &mut *self.reservation.borrow_mut() {
            reservation.resize_unchecked(0);
        }
    }

    fn on_read(&self, bytes: usize) -> io::Result<()> {
        self.left.set(self.left.get().saturating_sub(bytes));
        let unread = self.unread.get() + bytes;
        self.unread.set(unread);
        match &mut *self.reservation.borrow_mut() {
            // No more is read before this is handed out, so a body needs no room of its own here.
            Some(reservation) if self.has_head.get() => reservation.resize_unchecked(unread),
            Some(reservation) => reservation.resize(unread).map_err(io::Error::other)?,
            None => {}
        }
        Ok(())
    }
}

/// A socket whose response is bounded and counted; it fails once too many bytes came that bring nothing, or
/// there is no memory for them.
pub(super) struct IntakeSocket<S> {
    socket: S,
    intake: Rc<Intake>,
}

impl<S> IntakeSocket<S> {
    pub(super) fn new(socket: S, intake: Rc<Intake>) -> IntakeSocket<S> {
        IntakeSocket { socket, intake }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for IntakeSocket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.intake.left.get() == 0 {
            let message = "the response has too many bytes that are neither a head nor data";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(cx, buf))?;
        Poll::Ready(self.intake.on_read(buf.filled().len() - before))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for IntakeSocket<S> {
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
